# Functions that start and stop one deployment of examples/ on loopback. Source
# this file with `root` set to the root of the repository. Call deployment_open
# first; the other functions act on the deployment that it opened.

bin="$root/build"

# Starts one process in the background and stores its process id under a name.
start_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$run/$name.out" 2>"$run/$name.log" &
  pids[$name]=$!
}

# Sends SIGTERM to a process and waits until it has ended.
stop_process() { # NAME
  kill -TERM "${pids[$1]}" 2>/dev/null || return 0
  wait "${pids[$1]}" || echo "$1 ended with exit status $?" >&2
  unset "pids[$1]"
}

# Opens a deployment. Its addresses are 127.NETWORK.x.y; its processes end with
# this shell.
deployment_open() { # DEPLOYMENT NETWORK
  deployment=$1
  network=$2
  run=$(mktemp -d "${TMPDIR:-/tmp}/medlargauge-$deployment.XXXXXX")
  declare -gA pids=()
  trap deployment_close EXIT
}

# Kills all processes of the deployment and removes their files.
deployment_close() {
  local name
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$run"
}

# Runs the operators' tool with the settings of the deployment.
ctl() { # COMMAND...
  "$bin/medlargauge" "$@" --config="$root/examples/$deployment/ctl.json"
}

start_store() {
  start_process store "$bin/medlargauge_standin" --kind=store \
    --listen="127.$network.9.1:2379"
}

start_balancer() { # NUMBER
  start_process "balancer-$1" "$bin/medlargauged" \
    --settings="$root/examples/$deployment/balancer-$1.json"
}

start_fabric() { # FLAGS...
  local pairs="" i
  for i in 1 2 3; do
    pairs+="127.$network.0.$i:6080/127.$network.0.$i:7401,"
  done
  start_process fabric "$bin/medlargauge_standin" --kind=fabric \
    --listen="127.$network.9.2:6080" --balancers="${pairs%,}" "$@"
}

start_backend() { # SERVICE NUMBER SUBNET
  backend_starts=$((${backend_starts:-0} + 1))
  start_process "backend-$1-$2" "$bin/medlargauge_standin" --kind=backend \
    --listen="127.$network.$3.$2:6081" \
    --load_listen="127.$network.$3.$2:8080" \
    --caller="127.$network.9.3:6080" --service="$1" \
    --executed_file="$run/executed.$backend_starts"
}

start_agent() { # SERVICE NUMBER FLAGS...
  local service=$1 number=$2
  shift 2
  start_process "$service-$number" "$bin/medlargauged" \
    --settings="$root/examples/$deployment/$service-$number.json" "$@"
}

# Waits until a service has COUNT ready backend servers, for at most 300 tries.
wait_ready() { # SERVICE COUNT
  local i
  for ((i = 0; i < 300; i++)); do
    if ctl status --json 2>/dev/null | grep -o "\"$1\":{[^}]*}" |
      grep -q "\"ready_servers\":$2"; then
      return 0
    fi
    sleep 0.1
  done
  echo "service $1 did not get $2 ready backend servers in time" >&2
  return 1
}

# Prints the first number with this key in the JSON text on standard input; 0 if
# there is none.
json_number() { # KEY
  local value
  value=$(grep -o "\"$1\":[0-9.]*" | head -1 | cut -d: -f2)
  echo "${value:-0}"
}

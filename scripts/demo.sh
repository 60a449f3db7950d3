#!/usr/bin/env bash
# Runs both example deployments on loopback at their full size. Drains every
# backend server in turn and restarts every balancer under traffic, then prints a
# table of broken flows and imbalance.
# Usage: scripts/demo.sh [--json] [--quick]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
json=false
quick=false
for argument in "$@"; do
  case "$argument" in
    --json) json=true ;;
    --quick) quick=true ;;
    *) echo "usage: scripts/demo.sh [--json] [--quick]" >&2; exit 2 ;;
  esac
done
"$root/scripts/setup.sh" >/dev/null || exit 1
"$root/scripts/build.sh" medlargauge medlargauged medlargauge_standin || exit 1
# shellcheck source=scripts/deployment.sh
. "$root/scripts/deployment.sh"

# Prints the largest imbalance of any service in a number of samples.
sample_imbalance() { # SAMPLES
  local i
  for ((i = 0; i < $1; i++)); do
    ctl status --json | grep -o '"imbalance":[0-9.]*' | cut -d: -f2
    sleep 0.5
  done | sort -g | tail -1
}

# Stops one agent, which drains first, and its backend server, and starts both
# again.
replace_server() { # SERVICE NUMBER SUBNET
  stop_process "$1-$2"
  stop_process "backend-$1-$2"
  start_backend "$1" "$2" "$3"
  start_agent "$1" "$2"
}

# Prints the sum of one count over all backend servers, including those that
# were replaced.
sum_stats() { # KEY
  cat "$run"/backend-*.out | grep -o "\"$1\":[0-9]*" | cut -d: -f2 |
    paste -sd+ | bc
}

run_deployment() { # DEPLOYMENT NETWORK SERVICE COUNT SERVICE COUNT
  deployment_open "$1" "$2"
  services=("" "$3 $4" "$5 $6")
  local s service count i n classes="" address rounds=$4
  local endpoints=$(($4 + $6)) seconds=240
  if $quick; then rounds=2 seconds=130; fi
  start_store
  for i in 1 2 3; do start_balancer "$i"; done
  for s in 1 2; do
    read -r service count <<<"${services[$s]}"
    for ((i = 1; i <= count; i++)); do
      start_backend "$service" "$i" "$s"
      start_agent "$service" "$i"
    done
  done
  sleep 1
  for s in 1 2; do
    read -r service count <<<"${services[$s]}"
    wait_ready "$service" "$count" || return 1
    ctl class create "$service" --service="$service" --baseline=v1 \
      --changed_by=demo --wait >/dev/null || return 1
    address=$(ctl class show "$service" --json |
      grep -o '"address":"[^"]*"' | cut -d'"' -f4)
    for ((n = 0; n < count; n++)); do classes+="$address/$service,"; done
  done
  start_fabric --duplicate=0.005 --loss=0.001
  sleep 1
  start_process caller "$bin/medlargauge_standin" --kind=caller \
    --listen="127.$network.9.3:6080" --fabric="127.$network.9.2:6080" \
    --classes="${classes%,}" --flows=$((endpoints * 1200)) --rate=1500 \
    --seconds="$seconds" --lifetime_ms=8000 --pause_ms=2500 --udp_share=0.05
  local traffic_end=$((SECONDS + seconds))
  sleep 30
  local imbalance after
  imbalance=$(sample_imbalance 10)
  local drains=0
  for ((i = 1; i <= rounds; i++)); do
    for s in 1 2; do
      read -r service count <<<"${services[$s]}"
      if ((i <= count)); then
        kill -TERM "${pids[$service-$i]}"
        drains=$((drains + 1))
      fi
    done
    if ((i <= 3)); then
      stop_process "balancer-$i"
      start_balancer "$i"
    fi
    for s in 1 2; do
      read -r service count <<<"${services[$s]}"
      if ((i <= count)); then
        replace_server "$service" "$i" "$s"
        wait_ready "$service" "$count"
      fi
    done
  done
  # No flow lives longer than 16 s, so after 20 s all open flows are newer than
  # the last change.
  after=-
  if ((traffic_end - SECONDS > 26)); then
    sleep 20
    after=$(sample_imbalance 6)
  fi
  wait "${pids[caller]}"
  unset "pids[caller]"
  local result
  result=$(cat "$run/caller.out")
  local violations s2 duplicates
  violations=$(ctl status --json | grep -o '"invariant_violations":[0-9]*' |
    cut -d: -f2 | paste -sd+ | bc)
  for s2 in 1 2; do
    read -r service count <<<"${services[$s2]}"
    for ((i = 1; i <= count; i++)); do stop_process "backend-$service-$i"; done
  done
  duplicates=$(cat "$run"/executed.* | sort | uniq -d | wc -l)
  printf '%s %s %s %s %s %s %s %s %s %s %s %s\n' "$1" \
    "$(json_number flows <<<"$result")" \
    "$(json_number broken_flows <<<"$result")" \
    "$(json_number gave_up <<<"$result")" \
    "$(json_number refused <<<"$result")" \
    "$(json_number wrong_answers <<<"$result")" \
    "$(sum_stats cross_service)" "$duplicates" "$violations" \
    "$imbalance" "$after" "$drains"
}

echo "running both deployments; this takes a few minutes" >&2
(run_deployment tijolo 10 stock 7 photos 4) >"${TMPDIR:-/tmp}/demo.$$.1" &
first=$!
(run_deployment sundarban 20 booking 7 media 3) >"${TMPDIR:-/tmp}/demo.$$.2" &
second=$!
status=0
wait "$first" || status=1
wait "$second" || status=1
rows=$(cat "${TMPDIR:-/tmp}/demo.$$.1" "${TMPDIR:-/tmp}/demo.$$.2")
rm -f "${TMPDIR:-/tmp}/demo.$$.1" "${TMPDIR:-/tmp}/demo.$$.2"
{
  echo "deployment flows broken gave_up refused wrong cross_service duplicates violations imbalance_before imbalance_after drains"
  echo "$rows"
} | column -t
if $json; then
  echo "$rows" | awk '{flows += $2; broken += $3; wrong += $6; cross += $7;
    double += $8; if ($10 > imbalance) imbalance = $10;
    if ($11 > imbalance) imbalance = $11}
    END {printf "{\"flows\":%d,\"broken_flows\":%d,\"imbalance\":%.4f,\"cross_service\":%d,\"duplicate_executions\":%d}\n",
      flows, broken, imbalance, cross, double}'
fi
exit $status

#!/usr/bin/env bash
# Measures target changes with the real programs on loopback: with a healthy, a
# slow and a failing store, and while balancers restart. Called by
# scripts/bench.sh targets.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
# shellcheck source=scripts/deployment.sh
. "$root/scripts/deployment.sh"
changes=60
reverts=0
wrong=0
highest=0

set_faults() { # JSON
  curl -s -X POST -d "$1" "http://127.$network.9.1:2379/faults"
}

now_ms() { date +%s%3N; }

# Counts a revert for each balancer whose revision is below one that it had in
# force before.
check_revisions() {
  local i revision
  for i in 1 2 3; do
    revision=$(curl -s -m 1 "http://127.$network.0.$i:7401/status" |
      grep -o '"classes":{[^}]*}' | json_number stock)
    if [ "${revision:-0}" -ne 0 ] && [ "$revision" -lt "${seen[$i]:-0}" ]; then
      reverts=$((reverts + 1))
    fi
    if [ "${revision:-0}" -gt "${seen[$i]:-0}" ]; then seen[i]=$revision; fi
  done
}

# Changes the trial share. Counts a wrong outcome if the exit status is not one of
# those expected, or if the store does not hold a change reported as done.
change() { # SHARE EXPECTED_STATUS_LIST
  ctl target set stock --trial=v2 --trial_share="$1%" --changed_by=bench \
    --json >"$run/change.out" 2>"$run/change.err"
  local status=$? share
  case " $2 " in
    *" $status "*) ;;
    *) wrong=$((wrong + 1)); echo "trial share $1%: exit status $status, expected $2" >&2 ;;
  esac
  if [ "$status" -eq 0 ]; then
    set_faults '{}'
    share=$(ctl target show stock --json | grep -o '"trial_share":"[^"]*"')
    if [ "$share" != "\"trial_share\":\"$1%\"" ]; then
      wrong=$((wrong + 1))
    fi
  fi
}

deployment_open tijolo 10
declare -A seen=()
start_store
for i in 1 2 3; do start_balancer "$i"; done
for i in 1 2; do
  start_backend stock "$i" 1
  start_agent stock "$i"
done
wait_ready stock 2 || exit 1
ctl class create stock --service=stock --baseline=v1 --wait >/dev/null || exit 1

echo "changes with a healthy store" >&2
for ((i = 1; i <= changes; i++)); do
  start=$(now_ms)
  ctl target set stock --trial=v2 --trial_share=$((i % 50))% --wait \
    --changed_by=bench >/dev/null || wrong=$((wrong + 1))
  echo $(($(now_ms) - start))
  check_revisions
done >"$run/times"
p99=$(sort -n "$run/times" | awk '{v[NR] = $1} END {print v[int(NR * 0.99 + 0.99)]}')
calls_before=$(curl -s "http://127.$network.9.1:2379/calls")
sleep 10
calls_after=$(curl -s "http://127.$network.9.1:2379/calls")

echo "changes with a slow store, lost answers and an outage" >&2
set_faults '{"delay_ms": 400}'
change 11 "0"
set_faults '{"lose_answers": 1}'
change 12 "0"
set_faults '{"lose_answers": 99}'
change 13 "6"
set_faults '{"down": true}'
change 14 "8"
check_revisions

echo "balancer restarts while the store is unreachable" >&2
for i in 1 2 3; do
  stop_process "balancer-$i"
  start_balancer "$i"
  sleep 2
  check_revisions
  revision=$(curl -s "http://127.$network.0.$i:7401/status" |
    grep -o '"classes":{[^}]*}' | json_number stock)
  # The restarted balancer must have got the target from its peers.
  if [ "${revision:-0}" -lt "${seen[$i]:-1}" ]; then reverts=$((reverts + 1)); fi
done
set_faults '{}'
change 15 "0"
sleep 1
check_revisions
awk -v p99="$p99" -v reverts="$reverts" -v wrong="$wrong" \
  -v calls="$((calls_after - calls_before))" 'BEGIN {
    printf "{\"in_force_p99_ms\":%d,\"reverts\":%d,\"wrong_outcomes\":%d,\"store_calls_per_s\":%.1f}\n",
      p99, reverts, wrong, calls / 10}'

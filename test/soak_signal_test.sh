#!/usr/bin/env bash
# Checks that a soak which is ended by a signal leaves no process behind.
# Usage: test/soak_signal_test.sh SOAK DAEMON
set -euo pipefail
soak=$1
daemon=$2
failed=0
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT

# Prints the ids of the processes that run with settings from the directory.
running() {
  local pid
  for pid in $(cat "$1/pids"); do
    if tr '\0' '\n' 2>/dev/null <"/proc/$pid/environ" |
      grep -q "^MEDLARGAUGE_SETTINGS=$1/"; then
      echo "$pid"
    fi
  done
}

for signal in TERM INT KILL; do
  run=$directory/$signal
  mkdir "$run"
  # The shell lets background commands ignore SIGINT; env restores it.
  env --default-signal=INT "$soak" --seed=1 --seconds=30 --directory="$run" \
    --program="$daemon" >"$run/output" &
  pid=$!
  for _ in $(seq 100); do
    [ "$(wc -l 2>/dev/null <"$run/pids")" = 13 ] && break
    sleep 0.1
  done
  sleep 1
  if [ -z "$(running "$run")" ]; then
    echo "soak_signal_test.sh: the soak has started no process" >&2
    failed=1
  fi
  kill -"$signal" "$pid"
  wait "$pid" 2>/dev/null || true
  sleep 0.5
  if [ "$signal" != KILL ] && ! grep -q '^soak seed=1 broken=' "$run/output"; then
    echo "soak_signal_test.sh: no summary after SIG$signal" >&2
    failed=1
  fi
  left=$(running "$run" | wc -l)
  if [ "$left" -ne 0 ]; then
    echo "soak_signal_test.sh: $left processes are left after SIG$signal" >&2
    kill -KILL $(running "$run") || true
    failed=1
  fi
done
exit "$failed"

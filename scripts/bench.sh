#!/usr/bin/env bash
# Runs one measurement. Prints a table and, as the last line, a JSON object.
# Usage: scripts/bench.sh NAME [--seed N] [--seconds S] [--faults F]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
name=${1:?usage: scripts/bench.sh NAME [--seed N] [--seconds S] [--faults F]}
shift
flags=()
while [ $# -gt 0 ]; do
  case "$1" in
    --seed | --seconds | --faults) flags+=("$1=${2:?$1 needs a number}"); shift 2 ;;
    --seed=* | --seconds=* | --faults=*) flags+=("$1"); shift ;;
    *) echo "bench.sh: unknown argument $1" >&2; exit 2 ;;
  esac
done
"$root/scripts/setup.sh" >/dev/null
"$root/scripts/build.sh"
if [ "$name" = targets ]; then
  exec "$root/scripts/bench_targets.sh" "${flags[@]}"
fi
exec "$root/build/medlargauge_bench" "$name" "${flags[@]}"

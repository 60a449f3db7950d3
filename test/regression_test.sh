#!/usr/bin/env bash
# Checks what scripts/regression.sh makes of a bench's output. Usage:
# regression_test.sh
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
directory=$(mktemp -d)
trap 'rm -r "$directory"' EXIT
mkdir -p "$directory/scripts" "$directory/deploy"
cp "$root/scripts/regression.sh" "$directory/scripts"
printf 'a/site\tscore\t0.700\na/site\tquiet-1\t0.900\n' >"$directory/deploy/landed_scores.tsv"
cat >"$directory/bench" <<'BENCH'
#!/usr/bin/env bash
echo "score on the standard days of site (set 7afaf13e): $SCORE$SUFFIX"
echo "quiet-1                295/0   0.62  0.948  1.000   0.000  0.000  whole day"
[ -z "$GATE" ] || echo "GATE $GATE"
BENCH
chmod +x "$directory/bench"
# expect STATUS SCORE GATE
expect() {
  local status=0
  SCORE=$2 GATE=$3 "$directory/scripts/regression.sh" "$directory/bench" /sites a/site \
    >"$directory/out" 2>&1 || status=$?
  if [ "$status" -ne "$1" ]; then
    echo "regression_test.sh: status $status for score $2, gate '$3'" >&2
    cat "$directory/out" >&2
    exit 1
  fi
}
export SUFFIX=
expect 0 0.680 passed
expect 1 0.660 passed
export SUFFIX=", +0.027 against snapshot fe34e304"
expect 0 0.680 passed
grep -q "quiet-1	0.900	0.948" "$directory/out"
expect 1 0.660 passed
expect 1 0.800 failed
expect 1 0.800 ""

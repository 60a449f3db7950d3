#!/usr/bin/env bash
# Plays the deployments that count on the operators' bench and prints their
# scores and worths beside those of the last landing. Ends with 1 if a score is
# lower by more than 0.03, a gate has failed, or a deployment was not played.
# Usage: scripts/regression.sh BENCH SITES_DIRECTORY [SITE...]
# JOBS may be set. WRITE=1 also writes the scores to deploy/landed_scores.tsv.
set -euo pipefail
bench=$1
sites=$2
shift 2
cd "$(dirname "$0")/.."
landed=deploy/landed_scores.tsv
played=("$@")
[ $# -gt 0 ] || played=(large/tijolo-nordeste-large grown/tijolo-nordeste-grown
  grown/ssv-ghat-grown further/kj-budapest further-grown/kj-budapest-grown
  demands/hanbit-gc-grown demands/lpt-tolling-grown
  shifted/tijolo-nordeste-now-grown)
results=$(mktemp)
trap 'rm -f "$results"' EXIT

# Prints a line for the score and one for each standard day: site, name, figure.
read_scores() {
  awk -v site="$1" -v OFS='\t' '
    /^score on the standard days/ {
      score = $0
      sub(/.*\): /, "", score)
      sub(/,.*/, "", score)
      print site, "score", score
    }
    /^GATE / {print site, "gate", $2}
    /^(quiet|scale|trouble)-[0-9]+ +[0-9]+\/[0-9]+ / {print site, $1, $4}'
}

for site in "${played[@]}"; do
  "$bench" score "$sites/$site.toml" --jobs "${JOBS:-3}" --why "regression" |
    read_scores "$site" >>"$results"
done

awk -F'\t' -v OFS='\t' '
  NR == FNR {before[$1 FS $2] = $3; next}
  {
    key = $1 FS $2
    note = ""
    if ($2 == "gate") {gates++; note = $3 == "passed" ? "" : "FAILED"}
    else if (key in before && $2 == "score" && $3 < before[key] - 0.03) note = "LOWER"
    if (note != "") failed = 1
    print $1, $2, (key in before ? before[key] : "-"), $3, note
  }
  END {exit failed}' "$landed" "$results" || status=$?
for site in "${played[@]}"; do
  if ! grep -q "^$site"$'\t'"gate" "$results"; then
    echo "regression.sh: $site was not played to its end" >&2
    status=1
  fi
done
[ "${WRITE:-0}" = 0 ] || cp "$results" "$landed"
exit "${status:-0}"

#!/usr/bin/env bash
# Measures what each mechanism of the decisions is worth: switches one off at a
# time in a scratch copy, plays days of the operators' bench on it and prints a
# row of the table in docs/POLICY.md, the mean worth over the seeds.
# Usage: scripts/ablation.sh BENCH SITES_DIRECTORY [MECHANISM...]
# SEEDS, DAYS and SITES (paths below the directory) may be set.
set -euo pipefail
bench=$1
sites=$2
shift 2
source_directory=$(cd "$(dirname "$0")/.." && pwd)
read -ra seeds <<<"${SEEDS:-0 11}"
read -ra days <<<"${DAYS:-trouble-1 trouble-2}"
read -ra site_names <<<"${SITES:-further/kj-budapest sites/ssv-ghat sites/tijolo-nordeste}"

# name, file, sed expression that switches the mechanism off
mechanisms=(
  "none|src/forwarding/flow_director.h|"
  "waiting for a slot|src/forwarding/flow_director.h|s/max_opening_wait = Milliseconds(1200)/max_opening_wait = Milliseconds(0)/"
  "held packets|src/forwarding/flow_director.h|s/max_held_bytes = 4'000'000/max_held_bytes = 0/"
  "admission below the goal|src/forwarding/overload/feasibility.cc|s/response.deviation \* kDeviations <= limit/Duration() <= limit/"
  "list of registered agents|src/forwarding/membership_table.h|s/return m_has_registered_agents && .*/return false;/"
  "short discovery|src/forwarding/flow_search.cc|s/return uptime >= 2 \* interval/return false \&\& uptime >= 2 * interval/"
  "reservation by round trip|src/forwarding/agent_forwarder.h|s/min_reserve = Milliseconds(20)/min_reserve = Milliseconds(400)/"
  "stopped servers are skipped|src/forwarding/membership_table.h|s/return entry.heard != TimePoint() \&\&$/return false \&\& entry.heard != TimePoint() \&\&/"
  "pointers|src/forwarding/flow_director.h|s/pointer_min_age = Milliseconds(500)/pointer_min_age = Seconds(3600)/"
  "second try of openings|src/forwarding/flow_director.h|s/max_opening_retries = 3/max_opening_retries = 0/"
  "other agent when busy|src/forwarding/flow_director.h|s/max_busy_returns = 5/max_busy_returns = 1/"
  "sampled placement|src/runtime/balancer_runtime.cc|s/&PlaceBySample/\&PlaceByResponseTime/"
  "cost of active requests|src/forwarding/placement.cc|s/kActiveRequestUs = 2000/kActiveRequestUs = 0/"
  "cost of failures|src/forwarding/placement.cc|s/kFailureUs = 400'000/kFailureUs = 0/"
  "cost of other domains|src/forwarding/placement.cc|s/kOtherDomainUs = 600/kOtherDomainUs = 0/"
  "avoiding silent agents|src/forwarding/flow_waiting.cc|s/kAvoidTime = Milliseconds(600)/kAvoidTime = Milliseconds(0)/"
)

copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git -C "$source_directory" archive HEAD | tar -x -C "$copy"
git -C "$copy" init -q && git -C "$copy" add -A && git -C "$copy" -c user.name=ablation \
  -c user.email=ablation commit -qm copy

# Prints the mean worth of the chosen days and seeds on one site.
mean_worth() {
  local site=$1 why=$2
  for day in "${days[@]}"; do
    for seed in "${seeds[@]}"; do
      local variation=()
      [ "$seed" = 0 ] || variation=(--vary --seed "$seed")
      (cd "$copy" && "$bench" run "$sites/$site.toml" "$day" "${variation[@]}" \
        --jobs "${JOBS:-2}" --no-cpu --why "$why") |
        awk '/^worth /{print $2}'
    done
  done | awk '{sum += $1; n++} END {printf n ? "%.4f" : "no run", sum / n}'
}

echo "| without | ${site_names[*]} |"
for row in "${mechanisms[@]}"; do
  IFS='|' read -r name file expression <<<"$row"
  [ $# -eq 0 ] || [[ " $* " == *" ${name// /-} "* ]] || continue
  git -C "$copy" checkout -q .
  sed -i "$expression" "$copy/$file"
  if [ -n "$expression" ] && git -C "$copy" diff --quiet; then
    echo "scripts/ablation.sh: no line of $file matches for \"$name\"" >&2
    exit 1
  fi
  printf '| %s |' "$name"
  for site in "${site_names[@]}"; do
    printf ' %s |' "$(mean_worth "$site" "ablation without: $name")"
  done
  echo
done
mkdir -p "$source_directory/journal"
cp -rn "$copy/journal/." "$source_directory/journal/"

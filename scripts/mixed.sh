#!/usr/bin/env bash
# Plays a day of a deployment with the processes of one role taken from an
# earlier commit, both ways round, without charging processor time. The builds
# and the journal of the runs stay in a scratch directory, which the last line
# names; each role gets the settings template of its own commit.
# Usage: scripts/mixed.sh BENCH SITE DAY COMMIT [OPTION...]
# Options are passed to the bench. ROLES may name the roles that are old, one
# play each (default: "balancer agent").
set -euo pipefail
[ $# -ge 4 ] || { sed -n '2,9s/^# //p' "$0" >&2; exit 2; }
bench=$1
site=$2
day=$3
commit=$4
shift 4
cd "$(dirname "$0")/.."
git rev-parse --verify --quiet "$commit^{commit}" >/dev/null ||
  { echo "mixed.sh: no commit $commit in this repository" >&2; exit 2; }
scratch=$(mktemp -d)

for role in ${ROLES:-balancer agent}; do
  tree=$scratch/old-$role
  mkdir -p "$tree/production"
  git archive HEAD | tar -x -C "$tree"
  git archive "$commit" | tar -x -C "$tree/production" \
    --exclude=journal --exclude='*_test.cc'
  python3 - "$tree/deploy/system.toml" "$role" <<'PY'
import re
import sys

path, role = sys.argv[1:]
text = open(path).read()
build = re.search(r'^build = "(.*)"$', text, re.M).group(1)
old = build.replace("-S . -B target", "-S production -B production/target")
old = old.replace("--build target", "--build production/target")
text = text.replace(f'build = "{build}"', f'build = "{build} && {old}"')
head, section = text.split(f"[roles.{role}]\n")
section = section.replace('run = "', 'run = "production/', 1)
section = section.replace('template = "', 'template = "production/', 1)
open(path, "w").write(f"{head}[roles.{role}]\n{section}")
PY
  git -C "$tree" init -q
  git -C "$tree" add -A
  git -C "$tree" -c user.name=mixed -c user.email=mixed@localhost \
    commit -q -m "Scratch copy: $role of $commit"
  echo "== $role of $commit, the rest of $(git rev-parse --short HEAD)"
  (cd "$tree" && "$bench" run "$site" "$day" --no-cpu \
    --why "mixed builds: $role of $commit" "$@")
done
echo "builds and journal: $scratch"

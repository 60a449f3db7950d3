#!/usr/bin/env bash
# Prints what all processes logged about one flow or request, in order of time.
# Usage: scripts/explain_flow.sh ID LOG_FILE...
# ID: the name of a flow (16 hexadecimal digits), the id of a request, or the
# IP:PORT of a caller. Exits with 1 if no line matches.
set -euo pipefail
usage="usage: scripts/explain_flow.sh ID LOG_FILE..."
[ $# -ge 2 ] || { echo "$usage" >&2; exit 2; }
id=$1
shift
for file in "$@"; do
  [ -r "$file" ] || { echo "explain_flow.sh: cannot read $file" >&2; exit 2; }
done
# Finds the flows of the request or caller, so that lines which name only the
# flow are found as well.
flows=$(awk -v id="$id" '
  index(" " $0 " ", " request=" id " ") || index(" " $0 " ", " caller=" id " ") {
    if (match($0, /flow=[0-9a-f]+/)) print substr($0, RSTART + 5, RLENGTH - 5)
  }' "$@" | sort -u)
lines=$(awk -v ids="$id $flows" '
  BEGIN { count = split(ids, wanted, /[ \n]+/) }
  {
    for (i = 1; i <= count; ++i) {
      text = " " $0 " "
      found = index(text, " flow=" wanted[i] " ") ||
        index(text, " request=" wanted[i] " ") ||
        index(text, " caller=" wanted[i] " ")
      if (wanted[i] != "" && found && match($0, /time_ms=[0-9]+/)) {
        name = FILENAME
        sub(/.*\//, "", name)
        print substr($0, RSTART + 8, RLENGTH - 8), name ":", substr($0, RSTART)
        break
      }
    }
  }' "$@" | sort -n -s | cut -d' ' -f2-)
if [ -z "$lines" ]; then
  echo "explain_flow.sh: no line about $id in these files" >&2
  exit 1
fi
printf '%s\n' "$lines"

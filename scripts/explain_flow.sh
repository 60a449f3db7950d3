#!/usr/bin/env bash
# Shows what every process logged about one flow or request, in order of time.
# Usage: scripts/explain_flow.sh ID LOG_FILE...
# ID: a flow's name (16 hex digits), a request's id, or a caller's IP:PORT.
set -euo pipefail
id=${1:?usage: scripts/explain_flow.sh ID LOG_FILE...}
shift
[ $# -gt 0 ] || { echo "explain_flow.sh: name at least one log file" >&2; exit 2; }
# A request or a caller leads to the names of its flows first.
flows=$(grep -hE "(request|caller)=$id( |\$)" "$@" | grep -oE 'flow=[0-9a-f]{16}' |
  sort -u | cut -d= -f2 || true)
pattern=$(printf '%s\n' "$id" $flows | paste -sd'|')
lines=$(grep -hE "(flow|request|caller)=($pattern)( |\$)" "$@" || true)
if [ -z "$lines" ]; then
  echo "explain_flow.sh: nothing is logged about $id" >&2
  exit 1
fi
printf '%s\n' "$lines" | sed -E 's/.*(time_ms=)/\1/; t' | sort -t= -k2,2n -s |
  uniq

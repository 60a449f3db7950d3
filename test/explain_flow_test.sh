#!/usr/bin/env bash
# The searches of docs/OPERATIONS.md must still lead from an id to its cause.
# The files under test/logs are lines of runs, one file a process.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0

# Checks that the search for an id prints a text, and that the page shows it.
expect() { # ID FILES TEXT
  if ! scripts/explain_flow.sh "$1" test/logs/$2 | grep -qF "$3"; then
    echo "explain_flow_test.sh: $1 no longer leads to \"$3\"" >&2
    failed=1
  fi
  if ! grep -qF "scripts/explain_flow.sh $1" docs/OPERATIONS.md; then
    echo "explain_flow_test.sh: docs/OPERATIONS.md does not show $1" >&2
    failed=1
  fi
}

expect 100.64.0.37:1278 'overload-*.log' 'reason=overloaded'
expect 100.64.0.37:1278 'overload-*.log' 'reason=full'
expect 100.66.0.37:1091 'partition-*.log' 'reason=no_agent'
expect 34b819ec465f63f3 'failed-*.log' 'reason=server_failed'

status=0
scripts/explain_flow.sh ffffffffffffffff test/logs/*.log 2>/dev/null || status=$?
if [ "$status" -ne 1 ]; then
  echo "explain_flow_test.sh: an unknown id must exit with 1" >&2
  failed=1
fi
exit "$failed"

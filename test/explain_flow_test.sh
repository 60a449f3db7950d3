#!/usr/bin/env bash
# Checks that the searches shown in docs/OPERATIONS.md find the cause of a failed
# request. The files under test/logs hold log lines of real runs, one file for
# each process.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0

# Checks that a search for the id prints the text, and that docs/OPERATIONS.md
# shows this search.
expect() { # ID FILES TEXT
  if ! scripts/explain_flow.sh "$1" test/logs/$2 | grep -qF "$3"; then
    echo "explain_flow_test.sh: the search for $1 does not print \"$3\"" >&2
    failed=1
  fi
  if ! grep -qF "scripts/explain_flow.sh $1" docs/OPERATIONS.md; then
    echo "explain_flow_test.sh: docs/OPERATIONS.md does not show the search for $1" >&2
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
  echo "explain_flow_test.sh: a search for an unknown id exits with $status, not 1" >&2
  failed=1
fi
exit "$failed"

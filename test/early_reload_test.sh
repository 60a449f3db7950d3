#!/usr/bin/env bash
# Checks that a reload signal that arrives before the daemon has read its settings
# does not end it. Usage: early_reload_test.sh DAEMON
set -euo pipefail
directory=$(mktemp -d)
trap 'rm -r "$directory"' EXIT
mkfifo "$directory/settings.json"
# The daemon waits for the other end of the pipe while it opens the file.
MEDLARGAUGE_SETTINGS="$directory/settings.json" "$1" >"$directory/log" &
daemon=$!
sleep 0.5
kill -HUP "$daemon"
timeout 5 bash -c "echo '{' >'$directory/settings.json'" || true
status=0
wait "$daemon" || status=$?
if [ "$status" -ne 3 ]; then
  echo "early_reload_test.sh: the daemon ended with status $status instead of 3" >&2
  exit 1
fi

#!/usr/bin/env bash
# Checks the formatting of all sources except generated ones and runs the linter
# over them. With --format_only it only checks the formatting.
# Usage: scripts/lint.sh [--format_only]
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.cc' '*.h' | grep -v '\.pb\.')
clang-format --dry-run --Werror "${sources[@]}"
[ "${1:-}" = --format_only ] && exit 0
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$' |
  grep -v '_fuzz\.cc$')
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null

#!/usr/bin/env bash
# Builds everything into build/. Precondition: scripts/setup.sh has run.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
ninja -C build "$@" >/dev/null

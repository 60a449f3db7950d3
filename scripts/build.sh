#!/usr/bin/env bash
# Builds all programs and tests into build/. Precondition: scripts/setup.sh has
# run. Usage: scripts/build.sh [NINJA_ARGUMENT...]
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
ninja -C build "$@" >/dev/null

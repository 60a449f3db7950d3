#!/usr/bin/env bash
# Installs missing packages, builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
ctest --test-dir build --output-on-failure

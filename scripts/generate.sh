#!/usr/bin/env bash
# Regenerates the committed protobuf code. Only needed after a .proto change.
set -euo pipefail
cd "$(dirname "$0")/.."
find src -name '*.proto' -print0 | xargs -0 protoc --cpp_out=.

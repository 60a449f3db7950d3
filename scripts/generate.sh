#!/usr/bin/env bash
# Generates the protobuf code again, which is committed. Run it after a change of
# a .proto file.
set -euo pipefail
cd "$(dirname "$0")/.."
find src -name '*.proto' -print0 | xargs -0 protoc --cpp_out=.

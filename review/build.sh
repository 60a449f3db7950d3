#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/. Needs the build of
# the deploy file before it, and no other package.
set -euo pipefail
cd "$(dirname "$0")/.."
g++ -std=c++17 -O1 -Wall -Wextra -I. -o target/review_case \
  review/1/case_main.cc \
  platform/standin/packet_writer.cc platform/standin/store_standin.cc \
  platform/standin/stream.cc platform/standin/work_text.cc \
  soak/process_supervisor.cc soak/router_standin.cc \
  target/libmedlargauge_platform.a target/libmedlargauge_runtime.a \
  target/libmedlargauge_settings.a target/libmedlargauge_core.a \
  -l:libevent_extra.a -l:libevent_core.a -l:libprotobuf-lite.a \
  -l:libxxhash.a -l:libabsl_strings.a -l:libabsl_strings_internal.a \
  -l:libabsl_int128.a -l:libabsl_throw_delegate.a \
  -l:libabsl_raw_logging_internal.a -l:libabsl_base.a -lpthread

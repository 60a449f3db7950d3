#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Precondition:
# the build of deploy/system.toml, whose libraries in target/ they use.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++17 -O2 -Wall -Wextra -I.)
# The project's own stand-ins.
objects=()
for source in platform/standin/packet_writer.cc platform/standin/stream.cc \
  platform/standin/work_text.cc soak/process_supervisor.cc \
  soak/tcp_relay.cc; do
  object="$out/$(basename "$source" .cc).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
wait
libraries=(target/libmedlargauge_platform.a target/libmedlargauge_runtime.a
  target/libmedlargauge_settings.a target/libmedlargauge_core.a
  -lprotobuf-lite -lxxhash -labsl_strings -labsl_strings_internal -labsl_int128
  -labsl_throw_delegate -labsl_raw_logging_internal -labsl_base
  -levent_extra -levent_core -lpthread)
pids=()
for source in review/{6,7,8,9,10}/*.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" "${libraries[@]}" \
    -o "$out/case-$number" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done

// @file peer_wire_fuzz.cc libFuzzer target for datagrams between processes.
#include <cstdlib>

#include "src/runtime/peer_exercise.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (!medlargauge::ExercisePeerFrame(
          std::string(reinterpret_cast<const char*>(data), size))) {
    std::abort();
  }
  return 0;
}

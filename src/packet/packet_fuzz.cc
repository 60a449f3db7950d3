// @file packet_fuzz.cc libFuzzer target for the packet and envelope parsers.
#include <cstdlib>

#include "src/packet/envelope.h"
#include "src/packet/packet.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlargauge;
  Error reason;
  ParsePacket({data, size}, &reason);
  const auto gue = ParseGue({data, size}, &reason);
  if (!gue.has_value()) {
    return 0;
  }
  ParsePacket(gue->packet, &reason);
  const auto envelope = ParseEnvelope(gue->private_data, &reason);
  if (envelope.has_value()) {
    // A parsed envelope must be written back at its original size. Envelopes
    // without a sampled trace are exempt: the parser accepts a trace flag with
    // a zero trace id, but the writer leaves such a trace out.
    std::array<uint8_t, kMaxGueHeaderSize> out;
    const size_t written = WriteEnvelope(*envelope, {out.data(), out.size()});
    if (written != kGueHeaderSize + gue->private_data.size() &&
        envelope->trace.IsSampled()) {
      std::abort();
    }
  }
  return 0;
}

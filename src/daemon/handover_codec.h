// @file handover_codec.h Encoding of the state that a successor takes over.
#ifndef MEDLARGAUGE_DAEMON_HANDOVER_CODEC_H_
#define MEDLARGAUGE_DAEMON_HANDOVER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/core/error_type.h"
#include "src/locate/agent.h"

namespace medlargauge {

/// Encodes an agent's hand-over state: its peers and its unexpired flows. Flow
/// deadlines are encoded as remaining times, because the monotonic clocks of
/// two processes differ. Thread-safe.
std::string EncodeHandover(const AgentSnapshot& snapshot, TimePoint now);

/// Decodes a hand-over state and skips flows with invalid fields. Thread-safe.
/// @param now time on the clock of this process, for the flow deadlines
/// @param reason kMalformedValue when there is no result
std::optional<AgentSnapshot> DecodeHandover(std::string_view bytes,
                                            TimePoint now,
                                            Error* reason);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_HANDOVER_CODEC_H_

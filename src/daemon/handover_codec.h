// @file handover_codec.h The flow table on its way to a successor.
#ifndef MEDLARGAUGE_DAEMON_HANDOVER_CODEC_H_
#define MEDLARGAUGE_DAEMON_HANDOVER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "src/core/error_type.h"
#include "src/locate/agent.h"

namespace medlargauge {

/// Writes a hand-over. Deadlines become remaining times, because clocks of two
/// processes differ. Thread-safe.
std::string EncodeHandover(const AgentSnapshot& state, TimePoint now);

/// Reads a hand-over. Thread-safe.
/// @param reason kMalformedValue when there is no result
std::optional<AgentSnapshot> DecodeHandover(std::string_view bytes,
                                            TimePoint now,
                                            Error* reason);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_HANDOVER_CODEC_H_

// @file envelope_type.h What travels in front of a caller's packet.
#ifndef MEDLARGAUGE_PACKET_ENVELOPE_TYPE_H_
#define MEDLARGAUGE_PACKET_ENVELOPE_TYPE_H_

#include <array>
#include <cstdint>

#include "src/core/ids_type.h"

namespace medlargauge {

/// Why a packet was sent to an agent.
enum class Purpose : uint8_t {
  kRoute = 0,          ///< The sender believes the receiver is the flow's home.
  kHandover = 1,       ///< The home asks the receiver to admit the flow.
  kPresumedOwner = 2,  ///< The home believes the receiver owns the flow.
  kConsult = 3,        ///< The home asks whether anyone admitted this flow.
  kSearch = 4,         ///< The home asks who owns this established flow.
};

/// Number of purposes, for checks of received values.
constexpr uint8_t kPurposeCount = 5;

/// Bounded list of short member identifiers, stored in place.
template <size_t kCapacity>
struct MemberList {
  std::array<uint32_t, kCapacity> ids{};  ///< Short identifiers.
  uint8_t count = 0;                      ///< Used entries.

  /// Appends unless full or already present.
  void Add(uint32_t id) {
    if (!Contains(id) && count < kCapacity) {
      ids[count++] = id;
    }
  }
  /// Returns whether `id` is listed.
  bool Contains(uint32_t id) const {
    for (uint8_t i = 0; i < count; ++i) {
      if (ids[i] == id) {
        return true;
      }
    }
    return false;
  }
};

/// W3C trace context of a sampled packet.
struct TraceContext {
  uint64_t trace_high = 0;  ///< Upper half of the trace id.
  uint64_t trace_low = 0;   ///< Lower half; 0 means "not sampled".
  uint64_t span = 0;        ///< Span of the sending hop.

  /// Returns whether spans are to be written.
  bool IsSampled() const { return trace_low != 0; }
};

constexpr size_t kMaxVisited = 4;
constexpr size_t kMaxPending = 13;

/// Envelope between balancers and agents.
struct Envelope {
  Purpose purpose = Purpose::kRoute;  ///< Why the receiver got the packet.
  uint8_t hops = 0;                   ///< Agents passed so far.
  ClassId class_id;                   ///< Class of the packet.
  uint64_t revision = 0;              ///< Target revision at the sender.
  ViewId view;                        ///< View of the deciding home.
  uint32_t requester = 0;             ///< Short id of the deciding home.
  /// Asked agent that lost its table and may have had the flow; 0 for none.
  uint32_t possible_owner = 0;
  bool fresh = false;  ///< The home has just placed the flow.
  bool confirmed_by_peer =
      false;  ///< A peer remembers the flow at the possible_owner.
  uint32_t query_batch = 0;         ///< Part of a large group being asked.
  MemberList<kMaxVisited> visited;  ///< Agents that do not own the flow.
  MemberList<kMaxPending> pending;  ///< Agents still to be asked.
  TraceContext trace;               ///< Sampled trace, if any.
};

/// Returns the identifier of a member within its service group.
inline uint32_t ShortId(MemberId id) {
  return static_cast<uint32_t>(id.value ^ (id.value >> 32U));
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_PACKET_ENVELOPE_TYPE_H_

// @file envelope_type.h Envelope that balancers and agents put before a packet.
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
  kPresumedOwner = 2,  ///< The sender believes the receiver owns the flow.
  kConsult = 3,        ///< The home asks whether any agent admitted this flow.
  kSearch = 4,         ///< The home asks which agent owns this open flow.
};

/// Number of purposes; the parser rejects values from here on.
constexpr uint8_t kPurposeCount = 5;

/// Bounded list of short member identifiers, stored in place.
template <size_t kCapacity>
struct MemberList {
  std::array<uint32_t, kCapacity> ids{};  ///< Short identifiers.
  uint8_t count = 0;                      ///< Number of identifiers in `ids`.

  /// Appends `id` unless the list is full or contains it already.
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
  uint64_t trace_low = 0;   ///< Lower half of the trace id; 0: not sampled.
  uint64_t span = 0;        ///< Span id of the sending hop.

  /// Returns whether spans are written for this packet.
  bool IsSampled() const { return trace_low != 0; }
};

// With the fixed part and the trace context, two full lists take exactly the 31
// words of private data that a GUE header can hold.
constexpr size_t kMaxVisited = 4;
constexpr size_t kMaxPending = 13;

/// Envelope that travels with a caller's packet between balancers and agents.
struct Envelope {
  Purpose purpose = Purpose::kRoute;  ///< Why the receiver gets the packet.
  uint8_t hops = 0;                   ///< Number of agents passed so far.
  ClassId class_id;                   ///< Class that the packet belongs to.
  uint64_t revision = 0;              ///< Revision of the sender's targets.
  ViewId view;                        ///< View in which the home decided.
  /// Short id of the home that decides about the flow; 0 for none.
  uint32_t requester = 0;
  /// Short id of a queried agent that lost its flow table and may have owned
  /// the flow; 0 for none.
  uint32_t possible_owner = 0;
  /// The home has just chosen the receiver for a new flow. The receiver may
  /// then decline because of its own load; the decline says nothing about
  /// other agents, so the home need not query them again.
  bool fresh = false;
  /// A peer's pointer names `possible_owner` as the owner of the flow.
  bool confirmed_by_peer = false;
  /// Index of the batch of agents being queried. A group of more than
  /// kMaxPending agents is queried in several batches.
  uint32_t query_batch = 0;
  MemberList<kMaxVisited> visited;  ///< Agents that do not own the flow.
  MemberList<kMaxPending> pending;  ///< Agents of the batch still to query.
  TraceContext trace;               ///< Trace context if sampled.
};

/// Returns the 32-bit identifier of a member within its service group.
/// Thread-safe.
inline uint32_t ShortId(MemberId id) {
  return static_cast<uint32_t>(id.value ^ (id.value >> 32U));
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_PACKET_ENVELOPE_TYPE_H_

// @file flow_type.h Entry of a flow table, its states and its expiry time.
#ifndef MEDLARGAUGE_FLOW_FLOW_TYPE_H_
#define MEDLARGAUGE_FLOW_FLOW_TYPE_H_

#include <cstdint>

#include "src/core/ids_type.h"
#include "src/core/time_type.h"
#include "src/packet/packet_type.h"

namespace medlargauge {

/// State of a flow table entry.
enum class FlowState : uint8_t {
  kOwned,     ///< Served by this agent's backend server.
  kClosing,   ///< Owned; the caller has sent FIN or RST.
  kRestored,  ///< Owned according to a peer; no packet has arrived since.
  kPointer,   ///< Served by the agent in `owner`.
  kReserved,  ///< The agent in `owner` asked first and decides the flow.
  kRefused,   ///< Refused as "not run": no copy of the packet may be admitted.
};

/// Expiry time in coarse ticks. Takes four bytes, so that a table of 400,000
/// entries stays small.
struct FlowDeadline {
  uint32_t ticks = 0;  ///< Multiples of kFlowTick since the clock's epoch.

  friend bool operator<(FlowDeadline a, FlowDeadline b) {
    return a.ticks < b.ticks;
  }
};

/// Resolution of FlowDeadline.
constexpr Duration kFlowTick = Milliseconds(100);

/// Converts `time` to ticks, rounded up so that no entry expires early.
/// Thread-safe.
inline FlowDeadline ToFlowDeadline(TimePoint time) {
  const auto ticks =
      (time.time_since_epoch() + kFlowTick - Duration(1)) / kFlowTick;
  return FlowDeadline{static_cast<uint32_t>(ticks)};
}

/// State of one flow, its owner and its expiry time.
struct FlowEntry {
  FlowId flow;                            ///< All zero in an empty slot.
  ClassId class_id;                       ///< Class at admission.
  FlowDeadline expires;                   ///< Removed by a sweep after this.
  uint32_t initial_sequence = 0;          ///< Sequence of the opening SYN.
  PeerSlot owner;                         ///< Valid if another agent owns it.
  FlowState state = FlowState::kOwned;    ///< State of the flow.
  Transport transport = Transport::kTcp;  ///< Valid for owned flows.

  /// Returns whether this agent's backend server serves the flow.
  bool IsOwned() const {
    return state == FlowState::kOwned || state == FlowState::kClosing ||
           state == FlowState::kRestored;
  }
};
static_assert(sizeof(FlowEntry) == 32, "keep 400,000 flows within 64 B each");

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FLOW_FLOW_TYPE_H_

// @file flow_type.h One entry of a flow table.
#ifndef MEDLARGAUGE_FLOW_FLOW_TYPE_H_
#define MEDLARGAUGE_FLOW_FLOW_TYPE_H_

#include <cstdint>

#include "src/core/ids_type.h"
#include "src/core/time_type.h"
#include "src/packet/packet_type.h"

namespace medlargauge {

/// Where an entry stands.
enum class FlowState : uint8_t {
  kOwned,     ///< Served by this agent's backend server.
  kClosing,   ///< Owned; the caller has sent FIN or RST.
  kRestored,  ///< Owned as peers remember it; no packet has come since.
  kPointer,   ///< Served by the agent in `owner`.
  kReserved,  ///< Another agent asked first and decides; see `owner`.
  kRefused,   ///< Told "not run", so no copy of the packet may be admitted.
};

/// A deadline in coarse ticks, small enough for 400,000 flows.
struct FlowDeadline {
  uint32_t ticks = 0;  ///< Multiples of kFlowTick since time zero.

  friend bool operator<(FlowDeadline a, FlowDeadline b) {
    return a.ticks < b.ticks;
  }
};

constexpr Duration kFlowTick = Milliseconds(100);

/// Returns `when` in ticks, rounded up so that nothing expires early.
/// Thread-safe.
inline FlowDeadline ToFlowDeadline(TimePoint when) {
  const auto ticks =
      (when.time_since_epoch() + kFlowTick - Duration(1)) / kFlowTick;
  return FlowDeadline{static_cast<uint32_t>(ticks)};
}

/// One flow: its owner and until when it is remembered.
struct FlowEntry {
  FlowId flow;                            ///< All zero in an empty slot.
  ClassId class_id;                       ///< Class at admission.
  FlowDeadline expires;                   ///< Forgotten after this.
  uint32_t initial_sequence = 0;          ///< Of the SYN that opened it.
  PeerSlot owner;                         ///< Owner if not this agent.
  FlowState state = FlowState::kOwned;    ///< Kind of entry.
  Transport transport = Transport::kTcp;  ///< Valid for owned flows.

  /// Returns whether this agent's backend server has the flow.
  bool IsOwned() const {
    return state == FlowState::kOwned || state == FlowState::kClosing ||
           state == FlowState::kRestored;
  }
};
static_assert(sizeof(FlowEntry) == 32, "keep 400,000 flows within 64 B each");

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FLOW_FLOW_TYPE_H_

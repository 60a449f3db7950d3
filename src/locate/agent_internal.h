// @file agent_internal.h Declarations shared by the agent's source files.
#ifndef MEDLARGAUGE_LOCATE_AGENT_INTERNAL_H_
#define MEDLARGAUGE_LOCATE_AGENT_INTERNAL_H_

#include "src/flow/flow_type.h"
#include "src/group/group.pb.h"
#include "src/locate/agent.h"

namespace medlargauge {

/// Packet that a decision is made about, with its context.
struct Agent::Request {
  TimePoint now;             ///< Arrival time.
  const PacketInfo& packet;  ///< Parsed headers of the packet.
  const Envelope& envelope;  ///< Envelope that the packet arrived with.
  /// Set when a pointer or reservation proved outdated: all peers must be asked
  /// before a new decision.
  bool must_query_all = false;
};

namespace detail {

/// Adds a flow to a registration message. Thread-safe.
inline void AddToRegistration(const FlowEntry& entry,
                              proto::Registration* registration) {
  registration->add_flow_high(entry.flow.high);
  registration->add_flow_low(entry.flow.low);
  registration->add_class_id(entry.class_id.value);
  registration->add_initial_sequence(entry.initial_sequence);
  registration->add_udp(entry.transport == Transport::kUdp);
}

}  // namespace detail
}  // namespace medlargauge

#endif  // MEDLARGAUGE_LOCATE_AGENT_INTERNAL_H_

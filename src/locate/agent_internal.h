// @file agent_internal.h Parts shared by the sources of the agent.
#ifndef MEDLARGAUGE_LOCATE_AGENT_INTERNAL_H_
#define MEDLARGAUGE_LOCATE_AGENT_INTERNAL_H_

#include "src/flow/flow_type.h"
#include "src/group/group.pb.h"
#include "src/locate/agent.h"

namespace medlargauge {

/// One packet on its way through the decisions.
struct Agent::Request {
  TimePoint now;             ///< Time of the event.
  const PacketInfo& packet;  ///< The packet.
  const Envelope& envelope;  ///< The envelope it came with.
  /// A pointer proved wrong: ask everybody before a new decision.
  bool must_query_all = false;
};

namespace detail {

/// Appends one flow to a registration. Thread-safe.
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

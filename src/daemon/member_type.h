// @file member_type.h Entry of the membership table.
#ifndef MEDLARGAUGE_DAEMON_MEMBER_TYPE_H_
#define MEDLARGAUGE_DAEMON_MEMBER_TYPE_H_

#include <netinet/in.h>

#include "src/gossip/gossip.pb.h"
#include "src/routing/routing_type.h"

namespace medlargauge {

/// A member of the fleet, with its record decoded.
struct Member {
  proto::MemberRecord record;  ///< Record as disseminated by gossip.
  AgentFacts facts;            ///< Identifiers and state from the record.
  ServiceId service;           ///< Not set for a balancer.
  sockaddr_in data_address{};  ///< Destination of packets to the member.
};

/// Returns whether the member is a balancer. Thread-safe.
inline bool IsBalancer(const Member& member) {
  return member.record.role() == "balancer";
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_MEMBER_TYPE_H_

// @file member_type.h A member of the fleet as its processes know it.
#ifndef MEDLARGAUGE_DAEMON_MEMBER_TYPE_H_
#define MEDLARGAUGE_DAEMON_MEMBER_TYPE_H_

#include <netinet/in.h>

#include "src/gossip/gossip.pb.h"
#include "src/routing/routing_type.h"

namespace medlargauge {

/// One member with its addresses resolved.
struct Member {
  proto::MemberRecord record;  ///< As the member told it.
  AgentFacts facts;            ///< The same, for decisions.
  ServiceId service;           ///< Not set for a balancer.
  sockaddr_in data_address{};  ///< For packets.
};

/// Returns whether the member is a balancer. Thread-safe.
inline bool IsBalancer(const Member& member) {
  return member.record.role() == "balancer";
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_MEMBER_TYPE_H_

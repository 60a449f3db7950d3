// @file unaware_fleet.cc Decision of an agent that hears older balancers.
#include "src/forwarding/evacuation/unaware_fleet.h"

#include "src/forwarding/status_schedule.h"

namespace medlargauge {

bool IsFleetUnawareOfEvacuations(TimePoint now,
                                 const MembershipTable& members) {
  // A balancer answers the first status of an agent at once. The agent repeats
  // it once in this time, as a datagram may be lost.
  const Duration answer_time = 2 * JoinRetryDelay(1);
  bool has_waited = false;
  for (const auto& [id, entry] : members.Entries()) {
    if (entry.member.role != MemberRole::kBalancer) {
      continue;
    }
    const bool had_time = now - entry.discovered_at >= answer_time;
    if (entry.heard == TimePoint()) {
      if (!had_time) {
        return false;
      }
      continue;
    }
    if (Supports(entry.protocol, Feature::kEvacuations)) {
      if (members.IsReachable(now, entry)) {
        return false;
      }
      continue;
    }
    has_waited = has_waited || had_time;
  }
  return has_waited;
}

}  // namespace medlargauge

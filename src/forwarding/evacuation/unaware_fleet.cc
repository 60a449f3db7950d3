// @file unaware_fleet.cc Decision of an agent that hears older balancers.
#include "src/forwarding/evacuation/unaware_fleet.h"

#include "src/forwarding/status_schedule.h"

namespace medlargauge {

bool IsFleetUnawareOfEvacuations(TimePoint now,
                                 const MembershipTable& members) {
  // A balancer that gets the first status of an agent answers at once, and else
  // within its interval.
  const Duration answer_time = StatusInterval(MemberRole::kBalancer, 0);
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

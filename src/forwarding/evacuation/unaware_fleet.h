// @file unaware_fleet.h Agents among balancers that know of no evacuations.
#ifndef MEDLARGAUGE_FORWARDING_EVACUATION_UNAWARE_FLEET_H_
#define MEDLARGAUGE_FORWARDING_EVACUATION_UNAWARE_FLEET_H_

#include "src/forwarding/membership_table.h"

namespace medlargauge {

/// Returns whether no balancer of the fleet can tell an agent of evacuations:
/// each one that is heard has an older build, and others have had the time to
/// answer. Such an agent must not wait for a list of evacuations, as all agents
/// would refuse new flows after a loss of power while old balancers run. False
/// while no balancer is heard. Thread-safe for a table that nobody changes.
bool IsFleetUnawareOfEvacuations(TimePoint now, const MembershipTable& members);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_EVACUATION_UNAWARE_FLEET_H_

// @file lab_oracle.h What the servers of a scenario could do at best.
#ifndef MEDLARGAUGE_LAB_LAB_ORACLE_H_
#define MEDLARGAUGE_LAB_LAB_ORACLE_H_

#include <vector>

#include "lab/lab_type.h"

namespace medlargauge::lab {

/// Serves the arrivals of a run with full knowledge: one queue for each
/// service, the work of each request that has arrived, and the state of every
/// server at any time. A request goes to the slot where it ends first. While
/// the requests that wait cannot all be answered within their goals, those with
/// the lowest worth for their work give way; they are served with spare slots.
/// Of two orders of service, by the end of the goal and by the last useful
/// start, each service gets the one that earns more.
///
/// It bounds what placement and the order of service can achieve, because no
/// process has to guess or to ask. It is not a proven optimum: it knows no
/// later arrival, interrupts no request and decides greedily, so that a ratio
/// to it may exceed 1 by a little.
///
/// Left out: packet loss, faults of balancers and agents, retransmissions, and
/// the time for noticing that a server fails. Servers that crash, drain, fail,
/// reset, refuse or become slow aren't used meanwhile (the slowest ones are
/// taken), and the requests that they have are answered. A loss of all power
/// ends the requests in progress. Idle flows are open at every server.
///
/// Thread-safe.
/// @param arrivals in the order of their times
Result ServeByOracle(const Scenario& scenario,
                     const std::vector<Arrival>& arrivals);

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_LAB_ORACLE_H_

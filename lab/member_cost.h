// @file member_cost.h Processor time that the membership of a process takes.
#ifndef MEDLARGAUGE_LAB_MEMBER_COST_H_
#define MEDLARGAUGE_LAB_MEMBER_COST_H_

#include <cstddef>

namespace medlargauge::lab {

/// Processor time of one call each, in microseconds, for a balancer that knows
/// this many members. The first two run ten times a second.
struct MemberCost {
  size_t members = 0;         ///< Seven of ten are agents.
  double tick_us = 0;         ///< MembershipTable::OnTick.
  double schedule_us = 0;     ///< StatusSchedule::TakeDue.
  double count_us = 0;        ///< CountLiveAgents, once for each status sent.
  double reported_us = 0;     ///< LargestReportedAgents, once a search's end.
  double statuses_per_s = 0;  ///< Statuses sent.
};

/// Measures on this host. Thread-safe.
MemberCost MeasureMemberCost(size_t members);

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_MEMBER_COST_H_

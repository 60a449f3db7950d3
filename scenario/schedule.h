// @file schedule.h Random schedules of faults, and their runs in a World.
#ifndef MEDLARGAUGE_SCENARIO_SCHEDULE_H_
#define MEDLARGAUGE_SCENARIO_SCHEDULE_H_

#include <string>

#include "scenario/schedule_type.h"
#include "scenario/world_type.h"

namespace medlargauge {

/// Result of the run of a schedule.
struct ScheduleResult {
  WorldCounts counts;              ///< Counts of the world at the end.
  AgentCounters agents;            ///< Sum over the running agents at the end.
  std::vector<std::string> trace;  ///< World::ViolationLog.

  /// Returns the number of violations of invariants. `gave_up` is not among
  /// them, because members may be unreachable for longer than a caller tries.
  uint64_t Violations() const {
    return counts.Violations() + agents.admissions_while_draining +
           agents.admissions_of_other_service + agents.flows_with_two_owners;
  }
};

/// Returns a random schedule. Equal arguments give equal schedules.
/// Thread-safe.
/// @param faults number of faults
Schedule MakeSchedule(uint32_t seed, size_t faults);

/// Runs a schedule in a world with two services under traffic. Thread-safe.
/// @param fault_injection disables rules, to show that the checks detect it
/// @param on_verdict called after each decision of an agent unless empty
ScheduleResult RunSchedule(const Schedule& schedule,
                           const FaultInjection& fault_injection,
                           VerdictHook on_verdict = {});

/// Returns a text with the seed in the first line and then a line for each
/// fault, ordered by time. Thread-safe.
std::string Describe(const Schedule& schedule);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_SCHEDULE_H_

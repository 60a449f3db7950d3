// @file schedule.h Runs random schedules of faults against the decisions.
#ifndef MEDLARGAUGE_SCENARIO_SCHEDULE_H_
#define MEDLARGAUGE_SCENARIO_SCHEDULE_H_

#include <string>

#include "scenario/schedule_type.h"
#include "scenario/world_type.h"

namespace medlargauge {

/// What a schedule led to.
struct ScheduleResult {
  WorldCounts counts;              ///< Counts of the world.
  AgentCounters agents;            ///< Counters of the agents at the end.
  std::vector<std::string> trace;  ///< A line for each violation.

  /// Returns the number of violated promises. `gave_up` is not among them: a
  /// caller may have to call again while members are unreachable.
  uint64_t Violations() const {
    return counts.Violations() + agents.admissions_while_draining +
           agents.admissions_of_other_service + agents.flows_with_two_owners;
  }
};

/// Makes a random schedule. Equal seeds give equal schedules. Thread-safe.
Schedule MakeSchedule(uint32_t seed, size_t faults);

/// Runs one schedule with two services under traffic. Thread-safe.
/// @param fault_injection breaks central rules, to show that checks notice
/// @param on_verdict traces decisions; may be empty
ScheduleResult RunSchedule(const Schedule& schedule,
                           const FaultInjection& fault_injection,
                           VerdictHook on_verdict = {});

/// Returns one line a fault, as text. Thread-safe.
std::string Describe(const Schedule& schedule);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_SCHEDULE_H_

// @file schedule_type.h Schedule of faults and planned changes.
#ifndef MEDLARGAUGE_SCENARIO_SCHEDULE_TYPE_H_
#define MEDLARGAUGE_SCENARIO_SCHEDULE_TYPE_H_

#include <cstdint>
#include <vector>

namespace medlargauge {

/// Kinds of faults and planned changes. Most last up to a limit, of which
/// ScheduledFault::amount selects the fraction.
enum class FaultKind : uint8_t {
  kDrainServer,      ///< Planned: drains a server and starts it again.
  kUpgradeAgent,     ///< Planned: a new process imports the flows.
  kCrashAgent,       ///< An agent crashes and recovers within 4 s.
  kPauseAgent,       ///< An agent's process stops for up to 8 s.
  kRestartBalancer,  ///< Planned: a balancer stops for up to 4 s.
  kCrashBalancer,    ///< A balancer crashes and returns within 6 s.
  kCutOneWay,        ///< Cuts a link in one direction for up to 8 s.
  kIsolateAgent,     ///< Cuts all links of an agent for up to 8 s.
  kChangeTrial,      ///< Planned: operators change the trial share.
  kLossBurst,        ///< Loss, duplicates, reordering; up to 10 s.
  kShedLoad,         ///< A backend server sheds load for up to 8 s.
  kAddServer,        ///< Planned: a new backend server joins.
};

/// Number of fault kinds, for tables indexed by kind.
constexpr int kFaultKindCount = 12;

/// One entry of a schedule.
struct ScheduledFault {
  FaultKind kind = FaultKind::kDrainServer;  ///< Kind of the fault.
  uint32_t at_ms = 0;   ///< Time since the start of the schedule.
  uint32_t target = 0;  ///< Selects the member, modulo their number.
  uint32_t amount = 0;  ///< Selects length or share, 0 to 999.
};

/// A seed and faults. Equal schedules lead to equal runs on every host.
struct Schedule {
  uint32_t seed = 1;  ///< Seed of the world's random generator.
  std::vector<ScheduledFault> faults;  ///< In any order.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_SCHEDULE_TYPE_H_

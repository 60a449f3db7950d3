// @file schedule_type.h A random schedule of faults.
#ifndef MEDLARGAUGE_SCENARIO_SCHEDULE_TYPE_H_
#define MEDLARGAUGE_SCENARIO_SCHEDULE_TYPE_H_

#include <cstdint>
#include <vector>

namespace medlargauge {

/// Kinds of faults and planned changes.
enum class FaultKind : uint8_t {
  kDrainServer,      ///< Planned: drain, stop, start again.
  kUpgradeAgent,     ///< Planned: successor takes over the flow table.
  kCrashAgent,       ///< Agent dies and recovers within 4 s.
  kPauseAgent,       ///< Process stops for up to 8 s.
  kRestartBalancer,  ///< Planned: leaves, returns.
  kCrashBalancer,    ///< Dies and returns.
  kCutOneWay,        ///< One direction between two agents for up to 8 s.
  kIsolateAgent,     ///< Cut from everybody for up to 8 s.
  kChangeTrial,      ///< Operators change the trial share.
  kLossBurst,        ///< Loss, duplicates and reordering for a while.
  kShedLoad,         ///< A backend server sheds for a while.
  kAddServer,        ///< A new backend server joins.
};

constexpr int kFaultKinds = 12;

/// One entry of a schedule.
struct ScheduledFault {
  FaultKind kind = FaultKind::kDrainServer;  ///< What happens.
  uint32_t at_ms = 0;   ///< After the start of the schedule.
  uint32_t target = 0;  ///< Chooses the member, modulo their number.
  uint32_t amount = 0;  ///< Chooses length or share, 0 to 999.
};

/// A seed with faults: replays the same run on every machine.
struct Schedule {
  uint32_t seed = 1;                   ///< Of everything else.
  std::vector<ScheduledFault> faults;  ///< In any order.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_SCHEDULE_TYPE_H_

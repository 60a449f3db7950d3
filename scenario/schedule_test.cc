// @file schedule_test.cc Random schedules on fixed seeds, and proof that each
// check notices a broken rule.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fstream>
#include <sstream>

#include "scenario/schedule.h"
#include "scenario/script.h"

namespace medlargauge {
namespace {

constexpr uint32_t kFixedSchedules = 24;
constexpr size_t kFaults = 2;
constexpr uint32_t kFaultySchedules = 60;

/// Schedules with a broken rule until the first violation.
bool IsNoticed(const FaultInjection& fault_injection, size_t faults) {
  for (uint32_t seed = 1; seed <= kFaultySchedules; ++seed) {
    if (RunSchedule(MakeSchedule(seed, faults), fault_injection).Violations() >
        0) {
      return true;
    }
  }
  return false;
}

ScheduledFault AnyFault(uint32_t target) {
  ScheduledFault fault;
  fault.kind = static_cast<FaultKind>(*rc::gen::inRange(0, kFaultKinds));
  fault.at_ms = *rc::gen::inRange<uint32_t>(0, 30000);
  fault.target = target;
  fault.amount = *rc::gen::inRange<uint32_t>(0, 1000);
  return fault;
}

}  // namespace

TEST_CASE("no promise is broken on the fixed schedules") {
  for (uint32_t seed = 1; seed <= kFixedSchedules; ++seed) {
    const Schedule schedule = MakeSchedule(seed, kFaults);
    const ScheduleResult result = RunSchedule(schedule, FaultInjection());
    INFO(Describe(schedule));
    CHECK(result.Violations() == 0);
    CHECK(result.counts.completed > 0);
  }
}

TEST_CASE("equal seeds replay equal runs") {
  const Schedule schedule = MakeSchedule(5, 4);
  const ScheduleResult one = RunSchedule(schedule, FaultInjection());
  const ScheduleResult two = RunSchedule(schedule, FaultInjection());
  CHECK(one.counts.requests == two.counts.requests);
  CHECK(one.counts.hops_change == two.counts.hops_change);
  CHECK(one.agents.forwarded == two.agents.forwarded);
}

TEST_CASE("planned changes alone break nothing, shrunk to the smallest case") {
  // RapidCheck takes its seed from RC_PARAMS; the runner sets a fixed one.
  const bool held = rc::check([] {
    Schedule schedule;
    schedule.seed = *rc::gen::inRange<uint32_t>(1, 1000);
    for (uint32_t i = 0; i < 2; ++i) {
      ScheduledFault fault = AnyFault(i * 3);
      const FaultKind planned[] = {
          FaultKind::kDrainServer, FaultKind::kUpgradeAgent,
          FaultKind::kRestartBalancer, FaultKind::kChangeTrial,
          FaultKind::kAddServer};
      fault.kind = planned[static_cast<size_t>(fault.kind) % 5];
      schedule.faults.push_back(fault);
    }
    const ScheduleResult result = RunSchedule(schedule, FaultInjection());
    RC_LOG() << Describe(schedule);
    RC_ASSERT(result.Violations() == 0U);
  });
  CHECK(held);
}

TEST_CASE("a home that does not ask is noticed") {
  FaultInjection fault_injection;
  fault_injection.skip_consult = true;
  CHECK(IsNoticed(fault_injection, 3));
}

TEST_CASE("a home that keeps no pointers is noticed") {
  FaultInjection fault_injection;
  fault_injection.drop_pointers = true;
  CHECK(IsNoticed(fault_injection, 2));
}

TEST_CASE("a draining agent that admits is noticed") {
  FaultInjection fault_injection;
  fault_injection.admit_while_draining = true;
  CHECK(IsNoticed(fault_injection, 3));
}

TEST_CASE("a member that decides while cut off is noticed") {
  FaultInjection fault_injection;
  fault_injection.skip_fence = true;
  CHECK(IsNoticed(fault_injection, 3));
}

TEST_CASE("an asked agent that leaves no mark is noticed") {
  FaultInjection fault_injection;
  fault_injection.skip_reservations = true;
  CHECK(IsNoticed(fault_injection, 3));
}

TEST_CASE("a scenario with a mistake says where") {
  Error reason;
  CHECK_FALSE(
      RunScript("expect('nonsense', '==', 0)", FaultInjection(), &reason)
          .has_value());
  CHECK(reason.detail.find("nonsense") != std::string::npos);
}

}  // namespace medlargauge

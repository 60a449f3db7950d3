// @file lab_test.cc Invariants of every simulation, and effects of policies.
#include <doctest/doctest.h>

#include "lab/lab_scenarios.h"
#include "lab/lab_simulation.h"

namespace medlargauge::lab {
namespace {

Result SimulateNamed(std::string_view scenario,
                     uint64_t seed,
                     std::string_view policy = "present") {
  return Simulate(*FindScenario(scenario), *FindPolicy(policy), seed);
}

void CheckInvariants(const Result& result) {
  CHECK(result.wrong_resets == 0);
  CHECK(result.astray == 0);
  CHECK(result.mixed_services == 0);
  CHECK(result.ran_twice == 0);
  CHECK(result.late_work == 0);
}

TEST_CASE("all invariants hold in every scenario") {
  for (const std::string& name : ScenarioNames()) {
    for (const uint64_t seed : {1, 2, 3}) {
      CAPTURE(name);
      CAPTURE(seed);
      CheckInvariants(SimulateNamed(name, seed));
    }
  }
}

// Each seed violated an invariant before a fix. Seed 7: an agent that had left
// an opening packet unanswered was not asked again. Seed 52: after the
// isolation of a balancer, agents that it had not heard yet were presumed dead.
// Seeds 34 and 69: a server with a half-open flow kept the packets of a flow
// that another server had open.
TEST_CASE("all invariants hold for seeds that once violated one") {
  CheckInvariants(SimulateNamed("everything", 7));
  CheckInvariants(SimulateNamed("everything", 52));
  CheckInvariants(SimulateNamed("opening-races", 34));
  CheckInvariants(SimulateNamed("opening-races", 69));
}

TEST_CASE("the same seed gives the same result") {
  const Result first = SimulateNamed("everything", 5);
  const Result second = SimulateNamed("everything", 5);
  CHECK(first.Worth() == second.Worth());
  CHECK(first.connections == second.connections);
}

TEST_CASE("planned stops make no request fail") {
  uint64_t failed = 0;
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    failed += SimulateNamed("planned-stops", seed).Total().failed;
  }
  CHECK(failed == 0);
}

TEST_CASE("requests are answered within the goal without faults") {
  for (const char* name : {"calm", "calm-long", "busy"}) {
    CHECK(SimulateNamed(name, 1).Worth() > 0.999);
  }
}

TEST_CASE("under overload, refusing flows that would be late beats hashing") {
  const double present = SimulateNamed("overload", 1).Worth();
  const double hash = SimulateNamed("overload", 1, "hash").Worth();
  CHECK(present > hash);
}

TEST_CASE("under overload, flows that wait get slots that others leave") {
  const Result present = SimulateNamed("overload", 1);
  const Result no_waiting = SimulateNamed("overload", 1, "no-waiting");
  CHECK(present.Worth() > no_waiting.Worth());
  CHECK(present.Total().in_aim >= no_waiting.Total().in_aim);
}

TEST_CASE("callers that return after a loss of power get answers, not resets") {
  ClassResult present;
  ClassResult no_waiting;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    const auto add = [](const ClassResult& result, ClassResult* sum) {
      sum->failed += result.failed;
      sum->earned_worth += result.earned_worth;
    };
    add(SimulateNamed("power-off-long", seed).Total(), &present);
    add(SimulateNamed("power-off-long", seed, "no-waiting").Total(),
        &no_waiting);
  }
  CHECK(present.failed * 3 < no_waiting.failed * 2);
  CHECK(present.earned_worth > no_waiting.earned_worth);
}

TEST_CASE("servers that fail requests at once do not attract flows") {
  const Result result = SimulateNamed("failing-servers", 1);
  const ClassResult total = result.Total();
  CHECK(total.failed * 200 < total.asked);
}

TEST_CASE("many balancers do not overload the same idle server") {
  const Result present = SimulateNamed("wide", 1);
  const Result by_response_time = SimulateNamed("wide", 1, "tries-4");
  CHECK(present.total_response_time * 5 <
        by_response_time.total_response_time * 4);
}

TEST_CASE("a slow server gets fewer flows") {
  CHECK(SimulateNamed("slow-servers", 1).Worth() >
        SimulateNamed("slow-servers", 1, "hash").Worth());
}

}  // namespace
}  // namespace medlargauge::lab

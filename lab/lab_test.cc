// @file lab_test.cc Invariants of every simulation, and effects of policies.
#include <doctest/doctest.h>

#include <set>

#include "lab/lab_hard_load.h"
#include "lab/lab_oracle.h"
#include "lab/lab_scenarios.h"
#include "lab/lab_simulation.h"
#include "lab/lab_sweep.h"
#include "lab/svg_plot.h"

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
  std::set<std::string> hard;
  for (const Scenario& scenario : MakeHardLoadScenarios()) {
    hard.insert(scenario.name);
  }
  for (const std::string& name : ScenarioNames()) {
    // Runs of the larger fleets take seconds each.
    for (uint64_t seed = 1; seed <= (hard.count(name) > 0 ? 1 : 3); ++seed) {
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
  const Result present = SimulateNamed("uneven", 1);
  const Result by_response_time = SimulateNamed("uneven", 1, "tries-4");
  CHECK(present.total_response_time * 5 <
        by_response_time.total_response_time * 4);
  CHECK(SimulateNamed("wide", 1).total_response_time <
        SimulateNamed("wide", 1, "tries-4").total_response_time);
}

TEST_CASE("a slow server gets fewer flows") {
  CHECK(SimulateNamed("slow-servers", 1).Worth() >
        SimulateNamed("slow-servers", 1, "hash").Worth());
}

TEST_CASE("percentiles of times are those of the nearest rank") {
  CHECK(Percentile({}, 0.5) == 0);
  CHECK(Percentile({3, 1, 2}, 0.5) == 2);
  CHECK(Percentile({3, 1, 2}, 0.99) == 3);
  CHECK(Mean({1, 3}) == 2);
}

// A model whose load or work differs from its description would prove nothing
// about the policies that it compares.
TEST_CASE("uneven servers get the load and the tail that the scenario states") {
  const Scenario scenario = MakeUneven("", 30, 10, 0.9);
  const Result result = Simulate(scenario, *FindPolicy("present"), 1);
  double work_s = 0;
  size_t long_requests = 0;
  size_t requests = 0;
  for (const Arrival& arrival : result.arrivals) {
    const ClassModel& model = scenario.classes[arrival.class_index];
    if (model.service == "stock") {
      ++requests;
      work_s += std::chrono::duration<double>(arrival.work).count();
      long_requests += arrival.work > model.mean_work_time * 4 ? 1 : 0;
    }
  }
  const ServiceModel& stock = scenario.services[0];
  CHECK(stock.SpeedOf(0) == doctest::Approx(1.2));
  CHECK(stock.Capacity() == doctest::Approx(3 * (6 * 0.55 + 18 * 1.2)));
  CHECK(work_s / (stock.Capacity() * 12) == doctest::Approx(0.9).epsilon(0.04));
  CHECK(static_cast<double>(long_requests) / static_cast<double>(requests) ==
        doctest::Approx(0.03).epsilon(0.2));
}

TEST_CASE("servers that reset requests fail those of callers that try once") {
  const Result result = SimulateNamed("resetting-servers", 1);
  CHECK(result.classes.at("debit").failed > 0);
  CHECK(result.classes.at("download").failed == 0);
}

TEST_CASE("servers that refuse at random use up attempts, and run nothing") {
  const Result result = SimulateNamed("refusing-servers", 1);
  CHECK(result.classes.at("debit").refusal_ms.size() > 10);
  CHECK(result.ran_twice == 0);
}

/// Returns a scenario with two servers of one slot and one class.
Scenario MakePair() {
  Scenario scenario;
  ServiceModel service{"pair", 2, 1};
  service.slow_share = 0.5;
  service.slow_speed = 0.5;
  scenario.services = {service};
  ClassModel model;
  model.name = "low";
  model.service = "pair";
  scenario.classes = {model};
  return scenario;
}

// An oracle that places worse than a policy would hide what the policy loses.
TEST_CASE("the oracle waits for a fast server if a slow one ends later") {
  const Result result =
      ServeByOracle(MakePair(), {{Duration(), 0, Milliseconds(40)},
                                 {Milliseconds(10), 0, Milliseconds(40)},
                                 {Milliseconds(10), 0, Milliseconds(40)}});
  // 5 ms of network; the second waits 30 ms, the third takes 80 ms.
  CHECK(result.classes.at("low").response_ms == std::vector<float>{45, 75, 85});
}

TEST_CASE("the oracle lets what is worth least for its work give way") {
  Scenario scenario = MakePair();
  ClassModel high = scenario.classes[0];
  high.name = "high";
  high.worth = 3;
  scenario.classes.push_back(high);
  scenario.services[0].servers = 1;  // Its speed is 0.5.
  std::vector<Arrival> arrivals;
  for (size_t i = 0; i < 10; ++i) {
    arrivals.push_back({Milliseconds(1), (i + 1) % 2, Milliseconds(17)});
  }
  // 34 ms each; five of the ten can be answered within the goal of 200 ms.
  const Result result = ServeByOracle(scenario, arrivals);
  CHECK(result.classes.at("high").in_aim == 5);
  CHECK(result.classes.at("low").in_aim == 0);
  CHECK(result.classes.at("low").late == 5);
}

TEST_CASE("a loss of power ends what the oracle has in progress") {
  Scenario scenario = MakePair();
  scenario.classes[0].repeatable = false;
  scenario.services[0].warmup_time = Duration();
  Fault fault;
  fault.type = FaultType::kPowerOff;
  fault.start = Milliseconds(20);
  fault.duration = Milliseconds(50);
  scenario.faults = {fault};
  const Result result =
      ServeByOracle(scenario, {{Duration(), 0, Milliseconds(40)},
                               {Milliseconds(30), 0, Milliseconds(40)}});
  CHECK(result.classes.at("low").failed == 1);
  CHECK(result.classes.at("low").response_ms == std::vector<float>{81});
}

// It considered the first 64 waiting requests only; all of them waited for fast
// servers, and the slow quarter of a large fleet stayed idle.
TEST_CASE("the oracle uses the slow servers of a large fleet too") {
  Scenario scenario = MakeUneven("", 300, 90, 1.2);
  const double per_second =
      1.2 * scenario.services[0].Capacity() / 0.034;  // Of 34 ms each.
  std::vector<Arrival> arrivals;
  arrivals.reserve(static_cast<size_t>(per_second));
  for (int i = 0; i < static_cast<int>(per_second); ++i) {
    arrivals.push_back({Duration(static_cast<int64_t>(1e9 * i / per_second)), 0,
                        Milliseconds(34)});
  }
  CHECK(ServeByOracle(scenario, arrivals).Total().in_aim == arrivals.size());
}

TEST_CASE("no policy earns more than the oracle") {
  for (const char* name :
       {"uneven", "overload", "burst-1.5", "power-off-peak-0.1"}) {
    const Result result = SimulateNamed(name, 1);
    CHECK(ServeByOracle(*FindScenario(name), result.arrivals).Worth() >
          result.Worth());
  }
}

size_t CountOf(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

TEST_CASE("a sweep has a point and a line for each policy and the oracle") {
  SweepOptions options;
  options.policies = {*FindPolicy("present")};
  options.fleets = {10};
  options.loads = {0.3, 1.2};
  options.load_duration = Milliseconds(300);
  options.min_agents = 10;
  size_t seen = 0;
  const std::vector<SweepPoint> points =
      SweepLoad(options, [&seen](const SweepPoint& /*point*/) { ++seen; });
  REQUIRE(points.size() == 4);
  CHECK(seen == 4);
  CHECK(points[1].policy == "oracle");
  CHECK(points[1].mean_ms <= points[0].mean_ms);
  CHECK(points[2].mean_ms > points[0].mean_ms);
  CHECK(CountOf(PlotSweep(points), "<polyline") == 6);
}

// A viewer shows nothing of a document with a number that it can't read.
TEST_CASE("a plot has no number that is not finite and no bare markup") {
  PlotPanel panel;
  panel.title = "a < b & c";
  panel.log_y = true;
  panel.series = {{"flat", {{1, 5}, {1, 5}}}, {"empty", {}}};
  const std::string svg = DrawPlot({panel, PlotPanel()}, 1);
  CHECK(svg.find("nan") == std::string::npos);
  CHECK(svg.find("inf") == std::string::npos);
  CHECK(svg.find("a &lt; b &amp; c") != std::string::npos);
}

}  // namespace
}  // namespace medlargauge::lab

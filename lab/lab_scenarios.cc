// @file lab_scenarios.cc Built-in scenarios and policies.
#include "lab/lab_scenarios.h"

#include "lab/lab_hard_load.h"

namespace medlargauge::lab {
namespace {

/// Returns a scenario without faults: short flows for stock checks,
/// reservations and downloads, at a load of `load` times the capacity.
Scenario MakeBase(std::string name, double load) {
  Scenario scenario;
  scenario.name = std::move(name);
  scenario.services = {{"stock", 7}, {"media", 3}};
  // Seven servers of five slots serve about 800 requests of 43 ms per second.
  ClassModel check;
  check.name = "check";
  check.service = "stock";
  check.arrivals_per_second = 620 * load;
  ClassModel reserve;
  reserve.name = "reserve";
  reserve.service = "stock";
  reserve.arrivals_per_second = 180 * load;
  reserve.repeatable = false;
  reserve.mean_work_time = Milliseconds(52);
  reserve.response_goal = Milliseconds(250);
  reserve.caller_timeout = Milliseconds(1500);
  reserve.worth = 2;
  reserve.late_worth = 1;
  reserve.priority = 1;
  ClassModel pack;
  pack.name = "pack";
  pack.service = "media";
  pack.arrivals_per_second = 55 * load;
  pack.mean_work_time = Milliseconds(5);
  pack.response_goal = Milliseconds(500);
  pack.caller_timeout = Milliseconds(3000);
  scenario.classes = {check, reserve, pack};
  return scenario;
}

Fault MakeFault(double start_s,
                FaultType type,
                uint32_t count,
                Duration duration,
                double factor = 1) {
  Fault fault;
  fault.type = type;
  fault.start = Milliseconds(static_cast<int64_t>(start_s * 1000));
  fault.count = count;
  fault.duration = duration;
  fault.factor = factor;
  return fault;
}

/// Makes the flows of the first class long, with a longer timeout and a lower
/// worth of late answers.
Scenario WithLongFlows(Scenario scenario) {
  scenario.classes[0].long_flows = true;
  scenario.classes[0].caller_timeout = Milliseconds(3000);
  scenario.classes[0].late_worth = 0.3;
  return scenario;
}

std::vector<Scenario> MakeScenarios() {
  std::vector<Scenario> scenarios;
  scenarios.push_back(MakeBase("calm", 0.5));
  scenarios.push_back(WithLongFlows(MakeBase("calm-long", 0.5)));
  scenarios.push_back(MakeBase("busy", 0.9));
  Scenario scenario = MakeBase("wide", 0.0);
  scenario.domains = 4;
  scenario.balancers = 23;
  scenario.services = {{"stock", 47, 2, 12}, {"media", 12, 2, 12}};
  scenario.classes[0].arrivals_per_second = 1312;
  scenario.classes[1].arrivals_per_second = 375;
  scenario.classes[2].arrivals_per_second = 112;
  scenario.classes[0].response_goal = Milliseconds(300);
  scenario.classes[1].response_goal = Milliseconds(400);
  scenario.load_duration = Seconds(8);
  scenarios.push_back(scenario);
  scenario = MakeBase("overload", 0.5);
  scenario.faults = {MakeFault(6, FaultType::kLoadBurst, 0, Seconds(4), 2.6)};
  scenarios.push_back(scenario);
  scenario = MakeBase("power-off", 0.55);
  scenario.faults = {MakeFault(8, FaultType::kPowerOff, 0, Milliseconds(1000))};
  scenarios.push_back(scenario);
  scenario = WithLongFlows(MakeBase("power-off-long", 0.55));
  scenario.faults = {MakeFault(8, FaultType::kPowerOff, 0, Milliseconds(1000))};
  scenarios.push_back(scenario);
  scenario = MakeBase("slow-servers", 0.5);
  scenario.faults = {MakeFault(6, FaultType::kSlowServers, 1, Seconds(6), 5)};
  scenario.faults[0].service = "stock";
  scenarios.push_back(scenario);
  scenario = MakeBase("failing-servers", 0.5);
  scenario.faults = {
      MakeFault(4, FaultType::kFailingServers, 2, Seconds(8), 0.6)};
  scenario.faults[0].service = "stock";
  scenarios.push_back(scenario);
  scenario = WithLongFlows(MakeBase("planned-stops", 0.45));
  for (int i = 0; i < 6; ++i) {
    scenario.faults.push_back(MakeFault(2 + 2.5 * i, FaultType::kStopBalancers,
                                        1, Milliseconds(500)));
    scenario.faults.push_back(
        MakeFault(3 + 2.5 * i, FaultType::kDrainServers, 1, Milliseconds(500)));
  }
  scenarios.push_back(scenario);
  scenario = WithLongFlows(MakeBase("agent-restarts", 0.45));
  for (int i = 0; i < 8; ++i) {
    scenario.faults.push_back(
        MakeFault(2 + 2.0 * i,
                  i % 2 == 0 ? FaultType::kKillAgents : FaultType::kStopAgents,
                  1, Milliseconds(400)));
  }
  scenarios.push_back(scenario);
  scenario = WithLongFlows(MakeBase("balancer-kills", 0.45));
  for (int i = 0; i < 8; ++i) {
    scenario.faults.push_back(MakeFault(2 + 2.0 * i, FaultType::kKillBalancers,
                                        2, Milliseconds(400)));
  }
  scenarios.push_back(scenario);
  scenario = WithLongFlows(MakeBase("server-crashes", 0.45));
  for (int i = 0; i < 5; ++i) {
    scenario.faults.push_back(
        MakeFault(2 + 3.0 * i, FaultType::kCrashServers, 1, Milliseconds(800)));
    scenario.faults.push_back(
        MakeFault(3 + 3.0 * i, FaultType::kUnresponsiveServers, 1, Seconds(2)));
  }
  scenarios.push_back(scenario);
  // Two servers answer the same opening packet; then balancers lose their flow
  // tables.
  scenario = WithLongFlows(MakeBase("opening-races", 0.45));
  for (int i = 0; i < 5; ++i) {
    const double start_s = 2 + 3.5 * i;
    scenario.faults.push_back(
        MakeFault(start_s, FaultType::kLoseAgentOutput, 3, Milliseconds(600)));
    scenario.faults.push_back(MakeFault(
        start_s + 0.5, FaultType::kKillBalancers, 3, Milliseconds(400)));
  }
  scenarios.push_back(scenario);
  scenario = WithLongFlows(MakeBase("everything", 0.45));
  scenario.faults = {
      MakeFault(2, FaultType::kKillBalancers, 2, Milliseconds(400)),
      MakeFault(2.2, FaultType::kDrainServers, 2, Milliseconds(500)),
      MakeFault(3, FaultType::kKillAgents, 2, Milliseconds(400)),
      MakeFault(5, FaultType::kIsolateBalancers, 2, Seconds(4)),
      MakeFault(6, FaultType::kCrashServers, 1, Milliseconds(900)),
      MakeFault(7, FaultType::kPacketLoss, 0, Seconds(3), 0.05),
      MakeFault(11, FaultType::kUnresponsiveServers, 2, Seconds(2)),
      MakeFault(12, FaultType::kStopAgents, 2, Milliseconds(500)),
      MakeFault(15, FaultType::kPowerOff, 0, Milliseconds(800))};
  scenarios.push_back(scenario);
  for (Scenario& hard : MakeHardLoadScenarios()) {
    scenarios.push_back(std::move(hard));
  }
  return scenarios;
}

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> scenarios = MakeScenarios();
  return scenarios;
}

template <uint32_t kReturns>
void BusyReturns(DirectorLimits* limits) {
  limits->max_busy_returns = kReturns;
}

template <uint32_t kReturns>
void PlaceByTime(Policy* policy) {
  policy->placement = &PlaceByResponseTime;
  policy->tune_balancer = BusyReturns<kReturns>;
}

/// A policy as a change of the present one.
struct PolicyEntry {
  const char* name;
  void (*change)(Policy*);
};

/// To add a policy, add a line: `placement` places new flows, and `tune_*` set
/// any limits or hooks of balancers and agents.
constexpr PolicyEntry kPolicies[] = {
    {"present", [](Policy*) {}},
    {"to-the-limit", [](Policy* p) { p->use_response_goal = false; }},
    {"no-asking", [](Policy* p) { p->return_when_busy = false; }},
    {"hash",
     [](Policy* p) {
       p->placement = &PlaceByHash;
       p->use_response_goal = false;
       p->return_when_busy = false;
       p->tune_balancer = [](DirectorLimits* l) { l->max_busy_returns = 3; };
     }},
    {"tries-4", [](Policy* p) { PlaceByTime<4>(p); }},
    {"tries-6", [](Policy* p) { PlaceByTime<6>(p); }},
    {"tries-8", [](Policy* p) { PlaceByTime<8>(p); }},
    {"sample-3", [](Policy* p) { p->tune_balancer = BusyReturns<3>; }},
    {"sample-5", [](Policy* p) { p->tune_balancer = BusyReturns<5>; }},
    {"sample-7", [](Policy* p) { p->tune_balancer = BusyReturns<7>; }},
    {"finish-3", [](Policy* p) { p->placement = FinishTimePolicy(3); }},
    {"no-waiting",
     [](Policy* p) {
       p->tune_balancer = [](DirectorLimits* l) {
         l->max_opening_wait = Duration();
       };
     }},
    {"no-holding",
     [](Policy* p) {
       p->tune_balancer = [](DirectorLimits* l) { l->max_held_bytes = 0; };
     }},
};

std::vector<Policy> MakePolicies() {
  std::vector<Policy> policies;
  for (const PolicyEntry& entry : kPolicies) {
    Policy& policy = policies.emplace_back();
    policy.name = entry.name;
    entry.change(&policy);
  }
  return policies;
}

}  // namespace

std::vector<std::string> ScenarioNames() {
  std::vector<std::string> names;
  for (const Scenario& scenario : Scenarios()) {
    names.push_back(scenario.name);
  }
  return names;
}

std::optional<Scenario> FindScenario(std::string_view name) {
  for (const Scenario& scenario : Scenarios()) {
    if (scenario.name == name) {
      return scenario;
    }
  }
  return std::nullopt;
}

std::vector<std::string> PolicyNames() {
  std::vector<std::string> names;
  for (const Policy& policy : MakePolicies()) {
    names.push_back(policy.name);
  }
  return names;
}

std::optional<Policy> FindPolicy(std::string_view name) {
  for (const Policy& policy : MakePolicies()) {
    if (policy.name == name) {
      return policy;
    }
  }
  return std::nullopt;
}

}  // namespace medlargauge::lab

// @file lab_scenarios.cc Two services, three classes, one trouble each.
#include "lab/lab_scenarios.h"

namespace medlargauge::lab {
namespace {

/// Short flows: stock checks, reservations, downloads, at `load` of capacity.
Scenario Base(std::string name, double load) {
  Scenario scenario;
  scenario.name = std::move(name);
  scenario.services = {{"stock", 7}, {"media", 3}};
  // Seven servers of five slots do about 800 requests of 43 ms a second.
  ClassModel check;
  check.name = "check";
  check.service = "stock";
  check.per_second = 620 * load;
  ClassModel reserve;
  reserve.name = "reserve";
  reserve.service = "stock";
  reserve.per_second = 180 * load;
  reserve.repeatable = false;
  reserve.work = Milliseconds(52);
  reserve.aim = Milliseconds(250);
  reserve.limit = Milliseconds(1500);
  reserve.worth = 2;
  reserve.late_worth = 1;
  reserve.priority = 1;
  ClassModel pack;
  pack.name = "pack";
  pack.service = "media";
  pack.per_second = 55 * load;
  pack.work = Milliseconds(5);
  pack.aim = Milliseconds(500);
  pack.limit = Milliseconds(3000);
  scenario.classes = {check, reserve, pack};
  return scenario;
}

Trouble At(double seconds,
           TroubleKind kind,
           uint32_t count,
           Duration length,
           double factor = 1) {
  Trouble trouble;
  trouble.kind = kind;
  trouble.at = Milliseconds(static_cast<int64_t>(seconds * 1000));
  trouble.count = count;
  trouble.length = length;
  trouble.factor = factor;
  return trouble;
}

Scenario WithLongFlows(Scenario scenario) {
  scenario.classes[0].long_flows = true;
  scenario.classes[0].limit = Milliseconds(3000);
  scenario.classes[0].late_worth = 0.3;
  return scenario;
}

std::vector<Scenario> MakeAll() {
  std::vector<Scenario> all;
  all.push_back(Base("calm", 0.5));
  all.push_back(WithLongFlows(Base("calm-long", 0.5)));
  all.push_back(Base("busy", 0.9));
  Scenario next = Base("wide", 0.0);
  next.domains = 4;
  next.balancers = 23;
  next.services = {{"stock", 47, 2, 12}, {"media", 12, 2, 12}};
  next.classes[0].per_second = 1312;
  next.classes[1].per_second = 375;
  next.classes[2].per_second = 112;
  next.classes[0].aim = Milliseconds(300);
  next.classes[1].aim = Milliseconds(400);
  next.length = Seconds(8);
  all.push_back(next);
  next = Base("overload", 0.5);
  next.troubles = {At(6, TroubleKind::kBurst, 0, Seconds(4), 2.6)};
  all.push_back(next);
  next = Base("power-off", 0.55);
  next.troubles = {At(8, TroubleKind::kPowerOff, 0, Milliseconds(1000))};
  all.push_back(next);
  next = WithLongFlows(Base("power-off-long", 0.55));
  next.troubles = {At(8, TroubleKind::kPowerOff, 0, Milliseconds(1000))};
  all.push_back(next);
  next = Base("slow-servers", 0.5);
  next.troubles = {At(6, TroubleKind::kSlowServers, 1, Seconds(6), 5)};
  next.troubles[0].service = "stock";
  all.push_back(next);
  next = Base("failing-servers", 0.5);
  next.troubles = {At(4, TroubleKind::kFailingServers, 2, Seconds(8), 0.6)};
  next.troubles[0].service = "stock";
  all.push_back(next);
  next = WithLongFlows(Base("planned-stops", 0.45));
  for (int i = 0; i < 6; ++i) {
    next.troubles.push_back(
        At(2 + 2.5 * i, TroubleKind::kStopBalancers, 1, Milliseconds(500)));
    next.troubles.push_back(
        At(3 + 2.5 * i, TroubleKind::kDrainServers, 1, Milliseconds(500)));
  }
  all.push_back(next);
  next = WithLongFlows(Base("agent-restarts", 0.45));
  for (int i = 0; i < 8; ++i) {
    next.troubles.push_back(
        At(2 + 2.0 * i,
           i % 2 == 0 ? TroubleKind::kKillAgents : TroubleKind::kStopAgents, 1,
           Milliseconds(400)));
  }
  all.push_back(next);
  next = WithLongFlows(Base("balancer-kills", 0.45));
  for (int i = 0; i < 8; ++i) {
    next.troubles.push_back(
        At(2 + 2.0 * i, TroubleKind::kKillBalancers, 2, Milliseconds(400)));
  }
  all.push_back(next);
  next = WithLongFlows(Base("server-crashes", 0.45));
  for (int i = 0; i < 5; ++i) {
    next.troubles.push_back(
        At(2 + 3.0 * i, TroubleKind::kCrashServers, 1, Milliseconds(800)));
    next.troubles.push_back(
        At(3 + 3.0 * i, TroubleKind::kDarkServers, 1, Seconds(2)));
  }
  all.push_back(next);
  // Two servers answer an opening packet; balancers without memory follow.
  next = WithLongFlows(Base("opening-races", 0.45));
  for (int i = 0; i < 5; ++i) {
    const double at = 2 + 3.5 * i;
    next.troubles.push_back(
        At(at, TroubleKind::kMuteAgents, 3, Milliseconds(600)));
    next.troubles.push_back(
        At(at + 0.5, TroubleKind::kKillBalancers, 3, Milliseconds(400)));
  }
  all.push_back(next);
  next = WithLongFlows(Base("everything", 0.45));
  next.troubles = {At(2, TroubleKind::kKillBalancers, 2, Milliseconds(400)),
                   At(2.2, TroubleKind::kDrainServers, 2, Milliseconds(500)),
                   At(3, TroubleKind::kKillAgents, 2, Milliseconds(400)),
                   At(5, TroubleKind::kCutBalancers, 2, Seconds(4)),
                   At(6, TroubleKind::kCrashServers, 1, Milliseconds(900)),
                   At(7, TroubleKind::kLoss, 0, Seconds(3), 0.05),
                   At(11, TroubleKind::kDarkServers, 2, Seconds(2)),
                   At(12, TroubleKind::kStopAgents, 2, Milliseconds(500)),
                   At(15, TroubleKind::kPowerOff, 0, Milliseconds(800))};
  all.push_back(next);
  return all;
}

const std::vector<Scenario>& All() {
  static const std::vector<Scenario> all = MakeAll();
  return all;
}

std::vector<Policy> AllPolicies() {
  std::vector<Policy> all(14);
  for (size_t i = 11; i < 14; ++i) {
    all[i].max_busy_returns = 2 * static_cast<uint32_t>(i) - 19;
    all[i].name = "sample-" + std::to_string(all[i].max_busy_returns);
  }
  for (size_t i = 8; i < 11; ++i) {
    all[i].place = &PlaceByResponseTime;
    all[i].max_busy_returns = 2 * static_cast<uint32_t>(i) - 12;
    all[i].name = "tries-" + std::to_string(all[i].max_busy_returns);
  }
  for (size_t i = 4; i < 8; ++i) {
    all[i].response_limit_percent = 25 * (i - 2);
    all[i].name = "aim-" + std::to_string(all[i].response_limit_percent);
  }
  all[0].name = "present";
  all[1].name = "to-the-limit";
  all[1].by_aim = false;
  all[2].name = "no-asking";
  all[2].ask_busy = false;
  all[3].name = "hash";
  all[3].max_busy_returns = 3;
  all[3].place = &PlaceByHash;
  all[3].by_aim = false;
  all[3].ask_busy = false;
  return all;
}

}  // namespace

std::vector<std::string> ScenarioNames() {
  std::vector<std::string> names;
  for (const Scenario& scenario : All()) {
    names.push_back(scenario.name);
  }
  return names;
}

std::optional<Scenario> FindScenario(std::string_view name) {
  for (const Scenario& scenario : All()) {
    if (scenario.name == name) {
      return scenario;
    }
  }
  return std::nullopt;
}

std::vector<std::string> PolicyNames() {
  std::vector<std::string> names;
  for (const Policy& policy : AllPolicies()) {
    names.push_back(policy.name);
  }
  return names;
}

std::optional<Policy> FindPolicy(std::string_view name) {
  for (const Policy& policy : AllPolicies()) {
    if (policy.name == name) {
      return policy;
    }
  }
  return std::nullopt;
}

}  // namespace medlargauge::lab

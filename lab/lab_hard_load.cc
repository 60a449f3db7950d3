// @file lab_hard_load.cc Scenarios with uneven servers or more load than the
// servers can bear.
#include "lab/lab_hard_load.h"

namespace medlargauge::lab {
namespace {

/// Scales the rates of a service's classes, whose proportions stay, to `load`
/// times its capacity.
void SetLoad(const std::string& service, double load, Scenario* scenario) {
  double work_per_second = 0;
  for (const ClassModel& model : scenario->classes) {
    work_per_second += model.service == service
                           ? model.arrivals_per_second * model.MeanWorkSeconds()
                           : 0;
  }
  for (const ServiceModel& model : scenario->services) {
    for (ClassModel& scaled : scenario->classes) {
      if (model.name == service && scaled.service == service) {
        scaled.arrivals_per_second *= load * model.Capacity() / work_per_second;
      }
    }
  }
}

/// Returns a scenario with even servers and one request a flow. `load` is the
/// load of the main service, relative to its capacity.
/// @param late_worth worth of a late answer, relative to one in time
Scenario MakeTight(std::string name,
                   uint32_t balancers,
                   double load,
                   double late_worth = 0.1) {
  Scenario scenario;
  scenario.name = std::move(name);
  scenario.domains = 4;
  scenario.balancers = balancers;
  scenario.services = {{"balance", 43, 4, 16}, {"statement", 11, 4, 16}};
  ClassModel lookup;
  lookup.name = "lookup";
  lookup.service = "balance";
  lookup.arrivals_per_second = 983;
  lookup.mean_work_time = Milliseconds(55);
  lookup.response_goal = Milliseconds(400);
  lookup.caller_timeout = Milliseconds(4000);
  lookup.late_worth = late_worth;
  ClassModel debit = lookup;
  debit.name = "debit";
  debit.arrivals_per_second = 487;
  debit.repeatable = false;
  debit.mean_work_time = Milliseconds(72);
  debit.caller_timeout = Milliseconds(5000);
  debit.worth = 2;
  debit.late_worth = 2 * late_worth;
  debit.priority = 1;
  ClassModel download = lookup;
  download.name = "download";
  download.service = "statement";
  download.arrivals_per_second = 84.3;
  download.mean_work_time = Milliseconds(5);
  download.response_goal = Milliseconds(800);
  download.caller_timeout = Milliseconds(10000);
  scenario.classes = {lookup, debit, download};
  SetLoad("balance", load, &scenario);
  scenario.load_duration = Seconds(10);
  return scenario;
}

Fault MakeFault(FaultType type,
                uint32_t count,
                Duration start,
                Duration duration,
                double factor = 1) {
  Fault fault;
  fault.type = type;
  fault.start = start;
  fault.duration = duration;
  fault.count = count;
  fault.factor = factor;
  return fault;
}

/// Returns a scenario whose load is `load` times the capacity for 5 s.
Scenario MakeBurst(std::string name, uint32_t balancers, double load) {
  constexpr double kUsualLoad = 0.7;
  Scenario scenario = MakeTight(std::move(name), balancers, kUsualLoad);
  scenario.faults = {MakeFault(FaultType::kLoadBurst, 0, Seconds(3), Seconds(5),
                               load / kUsualLoad)};
  return scenario;
}

/// Returns a loss of all power at the peak of a periodic load, which is about
/// what the servers can bear while they are cold.
Scenario MakePowerOffAtPeak(std::string name, double late_worth) {
  constexpr double kMeanLoad = 0.52;
  Scenario scenario = MakeTight(std::move(name), 21, kMeanLoad, late_worth);
  scenario.load_amplitude = 0.2;
  scenario.load_duration = Seconds(14);
  scenario.faults = {
      MakeFault(FaultType::kPowerOff, 0, scenario.load_period / 4, Seconds(1))};
  return scenario;
}

/// Adds a fault of some servers of the main service.
Scenario WithFailingServers(Scenario scenario, FaultType type) {
  scenario.load_duration = Seconds(10);
  scenario.faults = {MakeFault(type, 4, Seconds(2), Seconds(6))};
  scenario.faults[0].service = scenario.services[0].name;
  return scenario;
}

}  // namespace

Scenario MakeUneven(std::string name,
                    uint32_t agents,
                    uint32_t balancers,
                    double load) {
  Scenario scenario;
  scenario.name = std::move(name);
  scenario.balancers = balancers;
  scenario.services = {{"stock", agents - agents / 5, 3, 12},
                       {"photo", agents / 5, 3, 12}};
  for (ServiceModel& service : scenario.services) {
    service.slow_share = 0.25;
    service.slow_speed = 0.55;
    service.usual_speed = 1.2;
  }
  ClassModel feed;
  feed.name = "feed";
  feed.service = "stock";
  feed.arrivals_per_second = 1154;
  feed.mean_work_time = Milliseconds(34);
  feed.tail_share = 0.03;
  feed.tail_factor = 7;
  feed.response_goal = Milliseconds(300);
  feed.caller_timeout = Milliseconds(2500);
  ClassModel reservation = feed;
  reservation.name = "reservation";
  reservation.arrivals_per_second = 330;
  reservation.repeatable = false;
  reservation.mean_work_time = Milliseconds(44);
  reservation.caller_timeout = Milliseconds(3000);
  reservation.worth = 2;
  reservation.late_worth = 1;
  reservation.priority = 1;
  ClassModel photo = feed;
  photo.name = "photo";
  photo.service = "photo";
  // The photo servers have little to do, as in the deployments.
  photo.arrivals_per_second = 2.0 * agents;
  photo.mean_work_time = std::chrono::microseconds(4200);
  photo.response_goal = Milliseconds(800);
  photo.caller_timeout = Milliseconds(6000);
  scenario.classes = {feed, reservation, photo};
  SetLoad("stock", load, &scenario);
  scenario.load_duration = Seconds(agents > 100 ? 2 : 12);
  return scenario;
}

std::vector<Scenario> MakeHardLoadScenarios() {
  std::vector<Scenario> scenarios = {
      MakeUneven("uneven", 30, 10, 0.9),
      MakeUneven("uneven-long", 30, 10, 0.9),
      MakeUneven("uneven-300", 300, 90, 0.9),
      WithFailingServers(MakeTight("resetting-servers", 21, 0.5),
                         FaultType::kResettingServers),
      WithFailingServers(MakeTight("refusing-servers", 21, 0.5),
                         FaultType::kRefusingServers),
      MakeBurst("burst-1.3", 21, 1.3),
      MakeBurst("burst-1.5", 20, 1.5),
      MakeBurst("burst-1.5-200", 200, 1.5),
      MakeBurst("burst-1.6", 21, 1.6),
      MakeBurst("burst-2.0", 21, 2.0),
      MakePowerOffAtPeak("power-off-peak-0", 0),
      MakePowerOffAtPeak("power-off-peak-0.1", 0.1),
      MakePowerOffAtPeak("power-off-peak-0.5", 0.5),
  };
  scenarios[1].classes[0].long_flows = true;
  scenarios[1].classes[1].long_flows = true;
  return scenarios;
}

}  // namespace medlargauge::lab

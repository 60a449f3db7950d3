// @file trial.cc The share of new flows that a trial gets while operators
// raise, lower and stop it.
#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "bench/bench.h"
#include "bench/deployment_world.h"
#include "src/packet/packet.h"

namespace medlargauge {
namespace {

constexpr Duration kWindow = Seconds(10);
constexpr Duration kSpread = Seconds(2);
constexpr int kWindowsPerShare = 4;
constexpr double kFlowsPerSecond = 300;
constexpr int kTrialServers = 2;
constexpr Duration kLife = Seconds(8);
constexpr Duration kCoolDown = Seconds(60);

/// New flows of one window.
struct WindowCount {
  uint64_t all = 0;    ///< New flows.
  uint64_t trial = 0;  ///< Of them on the trial version.
};

}  // namespace

nlohmann::json RunTrial(const BenchOptions& options) {
  BenchDeployment deployment = ExampleDeployments()[0];
  deployment.services.resize(1);
  WindowCount window;
  WorldOptions world_options;
  world_options.seed = options.seed;
  world_options.faults.duplicate = 0.005;
  world_options.faults.balancer_lag = Seconds(5);
  world_options.on_connection = [&window](uint64_t, std::string_view server,
                                          bool open) {
    window.all += open ? 1 : 0;
    window.trial += open && server.find("trial") != server.npos ? 1 : 0;
  };
  DeploymentWorld bench(deployment, world_options);
  World& world = bench.Fakes();
  for (int i = 0; i < kTrialServers; ++i) {
    world.AddServer("trial-" + std::to_string(i), "stock", "v2",
                    deployment.domains[i]);
  }
  ClassTarget target;
  target.name = "stock";
  target.service = "stock";
  target.baseline = "v1";
  target.trial = "v2";
  target.address = *ParseIpv4("203.0.113.1");
  world.SetTarget(target, kSpread);
  BenchTraffic traffic;
  traffic.flows_per_second = kFlowsPerSecond;
  traffic.pause = Seconds(1);
  traffic.lifetime = [&world] { return world.Exponential(kLife); };
  bench.StartTraffic("stock", traffic);
  world.Run(Seconds(20));
  double worst = -1;
  uint32_t before = 0;
  std::cout << "share    window  new_flows  trial   share    excess_points\n";
  for (const uint32_t share : {500U, 1000U, 2500U, 100U, 0U, 1000U, 0U}) {
    target.trial_share = share;
    world.SetTarget(target, kSpread);
    for (int i = 0; i < kWindowsPerShare; ++i) {
      window = WindowCount();
      world.Run(kWindow);
      // While a change spreads, the larger of both targets is in force.
      const double allowed =
          (i == 0 ? std::max(share, before) : share) / 10000.0;
      const double got = static_cast<double>(window.trial) / window.all;
      const double sigma =
          std::sqrt(allowed * (1 - allowed) / static_cast<double>(window.all));
      const double excess = (got - allowed - 3 * sigma) * 100;
      worst = std::max(worst, excess);
      std::cout << std::setw(6) << share << std::setw(8) << i << std::setw(11)
                << window.all << std::setw(7) << window.trial << std::fixed
                << std::setprecision(4) << std::setw(9) << got << std::setw(12)
                << excess << "\n";
    }
    before = share;
  }
  bench.StopTraffic();
  world.Run(kCoolDown);
  const WorldCounts& counts = world.Counts();
  return {{"worst_excess_points", worst},
          {"moved_flows", counts.broken + counts.double_admissions},
          {"flows", counts.flows}};
}

}  // namespace medlargauge

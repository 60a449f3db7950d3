// @file trial.cc Share of new flows that reach a trial version while operators
// raise, lower and stop the trial.
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

constexpr Duration kWindowLength = Seconds(10);
constexpr Duration kTargetSpread = Seconds(2);
constexpr int kWindowsPerShare = 4;
constexpr double kFlowsPerSecond = 300;
constexpr int kTrialServers = 2;
constexpr Duration kMeanLifetime = Seconds(8);
constexpr Duration kCoolDownTime = Seconds(60);

/// Counts of new flows in one window.
struct WindowCounts {
  uint64_t new_flows = 0;    ///< New flows of both versions.
  uint64_t trial_flows = 0;  ///< Those on the trial version.
};

}  // namespace

nlohmann::json RunTrial(const BenchOptions& options) {
  BenchDeployment deployment = ExampleDeployments()[0];
  deployment.services.resize(1);
  WindowCounts window_counts;
  WorldOptions world_options;
  world_options.seed = options.seed;
  world_options.faults.duplicate = 0.005;
  world_options.faults.balancer_lag = Seconds(5);
  world_options.on_connection =
      [&window_counts](uint64_t, std::string_view server, bool open) {
        window_counts.new_flows += open ? 1 : 0;
        window_counts.trial_flows +=
            open && server.find("trial") != server.npos ? 1 : 0;
      };
  DeploymentWorld deployment_world(deployment, world_options);
  World& world = deployment_world.SimulatedWorld();
  for (int i = 0; i < kTrialServers; ++i) {
    world.AddServer("trial-" + std::to_string(i), "stock", "v2",
                    deployment.failure_domains[i]);
  }
  ClassTarget target;
  target.name = "stock";
  target.service = "stock";
  target.baseline = "v1";
  target.trial = "v2";
  target.address = *ParseIpv4("203.0.113.1");
  world.SetTarget(target, kTargetSpread);
  BenchTraffic traffic;
  traffic.flows_per_second = kFlowsPerSecond;
  traffic.pause = Seconds(1);
  traffic.lifetime = [&world] { return world.Exponential(kMeanLifetime); };
  deployment_world.StartTraffic("stock", traffic);
  world.Run(Seconds(20));
  double worst_excess_points = -1;
  uint32_t previous_share = 0;
  std::cout << "share    window  new_flows  trial   share    excess_points\n";
  for (const uint32_t target_share :
       {500U, 1000U, 2500U, 100U, 0U, 1000U, 0U}) {
    target.trial_share = target_share;
    world.SetTarget(target, kTargetSpread);
    for (int i = 0; i < kWindowsPerShare; ++i) {
      window_counts = WindowCounts();
      world.Run(kWindowLength);
      // While a new target spreads, the larger of the old and new share is
      // allowed.
      const double allowed_share =
          (i == 0 ? std::max(target_share, previous_share) : target_share) /
          10000.0;
      const double measured_share =
          static_cast<double>(window_counts.trial_flows) /
          window_counts.new_flows;
      const double standard_deviation =
          std::sqrt(allowed_share * (1 - allowed_share) /
                    static_cast<double>(window_counts.new_flows));
      const double excess_points =
          (measured_share - allowed_share - 3 * standard_deviation) * 100;
      worst_excess_points = std::max(worst_excess_points, excess_points);
      std::cout << std::setw(6) << target_share << std::setw(8) << i
                << std::setw(11) << window_counts.new_flows << std::setw(7)
                << window_counts.trial_flows << std::fixed
                << std::setprecision(4) << std::setw(9) << measured_share
                << std::setw(12) << excess_points << "\n";
    }
    previous_share = target_share;
  }
  deployment_world.StopTraffic();
  world.Run(kCoolDownTime);
  const WorldCounts& counts = world.Counts();
  return {{"worst_excess_points", worst_excess_points},
          {"moved_flows", counts.broken + counts.double_admissions},
          {"flows", counts.flows}};
}

}  // namespace medlargauge

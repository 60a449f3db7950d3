// @file churn.cc Broken flows during rolling drains and restarts: home agents
// compared with consistent hashing and with second-chance forwarding.
#include <algorithm>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "bench/bench.h"
#include "bench/deployment_world.h"

namespace medlargauge {
namespace {

/// Less than the present 2,000 connections per server: the run covers hours of
/// changes in minutes, and the shares of flows do not depend on their number.
constexpr double kFlowsPerServer = 400;
constexpr Duration kMeanLifetime = Seconds(15);
constexpr Duration kMaxLifetime = Seconds(30);
constexpr Duration kPollInterval = Milliseconds(500);
constexpr Duration kDrainDeadline = Seconds(60);
constexpr Duration kSettleTime = Seconds(40);
constexpr Duration kCoolDownTime = Seconds(100);

/// Drains, replaces and restarts every member of a deployment under traffic.
class RollingChange {
 public:
  RollingChange(const BenchDeployment& deployment,
                RoutingScheme scheme,
                uint64_t seed)
      : m_deployment(deployment),
        m_deployment_world(deployment, MakeWorldOptions(scheme, seed)) {
    for (const BenchService& service : deployment.services) {
      BenchTraffic traffic;
      const double mean_lifetime_s =
          static_cast<double>(kMeanLifetime.count()) / 1e9;
      traffic.flows_per_second =
          kFlowsPerServer * service.server_count / mean_lifetime_s;
      traffic.lifetime = [this] {
        return std::min<Duration>(
            m_deployment_world.SimulatedWorld().Exponential(kMeanLifetime),
            kMaxLifetime);
      };
      traffic.udp_share = 0.05;
      m_deployment_world.StartTraffic(service.name, traffic);
    }
    m_deployment_world.SimulatedWorld().Run(kSettleTime);
  }

  WorldCounts Run() {
    size_t rounds = 0;
    for (const BenchService& service : m_deployment.services) {
      rounds = std::max<size_t>(rounds, service.server_count);
    }
    for (size_t round = 0; round < rounds; ++round) {
      DrainAndReplace(round);
      RestartAgents(round);
    }
    m_deployment_world.StopTraffic();
    m_deployment_world.SimulatedWorld().Run(kCoolDownTime);
    return m_deployment_world.SimulatedWorld().Counts();
  }

 private:
  static WorldOptions MakeWorldOptions(RoutingScheme scheme, uint64_t seed) {
    WorldOptions options;
    options.seed = seed;
    options.path = scheme;
    options.limits.ramp = Seconds(10);
    options.limits.udp_idle = Seconds(10);
    options.faults.loss = 0.001;
    options.faults.duplicate = 0.005;
    options.faults.reorder = 0.01;
    options.faults.balancer_lag = Seconds(5);
    return options;
  }

  /// Drains one server of each service while a balancer restarts, and starts
  /// each server again after its drain.
  void DrainAndReplace(size_t round) {
    World& world = m_deployment_world.SimulatedWorld();
    std::vector<std::string> draining;
    for (const BenchService& service : m_deployment.services) {
      const std::vector<std::string> servers =
          m_deployment_world.ServerNames(service.name);
      if (round < servers.size()) {
        draining.push_back(servers[round]);
        world.Drain(servers[round], kDrainDeadline);
      }
    }
    world.RestartBalancer(
        "balancer-" + std::to_string(1 + round % world.Balancers().size()),
        Seconds(2));
    for (const std::string& name : draining) {
      while (world.FindAgent(name).agent != nullptr) {
        world.Run(kPollInterval);
      }
      world.StartServer(name);
    }
    world.Run(Seconds(5));
  }

  /// Upgrades one agent and crashes another of each service. In the compared
  /// designs agents hold no state, so there they are only absent for a while.
  void RestartAgents(size_t round) {
    World& world = m_deployment_world.SimulatedWorld();
    for (const BenchService& service : m_deployment.services) {
      const std::vector<std::string> servers =
          m_deployment_world.ServerNames(service.name);
      const std::string& upgraded = servers[(round + 1) % servers.size()];
      world.UpgradeAgent(upgraded, Milliseconds(300));
      world.Run(Seconds(4));
      const std::string& killed = servers[(round + 2) % servers.size()];
      world.CrashAgent(killed);
      world.Run(Seconds(2));
      world.RecoverAgent(killed);
      world.Run(Seconds(4));
    }
  }

  BenchDeployment m_deployment;        ///< Deployment under test.
  DeploymentWorld m_deployment_world;  ///< Simulated members.
};

/// Runs all deployments in parallel threads and returns the sums of their
/// counts for one routing scheme.
WorldCounts RunAllDeployments(RoutingScheme scheme, uint64_t seed) {
  const std::vector<BenchDeployment> deployments = ExampleDeployments();
  std::vector<WorldCounts> results(deployments.size());
  std::vector<std::thread> threads;
  for (size_t i = 0; i < deployments.size(); ++i) {
    threads.emplace_back([&, i] {
      results[i] = RollingChange(deployments[i], scheme, seed + i).Run();
    });
  }
  WorldCounts sum;
  for (size_t i = 0; i < deployments.size(); ++i) {
    threads[i].join();
    sum.flows += results[i].flows;
    sum.broken += results[i].broken;
    sum.gave_up += results[i].gave_up;
    sum.refused += results[i].refused;
    sum.double_admissions += results[i].double_admissions;
    sum.duplicate_executions += results[i].duplicate_executions;
    sum.cross_service += results[i].cross_service;
    sum.work_while_draining += results[i].work_while_draining;
    sum.packets_steady += results[i].packets_steady;
    sum.hops_steady += results[i].hops_steady;
    sum.packets_change += results[i].packets_change;
    sum.hops_change += results[i].hops_change;
  }
  return sum;
}

double Mean(uint64_t sum, uint64_t count) {
  return count == 0 ? 0 : static_cast<double>(sum) / static_cast<double>(count);
}

void PrintRow(const char* name, const WorldCounts& counts) {
  std::cout << std::left << std::setw(16) << name << std::right << std::setw(9)
            << counts.flows << std::setw(8) << counts.broken << std::setw(9)
            << counts.gave_up << std::setw(9) << counts.refused << std::setw(8)
            << counts.double_admissions << std::setw(8)
            << counts.work_while_draining << std::setw(9)
            << std::setprecision(3)
            << Mean(counts.hops_steady, counts.packets_steady) << std::setw(9)
            << Mean(counts.hops_change, counts.packets_change) << "\n";
}

}  // namespace

nlohmann::json RunChurn(const BenchOptions& options) {
  std::cout << "path                flows  broken  gave_up  refused  double "
               "late_new  steady   change\n";
  WorldCounts home_counts;
  WorldCounts local_table_counts;
  WorldCounts second_chance_counts;
  std::thread local_table_thread([&] {
    local_table_counts =
        RunAllDeployments(RoutingScheme::kLocalTable, options.seed);
  });
  std::thread second_chance_thread([&] {
    second_chance_counts =
        RunAllDeployments(RoutingScheme::kSecondChance, options.seed);
  });
  home_counts = RunAllDeployments(RoutingScheme::kHome, options.seed);
  local_table_thread.join();
  second_chance_thread.join();
  PrintRow("home", home_counts);
  PrintRow("local table", local_table_counts);
  PrintRow("second chance", second_chance_counts);
  return {{"broken_flows", home_counts.broken},
          {"broken_flows_hash", local_table_counts.broken},
          {"broken_flows_second_chance", second_chance_counts.broken},
          {"double_admissions", home_counts.double_admissions},
          {"cross_service", home_counts.cross_service},
          {"mean_hops_steady",
           Mean(home_counts.hops_steady, home_counts.packets_steady)},
          {"mean_hops_change",
           Mean(home_counts.hops_change, home_counts.packets_change)},
          {"flows", home_counts.flows},
          {"work_while_draining", home_counts.work_while_draining},
          {"duplicate_executions", home_counts.duplicate_executions}};
}

}  // namespace medlargauge

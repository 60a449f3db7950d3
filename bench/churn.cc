// @file churn.cc Rolling drains and restarts under traffic: this design beside
// consistent hashing and a second chance.
#include <algorithm>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "bench/bench.h"
#include "bench/deployment_world.h"

namespace medlargauge {
namespace {

/// A part of the 2,000 connections of today: the run covers hours of changes
/// in minutes, and shares of flows do not depend on their number.
constexpr double kFlowsPerServer = 400;
constexpr Duration kMeanLife = Seconds(15);
constexpr Duration kLongestLife = Seconds(30);
constexpr Duration kStep = Milliseconds(500);
constexpr Duration kDrainDeadline = Seconds(60);
constexpr Duration kSettle = Seconds(40);
constexpr Duration kCoolDown = Seconds(100);

/// Drains, replaces and restarts everything once, in turn.
class RollingChange {
 public:
  RollingChange(const BenchDeployment& deployment,
                RoutingScheme path,
                uint64_t seed)
      : m_deployment(deployment), m_world(deployment, Options(path, seed)) {
    for (const BenchService& service : deployment.services) {
      BenchTraffic traffic;
      const double life = static_cast<double>(kMeanLife.count()) / 1e9;
      traffic.flows_per_second = kFlowsPerServer * service.endpoints / life;
      traffic.lifetime = [this] {
        return std::min<Duration>(m_world.Fakes().Exponential(kMeanLife),
                                  kLongestLife);
      };
      traffic.udp_share = 0.05;
      m_world.StartTraffic(service.name, traffic);
    }
    m_world.Fakes().Run(kSettle);
  }

  WorldCounts Run() {
    size_t rounds = 0;
    for (const BenchService& service : m_deployment.services) {
      rounds = std::max<size_t>(rounds, service.endpoints);
    }
    for (size_t round = 0; round < rounds; ++round) {
      DrainRound(round);
      RestartRound(round);
    }
    m_world.StopTraffic();
    m_world.Fakes().Run(kCoolDown);
    return m_world.Fakes().Counts();
  }

 private:
  static WorldOptions Options(RoutingScheme path, uint64_t seed) {
    WorldOptions options;
    options.seed = seed;
    options.path = path;
    options.limits.ramp = Seconds(10);
    options.limits.udp_idle = Seconds(10);
    options.faults.loss = 0.001;
    options.faults.duplicate = 0.005;
    options.faults.reorder = 0.01;
    options.faults.balancer_lag = Seconds(5);
    return options;
  }

  /// Drains one server of each service and a balancer at the same moment.
  void DrainRound(size_t round) {
    World& world = m_world.Fakes();
    std::vector<std::string> draining;
    for (const BenchService& service : m_deployment.services) {
      const std::vector<std::string> servers = m_world.ServersOf(service.name);
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
        world.Run(kStep);
      }
      world.StartServer(name);
    }
    world.Run(Seconds(5));
  }

  /// Upgrades one agent and kills another of each service. The baselines have
  /// no agent state, so for them this is a short absence only.
  void RestartRound(size_t round) {
    World& world = m_world.Fakes();
    for (const BenchService& service : m_deployment.services) {
      const std::vector<std::string> servers = m_world.ServersOf(service.name);
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

  BenchDeployment m_deployment;  ///< As given.
  DeploymentWorld m_world;       ///< The fakes.
};

/// Sums of all deployments for one path.
WorldCounts RunPath(RoutingScheme path, uint64_t seed) {
  const std::vector<BenchDeployment> deployments = ExampleDeployments();
  std::vector<WorldCounts> results(deployments.size());
  std::vector<std::thread> threads;
  for (size_t i = 0; i < deployments.size(); ++i) {
    threads.emplace_back([&, i] {
      results[i] = RollingChange(deployments[i], path, seed + i).Run();
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
  WorldCounts own;
  WorldCounts hash;
  WorldCounts second;
  std::thread hash_thread(
      [&] { hash = RunPath(RoutingScheme::kLocalTable, options.seed); });
  std::thread second_thread(
      [&] { second = RunPath(RoutingScheme::kSecondChance, options.seed); });
  own = RunPath(RoutingScheme::kHome, options.seed);
  hash_thread.join();
  second_thread.join();
  PrintRow("home", own);
  PrintRow("local table", hash);
  PrintRow("second chance", second);
  return {{"broken_flows", own.broken},
          {"broken_flows_hash", hash.broken},
          {"broken_flows_second_chance", second.broken},
          {"double_admissions", own.double_admissions},
          {"cross_service", own.cross_service},
          {"mean_hops_steady", Mean(own.hops_steady, own.packets_steady)},
          {"mean_hops_change", Mean(own.hops_change, own.packets_change)},
          {"flows", own.flows},
          {"work_while_draining", own.work_while_draining},
          {"duplicate_executions", own.duplicate_executions}};
}

}  // namespace medlargauge

// @file imbalance.cc Imbalance of open flows over backend servers, compared
// with an oracle that places each new flow of the same arrivals on the least
// loaded ready server.
#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>
#include <unordered_map>

#include "bench/bench.h"
#include "bench/deployment_world.h"
#include "src/admission/admission.h"

namespace medlargauge {
namespace {

constexpr double kFlowsPerServer = 1500;
constexpr Duration kShortMeanLifetime = Seconds(5);
constexpr Duration kLongMeanLifetime = Seconds(30);
constexpr Duration kMaxLifetime = Seconds(60);
constexpr double kLongLivedShare = 0.2;
constexpr Duration kSampleInterval = Milliseconds(100);
/// Loads below this are not compared: rounding to whole flows would outweigh
/// the effect of the placement.
constexpr uint32_t kMinComparedLoad = 200;
constexpr uint32_t kServerCapacity = 2400;

/// Results of one run.
struct ImbalanceResult {
  /// Largest load over the mean load, in samples where the set of ready servers
  /// has not changed for the longest lifetime of a flow.
  double max_over_mean = 0;
  double domain_max_over_mean = 0;  ///< The same for failure domains.
  double worst_over_oracle = 0;     ///< Largest ratio in any sample.
  double handovers_per_flow = 0;    ///< Handovers per started flow.
  uint32_t slots_overrun = 0;       ///< Samples of servers over capacity.
  uint64_t broken = 0;              ///< Broken flows.
};

/// Places the same flows on the least loaded ready server, with exact loads. It
/// applies the cold-start ramp too: the load of a server is divided by its
/// ramp.
class LeastLoadedOracle {
 public:
  using ReadyHook = std::function<std::vector<const World::AgentHost*>()>;
  using RampHook = std::function<double(const World::AgentHost&)>;

  /// Places a new flow on one of the ready servers.
  void OpenFlow(uint64_t instance,
                const std::vector<const World::AgentHost*>& ready_hosts,
                const RampHook& ramp) {
    const World::AgentHost* least_loaded = nullptr;
    double least_load = 0;
    for (const World::AgentHost* host : ready_hosts) {
      const double load = (m_open_flows[host] + 1) / ramp(*host);
      if (least_loaded == nullptr || load < least_load) {
        least_loaded = host;
        least_load = load;
      }
    }
    if (least_loaded != nullptr) {
      ++m_open_flows[least_loaded];
      m_server_by_instance[instance] = least_loaded;
    }
  }

  /// Ends a flow. Ignored if the flow is not placed.
  void CloseFlow(uint64_t instance) {
    const auto placement = m_server_by_instance.find(instance);
    if (placement != m_server_by_instance.end()) {
      --m_open_flows[placement->second];
      m_server_by_instance.erase(placement);
    }
  }

  /// Removes all flows of a server that crashed.
  void RemoveServerFlows(const World::AgentHost* host) {
    for (auto it = m_server_by_instance.begin();
         it != m_server_by_instance.end();) {
      it = it->second == host ? m_server_by_instance.erase(it) : std::next(it);
    }
    m_open_flows[host] = 0;
  }

  /// Returns the largest number of open flows of any ready server.
  uint32_t MaxOpenFlows(
      const std::vector<const World::AgentHost*>& ready_hosts) {
    uint32_t largest_load = 0;
    for (const World::AgentHost* host : ready_hosts) {
      largest_load = std::max(largest_load, m_open_flows[host]);
    }
    return largest_load;
  }

 private:
  /// Number of open flows of each server.
  std::unordered_map<const World::AgentHost*, uint32_t> m_open_flows;
  /// Server of each open flow, by flow instance.
  std::unordered_map<uint64_t, const World::AgentHost*> m_server_by_instance;
};

/// Simulates one service under an admission policy and measures the imbalance.
class ImbalanceRun {
 public:
  ImbalanceRun(const BenchDeployment& deployment,
               const BenchService& service,
               AdmissionPolicy policy,
               bool misreports_load,
               uint64_t seed)
      : m_service(service),
        m_deployment(WithOneService(deployment, service)),
        m_misreports_load(misreports_load),
        m_deployment_world(m_deployment,
                           MakeWorldOptions(std::move(policy), seed)) {
    BenchTraffic traffic;
    // Mean lifetimes of short-lived and of long-lived flows, in seconds.
    const double mean_lifetime_s =
        (1 - kLongLivedShare) * 5.0 + kLongLivedShare * 30.0;
    m_flows_per_second =
        kFlowsPerServer * service.server_count / mean_lifetime_s;
    traffic.flows_per_second = m_flows_per_second;
    traffic.pause = Seconds(20);
    traffic.lifetime = [this] { return NextLifetime(); };
    m_deployment_world.StartTraffic(service.name, traffic);
  }

  ImbalanceResult Run() {
    World& world = m_deployment_world.SimulatedWorld();
    const std::vector<std::string> servers =
        m_deployment_world.ServerNames(m_service.name);
    if (m_misreports_load) {
      world.SetReportsNoLoad(servers[0], true);
    }
    RunAndSample(Seconds(130));
    // Bursts: 1.3 times the mean rate for 3 s, then 0.7 times for 3 s.
    for (int i = 0; i < 3; ++i) {
      m_deployment_world.SetFlowRate(m_service.name, m_flows_per_second * 1.3);
      RunAndSample(Seconds(3));
      m_deployment_world.SetFlowRate(m_service.name, m_flows_per_second * 0.7);
      RunAndSample(Seconds(3));
    }
    m_deployment_world.SetFlowRate(m_service.name, m_flows_per_second);
    RunAndSample(Seconds(60));
    ReplaceServer();
    CrashFailureDomain();
    const AgentCounters counters = world.SumCounters();
    m_result.handovers_per_flow = static_cast<double>(counters.handed_over) /
                                  static_cast<double>(world.Counts().flows);
    m_result.broken = world.Counts().broken;
    return m_result;
  }

 private:
  static BenchDeployment WithOneService(const BenchDeployment& deployment,
                                        const BenchService& service) {
    BenchDeployment single = deployment;
    single.services = {service};
    return single;
  }

  WorldOptions MakeWorldOptions(AdmissionPolicy policy, uint64_t seed) {
    WorldOptions options;
    options.seed = seed;
    options.policy = std::move(policy);
    options.limits.ramp = Seconds(10);
    options.limits.capacity = kServerCapacity;
    options.on_connection = [this](uint64_t instance, std::string_view,
                                   bool open) {
      if (open) {
        m_oracle.OpenFlow(
            instance, ReadyHosts(), [this](const World::AgentHost& host) {
              return host.agent->Ramp(
                  m_deployment_world.SimulatedWorld().Events().Now());
            });
      } else {
        m_oracle.CloseFlow(instance);
      }
    };
    return options;
  }

  Duration NextLifetime() {
    World& world = m_deployment_world.SimulatedWorld();
    const Duration mean = world.Uniform() < kLongLivedShare
                              ? kLongMeanLifetime
                              : kShortMeanLifetime;
    return std::min<Duration>(world.Exponential(mean), kMaxLifetime);
  }

  std::vector<const World::AgentHost*> ReadyHosts() {
    std::vector<const World::AgentHost*> ready_hosts;
    for (const auto& host : m_deployment_world.SimulatedWorld().Agents()) {
      const bool is_ready =
          host->agent != nullptr &&
          host->agent->ServiceGroup().Self().state == AgentState::kReady;
      if (is_ready) {
        ready_hosts.push_back(host.get());
      }
    }
    return ready_hosts;
  }

  void RunAndSample(Duration length) {
    const TimePoint end =
        m_deployment_world.SimulatedWorld().Events().Now() + length;
    while (m_deployment_world.SimulatedWorld().Events().Now() < end) {
      m_deployment_world.SimulatedWorld().Run(kSampleInterval);
      TakeSample();
    }
  }

  void TakeSample() {
    const std::vector<const World::AgentHost*> ready_hosts = ReadyHosts();
    if (ready_hosts.size() != m_last_ready_count) {
      m_last_ready_count = ready_hosts.size();
      m_last_ready_change = m_deployment_world.SimulatedWorld().Events().Now();
    }
    uint32_t largest_load = 0;
    uint64_t total_load = 0;
    for (const World::AgentHost* host : ready_hosts) {
      largest_load = std::max(largest_load, host->server.open);
      total_load += host->server.open;
      m_result.slots_overrun += host->server.open > kServerCapacity ? 1 : 0;
    }
    const uint32_t oracle_largest = m_oracle.MaxOpenFlows(ready_hosts);
    if (largest_load >= kMinComparedLoad &&
        oracle_largest >= kMinComparedLoad) {
      m_result.worst_over_oracle =
          std::max(m_result.worst_over_oracle,
                   static_cast<double>(largest_load) / oracle_largest);
    }
    const bool is_settled = m_deployment_world.SimulatedWorld().Events().Now() -
                                m_last_ready_change >
                            kMaxLifetime;
    if (is_settled && total_load > 0) {
      const double mean = static_cast<double>(total_load) / ready_hosts.size();
      m_result.max_over_mean =
          std::max(m_result.max_over_mean, largest_load / mean);
      SampleFailureDomains(ready_hosts, mean);
    }
  }

  void SampleFailureDomains(
      const std::vector<const World::AgentHost*>& ready_hosts,
      double mean) {
    std::map<std::string, std::pair<uint64_t, uint32_t>> failure_domains;
    for (const World::AgentHost* host : ready_hosts) {
      failure_domains[host->domain].first += host->server.open;
      ++failure_domains[host->domain].second;
    }
    for (const auto& [name, load] : failure_domains) {
      const double domain_mean = static_cast<double>(load.first) / load.second;
      m_result.domain_max_over_mean =
          std::max(m_result.domain_max_over_mean, domain_mean / mean);
    }
  }

  /// Drains one server and starts it again without flows.
  void ReplaceServer() {
    World& world = m_deployment_world.SimulatedWorld();
    const std::string name =
        m_deployment_world.ServerNames(m_service.name).back();
    world.Drain(name, Seconds(90));
    while (world.FindAgent(name).agent != nullptr) {
      RunAndSample(Seconds(1));
    }
    world.StartServer(name);
    RunAndSample(Seconds(130));
  }

  /// Crashes all servers of one failure domain and starts them 60 s later.
  void CrashFailureDomain() {
    World& world = m_deployment_world.SimulatedWorld();
    std::vector<std::string> crashed_servers;
    for (const auto& host : world.Agents()) {
      if (host->domain == m_deployment.failure_domains[0]) {
        crashed_servers.push_back(host->name);
        m_oracle.RemoveServerFlows(host.get());
        world.CrashServer(host->name);
      }
    }
    // The remaining servers cannot carry the full load, so the rate of new
    // flows is reduced in proportion.
    const double remaining_servers =
        static_cast<double>(m_service.server_count) -
        static_cast<double>(crashed_servers.size());
    m_deployment_world.SetFlowRate(
        m_service.name,
        m_flows_per_second * remaining_servers / m_service.server_count);
    RunAndSample(Seconds(60));
    for (const std::string& name : crashed_servers) {
      world.StartServer(name);
    }
    m_deployment_world.SetFlowRate(m_service.name, m_flows_per_second);
    RunAndSample(Seconds(60));
  }

  BenchService m_service;              ///< Service under test.
  BenchDeployment m_deployment;        ///< Deployment with only this service.
  bool m_misreports_load;              ///< One server reports no load.
  LeastLoadedOracle m_oracle;          ///< Ideal placement of the same flows.
  DeploymentWorld m_deployment_world;  ///< Simulated members.
  double m_flows_per_second = 0;       ///< Mean rate of new flows.
  size_t m_last_ready_count = 0;       ///< Ready servers in the last sample.
  TimePoint m_last_ready_change;       ///< When their number last changed.
  ImbalanceResult m_result;            ///< Results so far.
};

/// Runs all services of both deployments in parallel threads. Returns the worst
/// value of each ratio and the sums of the counts.
ImbalanceResult RunPolicy(const AdmissionPolicy& policy,
                          bool misreports_load,
                          uint64_t seed) {
  std::vector<ImbalanceResult> results;
  std::vector<std::thread> threads;
  std::vector<std::pair<BenchDeployment, BenchService>> cases;
  for (const BenchDeployment& deployment : ExampleDeployments()) {
    for (const BenchService& service : deployment.services) {
      cases.emplace_back(deployment, service);
    }
  }
  results.resize(cases.size());
  for (size_t i = 0; i < cases.size(); ++i) {
    threads.emplace_back([&, i] {
      results[i] = ImbalanceRun(cases[i].first, cases[i].second, policy,
                                misreports_load, seed + i)
                       .Run();
    });
  }
  ImbalanceResult worst;
  for (size_t i = 0; i < cases.size(); ++i) {
    threads[i].join();
    const ImbalanceResult& case_result = results[i];
    worst.max_over_mean =
        std::max(worst.max_over_mean, case_result.max_over_mean);
    worst.domain_max_over_mean =
        std::max(worst.domain_max_over_mean, case_result.domain_max_over_mean);
    worst.worst_over_oracle =
        std::max(worst.worst_over_oracle, case_result.worst_over_oracle);
    worst.handovers_per_flow =
        std::max(worst.handovers_per_flow, case_result.handovers_per_flow);
    worst.slots_overrun += case_result.slots_overrun;
    worst.broken += case_result.broken;
  }
  return worst;
}

void PrintRow(const char* name, const ImbalanceResult& result) {
  std::cout << std::left << std::setw(20) << name << std::right << std::fixed
            << std::setprecision(4) << std::setw(10) << result.max_over_mean
            << std::setw(10) << result.domain_max_over_mean << std::setw(10)
            << result.worst_over_oracle << std::setw(10)
            << result.handovers_per_flow << std::setw(8) << result.slots_overrun
            << std::setw(8) << result.broken << "\n";
}

}  // namespace

nlohmann::json RunImbalance(const BenchOptions& options) {
  std::cout << "policy                max/mean    domain    oracle    passes "
               "overrun  broken\n";
  const ImbalanceResult within_bound =
      RunPolicy(PlaceWithinBound, false, options.seed);
  PrintRow("within bound", within_bound);
  const ImbalanceResult within_bound_misreporting =
      RunPolicy(PlaceWithinBound, true, options.seed);
  PrintRow("within bound, lying", within_bound_misreporting);
  const ImbalanceResult home = RunPolicy(PlaceAtHome, false, options.seed);
  PrintRow("home (hashing)", home);
  const ImbalanceResult two_choices =
      RunPolicy(PlaceByTwoChoices, false, options.seed);
  PrintRow("two choices", two_choices);
  return {
      {"max_over_mean", within_bound.max_over_mean},
      {"domain_max_over_mean", within_bound.domain_max_over_mean},
      {"worst_over_oracle", within_bound.worst_over_oracle},
      {"worst_over_oracle_hash", home.worst_over_oracle},
      {"worst_over_oracle_two_choice", two_choices.worst_over_oracle},
      {"worst_over_oracle_lying", within_bound_misreporting.worst_over_oracle},
      {"passes_per_new_flow", within_bound.handovers_per_flow},
      {"slots_overrun", within_bound.slots_overrun}};
}

}  // namespace medlargauge

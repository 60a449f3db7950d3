// @file imbalance.cc Spread of open flows against an oracle that puts each new
// flow of the same arrivals on the least loaded ready backend server.
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
constexpr Duration kShortLife = Seconds(5);
constexpr Duration kLongLife = Seconds(30);
constexpr Duration kLongestLife = Seconds(60);
constexpr double kLongShare = 0.2;
constexpr Duration kSample = Milliseconds(100);
/// Ratios of smaller loads say more about rounding than about placement.
constexpr uint32_t kSmallestLoad = 200;
constexpr uint32_t kCapacity = 2400;

/// What one run showed.
struct SpreadResult {
  double max_over_mean = 0;         ///< No change within the longest life.
  double domain_max_over_mean = 0;  ///< The same by failure domain.
  double worst_over_oracle = 0;     ///< At any instant.
  double passes_per_flow = 0;       ///< Handed over by flows.
  uint32_t slots_overrun = 0;       ///< Samples beyond the capacity.
  uint64_t broken = 0;              ///< Broken flows.
};

/// Places the same flows on the least loaded ready server at every instant.
/// It has the same cold-start ramp: a server counts by its load over its ramp.
class Oracle {
 public:
  using ReadyHook = std::function<std::vector<const World::AgentHost*>()>;
  using RampHook = std::function<double(const World::AgentHost&)>;

  void Open(uint64_t instance,
            const std::vector<const World::AgentHost*>& ready,
            const RampHook& ramp) {
    const World::AgentHost* best = nullptr;
    double best_load = 0;
    for (const World::AgentHost* host : ready) {
      const double load = (m_open[host] + 1) / ramp(*host);
      if (best == nullptr || load < best_load) {
        best = host;
        best_load = load;
      }
    }
    if (best != nullptr) {
      ++m_open[best];
      m_placed[instance] = best;
    }
  }

  void Close(uint64_t instance) {
    const auto placed = m_placed.find(instance);
    if (placed != m_placed.end()) {
      --m_open[placed->second];
      m_placed.erase(placed);
    }
  }

  /// Forgets the flows of servers that crashed.
  void Lose(const World::AgentHost* host) {
    for (auto it = m_placed.begin(); it != m_placed.end();) {
      it = it->second == host ? m_placed.erase(it) : std::next(it);
    }
    m_open[host] = 0;
  }

  uint32_t Largest(const std::vector<const World::AgentHost*>& ready) {
    uint32_t largest = 0;
    for (const World::AgentHost* host : ready) {
      largest = std::max(largest, m_open[host]);
    }
    return largest;
  }

 private:
  std::unordered_map<const World::AgentHost*, uint32_t> m_open;    ///< Loads.
  std::unordered_map<uint64_t, const World::AgentHost*> m_placed;  ///< Flows.
};

/// One run of one service under a policy.
class SpreadRun {
 public:
  SpreadRun(const BenchDeployment& deployment,
            const BenchService& service,
            AdmissionPolicy policy,
            bool lies,
            uint64_t seed)
      : m_service(service),
        m_deployment(OneService(deployment, service)),
        m_lies(lies),
        m_world(m_deployment, Options(std::move(policy), seed)) {
    BenchTraffic traffic;
    const double mean_life =
        (1 - kLongShare) * 5.0 + kLongShare * 30.0;  // Seconds.
    m_rate = kFlowsPerServer * service.endpoints / mean_life;
    traffic.flows_per_second = m_rate;
    traffic.pause = Seconds(20);
    traffic.lifetime = [this] { return NextLifetime(); };
    m_world.StartTraffic(service.name, traffic);
  }

  SpreadResult Run() {
    World& world = m_world.Fakes();
    const std::vector<std::string> servers = m_world.ServersOf(m_service.name);
    if (m_lies) {
      world.SetReportsNoLoad(servers[0], true);
    }
    Advance(Seconds(130));
    // Bursts: twice the new flows for 3 s, with a trough after each.
    for (int i = 0; i < 3; ++i) {
      m_world.SetRate(m_service.name, m_rate * 1.3);
      Advance(Seconds(3));
      m_world.SetRate(m_service.name, m_rate * 0.7);
      Advance(Seconds(3));
    }
    m_world.SetRate(m_service.name, m_rate);
    Advance(Seconds(60));
    ColdStart();
    LoseDomain();
    const AgentCounters counters = world.SumCounters();
    m_result.passes_per_flow = static_cast<double>(counters.handed_over) /
                               static_cast<double>(world.Counts().flows);
    m_result.broken = world.Counts().broken;
    return m_result;
  }

 private:
  static BenchDeployment OneService(const BenchDeployment& deployment,
                                    const BenchService& service) {
    BenchDeployment one = deployment;
    one.services = {service};
    return one;
  }

  WorldOptions Options(AdmissionPolicy policy, uint64_t seed) {
    WorldOptions options;
    options.seed = seed;
    options.policy = std::move(policy);
    options.limits.ramp = Seconds(10);
    options.limits.capacity = kCapacity;
    options.on_connection = [this](uint64_t instance, std::string_view,
                                   bool open) {
      if (open) {
        m_oracle.Open(instance, Ready(), [this](const World::AgentHost& host) {
          return host.agent->Ramp(m_world.Fakes().Events().Now());
        });
      } else {
        m_oracle.Close(instance);
      }
    };
    return options;
  }

  Duration NextLifetime() {
    World& world = m_world.Fakes();
    const Duration mean = world.Uniform() < kLongShare ? kLongLife : kShortLife;
    return std::min<Duration>(world.Exponential(mean), kLongestLife);
  }

  std::vector<const World::AgentHost*> Ready() {
    std::vector<const World::AgentHost*> ready;
    for (const auto& host : m_world.Fakes().Agents()) {
      const bool is_ready =
          host->agent != nullptr &&
          host->agent->ServiceGroup().Self().state == AgentState::kReady;
      if (is_ready) {
        ready.push_back(host.get());
      }
    }
    return ready;
  }

  void Advance(Duration length) {
    const TimePoint end = m_world.Fakes().Events().Now() + length;
    while (m_world.Fakes().Events().Now() < end) {
      m_world.Fakes().Run(kSample);
      Sample();
    }
  }

  void Sample() {
    const std::vector<const World::AgentHost*> ready = Ready();
    if (ready.size() != m_last_ready) {
      m_last_ready = ready.size();
      m_last_change = m_world.Fakes().Events().Now();
    }
    uint32_t largest = 0;
    uint64_t sum = 0;
    for (const World::AgentHost* host : ready) {
      largest = std::max(largest, host->server.open);
      sum += host->server.open;
      m_result.slots_overrun += host->server.open > kCapacity ? 1 : 0;
    }
    const uint32_t best = m_oracle.Largest(ready);
    if (largest >= kSmallestLoad && best >= kSmallestLoad) {
      m_result.worst_over_oracle = std::max(
          m_result.worst_over_oracle, static_cast<double>(largest) / best);
    }
    const bool settled =
        m_world.Fakes().Events().Now() - m_last_change > kLongestLife;
    if (settled && sum > 0) {
      const double mean = static_cast<double>(sum) / ready.size();
      m_result.max_over_mean = std::max(m_result.max_over_mean, largest / mean);
      SampleDomains(ready, mean);
    }
  }

  void SampleDomains(const std::vector<const World::AgentHost*>& ready,
                     double mean) {
    std::map<std::string, std::pair<uint64_t, uint32_t>> domains;
    for (const World::AgentHost* host : ready) {
      domains[host->domain].first += host->server.open;
      ++domains[host->domain].second;
    }
    for (const auto& [name, load] : domains) {
      const double domain_mean = static_cast<double>(load.first) / load.second;
      m_result.domain_max_over_mean =
          std::max(m_result.domain_max_over_mean, domain_mean / mean);
    }
  }

  /// One server is replaced by an empty one.
  void ColdStart() {
    World& world = m_world.Fakes();
    const std::string name = m_world.ServersOf(m_service.name).back();
    world.Drain(name, Seconds(90));
    while (world.FindAgent(name).agent != nullptr) {
      Advance(Seconds(1));
    }
    world.StartServer(name);
    Advance(Seconds(130));
  }

  /// All servers of one failure domain die and start again after a while.
  void LoseDomain() {
    World& world = m_world.Fakes();
    std::vector<std::string> lost;
    for (const auto& host : world.Agents()) {
      if (host->domain == m_deployment.domains[0]) {
        lost.push_back(host->name);
        m_oracle.Lose(host.get());
        world.CrashServer(host->name);
      }
    }
    // What is left cannot carry everything, so callers come more slowly.
    const double left = static_cast<double>(m_service.endpoints) -
                        static_cast<double>(lost.size());
    m_world.SetRate(m_service.name, m_rate * left / m_service.endpoints);
    Advance(Seconds(60));
    for (const std::string& name : lost) {
      world.StartServer(name);
    }
    m_world.SetRate(m_service.name, m_rate);
    Advance(Seconds(60));
  }

  BenchService m_service;        ///< Under test.
  BenchDeployment m_deployment;  ///< With this service only.
  bool m_lies;                   ///< One endpoint reports no load.
  Oracle m_oracle;               ///< Knows all loads at every instant.
  DeploymentWorld m_world;       ///< The fakes.
  double m_rate = 0;             ///< New flows a second.
  size_t m_last_ready = 0;       ///< Ready servers at the last sample.
  TimePoint m_last_change;       ///< Of their number.
  SpreadResult m_result;         ///< So far.
};

/// Worst of all services of both deployments.
SpreadResult RunPolicy(const AdmissionPolicy& policy,
                       bool lies,
                       uint64_t seed) {
  std::vector<SpreadResult> results;
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
      results[i] =
          SpreadRun(cases[i].first, cases[i].second, policy, lies, seed + i)
              .Run();
    });
  }
  SpreadResult worst;
  for (size_t i = 0; i < cases.size(); ++i) {
    threads[i].join();
    const SpreadResult& one = results[i];
    worst.max_over_mean = std::max(worst.max_over_mean, one.max_over_mean);
    worst.domain_max_over_mean =
        std::max(worst.domain_max_over_mean, one.domain_max_over_mean);
    worst.worst_over_oracle =
        std::max(worst.worst_over_oracle, one.worst_over_oracle);
    worst.passes_per_flow =
        std::max(worst.passes_per_flow, one.passes_per_flow);
    worst.slots_overrun += one.slots_overrun;
    worst.broken += one.broken;
  }
  return worst;
}

void PrintRow(const char* name, const SpreadResult& result) {
  std::cout << std::left << std::setw(20) << name << std::right << std::fixed
            << std::setprecision(4) << std::setw(10) << result.max_over_mean
            << std::setw(10) << result.domain_max_over_mean << std::setw(10)
            << result.worst_over_oracle << std::setw(10)
            << result.passes_per_flow << std::setw(8) << result.slots_overrun
            << std::setw(8) << result.broken << "\n";
}

}  // namespace

nlohmann::json RunImbalance(const BenchOptions& options) {
  std::cout << "policy                max/mean    domain    oracle    passes "
               "overrun  broken\n";
  const SpreadResult own = RunPolicy(PlaceWithinBound, false, options.seed);
  PrintRow("within bound", own);
  const SpreadResult lying = RunPolicy(PlaceWithinBound, true, options.seed);
  PrintRow("within bound, lying", lying);
  const SpreadResult hash = RunPolicy(PlaceAtHome, false, options.seed);
  PrintRow("home (hashing)", hash);
  const SpreadResult two = RunPolicy(PlaceByTwoChoices, false, options.seed);
  PrintRow("two choices", two);
  return {{"max_over_mean", own.max_over_mean},
          {"domain_max_over_mean", own.domain_max_over_mean},
          {"worst_over_oracle", own.worst_over_oracle},
          {"worst_over_oracle_hash", hash.worst_over_oracle},
          {"worst_over_oracle_two_choice", two.worst_over_oracle},
          {"worst_over_oracle_lying", lying.worst_over_oracle},
          {"passes_per_new_flow", own.passes_per_flow},
          {"slots_overrun", own.slots_overrun}};
}

}  // namespace medlargauge

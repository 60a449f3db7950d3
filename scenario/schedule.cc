// @file schedule.cc Generation of schedules, and their translation into events
// of a World.
#include "scenario/schedule.h"

#include <algorithm>
#include <array>
#include <pcg_random.hpp>
#include <sstream>

#include "scenario/world.h"
#include "src/packet/packet.h"

namespace medlargauge {
namespace {

/// Time span of the faults and of the traffic.
constexpr uint32_t kScheduleMs = 40000;
/// ScheduledFault::amount is below this.
constexpr uint32_t kAmountRange = 1000;
constexpr int kStockServers = 5;
constexpr int kPhotoServers = 3;
constexpr Duration kWarmUp = Seconds(4);
/// Long enough for every caller to finish or to give up.
constexpr Duration kCoolDown = Seconds(150);
constexpr Duration kFlowInterval = Milliseconds(50);
constexpr Duration kMaxLifetime = Seconds(25);

constexpr std::array<const char*, kFaultKindCount> kFaultNames = {
    "drain_server",     "upgrade_agent",  "crash_agent", "pause_agent",
    "restart_balancer", "crash_balancer", "cut_one_way", "isolate_agent",
    "change_trial",     "loss_burst",     "shed_load",   "add_server"};

/// The run of one schedule in a world of its own.
class ScheduleRun {
 public:
  ScheduleRun(const Schedule& schedule,
              const FaultInjection& fault_injection,
              VerdictHook on_verdict)
      : m_world(MakeOptions(schedule, fault_injection, std::move(on_verdict))) {
    SetUpDeployment();
    for (const ScheduledFault& fault : schedule.faults) {
      m_world.Events().After(Milliseconds(fault.at_ms),
                             [this, fault] { ApplyFault(fault); });
    }
    StartNextFlow();
  }

  ScheduleResult RunToEnd() {
    m_world.Run(Milliseconds(kScheduleMs));
    m_traffic_enabled = false;
    m_world.Run(kCoolDown);
    return {m_world.Counts(), m_world.SumCounters(), m_world.ViolationLog()};
  }

 private:
  static WorldOptions MakeOptions(const Schedule& schedule,
                                  const FaultInjection& fault_injection,
                                  VerdictHook on_verdict) {
    WorldOptions options;
    options.on_verdict = std::move(on_verdict);
    options.seed = schedule.seed;
    options.fault_injection = fault_injection;
    options.limits.ramp = Seconds(5);
    options.limits.udp_idle = Seconds(40);
    options.faults = BackgroundFaults();
    return options;
  }

  /// Returns the faults that last throughout the run.
  static NetworkFaults BackgroundFaults() {
    NetworkFaults faults;
    faults.balancer_lag = Seconds(5);
    faults.duplicate = 0.01;
    faults.reorder = 0.02;
    return faults;
  }

  void SetUpDeployment() {
    for (const char* name : {"balancer-1", "balancer-2", "balancer-3"}) {
      m_world.AddBalancer(name);
    }
    for (int i = 0; i < kStockServers; ++i) {
      AddServer("stock", i == 0 ? "v2" : "v1");
    }
    for (int i = 0; i < kPhotoServers; ++i) {
      AddServer("photos", "v1");
    }
    SetTarget("stock", "203.0.113.1", 1000);
    SetTarget("photos", "203.0.113.2", 0);
    m_world.Run(kWarmUp);
  }

  void AddServer(const std::string& service, const std::string& version) {
    const std::string name =
        service + "-" + std::to_string(m_world.Agents().size());
    const std::string domain =
        "domain-" + std::to_string(m_world.Agents().size() % 3);
    m_world.AddServer(name, service, version, domain);
  }

  void SetTarget(const std::string& name,
                 const std::string& address,
                 uint32_t trial_share) {
    ClassTarget target;
    target.name = name;
    target.service = name;
    target.address = *ParseIpv4(address);
    target.baseline = "v1";
    target.trial = name == "stock" ? "v2" : "";
    target.trial_share = trial_share;
    m_world.SetTarget(target, Seconds(2));
  }

  /// Starts a random flow and schedules the next one while traffic is enabled.
  void StartNextFlow() {
    if (!m_traffic_enabled) {
      return;
    }
    FlowPlan plan;
    const uint32_t choice = m_world.Random()(8);
    plan.class_name = choice % 2 == 0 ? "stock" : "photos";
    plan.transport = choice < 2 ? Transport::kUdp : Transport::kTcp;
    plan.lifetime =
        std::min<Duration>(m_world.Exponential(Seconds(10)), kMaxLifetime);
    plan.pause = Milliseconds(700);
    const bool reuses_ports = choice == 7 || choice == 6;
    reuses_ports ? m_world.StartFlowOnReusedPorts(plan)
                 : m_world.StartFlow(plan);
    m_world.Events().After(kFlowInterval, [this] { StartNextFlow(); });
  }

  /// Returns the fraction of `max_duration` that the fault's amount selects.
  Duration FaultDuration(const ScheduledFault& fault,
                         Duration max_duration) const {
    return max_duration * (fault.amount + 1) / kAmountRange;
  }

  void ApplyFault(const ScheduledFault& fault) {
    const auto& agents = m_world.Agents();
    const World::AgentHost& host = *agents[fault.target % agents.size()];
    const auto& balancers = m_world.Balancers();
    const World::BalancerHost& balancer =
        *balancers[fault.target % balancers.size()];
    const std::string name = host.name;
    const bool is_running = host.agent != nullptr;
    switch (fault.kind) {
      case FaultKind::kDrainServer:
        if (is_running) {
          DrainAndRestart(name);
        }
        return;
      case FaultKind::kUpgradeAgent:
        if (is_running && !host.leave_when_drained && !IsPaused(host)) {
          m_world.UpgradeAgent(name, FaultDuration(fault, Milliseconds(800)));
        }
        return;
      case FaultKind::kCrashAgent:
        if (is_running && !host.leave_when_drained) {
          m_world.CrashAgent(name);
          m_world.Events().After(FaultDuration(fault, Milliseconds(3500)),
                                 [this, name] { m_world.RecoverAgent(name); });
        }
        return;
      case FaultKind::kPauseAgent:
        if (is_running && !IsPaused(host)) {
          m_world.PauseAgent(name, FaultDuration(fault, Seconds(8)));
        }
        return;
      case FaultKind::kRestartBalancer:
        m_world.RestartBalancer(balancer.name,
                                FaultDuration(fault, Seconds(4)));
        return;
      case FaultKind::kCrashBalancer:
        CrashBalancer(balancer, fault);
        return;
      case FaultKind::kCutOneWay:
        CutLink(name, CutPeerOf(fault), FaultDuration(fault, Seconds(8)));
        return;
      case FaultKind::kIsolateAgent:
        IsolateAgent(name, FaultDuration(fault, Seconds(8)));
        return;
      case FaultKind::kChangeTrial:
        SetTarget("stock", "203.0.113.1", fault.amount * 10);
        return;
      case FaultKind::kLossBurst:
        StartLossBurst(fault);
        return;
      case FaultKind::kShedLoad:
        m_world.SetShedding(name, true);
        m_world.Events().After(FaultDuration(fault, Seconds(8)), [this, name] {
          m_world.SetShedding(name, false);
        });
        return;
      case FaultKind::kAddServer:
        AddServer(host.service, host.version);
        return;
    }
  }

  bool IsPaused(const World::AgentHost& host) {
    return host.paused_until > m_world.Events().Now();
  }

  std::string CutPeerOf(const ScheduledFault& fault) const {
    const auto& agents = m_world.Agents();
    return agents[(fault.target + 1 + fault.amount) % agents.size()]->name;
  }

  void DrainAndRestart(const std::string& name) {
    m_world.Drain(name, Seconds(200));
    StartServerOnceDrained(name);
  }

  /// Polls until a drained server has stopped, then starts it again.
  void StartServerOnceDrained(const std::string& name) {
    m_world.Events().After(Milliseconds(500), [this, name] {
      const World::AgentHost& host = m_world.FindAgent(name);
      if (host.agent != nullptr && host.leave_when_drained) {
        StartServerOnceDrained(name);
      } else if (host.agent == nullptr && !host.server.alive) {
        m_world.StartServer(name);
      }
    });
  }

  void CrashBalancer(const World::BalancerHost& balancer,
                     const ScheduledFault& fault) {
    const std::string name = balancer.name;
    if (balancer.balancer == nullptr) {
      return;
    }
    m_world.CrashBalancer(name);
    m_world.Events().After(FaultDuration(fault, Seconds(6)), [this, name] {
      for (const auto& host : m_world.Balancers()) {
        if (host->name == name && host->balancer == nullptr) {
          m_world.StartBalancer(name);
        }
      }
    });
  }

  void CutLink(const std::string& from,
               const std::string& to,
               Duration length) {
    m_world.SetLinkCut(from, to, true);
    m_world.Events().After(
        length, [this, from, to] { m_world.SetLinkCut(from, to, false); });
  }

  void IsolateAgent(const std::string& name, Duration length) {
    std::vector<std::string> others;
    for (const auto& host : m_world.Agents()) {
      others.push_back(host->name);
    }
    for (const auto& host : m_world.Balancers()) {
      others.push_back(host->name);
    }
    for (const std::string& other : others) {
      CutLink(name, other, length);
      CutLink(other, name, length);
    }
  }

  void StartLossBurst(const ScheduledFault& fault) {
    NetworkFaults faults = BackgroundFaults();
    faults.loss = 0.1;
    faults.duplicate = 0.1;
    faults.reorder = 0.3;
    faults.reorder_delay = Milliseconds(1500);
    faults.control_loss = 0.05;
    m_world.SetFaults(faults);
    m_world.Events().After(FaultDuration(fault, Seconds(10)),
                           [this] { m_world.SetFaults(BackgroundFaults()); });
  }

  World m_world;                  ///< World that the faults are applied to.
  bool m_traffic_enabled = true;  ///< Whether new flows are started.
};

}  // namespace

Schedule MakeSchedule(uint32_t seed, size_t faults) {
  pcg32 random(seed);
  Schedule schedule;
  schedule.seed = seed;
  for (size_t i = 0; i < faults; ++i) {
    ScheduledFault fault;
    fault.kind = static_cast<FaultKind>(random(kFaultKindCount));
    fault.at_ms = random(kScheduleMs);
    fault.target = random(64);
    fault.amount = random(kAmountRange);
    schedule.faults.push_back(fault);
  }
  return schedule;
}

ScheduleResult RunSchedule(const Schedule& schedule,
                           const FaultInjection& fault_injection,
                           VerdictHook on_verdict) {
  return ScheduleRun(schedule, fault_injection, std::move(on_verdict))
      .RunToEnd();
}

std::string Describe(const Schedule& schedule) {
  std::ostringstream text;
  text << "seed=" << schedule.seed << "\n";
  std::vector<ScheduledFault> faults = schedule.faults;
  std::stable_sort(faults.begin(), faults.end(),
                   [](const ScheduledFault& a, const ScheduledFault& b) {
                     return a.at_ms < b.at_ms;
                   });
  for (const ScheduledFault& fault : faults) {
    text << "  at=" << fault.at_ms
         << "ms fault=" << kFaultNames[static_cast<size_t>(fault.kind)]
         << " target=" << fault.target << " amount=" << fault.amount << "\n";
  }
  return text.str();
}

}  // namespace medlargauge

// @file schedule.cc Translates schedules into events of a world.
#include "scenario/schedule.h"

#include <algorithm>
#include <array>
#include <pcg_random.hpp>
#include <sstream>

#include "scenario/world.h"
#include "src/packet/packet.h"

namespace medlargauge {
namespace {

constexpr uint32_t kScheduleMs = 40000;
constexpr uint32_t kAmounts = 1000;
constexpr int kStockServers = 5;
constexpr int kPhotoServers = 3;
constexpr Duration kWarmUp = Seconds(4);
/// Long enough for every caller to end or to give up.
constexpr Duration kCoolDown = Seconds(150);
constexpr Duration kFlowInterval = Milliseconds(50);
constexpr Duration kMaxLifetime = Seconds(25);

constexpr std::array<const char*, kFaultKinds> kFaultNames = {
    "drain_server",     "upgrade_agent",  "crash_agent", "pause_agent",
    "restart_balancer", "crash_balancer", "cut_one_way", "isolate_agent",
    "change_trial",     "loss_burst",     "shed_load",   "add_server"};

/// Applies one schedule to one world.
class ScheduleRun {
 public:
  ScheduleRun(const Schedule& schedule,
              const FaultInjection& fault_injection,
              VerdictHook on_verdict)
      : m_world(Options(schedule, fault_injection, std::move(on_verdict))) {
    SetUp();
    for (const ScheduledFault& fault : schedule.faults) {
      m_world.Events().After(Milliseconds(fault.at_ms),
                             [this, fault] { Apply(fault); });
    }
    StartTraffic();
  }

  ScheduleResult Finish() {
    m_world.Run(Milliseconds(kScheduleMs));
    m_traffic = false;
    m_world.Run(kCoolDown);
    return {m_world.Counts(), m_world.SumCounters(), m_world.Trace()};
  }

 private:
  static WorldOptions Options(const Schedule& schedule,
                              const FaultInjection& fault_injection,
                              VerdictHook on_verdict) {
    WorldOptions options;
    options.on_verdict = std::move(on_verdict);
    options.seed = schedule.seed;
    options.fault_injection = fault_injection;
    options.limits.ramp = Seconds(5);
    options.limits.udp_idle = Seconds(40);
    options.faults = QuietFaults();
    return options;
  }

  static NetworkFaults QuietFaults() {
    NetworkFaults faults;
    faults.balancer_lag = Seconds(5);
    faults.duplicate = 0.01;
    faults.reorder = 0.02;
    return faults;
  }

  void SetUp() {
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

  void StartTraffic() {
    if (!m_traffic) {
      return;
    }
    FlowPlan plan;
    const uint32_t choice = m_world.Random()(8);
    plan.class_name = choice % 2 == 0 ? "stock" : "photos";
    plan.transport = choice < 2 ? Transport::kUdp : Transport::kTcp;
    plan.lifetime =
        std::min<Duration>(m_world.Exponential(Seconds(10)), kMaxLifetime);
    plan.pause = Milliseconds(700);
    const bool reuse = choice == 7 || choice == 6;
    reuse ? m_world.StartFlowOnUsedPort(plan) : m_world.StartFlow(plan);
    m_world.Events().After(kFlowInterval, [this] { StartTraffic(); });
  }

  Duration LengthOf(const ScheduledFault& fault, Duration longest) const {
    return longest * (fault.amount + 1) / kAmounts;
  }

  void Apply(const ScheduledFault& fault) {
    const auto& agents = m_world.Agents();
    const World::AgentHost& host = *agents[fault.target % agents.size()];
    const auto& balancers = m_world.Balancers();
    const World::BalancerHost& balancer =
        *balancers[fault.target % balancers.size()];
    const std::string name = host.name;
    const bool running = host.agent != nullptr;
    switch (fault.kind) {
      case FaultKind::kDrainServer:
        if (running) {
          DrainAndReplace(name);
        }
        return;
      case FaultKind::kUpgradeAgent:
        if (running && !host.leave_when_drained && !IsPaused(host)) {
          m_world.UpgradeAgent(name, LengthOf(fault, Milliseconds(800)));
        }
        return;
      case FaultKind::kCrashAgent:
        if (running && !host.leave_when_drained) {
          m_world.CrashAgent(name);
          m_world.Events().After(LengthOf(fault, Milliseconds(3500)),
                                 [this, name] { m_world.RecoverAgent(name); });
        }
        return;
      case FaultKind::kPauseAgent:
        if (running && !IsPaused(host)) {
          m_world.PauseAgent(name, LengthOf(fault, Seconds(8)));
        }
        return;
      case FaultKind::kRestartBalancer:
        m_world.RestartBalancer(balancer.name, LengthOf(fault, Seconds(4)));
        return;
      case FaultKind::kCrashBalancer:
        CrashBalancer(balancer, fault);
        return;
      case FaultKind::kCutOneWay:
        Cut(name, PeerOf(fault), LengthOf(fault, Seconds(8)));
        return;
      case FaultKind::kIsolateAgent:
        Isolate(name, LengthOf(fault, Seconds(8)));
        return;
      case FaultKind::kChangeTrial:
        SetTarget("stock", "203.0.113.1", fault.amount * 10);
        return;
      case FaultKind::kLossBurst:
        LossBurst(fault);
        return;
      case FaultKind::kShedLoad:
        m_world.SetShedding(name, true);
        m_world.Events().After(LengthOf(fault, Seconds(8)), [this, name] {
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

  std::string PeerOf(const ScheduledFault& fault) const {
    const auto& agents = m_world.Agents();
    return agents[(fault.target + 1 + fault.amount) % agents.size()]->name;
  }

  void DrainAndReplace(const std::string& name) {
    m_world.Drain(name, Seconds(200));
    WaitAndStart(name);
  }

  void WaitAndStart(const std::string& name) {
    m_world.Events().After(Milliseconds(500), [this, name] {
      const World::AgentHost& host = m_world.FindAgent(name);
      if (host.agent != nullptr && host.leave_when_drained) {
        WaitAndStart(name);
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
    m_world.Events().After(LengthOf(fault, Seconds(6)), [this, name] {
      for (const auto& host : m_world.Balancers()) {
        if (host->name == name && host->balancer == nullptr) {
          m_world.StartBalancer(name);
        }
      }
    });
  }

  void Cut(const std::string& from, const std::string& to, Duration length) {
    m_world.SetLinkCut(from, to, true);
    m_world.Events().After(
        length, [this, from, to] { m_world.SetLinkCut(from, to, false); });
  }

  void Isolate(const std::string& name, Duration length) {
    std::vector<std::string> others;
    for (const auto& host : m_world.Agents()) {
      others.push_back(host->name);
    }
    for (const auto& host : m_world.Balancers()) {
      others.push_back(host->name);
    }
    for (const std::string& other : others) {
      Cut(name, other, length);
      Cut(other, name, length);
    }
  }

  void LossBurst(const ScheduledFault& fault) {
    NetworkFaults faults = QuietFaults();
    faults.loss = 0.1;
    faults.duplicate = 0.1;
    faults.reorder = 0.3;
    faults.reorder_delay = Milliseconds(1500);
    faults.control_loss = 0.05;
    m_world.SetFaults(faults);
    m_world.Events().After(LengthOf(fault, Seconds(10)),
                           [this] { m_world.SetFaults(QuietFaults()); });
  }

  World m_world;          ///< The fakes.
  bool m_traffic = true;  ///< New flows start.
};

}  // namespace

Schedule MakeSchedule(uint32_t seed, size_t faults) {
  pcg32 random(seed);
  Schedule schedule;
  schedule.seed = seed;
  for (size_t i = 0; i < faults; ++i) {
    ScheduledFault fault;
    fault.kind = static_cast<FaultKind>(random(kFaultKinds));
    fault.at_ms = random(kScheduleMs);
    fault.target = random(64);
    fault.amount = random(kAmounts);
    schedule.faults.push_back(fault);
  }
  return schedule;
}

ScheduleResult RunSchedule(const Schedule& schedule,
                           const FaultInjection& fault_injection,
                           VerdictHook on_verdict) {
  return ScheduleRun(schedule, fault_injection, std::move(on_verdict)).Finish();
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

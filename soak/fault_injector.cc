// @file fault_injector.cc Kinds of faults and how they are injected.
#include "soak/fault_injector.h"

#include <csignal>

#include "src/core/error.h"

namespace medlargauge::soak {
namespace {

using platform::standin::StoreFaultMode;

constexpr int64_t kMinIntervalMs = 150;
constexpr int64_t kMaxIntervalMs = 1500;
/// Share of the intervals between faults that are long.
constexpr double kLongIntervalProbability = 0.06;
constexpr int64_t kMinLongIntervalMs = 6000;
constexpr int64_t kMaxLongIntervalMs = 10000;
constexpr Duration kServerStartRetryDelay = Milliseconds(200);

}  // namespace

const std::vector<FaultInjector::FaultKind>& FaultInjector::FaultKinds() {
  static const std::vector<FaultKind> fault_kinds = {
      {"kill a balancer", &FaultInjector::KillBalancer, 1},
      {"kill an agent", &FaultInjector::KillAgent, 1},
      {"kill all processes", &FaultInjector::KillAllProcesses, 0.4},
      {"kill all balancers", &FaultInjector::KillAllBalancers, 0.4},
      {"kill all agents", &FaultInjector::KillAllAgents, 0.3},
      {"kill half of the processes", &FaultInjector::KillHalfOfProcesses, 0.4},
      {"kill seven of eight processes", &FaultInjector::KillMostProcesses, 0.4},
      {"kill seven of eight processes, store away",
       &FaultInjector::KillMostProcessesAndStore, 0.4},
      {"kill all balancers, store away",
       &FaultInjector::KillAllBalancersAndStore, 0.4},
      {"restart a balancer", &FaultInjector::RestartBalancer, 1},
      {"restart an agent", &FaultInjector::RestartAgent, 1},
      {"pause a balancer", &FaultInjector::PauseBalancer, 1},
      {"pause an agent", &FaultInjector::PauseAgent, 1},
      {"crash a server", &FaultInjector::CrashServer, 1},
      {"crash a server, which keeps its identifier",
       &FaultInjector::CrashServerKeepingId, 1},
      {"drain a server", &FaultInjector::DrainServer, 1},
      {"slow down a server", &FaultInjector::SlowDownServer, 1},
      {"let a server fail part of its requests", &FaultInjector::MakeServerFail,
       1},
      {"store fault mode", &FaultInjector::InjectStoreFault, 1},
      {"lose and duplicate packets", &FaultInjector::DropAndDuplicatePackets,
       1},
      {"cut", &FaultInjector::CutTwoProcesses, 1},
      {"isolate", &FaultInjector::IsolateProcess, 0.7},
      {"delay and lose between", &FaultInjector::DelayBetweenTwoProcesses, 0.7},
      {"delay and lose at", &FaultInjector::DelayOfProcess, 0.7},
      {"cut from the store", &FaultInjector::CutFromStore, 1},
      {"write a new target", &FaultInjector::WriteTarget, 1},
      {"evacuate the domain", &FaultInjector::EvacuateDomain, 3},
      {"reload the settings of", &FaultInjector::ReloadSettings, 1},
      {"power off all hosts", &FaultInjector::PowerOff, 0.3}};
  return fault_kinds;
}

FaultInjector::FaultInjector(FaultTargets targets, uint64_t seed)
    : m_targets(std::move(targets)),
      m_random(seed),
      m_started_at(SteadyTime()) {}

void FaultInjector::Start(TimePoint until) {
  m_until = until;
  ScheduleNext();
}

void FaultInjector::ScheduleNext() {
  const bool is_long =
      std::bernoulli_distribution(kLongIntervalProbability)(m_random);
  const Duration interval =
      is_long ? DrawDuration(kMinLongIntervalMs, kMaxLongIntervalMs)
              : DrawDuration(kMinIntervalMs, kMaxIntervalMs);
  m_targets.loop->After(interval, [this] {
    const TimePoint now = SteadyTime();
    if (now >= m_until) {
      return;
    }
    std::vector<double> weights;
    for (const FaultKind& kind : FaultKinds()) {
      weights.push_back(kind.weight);
    }
    const FaultKind& kind = FaultKinds()[std::discrete_distribution<size_t>(
        weights.begin(), weights.end())(m_random)];
    m_log.push_back(std::to_string(ToMilliseconds(now - m_started_at)) +
                    " ms " + kind.name);
    (this->*kind.inject)();
    ScheduleNext();
  });
}

Duration FaultInjector::DrawDuration(int64_t min_ms, int64_t max_ms) {
  return Milliseconds(
      std::uniform_int_distribution<int64_t>(min_ms, max_ms)(m_random));
}

Daemon* FaultInjector::ChooseDaemon(bool is_agent) {
  std::vector<Daemon*> candidates;
  for (Daemon& daemon : m_targets.processes->Daemons()) {
    if (daemon.is_agent == is_agent) {
      candidates.push_back(&daemon);
    }
  }
  Daemon* chosen = candidates[m_random() % candidates.size()];
  m_log.back() += " " + chosen->name;
  return chosen;
}

Daemon* FaultInjector::ChooseDaemon() {
  std::vector<Daemon>& daemons = m_targets.processes->Daemons();
  Daemon* chosen = &daemons[m_random() % daemons.size()];
  m_log.back() += " " + chosen->name;
  return chosen;
}

ServerStandin* FaultInjector::ChooseServer() {
  const size_t index = m_random() % m_targets.servers->size();
  m_log.back() += " " + std::to_string(index);
  return (*m_targets.servers)[index].get();
}

void FaultInjector::StartServerAfter(ServerStandin* server,
                                     Duration downtime,
                                     bool same_id) {
  m_targets.loop->After(downtime, [this, server, same_id] {
    Error reason;
    if (!server->IsRunning() && !server->Start(same_id, &reason)) {
      StartServerAfter(server, kServerStartRetryDelay, same_id);
    }
  });
}

Duration FaultInjector::DrawDowntime() {
  return m_random() % 2 == 0 ? DrawDuration(200, 2500)
                             : DrawDuration(200, 10000);
}

void FaultInjector::KillProcesses(
    double probability,
    const std::function<bool(const Daemon&)>& filter) {
  enum class Order : uint64_t { kTogether, kScattered, kAgentsFirst };
  const auto order = static_cast<Order>(m_random() % 3);
  const Duration common_downtime = DrawDowntime();
  m_log.back() += order == Order::kTogether    ? ", back together"
                  : order == Order::kScattered ? ", back one by one"
                                               : ", agents back first";
  for (Daemon& daemon : m_targets.processes->Daemons()) {
    if (!filter(daemon) ||
        !std::bernoulli_distribution(probability)(m_random)) {
      continue;
    }
    const Duration downtime = order == Order::kTogether
                                  ? common_downtime + DrawDuration(0, 300)
                              : order == Order::kScattered ? DrawDowntime()
                              : daemon.is_agent ? DrawDuration(200, 2500)
                                                : DrawDuration(6000, 10000);
    m_targets.processes->Kill(&daemon, downtime);
  }
}

void FaultInjector::KillBalancer() {
  m_targets.processes->Kill(ChooseDaemon(false), DrawDowntime());
}

void FaultInjector::KillAgent() {
  m_targets.processes->Kill(ChooseDaemon(true), DrawDowntime());
}

void FaultInjector::KillAllProcesses() {
  KillProcesses(1, [](const Daemon&) { return true; });
}

void FaultInjector::KillAllBalancers() {
  KillProcesses(1, [](const Daemon& daemon) { return !daemon.is_agent; });
}

void FaultInjector::KillAllAgents() {
  KillProcesses(1, [](const Daemon& daemon) { return daemon.is_agent; });
}

void FaultInjector::KillHalfOfProcesses() {
  KillProcesses(0.5, [](const Daemon&) { return true; });
}

void FaultInjector::KillMostProcesses() {
  KillProcesses(0.875, [](const Daemon&) { return true; });
}

void FaultInjector::KillMostProcessesAndStore() {
  KillMostProcesses();
  TakeStoreAway();
}

void FaultInjector::KillAllBalancersAndStore() {
  KillAllBalancers();
  TakeStoreAway();
}

void FaultInjector::TakeStoreAway() {
  const bool answers = m_random() % 2 == 0;
  m_log.back() += answers ? " refusing" : " silent";
  SetStoreFaultMode(
      answers ? StoreFaultMode::kUnavailable : StoreFaultMode::kExecutesLate,
      DrawDuration(3000, 11000));
}

void FaultInjector::RestartBalancer() {
  m_targets.processes->Restart(ChooseDaemon(false), DrawDuration(50, 600));
}

void FaultInjector::RestartAgent() {
  m_targets.processes->Restart(ChooseDaemon(true), DrawDuration(50, 600));
}

void FaultInjector::PauseBalancer() {
  m_targets.processes->Pause(ChooseDaemon(false), DrawDuration(100, 6000));
}

void FaultInjector::PauseAgent() {
  m_targets.processes->Pause(ChooseDaemon(true), DrawDuration(100, 6000));
}

void FaultInjector::CrashServer() {
  ServerStandin* server = ChooseServer();
  server->Crash();
  StartServerAfter(server, DrawDuration(100, 3000), false);
}

void FaultInjector::CrashServerKeepingId() {
  ServerStandin* server = ChooseServer();
  server->Crash();
  StartServerAfter(server, DrawDuration(20, 800), true);
}

void FaultInjector::DrainServer() {
  ServerStandin* server = ChooseServer();
  server->Leave();
  StartServerAfter(server, Seconds(6), false);
}

void FaultInjector::SlowDownServer() {
  ServerStandin* server = ChooseServer();
  server->SetWorkTimeFactor(8);
  m_targets.loop->After(DrawDuration(1000, 5000),
                        [server] { server->SetWorkTimeFactor(1); });
}

void FaultInjector::MakeServerFail() {
  ServerStandin* server = ChooseServer();
  server->SetFailureProbability(0.7);
  m_targets.loop->After(DrawDuration(1000, 5000),
                        [server] { server->SetFailureProbability(0); });
}

void FaultInjector::SetStoreFaultMode(StoreFaultMode mode, Duration duration) {
  const uint64_t fault_number = ++m_store_fault_number;
  const bool healthy =
      mode == StoreFaultMode::kHealthy || mode == StoreFaultMode::kCompacted;
  m_targets.store->SetFaultMode(mode);
  m_targets.checker->OnStoreHealthChanged(SteadyTime(), healthy);
  if (mode == StoreFaultMode::kHealthy) {
    return;
  }
  m_targets.loop->After(duration, [this, fault_number] {
    if (fault_number == m_store_fault_number) {
      SetStoreFaultMode(StoreFaultMode::kHealthy, Duration());
    }
  });
}

void FaultInjector::InjectStoreFault() {
  static constexpr StoreFaultMode kFaultModes[] = {
      StoreFaultMode::kSlow,        StoreFaultMode::kExecutesLate,
      StoreFaultMode::kAnswersLate, StoreFaultMode::kUnavailable,
      StoreFaultMode::kBusy,        StoreFaultMode::kCompacted};
  const size_t index = m_random() % std::size(kFaultModes);
  m_log.back() += " " + std::to_string(index);
  SetStoreFaultMode(kFaultModes[index], DrawDuration(500, 8000));
}

void FaultInjector::DropAndDuplicatePackets() {
  m_targets.router->SetPacketFaults(0.05, 0.05);
  m_targets.loop->After(DrawDuration(500, 3000),
                        [this] { m_targets.router->SetPacketFaults(0, 0); });
}

void FaultInjector::SetLinkFault(Daemon* from,
                                 Daemon* to,
                                 const LinkFault& fault,
                                 Duration duration) {
  m_targets.network->SetLinkFault(from->ip, to->ip, fault);
  const std::pair<uint32_t, uint32_t> link{from->ip, to->ip};
  const uint64_t fault_number = ++m_link_fault_numbers[link];
  m_targets.loop->After(duration, [this, link, fault_number] {
    if (fault_number == m_link_fault_numbers[link]) {
      m_targets.network->SetLinkFault(link.first, link.second, LinkFault());
    }
  });
}

void FaultInjector::SetFaultOfAllLinks(Daemon* daemon,
                                       const LinkFault& fault,
                                       Duration duration) {
  const uint64_t direction = m_random() % 4;
  const bool outgoing = direction != 0;
  const bool incoming = direction != 1;
  m_log.back() += std::string(incoming ? " in" : "") +
                  (outgoing ? " out" : "") + " for " +
                  std::to_string(ToMilliseconds(duration)) + " ms";
  ProcessSupervisor::MarkIsolation(daemon, duration);
  for (Daemon& other : m_targets.processes->Daemons()) {
    if (!m_targets.network->AreLinked(daemon->ip, other.ip)) {
      continue;
    }
    if (outgoing) {
      SetLinkFault(daemon, &other, fault, duration);
    }
    if (incoming) {
      SetLinkFault(&other, daemon, fault, duration);
    }
  }
}

LinkFault FaultInjector::DrawDelayAndLoss() {
  LinkFault fault;
  fault.loss_probability =
      std::uniform_real_distribution<double>(0, 0.4)(m_random);
  fault.delay = DrawDuration(1, 400);
  return fault;
}

void FaultInjector::CutTwoProcesses() {
  Daemon* balancer = ChooseDaemon(false);
  Daemon* other = ChooseDaemon();
  const Duration duration = DrawDuration(200, 8000);
  const uint64_t direction = m_random() % 4;
  m_log.back() += direction == 0   ? " one way"
                  : direction == 1 ? " the other way"
                                   : " both ways";
  m_log.back() += " for " + std::to_string(ToMilliseconds(duration)) + " ms";
  LinkFault fault;
  fault.cut = true;
  if (balancer == other) {
    return;
  }
  ProcessSupervisor::MarkFault(balancer, duration);
  ProcessSupervisor::MarkFault(other, duration);
  if (direction != 1) {
    SetLinkFault(balancer, other, fault, duration);
  }
  if (direction != 0) {
    SetLinkFault(other, balancer, fault, duration);
  }
}

void FaultInjector::IsolateProcess() {
  LinkFault fault;
  fault.cut = true;
  SetFaultOfAllLinks(ChooseDaemon(), fault, DrawDuration(200, 8000));
}

void FaultInjector::DelayBetweenTwoProcesses() {
  Daemon* balancer = ChooseDaemon(false);
  Daemon* other = ChooseDaemon();
  const LinkFault fault = DrawDelayAndLoss();
  const Duration duration = DrawDuration(200, 8000);
  if (balancer != other) {
    ProcessSupervisor::MarkFault(balancer, duration);
    ProcessSupervisor::MarkFault(other, duration);
    SetLinkFault(balancer, other, fault, duration);
    SetLinkFault(other, balancer, fault, duration);
  }
}

void FaultInjector::DelayOfProcess() {
  SetFaultOfAllLinks(ChooseDaemon(), DrawDelayAndLoss(),
                     DrawDuration(200, 8000));
}

void FaultInjector::CutFromStore() {
  Daemon* daemon = ChooseDaemon();
  const bool resets = m_random() % 2 == 0;
  const Duration duration = DrawDuration(200, 8000);
  m_log.back() += std::string(resets ? " by resets" : " silently") + " for " +
                  std::to_string(ToMilliseconds(duration)) + " ms";
  if (!daemon->is_agent) {
    // Excuses old targets. Flows do not depend on the store.
    ProcessSupervisor::MarkFault(daemon, duration);
  }
  m_targets.network->SetStoreLinkMode(
      daemon->ip, resets ? TcpRelayMode::kReset : TcpRelayMode::kSilent);
  const std::pair<uint32_t, uint32_t> link{daemon->ip, 0};
  const uint64_t fault_number = ++m_link_fault_numbers[link];
  m_targets.loop->After(duration, [this, link, fault_number] {
    if (fault_number == m_link_fault_numbers[link]) {
      m_targets.network->SetStoreLinkMode(link.first, TcpRelayMode::kForward);
    }
  });
}

void FaultInjector::EvacuateDomain() {
  if (!m_evacuated_domain.empty()) {
    m_log.back() += ": one is evacuated already";
    return;
  }
  // Over by the end of the faults, so that all servers serve after that.
  const Duration duration =
      std::min<Duration>(DrawDuration(1000, 20000), m_until - SteadyTime());
  const auto& servers = *m_targets.servers;
  m_evacuated_domain =
      servers[m_random() % servers.size()]->ServerOptions().domain;
  m_log.back() += " " + m_evacuated_domain + " for " +
                  std::to_string(ToMilliseconds(duration)) + " ms";
  const std::string key = "op/evacuate/" + m_evacuated_domain;
  m_targets.store->Write(key, "{}");
  m_targets.checker->OnEvacuation(SteadyTime(), m_evacuated_domain, true);
  m_targets.loop->After(duration, [this, key] {
    m_targets.checker->OnEvacuation(SteadyTime(), m_evacuated_domain, false);
    m_targets.store->Delete(key);
    m_evacuated_domain.clear();
  });
}

void FaultInjector::WriteTarget() {
  m_targets.write_target();
}

void FaultInjector::ReloadSettings() {
  m_targets.processes->SendSignal(ChooseDaemon(m_random() % 2 == 0), SIGHUP);
}

void FaultInjector::PowerOff() {
  const Duration downtime = DrawDuration(300, 2000);
  for (Daemon& daemon : m_targets.processes->Daemons()) {
    m_targets.processes->Kill(&daemon, downtime);
  }
  for (auto& server : *m_targets.servers) {
    server->Crash();
    StartServerAfter(server.get(), downtime, false);
  }
}

}  // namespace medlargauge::soak

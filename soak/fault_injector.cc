// @file fault_injector.cc Kinds of faults and how they are injected.
#include "soak/fault_injector.h"

#include <csignal>

#include "src/core/error.h"

namespace medlargauge::soak {
namespace {

using platform::standin::StoreFaultMode;

constexpr int64_t kMinIntervalMs = 150;
constexpr int64_t kMaxIntervalMs = 1500;
constexpr Duration kServerStartRetryDelay = Milliseconds(200);

}  // namespace

const std::vector<FaultInjector::FaultKind>& FaultInjector::FaultKinds() {
  static const std::vector<FaultKind> fault_kinds = {
      {"kill a balancer", &FaultInjector::KillBalancer},
      {"kill an agent", &FaultInjector::KillAgent},
      {"kill half of the processes", &FaultInjector::KillHalfOfProcesses},
      {"restart a balancer", &FaultInjector::RestartBalancer},
      {"restart an agent", &FaultInjector::RestartAgent},
      {"pause a balancer", &FaultInjector::PauseBalancer},
      {"pause an agent", &FaultInjector::PauseAgent},
      {"crash a server", &FaultInjector::CrashServer},
      {"crash a server, which keeps its identifier",
       &FaultInjector::CrashServerKeepingId},
      {"drain a server", &FaultInjector::DrainServer},
      {"slow down a server", &FaultInjector::SlowDownServer},
      {"let a server fail part of its requests",
       &FaultInjector::MakeServerFail},
      {"store fault mode", &FaultInjector::InjectStoreFault},
      {"lose and duplicate packets", &FaultInjector::DropAndDuplicatePackets},
      {"write a new target", &FaultInjector::WriteTarget},
      {"reload the settings of", &FaultInjector::ReloadSettings},
      {"power off all hosts", &FaultInjector::PowerOff}};
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
  m_targets.loop->After(DrawDuration(kMinIntervalMs, kMaxIntervalMs), [this] {
    const TimePoint now = SteadyTime();
    if (now >= m_until) {
      return;
    }
    const FaultKind& kind = FaultKinds()[m_random() % FaultKinds().size()];
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

void FaultInjector::KillBalancer() {
  m_targets.processes->Kill(ChooseDaemon(false), DrawDuration(200, 2500));
}

void FaultInjector::KillAgent() {
  m_targets.processes->Kill(ChooseDaemon(true), DrawDuration(200, 2500));
}

void FaultInjector::KillHalfOfProcesses() {
  for (Daemon& daemon : m_targets.processes->Daemons()) {
    if (m_random() % 2 == 0) {
      m_targets.processes->Kill(&daemon, DrawDuration(200, 2500));
    }
  }
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

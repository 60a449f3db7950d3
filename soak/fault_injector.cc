// @file fault_injector.cc One function a kind of fault; a table draws them.
#include "soak/fault_injector.h"

#include <csignal>

#include "src/core/error.h"

namespace medlargauge::soak {
namespace {

using platform::standin::StoreFaultMode;

constexpr int64_t kShortestGapMs = 150;
constexpr int64_t kLongestGapMs = 1500;
constexpr Duration kServerRetry = Milliseconds(200);

}  // namespace

const std::vector<Faults::Kind>& Faults::Kinds() {
  static const std::vector<Kind> kinds = {
      {"kill a balancer", &Faults::KillBalancer},
      {"kill an agent", &Faults::KillAgent},
      {"kill half of the processes", &Faults::KillHalf},
      {"restart a balancer", &Faults::RestartBalancer},
      {"restart an agent", &Faults::RestartAgent},
      {"pause a balancer", &Faults::PauseBalancer},
      {"pause an agent", &Faults::PauseAgent},
      {"crash a server", &Faults::CrashServer},
      {"crash a server, same identifier", &Faults::ReturnServer},
      {"a server leaves", &Faults::LeaveServer},
      {"a server is slow", &Faults::SlowServer},
      {"a server fails at part of its work", &Faults::FailServer},
      {"the store is in trouble", &Faults::TroubleStore},
      {"packets are lost and doubled", &Faults::LosePackets},
      {"a new target", &Faults::ChangeTarget},
      {"settings are read again", &Faults::ReloadSettings},
      {"power is off everywhere", &Faults::PowerOff}};
  return kinds;
}

Faults::Faults(FaultTargets targets, uint64_t seed)
    : m_targets(std::move(targets)), m_random(seed), m_began(SteadyTime()) {}

void Faults::Start(TimePoint until) {
  m_until = until;
  Next();
}

void Faults::Next() {
  m_targets.loop->After(Between(kShortestGapMs, kLongestGapMs), [this] {
    const TimePoint now = SteadyTime();
    if (now >= m_until) {
      return;
    }
    const Kind& kind = Kinds()[m_random() % Kinds().size()];
    m_log.push_back(std::to_string(ToMilliseconds(now - m_began)) + " ms " +
                    kind.name);
    (this->*kind.run)();
    Next();
  });
}

Duration Faults::Between(int64_t shortest_ms, int64_t longest_ms) {
  return Milliseconds(std::uniform_int_distribution<int64_t>(
      shortest_ms, longest_ms)(m_random));
}

Daemon* Faults::Choose(bool agent) {
  std::vector<Daemon*> fitting;
  for (Daemon& daemon : m_targets.processes->All()) {
    if (daemon.is_agent == agent) {
      fitting.push_back(&daemon);
    }
  }
  Daemon* chosen = fitting[m_random() % fitting.size()];
  m_log.back() += " " + chosen->name;
  return chosen;
}

ServerStandin* Faults::ChooseServer() {
  const size_t index = m_random() % m_targets.servers->size();
  m_log.back() += " " + std::to_string(index);
  return (*m_targets.servers)[index].get();
}

void Faults::StartServerAfter(ServerStandin* server,
                              Duration down,
                              bool same_id) {
  m_targets.loop->After(down, [this, server, same_id] {
    Error reason;
    if (!server->IsRunning() && !server->Start(same_id, &reason)) {
      StartServerAfter(server, kServerRetry, same_id);
    }
  });
}

void Faults::KillBalancer() {
  m_targets.processes->Kill(Choose(false), Between(200, 2500));
}

void Faults::KillAgent() {
  m_targets.processes->Kill(Choose(true), Between(200, 2500));
}

void Faults::KillHalf() {
  for (Daemon& daemon : m_targets.processes->All()) {
    if (m_random() % 2 == 0) {
      m_targets.processes->Kill(&daemon, Between(200, 2500));
    }
  }
}

void Faults::RestartBalancer() {
  m_targets.processes->Restart(Choose(false), Between(50, 600));
}

void Faults::RestartAgent() {
  m_targets.processes->Restart(Choose(true), Between(50, 600));
}

void Faults::PauseBalancer() {
  m_targets.processes->Pause(Choose(false), Between(100, 6000));
}

void Faults::PauseAgent() {
  m_targets.processes->Pause(Choose(true), Between(100, 6000));
}

void Faults::CrashServer() {
  ServerStandin* server = ChooseServer();
  server->Crash();
  StartServerAfter(server, Between(100, 3000), false);
}

void Faults::ReturnServer() {
  ServerStandin* server = ChooseServer();
  server->Crash();
  StartServerAfter(server, Between(20, 800), true);
}

void Faults::LeaveServer() {
  ServerStandin* server = ChooseServer();
  server->Leave();
  StartServerAfter(server, Seconds(6), false);
}

void Faults::SlowServer() {
  ServerStandin* server = ChooseServer();
  server->SetWorkTimeFactor(8);
  m_targets.loop->After(Between(1000, 5000),
                        [server] { server->SetWorkTimeFactor(1); });
}

void Faults::FailServer() {
  ServerStandin* server = ChooseServer();
  server->SetFailureProbability(0.7);
  m_targets.loop->After(Between(1000, 5000),
                        [server] { server->SetFailureProbability(0); });
}

void Faults::SetFaultMode(StoreFaultMode mood, Duration length) {
  const uint64_t number = ++m_mood_number;
  const bool well =
      mood == StoreFaultMode::kHealthy || mood == StoreFaultMode::kCompacted;
  m_targets.store->SetFaultMode(mood);
  m_targets.referee->OnStoreMood(SteadyTime(), well);
  if (mood == StoreFaultMode::kHealthy) {
    return;
  }
  m_targets.loop->After(length, [this, number] {
    if (number == m_mood_number) {
      SetFaultMode(StoreFaultMode::kHealthy, Duration());
    }
  });
}

void Faults::TroubleStore() {
  static constexpr StoreFaultMode kMoods[] = {
      StoreFaultMode::kSlow,        StoreFaultMode::kExecutesLate,
      StoreFaultMode::kAnswersLate, StoreFaultMode::kUnavailable,
      StoreFaultMode::kBusy,        StoreFaultMode::kCompacted};
  const size_t index = m_random() % std::size(kMoods);
  m_log.back() += " " + std::to_string(index);
  SetFaultMode(kMoods[index], Between(500, 8000));
}

void Faults::LosePackets() {
  m_targets.router->SetTrouble(0.05, 0.05);
  m_targets.loop->After(Between(500, 3000),
                        [this] { m_targets.router->SetTrouble(0, 0); });
}

void Faults::ChangeTarget() {
  m_targets.change_target();
}

void Faults::ReloadSettings() {
  m_targets.processes->Signal(Choose(m_random() % 2 == 0), SIGHUP);
}

void Faults::PowerOff() {
  const Duration down = Between(300, 2000);
  for (Daemon& daemon : m_targets.processes->All()) {
    m_targets.processes->Kill(&daemon, down);
  }
  for (auto& server : *m_targets.servers) {
    server->Crash();
    StartServerAfter(server.get(), down, false);
  }
}

}  // namespace medlargauge::soak

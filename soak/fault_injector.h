// @file fault_injector.h What goes wrong in a soak, drawn from a seed.
#ifndef MEDLARGAUGE_SOAK_FAULT_INJECTOR_H_
#define MEDLARGAUGE_SOAK_FAULT_INJECTOR_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "platform/standin/store_standin.h"
#include "soak/invariant_checker.h"
#include "soak/process_supervisor.h"
#include "soak/router_standin.h"

namespace medlargauge::soak {

/// What the faults act upon.
struct FaultTargets {
  EventLoop* loop = nullptr;
  Processes* processes = nullptr;
  platform::standin::StoreStandin* store = nullptr;
  Router* router = nullptr;
  Referee* referee = nullptr;
  std::vector<std::unique_ptr<ServerStandin>>* servers = nullptr;
  std::function<void()> change_target;  ///< An operator writes one.
};

/// Draws faults at random moments. Not thread-safe.
class Faults {
 public:
  Faults(FaultTargets targets, uint64_t seed);

  /// Begins; no new fault starts after `until`.
  void Start(TimePoint until);

  /// Returns the faults so far, one line each.
  const std::vector<std::string>& Log() const { return m_log; }

 private:
  struct Kind {
    const char* name;
    void (Faults::*run)();
  };
  static const std::vector<Kind>& Kinds();

  void Next();
  Daemon* Choose(bool agent);
  ServerStandin* ChooseServer();
  Duration Between(int64_t shortest_ms, int64_t longest_ms);
  void StartServerAfter(ServerStandin* server, Duration down, bool same_id);
  void SetFaultMode(platform::standin::StoreFaultMode mood, Duration length);

  void KillBalancer();
  void KillAgent();
  void KillHalf();
  void RestartBalancer();
  void RestartAgent();
  void PauseBalancer();
  void PauseAgent();
  void CrashServer();
  void ReturnServer();
  void LeaveServer();
  void SlowServer();
  void FailServer();
  void TroubleStore();
  void LosePackets();
  void ChangeTarget();
  void ReloadSettings();
  void PowerOff();

  FaultTargets m_targets;          ///< As constructed.
  std::mt19937_64 m_random;        ///< All choices.
  TimePoint m_began;               ///< Of the soak.
  TimePoint m_until;               ///< See Start.
  uint64_t m_mood_number = 0;      ///< Tells overlapping moods apart.
  std::vector<std::string> m_log;  ///< See Log.
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_FAULT_INJECTOR_H_

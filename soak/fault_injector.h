// @file fault_injector.h Injects random faults into a soak.
#ifndef MEDLARGAUGE_SOAK_FAULT_INJECTOR_H_
#define MEDLARGAUGE_SOAK_FAULT_INJECTOR_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "platform/standin/store_standin.h"
#include "soak/invariant_checker.h"
#include "soak/process_network.h"
#include "soak/process_supervisor.h"
#include "soak/router_standin.h"

namespace medlargauge::soak {

/// Components that faults act upon; all must outlive the injector.
struct FaultTargets {
  EventLoop* loop = nullptr;                         ///< Timers.
  ProcessSupervisor* processes = nullptr;            ///< Daemons.
  platform::standin::StoreStandin* store = nullptr;  ///< Store.
  RouterStandin* router = nullptr;      ///< Network of the callers.
  ProcessNetwork* network = nullptr;    ///< Network of the daemons.
  InvariantChecker* checker = nullptr;  ///< Learns of faults of the store.
  std::vector<std::unique_ptr<ServerStandin>>* servers = nullptr;  ///< Servers.
  std::function<void()> write_target;  ///< Writes a new target to the store.
};

/// Injects faults of random kinds at random times. All choices are drawn from
/// the seed. Not thread-safe.
class FaultInjector {
 public:
  FaultInjector(FaultTargets targets, uint64_t seed);

  /// Starts to inject faults; no new fault starts after `until`.
  void Start(TimePoint until);

  /// Returns the faults so far, one line each.
  const std::vector<std::string>& Log() const { return m_log; }

 private:
  struct FaultKind {
    const char* name;                 ///< Name in the log.
    void (FaultInjector::*inject)();  ///< Injects a fault of this kind.
    double weight;                    ///< How often it is drawn.
  };
  /// Returns all kinds of faults.
  static const std::vector<FaultKind>& FaultKinds();

  /// Injects a fault after a random interval, and so on until `m_until`. Some
  /// intervals are long enough for all processes to recover.
  void ScheduleNext();
  /// Chooses a random agent or balancer and adds its name to the log.
  Daemon* ChooseDaemon(bool is_agent);
  /// Chooses a random agent or balancer.
  Daemon* ChooseDaemon();
  /// Chooses a random server and adds its index to the log.
  ServerStandin* ChooseServer();
  /// Draws a duration from a uniform distribution.
  Duration DrawDuration(int64_t min_ms, int64_t max_ms);
  /// Draws how long a process that was killed stays down: often up to 2.5 s,
  /// at times up to 10 s.
  Duration DrawDowntime();
  /// Kills each process that passes the filter with this probability. All start
  /// again nearly at once, each after a time of its own, or the agents well
  /// before the balancers.
  void KillProcesses(double probability,
                     const std::function<bool(const Daemon&)>& filter);
  /// Sets the fault of the way from one process to another; unless replaced by
  /// then, it ends after `duration`.
  void SetLinkFault(Daemon* from,
                    Daemon* to,
                    const LinkFault& fault,
                    Duration duration);
  /// Sets a fault of the ways between a process and all others: those to it,
  /// those from it, or both.
  void SetFaultOfAllLinks(Daemon* daemon,
                          const LinkFault& fault,
                          Duration duration);
  /// Draws delay and loss of a way.
  LinkFault DrawDelayAndLoss();
  /// Starts a server after `downtime`. Tries again if it cannot start.
  void StartServerAfter(ServerStandin* server, Duration downtime, bool same_id);
  /// Sets the fault mode of the store; unless replaced by then, it ends after
  /// `duration`.
  void SetStoreFaultMode(platform::standin::StoreFaultMode mode,
                         Duration duration);

  /// Lets the store refuse or ignore calls for some seconds.
  void TakeStoreAway();

  void KillBalancer();
  void KillAgent();
  void KillAllProcesses();
  void KillAllBalancers();
  void KillAllAgents();
  void KillHalfOfProcesses();
  void KillMostProcesses();
  void KillMostProcessesAndStore();
  void KillAllBalancersAndStore();
  void RestartBalancer();
  void RestartAgent();
  void PauseBalancer();
  void PauseAgent();
  void CrashServer();
  void CrashServerKeepingId();
  void DrainServer();
  void SlowDownServer();
  void MakeServerFail();
  void InjectStoreFault();
  void DropAndDuplicatePackets();
  void CutTwoProcesses();
  void IsolateProcess();
  void DelayBetweenTwoProcesses();
  void DelayOfProcess();
  void CutFromStore();
  void WriteTarget();
  void EvacuateDomain();
  void ReloadSettings();
  void PowerOff();

  FaultTargets m_targets;             ///< As given to the constructor.
  std::mt19937_64 m_random;           ///< Makes all choices.
  TimePoint m_started_at;             ///< Start of the soak.
  TimePoint m_until;                  ///< See Start.
  std::string m_evacuated_domain;     ///< Empty: none is evacuated.
  uint64_t m_store_fault_number = 0;  ///< Number of the last store fault mode.
  /// Number of the last fault of each way between two processes, and of each
  /// process to the store (0).
  std::map<std::pair<uint32_t, uint32_t>, uint64_t> m_link_fault_numbers;
  std::vector<std::string> m_log;  ///< See Log.
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_FAULT_INJECTOR_H_

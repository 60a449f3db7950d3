// @file process_supervisor.h Runs the real programs as child processes.
#ifndef MEDLARGAUGE_SOAK_PROCESS_SUPERVISOR_H_
#define MEDLARGAUGE_SOAK_PROCESS_SUPERVISOR_H_

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "soak/soak_type.h"
#include "src/runtime/event_loop.h"

namespace medlargauge::soak {

/// A balancer or an agent that runs as a child process.
struct Daemon {
  std::string name;             ///< Name of the process.
  uint32_t ip = 0;              ///< Address of its host.
  bool is_agent = false;        ///< Whether it is an agent or a balancer.
  std::string settings_file;    ///< Path of its settings.
  std::string log_file;         ///< Its output is appended to this file.
  pid_t pid = 0;                ///< Process id; 0: not running.
  bool paused = false;          ///< Stopped by SIGSTOP.
  bool stopping = false;        ///< SIGTERM was sent for a planned stop.
  TimePoint started_at;         ///< Last start.
  TimePoint stop_requested_at;  ///< When SIGTERM was sent.
  TimePoint fault_ends_at;      ///< End of the injected faults so far.
  TimePoint isolation_ends_at;  ///< End of the last fault of all its links.
  uint64_t start_count = 0;     ///< Number of starts so far.
};

/// Starts, signals and reaps the processes. Not thread-safe.
class ProcessSupervisor {
 public:
  /// Called with a description of what is wrong with a process.
  using ReportHook = std::function<void(const std::string& text)>;

  /// @param program path of the daemon's executable
  /// @param directory existing directory for settings and logs
  /// @param report called when a process ends unexpectedly or too late, cannot
  ///     be started or uses too much memory
  ProcessSupervisor(EventLoop* loop,
                    std::string program,
                    std::string directory,
                    ReportHook report);
  /// Kills the processes that still run. They are also killed if the thread
  /// that started them ends without this call.
  ~ProcessSupervisor();

  /// Adds a process without starting it, and writes its settings to the
  /// directory.
  void Add(const std::string& name,
           uint32_t ip,
           bool is_agent,
           const std::string& settings);

  /// Starts a process unless it is running, and appends its process id to the
  /// file "pids" in the directory.
  void Start(Daemon* daemon);
  /// Kills a process without warning and starts it again after `downtime`. No
  /// effect unless it is running.
  void Kill(Daemon* daemon, Duration downtime);
  /// Stops a process as planned and starts it again `downtime` after its end.
  /// No effect unless it is running, not paused and not stopping.
  void Restart(Daemon* daemon, Duration downtime);
  /// Suspends a process for `duration`. No effect unless it is running, not
  /// paused and not stopping.
  void Pause(Daemon* daemon, Duration duration);
  /// Records a fault of the network of a process that lasts for `duration`.
  static void MarkFault(Daemon* daemon, Duration duration);
  /// Likewise, for a fault of all links of the process.
  static void MarkIsolation(Daemon* daemon, Duration duration);
  /// Sends a signal to a process, if it is running.
  void SendSignal(Daemon* daemon, int signal);
  /// Stops all processes as planned and waits for them, at most the grace
  /// period.
  /// @return whether all ended in time with exit code 0
  bool StopAll();

  /// Returns all processes in the order of Add. Their addresses are stable
  /// after the last Add.
  std::vector<Daemon>& Daemons() { return m_daemons; }
  /// Returns the process at an address, or null.
  Daemon* FindByIp(uint32_t ip);
  /// Returns the largest resident memory of any process so far, in KB.
  uint64_t PeakMemoryKb() const { return m_peak_memory_kb; }
  /// Returns the largest resident memory of this process so far, in KB.
  static uint64_t OwnPeakMemoryKb();
  /// Returns the CPU time of all child processes that were reaped, in ms.
  uint64_t CpuTimeMs() const;

 private:
  void ReapExited();
  void OnExit(Daemon* daemon, int status);
  void CheckMemory();

  EventLoop* m_loop;              ///< Runs the timers.
  std::string m_program;          ///< Path of the executable.
  std::string m_directory;        ///< Directory of settings and logs.
  ReportHook m_report;            ///< See the constructor.
  std::vector<Daemon> m_daemons;  ///< See Daemons.
  /// Process ids of planned restarts in progress, with their downtimes.
  std::vector<std::pair<pid_t, Duration>> m_planned_restarts;
  uint64_t m_peak_memory_kb = 0;  ///< See PeakMemoryKb.
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_PROCESS_SUPERVISOR_H_

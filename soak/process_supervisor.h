// @file process_supervisor.h The real programs, each a process of its own.
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

/// One process and what is done to it.
struct Daemon {
  std::string name;           ///< Of the process.
  uint32_t ip = 0;            ///< Of its host.
  bool is_agent = false;      ///< Else a balancer.
  std::string settings_file;  ///< Handed to it.
  std::string log_file;       ///< Its standard output, appended.
  pid_t pid = 0;              ///< 0: not running.
  bool paused = false;        ///< By SIGSTOP.
  bool stopping = false;      ///< By SIGTERM.
  TimePoint started_at;       ///< Last start.
  TimePoint stop_asked;       ///< When SIGTERM was sent.
  TimePoint fault_ended;      ///< Last unplanned trouble was over then.
  uint64_t starts = 0;        ///< So far.
};

/// Starts, signals and reaps the processes. Not thread-safe.
class Processes {
 public:
  /// What is wrong with a process, in words.
  using ReportHook = std::function<void(const std::string& text)>;

  /// @param program path of the daemon's executable
  Processes(EventLoop* loop,
            std::string program,
            std::string directory,
            ReportHook report);
  ~Processes();

  /// Adds a process; its settings are written to the directory.
  void Add(const std::string& name,
           uint32_t ip,
           bool is_agent,
           const std::string& settings);

  /// Starts it if it is not running.
  void Start(Daemon* daemon);
  /// Ends it without warning and starts it after `down`.
  void Kill(Daemon* daemon, Duration down);
  /// Stops it as planned and starts it again `down` after its end.
  void Restart(Daemon* daemon, Duration down);
  /// Freezes it for a while.
  void Pause(Daemon* daemon, Duration length);
  /// Sends a signal that it handles.
  void Signal(Daemon* daemon, int signal);
  /// Stops all as planned. @return whether all ended in time with code 0
  bool StopAll();

  /// Returns all processes; addresses are stable after the last Add.
  std::vector<Daemon>& All() { return m_all; }
  /// Returns the process of an address.
  Daemon* At(uint32_t ip);
  /// Returns the largest memory of any process so far, in KB.
  uint64_t PeakMemoryKb() const { return m_peak_kb; }
  /// Returns the processor time of all ended and running processes, in ms.
  uint64_t ProcessorMs() const;

 private:
  void Reap();
  void OnEndedFlows(Daemon* daemon, int status);
  void WatchMemory();

  EventLoop* m_loop;          ///< Runs the timers.
  std::string m_program;      ///< Executable.
  std::string m_directory;    ///< Settings and logs.
  ReportHook m_report;        ///< See ReportHook.
  std::vector<Daemon> m_all;  ///< Balancers, then agents.
  std::vector<std::pair<pid_t, Duration>> m_planned;  ///< Start again after.
  uint64_t m_peak_kb = 0;                             ///< See PeakMemoryKb.
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_PROCESS_SUPERVISOR_H_

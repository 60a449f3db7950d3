// @file process_supervisor.cc Starts, signals and reaps child processes.
#include "soak/process_supervisor.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace medlargauge::soak {
namespace {

constexpr Duration kReapInterval = Milliseconds(50);
constexpr Duration kMemoryCheckInterval = Milliseconds(1000);
constexpr uint64_t kMaxMemoryKb =
    128 * 1024;  ///< Required bound for each daemon.
constexpr Duration kStopPollInterval = Milliseconds(20);

/// Returns the peak resident memory ("VmHWM") of a process in KB; 0 if the
/// process does not exist.
uint64_t ReadPeakMemoryKb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string field;
  while (file >> field) {
    uint64_t kb = 0;
    if (field == "VmHWM:" && file >> kb) {
      return kb;
    }
  }
  return 0;
}

}  // namespace

ProcessSupervisor::ProcessSupervisor(EventLoop* loop,
                                     std::string program,
                                     std::string directory,
                                     ReportHook report)
    : m_loop(loop),
      m_program(std::move(program)),
      m_directory(std::move(directory)),
      m_report(std::move(report)) {
  loop->Every(kReapInterval, [this] { ReapExited(); });
  loop->Every(kMemoryCheckInterval, [this] { CheckMemory(); });
}

ProcessSupervisor::~ProcessSupervisor() {
  for (Daemon& daemon : m_daemons) {
    if (daemon.pid != 0) {
      kill(daemon.pid, SIGKILL);
      waitpid(daemon.pid, nullptr, 0);
    }
  }
}

void ProcessSupervisor::Add(const std::string& name,
                            uint32_t ip,
                            bool is_agent,
                            const std::string& settings) {
  Daemon daemon;
  daemon.name = name;
  daemon.ip = ip;
  daemon.is_agent = is_agent;
  daemon.settings_file = m_directory + "/" + name + ".json";
  daemon.log_file = m_directory + "/" + name + ".log";
  std::ofstream(daemon.settings_file) << settings;
  m_daemons.push_back(std::move(daemon));
}

void ProcessSupervisor::Start(Daemon* daemon) {
  if (daemon->pid != 0) {
    return;
  }
  // Until it runs the program, the child has the handlers of the soak, which
  // would report its signals to the loop of the soak.
  sigset_t handled{};
  sigset_t previous{};
  sigemptyset(&handled);
  sigaddset(&handled, SIGTERM);
  sigaddset(&handled, SIGINT);
  sigprocmask(SIG_BLOCK, &handled, &previous);
  const pid_t pid = fork();
  if (pid == 0) {
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    sigprocmask(SIG_SETMASK, &previous, nullptr);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // A connection does not end while another process holds it.
    close_range(STDERR_FILENO + 1, UINT_MAX, 0);
    const int log_fd =
        open(daemon->log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log_fd, STDOUT_FILENO);
    dup2(log_fd, STDERR_FILENO);
    setenv("MEDLARGAUGE_SETTINGS", daemon->settings_file.c_str(), 1);
    execl(m_program.c_str(), m_program.c_str(), nullptr);
    _exit(127);
  }
  sigprocmask(SIG_SETMASK, &previous, nullptr);
  if (pid < 0) {
    m_report("process " + daemon->name + " cannot be started: fork failed");
    return;
  }
  std::ofstream(m_directory + "/pids", std::ios::app) << pid << '\n';
  daemon->pid = pid;
  daemon->paused = false;
  daemon->stopping = false;
  daemon->started_at = SteadyTime();
  ++daemon->start_count;
}

void ProcessSupervisor::Kill(Daemon* daemon, Duration downtime) {
  if (daemon->pid == 0) {
    return;
  }
  kill(daemon->pid, SIGKILL);
  waitpid(daemon->pid, nullptr, 0);
  daemon->pid = 0;
  MarkFault(daemon, downtime);
  m_loop->After(downtime, [this, daemon] { Start(daemon); });
}

void ProcessSupervisor::Restart(Daemon* daemon, Duration downtime) {
  if (daemon->pid == 0 || daemon->paused || daemon->stopping) {
    return;
  }
  daemon->stopping = true;
  daemon->stop_requested_at = SteadyTime();
  m_planned_restarts.emplace_back(daemon->pid, downtime);
  kill(daemon->pid, SIGTERM);
}

void ProcessSupervisor::Pause(Daemon* daemon, Duration duration) {
  if (daemon->pid == 0 || daemon->paused || daemon->stopping) {
    return;
  }
  const pid_t pid = daemon->pid;
  kill(pid, SIGSTOP);
  daemon->paused = true;
  MarkFault(daemon, duration);
  m_loop->After(duration, [daemon, pid] {
    if (daemon->pid == pid) {
      kill(pid, SIGCONT);
      daemon->paused = false;
    }
  });
}

void ProcessSupervisor::MarkFault(Daemon* daemon, Duration duration) {
  daemon->fault_ends_at =
      std::max(daemon->fault_ends_at, SteadyTime() + duration);
}

void ProcessSupervisor::MarkIsolation(Daemon* daemon, Duration duration) {
  MarkFault(daemon, duration);
  daemon->isolation_ends_at =
      std::max(daemon->isolation_ends_at, SteadyTime() + duration);
}

void ProcessSupervisor::SendSignal(Daemon* daemon, int signal) {
  if (daemon->pid != 0) {
    kill(daemon->pid, signal);
  }
}

Daemon* ProcessSupervisor::FindByIp(uint32_t ip) {
  const auto found = std::find_if(m_daemons.begin(), m_daemons.end(),
                                  [ip](const Daemon& d) { return d.ip == ip; });
  return found == m_daemons.end() ? nullptr : &*found;
}

void ProcessSupervisor::ReapExited() {
  for (Daemon& daemon : m_daemons) {
    int status = 0;
    if (daemon.pid != 0 && waitpid(daemon.pid, &status, WNOHANG) > 0) {
      OnExit(&daemon, status);
    }
  }
}

void ProcessSupervisor::OnExit(Daemon* daemon, int status) {
  const pid_t pid = daemon->pid;
  daemon->pid = 0;
  const bool exited_cleanly = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  const bool in_time =
      !daemon->stopping ||
      SteadyTime() - daemon->stop_requested_at <= kStopGracePeriod;
  if (!daemon->stopping || !exited_cleanly || !in_time) {
    m_report("process " + daemon->name + " ended" +
             (daemon->stopping ? " on request" : " unexpectedly") +
             (WIFSIGNALED(status)
                  ? ", signal " + std::to_string(WTERMSIG(status))
                  : ", exit code " + std::to_string(WEXITSTATUS(status))) +
             ", " +
             std::to_string(ToMilliseconds(SteadyTime() - daemon->started_at)) +
             " ms after its start" +
             (in_time ? "" : ", after the grace period"));
  }
  const auto restart =
      std::find_if(m_planned_restarts.begin(), m_planned_restarts.end(),
                   [pid](const auto& entry) { return entry.first == pid; });
  if (restart != m_planned_restarts.end()) {
    m_loop->After(restart->second, [this, daemon] { Start(daemon); });
    m_planned_restarts.erase(restart);
  }
}

void ProcessSupervisor::CheckMemory() {
  for (const Daemon& daemon : m_daemons) {
    const uint64_t kb = daemon.pid == 0 ? 0 : ReadPeakMemoryKb(daemon.pid);
    m_peak_memory_kb = std::max(m_peak_memory_kb, kb);
    if (kb > kMaxMemoryKb) {
      m_report("process " + daemon.name +
               " exceeds the memory bound: " + std::to_string(kb) + " KB");
    }
  }
}

uint64_t ProcessSupervisor::OwnPeakMemoryKb() {
  return ReadPeakMemoryKb(getpid());
}

uint64_t ProcessSupervisor::CpuTimeMs() const {
  rusage usage{};
  getrusage(RUSAGE_CHILDREN, &usage);
  return (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000ULL +
         (usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1000ULL;
}

bool ProcessSupervisor::StopAll() {
  m_planned_restarts.clear();
  for (Daemon& daemon : m_daemons) {
    if (daemon.pid != 0) {
      kill(daemon.pid, SIGCONT);
      kill(daemon.pid, SIGTERM);
    }
  }
  const TimePoint deadline = SteadyTime() + kStopGracePeriod;
  bool all_clean = true;
  for (Daemon& daemon : m_daemons) {
    int status = 0;
    while (daemon.pid != 0 && waitpid(daemon.pid, &status, WNOHANG) == 0 &&
           SteadyTime() < deadline) {
      std::this_thread::sleep_for(kStopPollInterval);
    }
    // A process that was reaped above has no pid any more, so that kill fails.
    const bool has_ended = daemon.pid == 0 || kill(daemon.pid, 0) != 0;
    all_clean =
        all_clean && has_ended &&
        (daemon.pid == 0 || (WIFEXITED(status) && WEXITSTATUS(status) == 0));
    daemon.pid = has_ended ? 0 : daemon.pid;
  }
  return all_clean;
}

}  // namespace medlargauge::soak

// @file process_supervisor.cc fork, exec, signals, waitpid.
#include "soak/process_supervisor.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace medlargauge::soak {
namespace {

constexpr Duration kReapInterval = Milliseconds(50);
constexpr Duration kMemoryInterval = Milliseconds(1000);
constexpr uint64_t kMemoryBoundKb = 128 * 1024;  ///< Stated for each daemon.
constexpr Duration kStopPoll = Milliseconds(20);

/// Returns "VmHWM" of a process in KB; 0 if it has gone.
uint64_t PeakKb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (file >> word) {
    uint64_t kb = 0;
    if (word == "VmHWM:" && file >> kb) {
      return kb;
    }
  }
  return 0;
}

}  // namespace

Processes::Processes(EventLoop* loop,
                     std::string program,
                     std::string directory,
                     ReportHook report)
    : m_loop(loop),
      m_program(std::move(program)),
      m_directory(std::move(directory)),
      m_report(std::move(report)) {
  loop->Every(kReapInterval, [this] { Reap(); });
  loop->Every(kMemoryInterval, [this] { WatchMemory(); });
}

Processes::~Processes() {
  for (Daemon& daemon : m_all) {
    if (daemon.pid != 0) {
      kill(daemon.pid, SIGKILL);
      waitpid(daemon.pid, nullptr, 0);
    }
  }
}

void Processes::Add(const std::string& name,
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
  m_all.push_back(std::move(daemon));
}

void Processes::Start(Daemon* daemon) {
  if (daemon->pid != 0) {
    return;
  }
  const pid_t pid = fork();
  if (pid == 0) {
    const int log =
        open(daemon->log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("MEDLARGAUGE_SETTINGS", daemon->settings_file.c_str(), 1);
    execl(m_program.c_str(), m_program.c_str(), nullptr);
    _exit(127);
  }
  if (pid < 0) {
    m_report("process " + daemon->name + " cannot be started");
    return;
  }
  daemon->pid = pid;
  daemon->paused = false;
  daemon->stopping = false;
  daemon->started_at = SteadyTime();
  ++daemon->starts;
}

void Processes::Kill(Daemon* daemon, Duration down) {
  if (daemon->pid == 0) {
    return;
  }
  kill(daemon->pid, SIGKILL);
  waitpid(daemon->pid, nullptr, 0);
  daemon->pid = 0;
  daemon->fault_ended = SteadyTime() + down;
  m_loop->After(down, [this, daemon] { Start(daemon); });
}

void Processes::Restart(Daemon* daemon, Duration down) {
  if (daemon->pid == 0 || daemon->paused || daemon->stopping) {
    return;
  }
  daemon->stopping = true;
  daemon->stop_asked = SteadyTime();
  m_planned.emplace_back(daemon->pid, down);
  kill(daemon->pid, SIGTERM);
}

void Processes::Pause(Daemon* daemon, Duration length) {
  if (daemon->pid == 0 || daemon->paused || daemon->stopping) {
    return;
  }
  const pid_t pid = daemon->pid;
  kill(pid, SIGSTOP);
  daemon->paused = true;
  daemon->fault_ended = SteadyTime() + length;
  m_loop->After(length, [daemon, pid] {
    if (daemon->pid == pid) {
      kill(pid, SIGCONT);
      daemon->paused = false;
    }
  });
}

void Processes::Signal(Daemon* daemon, int signal) {
  if (daemon->pid != 0) {
    kill(daemon->pid, signal);
  }
}

Daemon* Processes::At(uint32_t ip) {
  const auto found = std::find_if(m_all.begin(), m_all.end(),
                                  [ip](const Daemon& d) { return d.ip == ip; });
  return found == m_all.end() ? nullptr : &*found;
}

void Processes::Reap() {
  for (Daemon& daemon : m_all) {
    int status = 0;
    if (daemon.pid != 0 && waitpid(daemon.pid, &status, WNOHANG) > 0) {
      OnEndedFlows(&daemon, status);
    }
  }
}

void Processes::OnEndedFlows(Daemon* daemon, int status) {
  const pid_t pid = daemon->pid;
  daemon->pid = 0;
  const bool clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  const bool in_time = SteadyTime() - daemon->stop_asked <= kGrace;
  if (!daemon->stopping || !clean || !in_time) {
    m_report("process " + daemon->name + " ended" +
             (daemon->stopping ? " on request" : " by itself") + ", status " +
             std::to_string(status) + (in_time ? "" : ", too late"));
  }
  const auto planned =
      std::find_if(m_planned.begin(), m_planned.end(),
                   [pid](const auto& entry) { return entry.first == pid; });
  if (planned != m_planned.end()) {
    m_loop->After(planned->second, [this, daemon] { Start(daemon); });
    m_planned.erase(planned);
  }
}

void Processes::WatchMemory() {
  for (const Daemon& daemon : m_all) {
    const uint64_t kb = daemon.pid == 0 ? 0 : PeakKb(daemon.pid);
    m_peak_kb = std::max(m_peak_kb, kb);
    if (kb > kMemoryBoundKb) {
      m_report("process " + daemon.name + " uses " + std::to_string(kb) +
               " KB");
    }
  }
}

uint64_t Processes::ProcessorMs() const {
  rusage usage{};
  getrusage(RUSAGE_CHILDREN, &usage);
  return (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000ULL +
         (usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1000ULL;
}

bool Processes::StopAll() {
  m_planned.clear();
  for (Daemon& daemon : m_all) {
    if (daemon.pid != 0) {
      kill(daemon.pid, SIGCONT);
      kill(daemon.pid, SIGTERM);
    }
  }
  const TimePoint deadline = SteadyTime() + kGrace;
  bool clean = true;
  for (Daemon& daemon : m_all) {
    int status = 0;
    while (daemon.pid != 0 && waitpid(daemon.pid, &status, WNOHANG) == 0 &&
           SteadyTime() < deadline) {
      std::this_thread::sleep_for(kStopPoll);
    }
    const bool ended = daemon.pid == 0 || kill(daemon.pid, 0) != 0;  // Reaped.
    clean =
        clean && ended &&
        (daemon.pid == 0 || (WIFEXITED(status) && WEXITSTATUS(status) == 0));
    daemon.pid = ended ? 0 : daemon.pid;
  }
  return clean;
}

}  // namespace medlargauge::soak

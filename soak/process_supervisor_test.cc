// @file process_supervisor_test.cc Reports about processes that end.
#include "soak/process_supervisor.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <array>
#include <csignal>

#include "platform/standin/test_tools.h"

namespace medlargauge::soak {
namespace {

using platform::standin::RunUntil;
using platform::standin::TestIp;

constexpr Duration kMaxWait = Seconds(10);

/// Keeps standard input open without data, so that /bin/cat does not end by
/// itself where the tests have none.
class OpenStandardInput {
 public:
  OpenStandardInput() : m_saved(dup(STDIN_FILENO)) {
    REQUIRE(pipe(m_pipe.data()) == 0);
    dup2(m_pipe[0], STDIN_FILENO);
  }
  OpenStandardInput(const OpenStandardInput&) = delete;
  OpenStandardInput& operator=(const OpenStandardInput&) = delete;
  ~OpenStandardInput() {
    if (m_saved >= 0) {
      dup2(m_saved, STDIN_FILENO);
      close(m_saved);
    }
    close(m_pipe[0]);
    close(m_pipe[1]);
  }

 private:
  int m_saved;
  std::array<int, 2> m_pipe{};
};

/// Runs one process for a while. @return the reports about it
std::vector<std::string> RunProcess(const char* program, int signal) {
  const OpenStandardInput input;
  EventLoop loop;
  std::vector<std::string> reports;
  ProcessSupervisor processes(
      &loop, program, "/tmp",
      [&reports](const std::string& text) { reports.push_back(text); });
  processes.Add("process-supervisor-test", TestIp(1), false, "{}");
  processes.Start(&processes.Daemons()[0]);
  processes.SendSignal(&processes.Daemons()[0], signal);
  RunUntil(&loop, kMaxWait, [&reports] { return !reports.empty(); });
  return reports;
}

TEST_CASE("the end of a process is reported with its exit code or signal") {
  const auto by_itself = RunProcess("/bin/false", 0);
  REQUIRE(by_itself.size() == 1);
  CHECK(by_itself[0].find("unexpectedly, exit code 1, ") != std::string::npos);
  CHECK(by_itself[0].find("grace period") == std::string::npos);
  const auto by_signal = RunProcess("/bin/cat", SIGHUP);
  REQUIRE(by_signal.size() == 1);
  CHECK(by_signal[0].find("unexpectedly, signal 1, ") != std::string::npos);
}

TEST_CASE("a signal for a process that has just been started is not the own") {
  const OpenStandardInput input;
  EventLoop loop;
  int own_signals = 0;
  loop.OnSignal(SIGTERM, [&own_signals] { ++own_signals; });
  int reports = 0;
  ProcessSupervisor processes(&loop, "/bin/cat", "/tmp",
                              [&reports](const std::string&) { ++reports; });
  constexpr int kProcesses = 20;
  for (int i = 0; i < kProcesses; ++i) {
    processes.Add("process-supervisor-test", TestIp(1) + i, false, "{}");
  }
  loop.After(Milliseconds(20), [&processes] {
    for (Daemon& daemon : processes.Daemons()) {
      processes.Start(&daemon);
      processes.SendSignal(&daemon, SIGTERM);
    }
  });
  CHECK(
      RunUntil(&loop, kMaxWait, [&reports] { return reports == kProcesses; }));
  CHECK(own_signals == 0);
}

}  // namespace
}  // namespace medlargauge::soak

// @file process_supervisor_test.cc Reports about processes that end.
#include "soak/process_supervisor.h"

#include <doctest/doctest.h>

#include <csignal>

namespace medlargauge::soak {
namespace {

/// Runs one process for a while. @return the reports about it
std::vector<std::string> RunProcess(const char* program, int signal) {
  EventLoop loop;
  std::vector<std::string> reports;
  ProcessSupervisor processes(
      &loop, program, "/tmp",
      [&reports](const std::string& text) { reports.push_back(text); });
  processes.Add("process-supervisor-test", 0x7F150601, false, "{}");
  processes.Start(&processes.Daemons()[0]);
  processes.SendSignal(&processes.Daemons()[0], signal);
  loop.After(Milliseconds(200), [&loop] { loop.Stop(); });
  loop.Run();
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

}  // namespace
}  // namespace medlargauge::soak

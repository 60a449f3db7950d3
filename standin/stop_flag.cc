// @file stop_flag.cc Signal handler that sets the stop flag.
#include "standin/stop_flag.h"

#include <atomic>
#include <csignal>

namespace medlargauge {
namespace {

std::atomic<bool> g_stop_requested{false};

void HandleStopSignal(int /*signal*/) {
  g_stop_requested = true;
}

}  // namespace

void InstallStopFlag() {
  std::signal(SIGTERM, HandleStopSignal);
  std::signal(SIGINT, HandleStopSignal);
}

bool IsStopRequested() {
  return g_stop_requested;
}

}  // namespace medlargauge

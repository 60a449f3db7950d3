// @file stop_flag.cc Signal handler.
#include "standin/stop_flag.h"

#include <atomic>
#include <csignal>

namespace medlargauge {
namespace {

std::atomic<bool> g_stop_requested{false};

void OnSignal(int /*signal*/) {
  g_stop_requested = true;
}

}  // namespace

void InstallStopFlag() {
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
}

bool IsStopRequested() {
  return g_stop_requested;
}

}  // namespace medlargauge

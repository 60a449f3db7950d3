// @file soak.cc Runs random schedules of faults for a given time.
#include <atomic>
#include <chrono>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "bench/bench.h"
#include "scenario/schedule.h"

namespace medlargauge {
namespace {

constexpr unsigned kThreadCount = 4;
constexpr size_t kMaxRandomFaults = 3;
constexpr size_t kMaxPrintedSchedules = 5;
constexpr size_t kMaxPrintedTraceLines = 3;

/// Sums over all schedules.
struct SoakTotals {
  uint64_t schedules = 0;          ///< Schedules run.
  uint64_t flows = 0;              ///< Flows started by callers.
  uint64_t violations = 0;         ///< Violated invariants.
  uint64_t failing_schedules = 0;  ///< Schedules with violations.
};

void PrintFailure(const Schedule& schedule, const ScheduleResult& result) {
  std::cout << "violations=" << result.Violations() << " "
            << Describe(schedule);
  for (size_t i = 0; i < std::min(kMaxPrintedTraceLines, result.trace.size());
       ++i) {
    std::cout << "  " << result.trace[i] << "\n";
  }
}

}  // namespace

nlohmann::json RunSoak(const BenchOptions& options) {
  const auto end_time =
      std::chrono::steady_clock::now() + std::chrono::seconds(options.seconds);
  std::atomic<uint32_t> next_seed{static_cast<uint32_t>(options.seed)};
  std::mutex mutex;
  SoakTotals totals;
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < kThreadCount; ++i) {
    threads.emplace_back([&] {
      while (std::chrono::steady_clock::now() < end_time) {
        const uint32_t seed = next_seed++;
        const size_t fault_count =
            options.faults > 0 ? options.faults : 1 + seed % kMaxRandomFaults;
        const Schedule schedule = MakeSchedule(seed, fault_count);
        const ScheduleResult result = RunSchedule(schedule, FaultInjection());
        const std::lock_guard<std::mutex> lock(mutex);
        ++totals.schedules;
        totals.flows += result.counts.flows;
        totals.violations += result.Violations();
        if (result.Violations() > 0 &&
            totals.failing_schedules++ < kMaxPrintedSchedules) {
          PrintFailure(schedule, result);
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return {{"schedules", totals.schedules},
          {"flows", totals.flows},
          {"failing_schedules", totals.failing_schedules},
          {"violations", totals.violations}};
}

}  // namespace medlargauge

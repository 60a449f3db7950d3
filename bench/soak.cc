// @file soak.cc Random schedules of faults for as long as asked.
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

constexpr unsigned kThreads = 4;
constexpr size_t kMaxFaults = 3;
constexpr size_t kPrintedSchedules = 5;
constexpr size_t kPrintedLines = 3;

/// Sums of all schedules.
struct SoakTotals {
  uint64_t schedules = 0;   ///< Run.
  uint64_t flows = 0;       ///< Started by callers.
  uint64_t violations = 0;  ///< Broken promises.
  uint64_t failing = 0;     ///< Schedules with any.
};

void Print(const Schedule& schedule, const ScheduleResult& result) {
  std::cout << "violations=" << result.Violations() << " "
            << Describe(schedule);
  for (size_t i = 0; i < std::min(kPrintedLines, result.trace.size()); ++i) {
    std::cout << "  " << result.trace[i] << "\n";
  }
}

}  // namespace

nlohmann::json RunSoak(const BenchOptions& options) {
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::seconds(options.seconds);
  std::atomic<uint32_t> next{static_cast<uint32_t>(options.seed)};
  std::mutex mutex;
  SoakTotals totals;
  std::vector<std::thread> threads;
  for (unsigned i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      while (std::chrono::steady_clock::now() < end) {
        const uint32_t seed = next++;
        const size_t faults =
            options.faults > 0 ? options.faults : 1 + seed % kMaxFaults;
        const Schedule schedule = MakeSchedule(seed, faults);
        const ScheduleResult result = RunSchedule(schedule, FaultInjection());
        const std::lock_guard<std::mutex> lock(mutex);
        ++totals.schedules;
        totals.flows += result.counts.flows;
        totals.violations += result.Violations();
        if (result.Violations() > 0 && totals.failing++ < kPrintedSchedules) {
          Print(schedule, result);
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return {{"schedules", totals.schedules},
          {"flows", totals.flows},
          {"failing_schedules", totals.failing},
          {"violations", totals.violations}};
}

}  // namespace medlargauge

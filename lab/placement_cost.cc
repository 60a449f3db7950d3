// @file placement_cost.cc Measurement of placement policies.
#include "lab/placement_cost.h"

#include <cmath>
#include <ctime>

#include "src/core/hash.h"
#include "src/forwarding/membership_table.h"

namespace medlargauge::lab {
namespace {

constexpr int kPlacements = 20000;

/// Returns the processor time of this thread in microseconds.
double ThreadCpuUs() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

}  // namespace

double MeasurePlacementUs(const PlacementPolicy& policy, size_t agents) {
  const TimePoint now{Seconds(100)};
  std::vector<PlacementCandidate> candidates(agents);
  for (size_t i = 0; i < agents; ++i) {
    PlacementCandidate& candidate = candidates[i];
    candidate.id = MemberId{i + 1};
    candidate.load.slots = 3;
    candidate.load.active = static_cast<uint32_t>(MixHash(i, 5) % 6);
    candidate.load.service_us = 34000;
    candidate.load.wait_us = candidate.load.active > 2 ? 11000 : 0;
    candidate.load.slowness = 1100;
    candidate.slowness.Add(now, std::log(i % 4 == 0 ? 1.8 : 0.9));
    candidate.work_us = 34000;
  }
  size_t sum = 0;
  const double start = ThreadCpuUs();
  for (int i = 0; i < kPlacements; ++i) {
    sum += *policy(now, MixHash(i, 7), candidates);
  }
  const double used = ThreadCpuUs() - start;
  // The sum keeps the compiler from leaving out the calls.
  return sum > 0 ? used / kPlacements : 0;
}

size_t LoadReportBytes(bool with_wait, bool with_cost) {
  ServerLoad load;
  load.active = 6;
  load.slots = 3;
  load.service_us = 34000;
  load.wait_us = with_wait ? 34000 : 0;
  load.slowness = with_cost ? 1100 : 0;
  load.cost_us = with_cost ? 34000 : 0;
  return EncodeLoad(TimePoint(), load).ByteSizeLong();
}

}  // namespace medlargauge::lab

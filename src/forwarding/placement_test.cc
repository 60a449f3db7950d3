// @file placement_test.cc Tests of where new flows are placed.
#include <doctest/doctest.h>

#include "src/forwarding/placement.h"

namespace medlargauge {
namespace {

TEST_CASE(
    "the expected response time grows with queue, warm-up and service time") {
  const TimePoint now{Seconds(100)};
  ServerLoad load;
  load.slots = 5;
  load.service_us = 40000;
  CHECK(ExpectedResponseTimeUs(now, load, 0) == 40000);
  load.active = 5;
  CHECK(ExpectedResponseTimeUs(now, load, 0) == 48000);
  CHECK(ExpectedResponseTimeUs(now, load, 5) == 88000);
  // A measured time includes the warm-up; without one, a default is adjusted.
  load.warmup_ends_at = now + Seconds(1);
  CHECK(ExpectedResponseTimeUs(now, load, 0) == 48000);
  load.service_us = 0;
  const uint64_t warming = ExpectedResponseTimeUs(now, load, 0);
  load.warmup_ends_at = now;
  CHECK(warming * 10 == ExpectedResponseTimeUs(now, load, 0) * 16);
}

TEST_CASE("equal servers share new flows evenly, a much slower one gets none") {
  const TimePoint now{Seconds(100)};
  std::vector<PlacementCandidate> candidates(3);
  for (size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].id = MemberId{i + 1};
    candidates[i].load.slots = 5;
    candidates[i].load.service_us = 40000;
  }
  std::vector<int> counts(3);
  for (uint64_t flow = 0; flow < 3000; ++flow) {
    ++counts[*PlaceByResponseTime(now, MixHash(flow, 7), candidates)];
  }
  for (const int count : counts) {
    CHECK(count == doctest::Approx(1000).epsilon(0.15));
  }
  candidates[0].load.service_us = 200000;
  for (uint64_t flow = 0; flow < 100; ++flow) {
    CHECK(*PlaceByResponseTime(now, MixHash(flow, 7), candidates) != 0);
  }
  CHECK_FALSE(PlaceByResponseTime(now, 1, {}).has_value());
}

TEST_CASE(
    "a retransmission gets the same sample, responsive servers go first") {
  const TimePoint now{Seconds(100)};
  std::vector<PlacementCandidate> candidates(20);
  for (size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].id = MemberId{i + 1};
    candidates[i].load.slots = 2;
    candidates[i].load.service_us = 40000;
    candidates[i].responsive = i < 2;
  }
  std::vector<int> counts(candidates.size());
  for (uint64_t flow = 0; flow < 500; ++flow) {
    const uint64_t hash = MixHash(flow, 3);
    const size_t chosen = *PlaceBySample(now, hash, candidates);
    CHECK(chosen == *PlaceBySample(now, hash, candidates));
    CHECK(chosen < 2);
  }
  for (PlacementCandidate& candidate : candidates) {
    candidate.responsive = true;
  }
  candidates[4].load.active = 9;
  for (uint64_t flow = 0; flow < 4000; ++flow) {
    ++counts[*PlaceBySample(now, MixHash(flow, 3), candidates)];
  }
  // No idle server gets an excessive share, and the busy one gets no flow.
  CHECK(counts[4] == 0);
  for (size_t i = 0; i < counts.size(); ++i) {
    CHECK(counts[i] < 400);
  }
  CHECK_FALSE(PlaceBySample(now, 1, {}).has_value());
}

}  // namespace
}  // namespace medlargauge

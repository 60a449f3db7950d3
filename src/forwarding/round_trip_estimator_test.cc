// @file round_trip_estimator_test.cc Tests of the timeout for answers.
#include "src/forwarding/round_trip_estimator.h"

#include <doctest/doctest.h>

namespace medlargauge {
namespace {

constexpr Duration kMin = Milliseconds(20);
constexpr Duration kMax = Milliseconds(400);

TEST_CASE("without a sample the timeout is the upper limit") {
  CHECK(RoundTripEstimator(kMin, kMax).Timeout() == kMax);
}

TEST_CASE("the timeout converges to steady round trips, short and long") {
  for (const int64_t ms : {6, 50, 90}) {
    RoundTripEstimator estimator(kMin, kMax);
    for (int i = 0; i < 50; ++i) {
      estimator.Add(Milliseconds(ms));
    }
    CHECK(estimator.Timeout() >= Milliseconds(ms));
    CHECK(estimator.Timeout() <= std::max(kMin, Milliseconds(ms + 2)));
  }
}

TEST_CASE("the timeout covers varying round trips and forgets a change") {
  RoundTripEstimator estimator(kMin, kMax);
  for (int i = 0; i < 50; ++i) {
    estimator.Add(Milliseconds(i % 2 == 0 ? 20 : 60));
  }
  CHECK(estimator.Timeout() > Milliseconds(60));
  for (int i = 0; i < 50; ++i) {
    estimator.Add(Milliseconds(5));
  }
  CHECK(estimator.Timeout() == kMin);
}

TEST_CASE("an extreme sample can't move the timeout beyond its limits") {
  RoundTripEstimator estimator(kMin, kMax);
  estimator.Add(Seconds(3600));
  CHECK(estimator.Timeout() == kMax);
  estimator.Add(Duration(-5));
  CHECK(estimator.Timeout() >= kMin);
  CHECK(estimator.Timeout() <= kMax);
}

}  // namespace
}  // namespace medlargauge

// @file feasibility_test.cc Tests of admission by the expected response time.
#include "src/forwarding/overload/feasibility.h"

#include <doctest/doctest.h>

namespace medlargauge {
namespace {

constexpr Duration kLimit = Milliseconds(250);

ResponseEstimate MakeEstimate(int64_t expected_ms, int64_t deviation_ms = 0) {
  return {Milliseconds(expected_ms), Milliseconds(deviation_ms), true};
}

TEST_CASE("uncertain estimates admit fewer requests") {
  // Guards against admission by the mean, with which half of the last requests
  // in a queue are late.
  CHECK(CanAnswerWithin(MakeEstimate(250), false, kLimit));
  CHECK_FALSE(CanAnswerWithin(MakeEstimate(250, 20), false, kLimit));
  CHECK(CanAnswerWithin(MakeEstimate(180, 20), false, kLimit));
}

TEST_CASE("a free slot is used unless the answer is expected to be late") {
  // Guards against idle servers while requests wait.
  CHECK(CanAnswerWithin(MakeEstimate(250, 40), true, kLimit));
  CHECK_FALSE(CanAnswerWithin(MakeEstimate(251), true, kLimit));
}

TEST_CASE("requests without a limit are admitted") {
  // Guards against refusals on routes without a goal.
  CHECK(CanAnswerWithin(MakeEstimate(100000), false, Duration()));
}

TEST_CASE("a server whose service time is assumed has no queue") {
  // Guards against a queue on the strength of no answer at all.
  const ResponseEstimate assumed;
  CHECK(CanAnswerWithin(assumed, true, kLimit));
  CHECK_FALSE(CanAnswerWithin(assumed, false, kLimit));
}

}  // namespace
}  // namespace medlargauge

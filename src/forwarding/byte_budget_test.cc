// @file byte_budget_test.cc Tests of the limit of sent bytes.
#include "src/forwarding/byte_budget.h"

#include <doctest/doctest.h>

namespace medlargauge {
namespace {

TEST_CASE("many requests at once exceed the budget for sent bytes") {
  constexpr uint64_t kLimit = 1000;
  constexpr uint64_t kItem = 100;
  ByteBudget budget(kLimit);
  TimePoint now{Seconds(100)};
  const TimePoint end = now + Seconds(10);
  uint64_t sent = 0;
  for (; now < end; now += Milliseconds(1)) {
    sent += budget.Take(now, kItem) ? kItem : 0;
  }
  CHECK(sent >= 10 * kLimit);
  CHECK(sent <= 11 * kLimit + kItem);
}

TEST_CASE("an item larger than the budget is never sent") {
  ByteBudget budget(1000);
  const TimePoint now{Seconds(100)};
  CHECK(budget.Take(now, 5000));
  CHECK_FALSE(budget.Take(now + Seconds(3), 1));
  CHECK(budget.Take(now + Seconds(4), 1));
}

}  // namespace
}  // namespace medlargauge

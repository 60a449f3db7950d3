// @file target_outlook_test.cc Tests of what a balancer without targets knows.
#include "src/forwarding/target_outlook.h"

#include <doctest/doctest.h>

#include "src/forwarding/target_reader.h"

namespace medlargauge {
namespace {

constexpr Duration kPatience = Milliseconds(1200);
constexpr TimePoint kNow{Seconds(100)};
constexpr TimePoint kLimit = kNow + Milliseconds(900);

TEST_CASE("a new flow is given up although targets may come in time") {
  CHECK(UnroutedDeadline({true, kNow - Seconds(9)}, kLimit, kPatience) ==
        kLimit);
  CHECK(UnroutedDeadline({false, TimePoint()}, kLimit, kPatience) == kLimit);
  CHECK(UnroutedDeadline({false, kNow}, kLimit, kPatience) == kLimit);
}

TEST_CASE("a new flow waits for a store that has been silent for too long") {
  CHECK(UnroutedDeadline({false, kNow - Seconds(1)}, kLimit, kPatience) ==
        kNow + Milliseconds(200));
  CHECK(UnroutedDeadline({false, kNow - Seconds(9)}, kLimit, kPatience) <=
        kNow);
}

TEST_CASE("calls that fail make the silence of the store look shorter") {
  TimePoint now = kNow;
  const MembershipTable members(MemberId{1}, MembershipTimeouts());
  TargetReader reader(now, 7, TargetReaderLimits());
  CHECK(reader.UnansweredSince() == TimePoint());
  for (int call = 0; call < 4; ++call) {
    REQUIRE(reader.Next(now, MemberId{1}, members, TargetIdentity()) ==
            ReadAction::kRead);
    CHECK(reader.UnansweredSince() == kNow);
    now += Milliseconds(900);
    reader.OnRead(
        now, call == 2 ? StoreResult::kRefused : StoreResult::kNoAnswer, 0);
    CHECK(reader.UnansweredSince() == kNow);
    now += Seconds(2);
  }
  REQUIRE(reader.Next(now, MemberId{1}, members, TargetIdentity()) ==
          ReadAction::kRead);
  reader.OnRead(now, StoreResult::kOk, 40);
  CHECK(reader.UnansweredSince() == TimePoint());
}

}  // namespace
}  // namespace medlargauge

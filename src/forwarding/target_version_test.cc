// @file target_version_test.cc Tests of the order of targets and of eras.
#include "src/forwarding/target_version.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "src/forwarding/active_routes.h"
#include "src/forwarding/era_tracker.h"
#include "src/forwarding/membership_table.h"

namespace medlargauge {
namespace {

RouteTable MakeTable(uint64_t era, uint64_t revision, uint64_t number) {
  RouteTable table;
  table.identity = {{era, revision}, number};
  return table;
}

TEST_CASE("a lower revision of a later era replaces a higher one") {
  ActiveRoutes routes;
  CHECK(routes.Adopt(MakeTable(1, 500, 7)));
  CHECK(routes.Adopt(MakeTable(2, 402, 8)));
  CHECK_FALSE(routes.Adopt(MakeTable(1, 500, 7)));
  CHECK_FALSE(routes.Adopt(MakeTable(2, 402, 8)));
  CHECK(routes.Revision() == 402);
}

TEST_CASE("an older copy of the store does not revert accepted targets") {
  ActiveRoutes routes;
  CHECK(routes.Adopt(MakeTable(1, 500, 7)));
  CHECK_FALSE(routes.Adopt(MakeTable(2, 400, 5)));
  CHECK_FALSE(routes.Adopt(MakeTable(2, 401, 6)));
  CHECK(routes.Adopt(MakeTable(2, 402, 7)));
  CHECK(routes.Adopt(MakeTable(2, 403, 9)));
}

TEST_CASE("a process that has read an older copy takes the accepted targets") {
  ActiveRoutes routes;
  CHECK(routes.Adopt(MakeTable(2, 400, 5)));
  CHECK(routes.Adopt(MakeTable(1, 500, 7)));
  CHECK(routes.Adopt(MakeTable(2, 402, 7)));
}

TEST_CASE("targets converge whatever the order in which they arrive") {
  std::vector<TargetIdentity> all = {{{1, 480}, 6}, {{1, 500}, 7},
                                     {{2, 400}, 5}, {{2, 402}, 7},
                                     {{3, 410}, 8}, {{3, 405}, 7}};
  const auto is_before = [](const TargetIdentity& a, const TargetIdentity& b) {
    return Supersedes(b, a);
  };
  std::sort(all.begin(), all.end(), is_before);
  do {
    ActiveRoutes routes;
    for (const TargetIdentity& identity : all) {
      RouteTable table;
      table.identity = identity;
      routes.Adopt(std::move(table));
    }
    REQUIRE(routes.Identity().version == TargetVersion{3, 410});
  } while (std::next_permutation(all.begin(), all.end(), is_before));
}

TEST_CASE("targets without the operators' number are ordered by era first") {
  CHECK(Supersedes({{2, 10}, 0}, {{1, 90}, 7}));
  CHECK_FALSE(Supersedes({{0, 90}, 0}, {{2, 10}, 7}));
  CHECK(Supersedes({{0, 91}, 0}, {{0, 90}, 7}));
  CHECK_FALSE(Supersedes({}, {}));
}

TEST_CASE("a peer that knows no eras may have newer targets") {
  const TargetIdentity in_force{{2, 402}, 7};
  CHECK(MayBeNewer({{0, 403}, 0}, in_force));
  CHECK_FALSE(MayBeNewer({{0, 402}, 0}, in_force));
  CHECK_FALSE(MayBeNewer({{0, 0}, 0}, {}));
  CHECK(MayBeNewer({{1, 500}, 8}, in_force));
  CHECK_FALSE(MayBeNewer({{1, 500}, 7}, in_force));
}

TEST_CASE("a status of a process that knows no eras is understood") {
  const TimePoint now{Seconds(1)};
  FleetMember member;
  member.id = MemberId{5};
  member.ip = 0x0A010001;
  member.targets = {{3, 77}, 12};
  proto::PeerMember message = EncodeMember(now, member);
  CHECK(DecodeMember(now, message).targets.version == TargetVersion{3, 77});
  CHECK(DecodeMember(now, message).targets.operators_version == 12);
  message.clear_era();
  message.clear_operators_version();
  CHECK(DecodeMember(now, message).targets.version == TargetVersion{0, 77});
}

constexpr TimePoint kNow{Seconds(100)};

StatedEra Stated(uint64_t era) {
  return {StatedEra::Kind::kStated, era};
}

TEST_CASE("answers of both eras in flight: the older one is not used") {
  EraTracker tracker;
  CHECK(tracker.OnAnswer(kNow, Stated(4)) == EraFinding::kFirst);
  CHECK(tracker.OnAnswer(kNow, Stated(5)) == EraFinding::kRose);
  CHECK(tracker.OnAnswer(kNow, Stated(4)) == EraFinding::kOlder);
  CHECK(tracker.OnAnswer(kNow, Stated(5)) == EraFinding::kUsable);
  CHECK(tracker.Era() == 5);
}

TEST_CASE("an era that is missing or no number changes nothing") {
  EraTracker tracker;
  const StatedEra missing{StatedEra::Kind::kMissing, 0};
  const StatedEra invalid{StatedEra::Kind::kInvalid, 0};
  CHECK(tracker.OnAnswer(kNow, invalid) == EraFinding::kInvalid);
  CHECK(tracker.OnAnswer(kNow, missing) ==
        EraFinding::kUsable);  // None is known.
  CHECK(tracker.OnAnswer(kNow, Stated(1)) == EraFinding::kRose);
  CHECK(tracker.OnAnswer(kNow, missing) == EraFinding::kMissing);
  CHECK(tracker.OnAnswer(kNow, invalid) == EraFinding::kInvalid);
  CHECK(tracker.OnAnswer(kNow, {}) ==
        EraFinding::kUsable);  // No answer arrived.
  CHECK(tracker.Era() == 1);
  CHECK_FALSE(IsUsable(EraFinding::kOlder));
  CHECK_FALSE(IsUsable(EraFinding::kMissing));
  CHECK_FALSE(IsUsable(EraFinding::kInvalid));
}

TEST_CASE("an era that rises twice within a second extends the wait") {
  EraTracker tracker;
  CHECK(tracker.OnAnswer(kNow, Stated(1)) == EraFinding::kFirst);
  CHECK(tracker.RegistrationsCompleteAt() == TimePoint());
  CHECK(tracker.OnAnswer(kNow, Stated(2)) == EraFinding::kRose);
  const TimePoint later = kNow + Milliseconds(700);
  CHECK(tracker.OnAnswer(later, Stated(3)) == EraFinding::kRose);
  CHECK(tracker.RegistrationsCompleteAt() == later + kReregistrationTime);
  CHECK(tracker.Age(later + Seconds(1)) == Seconds(1));
}

TEST_CASE("a process that starts after a restore waits for registrations") {
  EraTracker tracker;
  CHECK(tracker.OnAnswer(kNow, Stated(2)) == EraFinding::kFirst);
  CHECK(tracker.RegistrationsCompleteAt() == TimePoint());
  // Its peers have known the new era for a second.
  CHECK(tracker.OnPeer(kNow, 2, Seconds(1)) == EraFinding::kUsable);
  CHECK(tracker.RegistrationsCompleteAt() ==
        kNow - Seconds(1) + kReregistrationTime);
  CHECK(tracker.Age(kNow) == std::nullopt);
}

TEST_CASE("a member that was suspended through a restore has yet to register") {
  EraTracker tracker;
  CHECK(tracker.OnPeer(kNow, 2, std::nullopt) == EraFinding::kFirst);
  CHECK(tracker.OnPeer(kNow, 0, std::nullopt) == EraFinding::kUsable);
  CHECK(tracker.RegistrationsCompleteAt() == TimePoint());
  CHECK(tracker.OnPeer(kNow, 1, std::nullopt) == EraFinding::kOlder);
  CHECK(tracker.RegistrationsCompleteAt() == kNow + kReregistrationTime);
}

TEST_CASE("a rise that a peer tells keeps the time at which the peer saw it") {
  EraTracker tracker;
  CHECK(tracker.OnAnswer(kNow, Stated(1)) == EraFinding::kFirst);
  CHECK(tracker.OnPeer(kNow, 2, Seconds(3)) == EraFinding::kRose);
  CHECK(tracker.Age(kNow) == Seconds(3));
  CHECK(tracker.OnAnswer(kNow, Stated(1)) == EraFinding::kOlder);
}

}  // namespace
}  // namespace medlargauge

// @file target_keeper_test.cc Tests of how agents fetch the targets.
#include "src/forwarding/target_keeper.h"

#include <doctest/doctest.h>

#include <map>

namespace medlargauge {
namespace {

constexpr size_t kBalancers = 18;
constexpr Duration kTick = Milliseconds(100);

/// An agent and the balancers that it hears.
struct KeeperFixture {
  TimePoint now{Seconds(100)};
  MembershipTable members;
  TargetKeeper keeper;
  uint32_t sequence = 0;

  explicit KeeperFixture(uint64_t id)
      : members(MemberId{id}, MembershipTimeouts()),
        keeper(MemberId{id}, TargetKeeperLimits()) {}

  /// Delivers a status of a balancer, whose address equals its id.
  void Hear(uint64_t id, uint64_t revision, uint32_t fleet_size = 0) {
    FleetMember member;
    member.id = MemberId{id};
    member.ip = static_cast<uint32_t>(id);
    member.incarnation = 1;
    member.targets.version.revision = revision;
    proto::PeerStatus status;
    *status.mutable_self() = EncodeMember(now, member);
    status.set_sequence(++sequence);
    status.set_members(fleet_size);
    members.OnStatus(now, status);
  }

  /// Delivers a status of every balancer.
  void HearAll(uint64_t revision, uint32_t fleet_size = 0) {
    for (uint64_t id = 1; id <= kBalancers; ++id) {
      Hear(id, revision, fleet_size);
    }
  }

  std::optional<MemberId> Next(uint64_t held) {
    return keeper.Next(now, members, {{0, held}, 0});
  }

  /// Returns the balancer that is asked and sets `now` to that time.
  std::optional<MemberId> WaitForFetch(uint64_t held, Duration limit) {
    for (const TimePoint end = now + limit; now <= end; now += kTick) {
      const std::optional<MemberId> asked = Next(held);
      if (asked.has_value()) {
        return asked;
      }
    }
    return std::nullopt;
  }
};

TEST_CASE("agents do not all ask the same balancer at the same moment") {
  constexpr uint64_t kAgents = 720;
  std::map<uint64_t, size_t> by_balancer;
  std::map<Duration, size_t> by_delay;
  for (uint64_t agent = 0; agent < kAgents; ++agent) {
    KeeperFixture fixture(1000 + agent);
    const TimePoint start = fixture.now;
    fixture.HearAll(7);
    const std::optional<MemberId> asked =
        fixture.WaitForFetch(3, Milliseconds(1100));
    REQUIRE(asked.has_value());
    ++by_balancer[asked->value];
    ++by_delay[fixture.now - start];
  }
  // Means: 40 for each balancer, 72 for each tick.
  CHECK(by_balancer.size() == kBalancers);
  for (const auto& [balancer, count] : by_balancer) {
    CHECK(count < 80);
  }
  for (const auto& [delay, count] : by_delay) {
    CHECK(count < 144);
  }
}

TEST_CASE("an agent asks only a balancer that has the newest targets") {
  for (uint64_t agent = 0; agent < 50; ++agent) {
    KeeperFixture fixture(1000 + agent);
    fixture.HearAll(7);
    fixture.Hear(5, 9);
    CHECK(fixture.WaitForFetch(7, Milliseconds(800)).value_or(MemberId{5}) ==
          MemberId{5});
  }
}

TEST_CASE("an agent that holds the newest targets asks for none") {
  KeeperFixture fixture(1000);
  fixture.HearAll(7);
  CHECK_FALSE(fixture.WaitForFetch(7, Milliseconds(800)).has_value());
  CHECK_FALSE(fixture.WaitForFetch(9, Milliseconds(800)).has_value());
}

TEST_CASE("targets that change all the time do not keep an agent from asking") {
  KeeperFixture fixture(1000);
  std::optional<MemberId> asked;
  const TimePoint start = fixture.now;
  for (uint64_t revision = 7; !asked.has_value() && revision < 40; ++revision) {
    fixture.HearAll(revision);
    asked = fixture.Next(3);
    fixture.now += kTick;
  }
  CHECK(asked.has_value());
  CHECK(fixture.now - start <= Milliseconds(1200));
}

TEST_CASE("an agent whose fetch failed asks another balancer later") {
  KeeperFixture fixture(1000);
  fixture.HearAll(7);
  std::map<uint64_t, size_t> asked;
  for (size_t attempt = 0; attempt < 8; ++attempt) {
    const std::optional<MemberId> balancer =
        fixture.WaitForFetch(3, Milliseconds(1600));
    REQUIRE(balancer.has_value());
    ++asked[balancer->value];
    CHECK_FALSE(fixture.Next(3).has_value());
    fixture.now += Milliseconds(400);
    fixture.HearAll(7);
    CHECK_FALSE(fixture.Next(3).has_value());
  }
  CHECK(asked.size() > 3);
}

TEST_CASE("in a large fleet only some agents keep the targets") {
  constexpr size_t kAgents = 14000;
  size_t keepers = 0;
  for (uint64_t agent = 0; agent < kAgents; ++agent) {
    KeeperFixture fixture(100000 + agent);
    fixture.Hear(1, 7, kAgents);
    keepers += fixture.keeper.IsKeeper(fixture.members) ? 1 : 0;
  }
  CHECK(keepers > 90);
  CHECK(keepers < 170);
}

}  // namespace
}  // namespace medlargauge

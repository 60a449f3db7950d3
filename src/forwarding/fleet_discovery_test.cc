// @file fleet_discovery_test.cc Tests of joining, introductions and calls.
#include "src/forwarding/fleet_discovery.h"

#include <doctest/doctest.h>

#include "src/forwarding/member_fixture.h"

namespace medlargauge {
namespace {

constexpr Duration kTick = Milliseconds(100);

/// A balancer at address 1 that has just started.
struct DiscoveryFixture {
  TimePoint now{Seconds(100)};
  MembershipTable members{MemberId{1}, MembershipTimeouts()};
  FleetDiscovery discovery{now, MakeMember(1, MemberRole::kBalancer), &members};
  uint32_t sequence = 0;

  static FleetMember MakeMember(uint64_t id, MemberRole role) {
    FleetMember member;
    member.id = MemberId{id};
    member.role = role;
    member.ip = static_cast<uint32_t>(id);
    member.incarnation = 1;
    return member;
  }
  void Hear(uint64_t id, MemberRole role) {
    members.OnStatus(now,
                     member_fixture::MakeStatus(now, id, role, ++sequence));
  }
  /// Returns whether one of the contacts that are due goes to this address.
  bool Contacts(uint32_t ip) {
    bool found = false;
    for (const MemberContact& contact : discovery.TakeContacts(now)) {
      found = found || contact.ip == ip;
    }
    return found;
  }
  /// Counts the calls of a kind within `time` while the store fails.
  int CountFailingCalls(MemberCall kind, Duration time) {
    int calls = 0;
    for (const TimePoint end = now + time; now < end; now += kTick) {
      const MemberCall call = discovery.NextCall(now, false);
      calls += call == kind ? 1 : 0;
      discovery.OnAgentsListed(now, StoreResult::kNoAnswer, {});
      discovery.OnRegistrationsCompleteAt(TimePoint(Seconds(99)));
    }
    return calls;
  }
};

TEST_CASE("each status of a peer makes a balancer ask a failing store again") {
  DiscoveryFixture fixture;
  fixture.now += Seconds(5);
  CHECK(fixture.CountFailingCalls(MemberCall::kListAgents, Seconds(30)) <= 11);
}

TEST_CASE("balancers that start ask a failing store five times a second") {
  DiscoveryFixture fixture;
  CHECK(fixture.CountFailingCalls(MemberCall::kListAgents, Seconds(3)) <= 5);
}

TEST_CASE("the agents are not listed when the whole fleet starts first") {
  DiscoveryFixture fixture;
  fixture.discovery.OnFirstStart();
  fixture.Hear(2, MemberRole::kBalancer);
  fixture.Hear(11, MemberRole::kAgent);
  for (int i = 0; i < 100; ++i) {
    fixture.now += kTick;
    CHECK(fixture.discovery.NextCall(fixture.now, false) !=
          MemberCall::kListAgents);
  }
  // A restore of the store ends that.
  fixture.discovery.OnRegistrationsCompleteAt(fixture.now);
  CHECK(fixture.discovery.NextCall(fixture.now, false) ==
        MemberCall::kListAgents);
}

TEST_CASE("every balancer told all others of each agent that joined later") {
  DiscoveryFixture fixture;
  fixture.Hear(11, MemberRole::kAgent);
  fixture.members.SetRegisteredAgents(fixture.now, {11});
  const FleetMember listed =
      DiscoveryFixture::MakeMember(11, MemberRole::kAgent);
  const FleetMember unlisted =
      DiscoveryFixture::MakeMember(12, MemberRole::kAgent);
  const auto must_tell = [&](const FleetMember& agent, bool was_known) {
    return fixture.discovery.MustTellBalancers(fixture.now, agent, was_known);
  };
  CHECK(must_tell(unlisted, false));
  CHECK_FALSE(must_tell(listed, false));
  CHECK_FALSE(must_tell(unlisted, true));  // Another balancer has told of it.
  fixture.now += Seconds(3);
  CHECK_FALSE(must_tell(unlisted, false));
}

TEST_CASE("all balancers of a large fleet registered") {
  constexpr uint64_t kBalancers = 91;
  uint32_t registered = 0;
  for (uint64_t self = 1; self <= kBalancers; ++self) {
    TimePoint now{Seconds(100)};
    MembershipTable members{MemberId{self}, MembershipTimeouts()};
    FleetDiscovery discovery(
        now, DiscoveryFixture::MakeMember(self, MemberRole::kBalancer),
        &members);
    discovery.OnFirstStart();
    uint32_t sequence = 0;
    for (const TimePoint end = now + Seconds(20); now < end; now += kTick) {
      ++sequence;
      for (uint64_t id = 1; id <= kBalancers && sequence % 5 == 1; ++id) {
        members.OnStatus(now, member_fixture::MakeStatus(
                                  now, id, MemberRole::kBalancer, sequence));
      }
      if (discovery.NextCall(now, false) == MemberCall::kRegister) {
        discovery.OnRegistered(now, StoreResult::kOk);
        ++registered;
      }
    }
  }
  CHECK(registered == 16);
}

TEST_CASE("an agent that the list lacks is told, and the list is read again") {
  DiscoveryFixture fixture;
  fixture.Hear(11, MemberRole::kAgent);
  REQUIRE(fixture.discovery.NextCall(fixture.now, false) ==
          MemberCall::kListAgents);
  const std::vector<MemberContact> contacts =
      fixture.discovery.OnAgentsListed(fixture.now, StoreResult::kOk, {12});
  REQUIRE(contacts.size() == 2);
  CHECK(contacts[0].ip == 11);
  CHECK(contacts[0].not_registered);
  CHECK(contacts[1].ip == 12);
  CHECK_FALSE(fixture.discovery.IsListComplete());
  fixture.now += Seconds(1);
  CHECK(fixture.discovery.NextCall(fixture.now, true) ==
        MemberCall::kListAgents);
}

TEST_CASE(
    "a seed that is not heard and a listed agent are contacted for long") {
  DiscoveryFixture fixture;
  fixture.discovery.SetSeeds({2, 3});
  fixture.discovery.NextCall(fixture.now, false);
  fixture.discovery.OnAgentsListed(fixture.now, StoreResult::kOk, {12});
  fixture.now += Seconds(20);
  fixture.Hear(2, MemberRole::kBalancer);
  fixture.Contacts(0);
  fixture.now += Seconds(1);
  fixture.Hear(2, MemberRole::kBalancer);
  const std::vector<MemberContact> contacts =
      fixture.discovery.TakeContacts(fixture.now);
  REQUIRE(contacts.size() == 2);
  CHECK(contacts[0].ip == 12);
  CHECK(contacts[1].ip == 3);
}

TEST_CASE("a process that left the store registers only after it rejoined") {
  DiscoveryFixture fixture;
  fixture.discovery.OnFirstStart();
  fixture.Hear(2, MemberRole::kBalancer);
  fixture.discovery.OnBalancerHeard(fixture.now);
  fixture.discovery.Leave();
  fixture.now += Seconds(2);
  fixture.Hear(2, MemberRole::kBalancer);
  CHECK(fixture.discovery.NextCall(fixture.now, false) == MemberCall::kNone);
  fixture.discovery.Rejoin(fixture.now);
  CHECK(fixture.discovery.NextCall(fixture.now, false) ==
        MemberCall::kRegister);
}

}  // namespace
}  // namespace medlargauge

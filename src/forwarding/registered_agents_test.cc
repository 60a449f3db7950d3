// @file registered_agents_test.cc Tests of the list of registered agents.
#include <doctest/doctest.h>

#include "src/forwarding/member_fixture.h"

namespace medlargauge {
namespace {

using member_fixture::MakeStatus;

/// A table that hears agents at addresses equal to their ids.
struct ListFixture {
  TimePoint now{Seconds(100)};
  MembershipTable members{MemberId{1}, MembershipTimeouts()};
  uint32_t sequence = 0;

  void Hear(uint64_t id) {
    members.OnStatus(now, MakeStatus(now, id, MemberRole::kAgent, ++sequence));
  }
};

TEST_CASE("withdrawn registrations do not count until they are listed again") {
  ListFixture fixture;
  MembershipTable& members = fixture.members;
  fixture.Hear(7);
  CHECK(members.SetRegisteredAgents(fixture.now, {7}));
  CHECK(members.HasHeardRegisteredAgents(fixture.now));
  members.WithdrawRegisteredAgents();
  CHECK_FALSE(members.HasHeardRegisteredAgents(fixture.now));
  CHECK(members.SetRegisteredAgents(fixture.now, {7, 8}));
  CHECK_FALSE(members.HasHeardRegisteredAgents(fixture.now));
}

TEST_CASE("registered agents are unheard until each has sent a status") {
  ListFixture fixture;
  MembershipTable& members = fixture.members;
  const TimePoint now = fixture.now;
  fixture.Hear(11);
  CHECK_FALSE(members.HasHeardRegisteredAgents(now));  // The list is missing.
  CHECK(members.SetRegisteredAgents(now, {11, 12}));
  CHECK(members.UnheardRegisteredAgents() == std::set<uint32_t>{12});
  CHECK_FALSE(members.HasHeardRegisteredAgents(now));
  members.Learn(
      now, DecodeMember(now, MakeStatus(now, 12, MemberRole::kAgent, 1).self()),
      kProtocolVersion);
  CHECK_FALSE(members.HasHeardRegisteredAgents(now));
  fixture.Hear(12);
  CHECK(members.HasHeardRegisteredAgents(now));
}

TEST_CASE("a list of agents that lacks a heard one is not taken for complete") {
  ListFixture fixture;
  MembershipTable& members = fixture.members;
  const TimePoint now = fixture.now;
  CHECK_FALSE(members.SetRegisteredAgents(now, {}));
  CHECK_FALSE(members.HasHeardRegisteredAgents(now));
  fixture.Hear(11);
  CHECK_FALSE(members.SetRegisteredAgents(now, {12}));
  CHECK(members.UnlistedAgents(now) == std::vector<uint32_t>{11});
  CHECK_FALSE(members.HasMetFleet());
  CHECK(members.SetRegisteredAgents(now, {11}));
  CHECK(members.HasMetFleet());
}

TEST_CASE(
    "all agents of a large fleet are probed just after they are mentioned") {
  ListFixture fixture;
  for (uint64_t id = 2; id < 1402; ++id) {
    const proto::PeerStatus status =
        MakeStatus(fixture.now, id, MemberRole::kAgent, 1);
    fixture.members.Learn(fixture.now, DecodeMember(fixture.now, status.self()),
                          kProtocolVersion);
  }
  fixture.now += Seconds(1);
  CHECK(fixture.members.TakeDueProbes(fixture.now, 2000).empty());
  // An agent of such a fleet sends a status in less than 9 s.
  fixture.now += Seconds(20);
  CHECK(fixture.members.TakeDueProbes(fixture.now, 2000).size() == 1400);
}

TEST_CASE("an incomplete list keeps a dead agent missing for ever") {
  ListFixture fixture;
  for (int i = 0; i < 4; ++i) {
    fixture.Hear(12);
    fixture.Hear(13);
    CHECK_FALSE(fixture.members.SetRegisteredAgents(fixture.now, {12, 99}));
    fixture.now += Seconds(3);
  }
  CHECK_FALSE(fixture.members.IsRegisteredAgentMissing(fixture.now));
  fixture.Hear(12);
  fixture.Hear(13);
  CHECK(fixture.members.SetRegisteredAgents(fixture.now, {12, 13}));
  CHECK(fixture.members.HasHeardRegisteredAgents(fixture.now));
}

TEST_CASE("registered agents that were removed count as heard") {
  ListFixture fixture;
  fixture.Hear(11);
  fixture.Hear(12);
  CHECK(fixture.members.SetRegisteredAgents(fixture.now, {11, 12}));
  fixture.now += Seconds(61);
  CHECK(fixture.members.OnTick(fixture.now).size() == 2);
  fixture.Hear(11);
  CHECK_FALSE(fixture.members.HasHeardRegisteredAgents(fixture.now));
  fixture.Hear(12);
  CHECK(fixture.members.HasHeardRegisteredAgents(fixture.now));
}

}  // namespace
}  // namespace medlargauge

// @file unaware_fleet_test.cc Tests of agents whose balancers have older
// builds.
#include "src/forwarding/evacuation/unaware_fleet.h"

#include <doctest/doctest.h>

#include "src/forwarding/agent_fixture.h"
#include "src/forwarding/evacuation/evacuations.h"
#include "src/forwarding/member_fixture.h"

namespace medlargauge {
namespace {

using agent_fixture::ForwarderFixture;
using agent_fixture::MakePacket;

/// The members that an agent knows.
struct AgentView {
  TimePoint now{Seconds(100)};
  MembershipTable members{MemberId{1}, MembershipTimeouts()};
  uint32_t sequence = 0;

  /// Hears a balancer of this build, or of one before evacuations.
  void Hear(uint64_t id, bool is_old) {
    proto::PeerStatus status =
        member_fixture::MakeStatus(now, id, MemberRole::kBalancer, ++sequence);
    status.set_protocol(is_old ? 0 : kProtocolVersion);
    members.OnStatus(now, status);
  }
  bool IsUnaware() const { return IsFleetUnawareOfEvacuations(now, members); }
};

// After a loss of all power, agents of a new build returned every new flow for
// 5 s while the balancers still had the old one.
TEST_CASE("agents among older balancers refuse all new flows after a start") {
  AgentView view;
  CHECK_FALSE(view.IsUnaware());
  view.Hear(2, true);
  CHECK_FALSE(view.IsUnaware());  // Others may not have answered yet.
  view.now += Milliseconds(200);
  view.Hear(2, true);
  CHECK(view.IsUnaware());
  ForwarderFixture agent;
  agent.forwarder.SetDomainAdmission(DomainAdmission::kOpen, TimePoint());
  CHECK(agent.Forward(MakePacket(1, true)).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("an agent that hears one balancer with evacuations waits for it") {
  AgentView view;
  view.Hear(2, true);
  view.now += Milliseconds(200);
  view.Hear(2, true);
  view.Hear(3, false);
  CHECK_FALSE(view.IsUnaware());
  // One that was mentioned and has not answered may know evacuations as well.
  AgentView mentioned;
  mentioned.Hear(2, true);
  mentioned.now += Milliseconds(200);
  mentioned.Hear(2, true);
  FleetMember other;
  other.id = MemberId{4};
  other.ip = 4;
  mentioned.members.Learn(mentioned.now, other, kFirstProtocol);
  CHECK_FALSE(mentioned.IsUnaware());
  mentioned.now += Milliseconds(200);
  mentioned.Hear(2, true);
  CHECK(mentioned.IsUnaware());
}

TEST_CASE("an upgrade that stopped half-way is not seen") {
  AgentView view;
  view.Hear(2, false);
  CHECK(view.members.CountOtherProtocols(view.now).first == 0);
  view.Hear(3, true);
  const auto [members, lowest] = view.members.CountOtherProtocols(view.now);
  CHECK(members == 1);
  CHECK(lowest == kFirstProtocol);
  CHECK(MissingFeatures(lowest).find("sound_denials") != std::string::npos);
  CHECK(MissingFeatures(kEvacuationProtocol) ==
        "fresh_mentions,stated_version,proven_targets");
  CHECK(MissingFeatures(kProtocolVersion).empty());
}

// A replay logged builds_differ for an agent whose load report had come first.
TEST_CASE("a member that has sent no status is taken for an older build") {
  AgentView view;
  FleetMember agent;
  agent.id = MemberId{5};
  agent.ip = 5;
  agent.role = MemberRole::kAgent;
  view.members.Learn(view.now, agent, kProtocolVersion);
  view.members.OnLoad(view.now, MemberId{5}, ServerLoad());
  CHECK(view.members.IsReachable(view.now, *view.members.Find(MemberId{5})));
  CHECK(view.members.CountOtherProtocols(view.now).first == 0);
}

TEST_CASE("the version of a build is read from statuses without one") {
  proto::PeerStatus status;
  CHECK(ProtocolOf(status) == kFirstProtocol);
  CHECK_FALSE(Supports(ProtocolOf(status), Feature::kSoundDenials));
  status.mutable_evacuations();
  CHECK(ProtocolOf(status) == kEvacuationProtocol);
  CHECK(Supports(ProtocolOf(status), Feature::kEvacuations));
  CHECK_FALSE(Supports(ProtocolOf(status), Feature::kStatedVersion));
  status.set_protocol(kProtocolVersion + 5);
  CHECK(Supports(ProtocolOf(status), Feature::kStatedVersion));
}

}  // namespace
}  // namespace medlargauge

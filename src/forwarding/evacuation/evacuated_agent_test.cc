// @file evacuated_agent_test.cc Tests of agents whose failure domain is
// evacuated.
#include <doctest/doctest.h>

#include "src/forwarding/agent_fixture.h"

namespace medlargauge {
namespace {

using namespace agent_fixture;  // NOLINT(google-build-using-namespace)
using Kind = ForwarderDecision::Kind;

TEST_CASE("an evacuated server gets new flows") {
  ForwarderFixture fixture;
  AgentForwarder& forwarder = fixture.forwarder;
  fixture.Forward(MakePacket(1, true));
  fixture.SendSynAck(1, 900);
  fixture.Forward(MakePacket(2, true));
  forwarder.SetDomainAdmission(DomainAdmission::kEvacuated, TimePoint());
  CHECK(fixture.Forward(MakePacket(3, true), true, 0).reason ==
        ReturnReason::kEvacuated);
  // The server has accepted one flow; the other's packet may be lost.
  CHECK(fixture.Forward(MakePacket(1, true)).kind == Kind::kDeliver);
  CHECK(fixture.Forward(MakePacket(2, true)).reason ==
        ReturnReason::kEvacuated);
  // Open flows stay, also those that this process does not know.
  FlowPacket accept = MakePacket(1, false, 50);
  accept.acknowledged = 901;
  CHECK(fixture.Forward(accept).kind == Kind::kDeliver);
  CHECK(fixture.Forward(MakePacket(4, false, 50)).kind == Kind::kDeliver);
  // A new flow with the addresses of an old one is not a copy of its packet.
  FlowPacket reopened = MakePacket(1, true);
  reopened.sequence += 5000;
  CHECK(fixture.Forward(reopened).reason == ReturnReason::kEvacuated);
  CHECK(forwarder.Counters()
            .returned[static_cast<size_t>(ReturnReason::kEvacuated)] == 3);
  CHECK(forwarder.State(fixture.now) == AgentState::kReady);
  forwarder.SetDomainAdmission(DomainAdmission::kOpen, TimePoint());
  CHECK(fixture.Forward(MakePacket(3, true), true, 0).kind == Kind::kDeliver);
}

TEST_CASE("an agent that has just started takes flows of an evacuated domain") {
  ForwarderFixture fixture;
  AgentForwarder& forwarder = fixture.forwarder;
  forwarder.SetDomainAdmission(DomainAdmission::kUnknown,
                               fixture.now + kUnknownEvacuationTime);
  CHECK(fixture.Forward(MakePacket(1, true)).reason ==
        ReturnReason::kServerDown);
  CHECK(forwarder.State(fixture.now) == AgentState::kJoining);
  CHECK(fixture.Forward(MakePacket(2, false, 50)).kind == Kind::kDeliver);
  // Where no process knows of evacuations, it serves after that time.
  fixture.now += kUnknownEvacuationTime;
  fixture.SendReport();
  CHECK(fixture.Forward(MakePacket(1, true)).kind == Kind::kDeliver);
  CHECK(forwarder.State(fixture.now) == AgentState::kReady);
}

}  // namespace
}  // namespace medlargauge

// @file evacuated_placement_test.cc Tests of balancers that place new flows
// while failure domains are evacuated.
#include <doctest/doctest.h>

#include "src/forwarding/director_fixture.h"

namespace medlargauge {
namespace {

using namespace director_fixture;  // NOLINT(google-build-using-namespace)
using Kind = DirectorDecision::Kind;

constexpr DomainId kOther{2};

/// A balancer with agents 11 and 12 in domain 1, and 13 in domain 2.
struct TwoDomains : DirectorFixture {
  TwoDomains() {
    domains[13] = kOther;
    incarnation = 2;
    ReceiveAllStatuses();
  }
};

TEST_CASE("a new flow is placed in an evacuated domain") {
  TwoDomains fixture;
  fixture.Send(MakeOpeningPacket(500));
  fixture.director.SetEvacuatedDomains({DomainId{1}});
  for (uint16_t port = 1; port < 40; ++port) {
    const DirectorDecision decision = fixture.Send(MakeOpeningPacket(port));
    REQUIRE(decision.kind == Kind::kForward);
    CHECK(decision.agent == MemberId{13});
  }
}

TEST_CASE("a flow that an agent returns is placed again in its domain") {
  TwoDomains fixture;
  uint16_t port = 1;
  DirectorDecision sent = fixture.Send(MakeOpeningPacket(port));
  while (sent.agent == MemberId{13}) {
    sent = fixture.Send(MakeOpeningPacket(++port));
  }
  // The agent's status arrives before the packet.
  fixture.director.SetEvacuatedDomains({DomainId{1}});
  CHECK(fixture.Return(sent, ReturnReason::kEvacuated, MakeOpeningPacket(port))
            .agent == MemberId{13});
}

TEST_CASE("open flows leave an evacuated domain") {
  TwoDomains fixture;
  const DirectorDecision sent = fixture.Send(MakeOpeningPacket(1));
  fixture.director.OnFlowConfirmed(fixture.now, sent.agent,
                                   MakeOpeningPacket(1).flow, false);
  fixture.director.SetEvacuatedDomains({DomainId{1}, kOther});
  CHECK(fixture.Send(MakeLaterPacket(1)).agent == sent.agent);
}

TEST_CASE("callers wait although all domains are evacuated") {
  TwoDomains fixture;
  // This flow finds all servers full and waits.
  DirectorDecision decision = fixture.Send(MakeOpeningPacket(1));
  while (decision.kind == Kind::kForward) {
    decision =
        fixture.Return(decision,
                       decision.header.last_candidate ? ReturnReason::kFull
                                                      : ReturnReason::kBusy,
                       MakeOpeningPacket(1));
  }
  REQUIRE(fixture.director.HeldCount() == 1);
  // This one is at an agent that has not answered yet.
  const DirectorDecision sent = fixture.Send(MakeOpeningPacket(2));
  fixture.director.SetEvacuatedDomains({DomainId{1}, kOther});
  fixture.now += Milliseconds(20);
  const std::vector<DeferredDecision> deferred =
      fixture.director.OnTick(fixture.now);
  REQUIRE(deferred.size() == 1);
  CHECK(deferred[0].decision.kind == Kind::kReset);
  CHECK(deferred[0].decision.error == ErrorKind::kEvacuated);
  decision =
      fixture.Return(sent, ReturnReason::kEvacuated, MakeOpeningPacket(2));
  CHECK(decision.kind == Kind::kReset);
  decision = fixture.Send(MakeOpeningPacket(3));
  CHECK(decision.kind == Kind::kReset);
  CHECK(decision.error == ErrorKind::kEvacuated);
  CHECK(fixture.director.HeldCount() == 0);
  // Revoked.
  fixture.director.SetEvacuatedDomains({});
  CHECK(fixture.Send(MakeOpeningPacket(4)).kind == Kind::kForward);
}

TEST_CASE("a balancer that hears only evacuated servers refused new flows") {
  TwoDomains fixture;
  fixture.director.SetEvacuatedDomains({DomainId{1}});
  CHECK(fixture.director.CanServe(fixture.now));
  // Agent 13 falls silent, as links pass packets one way only.
  for (int i = 0; i < 5; ++i) {
    fixture.now += Milliseconds(300);
    fixture.ReceiveStatus(11, "stock");
    fixture.ReceiveStatus(12, "stock");
  }
  const DirectorDecision decision = fixture.Send(MakeOpeningPacket(1));
  CHECK(decision.kind == Kind::kHold);
  CHECK_FALSE(fixture.director.CanServe(fixture.now));
  // Where all domains are evacuated, no other balancer can do better.
  fixture.director.SetEvacuatedDomains({DomainId{1}, kOther});
  CHECK(fixture.director.CanServe(fixture.now));
}

}  // namespace
}  // namespace medlargauge

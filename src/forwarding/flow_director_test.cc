// @file flow_director_test.cc Tests of flow placement and forwarding.
#include <doctest/doctest.h>

#include "src/forwarding/director_fixture.h"
#include "src/forwarding/member_fixture.h"

namespace medlargauge {
namespace {

using namespace director_fixture;  // NOLINT(google-build-using-namespace)
using member_fixture::MakeStatus;

TEST_CASE("a new flow goes to the least loaded ready agent of its service") {
  DirectorFixture fixture;
  fixture.ReceiveStatus(11, "stock", AgentState::kReady, 9);
  fixture.ReceiveStatus(12, "stock", AgentState::kReady, 2);
  fixture.ReceiveStatus(13, "stock", AgentState::kReady, 7);
  const DirectorDecision decision = fixture.Send(MakeOpeningPacket(1));
  CHECK(decision.kind == DirectorDecision::Kind::kForward);
  CHECK(decision.agent == MemberId{12});
  CHECK(decision.header.service == ServiceIdOf("stock"));
  CHECK_FALSE(decision.header.search);
}

TEST_CASE("draining, leaving and gone agents get no new flows") {
  DirectorFixture fixture;
  fixture.ReceiveStatus(11, "stock", AgentState::kDraining);
  fixture.ReceiveStatus(12, "stock", AgentState::kReady, 0, true);
  fixture.ReceiveStatus(13, "stock", AgentState::kGone);
  const DirectorDecision decision = fixture.Send(MakeOpeningPacket(1));
  CHECK(decision.kind == DirectorDecision::Kind::kReset);
  CHECK(decision.error == ErrorKind::kNoAgent);
}

TEST_CASE("a failing agent gets new flows only when the others are slower") {
  DirectorFixture fixture;
  fixture.ReceiveStatus(11, "stock", AgentState::kReady, 0, false, 900);
  fixture.ReceiveStatus(12, "stock", AgentState::kReady, 8);
  fixture.ReceiveStatus(13, "stock", AgentState::kReady, 8);
  for (uint16_t port = 1; port < 10; ++port) {
    CHECK(fixture.Send(MakeOpeningPacket(port)).agent != MemberId{11});
  }
}

TEST_CASE("an agent whose server is unknown ranks below ready agents") {
  DirectorFixture fixture;
  fixture.ReceiveStatus(11, "stock", AgentState::kJoining);
  fixture.ReceiveStatus(12, "stock", AgentState::kReady, 15);
  fixture.ReceiveStatus(13, "stock", AgentState::kDraining);
  CHECK(fixture.Send(MakeOpeningPacket(1)).agent == MemberId{12});
  fixture.ReceiveStatus(12, "stock", AgentState::kGone);
  CHECK(fixture.Send(MakeOpeningPacket(2)).agent == MemberId{11});
}

TEST_CASE("a retransmitted opening packet goes to the same agent") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeOpeningPacket(1));
  const DirectorDecision retransmission = fixture.Send(MakeOpeningPacket(1));
  CHECK(retransmission.agent == first.agent);
  CHECK(fixture.director.Counters().opened == 1);
}

TEST_CASE("a reused caller port opens a new flow") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeOpeningPacket(1));
  fixture.director.OnFlowConfirmed(fixture.now, first.agent,
                                   MakeOpeningPacket(1).flow, false);
  fixture.Send(MakeOpeningPacket(1, 999));
  CHECK(fixture.director.Counters().opened == 2);
}

TEST_CASE("an unconfirmed opening packet is sent to another agent") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeOpeningPacket(1));
  fixture.now += Milliseconds(80);
  CHECK(fixture.director.OnTick(fixture.now).empty());
  fixture.now += Milliseconds(20);
  const std::vector<DeferredDecision> resends =
      fixture.director.OnTick(fixture.now);
  REQUIRE(resends.size() == 1);
  CHECK(resends[0].decision.agent != first.agent);
  CHECK(resends[0].raw == fixture.raw);
  // Before the caller retransmits after 200 ms.
  CHECK(DirectorLimits().opening_retry_delay < Milliseconds(200));
}

TEST_CASE("a confirmed opening packet is not sent again") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeOpeningPacket(1));
  fixture.director.OnFlowConfirmed(fixture.now, first.agent,
                                   MakeOpeningPacket(1).flow, false);
  fixture.now += Milliseconds(200);
  CHECK(fixture.director.OnTick(fixture.now).empty());
}

TEST_CASE("busy agents are asked in turn, then one is the last candidate") {
  DirectorFixture fixture;
  DirectorDecision decision = fixture.Send(MakeOpeningPacket(1));
  std::vector<MemberId> asked;
  for (int i = 0; i < 3; ++i) {
    CHECK(std::find(asked.begin(), asked.end(), decision.agent) == asked.end());
    asked.push_back(decision.agent);
    CHECK_FALSE(decision.header.last_candidate);
    decision =
        fixture.Return(decision, ReturnReason::kBusy, MakeOpeningPacket(1));
  }
  CHECK(decision.kind == DirectorDecision::Kind::kForward);
  CHECK(decision.header.last_candidate);
  decision =
      fixture.Return(decision, ReturnReason::kFull, MakeOpeningPacket(1));
  CHECK(decision.kind == DirectorDecision::Kind::kHold);
  CHECK(decision.error == ErrorKind::kOverloaded);
}

TEST_CASE(
    "a new flow without a route is reset, but not before the first targets") {
  DirectorFixture fixture;
  FlowPacket packet = MakeOpeningPacket(1);
  packet.flow.route = kOtherRoute;
  CHECK(fixture.Send(packet).kind == DirectorDecision::Kind::kReset);
  packet.syn = false;
  CHECK(fixture.Send(packet).kind == DirectorDecision::Kind::kDrop);

  ActiveRoutes no_routes;
  FlowDirector director_without_targets(fixture.now, DomainId{1},
                                        &fixture.members, &no_routes,
                                        DirectorLimits(), &PlaceByResponseTime);
  CHECK(director_without_targets
            .OnCallerPacket(fixture.now, MakeOpeningPacket(1), {})
            .kind == DirectorDecision::Kind::kHold);
  CHECK_FALSE(director_without_targets.CanServe(fixture.now));
}

TEST_CASE("open flows of a removed route are reset, others are forwarded") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeOpeningPacket(1));
  fixture.director.OnFlowConfirmed(fixture.now, first.agent,
                                   MakeOpeningPacket(1).flow, false);
  fixture.routes.Adopt(MakeRouteTable(
      2, {MakeRoute(kRoute, "stock"), MakeRoute(kOtherRoute, "media")}));
  CHECK(fixture.Send(MakeLaterPacket(1)).agent == first.agent);
  fixture.routes.Adopt(MakeRouteTable(3, {MakeRoute(kOtherRoute, "media")}));
  CHECK(fixture.Send(MakeLaterPacket(1)).kind ==
        DirectorDecision::Kind::kReset);
}

TEST_CASE(
    "flows of a dead agent are reset, those of an unreachable one are not") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeOpeningPacket(1));
  fixture.director.OnFlowConfirmed(fixture.now, first.agent,
                                   MakeOpeningPacket(1).flow, false);
  fixture.UseFlow(1);
  const auto receive_other_statuses = [&] {
    for (const uint64_t id : {11, 12, 13}) {
      if (MemberId{id} != first.agent) {
        fixture.ReceiveStatus(id, "stock");
      }
    }
  };
  ServiceRoute route = MakeRoute(kRoute, "stock");
  route.repeatable = false;
  fixture.routes.Adopt(MakeRouteTable(2, {route}));
  for (int i = 0; i < 5; ++i) {
    fixture.now += Milliseconds(800);
    receive_other_statuses();
  }
  CHECK(fixture.Send(MakeLaterPacket(1)).kind ==
        DirectorDecision::Kind::kForward);
  for (int i = 0; i < 3; ++i) {
    fixture.now += Milliseconds(800);
    receive_other_statuses();
  }
  CHECK(fixture.Send(MakeLaterPacket(1)).kind ==
        DirectorDecision::Kind::kReset);
}

// Seen in a hunt: a balancer that was suspended sent an old opening packet to a
// second server; later that server's host was suspended.
TEST_CASE(
    "a flow is searched if its assumed owner falls silent before its use") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeOpeningPacket(1));
  fixture.director.OnFlowConfirmed(fixture.now, first.agent,
                                   MakeOpeningPacket(1).flow, false);
  for (int i = 0; i < 4; ++i) {
    fixture.now += Milliseconds(500);
    for (const uint64_t id : {11, 12, 13}) {
      if (MemberId{id} != first.agent) {
        fixture.ReceiveStatus(id, "stock");
      }
    }
  }
  const DirectorDecision search = fixture.Send(MakeLaterPacket(1));
  CHECK(search.kind == DirectorDecision::Kind::kForward);
  CHECK(search.agent != first.agent);
  CHECK(search.header.search);
}

TEST_CASE(
    "repeatable requests leave a suspected agent unless it stops as planned") {
  const auto kind_after_silence = [](bool repeatable, bool leaving) {
    DirectorFixture fixture;
    ServiceRoute route = MakeRoute(kRoute, "stock");
    route.repeatable = repeatable;
    fixture.routes.Adopt(MakeRouteTable(2, {route}));
    const DirectorDecision first = fixture.Send(MakeOpeningPacket(1));
    fixture.director.OnFlowConfirmed(fixture.now, first.agent,
                                     MakeOpeningPacket(1).flow, false);
    fixture.UseFlow(1);
    if (leaving) {
      fixture.ReceiveStatus(first.agent.value, "stock", AgentState::kReady, 0,
                            true);
    }
    for (int i = 0; i < 4; ++i) {
      fixture.now += Milliseconds(500);
      for (const uint64_t id : {11, 12, 13}) {
        if (MemberId{id} != first.agent) {
          fixture.ReceiveStatus(id, "stock");
        }
      }
    }
    return fixture.Send(MakeLaterPacket(1)).kind;
  };
  CHECK(kind_after_silence(true, false) == DirectorDecision::Kind::kReset);
  CHECK(kind_after_silence(false, false) == DirectorDecision::Kind::kForward);
  CHECK(kind_after_silence(true, true) == DirectorDecision::Kind::kForward);
}

/// A flow to an idempotent route; then its agent is silent, while the others
/// are heard and the agent's host answers probes.
struct SilentOwnerFixture : DirectorFixture {
  DirectorDecision opening;

  SilentOwnerFixture() {
    ServiceRoute route = MakeRoute(kRoute, "stock");
    route.repeatable = true;
    routes.Adopt(MakeRouteTable(2, {route}));
    opening = Send(MakeOpeningPacket(1));
    director.OnFlowConfirmed(now, opening.agent, MakeOpeningPacket(1).flow,
                             false);
    UseFlow(1);
  }
  /// Delivers a status of a balancer that hears this number of agents.
  void HearBalancer(uint32_t status_sequence, uint32_t agents) {
    proto::PeerStatus status =
        MakeStatus(now, 50, MemberRole::kBalancer, status_sequence);
    status.set_agents_heard(agents);
    members.OnStatus(now, status);
  }
  /// Lets time pass. @param outcome of each probe that is due
  void RunFor(Duration duration, ProbeOutcome outcome) {
    for (const TimePoint end = now + duration; now < end;) {
      now += Milliseconds(100);
      for (const uint64_t id : {11, 12, 13}) {
        if (MemberId{id} != opening.agent) {
          ReceiveStatus(id, "stock");
        }
      }
      ReceiveStatus(20, "media");
      for (const MemberId id : members.TakeDueProbes(now, 4)) {
        members.OnProbe(now, id, outcome);
      }
    }
  }
};

TEST_CASE(
    "open flows of a silent agent were reset though its host accepts probes") {
  SilentOwnerFixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.RunFor(Milliseconds(500), ProbeOutcome::kAccepted);
    const DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
    CHECK(decision.kind == DirectorDecision::Kind::kForward);
    CHECK(decision.agent == fixture.opening.agent);
  }
  CHECK(fixture.director.Counters().silence_resets == 0);
}

TEST_CASE("open flows of a host that answers no probe are reset in time") {
  SilentOwnerFixture fixture;
  fixture.RunFor(Milliseconds(1800), ProbeOutcome::kNoAnswer);
  CHECK(fixture.Send(MakeLaterPacket(1)).kind ==
        DirectorDecision::Kind::kForward);
  fixture.RunFor(Milliseconds(100), ProbeOutcome::kNoAnswer);
  const DirectorDecision reset = fixture.Send(MakeLaterPacket(1));
  CHECK(reset.kind == DirectorDecision::Kind::kReset);
  CHECK(reset.evidence.owner_probe == ProbeOutcome::kNoAnswer);
}

TEST_CASE("a refused probe resets no flow while the agent restarts") {
  SilentOwnerFixture fixture;
  fixture.RunFor(Seconds(3), ProbeOutcome::kAccepted);
  fixture.RunFor(Milliseconds(900), ProbeOutcome::kRefused);
  CHECK(fixture.Send(MakeLaterPacket(1)).kind ==
        DirectorDecision::Kind::kForward);
  fixture.ReceiveAllStatuses();
  CHECK(fixture.Send(MakeLaterPacket(1)).kind ==
        DirectorDecision::Kind::kForward);
}

TEST_CASE("a planned restart of an agent that takes 7 s resets its flows") {
  SilentOwnerFixture fixture;
  fixture.ReceiveStatus(fixture.opening.agent.value, "stock",
                        AgentState::kReady, 0, true);
  for (int i = 0; i < 14; ++i) {
    fixture.RunFor(Milliseconds(500), ProbeOutcome::kRefused);
    CHECK(fixture.Send(MakeLaterPacket(1)).kind ==
          DirectorDecision::Kind::kForward);
  }
  fixture.RunFor(MembershipTimeouts().planned_restart, ProbeOutcome::kRefused);
  CHECK(fixture.Send(MakeLaterPacket(1)).kind ==
        DirectorDecision::Kind::kReset);
}

TEST_CASE("a flow is reset for silence although a balancer hears its agent") {
  SilentOwnerFixture fixture;
  ServiceRoute route = MakeRoute(kRoute, "stock");
  route.repeatable = false;
  fixture.routes.Adopt(MakeRouteTable(3, {route}));
  for (uint32_t i = 1; i <= 16; ++i) {
    fixture.RunFor(Milliseconds(500), ProbeOutcome::kNoAnswer);
    fixture.HearBalancer(i, 4);
    CHECK(fixture.Send(MakeLaterPacket(1)).kind !=
          DirectorDecision::Kind::kReset);
  }
  fixture.HearBalancer(17, 3);
  CHECK(fixture.Send(MakeLaterPacket(1)).kind ==
        DirectorDecision::Kind::kReset);
}

TEST_CASE(
    "a flow of a removed agent is dropped while counts of agents differ") {
  SilentOwnerFixture fixture;
  const TimePoint removed_at = fixture.now + MembershipTimeouts().removal;
  fixture.RunFor(removed_at + Seconds(1) - fixture.now,
                 ProbeOutcome::kAccepted);
  fixture.members.OnTick(fixture.now);
  REQUIRE(fixture.members.Find(fixture.opening.agent) == nullptr);
  fixture.HearBalancer(1, 9);
  const DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  CHECK(decision.kind == DirectorDecision::Kind::kForward);
  CHECK(decision.header.search);
}

TEST_CASE("a search ended without a silent agent whose host accepts probes") {
  SilentOwnerFixture fixture;
  fixture.RunFor(Seconds(8), ProbeOutcome::kAccepted);
  DirectorDecision decision = fixture.Send(MakeLaterPacket(2));
  for (int asked = 0;
       asked < 3 && decision.kind == DirectorDecision::Kind::kForward &&
       decision.agent != fixture.opening.agent;
       ++asked) {
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(2));
  }
  CHECK(decision.kind == DirectorDecision::Kind::kForward);
  CHECK(decision.agent == fixture.opening.agent);
}

TEST_CASE("a flow is reset by older targets than a member states") {
  DirectorFixture fixture;
  fixture.routes.Adopt(MakeRouteTable(2, {MakeRoute(kOtherRoute, "stock")}));
  CHECK(fixture.Send(MakeLaterPacket(1)).kind ==
        DirectorDecision::Kind::kReset);
  proto::PeerStatus status =
      MakeStatus(fixture.now, 50, MemberRole::kBalancer, 1);
  status.mutable_self()->set_revision(3);
  fixture.members.OnStatus(fixture.now, status);
  CHECK(fixture.Send(MakeLaterPacket(1)).kind == DirectorDecision::Kind::kDrop);
}

TEST_CASE("an isolated balancer leaves the rotation until it hears a member") {
  DirectorFixture fixture;
  CHECK(fixture.director.CanServe(fixture.now));
  fixture.now += Milliseconds(600);
  CHECK_FALSE(fixture.director.CanServe(fixture.now));
  fixture.ReceiveStatus(11, "stock");
  CHECK(fixture.director.CanServe(fixture.now));
}

TEST_CASE("a balancer that reaches no agent does not reset open flows") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeOpeningPacket(1));
  fixture.director.OnFlowConfirmed(fixture.now, first.agent,
                                   MakeOpeningPacket(1).flow, false);
  fixture.now += Seconds(8);
  CHECK(fixture.Send(MakeLaterPacket(1)).kind ==
        DirectorDecision::Kind::kForward);
  CHECK_FALSE(fixture.director.CanServe(fixture.now));
}

TEST_CASE(
    "an owner that changed its service gets the flow's service in the header") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeOpeningPacket(1));
  fixture.director.OnFlowConfirmed(fixture.now, first.agent,
                                   MakeOpeningPacket(1).flow, false);
  fixture.ReceiveStatus(first.agent.value, "media");
  const DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  CHECK(decision.header.service == ServiceIdOf("stock"));
  const DirectorDecision next =
      fixture.Return(decision, ReturnReason::kWrongService, MakeLaterPacket(1));
  CHECK(next.agent != first.agent);
}

TEST_CASE("a full flow table resets new flows") {
  DirectorFixture fixture;
  DirectorLimits limits;
  limits.max_flows = 2;
  FlowDirector small_director(fixture.now, DomainId{1}, &fixture.members,
                              &fixture.routes, limits, &PlaceByResponseTime);
  small_director.OnCallerPacket(fixture.now, MakeOpeningPacket(1), {});
  small_director.OnCallerPacket(fixture.now, MakeOpeningPacket(2), {});
  const DirectorDecision third =
      small_director.OnCallerPacket(fixture.now, MakeOpeningPacket(3), {});
  CHECK(third.kind == DirectorDecision::Kind::kReset);
  CHECK(third.error == ErrorKind::kOverloaded);
}

TEST_CASE("new flows are split by hash according to the route's weights") {
  ServiceRoute route = MakeRoute(kRoute, "stock");
  route.shares = {{ServiceIdOf("stock"), 90}, {ServiceIdOf("trial"), 10}};
  int trial_flows = 0;
  constexpr int kFlows = 20000;
  for (int i = 0; i < kFlows; ++i) {
    FlowKey key{{0x64400001U + static_cast<uint32_t>(i) / 1000,
                 static_cast<uint16_t>(1000 + i % 1000)},
                kRoute};
    const ServiceId chosen = ActiveRoutes::SelectService(route, HashFlow(key));
    trial_flows += chosen == ServiceIdOf("trial") ? 1 : 0;
  }
  CHECK(trial_flows == doctest::Approx(kFlows * 0.1).epsilon(0.1));
}

TEST_CASE("a route table of an older revision is ignored") {
  ActiveRoutes routes;
  CHECK(routes.Adopt(MakeRouteTable(7, {MakeRoute(kRoute, "stock")})));
  CHECK_FALSE(routes.Adopt(MakeRouteTable(6, {})));
  CHECK_FALSE(routes.Adopt(MakeRouteTable(7, {})));
  CHECK(routes.Find(kRoute) != nullptr);
  CHECK(routes.Adopt(MakeRouteTable(9, {})));
  CHECK(routes.Find(kRoute) == nullptr);
  CHECK(routes.HadRoute(kRoute));
}

}  // namespace
}  // namespace medlargauge

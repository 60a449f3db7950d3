// @file flow_waiting_test.cc Tests of decisions that FlowDirector takes later.
#include <doctest/doctest.h>

#include "src/forwarding/director_fixture.h"
#include "src/forwarding/member_fixture.h"

namespace medlargauge {
namespace {

using namespace director_fixture;  // NOLINT(google-build-using-namespace)
using member_fixture::MakeStatus;

using Kind = DirectorDecision::Kind;

/// Sends an opening packet that every agent returns as busy or full.
DirectorDecision OpenAtFullServers(DirectorFixture* fixture, uint16_t port) {
  DirectorDecision decision = fixture->Send(MakeOpeningPacket(port));
  while (decision.kind == Kind::kForward) {
    const ReturnReason reason = decision.header.last_candidate
                                    ? ReturnReason::kFull
                                    : ReturnReason::kBusy;
    decision = fixture->Return(decision, reason, MakeOpeningPacket(port));
  }
  return decision;
}

/// Runs the director's timers until it decides about a stored packet, at most
/// for the given time.
std::vector<DeferredDecision> RunFor(DirectorFixture* fixture, Duration time) {
  const TimePoint end = fixture->now + time;
  while (fixture->now < end) {
    fixture->now += Milliseconds(20);
    std::vector<DeferredDecision> decisions =
        fixture->director.OnTick(fixture->now);
    if (!decisions.empty()) {
      return decisions;
    }
  }
  return {};
}

TEST_CASE("a new flow that finds all servers full waits for a free slot") {
  DirectorFixture fixture;
  CHECK(OpenAtFullServers(&fixture, 1).kind == Kind::kHold);
  CHECK(fixture.director.HeldCount() == 1);
  const std::vector<DeferredDecision> decisions =
      RunFor(&fixture, Milliseconds(100));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].decision.kind == Kind::kForward);
  CHECK(decisions[0].raw == fixture.raw);
  fixture.director.OnFlowConfirmed(fixture.now, decisions[0].decision.agent,
                                   MakeOpeningPacket(1).flow, false);
  CHECK(fixture.director.HeldCount() == 0);
  CHECK(fixture.Send(MakeLaterPacket(1)).agent == decisions[0].decision.agent);
}

TEST_CASE("a new flow is sent with the time that is left to its goal") {
  // Guards against agents that admit a flow by its whole goal after it waited.
  DirectorFixture fixture;
  CHECK(fixture.Send(MakeOpeningPacket(2)).header.response_limit_ms == 200);
  OpenAtFullServers(&fixture, 1);
  const TimePoint opened_at = fixture.now;
  const std::vector<DeferredDecision> decisions =
      RunFor(&fixture, Milliseconds(100));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].decision.header.response_limit_ms ==
        200 - ToMilliseconds(fixture.now - opened_at));
  // The goal of 200 ms counts from the first copy, the limit is 3 s.
  FlowPacket copy = MakeOpeningPacket(3);
  copy.acknowledged = 1;
  const DirectorDecision late = fixture.Send(copy);
  CHECK(late.header.response_limit_ms == 2800);
  CHECK_FALSE(late.header.last_candidate);
}

TEST_CASE("a late flow takes no place in a queue before new flows") {
  DirectorFixture fixture;
  OpenAtFullServers(&fixture, 1);
  fixture.now += Milliseconds(220);
  fixture.ReceiveAllStatuses();
  const std::vector<DeferredDecision> decisions =
      RunFor(&fixture, Milliseconds(100));
  REQUIRE(decisions.size() == 1);
  CHECK_FALSE(decisions[0].decision.header.last_candidate);
  CHECK(fixture
            .Return(decisions[0].decision, ReturnReason::kBusy,
                    MakeOpeningPacket(1))
            .kind == Kind::kHold);
}

TEST_CASE("a flow that can't be served leaves its caller time for a new try") {
  DirectorFixture fixture;
  OpenAtFullServers(&fixture, 1);
  const TimePoint opened_at = fixture.now;
  FlowPacket copy = MakeOpeningPacket(1);
  bool was_reset = false;
  while (!was_reset && fixture.now - opened_at < Seconds(2)) {
    for (const DeferredDecision& deferred :
         RunFor(&fixture, Milliseconds(20))) {
      was_reset = was_reset || deferred.decision.kind == Kind::kReset;
      if (deferred.decision.kind == Kind::kForward) {
        fixture.Return(deferred.decision, ReturnReason::kBusy,
                       MakeOpeningPacket(1));
      }
    }
    const bool copy_is_due =
        fixture.now - opened_at == Milliseconds(200 + 400 * copy.acknowledged);
    if (copy_is_due && copy.acknowledged < 2) {
      ++copy.acknowledged;
      fixture.Send(copy);
    }
    fixture.ReceiveAllStatuses();
  }
  CHECK(was_reset);
  CHECK(fixture.now - opened_at <= Milliseconds(1300));  // Timeout: 3 s.
  CHECK(fixture.director.HeldCount() == 0);
}

TEST_CASE("a waiting flow whose caller gave up is dropped") {
  DirectorFixture fixture;
  OpenAtFullServers(&fixture, 1);
  while (fixture.director.HeldCount() > 0 &&
         fixture.now < TimePoint(Seconds(200))) {
    for (const DeferredDecision& deferred :
         RunFor(&fixture, Milliseconds(20))) {
      REQUIRE(deferred.decision.kind == Kind::kForward);
      fixture.Return(deferred.decision, ReturnReason::kBusy,
                     MakeOpeningPacket(1));
    }
    fixture.ReceiveAllStatuses();
  }
  // No copy came after 200 ms.
  CHECK(fixture.now - TimePoint(Seconds(105)) <= Milliseconds(400));
}

TEST_CASE("packets that come before the targets are decided once they come") {
  DirectorFixture fixture;
  ActiveRoutes routes;
  FlowDirector director(fixture.now, DomainId{1}, &fixture.members, &routes,
                        DirectorLimits(), &PlaceByResponseTime);
  const auto send = [&](const FlowPacket& packet) {
    return director.OnCallerPacket(fixture.now, packet, fixture.Raw()).kind;
  };
  CHECK(send(MakeOpeningPacket(1)) == Kind::kHold);
  CHECK(send(MakeLaterPacket(2)) == Kind::kHold);
  FlowPacket unknown = MakeOpeningPacket(3);
  unknown.flow.route = kOtherRoute;
  CHECK(send(unknown) == Kind::kHold);
  fixture.now += Milliseconds(500);
  CHECK(director.OnTick(fixture.now).empty());
  routes.Adopt(MakeRouteTable(1, {MakeRoute(kRoute, "stock")}));
  const std::vector<DeferredDecision> decisions = director.OnTick(fixture.now);
  REQUIRE(decisions.size() == 3);
  CHECK(decisions[0].decision.kind == Kind::kForward);
  CHECK(decisions[0].packet.syn);
  CHECK(decisions[1].decision.header.search);
  CHECK(decisions[2].decision.kind == Kind::kReset);
}

TEST_CASE("an opening packet is not kept for longer than its caller waits") {
  DirectorFixture fixture;
  ActiveRoutes routes;
  FlowDirector director(fixture.now, DomainId{1}, &fixture.members, &routes,
                        DirectorLimits(), &PlaceByResponseTime);
  director.OnCallerPacket(fixture.now, MakeOpeningPacket(1), fixture.Raw());
  fixture.now += Milliseconds(1400);
  routes.Adopt(MakeRouteTable(1, {MakeRoute(kRoute, "stock")}));
  CHECK(director.OnTick(fixture.now).empty());
}

/// A balancer that has no targets yet.
struct NoTargetsFixture : DirectorFixture {
  ActiveRoutes no_routes;
  FlowDirector new_director{now,        DomainId{1},      &members,
                            &no_routes, DirectorLimits(), &PlaceByResponseTime};

  DirectorDecision SendToNew(const FlowPacket& packet) {
    return new_director.OnCallerPacket(now, packet, Raw());
  }

  /// Runs the timers until a flow is reset. @return false if none is in time
  bool IsResetWithin(Duration time) {
    for (const TimePoint end = now + time; now < end; now += Milliseconds(20)) {
      for (const DeferredDecision& deferred : new_director.OnTick(now)) {
        CHECK(deferred.decision.kind == Kind::kReset);
        CHECK(deferred.packet.syn);
        return true;
      }
    }
    return false;
  }
};

TEST_CASE("a new flow waits although the store has been silent for long") {
  NoTargetsFixture fixture;
  fixture.new_director.SetTargetOutlook(
      {false, fixture.now - Milliseconds(10100)});
  CHECK(fixture.SendToNew(MakeOpeningPacket(1)).kind == Kind::kReset);
  CHECK(fixture.new_director.HeldCount() == 0);
}

TEST_CASE("a new flow waits to its limit for a store that stays silent") {
  NoTargetsFixture fixture;
  fixture.new_director.SetTargetOutlook(
      {false, fixture.now - Milliseconds(9700)});
  CHECK(fixture.SendToNew(MakeOpeningPacket(1)).kind == Kind::kHold);
  CHECK_FALSE(fixture.IsResetWithin(Milliseconds(280)));
  CHECK(fixture.IsResetWithin(Milliseconds(60)));
  CHECK(fixture.new_director.HeldCount() == 0);
}

TEST_CASE("a new flow is reset although a peer has the targets") {
  NoTargetsFixture fixture;
  fixture.new_director.SetTargetOutlook({true, fixture.now - Seconds(30)});
  CHECK(fixture.SendToNew(MakeOpeningPacket(1)).kind == Kind::kHold);
  CHECK_FALSE(fixture.IsResetWithin(Milliseconds(1100)));
  fixture.ReceiveAllStatuses();
  fixture.no_routes.Adopt(MakeRouteTable(1, {MakeRoute(kRoute, "stock")}));
  const std::vector<DeferredDecision> decisions =
      fixture.new_director.OnTick(fixture.now);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].decision.kind == Kind::kForward);
}

TEST_CASE("a caller that waited in vain for the targets is not told") {
  NoTargetsFixture fixture;
  fixture.new_director.SetTargetOutlook({true, TimePoint()});
  CHECK(fixture.SendToNew(MakeOpeningPacket(1)).kind == Kind::kHold);
  CHECK(fixture.IsResetWithin(Milliseconds(1300)));
}

TEST_CASE("an open flow is reset because the balancer lacks targets") {
  NoTargetsFixture fixture;
  fixture.new_director.SetTargetOutlook({false, fixture.now - Seconds(30)});
  CHECK(fixture.SendToNew(MakeLaterPacket(1)).kind == Kind::kHold);
  CHECK_FALSE(fixture.IsResetWithin(Seconds(3)));
}

TEST_CASE("a search goes on without the caller when an agent stays silent") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeLaterPacket(1));
  const std::vector<DeferredDecision> decisions =
      RunFor(&fixture, Milliseconds(150));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].decision.kind == Kind::kForward);
  CHECK(decisions[0].decision.agent != first.agent);
  CHECK(decisions[0].raw == fixture.raw);
}

TEST_CASE(
    "a search for a packet without data waits for the caller's next one") {
  DirectorFixture fixture;
  FlowPacket packet = MakeLaterPacket(1);
  packet.data_length = 0;
  const DirectorDecision first = fixture.Send(packet);
  CHECK(first.kind == Kind::kForward);
  const std::vector<DeferredDecision> decisions =
      RunFor(&fixture, Milliseconds(150));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].decision.kind == Kind::kForward);
  CHECK(decisions[0].decision.agent != first.agent);
}

TEST_CASE("a packet without data replaces a request whose owner is searched") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeLaterPacket(1));
  FlowPacket packet = MakeLaterPacket(1);
  packet.data_length = 0;
  fixture.Send(packet);
  const std::vector<DeferredDecision> decisions =
      RunFor(&fixture, Milliseconds(150));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].packet.data_length > 0);
}

TEST_CASE("a search that asked all known agents asks a new one at once") {
  DirectorFixture fixture;
  fixture.ReceiveStatus(14, "stock");  // More agents may be discovered soon.
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  while (decision.kind == Kind::kForward) {
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  CHECK(decision.kind == Kind::kHold);
  CHECK(RunFor(&fixture, Milliseconds(100)).empty());
  fixture.ReceiveStatus(15, "stock");
  const std::vector<DeferredDecision> decisions =
      RunFor(&fixture, Milliseconds(40));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].decision.agent == MemberId{15});
}

/// A balancer that has just started, in a fleet that restarted as a whole.
struct RestartFixture : DirectorFixture {
  MembershipTable new_members{MemberId{1}, MembershipTimeouts()};
  FlowDirector new_director{now,     DomainId{1},      &new_members,
                            &routes, DirectorLimits(), &PlaceByResponseTime};

  uint32_t agents_reported =
      0;  ///< Agents heard, as reported in statuses of agents.

  /// Delivers the first status of a balancer that hears `agents` agents.
  void HearBalancer(uint32_t agents) {
    proto::PeerStatus status = MakeStatus(now, 2, MemberRole::kBalancer, 1);
    status.set_agents_heard(agents);
    new_members.OnStatus(now, status);
  }
  /// Delivers the first status of an agent, whose address equals its id.
  void Hear(uint64_t id) {
    FleetMember member;
    member.id = MemberId{id};
    member.role = MemberRole::kAgent;
    member.ip = static_cast<uint32_t>(id);
    member.incarnation = 2;
    member.service = ServiceIdOf("stock");
    member.state = AgentState::kReady;
    proto::PeerStatus status;
    *status.mutable_self() = EncodeMember(now, member);
    status.set_sequence(1);
    status.set_agents_heard(agents_reported);
    new_members.OnStatus(now, status);
  }
  /// Sends a packet of an old flow; each agent that is asked denies the flow.
  DirectorDecision SendAndDeny() {
    DirectorDecision decision =
        new_director.OnCallerPacket(now, MakeLaterPacket(1), Raw());
    while (decision.kind == Kind::kForward) {
      decision =
          new_director.OnReturned(now, decision.agent, ReturnReason::kBounced,
                                  MemberId(), MakeLaterPacket(1), Raw());
    }
    return decision;
  }
};

TEST_CASE("once all registered agents deny a flow, it is reset") {
  RestartFixture fixture;
  fixture.new_members.SetRegisteredAgents(fixture.now, {21, 22, 23});
  fixture.Hear(21);
  fixture.Hear(22);
  fixture.now += Milliseconds(50);
  CHECK(fixture.SendAndDeny().kind == Kind::kHold);
  fixture.Hear(23);
  // Agents that the list lacks may not have been heard yet.
  CHECK(fixture.SendAndDeny().kind == Kind::kHold);
  fixture.now += Milliseconds(600);
  for (const uint64_t id : {21, 22, 23}) {
    fixture.Hear(id);
  }
  CHECK(fixture.SendAndDeny().kind == Kind::kReset);
}

TEST_CASE("a flow is not reset while a balancer knows of more members") {
  RestartFixture fixture;
  fixture.now += Milliseconds(400);
  fixture.Hear(21);
  FleetMember peer;
  peer.id = MemberId{2};
  peer.ip = 2;
  peer.incarnation = 1;
  proto::PeerStatus status;
  *status.mutable_self() = EncodeMember(fixture.now, peer);
  status.set_sequence(1);
  status.set_members(3);
  fixture.now += Milliseconds(310);
  fixture.new_members.OnStatus(fixture.now, status);
  CHECK(fixture.SendAndDeny().kind == Kind::kHold);
  fixture.Hear(22);
  fixture.now += Milliseconds(310);
  fixture.Hear(21);
  CHECK(fixture.SendAndDeny().kind == Kind::kReset);
}

TEST_CASE("a balancer that met no other resets no flow of unknown agents") {
  RestartFixture fixture;
  fixture.Hear(21);
  for (int i = 0; i < 20; ++i) {
    fixture.now += Milliseconds(300);
    fixture.Hear(21);
    CHECK(fixture.SendAndDeny().kind != Kind::kReset);
  }
  fixture.HearBalancer(1);
  CHECK(fixture.SendAndDeny().kind == Kind::kReset);
}

TEST_CASE("a flow is not reset while an agent reports more agents") {
  RestartFixture fixture;
  fixture.new_members.OnFleetMet();
  fixture.agents_reported = 2;
  for (int i = 0; i < 10; ++i) {
    fixture.now += Milliseconds(300);
    fixture.Hear(21);
    CHECK(fixture.SendAndDeny().kind != Kind::kReset);
  }
  fixture.Hear(22);
  fixture.now += Milliseconds(310);
  fixture.Hear(21);
  CHECK(fixture.SendAndDeny().kind == Kind::kReset);
}

TEST_CASE("quiet does not end a search while a registered agent is unheard") {
  RestartFixture fixture;
  fixture.new_members.SetRegisteredAgents(fixture.now, {21, 22});
  for (int i = 0; i < 10; ++i) {
    fixture.now += Milliseconds(300);
    fixture.Hear(21);
    CHECK(fixture.SendAndDeny().kind != Kind::kReset);
  }
  fixture.now += MembershipTimeouts().presumed_dead;
  fixture.Hear(21);
  CHECK(fixture.SendAndDeny().kind == Kind::kReset);
}

TEST_CASE("without the store's list, agents get time to join") {
  RestartFixture fixture;
  fixture.new_members.OnFleetMet();
  fixture.Hear(21);
  fixture.now += Milliseconds(400);
  CHECK(fixture.SendAndDeny().kind == Kind::kHold);
  fixture.now += Milliseconds(300);
  fixture.Hear(21);
  CHECK(fixture.SendAndDeny().kind == Kind::kReset);
}

TEST_CASE("a new flow waits while agents wait for their servers") {
  DirectorFixture fixture;
  for (const uint64_t id : {11, 12, 13}) {
    fixture.ReceiveStatus(id, "stock", AgentState::kJoining);
  }
  DirectorDecision decision = fixture.Send(MakeOpeningPacket(1));
  while (decision.kind == DirectorDecision::Kind::kForward) {
    decision = fixture.Return(decision, ReturnReason::kServerDown,
                              MakeOpeningPacket(1));
  }
  CHECK(decision.kind == DirectorDecision::Kind::kHold);
  fixture.now += Milliseconds(60);
  fixture.ReceiveStatus(12, "stock");
  const std::vector<DeferredDecision> released =
      fixture.director.OnTick(fixture.now);
  REQUIRE(released.size() == 1);
  CHECK(released.front().decision.kind == DirectorDecision::Kind::kForward);
  CHECK(released.front().decision.agent == MemberId{12});
}

}  // namespace
}  // namespace medlargauge

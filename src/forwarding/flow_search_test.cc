// @file flow_search_test.cc Tests of the search for the owner of a flow.
#include <doctest/doctest.h>

#include "src/forwarding/director_fixture.h"

namespace medlargauge {
namespace {

using namespace director_fixture;  // NOLINT(google-build-using-namespace)

TEST_CASE("an unproven confirmation does not end a search") {
  DirectorFixture fixture;
  const DirectorDecision asked = fixture.Send(MakeLaterPacket(1));
  fixture.director.OnFlowConfirmed(fixture.now, asked.agent,
                                   MakeLaterPacket(1).flow, false);
  CHECK(fixture.Send(MakeLaterPacket(1)).header.search);
  fixture.director.OnFlowConfirmed(fixture.now, asked.agent,
                                   MakeLaterPacket(1).flow, true);
  CHECK_FALSE(fixture.Send(MakeLaterPacket(1)).header.search);
}

TEST_CASE("an unknown flow is searched once at each agent of its service") {
  DirectorFixture fixture;
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  std::vector<MemberId> asked;
  while (decision.kind == DirectorDecision::Kind::kForward) {
    CHECK(decision.header.search);
    CHECK(decision.agent != MemberId{20});
    CHECK(std::find(asked.begin(), asked.end(), decision.agent) == asked.end());
    asked.push_back(decision.agent);
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  CHECK(asked.size() == 3);
  CHECK(decision.kind == DirectorDecision::Kind::kReset);
  CHECK(decision.error == ErrorKind::kFlowUnknown);
}

TEST_CASE("a search does not end while an agent is unreachable") {
  DirectorFixture fixture;
  fixture.now += Milliseconds(1500);
  fixture.ReceiveStatus(11, "stock");
  fixture.ReceiveStatus(12, "stock");
  // Agent 13 is unreachable and may own the flow.
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  decision =
      fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  decision =
      fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  CHECK(decision.kind == DirectorDecision::Kind::kForward);
  CHECK(decision.agent == MemberId{13});
  for (int i = 0; i < 5; ++i) {
    fixture.now += Milliseconds(200);
    CHECK(fixture.Send(MakeLaterPacket(1)).agent == MemberId{13});
  }
}

/// Hears agents 11 and 12 until agent 13 is suspected, and sends a packet of an
/// unknown flow, which both of them return.
/// @return the decision after that
DirectorDecision SearchBesideSuspectedAgent(DirectorFixture* fixture) {
  for (int i = 0; i < 20; ++i) {
    fixture->now += Milliseconds(100);
    fixture->ReceiveStatus(11, "stock");
    fixture->ReceiveStatus(12, "stock");
  }
  REQUIRE(fixture->members.IsSuspected(fixture->now,
                                       *fixture->members.Find(MemberId{13})));
  DirectorDecision decision = fixture->Send(MakeLaterPacket(1));
  decision =
      fixture->Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  return fixture->Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
}

TEST_CASE("callers of dead flows waited for one dark agent to be given up") {
  DirectorFixture fixture;
  const DirectorDecision decision = SearchBesideSuspectedAgent(&fixture);
  CHECK(decision.kind == DirectorDecision::Kind::kReset);
  CHECK(decision.evidence.denials == 2);
  CHECK(fixture.director.Counters().silence_resets == 1);
}

TEST_CASE("a flow that may not be repeated waits for a suspected agent") {
  DirectorFixture fixture;
  ServiceRoute route = MakeRoute(kRoute, "stock");
  route.repeatable = false;
  fixture.routes.Adopt(MakeRouteTable(2, {route}));
  const DirectorDecision decision = SearchBesideSuspectedAgent(&fixture);
  CHECK(decision.kind == DirectorDecision::Kind::kForward);
  CHECK(decision.agent == MemberId{13});
}

TEST_CASE("a search waits for an agent that left a packet unanswered") {
  DirectorFixture fixture;
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  const MemberId silent = decision.agent;
  fixture.now += Milliseconds(150);
  fixture.ReceiveAllStatuses();
  decision = fixture.Send(MakeLaterPacket(1));
  CHECK(decision.agent != silent);
  CHECK(fixture.members.TakeDueProbes(fixture.now, 4) ==
        std::vector<MemberId>{silent});
  decision =
      fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  decision =
      fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  CHECK(decision.kind == DirectorDecision::Kind::kForward);
  CHECK(decision.agent == silent);
}

TEST_CASE(
    "an agent that does not answer a search is skipped, then asked again") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeLaterPacket(1));
  fixture.now += Milliseconds(200);
  const DirectorDecision second = fixture.Send(MakeLaterPacket(1));
  CHECK(second.agent != first.agent);
  const DirectorDecision third =
      fixture.Return(second, ReturnReason::kBounced, MakeLaterPacket(1));
  DirectorDecision last =
      fixture.Return(third, ReturnReason::kBounced, MakeLaterPacket(1));
  // Only the unresponsive agent is left: it is asked again, and the flow is not
  // reset.
  CHECK(last.kind == DirectorDecision::Kind::kForward);
  CHECK(last.agent == first.agent);
}

TEST_CASE("a search does not wait for an agent that left a stopped server") {
  DirectorFixture fixture;
  fixture.ReceiveStatus(13, "stock", AgentState::kGone, 0, true);
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  for (int asked = 0; asked < 2; ++asked) {
    CHECK(decision.agent != MemberId{13});
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  CHECK(decision.kind == DirectorDecision::Kind::kReset);
}

TEST_CASE("an agent whose server was down for a moment is asked again") {
  DirectorFixture fixture;
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  const MemberId was_down = decision.agent;
  decision =
      fixture.Return(decision, ReturnReason::kServerDown, MakeLaterPacket(1));
  CHECK(decision.agent != was_down);
  decision =
      fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  CHECK(decision.agent != was_down);
  fixture.now += Milliseconds(100);
  fixture.ReceiveAllStatuses();
  decision =
      fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  CHECK(decision.kind == DirectorDecision::Kind::kForward);
  CHECK(decision.agent == was_down);
}

TEST_CASE("a flow is reset if the server of an agent stays down") {
  DirectorFixture fixture;
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  decision =
      fixture.Return(decision, ReturnReason::kServerDown, MakeLaterPacket(1));
  for (int i = 0; i < 2; ++i) {
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  CHECK(decision.kind == DirectorDecision::Kind::kReset);
}

TEST_CASE("a search ends at the agent that proves to hold the flow") {
  DirectorFixture fixture;
  fixture.Send(MakeLaterPacket(1));
  fixture.director.OnFlowConfirmed(fixture.now, MemberId{12},
                                   MakeLaterPacket(1).flow, true);
  const DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  CHECK(decision.agent == MemberId{12});
  CHECK_FALSE(decision.header.search);
}

TEST_CASE("a flow is searched if its agent restarted before it was proven") {
  DirectorFixture fixture;
  const DirectorDecision opened = fixture.Send(MakeOpeningPacket(1));
  fixture.director.OnFlowConfirmed(fixture.now, opened.agent,
                                   MakeOpeningPacket(1).flow, false);
  SUBCASE("restarted before the caller's first packet") {
    fixture.incarnation = 2;
    fixture.ReceiveAllStatuses();
    // The new process can't tell that the packet accepts another server.
    DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
    CHECK(decision.agent == opened.agent);
    CHECK(decision.header.search);
    fixture.now += Milliseconds(200);
    decision = fixture.Send(MakeLaterPacket(1));
    CHECK(decision.agent != opened.agent);
  }
  SUBCASE("restarted later") {
    fixture.UseFlow(1);
    fixture.Send(MakeLaterPacket(1));
    fixture.incarnation = 2;
    fixture.ReceiveAllStatuses();
    const DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
    CHECK(decision.agent == opened.agent);
    CHECK_FALSE(decision.header.search);
  }
}

TEST_CASE("a status that arrives late proves no owner") {
  DirectorFixture fixture;
  const DirectorDecision opened = fixture.Send(MakeOpeningPacket(1));
  fixture.director.OnFlowConfirmed(fixture.now, opened.agent,
                                   MakeOpeningPacket(1).flow, false);
  fixture.Send(MakeLaterPacket(1));
  fixture.now += Milliseconds(200);
  const uint32_t newest = std::exchange(fixture.sequence, 0);
  fixture.ReceiveStatus(opened.agent.value, "stock");
  fixture.sequence = newest;
  fixture.Send(MakeLaterPacket(1));
  fixture.incarnation = 2;
  fixture.ReceiveAllStatuses();
  CHECK(fixture.Send(MakeLaterPacket(1)).header.search);
}

TEST_CASE("the proof of an agent is ignored for an owner without proof") {
  DirectorFixture fixture;
  const DirectorDecision opened = fixture.Send(MakeOpeningPacket(1));
  fixture.director.OnFlowConfirmed(fixture.now, opened.agent,
                                   MakeOpeningPacket(1).flow, false);
  const MemberId other =
      opened.agent == MemberId{11} ? MemberId{12} : MemberId{11};
  fixture.director.OnFlowConfirmed(fixture.now, other,
                                   MakeOpeningPacket(1).flow, true);
  CHECK(fixture.Send(MakeLaterPacket(1)).agent == other);
}

TEST_CASE("a search includes agents that did not confirm the opening packet") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeOpeningPacket(1));
  fixture.now += Milliseconds(100);
  const std::vector<DeferredDecision> resends =
      fixture.director.OnTick(fixture.now);
  REQUIRE(resends.size() == 1);
  // The confirmation of the first agent was lost, but its server has the flow.
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  std::vector<MemberId> asked;
  while (decision.kind == DirectorDecision::Kind::kForward &&
         asked.size() < 5) {
    asked.push_back(decision.agent);
    if (decision.agent == first.agent) {
      break;
    }
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  CHECK(asked.back() == first.agent);
  CHECK(asked.size() <= 2);
}

TEST_CASE("a pointer is followed once, then all agents are asked") {
  DirectorFixture fixture;
  const DirectorDecision first = fixture.Send(MakeLaterPacket(1));
  CHECK(first.header.use_pointer);
  const MemberId owner =
      first.agent == MemberId{11} ? MemberId{12} : MemberId{11};
  DirectorDecision decision = fixture.director.OnReturned(
      fixture.now, first.agent, ReturnReason::kMoved, owner, MakeLaterPacket(1),
      fixture.Raw());
  CHECK(decision.agent == owner);
  CHECK_FALSE(decision.header.use_pointer);
  std::vector<MemberId> asked;
  while (decision.kind == DirectorDecision::Kind::kForward) {
    asked.push_back(decision.agent);
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  CHECK(asked.size() == 3);
}

TEST_CASE(
    "long-lived flows get a pointer at the agent that a search asks first") {
  DirectorFixture fixture;
  const DirectorDecision home = fixture.Send(MakeLaterPacket(7));
  const MemberId owner =
      home.agent == MemberId{11} ? MemberId{12} : MemberId{11};
  fixture.director.OnFlowConfirmed(fixture.now, owner, MakeLaterPacket(7).flow,
                                   true);
  fixture.director.OnTick(fixture.now);
  CHECK(fixture.director.TakePointers().empty());
  fixture.now += Milliseconds(1100);
  fixture.ReceiveAllStatuses();
  fixture.director.OnTick(fixture.now);
  const std::vector<OwnerPointer> pointers = fixture.director.TakePointers();
  REQUIRE(pointers.size() == 1);
  CHECK(pointers[0].home == home.agent);
  CHECK(pointers[0].owner == owner);
  fixture.director.QueueAllPointers(fixture.now);
  CHECK(fixture.director.TakePointers().empty());
}

TEST_CASE(
    "a search that stopped before discovery was complete continues later") {
  DirectorFixture fixture;
  fixture.ReceiveStatus(14, "stock");  // More agents may be discovered soon.
  const auto search_all = [&fixture] {
    std::vector<MemberId> asked;
    DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
    while (decision.kind == DirectorDecision::Kind::kForward) {
      asked.push_back(decision.agent);
      REQUIRE(asked.size() < 10);
      decision =
          fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
    }
    CHECK(decision.kind == DirectorDecision::Kind::kHold);
    return asked;
  };
  CHECK(search_all().size() == 4);
  CHECK(search_all().empty());
  fixture.ReceiveStatus(15, "stock");
  CHECK(search_all() == std::vector<MemberId>{MemberId{15}});
  fixture.now += Milliseconds(1100);
  fixture.ReceiveAllStatuses();
  CHECK(fixture.Send(MakeLaterPacket(1)).kind ==
        DirectorDecision::Kind::kReset);
}

TEST_CASE("a balancer that just started resets no unknown flow") {
  DirectorFixture fixture;
  FlowDirector new_director(fixture.now, DomainId{1}, &fixture.members,
                            &fixture.routes, DirectorLimits(),
                            &PlaceByResponseTime);
  DirectorDecision decision =
      new_director.OnCallerPacket(fixture.now, MakeLaterPacket(1), {});
  while (decision.kind == DirectorDecision::Kind::kForward) {
    decision = new_director.OnReturned(fixture.now, decision.agent,
                                       ReturnReason::kBounced, MemberId(),
                                       MakeLaterPacket(1), fixture.Raw());
  }
  CHECK(decision.kind == DirectorDecision::Kind::kHold);
}

TEST_CASE("no search ends with a reset just after an agent was discovered") {
  DirectorFixture fixture;
  fixture.ReceiveStatus(14, "stock");
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  while (decision.kind == DirectorDecision::Kind::kForward) {
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  CHECK(decision.kind == DirectorDecision::Kind::kHold);
}

/// A balancer that has just started in a fleet of 300 hosts.
struct LargeFleet {
  TimePoint now{Seconds(100)};
  MembershipTable members{MemberId{1}, MembershipTimeouts()};
  ActiveRoutes routes;
  FlowDirector director{now,     DomainId{1},      &members,
                        &routes, DirectorLimits(), &PlaceByResponseTime};
  uint32_t sequence = 0;
  uint16_t port = 0;  ///< Of the last flow.

  LargeFleet() {
    routes.Adopt(MakeRouteTable(1, {MakeRoute(kRoute, "stock")}));
    std::vector<uint32_t> listed;
    for (uint32_t id = 100; id < 300; ++id) {
      listed.push_back(id);
    }
    members.SetRegisteredAgents(now, listed);
    for (uint32_t id = 100; id < 300; ++id) {
      Hear(id, MemberRole::kAgent);
    }
  }

  void Hear(uint32_t id, MemberRole role) {
    proto::PeerStatus status = MakeStatus(id, role);
    status.set_agents_heard(200);
    members.OnStatus(now, status);
  }

  /// Delivers the last status of an agent whose server has stopped.
  void HearLeaving(uint32_t id) {
    proto::PeerStatus status = MakeStatus(id, MemberRole::kAgent);
    status.mutable_self()->set_state(static_cast<uint32_t>(AgentState::kGone));
    status.set_leaving(true);
    members.OnStatus(now, status);
  }

  proto::PeerStatus MakeStatus(uint32_t id, MemberRole role) {
    FleetMember member;
    member.id = MemberId{id};
    member.role = role;
    member.ip = id;
    member.incarnation = 1;
    member.service = ServiceIdOf("stock");
    member.state = AgentState::kReady;
    proto::PeerStatus status;
    *status.mutable_self() = EncodeMember(now, member);
    status.set_sequence(++sequence);
    status.set_members(299);
    return status;
  }

  /// Sends a packet of an unknown flow after 100 ms. All agents deny the flow.
  DirectorDecision Search() {
    now += Milliseconds(100);
    const FlowPacket packet = MakeLaterPacket(++port);
    const ByteView raw;
    DirectorDecision decision = director.OnCallerPacket(now, packet, raw);
    for (;;) {
      if (decision.kind == DirectorDecision::Kind::kForward) {
        decision =
            director.OnReturned(now, decision.agent, ReturnReason::kBounced,
                                MemberId(), packet, raw);
        continue;
      }
      std::vector<DeferredDecision> decisions = director.OnTick(now);
      for (const OwnerQuery& query : director.TakeQueries()) {
        for (const MemberId agent : query.agents) {
          for (DeferredDecision& deferred :
               director.OnQueryAnswer(now, agent, query.id, true, {})) {
            decisions.push_back(std::move(deferred));
          }
        }
      }
      if (decisions.empty()) {
        return decision;
      }
      decision = decisions.front().decision;
    }
  }
};

TEST_CASE("dead flows of a large fleet were reset 1.5 s after its start") {
  LargeFleet fleet;
  for (uint32_t id = 2; id < 92; ++id) {
    fleet.Hear(id, MemberRole::kBalancer);
  }
  fleet.now += Milliseconds(400);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kHold);
  const DirectorDecision decision = fleet.Search();
  CHECK(decision.kind == DirectorDecision::Kind::kReset);
  CHECK(decision.evidence.discovery == DiscoveryBasis::kRegistered);
  CHECK(decision.evidence.denials == 200);
}

TEST_CASE("no flow was reset while agents of a large fleet left one by one") {
  LargeFleet fleet;
  for (uint32_t id = 2; id < 92; ++id) {
    fleet.Hear(id, MemberRole::kBalancer);
  }
  fleet.now += Milliseconds(900);
  for (uint32_t id = 100; id < 110; ++id) {
    fleet.HearLeaving(id);
  }
  CHECK(fleet.members.CountLiveAgents(fleet.now) == 190);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kReset);
  // One that counts more than the rest may know an agent that is not known
  // here.
  proto::PeerStatus status = fleet.MakeStatus(2, MemberRole::kBalancer);
  status.set_agents_heard(201);
  fleet.members.OnStatus(fleet.now, status);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kHold);
  fleet.now += Milliseconds(200);
  status = fleet.MakeStatus(2, MemberRole::kBalancer);
  status.set_agents_heard(191);
  fleet.members.OnStatus(fleet.now, status);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kHold);
  status = fleet.MakeStatus(2, MemberRole::kBalancer);
  status.set_agents_heard(190);
  fleet.members.OnStatus(fleet.now, status);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kReset);
}

TEST_CASE("each dead flow of a large fleet was sent to every agent") {
  LargeFleet fleet;
  for (uint32_t id = 2; id < 92; ++id) {
    fleet.Hear(id, MemberRole::kBalancer);
  }
  fleet.now += Seconds(1);
  constexpr uint64_t kFlows = 100;
  const ByteView raw;
  std::vector<DirectorDecision> asked;
  for (uint16_t port = 1; port <= kFlows; ++port) {
    asked.push_back(
        fleet.director.OnCallerPacket(fleet.now, MakeLaterPacket(port), raw));
  }
  for (uint16_t port = 1; port <= kFlows; ++port) {
    CHECK(fleet.director
              .OnReturned(fleet.now, asked[port - 1].agent,
                          ReturnReason::kBounced, MemberId(),
                          MakeLaterPacket(port), raw)
              .kind == DirectorDecision::Kind::kHold);
  }
  fleet.director.OnTick(fleet.now);
  const std::vector<OwnerQuery> queries = fleet.director.TakeQueries();
  REQUIRE(queries.size() == 1);
  size_t resets = 0;
  for (const MemberId agent : queries.front().agents) {
    for (const DeferredDecision& deferred : fleet.director.OnQueryAnswer(
             fleet.now, agent, queries.front().id, true, {})) {
      resets +=
          deferred.decision.kind == DirectorDecision::Kind::kReset ? 1 : 0;
    }
  }
  CHECK(resets == kFlows);
  // With the answers and the returned packets, 6 messages for each flow.
  CHECK(queries.front().agents.size() + kFlows <= 3 * kFlows);
}

TEST_CASE("a balancer that was suspended acts on no old packet of a query") {
  LargeFleet fleet;
  fleet.now += Seconds(10);
  for (uint32_t id = 100; id < 300; ++id) {
    fleet.Hear(id, MemberRole::kAgent);
  }
  const FlowPacket packet = MakeLaterPacket(1);
  const ByteView raw;
  const DirectorDecision first =
      fleet.director.OnCallerPacket(fleet.now, packet, raw);
  fleet.director.OnReturned(fleet.now, first.agent, ReturnReason::kBounced,
                            MemberId(), packet, raw);
  fleet.director.OnTick(fleet.now);
  const OwnerQuery query = fleet.director.TakeQueries().front();
  // The caller may have opened another flow from the same port meanwhile.
  fleet.now += Seconds(3);
  for (const MemberId id : query.agents) {
    CHECK(fleet.director.OnQueryAnswer(fleet.now, id, query.id, true, {})
              .empty());
  }
}

TEST_CASE("a late answer denied the next flow from the same port") {
  LargeFleet fleet;
  fleet.now += Seconds(10);
  for (uint32_t id = 100; id < 300; ++id) {
    fleet.Hear(id, MemberRole::kAgent);
  }
  const FlowPacket packet = MakeLaterPacket(1);
  const ByteView raw;
  const auto search = [&] {
    const DirectorDecision asked =
        fleet.director.OnCallerPacket(fleet.now, packet, raw);
    fleet.director.OnReturned(fleet.now, asked.agent, ReturnReason::kBounced,
                              MemberId(), packet, raw);
  };
  search();
  fleet.director.OnTick(fleet.now);
  const OwnerQuery query = fleet.director.TakeQueries().front();
  // The caller opens another flow, whose answer this balancer does not see.
  fleet.now += Milliseconds(30);
  fleet.director.OnCallerPacket(fleet.now, MakeOpeningPacket(1, 500), raw);
  search();
  for (const MemberId id : query.agents) {
    CHECK(fleet.director.OnQueryAnswer(fleet.now, id, query.id, true, {})
              .empty());
  }
  // The flow has a query of its own.
  fleet.now += Milliseconds(60);
  fleet.director.OnTick(fleet.now);
  CHECK(fleet.director.TakeQueries().size() == 1);
}

TEST_CASE("a search waited for each of many dark agents in turn") {
  LargeFleet fleet;
  fleet.now += Seconds(10);
  for (uint32_t id = 100; id < 300; ++id) {
    fleet.Hear(id, MemberRole::kAgent);
  }
  const FlowPacket packet = MakeLaterPacket(1);
  const ByteView raw;
  const auto is_dark = [](MemberId id) { return id.value >= 220; };
  DirectorDecision decision =
      fleet.director.OnCallerPacket(fleet.now, packet, raw);
  const TimePoint start = fleet.now;
  while (decision.kind != DirectorDecision::Kind::kReset &&
         fleet.now < start + Seconds(10)) {
    if (decision.kind == DirectorDecision::Kind::kForward &&
        !is_dark(decision.agent)) {
      decision = fleet.director.OnReturned(fleet.now, decision.agent,
                                           ReturnReason::kBounced, MemberId(),
                                           packet, raw);
      continue;
    }
    fleet.now += Milliseconds(20);
    for (const MemberId id : fleet.members.TakeDueProbes(fleet.now, 64)) {
      CHECK(is_dark(id));
      fleet.members.OnProbe(fleet.now, id, ProbeOutcome::kNoAnswer);
    }
    fleet.Hear(100, MemberRole::kAgent);
    if (fleet.now == start + Milliseconds(1400)) {
      decision = fleet.director.OnCallerPacket(fleet.now, packet, raw);
    }
    for (const DeferredDecision& deferred : fleet.director.OnTick(fleet.now)) {
      decision = deferred.decision;
    }
    for (const OwnerQuery& query : fleet.director.TakeQueries()) {
      for (const MemberId id : query.agents) {
        if (!is_dark(id)) {
          fleet.director.OnQueryAnswer(fleet.now, id, query.id, true, {});
        }
      }
    }
  }
  CHECK(decision.kind == DirectorDecision::Kind::kReset);
  CHECK(fleet.now - start <= Milliseconds(2500));
}

TEST_CASE("a query leads a search to the agent whose server holds the flow") {
  LargeFleet fleet;
  fleet.now += Seconds(10);
  for (uint32_t id = 100; id < 300; ++id) {
    fleet.Hear(id, MemberRole::kAgent);
  }
  const FlowPacket packet = MakeLaterPacket(1);
  const ByteView raw;
  const DirectorDecision first =
      fleet.director.OnCallerPacket(fleet.now, packet, raw);
  fleet.director.OnReturned(fleet.now, first.agent, ReturnReason::kBounced,
                            MemberId(), packet, raw);
  fleet.director.OnTick(fleet.now);
  const OwnerQuery query = fleet.director.TakeQueries().front();
  const MemberId owner = query.agents.front() == first.agent
                             ? query.agents.back()
                             : query.agents.front();
  std::vector<DeferredDecision> decisions;
  for (const MemberId agent : query.agents) {
    const std::vector<uint32_t> held =
        agent == owner ? std::vector<uint32_t>{0} : std::vector<uint32_t>{};
    for (DeferredDecision& deferred :
         fleet.director.OnQueryAnswer(fleet.now, agent, query.id, true, held)) {
      decisions.push_back(std::move(deferred));
    }
  }
  REQUIRE(decisions.size() == 1);
  CHECK(decisions.front().decision.kind == DirectorDecision::Kind::kForward);
  CHECK(decisions.front().decision.agent == owner);
  // The server did not hold it after all, for example as two hashes are equal.
  CHECK(fleet.director
            .OnReturned(fleet.now, owner, ReturnReason::kBounced, MemberId(),
                        packet, raw)
            .kind == DirectorDecision::Kind::kReset);
}

TEST_CASE("a balancer that hears no other one waits for two intervals") {
  LargeFleet fleet;
  fleet.now += Milliseconds(700);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kHold);
}

}  // namespace
}  // namespace medlargauge

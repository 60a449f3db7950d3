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

TEST_CASE("a search does not end while an agent is unreachable") {
  DirectorFixture fixture;
  fixture.now += Milliseconds(1500);
  fixture.ReceiveStatus(11, "stock");
  fixture.ReceiveStatus(12, "stock");
  fixture.ReceiveStatus(20, "media");
  // Agent 13 is unreachable and may own the flow.
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  for (int asked = 0; asked < 3; ++asked) {
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  CHECK(decision.kind == DirectorDecision::Kind::kForward);
  CHECK(decision.agent == MemberId{13});
  for (int i = 0; i < 5; ++i) {
    fixture.now += Milliseconds(200);
    CHECK(fixture.Send(MakeLaterPacket(1)).agent == MemberId{13});
  }
}

/// Hears all agents but 13 until that one is suspected, and sends a packet of
/// an unknown flow, which the others return.
/// @return the decision after that
DirectorDecision SearchBesideSuspectedAgent(DirectorFixture* fixture) {
  for (int i = 0; i < 20; ++i) {
    fixture->now += Milliseconds(100);
    fixture->ReceiveStatus(11, "stock");
    fixture->ReceiveStatus(12, "stock");
    fixture->ReceiveStatus(20, "media");
  }
  REQUIRE(fixture->members.IsSuspected(fixture->now,
                                       *fixture->members.Find(MemberId{13})));
  DirectorDecision decision = fixture->Send(MakeLaterPacket(1));
  for (int asked = 0; asked < 3; ++asked) {
    decision =
        fixture->Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  return decision;
}

TEST_CASE("callers of dead flows waited for one dark agent to be given up") {
  DirectorFixture fixture;
  const DirectorDecision decision = SearchBesideSuspectedAgent(&fixture);
  CHECK(decision.kind == DirectorDecision::Kind::kReset);
  CHECK(decision.evidence.denials == 3);
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
  for (int asked = 0; asked < 3; ++asked) {
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
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
  DirectorDecision last = second;
  for (int asked = 0; asked < 3; ++asked) {
    CHECK(last.agent != first.agent);
    last = fixture.Return(last, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  // Only the unresponsive agent is left: it is asked again, and the flow is not
  // reset.
  CHECK(last.kind == DirectorDecision::Kind::kForward);
  CHECK(last.agent == first.agent);
}

TEST_CASE("a search does not wait for an agent that left a stopped server") {
  DirectorFixture fixture;
  fixture.ReceiveStatus(13, "stock", AgentState::kGone, 0, true);
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  for (int asked = 0; asked < 3; ++asked) {
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
  for (int i = 0; i < 3; ++i) {
    CHECK(decision.kind == DirectorDecision::Kind::kForward);
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
  CHECK(asked.size() == 4);
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
  CHECK(search_all().size() == 5);
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

}  // namespace
}  // namespace medlargauge

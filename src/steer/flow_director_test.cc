// @file flow_director_test.cc Tests of placing and following flows.
#include <doctest/doctest.h>

#include "src/steer/director_fixture.h"

namespace medlargauge {
namespace {

using namespace director_bed;  // NOLINT(google-build-using-namespace)

TEST_CASE("a new flow goes to the least loaded ready agent of its service") {
  Bed bed;
  bed.Hear(11, "stock", AgentState::kReady, 9);
  bed.Hear(12, "stock", AgentState::kReady, 2);
  bed.Hear(13, "stock", AgentState::kReady, 7);
  const SteerDecision decision = bed.Send(Opening(1));
  CHECK(decision.kind == SteerDecision::Kind::kForward);
  CHECK(decision.agent == MemberId{12});
  CHECK(decision.header.service == ServiceIdOf("stock"));
  CHECK_FALSE(decision.header.search);
}

TEST_CASE("draining, leaving and gone agents get no new flow") {
  Bed bed;
  bed.Hear(11, "stock", AgentState::kDraining);
  bed.Hear(12, "stock", AgentState::kReady, 0, true);
  bed.Hear(13, "stock", AgentState::kGone);
  const SteerDecision decision = bed.Send(Opening(1));
  CHECK(decision.kind == SteerDecision::Kind::kReset);
  CHECK(decision.error == ErrorKind::kNoAgent);
}

TEST_CASE("a failing agent gets new flows only when the others are slower") {
  Bed bed;
  bed.Hear(11, "stock", AgentState::kReady, 0, false, 900);
  bed.Hear(12, "stock", AgentState::kReady, 8);
  bed.Hear(13, "stock", AgentState::kReady, 8);
  for (uint16_t port = 1; port < 10; ++port) {
    CHECK(bed.Send(Opening(port)).agent != MemberId{11});
  }
}

TEST_CASE("an agent whose server is unknown is the second choice") {
  Bed bed;
  bed.Hear(11, "stock", AgentState::kJoining);
  bed.Hear(12, "stock", AgentState::kReady, 15);
  bed.Hear(13, "stock", AgentState::kDraining);
  CHECK(bed.Send(Opening(1)).agent == MemberId{12});
  bed.Hear(12, "stock", AgentState::kGone);
  CHECK(bed.Send(Opening(2)).agent == MemberId{11});
}

TEST_CASE("a copy of an opening packet follows the first") {
  Bed bed;
  const SteerDecision first = bed.Send(Opening(1));
  const SteerDecision copy = bed.Send(Opening(1));
  CHECK(copy.agent == first.agent);
  CHECK(bed.director.Counters().opened == 1);
}

TEST_CASE("a port that is used again opens a new flow") {
  Bed bed;
  const SteerDecision first = bed.Send(Opening(1));
  bed.director.OnFlowConfirmed(bed.now, first.agent, Opening(1).flow, false);
  bed.Send(Opening(1, 999));
  CHECK(bed.director.Counters().opened == 2);
}

TEST_CASE("an unanswered opening packet goes to another agent in time") {
  Bed bed;
  const SteerDecision first = bed.Send(Opening(1));
  bed.now += Milliseconds(80);
  CHECK(bed.director.OnTick(bed.now).empty());
  bed.now += Milliseconds(20);
  const std::vector<SteerResend> resends = bed.director.OnTick(bed.now);
  REQUIRE(resends.size() == 1);
  CHECK(resends[0].decision.agent != first.agent);
  CHECK(resends[0].packet == bed.raw);
  // Before the caller's copy after 200 ms.
  CHECK(DirectorLimits().opening_retry_delay < Milliseconds(200));
}

TEST_CASE("an answered opening packet is not sent again") {
  Bed bed;
  const SteerDecision first = bed.Send(Opening(1));
  bed.director.OnFlowConfirmed(bed.now, first.agent, Opening(1).flow, false);
  bed.now += Milliseconds(200);
  CHECK(bed.director.OnTick(bed.now).empty());
}

TEST_CASE("busy agents are asked in turn, the last must take the flow") {
  Bed bed;
  SteerDecision decision = bed.Send(Opening(1));
  std::vector<MemberId> asked;
  for (int i = 0; i < 3; ++i) {
    CHECK(std::find(asked.begin(), asked.end(), decision.agent) == asked.end());
    asked.push_back(decision.agent);
    CHECK_FALSE(decision.header.last_candidate);
    decision = bed.Return(decision, ReturnReason::kBusy, Opening(1));
  }
  CHECK(decision.kind == SteerDecision::Kind::kForward);
  CHECK(decision.header.last_candidate);
  decision = bed.Return(decision, ReturnReason::kFull, Opening(1));
  CHECK(decision.kind == SteerDecision::Kind::kReset);
  CHECK(decision.error == ErrorKind::kOverloaded);
}

TEST_CASE("a flow of no route is reset at once, without targets it is not") {
  Bed bed;
  FlowPacket packet = Opening(1);
  packet.flow.route = kOtherRoute;
  CHECK(bed.Send(packet).kind == SteerDecision::Kind::kReset);
  packet.syn = false;
  CHECK(bed.Send(packet).kind == SteerDecision::Kind::kDrop);

  ActiveRoutes empty;
  FlowDirector fresh(bed.now, DomainId{1}, &bed.roster, &empty,
                     DirectorLimits(), &PlaceByResponseTime);
  CHECK(fresh.OnCallerPacket(bed.now, Opening(1), {}).kind ==
        SteerDecision::Kind::kDrop);
  CHECK_FALSE(fresh.CanServe(bed.now));
}

TEST_CASE("an open flow of a dropped route is reset, others stay") {
  Bed bed;
  const SteerDecision first = bed.Send(Opening(1));
  bed.director.OnFlowConfirmed(bed.now, first.agent, Opening(1).flow, false);
  bed.routes.Adopt(
      TableOf(2, {RouteTo(kRoute, "stock"), RouteTo(kOtherRoute, "media")}));
  CHECK(bed.Send(Later(1)).agent == first.agent);
  bed.routes.Adopt(TableOf(3, {RouteTo(kOtherRoute, "media")}));
  CHECK(bed.Send(Later(1)).kind == SteerDecision::Kind::kReset);
}

TEST_CASE("flows of a lost agent are reset, those of a silent one are not") {
  Bed bed;
  const SteerDecision first = bed.Send(Opening(1));
  bed.director.OnFlowConfirmed(bed.now, first.agent, Opening(1).flow, false);
  const auto others = [&] {
    for (const uint64_t id : {11, 12, 13}) {
      if (MemberId{id} != first.agent) {
        bed.Hear(id, "stock");
      }
    }
  };
  SteerRoute route = RouteTo(kRoute, "stock");
  route.repeatable = false;
  bed.routes.Adopt(TableOf(2, {route}));
  for (int i = 0; i < 5; ++i) {
    bed.now += Milliseconds(800);
    others();
  }
  CHECK(bed.Send(Later(1)).kind == SteerDecision::Kind::kForward);
  for (int i = 0; i < 3; ++i) {
    bed.now += Milliseconds(800);
    others();
  }
  CHECK(bed.Send(Later(1)).kind == SteerDecision::Kind::kReset);
}

TEST_CASE(
    "repeatable requests leave a mute agent, unless it stops as planned") {
  const auto kind_after_silence = [](bool repeatable, bool leaving) {
    Bed bed;
    SteerRoute route = RouteTo(kRoute, "stock");
    route.repeatable = repeatable;
    bed.routes.Adopt(TableOf(2, {route}));
    const SteerDecision first = bed.Send(Opening(1));
    bed.director.OnFlowConfirmed(bed.now, first.agent, Opening(1).flow, false);
    if (leaving) {
      bed.Hear(first.agent.value, "stock", AgentState::kReady, 0, true);
    }
    for (int i = 0; i < 4; ++i) {
      bed.now += Milliseconds(500);
      for (const uint64_t id : {11, 12, 13}) {
        if (MemberId{id} != first.agent) {
          bed.Hear(id, "stock");
        }
      }
    }
    return bed.Send(Later(1)).kind;
  };
  CHECK(kind_after_silence(true, false) == SteerDecision::Kind::kReset);
  CHECK(kind_after_silence(false, false) == SteerDecision::Kind::kForward);
  CHECK(kind_after_silence(true, true) == SteerDecision::Kind::kForward);
}

TEST_CASE("a balancer that hears nobody leaves the rotation and returns") {
  Bed bed;
  CHECK(bed.director.CanServe(bed.now));
  bed.now += Milliseconds(600);
  CHECK_FALSE(bed.director.CanServe(bed.now));
  bed.Hear(11, "stock");
  CHECK(bed.director.CanServe(bed.now));
}

TEST_CASE("a balancer that hears no agent resets no open flow") {
  Bed bed;
  const SteerDecision first = bed.Send(Opening(1));
  bed.director.OnFlowConfirmed(bed.now, first.agent, Opening(1).flow, false);
  bed.now += Seconds(8);
  CHECK(bed.Send(Later(1)).kind == SteerDecision::Kind::kForward);
  CHECK_FALSE(bed.director.CanServe(bed.now));
}

TEST_CASE("an agent of another service is asked for the flow's own service") {
  Bed bed;
  const SteerDecision first = bed.Send(Opening(1));
  bed.director.OnFlowConfirmed(bed.now, first.agent, Opening(1).flow, false);
  bed.Hear(first.agent.value, "media");
  const SteerDecision decision = bed.Send(Later(1));
  CHECK(decision.header.service == ServiceIdOf("stock"));
  const SteerDecision next =
      bed.Return(decision, ReturnReason::kWrongService, Later(1));
  CHECK(next.agent != first.agent);
}

TEST_CASE("the table of flows is bounded") {
  Bed bed;
  DirectorLimits limits;
  limits.max_flows = 2;
  FlowDirector small(bed.now, DomainId{1}, &bed.roster, &bed.routes, limits,
                     &PlaceByResponseTime);
  small.OnCallerPacket(bed.now, Opening(1), {});
  small.OnCallerPacket(bed.now, Opening(2), {});
  const SteerDecision third = small.OnCallerPacket(bed.now, Opening(3), {});
  CHECK(third.kind == SteerDecision::Kind::kReset);
  CHECK(third.error == ErrorKind::kOverloaded);
}

TEST_CASE("shares of a route split new flows by their hash") {
  SteerRoute route = RouteTo(kRoute, "stock");
  route.shares = {{ServiceIdOf("stock"), 90}, {ServiceIdOf("trial"), 10}};
  int trial = 0;
  constexpr int kFlows = 20000;
  for (int i = 0; i < kFlows; ++i) {
    FlowKey key{{0x64400001U + static_cast<uint32_t>(i) / 1000,
                 static_cast<uint16_t>(1000 + i % 1000)},
                kRoute};
    const ServiceId chosen = ActiveRoutes::ServiceFor(route, HashFlow(key));
    trial += chosen == ServiceIdOf("trial") ? 1 : 0;
  }
  CHECK(trial == doctest::Approx(kFlows * 0.1).epsilon(0.1));
}

TEST_CASE("routes never go back to an older revision") {
  ActiveRoutes book;
  CHECK(book.Adopt(TableOf(7, {RouteTo(kRoute, "stock")})));
  CHECK_FALSE(book.Adopt(TableOf(6, {})));
  CHECK_FALSE(book.Adopt(TableOf(7, {})));
  CHECK(book.Find(kRoute) != nullptr);
  CHECK(book.Adopt(TableOf(9, {})));
  CHECK(book.Find(kRoute) == nullptr);
  CHECK(book.WasRoute(kRoute));
}

}  // namespace
}  // namespace medlargauge

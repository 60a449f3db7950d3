// @file flow_search_test.cc Tests of finding the owner of a flow.
#include <doctest/doctest.h>

#include "src/steer/director_fixture.h"

namespace medlargauge {
namespace {

using namespace director_bed;  // NOLINT(google-build-using-namespace)

TEST_CASE("a server's answer to the opening does not end a search") {
  Bed bed;
  const SteerDecision asked = bed.Send(Later(1));
  bed.director.OnFlowConfirmed(bed.now, asked.agent, Later(1).flow, false);
  CHECK(bed.Send(Later(1)).header.search);
  bed.director.OnFlowConfirmed(bed.now, asked.agent, Later(1).flow, true);
  CHECK_FALSE(bed.Send(Later(1)).header.search);
}

TEST_CASE("an unknown flow is searched at every agent of the service once") {
  Bed bed;
  SteerDecision decision = bed.Send(Later(1));
  std::vector<MemberId> asked;
  while (decision.kind == SteerDecision::Kind::kForward) {
    CHECK(decision.header.search);
    CHECK(decision.agent != MemberId{20});
    CHECK(std::find(asked.begin(), asked.end(), decision.agent) == asked.end());
    asked.push_back(decision.agent);
    decision = bed.Return(decision, ReturnReason::kBounced, Later(1));
  }
  CHECK(asked.size() == 3);
  CHECK(decision.kind == SteerDecision::Kind::kReset);
  CHECK(decision.error == ErrorKind::kFlowUnknown);
}

TEST_CASE("a search is not concluded while an agent is silent") {
  Bed bed;
  bed.now += Milliseconds(1500);
  bed.Hear(11, "stock");
  bed.Hear(12, "stock");  // 13 is silent, and may have the flow.
  SteerDecision decision = bed.Send(Later(1));
  decision = bed.Return(decision, ReturnReason::kBounced, Later(1));
  decision = bed.Return(decision, ReturnReason::kBounced, Later(1));
  CHECK(decision.kind == SteerDecision::Kind::kForward);
  CHECK(decision.agent == MemberId{13});
  for (int i = 0; i < 5; ++i) {
    bed.now += Milliseconds(200);
    CHECK(bed.Send(Later(1)).agent == MemberId{13});
  }
}

TEST_CASE("an agent that swallows a searched packet is passed over") {
  Bed bed;
  const SteerDecision first = bed.Send(Later(1));
  bed.now += Milliseconds(200);
  const SteerDecision second = bed.Send(Later(1));
  CHECK(second.agent != first.agent);
  const SteerDecision third =
      bed.Return(second, ReturnReason::kBounced, Later(1));
  SteerDecision last = bed.Return(third, ReturnReason::kBounced, Later(1));
  // Only the mute one is left: it is asked again, nothing is reset.
  CHECK(last.kind == SteerDecision::Kind::kForward);
  CHECK(last.agent == first.agent);
}

TEST_CASE("a search ends where an agent says that it holds the flow") {
  Bed bed;
  bed.Send(Later(1));
  bed.director.OnFlowConfirmed(bed.now, MemberId{12}, Later(1).flow, true);
  const SteerDecision decision = bed.Send(Later(1));
  CHECK(decision.agent == MemberId{12});
  CHECK_FALSE(decision.header.search);
}

TEST_CASE("a search asks again those that left the opening unanswered") {
  Bed bed;
  const SteerDecision first = bed.Send(Opening(1));
  bed.now += Milliseconds(100);
  const std::vector<SteerResend> resends = bed.director.OnTick(bed.now);
  REQUIRE(resends.size() == 1);
  // The first agent's word was lost, but its server has the flow.
  SteerDecision decision = bed.Send(Later(1));
  std::vector<MemberId> asked;
  while (decision.kind == SteerDecision::Kind::kForward && asked.size() < 5) {
    asked.push_back(decision.agent);
    if (decision.agent == first.agent) {
      break;
    }
    decision = bed.Return(decision, ReturnReason::kBounced, Later(1));
  }
  CHECK(asked.back() == first.agent);
  CHECK(asked.size() <= 2);
}

TEST_CASE("a pointer is followed once, then everybody is asked") {
  Bed bed;
  const SteerDecision first = bed.Send(Later(1));
  CHECK(first.header.use_pointer);
  const MemberId owner =
      first.agent == MemberId{11} ? MemberId{12} : MemberId{11};
  SteerDecision decision = bed.director.OnReturned(
      bed.now, first.agent, ReturnReason::kMoved, owner, Later(1));
  CHECK(decision.agent == owner);
  CHECK_FALSE(decision.header.use_pointer);
  std::vector<MemberId> asked;
  while (decision.kind == SteerDecision::Kind::kForward) {
    asked.push_back(decision.agent);
    decision = bed.Return(decision, ReturnReason::kBounced, Later(1));
  }
  CHECK(asked.size() == 3);
}

TEST_CASE("lasting flows get a pointer at the agent that is asked first") {
  Bed bed;
  const SteerDecision home = bed.Send(Later(7));
  const MemberId owner =
      home.agent == MemberId{11} ? MemberId{12} : MemberId{11};
  bed.director.OnFlowConfirmed(bed.now, owner, Later(7).flow, true);
  bed.director.OnTick(bed.now);
  CHECK(bed.director.TakePointers().empty());
  bed.now += Milliseconds(1100);
  bed.HearAll();
  bed.director.OnTick(bed.now);
  const std::vector<SteerPointer> pointers = bed.director.TakePointers();
  REQUIRE(pointers.size() == 1);
  CHECK(pointers[0].home == home.agent);
  CHECK(pointers[0].owner == owner);
  bed.director.QueueAllPointers(bed.now);
  CHECK(bed.director.TakePointers().empty());
}

TEST_CASE("a search that ends too early goes on where it ended") {
  Bed bed;
  bed.Hear(14, "stock");  // News: not everybody may be known yet.
  const auto walk = [&bed] {
    std::vector<MemberId> asked;
    SteerDecision decision = bed.Send(Later(1));
    while (decision.kind == SteerDecision::Kind::kForward) {
      asked.push_back(decision.agent);
      REQUIRE(asked.size() < 10);
      decision = bed.Return(decision, ReturnReason::kBounced, Later(1));
    }
    CHECK(decision.kind == SteerDecision::Kind::kDrop);
    return asked;
  };
  CHECK(walk().size() == 4);
  CHECK(walk().empty());
  bed.Hear(15, "stock");
  CHECK(walk() == std::vector<MemberId>{MemberId{15}});
  bed.now += Milliseconds(1100);
  bed.HearAll();
  CHECK(bed.Send(Later(1)).kind == SteerDecision::Kind::kReset);
}

TEST_CASE("a newcomer resets nothing before it knows the agents") {
  Bed bed;
  FlowDirector fresh(bed.now, DomainId{1}, &bed.roster, &bed.routes,
                     DirectorLimits(), &PlaceByResponseTime);
  SteerDecision decision = fresh.OnCallerPacket(bed.now, Later(1), {});
  while (decision.kind == SteerDecision::Kind::kForward) {
    decision = fresh.OnReturned(bed.now, decision.agent, ReturnReason::kBounced,
                                MemberId(), Later(1));
  }
  CHECK(decision.kind == SteerDecision::Kind::kDrop);
}

TEST_CASE("nothing is concluded just after a new agent was met") {
  Bed bed;
  bed.Hear(14, "stock");
  SteerDecision decision = bed.Send(Later(1));
  while (decision.kind == SteerDecision::Kind::kForward) {
    decision = bed.Return(decision, ReturnReason::kBounced, Later(1));
  }
  CHECK(decision.kind == SteerDecision::Kind::kDrop);
}

}  // namespace
}  // namespace medlargauge

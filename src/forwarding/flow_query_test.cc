// @file flow_query_test.cc Tests of searches in a large fleet.
#include <doctest/doctest.h>

#include "src/forwarding/large_fleet_fixture.h"

namespace medlargauge {
namespace {

using namespace director_fixture;  // NOLINT(google-build-using-namespace)

TEST_CASE("dead flows of a large fleet were reset 1.5 s after its start") {
  LargeFleet fleet;
  fleet.HearBalancers();
  fleet.now += Milliseconds(400);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kHold);
  const DirectorDecision decision = fleet.Search();
  CHECK(decision.kind == DirectorDecision::Kind::kReset);
  CHECK(decision.evidence.discovery == DiscoveryBasis::kRegistered);
  CHECK(decision.evidence.denials == 200);
}

TEST_CASE("a balancer that hears no other one waits for two intervals") {
  LargeFleet fleet;
  fleet.now += Milliseconds(700);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kHold);
}

TEST_CASE("no flow was reset while agents of a large fleet left one by one") {
  LargeFleet fleet;
  fleet.HearBalancers();
  fleet.now += Milliseconds(900);
  for (uint32_t id = 100; id < 110; ++id) {
    fleet.HearLeaving(id);
  }
  CHECK(fleet.members.CountLiveAgents(fleet.now) == 190);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kReset);
  // One that counts more than the rest may know an agent that is not known
  // here.
  const auto report = [&](uint32_t agents) {
    proto::PeerStatus status = fleet.MakeStatus(2, MemberRole::kBalancer);
    status.set_agents_heard(agents);
    fleet.members.OnStatus(fleet.now, status);
  };
  report(201);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kHold);
  fleet.now += Milliseconds(200);
  report(191);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kHold);
  report(190);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kReset);
}

TEST_CASE("each dead flow of a large fleet was sent to every agent") {
  LargeFleet fleet;
  fleet.HearBalancers();
  fleet.now += Seconds(1);
  constexpr uint64_t kFlows = 100;
  for (uint16_t port = 1; port <= kFlows; ++port) {
    fleet.BeginSearch(port);
  }
  const OwnerQuery query = fleet.StartQuery();
  CHECK(fleet.director.TakeQueries().empty());
  const std::vector<DeferredDecision> decisions = fleet.Answer(query);
  CHECK(decisions.size() == kFlows);
  for (const DeferredDecision& deferred : decisions) {
    CHECK(deferred.decision.kind == DirectorDecision::Kind::kReset);
  }
  // With the answers and the returned packets, 6 messages for each flow.
  CHECK(query.agents.size() + kFlows <= 3 * kFlows);
}

// After a loss of all power, one balancer noticed 1.4 s later than the others
// that a host without a server had gone dark, and no flow was reset meanwhile.
TEST_CASE("a peer that counts a stopped agent longer holds up all resets") {
  LargeFleet fleet;
  fleet.HearBalancers();
  fleet.now += Milliseconds(900);
  fleet.HearLeaving(100);
  fleet.now += Milliseconds(300);
  const auto report = [&](uint64_t digest) {
    proto::PeerStatus status = fleet.MakeStatus(2, MemberRole::kBalancer);
    status.set_serving_digest(digest);
    fleet.members.OnStatus(fleet.now, status);
  };
  report(0);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kHold);
  const uint64_t own = fleet.members.ServingDigest(fleet.now);
  report(own);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kReset);
  // It hears another agent in place of one that is heard here.
  report(own + 1);
  CHECK(fleet.Search().kind == DirectorDecision::Kind::kHold);
}

// Before a fix, agents denied flows of a server that had restarted under the
// same id; such builds may still run beside this one.
TEST_CASE("a flow is reset by the denial of a build that proves nothing") {
  LargeFleet fleet;
  fleet.HearBalancers();
  fleet.now += Seconds(1);
  constexpr uint32_t kOldAgent = 150;
  proto::PeerStatus status = fleet.MakeStatus(kOldAgent, MemberRole::kAgent);
  status.clear_protocol();
  fleet.members.OnStatus(fleet.now, status);
  fleet.BeginSearch(1);
  const std::vector<DeferredDecision> decisions =
      fleet.Answer(fleet.StartQuery());
  REQUIRE(decisions.size() == 1);
  CHECK(decisions.front().decision.kind == DirectorDecision::Kind::kForward);
  CHECK(decisions.front().decision.agent == MemberId{kOldAgent});
  CHECK(fleet.Bounce(MemberId{kOldAgent}, MakeLaterPacket(1)).kind ==
        DirectorDecision::Kind::kReset);
}

// All balancers had restarted while the store was away. One that had missed a
// status of the owner's agent took a second without discoveries, less than an
// interval between statuses in this fleet, for the proof that it knew all.
TEST_CASE("a large fleet is not quiet before all agents were due twice") {
  LargeFleet fleet;
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  DirectorLimits limits;
  limits.min_agents_to_query = SIZE_MAX;
  FlowDirector director(fleet.now, DomainId{1}, &members, &fleet.routes, limits,
                        &PlaceByResponseTime);
  members.OnFleetMet();
  const auto hear = [&](uint32_t end) {
    for (uint32_t id = 100; id < end; ++id) {
      proto::PeerStatus status = fleet.MakeStatus(id, MemberRole::kAgent);
      status.set_agents_heard(0);
      members.OnStatus(fleet.now, status);
    }
  };
  hear(299);
  const auto search = [&] {
    const FlowPacket packet = MakeLaterPacket(++fleet.port);
    DirectorDecision decision = director.OnCallerPacket(fleet.now, packet, {});
    while (decision.kind == DirectorDecision::Kind::kForward) {
      decision =
          director.OnReturned(fleet.now, decision.agent, ReturnReason::kBounced,
                              MemberId(), packet, {});
    }
    return decision.kind;
  };
  fleet.now += Milliseconds(1600);
  hear(299);
  CHECK(search() == DirectorDecision::Kind::kHold);
  fleet.now += Milliseconds(1000);
  hear(299);
  CHECK(search() == DirectorDecision::Kind::kReset);
}

// Agents forget flows that were idle for 60 s.
TEST_CASE("no query decides where flows may be idle for longer than agents") {
  LargeFleet fleet;
  fleet.now += Seconds(10);
  fleet.HearAll(MemberRole::kAgent, 100, 300);
  RouteTable table = MakeRouteTable(2, {MakeRoute(kRoute, "stock")});
  table.idle_timeout_ms = 90'000;
  fleet.routes.Adopt(table);
  fleet.BeginSearch(1);
  fleet.director.OnTick(fleet.now);
  CHECK(fleet.director.TakeQueries().empty());
}

TEST_CASE("a balancer that was suspended acts on no old packet of a query") {
  LargeFleet fleet;
  fleet.now += Seconds(10);
  fleet.HearAll(MemberRole::kAgent, 100, 300);
  fleet.BeginSearch(1);
  const OwnerQuery query = fleet.StartQuery();
  // The caller may have opened another flow from the same port meanwhile.
  fleet.now += Seconds(3);
  CHECK(fleet.Answer(query).empty());
}

TEST_CASE("a late answer denied the next flow from the same port") {
  LargeFleet fleet;
  fleet.now += Seconds(10);
  fleet.HearAll(MemberRole::kAgent, 100, 300);
  fleet.BeginSearch(1);
  const OwnerQuery query = fleet.StartQuery();
  // The caller opens another flow, whose answer this balancer does not see.
  fleet.now += Milliseconds(30);
  fleet.Send(MakeOpeningPacket(1, 500));
  fleet.BeginSearch(1);
  CHECK(fleet.Answer(query).empty());
  // The flow has a query of its own.
  fleet.now += Milliseconds(60);
  CHECK(fleet.StartQuery().flow_hashes.size() == 1);
}

TEST_CASE("a search waited for each of many dark agents in turn") {
  LargeFleet fleet;
  fleet.now += Seconds(10);
  fleet.HearAll(MemberRole::kAgent, 100, 300);
  const FlowPacket packet = MakeLaterPacket(1);
  const auto is_dark = [](MemberId id) { return id.value >= 220; };
  const TimePoint start = fleet.now;
  DirectorDecision decision = fleet.Send(packet);
  while (decision.kind != DirectorDecision::Kind::kReset &&
         fleet.now < start + Seconds(10)) {
    if (decision.kind == DirectorDecision::Kind::kForward &&
        !is_dark(decision.agent)) {
      decision = fleet.Bounce(decision.agent, packet);
      continue;
    }
    fleet.now += Milliseconds(20);
    for (const MemberId id : fleet.members.TakeDueProbes(fleet.now, 64)) {
      CHECK(is_dark(id));
      fleet.members.OnProbe(fleet.now, id, ProbeOutcome::kNoAnswer);
    }
    fleet.HearAll(MemberRole::kAgent, 100, 101);
    if (fleet.now == start + Milliseconds(1400)) {
      decision = fleet.Send(packet);
    }
    for (const DeferredDecision& deferred : fleet.director.OnTick(fleet.now)) {
      decision = deferred.decision;
    }
    for (const OwnerQuery& query : fleet.director.TakeQueries()) {
      fleet.Answer(query, [&](MemberId id) { return !is_dark(id); });
    }
  }
  CHECK(decision.kind == DirectorDecision::Kind::kReset);
  CHECK(fleet.now - start <= Milliseconds(2500));
}

TEST_CASE("a query leads a search to the agent whose server holds the flow") {
  LargeFleet fleet;
  fleet.now += Seconds(10);
  fleet.HearAll(MemberRole::kAgent, 100, 300);
  const MemberId first = fleet.BeginSearch(1);
  const MemberId owner = first == MemberId{100} ? MemberId{101} : MemberId{100};
  const std::vector<DeferredDecision> decisions = fleet.Answer(
      fleet.StartQuery(), {}, [&](MemberId id) { return id == owner; });
  REQUIRE(decisions.size() == 1);
  CHECK(decisions.front().decision.kind == DirectorDecision::Kind::kForward);
  CHECK(decisions.front().decision.agent == owner);
  // The server did not hold it after all, for example as two hashes are equal.
  CHECK(fleet.Bounce(owner, MakeLaterPacket(1)).kind ==
        DirectorDecision::Kind::kReset);
}

}  // namespace
}  // namespace medlargauge

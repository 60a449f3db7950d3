// @file large_fleet_fixture.h Test fixture: a balancer in a fleet of 300 hosts.
#ifndef MEDLARGAUGE_FORWARDING_LARGE_FLEET_FIXTURE_H_
#define MEDLARGAUGE_FORWARDING_LARGE_FLEET_FIXTURE_H_

#include <functional>
#include <utility>
#include <vector>

#include "src/forwarding/director_fixture.h"
#include "src/forwarding/member_fixture.h"

namespace medlargauge::director_fixture {

/// A balancer that has just started and heard 200 listed agents, 100 to 299.
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
    HearAll(MemberRole::kAgent, 100, 300);
  }

  /// Returns a status of a member that counts 200 agents.
  proto::PeerStatus MakeStatus(uint32_t id, MemberRole role) {
    proto::PeerStatus status =
        member_fixture::MakeStatus(now, id, role, ++sequence);
    status.mutable_self()->set_service(ServiceIdOf("stock").value);
    status.set_members(299);
    status.set_agents_heard(200);
    return status;
  }
  void HearAll(MemberRole role, uint32_t first, uint32_t end) {
    for (uint32_t id = first; id < end; ++id) {
      members.OnStatus(now, MakeStatus(id, role));
    }
  }
  void HearBalancers() { HearAll(MemberRole::kBalancer, 2, 92); }
  /// Delivers the last status of an agent whose server has stopped.
  void HearLeaving(uint32_t id) {
    proto::PeerStatus status = MakeStatus(id, MemberRole::kAgent);
    status.mutable_self()->set_state(static_cast<uint32_t>(AgentState::kGone));
    status.set_leaving(true);
    members.OnStatus(now, status);
  }

  DirectorDecision Send(const FlowPacket& packet) {
    return director.OnCallerPacket(now, packet, {});
  }
  DirectorDecision Bounce(MemberId from, const FlowPacket& packet) {
    return director.OnReturned(now, from, ReturnReason::kBounced, MemberId(),
                               packet, {});
  }
  /// Sends a packet of an unknown flow, and the agent that is asked first
  /// returns it.
  /// @return that agent
  MemberId BeginSearch(uint16_t caller_port) {
    const FlowPacket packet = MakeLaterPacket(caller_port);
    const MemberId first = Send(packet).agent;
    Bounce(first, packet);
    return first;
  }
  /// Starts the query that is due.
  OwnerQuery StartQuery() {
    director.OnTick(now);
    return director.TakeQueries().front();
  }
  /// Answers a query for each agent that `answers`.
  /// @param holds whether the server of an agent may hold the first flow
  std::vector<DeferredDecision> Answer(
      const OwnerQuery& query,
      const std::function<bool(MemberId)>& answers = {},
      const std::function<bool(MemberId)>& holds = {}) {
    std::vector<DeferredDecision> decisions;
    for (const MemberId agent : query.agents) {
      if (answers && !answers(agent)) {
        continue;
      }
      std::vector<uint32_t> held;
      if (holds && holds(agent)) {
        held.push_back(0);
      }
      for (DeferredDecision& deferred :
           director.OnQueryAnswer(now, agent, query.id, true, held)) {
        decisions.push_back(std::move(deferred));
      }
    }
    return decisions;
  }
  /// Sends a packet of an unknown flow after 100 ms. All agents deny the flow.
  DirectorDecision Search() {
    now += Milliseconds(100);
    const FlowPacket packet = MakeLaterPacket(++port);
    DirectorDecision decision = Send(packet);
    while (decision.kind == DirectorDecision::Kind::kForward) {
      decision = Bounce(decision.agent, packet);
    }
    std::vector<DeferredDecision> decisions = director.OnTick(now);
    for (const OwnerQuery& query : director.TakeQueries()) {
      for (DeferredDecision& deferred : Answer(query)) {
        decisions.push_back(std::move(deferred));
      }
    }
    return decisions.empty() ? decision : decisions.front().decision;
  }
};

}  // namespace medlargauge::director_fixture

#endif  // MEDLARGAUGE_FORWARDING_LARGE_FLEET_FIXTURE_H_

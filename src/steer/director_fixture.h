// @file director_fixture.h A balancer with agents, for the tests of its
// decisions.
#ifndef MEDLARGAUGE_STEER_DIRECTOR_FIXTURE_H_
#define MEDLARGAUGE_STEER_DIRECTOR_FIXTURE_H_

#include <string>
#include <utility>
#include <vector>

#include "src/steer/flow_director.h"

namespace medlargauge::director_bed {

inline constexpr uint32_t kRouteIp = 0xC6120001;
inline constexpr SocketAddress4 kRoute{kRouteIp, 443};
inline constexpr SocketAddress4 kOtherRoute{kRouteIp, 8080};

inline RouteTable TableOf(uint64_t revision, std::vector<SteerRoute> routes) {
  RouteTable table;
  table.revision = revision;
  table.routes = std::move(routes);
  return table;
}

inline SteerRoute RouteTo(SocketAddress4 address, const std::string& service) {
  SteerRoute route;
  route.name = service;
  route.address = address;
  route.shares.push_back({ServiceIdOf(service), 1});
  route.timeout_ms = 3000;
  route.goal_ms = 200;
  return route;
}

inline FlowPacket Opening(uint16_t port, uint32_t sequence = 100) {
  FlowPacket packet;
  packet.flow = {{0x64400007, port}, kRoute};
  packet.syn = true;
  packet.sequence = sequence;
  return packet;
}

inline FlowPacket Later(uint16_t port) {
  FlowPacket packet = Opening(port);
  packet.syn = false;
  packet.ack = true;
  packet.data_length = 10;
  return packet;
}

/// A balancer that hears three agents of one service and one of another.
struct Bed {
  TimePoint now{Seconds(100)};
  MembershipTable roster{MemberId{1}, MembershipTimeouts()};
  ActiveRoutes routes;
  FlowDirector director{now,     DomainId{1},      &roster,
                        &routes, DirectorLimits(), &PlaceByResponseTime};
  std::string raw = "packet";
  uint32_t sequence = 0;

  Bed() {
    routes.Adopt(TableOf(1, {RouteTo(kRoute, "stock")}));
    HearAll();
    now += Seconds(5);
    HearAll();
  }

  void Hear(uint64_t id,
            const std::string& service,
            AgentState state = AgentState::kReady,
            uint32_t active = 0,
            bool leaving = false,
            uint32_t failing = 0) {
    SteerMember member;
    member.id = MemberId{id};
    member.role = MemberRole::kAgent;
    member.ip = static_cast<uint32_t>(id);
    member.incarnation = 1;
    member.service = ServiceIdOf(service);
    member.domain = DomainId{1};
    member.state = state;
    member.load.active = active;
    member.load.slots = 5;
    member.load.failing = failing;
    proto::PeerStatus status;
    *status.mutable_self() = EncodeMember(now, member);
    status.set_sequence(++sequence);
    status.set_leaving(leaving);
    roster.OnStatus(now, status);
  }

  void HearAll() {
    for (const uint64_t id : {11, 12, 13}) {
      Hear(id, "stock");
    }
    Hear(20, "media");
  }

  SteerDecision Send(const FlowPacket& packet) {
    return director.OnCallerPacket(
        now, packet,
        {reinterpret_cast<const uint8_t*>(raw.data()), raw.size()});
  }

  SteerDecision Return(const SteerDecision& sent,
                       ReturnReason reason,
                       const FlowPacket& packet) {
    return director.OnReturned(now, sent.agent, reason, MemberId(), packet);
  }
};

}  // namespace medlargauge::director_bed

#endif  // MEDLARGAUGE_STEER_DIRECTOR_FIXTURE_H_

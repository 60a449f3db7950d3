// @file director_fixture.h Test fixture: a balancer and the agents it reaches.
#ifndef MEDLARGAUGE_FORWARDING_DIRECTOR_FIXTURE_H_
#define MEDLARGAUGE_FORWARDING_DIRECTOR_FIXTURE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/forwarding/flow_director.h"

namespace medlargauge::director_fixture {

inline constexpr uint32_t kRouteIp = 0xC6120001;
inline constexpr SocketAddress4 kRoute{kRouteIp, 443};
inline constexpr SocketAddress4 kOtherRoute{kRouteIp, 8080};

/// Returns a route table of the given revision.
inline RouteTable MakeRouteTable(uint64_t revision,
                                 std::vector<ServiceRoute> routes) {
  RouteTable table;
  table.identity.version.revision = revision;
  table.routes = std::move(routes);
  return table;
}

/// Returns a route whose flows all go to one service.
inline ServiceRoute MakeRoute(SocketAddress4 address,
                              const std::string& service) {
  ServiceRoute route;
  route.name = service;
  route.address = address;
  route.shares.push_back({ServiceIdOf(service), 1});
  route.timeout_ms = 3000;
  route.goal_ms = 200;
  return route;
}

/// Returns the SYN of the flow from the given caller port.
inline FlowPacket MakeOpeningPacket(uint16_t port, uint32_t sequence = 100) {
  FlowPacket packet;
  packet.flow = {{0x64400007, port}, kRoute};
  packet.syn = true;
  packet.sequence = sequence;
  return packet;
}

/// Returns a data packet of the flow from the given caller port.
inline FlowPacket MakeLaterPacket(uint16_t port) {
  FlowPacket packet = MakeOpeningPacket(port);
  packet.syn = false;
  packet.ack = true;
  packet.data_length = 10;
  return packet;
}

/// A balancer that reaches three agents of one service and one of another.
struct DirectorFixture {
  TimePoint now{Seconds(100)};
  MembershipTable members{MemberId{1}, MembershipTimeouts()};
  ActiveRoutes routes;
  FlowDirector director{now,     DomainId{1},      &members,
                        &routes, DirectorLimits(), &PlaceByResponseTime};
  std::string raw = "packet";
  uint32_t sequence = 0;
  uint64_t incarnation = 1;  ///< Incarnation in the statuses of agents.
  ProtocolVersion protocol = kProtocolVersion;  ///< Of the agents.
  std::map<uint64_t, DomainId> domains;  ///< Of agents; 1 where none is set.

  DirectorFixture() {
    routes.Adopt(MakeRouteTable(1, {MakeRoute(kRoute, "stock")}));
    members.OnFleetMet();
    ReceiveAllStatuses();
    now += Seconds(5);
    ReceiveAllStatuses();
  }

  /// Delivers a status of an agent to the balancer.
  void ReceiveStatus(uint64_t id,
                     const std::string& service,
                     AgentState state = AgentState::kReady,
                     uint32_t active = 0,
                     bool leaving = false,
                     uint32_t failing = 0) {
    FleetMember member;
    member.id = MemberId{id};
    member.role = MemberRole::kAgent;
    member.ip = static_cast<uint32_t>(id);
    member.incarnation = incarnation;
    member.service = ServiceIdOf(service);
    const auto domain = domains.find(id);
    member.domain = domain == domains.end() ? DomainId{1} : domain->second;
    member.state = state;
    member.load.active = active;
    member.load.slots = 5;
    member.load.failing = failing;
    proto::PeerStatus status;
    *status.mutable_self() = EncodeMember(now, member);
    status.set_sequence(++sequence);
    status.set_protocol(protocol);
    status.set_leaving(leaving);
    members.OnStatus(now, status);
  }

  /// Delivers a status of each of the four agents.
  void ReceiveAllStatuses() {
    for (const uint64_t id : {11, 12, 13}) {
      ReceiveStatus(id, "stock");
    }
    ReceiveStatus(20, "media");
  }

  /// Returns the bytes of every packet.
  ByteView Raw() const {
    return {reinterpret_cast<const uint8_t*>(raw.data()), raw.size()};
  }

  /// Sends a packet of a caller to the balancer.
  DirectorDecision Send(const FlowPacket& packet) {
    return director.OnCallerPacket(now, packet, Raw());
  }

  /// Sends a request on an open flow; its agent is heard after that.
  void UseFlow(uint16_t port) {
    Send(MakeLaterPacket(port));
    now += Milliseconds(200);
    ReceiveAllStatuses();
  }

  /// Returns a forwarded packet from its agent to the balancer.
  DirectorDecision Return(const DirectorDecision& sent,
                          ReturnReason reason,
                          const FlowPacket& packet) {
    return director.OnReturned(now, sent.agent, reason, MemberId(), packet,
                               Raw());
  }
};

}  // namespace medlargauge::director_fixture

#endif  // MEDLARGAUGE_FORWARDING_DIRECTOR_FIXTURE_H_

// @file agent_fixture.h Test fixture: an agent and its backend server.
#ifndef MEDLARGAUGE_FORWARDING_AGENT_FIXTURE_H_
#define MEDLARGAUGE_FORWARDING_AGENT_FIXTURE_H_

#include "src/forwarding/agent_forwarder.h"

namespace medlargauge::agent_fixture {

inline constexpr SocketAddress4 kServer{0x0A010014, 8080};
inline constexpr uint32_t kBalancer = 0x0A010001;

inline FlowPacket MakePacket(uint16_t port, bool syn, uint16_t length = 0) {
  FlowPacket packet;
  packet.flow = {{0x64400007, port}, {0xC6120001, 443}};
  packet.syn = syn;
  packet.ack = !syn;
  packet.sequence = syn ? 100 : 101;
  packet.data_length = length;
  return packet;
}

/// An agent whose server has just sent a heartbeat.
struct ForwarderFixture {
  TimePoint now{Seconds(100)};
  AgentForwarder forwarder{"stock", kServer, ForwarderLimits()};
  uint64_t sequence = 0;

  ForwarderFixture() { SendReport(); }

  /// Returns the next heartbeat of the server.
  ServerReport MakeReport(bool draining = false) {
    ServerReport report;
    report.id = "i-1";
    report.started_ms = 5000;
    report.sequence = ++sequence;
    report.service = "stock";
    report.address = kServer;
    report.slots = 2;
    report.draining = draining;
    return report;
  }
  ReportOutcome SendReport(bool draining = false) {
    return forwarder.OnReport(now, MakeReport(draining));
  }
  /// Forwards a packet of a caller from the balancer to the agent.
  ForwarderDecision Forward(const FlowPacket& packet,
                            bool last_candidate = false,
                            uint32_t response_limit_ms = 200,
                            bool search = false) {
    ForwardHeader header;
    header.service = ServiceIdOf("stock");
    header.last_candidate = last_candidate;
    header.response_limit_ms = response_limit_ms;
    header.search = search;
    return forwarder.OnForwarded(now, kBalancer, header, packet);
  }
  /// Sends a data packet or an answer from the server to the agent.
  ForwarderDecision SendFromServer(uint16_t port,
                                   uint16_t length = 0,
                                   AnswerKind answer = AnswerKind::kUnknown) {
    FlowPacket packet = MakePacket(port, false, length);
    packet.from_caller = false;
    packet.answer = answer;
    return forwarder.OnServerPacket(now, packet);
  }
  /// Sends a SYN-ACK from the server to the agent.
  ForwarderDecision SendSynAck(uint16_t port, uint32_t sequence) {
    FlowPacket packet = MakePacket(port, false);
    packet.from_caller = false;
    packet.syn_ack = true;
    packet.sequence = sequence;
    return forwarder.OnServerPacket(now, packet);
  }
  /// Lets the server answer requests that run for the given time.
  void Measure(Duration service_time) {
    for (uint16_t port = 40001; port <= 40020; ++port) {
      OpenAndRequest(port);
      now += service_time;
      SendFromServer(port, 500, AnswerKind::kSuccess);
    }
    SendReport();
  }
  /// Opens a flow and sends a request on it.
  void OpenAndRequest(uint16_t port) {
    Forward(MakePacket(port, true), true, 0);
    SendFromServer(port);
    Forward(MakePacket(port, false, 50));
  }
};

}  // namespace medlargauge::agent_fixture

#endif  // MEDLARGAUGE_FORWARDING_AGENT_FIXTURE_H_

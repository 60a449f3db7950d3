// @file agent_forwarder_test.cc Tests of an agent's decisions.
#include <doctest/doctest.h>

#include "src/steer/agent_forwarder.h"

namespace medlargauge {
namespace {

constexpr SocketAddress4 kServer{0x0A010014, 8080};
constexpr uint32_t kBalancer = 0x0A010001;

FlowPacket Packet(uint16_t port, bool syn, uint16_t length = 0) {
  FlowPacket packet;
  packet.flow = {{0x64400007, port}, {0xC6120001, 443}};
  packet.syn = syn;
  packet.ack = !syn;
  packet.sequence = syn ? 100 : 101;
  packet.data_length = length;
  return packet;
}

/// An agent whose server has just said that it is ready.
struct Bed {
  TimePoint now{Seconds(100)};
  AgentForwarder gate{"stock", kServer, ForwarderLimits()};
  uint64_t sequence = 0;

  Bed() { Report(); }

  ServerReport Make(bool draining = false) {
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
  ReportOutcome Report(bool draining = false) {
    return gate.OnReport(now, Make(draining));
  }
  ForwarderDecision Forward(const FlowPacket& packet,
                            bool last_candidate = false,
                            uint32_t response_limit_ms = 200,
                            bool search = false) {
    ForwardHeader header;
    header.service = ServiceIdOf("stock");
    header.last_candidate = last_candidate;
    header.response_limit_ms = response_limit_ms;
    header.search = search;
    return gate.OnForwarded(now, kBalancer, header, packet);
  }
  ForwarderDecision FromServer(uint16_t port,
                               uint16_t length = 0,
                               AnswerKind answer = AnswerKind::kUnknown) {
    FlowPacket packet = Packet(port, false, length);
    packet.from_caller = false;
    packet.answer = answer;
    return gate.OnServerPacket(now, packet);
  }
  ForwarderDecision Accept(uint16_t port, uint32_t sequence) {
    FlowPacket packet = Packet(port, false);
    packet.from_caller = false;
    packet.syn_ack = true;
    packet.sequence = sequence;
    return gate.OnServerPacket(now, packet);
  }
  /// Opens a flow and sends a request on it.
  void Ask(uint16_t port) {
    Forward(Packet(port, true), true, 0);
    FromServer(port);
    Forward(Packet(port, false, 50));
  }
};

TEST_CASE("a packet for another service never reaches the server") {
  Bed bed;
  ForwardHeader header;
  header.service = ServiceIdOf("media");
  for (const bool syn : {true, false}) {
    const ForwarderDecision decision =
        bed.gate.OnForwarded(bed.now, kBalancer, header, Packet(1, syn));
    CHECK(decision.kind == ForwarderDecision::Kind::kReturn);
    CHECK(decision.reason == ReturnReason::kWrongService);
  }
}

TEST_CASE("an accepted flow is confirmed to its balancer once") {
  Bed bed;
  CHECK(bed.Forward(Packet(1, true)).kind == ForwarderDecision::Kind::kDeliver);
  const ForwarderDecision answer = bed.FromServer(1);
  CHECK(answer.kind == ForwarderDecision::Kind::kToCaller);
  CHECK(answer.confirm);
  CHECK(answer.balancer_ip == kBalancer);
  CHECK_FALSE(bed.FromServer(1).confirm);
}

TEST_CASE("a packet that accepts another server's answer goes back") {
  Bed bed;
  bed.Forward(Packet(1, true));
  bed.Accept(1, 500);
  FlowPacket other = Packet(1, false, 50);
  other.acknowledged = 90000000;
  const ForwarderDecision decision = bed.Forward(other, false, 200, true);
  CHECK(decision.kind == ForwarderDecision::Kind::kReturn);
  CHECK(decision.reason == ReturnReason::kBounced);
  other.acknowledged = 501;
  CHECK(bed.Forward(other).kind == ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("a flow that the caller accepted here is not doubted any more") {
  Bed bed;
  bed.Forward(Packet(1, true));
  bed.Accept(1, 500);
  FlowPacket own = Packet(1, false, 50);
  own.acknowledged = 501;
  CHECK_FALSE(bed.Forward(own).confirm);
  own.acknowledged = 40000000;  // After many answers.
  const ForwarderDecision decision = bed.Forward(own, false, 200, true);
  CHECK(decision.kind == ForwarderDecision::Kind::kDeliver);
  CHECK(decision.confirm);
  CHECK(decision.proven);
}

TEST_CASE("an answer to an opening packet does not end a search") {
  Bed bed;
  bed.Forward(Packet(1, false, 50), false, 200, true);  // Unknown so far.
  CHECK_FALSE(bed.Accept(1, 500).confirm);
  const ForwarderDecision decision = bed.FromServer(1);
  CHECK(decision.confirm);
  CHECK(decision.proven);
  bed.Forward(Packet(2, true));
  CHECK(bed.Accept(2, 500).confirm);
  CHECK_FALSE(bed.Accept(2, 500).confirm);
}

TEST_CASE("a dead server's half-open flow is not reset by another's numbers") {
  Bed bed;
  bed.Forward(Packet(1, true));
  FlowPacket other = Packet(1, false, 50);  // Of a flow that others accepted.
  other.acknowledged = 7777;
  bed.Forward(other);
  bed.Forward(Packet(2, true));
  bed.FromServer(2);
  FlowPacket own = Packet(2, false, 50);
  own.acknowledged = 8888;
  bed.Forward(own);
  for (const FlowReset& reset : bed.gate.OnServerDown(bed.now)) {
    const bool held = reset.flow == own.flow;
    CHECK(reset.acknowledged == (held ? 8888 : 0));
  }
}

TEST_CASE("requests are counted from their arrival to their first answer") {
  Bed bed;
  bed.Ask(1);
  CHECK(bed.gate.ActiveRequests() == 1);
  bed.Forward(Packet(1, false, 50));  // Sent again.
  CHECK(bed.gate.ActiveRequests() == 1);
  bed.now += Milliseconds(40);
  bed.FromServer(1, 500);
  CHECK(bed.gate.ActiveRequests() == 0);
  CHECK(bed.gate.Load(bed.now).service_us == 40000);
}

TEST_CASE("an opened flow without a request is counted for a short while") {
  Bed bed;
  bed.Forward(Packet(1, true));
  bed.FromServer(1);
  CHECK(bed.gate.ActiveRequests() == 1);
  bed.now += Milliseconds(450);
  bed.gate.OnTick(bed.now);
  CHECK(bed.gate.ActiveRequests() == 0);
  CHECK(bed.gate.FlowCount() == 1);
}

TEST_CASE("without a free slot a flow is returned unless it must be taken") {
  Bed bed;
  bed.Ask(1);
  bed.Ask(2);
  const ForwarderDecision busy = bed.Forward(Packet(3, true));
  CHECK(busy.reason == ReturnReason::kBusy);
  CHECK(bed.Forward(Packet(3, true), true).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("a flow whose answer would miss the aim is returned as useless") {
  Bed bed;
  for (uint16_t port = 1; port <= 7; ++port) {
    bed.Ask(port);
  }
  // 30 ms and two slots: the eighth would wait about 90 ms and work 30.
  CHECK(bed.Forward(Packet(20, true), true, 100).reason == ReturnReason::kFull);
  CHECK(bed.Forward(Packet(20, true), true, 1000).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("a refusal by the server shows where it is full") {
  Bed bed;
  for (uint16_t port = 1; port <= 4; ++port) {
    bed.Ask(port);
  }
  bed.FromServer(4, 100, AnswerKind::kRefused);
  CHECK(bed.gate.ActiveRequests() == 3);
  CHECK(bed.Forward(Packet(9, true), true, 5000).reason == ReturnReason::kFull);
  bed.now += Seconds(6);
  CHECK(bed.Forward(Packet(9, true), true, 5000).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("failed answers are reported and forgotten in time") {
  Bed bed;
  for (uint16_t port = 1; port <= 20; ++port) {
    bed.Ask(port);
    bed.FromServer(port, 100, AnswerKind::kFailure);
  }
  CHECK(bed.gate.Load(bed.now).failing > 800);
  bed.now += Seconds(10);
  CHECK(bed.gate.Load(bed.now).failing < 10);
}

TEST_CASE("a draining server gets no new flow from the acknowledgement on") {
  Bed bed;
  bed.Ask(1);
  CHECK(bed.Report(true) == ReportOutcome::kApplied);
  CHECK(bed.Forward(Packet(2, true), true).reason == ReturnReason::kDraining);
  CHECK(bed.gate.State(bed.now) == AgentState::kDraining);
  // What it has goes on.
  CHECK(bed.Forward(Packet(1, false, 50)).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("an agent that stops takes no new flow and keeps the open ones") {
  Bed bed;
  bed.Ask(1);
  bed.gate.StartLeaving();
  CHECK(bed.Forward(Packet(2, true), true).reason == ReturnReason::kDraining);
  CHECK(bed.Forward(Packet(1, false, 50)).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("a bounced packet goes back to the balancer it came through") {
  Bed bed;
  bed.Forward(Packet(1, false, 10), false, 200, true);
  FlowPacket bounced = Packet(1, false, 10);
  bounced.bounced = true;
  bounced.tag = kBalancer;
  const ForwarderDecision decision = bed.gate.OnServerPacket(bed.now, bounced);
  CHECK(decision.kind == ForwarderDecision::Kind::kReturn);
  CHECK(decision.reason == ReturnReason::kBounced);
  CHECK(decision.balancer_ip == kBalancer);
  CHECK(bed.gate.FlowCount() == 0);
  CHECK(bed.gate.ActiveRequests() == 0);
}

TEST_CASE("a restarted agent delivers and finds out what the server holds") {
  AgentForwarder fresh("stock", kServer, ForwarderLimits());
  const TimePoint now{Seconds(100)};
  CHECK(fresh.State(now) == AgentState::kJoining);
  ForwardHeader header;
  header.service = ServiceIdOf("stock");
  header.search = true;
  CHECK(fresh.OnForwarded(now, kBalancer, header, Packet(1, false, 10)).kind ==
        ForwarderDecision::Kind::kDeliver);
  FlowPacket answer = Packet(1, false, 10);
  answer.from_caller = false;
  CHECK(fresh.OnServerPacket(now, answer).confirm);
}

TEST_CASE("late and foreign heartbeats change nothing") {
  Bed bed;
  ServerReport late = bed.Make();
  late.sequence = 1;
  late.draining = true;
  CHECK(bed.gate.OnReport(bed.now, late) == ReportOutcome::kStale);
  ServerReport older = bed.Make(true);
  older.id = "i-0";
  older.started_ms = 4000;
  CHECK(bed.gate.OnReport(bed.now, older) == ReportOutcome::kStale);
  ServerReport foreign = bed.Make(true);
  foreign.service = "media";
  CHECK(bed.gate.OnReport(bed.now, foreign) == ReportOutcome::kWrongServer);
  foreign = bed.Make(true);
  foreign.address.port = 1;
  CHECK(bed.gate.OnReport(bed.now, foreign) == ReportOutcome::kWrongServer);
  CHECK(bed.gate.State(bed.now) == AgentState::kReady);
}

TEST_CASE("a server that starts again under its id counts anew") {
  Bed bed;
  bed.Report();
  ServerReport again = bed.Make();
  again.started_ms = 9000;
  again.sequence = 1;
  CHECK(bed.gate.OnReport(bed.now, again) == ReportOutcome::kApplied);
}

TEST_CASE("a late heartbeat does not revive a server that has left") {
  Bed bed;
  CHECK(bed.gate.OnDeregister(bed.now, "i-1"));
  CHECK(bed.gate.State(bed.now) == AgentState::kGone);
  CHECK(bed.Report() == ReportOutcome::kStale);
  CHECK(bed.gate.State(bed.now) == AgentState::kGone);
  CHECK(bed.Forward(Packet(1, true)).reason == ReturnReason::kServerDown);
  CHECK_FALSE(Bed().gate.OnDeregister(bed.now, "i-2"));
}

TEST_CASE("flows of a dead server are reset once") {
  Bed bed;
  bed.Ask(1);
  bed.Ask(2);
  CHECK(bed.gate.OnServerDown(bed.now).size() == 2);
  CHECK(bed.gate.OnServerDown(bed.now).empty());
  CHECK(bed.gate.ActiveRequests() == 0);
  CHECK(bed.Forward(Packet(1, false, 5)).reason == ReturnReason::kServerDown);
  bed.Report();
  CHECK(bed.Forward(Packet(3, true)).kind == ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("a server that leaves opening packets unanswered is routed around") {
  Bed bed;
  bed.Forward(Packet(1, true));
  bed.now += Milliseconds(100);
  CHECK(bed.gate.NeedsServerProbe(bed.now));
  CHECK(bed.gate.State(bed.now) == AgentState::kJoining);
  CHECK(bed.Forward(Packet(2, true), true).reason == ReturnReason::kServerDown);
  bed.FromServer(1);
  CHECK(bed.gate.State(bed.now) == AgentState::kReady);
}

TEST_CASE("a pointer names the owner only while a flow is searched") {
  Bed bed;
  bed.gate.OnPointer(bed.now, Packet(1, false).flow, MemberId{77});
  CHECK(bed.Forward(Packet(1, false, 5)).kind ==
        ForwarderDecision::Kind::kDeliver);
  ForwarderDecision moved = bed.Forward(Packet(1, false, 5), false, 200, true);
  CHECK(moved.reason == ReturnReason::kMoved);
  CHECK(moved.owner == MemberId{77});
  // The own server shows that it holds the flow: the pointer is wrong.
  bed.FromServer(1);
  CHECK(bed.Forward(Packet(1, false, 5), false, 200, true).kind ==
        ForwarderDecision::Kind::kDeliver);
}

}  // namespace
}  // namespace medlargauge

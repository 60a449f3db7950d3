// @file agent_forwarder_test.cc Tests of an agent's forwarding decisions.
#include <doctest/doctest.h>

#include "src/forwarding/agent_fixture.h"

namespace medlargauge {
namespace {

using namespace agent_fixture;  // NOLINT(google-build-using-namespace)

TEST_CASE("an agent took flows before it knew whether its server drains") {
  const TimePoint now{Seconds(100)};
  AgentForwarder forwarder("stock", kServer, ForwarderLimits());
  ForwardHeader header;
  header.service = ServiceIdOf("stock");
  header.last_candidate = true;
  const auto open = [&](uint16_t port) {
    return forwarder.OnForwarded(now, kBalancer, header,
                                 MakePacket(port, true));
  };
  CHECK(open(1).reason == ReturnReason::kServerDown);
  // Packets of open flows pass.
  CHECK(forwarder.OnForwarded(now, kBalancer, header, MakePacket(2, false, 9))
            .kind == ForwarderDecision::Kind::kDeliver);
  ServerReport report;
  report.id = "i-1";
  report.sequence = 7;
  report.service = "stock";
  report.address = kServer;
  report.draining = true;
  REQUIRE(forwarder.OnReport(now, report) == ReportOutcome::kApplied);
  CHECK(open(1).reason == ReturnReason::kDraining);
  report.draining = false;
  ++report.sequence;
  REQUIRE(forwarder.OnReport(now, report) == ReportOutcome::kApplied);
  CHECK(open(1).kind == ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("a packet for another service is not delivered") {
  ForwarderFixture fixture;
  ForwardHeader header;
  header.service = ServiceIdOf("media");
  for (const bool syn : {true, false}) {
    const ForwarderDecision decision = fixture.forwarder.OnForwarded(
        fixture.now, kBalancer, header, MakePacket(1, syn));
    CHECK(decision.kind == ForwarderDecision::Kind::kReturn);
    CHECK(decision.reason == ReturnReason::kWrongService);
  }
}

TEST_CASE("an accepted flow is confirmed to its balancer once") {
  ForwarderFixture fixture;
  CHECK(fixture.Forward(MakePacket(1, true)).kind ==
        ForwarderDecision::Kind::kDeliver);
  const ForwarderDecision answer = fixture.SendFromServer(1);
  CHECK(answer.kind == ForwarderDecision::Kind::kToCaller);
  CHECK(answer.confirm);
  CHECK(answer.balancer_ip == kBalancer);
  CHECK_FALSE(fixture.SendFromServer(1).confirm);
}

TEST_CASE("a packet that acknowledges another server's SYN-ACK is returned") {
  ForwarderFixture fixture;
  fixture.Forward(MakePacket(1, true));
  fixture.SendSynAck(1, 500);
  FlowPacket other = MakePacket(1, false, 50);
  other.acknowledged = 90000000;
  const ForwarderDecision decision = fixture.Forward(other, false, 200, true);
  CHECK(decision.kind == ForwarderDecision::Kind::kReturn);
  CHECK(decision.reason == ReturnReason::kBounced);
  other.acknowledged = 501;
  CHECK(fixture.Forward(other).kind == ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("packets for a server with a nearby initial number are returned") {
  ForwarderFixture fixture;
  fixture.Forward(MakePacket(1, true));
  fixture.SendSynAck(1, 500);
  for (const uint32_t distance : {2U, 1000U, 10000000U, 16777216U}) {
    FlowPacket other = MakePacket(1, false, 50);
    other.acknowledged = 500 + distance;
    const ForwarderDecision decision = fixture.Forward(other);
    CHECK(decision.kind == ForwarderDecision::Kind::kReturn);
    CHECK_FALSE(decision.proven);
  }
  FlowPacket own = MakePacket(1, false, 50);
  own.acknowledged = 501;
  CHECK(fixture.Forward(own).proven);
}

TEST_CASE("acknowledgement numbers of an established flow are not checked") {
  ForwarderFixture fixture;
  fixture.Forward(MakePacket(1, true));
  fixture.SendSynAck(1, 500);
  FlowPacket own = MakePacket(1, false, 50);
  own.acknowledged = 501;
  CHECK_FALSE(fixture.Forward(own).confirm);
  own.acknowledged = 40000000;  // After many answers.
  const ForwarderDecision decision = fixture.Forward(own, false, 200, true);
  CHECK(decision.kind == ForwarderDecision::Kind::kDeliver);
  CHECK(decision.confirm);
  CHECK(decision.proven);
}

TEST_CASE("a SYN-ACK does not confirm a searched flow") {
  ForwarderFixture fixture;
  // The agent does not know this flow.
  fixture.Forward(MakePacket(1, false, 50), false, 200, true);
  CHECK_FALSE(fixture.SendSynAck(1, 500).confirm);
  const ForwarderDecision decision = fixture.SendFromServer(1);
  CHECK(decision.confirm);
  CHECK(decision.proven);
  fixture.Forward(MakePacket(2, true));
  CHECK(fixture.SendSynAck(2, 500).confirm);
  CHECK_FALSE(fixture.SendSynAck(2, 500).confirm);
}

TEST_CASE(
    "a half-open flow is reset without another server's acknowledgement") {
  ForwarderFixture fixture;
  fixture.Forward(MakePacket(1, true));
  FlowPacket other = MakePacket(1, false, 50);  // For another server's SYN-ACK.
  other.acknowledged = 7777;
  fixture.Forward(other);
  fixture.Forward(MakePacket(2, true));
  fixture.SendFromServer(2);
  FlowPacket own = MakePacket(2, false, 50);
  own.acknowledged = 8888;
  fixture.Forward(own);
  for (const FlowReset& reset : fixture.forwarder.OnServerDown(fixture.now)) {
    const bool held = reset.flow == own.flow;
    CHECK(reset.acknowledged == (held ? 8888 : 0));
  }
}

TEST_CASE("a server that stops resets no flow that another server may hold") {
  ForwarderFixture fixture;
  fixture.Forward(MakePacket(1, true));
  fixture.SendSynAck(1, 500);
  fixture.now += Seconds(10);  // The caller has chosen a server by now.
  CHECK(fixture.forwarder.OnServerDown(fixture.now).empty());
}

TEST_CASE("a draining server gets no new flows once its heartbeat is applied") {
  ForwarderFixture fixture;
  fixture.OpenAndRequest(1);
  CHECK(fixture.SendReport(true) == ReportOutcome::kApplied);
  CHECK(fixture.Forward(MakePacket(2, true), true).reason ==
        ReturnReason::kDraining);
  CHECK(fixture.forwarder.State(fixture.now) == AgentState::kDraining);
  // Open flows continue.
  CHECK(fixture.Forward(MakePacket(1, false, 50)).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("a stopping agent accepts no new flows and keeps the open ones") {
  ForwarderFixture fixture;
  fixture.OpenAndRequest(1);
  fixture.forwarder.StartLeaving();
  CHECK(fixture.Forward(MakePacket(2, true), true).reason ==
        ReturnReason::kDraining);
  CHECK(fixture.Forward(MakePacket(1, false, 50)).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("a bounced packet is returned to the balancer that forwarded it") {
  ForwarderFixture fixture;
  fixture.Forward(MakePacket(1, false, 10), false, 200, true);
  FlowPacket bounced = MakePacket(1, false, 10);
  bounced.bounced = true;
  bounced.tag = kBalancer;
  const ForwarderDecision decision =
      fixture.forwarder.OnServerPacket(fixture.now, bounced);
  CHECK(decision.kind == ForwarderDecision::Kind::kReturn);
  CHECK(decision.reason == ReturnReason::kBounced);
  CHECK(decision.balancer_ip == kBalancer);
  CHECK(fixture.forwarder.FlowCount() == 0);
  CHECK(fixture.forwarder.ActiveRequests() == 0);
}

TEST_CASE(
    "a restarted agent delivers packets and confirms flows that are held") {
  AgentForwarder new_forwarder("stock", kServer, ForwarderLimits());
  const TimePoint now{Seconds(100)};
  CHECK(new_forwarder.State(now) == AgentState::kJoining);
  ForwardHeader header;
  header.service = ServiceIdOf("stock");
  header.search = true;
  CHECK(new_forwarder
            .OnForwarded(now, kBalancer, header, MakePacket(1, false, 10))
            .kind == ForwarderDecision::Kind::kDeliver);
  FlowPacket answer = MakePacket(1, false, 10);
  answer.from_caller = false;
  CHECK(new_forwarder.OnServerPacket(now, answer).confirm);
}

TEST_CASE("stale heartbeats and heartbeats of other servers change nothing") {
  ForwarderFixture fixture;
  ServerReport stale = fixture.MakeReport();
  stale.sequence = 1;
  stale.draining = true;
  CHECK(fixture.forwarder.OnReport(fixture.now, stale) ==
        ReportOutcome::kStale);
  ServerReport older = fixture.MakeReport(true);
  older.id = "i-0";
  older.started_ms = 4000;
  CHECK(fixture.forwarder.OnReport(fixture.now, older) ==
        ReportOutcome::kStale);
  ServerReport wrong_server = fixture.MakeReport(true);
  wrong_server.service = "media";
  CHECK(fixture.forwarder.OnReport(fixture.now, wrong_server) ==
        ReportOutcome::kWrongServer);
  wrong_server = fixture.MakeReport(true);
  wrong_server.address.port = 1;
  CHECK(fixture.forwarder.OnReport(fixture.now, wrong_server) ==
        ReportOutcome::kWrongServer);
  CHECK(fixture.forwarder.State(fixture.now) == AgentState::kReady);
}

TEST_CASE(
    "a server that restarts with its id restarts the heartbeat sequence") {
  ForwarderFixture fixture;
  fixture.SendReport();
  ServerReport after_restart = fixture.MakeReport();
  after_restart.started_ms = 9000;
  after_restart.sequence = 1;
  CHECK(fixture.forwarder.OnReport(fixture.now, after_restart) ==
        ReportOutcome::kApplied);
}

TEST_CASE("a stale heartbeat does not revive a deregistered server") {
  ForwarderFixture fixture;
  CHECK(fixture.forwarder.OnDeregister("i-1"));
  CHECK(fixture.forwarder.State(fixture.now) == AgentState::kDraining);
  CHECK(fixture.SendReport() == ReportOutcome::kStale);
  CHECK(fixture.forwarder.State(fixture.now) == AgentState::kDraining);
  CHECK(fixture.Forward(MakePacket(1, true)).reason == ReturnReason::kDraining);
  CHECK(fixture.forwarder.NeedsServerProbe(fixture.now));
  fixture.forwarder.OnServerDown(fixture.now);
  CHECK(fixture.SendReport() == ReportOutcome::kStale);
  CHECK(fixture.forwarder.State(fixture.now) == AgentState::kGone);
  CHECK(fixture.Forward(MakePacket(1, true)).reason ==
        ReturnReason::kServerDown);
  CHECK_FALSE(ForwarderFixture().forwarder.OnDeregister("i-2"));
}

TEST_CASE("a late deregistration does not stop the server of a new agent") {
  TimePoint now{Seconds(100)};
  AgentForwarder forwarder("stock", kServer, ForwarderLimits());
  CHECK_FALSE(forwarder.OnDeregister("i-0"));
  ForwardHeader header;
  header.service = ServiceIdOf("stock");
  header.search = true;
  CHECK(forwarder.OnForwarded(now, kBalancer, header, MakePacket(1, false, 10))
            .kind == ForwarderDecision::Kind::kDeliver);
  CHECK(forwarder.State(now) != AgentState::kGone);
  // Whether the server is still there is found out by a probe.
  CHECK(forwarder.NeedsServerProbe(now));
  forwarder.OnServerDown(now);
  CHECK(forwarder.State(now) == AgentState::kGone);
  CHECK_FALSE(forwarder.NeedsServerProbe(now));
}

// The late deregistration of an earlier start took a server that had restarted
// under its id out of service for good.
TEST_CASE("a server that goes on with heartbeats has not left") {
  ForwarderFixture fixture;
  CHECK(fixture.forwarder.OnDeregister("i-1"));
  CHECK(fixture.SendReport() == ReportOutcome::kStale);
  CHECK(fixture.SendReport() == ReportOutcome::kStale);
  CHECK(fixture.forwarder.State(fixture.now) == AgentState::kDraining);
  CHECK(fixture.SendReport() == ReportOutcome::kApplied);
  CHECK(fixture.forwarder.State(fixture.now) == AgentState::kReady);
}

TEST_CASE("flows of a dead server are reset once") {
  ForwarderFixture fixture;
  fixture.OpenAndRequest(1);
  fixture.OpenAndRequest(2);
  CHECK(fixture.forwarder.OnServerDown(fixture.now).size() == 2);
  CHECK(fixture.forwarder.OnServerDown(fixture.now).empty());
  CHECK(fixture.forwarder.ActiveRequests() == 0);
  CHECK(fixture.Forward(MakePacket(1, false, 5)).reason ==
        ReturnReason::kServerDown);
  fixture.SendReport();
  CHECK(fixture.Forward(MakePacket(3, true)).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("a server that leaves opening packets unanswered gets no new flows") {
  ForwarderFixture fixture;
  fixture.Forward(MakePacket(1, true));
  fixture.now += Milliseconds(100);
  CHECK(fixture.forwarder.NeedsServerProbe(fixture.now));
  CHECK(fixture.forwarder.State(fixture.now) == AgentState::kJoining);
  CHECK(fixture.Forward(MakePacket(2, true), true).reason ==
        ReturnReason::kServerDown);
  fixture.SendFromServer(1);
  CHECK(fixture.forwarder.State(fixture.now) == AgentState::kReady);
}

TEST_CASE("a server that was never heard is probed if it ignores a search") {
  TimePoint now{Seconds(100)};
  AgentForwarder forwarder("stock", kServer, ForwarderLimits());
  ForwardHeader header;
  header.service = ServiceIdOf("stock");
  header.search = true;
  const FlowPacket packet = MakePacket(1, false, 50);
  CHECK(forwarder.OnForwarded(now, kBalancer, header, packet).kind ==
        ForwarderDecision::Kind::kDeliver);
  CHECK_FALSE(forwarder.NeedsServerProbe(now));
  now += Milliseconds(100);
  CHECK(forwarder.NeedsServerProbe(now));
  forwarder.OnServerDown(now);  // The probe found that nothing listens.
  CHECK(forwarder.State(now) == AgentState::kGone);
  CHECK(forwarder.OnForwarded(now, kBalancer, header, packet).reason ==
        ReturnReason::kServerDown);
}

TEST_CASE("an agent that leaves without having heard its server probes it") {
  const TimePoint now{Seconds(100)};
  AgentForwarder unheard("stock", kServer, ForwarderLimits());
  CHECK_FALSE(unheard.NeedsServerProbe(now));
  unheard.StartLeaving();
  CHECK(unheard.NeedsServerProbe(now));
  unheard.OnServerDown(now);
  CHECK_FALSE(unheard.NeedsServerProbe(now));
  CHECK(unheard.State(now) == AgentState::kGone);
  ForwarderFixture heard;
  heard.forwarder.StartLeaving();
  CHECK_FALSE(heard.forwarder.NeedsServerProbe(heard.now));
}

TEST_CASE(
    "searches wait for an agent whose host has started without a server") {
  TimePoint now{Seconds(100)};
  AgentForwarder absent("stock", kServer, ForwarderLimits());
  absent.OnStart(now);
  CHECK_FALSE(absent.NeedsServerProbe(now));
  now += ForwarderLimits().first_report_time;
  CHECK(absent.NeedsServerProbe(now));
  absent.OnServerDown(now);
  CHECK(absent.State(now) == AgentState::kGone);
  CHECK_FALSE(absent.NeedsServerProbe(now));
  // A server that listens, or has sent a heartbeat, is not probed again.
  AgentForwarder listening("stock", kServer, ForwarderLimits());
  listening.OnStart(now);
  listening.OnServerListens();
  CHECK_FALSE(listening.NeedsServerProbe(now + Seconds(2)));
  ForwarderFixture heard;
  heard.forwarder.OnStart(heard.now);
  CHECK_FALSE(heard.forwarder.NeedsServerProbe(heard.now + Seconds(2)));
}

TEST_CASE("a packet that a stopped server left behind does not revive it") {
  ForwarderFixture fixture;
  fixture.OpenAndRequest(1);
  fixture.forwarder.OnServerDown(fixture.now);
  fixture.now += Milliseconds(50);
  FlowPacket bounced = MakePacket(1, false, 50);
  bounced.bounced = true;
  CHECK(fixture.forwarder.OnServerPacket(fixture.now, bounced).reason ==
        ReturnReason::kBounced);
  CHECK(fixture.forwarder.State(fixture.now) == AgentState::kGone);
  fixture.now += Milliseconds(500);
  fixture.SendReport();
  CHECK(fixture.forwarder.State(fixture.now) == AgentState::kReady);
}

TEST_CASE("a pointer is used only while a flow is searched") {
  ForwarderFixture fixture;
  fixture.forwarder.OnPointer(fixture.now, MakePacket(1, false).flow,
                              MemberId{77});
  CHECK(fixture.Forward(MakePacket(1, false, 5)).kind ==
        ForwarderDecision::Kind::kDeliver);
  ForwarderDecision moved =
      fixture.Forward(MakePacket(1, false, 5), false, 200, true);
  CHECK(moved.reason == ReturnReason::kMoved);
  CHECK(moved.owner == MemberId{77});
  // The agent's own server holds the flow, so the pointer is wrong.
  fixture.SendFromServer(1);
  CHECK(fixture.Forward(MakePacket(1, false, 5), false, 200, true).kind ==
        ForwarderDecision::Kind::kDeliver);
}

}  // namespace
}  // namespace medlargauge

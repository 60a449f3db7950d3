// @file agent_load_test.cc Tests of the load that an agent measures.
#include <doctest/doctest.h>

#include "src/forwarding/agent_fixture.h"

namespace medlargauge {
namespace {

using namespace agent_fixture;  // NOLINT(google-build-using-namespace)

TEST_CASE("requests are active from their arrival to the first answer byte") {
  ForwarderFixture fixture;
  fixture.OpenAndRequest(1);
  CHECK(fixture.forwarder.ActiveRequests() == 1);
  fixture.Forward(MakePacket(1, false, 50));  // Retransmission.
  CHECK(fixture.forwarder.ActiveRequests() == 1);
  fixture.now += Milliseconds(40);
  fixture.SendFromServer(1, 500);
  CHECK(fixture.forwarder.ActiveRequests() == 0);
  CHECK(fixture.forwarder.Load(fixture.now).service_us == 40000);
}

TEST_CASE(
    "a request that the server drops, as its caller left, is not active") {
  ForwarderFixture fixture;
  fixture.OpenAndRequest(1);
  fixture.OpenAndRequest(2);
  CHECK(fixture.Forward(MakePacket(3, true)).reason == ReturnReason::kBusy);
  FlowPacket fin = MakePacket(1, false);
  fin.from_caller = false;
  fin.fin = true;
  fixture.forwarder.OnServerPacket(fixture.now, fin);
  CHECK(fixture.forwarder.ActiveRequests() == 1);
  CHECK(fixture.Forward(MakePacket(3, true)).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("new flows without a request do not shorten the service time") {
  ForwarderFixture fixture;
  for (uint16_t port = 10; port < 30; ++port) {
    fixture.Forward(MakePacket(port, true), true, 0);
  }
  fixture.OpenAndRequest(1);
  fixture.now += Milliseconds(40);
  fixture.SendFromServer(1, 500);
  CHECK(fixture.forwarder.Load(fixture.now).service_us == 40000);
}

TEST_CASE("a searched packet is no load before the server shows its flow") {
  ForwarderFixture fixture;
  for (uint16_t port = 1; port <= 9; ++port) {
    fixture.Forward(MakePacket(port, false, 50), false, 200, true);
  }
  CHECK(fixture.forwarder.ActiveRequests() == 0);
  fixture.SendFromServer(1, 500);
  FlowPacket next = MakePacket(1, false, 50);
  next.sequence += 50;
  fixture.Forward(next);
  CHECK(fixture.forwarder.ActiveRequests() == 1);
}

TEST_CASE("a caller that left while its flow opened is soon no load") {
  ForwarderFixture fixture;
  for (uint16_t port = 1; port <= 20; ++port) {
    fixture.Forward(MakePacket(port, true), true, 0);
    fixture.SendSynAck(port, 5000);
    fixture.now += Milliseconds(6);
    FlowPacket request = MakePacket(port, false, 50);
    request.acknowledged = 5001;
    fixture.Forward(request);
    fixture.SendFromServer(port, 500);
  }
  fixture.Forward(MakePacket(30, true), true, 0);
  fixture.SendSynAck(30, 5000);
  CHECK(fixture.forwarder.ActiveRequests() == 1);
  fixture.now += Milliseconds(25);
  fixture.forwarder.OnTick(fixture.now);
  CHECK(fixture.forwarder.ActiveRequests() == 0);
}

TEST_CASE("an open flow without a request is active for a short time only") {
  ForwarderFixture fixture;
  fixture.Forward(MakePacket(1, true));
  fixture.SendFromServer(1);
  CHECK(fixture.forwarder.ActiveRequests() == 1);
  fixture.now += Milliseconds(450);
  fixture.forwarder.OnTick(fixture.now);
  CHECK(fixture.forwarder.ActiveRequests() == 0);
  CHECK(fixture.forwarder.FlowCount() == 1);
}

TEST_CASE(
    "without a free slot a flow is returned unless it is the last candidate") {
  ForwarderFixture fixture;
  fixture.Measure(Milliseconds(30));
  fixture.OpenAndRequest(1);
  fixture.OpenAndRequest(2);
  const ForwarderDecision busy = fixture.Forward(MakePacket(3, true));
  CHECK(busy.reason == ReturnReason::kBusy);
  CHECK(fixture.Forward(MakePacket(3, true), true).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("a flow whose answer would miss the response limit is returned") {
  ForwarderFixture fixture;
  fixture.Measure(Milliseconds(30));
  for (uint16_t port = 1; port <= 7; ++port) {
    fixture.OpenAndRequest(port);
  }
  // With 30 ms per request and two slots, the eighth request would wait about
  // 90 ms and run for 30 ms.
  CHECK(fixture.Forward(MakePacket(20, true), true, 120).reason ==
        ReturnReason::kFull);
  CHECK(fixture.Forward(MakePacket(20, true), true, 1000).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("an agent that measured nothing fills slots, but no queue") {
  // Guards against the queue of a server whose service time is assumed: after a
  // loss of all power each request in it was late.
  ForwarderFixture fixture;
  fixture.OpenAndRequest(1);
  CHECK(fixture.Forward(MakePacket(2, true), true, 1000).kind ==
        ForwarderDecision::Kind::kDeliver);
  CHECK(fixture.Forward(MakePacket(3, true), true, 1000).reason ==
        ReturnReason::kFull);
  fixture.now += Milliseconds(30);
  fixture.SendFromServer(1, 500, AnswerKind::kSuccess);
  fixture.OpenAndRequest(4);
  CHECK(fixture.Forward(MakePacket(3, true), true, 1000).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("times of a warm server do not fill the queue of a cold one") {
  // Guards against too long queues in the first seconds after a restart, when
  // requests take longer than they were measured to take.
  ForwarderFixture fixture;
  fixture.Measure(Milliseconds(30));
  ServerReport report = fixture.MakeReport();
  report.warmup_ms = 2000;
  fixture.forwarder.OnReport(fixture.now, report);
  fixture.OpenAndRequest(1);
  fixture.OpenAndRequest(2);
  CHECK(fixture.Forward(MakePacket(3, true), true, 1000).reason ==
        ReturnReason::kFull);
}

TEST_CASE("a server whose requests do not end admits none to its queue") {
  // Guards against admission by the times from before a server became slow.
  ForwarderFixture fixture;
  fixture.Measure(Milliseconds(30));
  fixture.OpenAndRequest(1);
  fixture.OpenAndRequest(2);
  fixture.now += Milliseconds(50);
  CHECK(fixture.Forward(MakePacket(3, true), true, 200).kind ==
        ForwarderDecision::Kind::kDeliver);
  fixture.SendFromServer(3);
  fixture.now += Milliseconds(100);
  CHECK(fixture.Forward(MakePacket(4, true), true, 200).reason ==
        ReturnReason::kFull);
}

TEST_CASE("a refusal by the server limits new flows for a while") {
  ForwarderFixture fixture;
  for (uint16_t port = 1; port <= 4; ++port) {
    fixture.OpenAndRequest(port);
  }
  fixture.SendFromServer(4, 100, AnswerKind::kRefused);
  CHECK(fixture.forwarder.ActiveRequests() == 3);
  CHECK(fixture.Forward(MakePacket(9, true), true, 0).reason ==
        ReturnReason::kFull);
  fixture.now += Seconds(6);
  CHECK(fixture.Forward(MakePacket(9, true), true, 0).kind ==
        ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("the expected response time follows kinds, queue and age") {
  ForwarderFixture fixture;  // Two slots.
  const SocketAddress4 route = MakePacket(1, true).flow.route;
  const auto estimate = [&] {
    return fixture.forwarder.EstimateResponse(fixture.now, route);
  };
  CHECK_FALSE(estimate().is_measured);
  uint16_t port = 1;
  for (; port <= 20; ++port) {
    fixture.OpenAndRequest(port);
    fixture.now += Milliseconds(40);
    fixture.SendFromServer(port, 500, AnswerKind::kSuccess);
  }
  CHECK(estimate().is_measured);
  CHECK(ToMilliseconds(estimate().expected) ==
        doctest::Approx(40).epsilon(0.05));
  // Failed requests that end at once do not make the server look fast.
  for (; port <= 40; ++port) {
    fixture.OpenAndRequest(port);
    fixture.SendFromServer(port, 500, AnswerKind::kFailure);
  }
  CHECK(ToMilliseconds(estimate().expected) ==
        doctest::Approx(40).epsilon(0.05));
  for (int i = 0; i < 4; ++i) {
    fixture.OpenAndRequest(port++);
  }
  // Two run and two wait: 20 ms until the first slot, then 20 ms each.
  CHECK(ToMilliseconds(estimate().expected) ==
        doctest::Approx(100).epsilon(0.1));
  fixture.now += Milliseconds(400);
  // The running ones take far longer than others did.
  CHECK(ToMilliseconds(estimate().expected) > 200);
}

TEST_CASE("failed answers raise the failure rate, which decays") {
  ForwarderFixture fixture;
  for (uint16_t port = 1; port <= 20; ++port) {
    fixture.OpenAndRequest(port);
    fixture.SendFromServer(port, 100, AnswerKind::kFailure);
  }
  CHECK(fixture.forwarder.Load(fixture.now).failing > 800);
  fixture.now += Seconds(10);
  CHECK(fixture.forwarder.Load(fixture.now).failing < 10);
}

}  // namespace
}  // namespace medlargauge

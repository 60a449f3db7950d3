// @file failing_server_test.cc Tests of servers that leave requests without an
// answer, at the agent and at the balancer.
#include <doctest/doctest.h>

#include <initializer_list>
#include <map>

#include "src/forwarding/agent_fixture.h"
#include "src/forwarding/director_fixture.h"

namespace medlargauge {
namespace {

using namespace agent_fixture;  // NOLINT(google-build-using-namespace)

/// An agent with a server that may fail.
struct FailingFixture : ForwarderFixture {
  /// Forwards an opening packet as balancers do that know restrictions.
  ForwarderDecision Open(uint16_t port,
                         bool repeatable = true,
                         bool all_restricted = false) {
    ForwardHeader header;
    header.service = ServiceIdOf("stock");
    header.repeatable = repeatable;
    header.all_restricted = all_restricted;
    return forwarder.OnForwarded(now, kBalancer, header,
                                 MakePacket(port, true));
  }
  /// Sends a RST or FIN without data from the server.
  void CloseFromServer(uint16_t port, bool reset) {
    FlowPacket packet = MakePacket(port, false);
    packet.from_caller = false;
    packet.ack = false;
    packet.rst = reset;
    packet.fin = !reset;
    forwarder.OnServerPacket(now, packet);
  }
  /// Sends a FIN of the caller.
  void CloseFromCaller(uint16_t port) {
    FlowPacket packet = MakePacket(port, false);
    packet.fin = true;
    Forward(packet);
  }
  bool IsServerRestricted() { return IsRestricted(forwarder.Load(now)); }
  /// Lets the server reset three requests.
  void Restrict() {
    for (uint16_t port = 1; port <= 3; ++port) {
      OpenAndRequest(port);
      CloseFromServer(port, true);
    }
    REQUIRE(IsServerRestricted());
  }
};

TEST_CASE("a server that sends its FIN before the answer looked as failing") {
  FailingFixture fixture;
  for (uint16_t port = 1; port <= 5; ++port) {
    fixture.OpenAndRequest(port);
    fixture.now += Milliseconds(40);
    // The answer of 500 bytes precedes the FIN in the flow, but not in time.
    FlowPacket fin = MakePacket(port, false);
    fin.from_caller = false;
    fin.fin = true;
    fin.sequence += 500;
    fixture.forwarder.OnServerPacket(fixture.now, fin);
    fixture.SendFromServer(port, 500, AnswerKind::kSuccess);
  }
  CHECK_FALSE(fixture.IsServerRestricted());
  CHECK(fixture.forwarder.Counters().unanswered == 0);
  CHECK(fixture.forwarder.Counters().answers == 5);
  CHECK(fixture.forwarder.Load(fixture.now).service_us == 40000);
}

TEST_CASE("a server that resets or closes instead of answering looked idle") {
  for (const bool reset : {true, false}) {
    FailingFixture fixture;
    for (uint16_t port = 1; port <= 3; ++port) {
      fixture.OpenAndRequest(port);
      fixture.CloseFromServer(port, reset);
    }
    CHECK(fixture.IsServerRestricted());
    CHECK(fixture.forwarder.Counters().unanswered == 3);
  }
}

TEST_CASE("a server that resets instead of accepting is restricted") {
  FailingFixture fixture;
  for (uint16_t port = 1; port <= 3; ++port) {
    fixture.Open(port);
    fixture.CloseFromServer(port, true);
  }
  CHECK(fixture.IsServerRestricted());
  CHECK(fixture.forwarder.Counters().opened == 0);
}

TEST_CASE("a server that accepts and closes before a request is restricted") {
  FailingFixture fixture;
  for (uint16_t port = 1; port <= 3; ++port) {
    fixture.Open(port);
    fixture.SendSynAck(port, 500);
    fixture.CloseFromServer(port, port % 2 == 0);
  }
  CHECK(fixture.IsServerRestricted());
}

TEST_CASE("refusals count if slots are free and all requests are known") {
  for (const uint16_t others : {uint16_t{0}, uint16_t{2}}) {
    for (const bool is_first : {true, false}) {
      FailingFixture fixture;
      fixture.forwarder.OnTick(fixture.now);
      ServerReport report = fixture.MakeReport();
      report.is_first = is_first;
      fixture.forwarder.OnReport(fixture.now, report);
      for (uint16_t port = 1; port <= others; ++port) {
        fixture.OpenAndRequest(port);
      }
      for (uint16_t port = 10; port < 13; ++port) {
        fixture.OpenAndRequest(port);
        fixture.SendFromServer(port, 100, AnswerKind::kRefused);
        fixture.now += Seconds(6);  // Until the refused load is forgotten.
      }
      CHECK(fixture.IsServerRestricted() == (others == 0 && is_first));
    }
  }
}

TEST_CASE("the end of an idle flow does not count against its server") {
  FailingFixture fixture;
  for (uint16_t port = 1; port <= 6; ++port) {
    fixture.OpenAndRequest(port);
    fixture.SendFromServer(port, 500, AnswerKind::kSuccess);
    fixture.CloseFromServer(port, port % 2 == 0);
  }
  CHECK(fixture.forwarder.Counters().unanswered == 0);
}

TEST_CASE("what a server does after its caller left does not count") {
  FailingFixture fixture;
  for (uint16_t port = 1; port <= 6; ++port) {
    fixture.OpenAndRequest(port);
    FlowPacket left = MakePacket(port, false);
    left.fin = port <= 3;
    left.rst = port > 3;
    fixture.Forward(left);
    fixture.CloseFromServer(port, port % 2 == 0);
  }
  CHECK(fixture.forwarder.Counters().unanswered == 0);
}

TEST_CASE("a request that crosses the server's own FIN does not count") {
  FailingFixture fixture;
  const auto request_again = [&](uint16_t port) {
    FlowPacket request = MakePacket(port, false, 50);
    request.sequence = 151;
    fixture.Forward(request);
  };
  for (uint16_t port = 1; port <= 6; ++port) {
    fixture.OpenAndRequest(port);
    fixture.SendFromServer(port, 500, AnswerKind::kSuccess);
    if (port <= 3) {  // The FIN passes the agent first.
      fixture.CloseFromServer(port, false);
      request_again(port);
      fixture.CloseFromServer(port, true);
    } else {  // The request does; the FIN does not acknowledge it.
      request_again(port);
      FlowPacket fin = MakePacket(port, false);
      fin.from_caller = false;
      fin.fin = true;
      fin.acknowledged = 151;
      fixture.forwarder.OnServerPacket(fixture.now, fin);
    }
  }
  CHECK(fixture.forwarder.Counters().unanswered == 0);
}

TEST_CASE("requests that end in a planned stop or a replacement do not count") {
  for (const bool replaced : {true, false}) {
    FailingFixture fixture;
    for (uint16_t port = 1; port <= 3; ++port) {
      fixture.OpenAndRequest(port);
    }
    ServerReport report = fixture.MakeReport(!replaced);
    report.started_ms += replaced ? 1000 : 0;
    REQUIRE(fixture.forwarder.OnReport(fixture.now, report) ==
            ReportOutcome::kApplied);
    for (uint16_t port = 1; port <= 3; ++port) {
      fixture.CloseFromServer(port, true);
    }
    CHECK(fixture.forwarder.Counters().unanswered == 0);
  }
}

TEST_CASE("an agent that restarted blames no server for flows it can't judge") {
  FailingFixture fixture;
  for (uint16_t port = 1; port <= 3; ++port) {
    // The server closed the flow before this process started.
    fixture.Forward(MakePacket(port, false, 50));
    fixture.CloseFromServer(port, true);
  }
  CHECK(fixture.forwarder.Counters().unanswered == 0);
}

TEST_CASE("a restricted server gets one repeatable trial at a time") {
  FailingFixture fixture;
  fixture.Restrict();
  CHECK(fixture.Open(10).reason == ReturnReason::kBusy);
  fixture.now += Milliseconds(50);
  CHECK(fixture.forwarder.Load(fixture.now).trials == 1);
  CHECK(fixture.Open(11, false).reason == ReturnReason::kBusy);
  CHECK(fixture.Open(11).kind == ForwarderDecision::Kind::kDeliver);
  CHECK(fixture.Open(11).kind == ForwarderDecision::Kind::kDeliver);
  CHECK(fixture.Open(12).reason == ReturnReason::kBusy);
  CHECK(fixture.Forward(MakePacket(13, true), true).reason ==
        ReturnReason::kFull);
  fixture.CloseFromServer(11, true);
  CHECK(fixture.forwarder.Load(fixture.now).trials == 0);
  // A new server at the address starts without a restriction.
  ServerReport report = fixture.MakeReport();
  report.started_ms += 1000;
  fixture.forwarder.OnReport(fixture.now, report);
  CHECK(fixture.Open(14, false).kind == ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("where no route is repeatable, other requests are trials") {
  FailingFixture fixture;
  fixture.Restrict();
  fixture.now += Milliseconds(50);
  CHECK(fixture.Open(10, false).kind == ForwarderDecision::Kind::kDeliver);
}

TEST_CASE("a server that answers its trials is a normal server again") {
  FailingFixture fixture;  // Two slots: one trial, then two.
  fixture.Restrict();
  fixture.now += Milliseconds(50);
  for (uint16_t port = 10; port < 13; ++port) {
    REQUIRE(fixture.Open(port).kind == ForwarderDecision::Kind::kDeliver);
    fixture.SendFromServer(port);
    fixture.Forward(MakePacket(port, false, 50));
    fixture.SendFromServer(port, 500, AnswerKind::kSuccess);
  }
  CHECK(fixture.forwarder.Load(fixture.now).failing == 0);
}

TEST_CASE(
    "if all servers are restricted, an agent accepts flows all the same") {
  FailingFixture fixture;
  fixture.Restrict();
  for (uint16_t port = 10; port < 12; ++port) {
    CHECK(fixture.Open(port, false, true).kind ==
          ForwarderDecision::Kind::kDeliver);
  }
  CHECK(fixture.Open(12, false, true).reason == ReturnReason::kBusy);
}

using director_fixture::DirectorFixture;
using director_fixture::MakeOpeningPacket;

/// Delivers a status of an agent whose server is restricted.
void ReceiveRestricted(DirectorFixture* fixture,
                       uint64_t id,
                       uint32_t trials = 0) {
  fixture->ReceiveStatus(id, "stock", AgentState::kReady, 0, false,
                         kRestrictedFailing);
  ServerLoad load = fixture->members.Find(MemberId{id})->member.load;
  load.trials = trials;
  fixture->members.OnLoad(fixture->now, MemberId{id}, load);
}

TEST_CASE("new flows avoid a restricted server, one trial a report excepted") {
  DirectorFixture fixture;
  ReceiveRestricted(&fixture, 11);
  uint16_t port = 1;
  for (; port <= 30; ++port) {
    CHECK(fixture.Send(MakeOpeningPacket(port)).agent != MemberId{11});
  }
  ReceiveRestricted(&fixture, 11, 1);
  const DirectorDecision trial = fixture.Send(MakeOpeningPacket(++port));
  CHECK(trial.agent == MemberId{11});
  CHECK(trial.header.repeatable);
  CHECK(fixture.Send(MakeOpeningPacket(++port)).agent != MemberId{11});
  // A trial that the agent does not take goes to another server.
  const DirectorDecision next =
      fixture.Return(trial, ReturnReason::kBusy, MakeOpeningPacket(port - 1));
  CHECK(next.kind == DirectorDecision::Kind::kForward);
  CHECK(next.agent != MemberId{11});
}

TEST_CASE("flows that must not be repeated are trials only without others") {
  for (const bool has_repeatable : {true, false}) {
    DirectorFixture fixture;
    ServiceRoute route =
        director_fixture::MakeRoute(director_fixture::kRoute, "stock");
    route.repeatable = false;
    ServiceRoute other =
        director_fixture::MakeRoute(director_fixture::kOtherRoute, "stock");
    other.repeatable = has_repeatable;
    fixture.routes.Adopt(director_fixture::MakeRouteTable(2, {route, other}));
    ReceiveRestricted(&fixture, 11, 1);
    const DirectorDecision decision = fixture.Send(MakeOpeningPacket(1));
    CHECK((decision.agent == MemberId{11}) != has_repeatable);
    CHECK_FALSE(decision.header.repeatable);
  }
}

TEST_CASE(
    "a flow that all restricted servers returned is placed all the same") {
  DirectorFixture fixture;
  ReceiveRestricted(&fixture, 11);
  ReceiveRestricted(&fixture, 12);
  DirectorDecision decision = fixture.Send(MakeOpeningPacket(1));
  REQUIRE(decision.agent == MemberId{13});
  CHECK_FALSE(decision.header.all_restricted);
  // The return tells that the last server is restricted, too.
  ReceiveRestricted(&fixture, 13);
  decision =
      fixture.Return(decision, ReturnReason::kBusy, MakeOpeningPacket(1));
  CHECK(decision.kind == DirectorDecision::Kind::kForward);
  CHECK(decision.header.all_restricted);
  // All share the load.
  std::map<MemberId, int> flows;
  for (uint16_t port = 2; port < 92; ++port) {
    const DirectorDecision shared = fixture.Send(MakeOpeningPacket(port));
    REQUIRE(shared.header.all_restricted);
    ++flows[shared.agent];
  }
  REQUIRE(flows.size() == 3);
  for (const auto& [id, count] : flows) {
    CHECK(count >= 20);
  }
}

TEST_CASE("a flow waits, but not forever, if restricted servers are full") {
  DirectorFixture fixture;
  for (const uint64_t id : {11, 12, 13}) {
    ReceiveRestricted(&fixture, id);
  }
  const FlowPacket packet = MakeOpeningPacket(1);
  // Each of the three servers and then the last candidate return the flow.
  const auto return_from_all = [&](DirectorDecision decision) {
    for (int i = 0; i < 10 && decision.kind == DirectorDecision::Kind::kForward;
         ++i) {
      decision =
          fixture.Return(decision,
                         decision.header.last_candidate ? ReturnReason::kFull
                                                        : ReturnReason::kBusy,
                         packet);
    }
    return decision.kind;
  };
  REQUIRE(return_from_all(fixture.Send(packet)) ==
          DirectorDecision::Kind::kHold);
  fixture.now += Milliseconds(30);
  std::vector<DeferredDecision> later = fixture.director.OnTick(fixture.now);
  REQUIRE(later.size() == 1);
  CHECK(later[0].decision.header.all_restricted);
  CHECK(return_from_all(later[0].decision) == DirectorDecision::Kind::kHold);
  fixture.now += Milliseconds(1300);
  fixture.ReceiveAllStatuses();
  bool is_reset = false;
  for (const DeferredDecision& late : fixture.director.OnTick(fixture.now)) {
    is_reset = late.decision.kind == DirectorDecision::Kind::kReset;
  }
  CHECK(is_reset);
}

}  // namespace
}  // namespace medlargauge

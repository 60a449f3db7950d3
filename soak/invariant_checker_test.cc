// @file invariant_checker_test.cc Violates each invariant on purpose.
#include "soak/invariant_checker.h"

#include <doctest/doctest.h>

#include "platform/packet_header.h"
#include "platform/standin/packet_writer.h"
#include "platform/standin/test_tools.h"
#include "src/core/error.h"
#include "src/runtime/flow_log.h"

namespace medlargauge::soak {
namespace {

using platform::standin::RunUntil;

constexpr Duration kMaxWait = Seconds(10);
const uint32_t balancer_ip = platform::standin::TestIp(9);
const uint32_t first_ip = platform::standin::TestIp(1);

/// Two servers of different services, with agents that are never started.
struct Fixture {
  EventLoop loop;
  std::vector<RequestClass> classes{
      {"reserve", "stock", {0xC6120001, 8441}, false}};
  ProcessSupervisor processes{&loop, "/bin/false", "/tmp",
                              [](const std::string& text) { FAIL(text); }};
  std::vector<std::unique_ptr<ServerStandin>> servers;
  std::unique_ptr<InvariantChecker> checker;
  UdpSocket agent_socket;         ///< Stands in for the agent of servers[0].
  uint32_t server_sequence = 0;   ///< Sequence number of its last packet.
  TimePoint time = SteadyTime();  ///< Time of the checker.
  FlowKey flow{{0x7F150301, 1044}, {0xC6120001, 8441}};

  Fixture() {
    for (uint32_t i = 0; i < 2; ++i) {
      const uint32_t ip = first_ip + i;
      processes.Add("invariant-checker-test", ip, true, "{}");
      platform::standin::ServerStandinOptions options;
      options.service = i == 0 ? "stock" : "media";
      options.domain = i == 0 ? "a" : "b";
      options.address = {ip, kServerPort};
      options.agent_packet_address = {ip, kOutboundPort};
      options.reports = {ip, kHeartbeatPort};
      platform::standin::ServerHooks hooks;
      hooks.on_flow_accepted = [](const FlowKey&, bool) {};
      hooks.on_packet = [](const FlowKey&, bool, uint32_t) {};
      servers.push_back(
          std::make_unique<ServerStandin>(&loop, options, hooks, i));
    }
    processes.Add("invariant-checker-test", balancer_ip, false, "{}");
    checker = std::make_unique<InvariantChecker>(&classes, &processes,
                                                 [this] { return time; });
  }
  /// Lets the first server accept the flow, and lets all excuses expire.
  void OpenFlow() {
    Error reason;
    REQUIRE(agent_socket.Bind({first_ip, kOutboundPort}, &reason));
    REQUIRE(servers[0]->Start(false, &reason));
    FlowPacket packet;
    packet.flow = flow;
    packet.syn = true;
    Send(packet);
    REQUIRE(RunUntil(&loop, kMaxWait, [this] { return ReadAnswer(); }));
    packet.syn = false;
    packet.ack = true;
    packet.sequence = 1;
    packet.acknowledged = server_sequence + 1;
    Send(packet);
    REQUIRE(RunUntil(&loop, kMaxWait,
                     [this] { return servers[0]->HasOpenFlow(flow); }));
    time = SteadyTime() + kFaultExcuseTime + Seconds(1);
    checker->OnCallerPacket(servers[0].get(), flow, true, balancer_ip);
  }
  /// Sends a packet to the first server.
  void Send(const FlowPacket& packet) {
    const std::string bytes = platform::standin::WritePacket(packet, {});
    agent_socket.Send(
        {first_ip, kServerPort},
        {reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()});
  }
  /// Reads the sequence number of the server's answer. @return whether it came
  bool ReadAnswer() {
    bool has_come = false;
    agent_socket.Receive([&](SocketAddress4, ByteSpan datagram) {
      server_sequence =
          platform::ReadPacket(ByteView(datagram.data, datagram.size), false)
              ->sequence;
      has_come = true;
    });
    return has_come;
  }
  /// Returns whether there was exactly one violation and it contains `text`.
  bool ReportedOnly(std::string_view text) const {
    return checker->ViolationCount() == 1 &&
           checker->Violations()[0].find(text) != std::string::npos;
  }
};

TEST_CASE("a new flow in an evacuated domain is reported") {
  Fixture fixture;
  InvariantChecker& checker = *fixture.checker;
  fixture.time = SteadyTime() + kFaultExcuseTime + Seconds(1);
  const auto open = [&](size_t server) {
    checker.OnFlowAccepted(*fixture.servers[server], fixture.flow, false);
  };
  checker.OnEvacuation(fixture.time, "a", true);
  fixture.time += Seconds(5);
  open(0);
  fixture.time += Milliseconds(1);
  open(1);
  // Nobody can learn of it from a store that does not answer.
  checker.OnStoreHealthChanged(fixture.time, false);
  open(0);
  checker.OnStoreHealthChanged(fixture.time, true);
  fixture.time += Seconds(5);
  open(0);
  CHECK(checker.ViolationCount() == 0);
  fixture.time += Milliseconds(1);
  open(0);
  CHECK(fixture.ReportedOnly("EVAC"));
  checker.OnEvacuation(fixture.time, "a", false);
  open(0);
  CHECK(checker.ViolationCount() == 1);
}

TEST_CASE("a request at a server of another service is reported") {
  Fixture fixture;
  fixture.checker->OnRequestStarted(*fixture.servers[0], fixture.flow, 1);
  CHECK(fixture.checker->ViolationCount() == 0);
  fixture.checker->OnRequestStarted(*fixture.servers[1], fixture.flow, 2);
  CHECK(fixture.ReportedOnly("ROUTE"));
}

TEST_CASE("a second execution of a non-repeatable request is reported") {
  Fixture fixture;
  fixture.checker->OnRequestStarted(*fixture.servers[0], fixture.flow, 1);
  fixture.checker->OnRequestStarted(*fixture.servers[0], fixture.flow, 2);
  CHECK(fixture.checker->ViolationCount() == 0);
  fixture.checker->OnRequestStarted(*fixture.servers[0], fixture.flow, 1);
  CHECK(fixture.ReportedOnly("ONCE"));
}

TEST_CASE("a new flow at a server that has left is reported") {
  Fixture fixture;
  fixture.checker->OnFlowAccepted(*fixture.servers[0], fixture.flow, false);
  CHECK(fixture.checker->ViolationCount() == 0);
  fixture.checker->OnFlowAccepted(*fixture.servers[0], fixture.flow, true);
  CHECK(fixture.ReportedOnly("DRAIN"));
}

TEST_CASE("a reset of a flow that its server does not have open is allowed") {
  Fixture fixture;
  fixture.checker->OnCallerPacket(fixture.servers[0].get(), fixture.flow, true,
                                  balancer_ip);
  fixture.checker->OnFlowReset(fixture.flow,
                               balancer_ip);  // The server has no open flow.
  CHECK(fixture.checker->ViolationCount() == 0);
}

TEST_CASE("the reset of an open flow is reported with the name of the flow") {
  Fixture fixture;
  fixture.OpenFlow();
  SUBCASE("nothing excuses it") {
    fixture.checker->OnFlowReset(fixture.flow, balancer_ip);
    CHECK(fixture.ReportedOnly(
        "FLOW an open flow was reset, flow=" + FlowName(fixture.flow) +
        " caller=127.21.3.1:1044, owner " + FormatIp(first_ip) + ", reset by " +
        FormatIp(balancer_ip)));
  }
  SUBCASE("a recent fault of the agent excuses it") {
    ProcessSupervisor::MarkFault(fixture.processes.FindByIp(first_ip),
                                 Seconds(2));
    fixture.checker->OnFlowReset(fixture.flow, balancer_ip);
    CHECK(fixture.checker->ViolationCount() == 0);
    CHECK(fixture.checker->ExcusedResets() == 1);
  }
  SUBCASE("a fault of all links of its sender excuses it") {
    ProcessSupervisor::MarkIsolation(fixture.processes.FindByIp(balancer_ip),
                                     Seconds(2));
    fixture.checker->OnFlowReset(fixture.flow, balancer_ip);
    CHECK(fixture.checker->ViolationCount() == 0);
  }
  SUBCASE("another fault of its sender does not excuse it") {
    ProcessSupervisor::MarkFault(fixture.processes.FindByIp(balancer_ip),
                                 Seconds(2));
    fixture.checker->OnFlowReset(fixture.flow, balancer_ip);
    CHECK(fixture.ReportedOnly("FLOW an open flow was reset"));
  }
  SUBCASE("a fault of another agent does not excuse it") {
    ProcessSupervisor::MarkFault(fixture.processes.FindByIp(first_ip + 1),
                                 Seconds(2));
    fixture.checker->OnFlowReset(fixture.flow, balancer_ip);
    CHECK(fixture.ReportedOnly("FLOW an open flow was reset"));
  }
}

TEST_CASE(
    "a search that visits three other servers for two seconds is reported") {
  Fixture fixture;
  fixture.OpenFlow();
  const auto visit = [&fixture](Duration pause) {
    fixture.checker->OnCallerPacket(fixture.servers[1].get(), fixture.flow,
                                    false, balancer_ip);
    fixture.time += pause;
  };
  SUBCASE("the third visit ends the two seconds") {
    visit(Seconds(1));
    visit(Seconds(1));
    CHECK(fixture.checker->ViolationCount() == 0);
    visit(Duration());
    CHECK(fixture.ReportedOnly("FLOW packets of an open flow"));
  }
  SUBCASE("the owner gets the next packet too late") {
    visit(Milliseconds(100));
    visit(Milliseconds(100));
    visit(Milliseconds(1800));
    CHECK(fixture.checker->ViolationCount() == 0);
    fixture.checker->OnCallerPacket(fixture.servers[0].get(), fixture.flow,
                                    true, balancer_ip);
    CHECK(fixture.ReportedOnly("FLOW packets of an open flow"));
  }
  SUBCASE("the caller gives up") {
    visit(Milliseconds(100));
    visit(Milliseconds(100));
    visit(Milliseconds(1800));
    fixture.checker->OnFlowEnded(fixture.flow);
    CHECK(fixture.ReportedOnly("FLOW packets of an open flow"));
  }
  SUBCASE("not if the owner gets a packet in time") {
    visit(Milliseconds(100));
    visit(Milliseconds(100));
    visit(Milliseconds(1700));
    fixture.checker->OnCallerPacket(fixture.servers[0].get(), fixture.flow,
                                    true, balancer_ip);
    visit(Milliseconds(200));
    CHECK(fixture.checker->ViolationCount() == 0);
  }
  SUBCASE("not with two visits") {
    visit(Seconds(2));
    visit(Seconds(2));
    fixture.checker->OnFlowEnded(fixture.flow);
    CHECK(fixture.checker->ViolationCount() == 0);
  }
}

TEST_CASE("a balancer with an outdated target revision is reported") {
  Fixture fixture;
  Daemon balancer;
  balancer.name = "balancer-0";
  balancer.start_count = 1;
  const TimePoint now = SteadyTime();
  balancer.started_at = now - Seconds(60);
  balancer.fault_ends_at = now - Seconds(60);
  fixture.checker->OnTargetWritten(now - Seconds(20), 7);
  fixture.checker->OnStoreHealthChanged(now - Seconds(30), true);
  fixture.checker->OnTargetInForce(now - Seconds(18), balancer, 6, true);
  CHECK(fixture.checker->ViolationCount() == 0);
  SUBCASE("older than the revision in the store") {
    fixture.checker->OnTargetInForce(now, balancer, 6, true);
    CHECK(fixture.ReportedOnly("instead of 7"));
  }
  SUBCASE("not reported while the balancer is out of rotation") {
    fixture.checker->OnTargetInForce(now, balancer, 6, false);
    CHECK(fixture.checker->ViolationCount() == 0);
  }
  SUBCASE("older than the balancer's previous revision") {
    fixture.checker->OnTargetInForce(now - Seconds(17), balancer, 7, true);
    fixture.checker->OnTargetInForce(now - Seconds(16), balancer, 6, false);
    CHECK(fixture.ReportedOnly("fell back"));
  }
  SUBCASE("older than a peer's revision while the store is down") {
    fixture.checker->OnStoreHealthChanged(now - Seconds(17), false);
    Daemon peer = balancer;
    peer.ip = 5;
    fixture.checker->OnTargetInForce(now - Seconds(16), peer, 8, true);
    fixture.checker->OnTargetInForce(now, balancer, 7, true);
    CHECK(fixture.ReportedOnly("instead of 8"));
  }
}

}  // namespace
}  // namespace medlargauge::soak

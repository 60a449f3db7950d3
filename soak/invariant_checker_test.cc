// @file invariant_checker_test.cc Violates each invariant on purpose.
#include "soak/invariant_checker.h"

#include <doctest/doctest.h>

#include "src/core/error.h"

namespace medlargauge::soak {
namespace {

/// Two servers of different services, with agents that are never started.
struct Fixture {
  EventLoop loop;
  std::vector<RequestClass> classes{
      {"reserve", "stock", {0xC6120001, 8441}, false}};
  ProcessSupervisor processes{&loop, "/bin/false", "/tmp",
                              [](const std::string& text) { FAIL(text); }};
  std::vector<std::unique_ptr<ServerStandin>> servers;
  std::unique_ptr<InvariantChecker> checker;
  FlowKey flow{{0x7F150301, 1044}, {0xC6120001, 8441}};

  Fixture() {
    for (uint32_t i = 0; i < 2; ++i) {
      const uint32_t ip = 0x7F150201 + i;
      processes.Add("invariant-checker-test", ip, true, "{}");
      platform::standin::ServerStandinOptions options;
      options.service = i == 0 ? "stock" : "media";
      options.address = {ip, kServerPort};
      servers.push_back(std::make_unique<ServerStandin>(
          &loop, options, platform::standin::ServerHooks(), i));
    }
    checker = std::make_unique<InvariantChecker>(&classes, &processes);
  }
  /// Returns whether there was exactly one violation and it contains `text`.
  bool ReportedOnly(std::string_view text) const {
    return checker->ViolationCount() == 1 &&
           checker->Violations()[0].find(text) != std::string::npos;
  }
};

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
  fixture.checker->OnFlowAccepted(fixture.flow, false);
  CHECK(fixture.checker->ViolationCount() == 0);
  fixture.checker->OnFlowAccepted(fixture.flow, true);
  CHECK(fixture.ReportedOnly("DRAIN"));
}

TEST_CASE("a reset of a flow that its server does not have open is allowed") {
  Fixture fixture;
  fixture.checker->OnCallerPacket(fixture.servers[0].get(), fixture.flow, true);
  fixture.checker->OnFlowReset(fixture.flow);  // The server has no open flow.
  CHECK(fixture.checker->ViolationCount() == 0);
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

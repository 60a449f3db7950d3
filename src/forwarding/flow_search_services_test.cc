// @file flow_search_services_test.cc Tests of searches among the agents of all
// services.
#include <doctest/doctest.h>

#include "src/forwarding/director_fixture.h"

namespace medlargauge {
namespace {

using namespace director_fixture;  // NOLINT(google-build-using-namespace)

// A balancer that had started after the route was moved reset the flows at the
// servers of the old service, because it took the denials of the new one's
// agents for those of all.
TEST_CASE("an unknown flow is searched once at each agent, of any service") {
  DirectorFixture fixture;
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  std::vector<MemberId> asked;
  while (decision.kind == DirectorDecision::Kind::kForward) {
    CHECK(decision.header.search);
    // Agents of the service that the route has come first, and each packet
    // names the service of its receiver, which returns it otherwise.
    const bool is_other = decision.agent == MemberId{20};
    CHECK(is_other == (asked.size() == 3));
    CHECK(decision.header.service == ServiceIdOf(is_other ? "media" : "stock"));
    CHECK(std::find(asked.begin(), asked.end(), decision.agent) == asked.end());
    asked.push_back(decision.agent);
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  CHECK(asked.size() == 4);
  CHECK(decision.kind == DirectorDecision::Kind::kReset);
  CHECK(decision.error == ErrorKind::kFlowUnknown);
  CHECK(decision.evidence.denials == 4);
}

TEST_CASE("no new flow goes to an agent of another service") {
  DirectorFixture fixture;
  DirectorDecision decision = fixture.Send(MakeOpeningPacket(1));
  uint32_t asked = 0;
  while (decision.kind == DirectorDecision::Kind::kForward) {
    CHECK(decision.agent != MemberId{20});
    CHECK(decision.header.service == ServiceIdOf("stock"));
    REQUIRE(++asked < 10);
    decision =
        fixture.Return(decision, ReturnReason::kDraining, MakeOpeningPacket(1));
  }
  CHECK(asked == 3);
}

TEST_CASE("a flow at the old service of a route is found and stays there") {
  DirectorFixture fixture;
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  while (decision.agent != MemberId{20}) {
    REQUIRE(decision.kind == DirectorDecision::Kind::kForward);
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  fixture.director.OnFlowConfirmed(fixture.now, MemberId{20},
                                   MakeLaterPacket(1).flow, true);
  decision = fixture.Send(MakeLaterPacket(1));
  CHECK(decision.agent == MemberId{20});
  CHECK(decision.header.service == ServiceIdOf("media"));
  CHECK_FALSE(decision.header.search);
}

// The owner refused each further packet as one for another service, which then
// counted as a denial.
TEST_CASE("an owner that confirms a flow late gets its own service's packets") {
  DirectorFixture fixture;
  const DirectorDecision asked = fixture.Send(MakeLaterPacket(1));
  REQUIRE(asked.header.service == ServiceIdOf("stock"));
  fixture.director.OnFlowConfirmed(fixture.now, MemberId{20},
                                   MakeLaterPacket(1).flow, true);
  CHECK(fixture.Send(MakeLaterPacket(1)).header.service ==
        ServiceIdOf("media"));
}

TEST_CASE("an agent that was asked for another service has denied nothing") {
  DirectorFixture fixture;
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  const MemberId changed = decision.agent;
  CHECK(
      fixture.Return(decision, ReturnReason::kWrongService, MakeLaterPacket(1))
          .kind == DirectorDecision::Kind::kHold);
  fixture.now += Milliseconds(150);
  fixture.ReceiveAllStatuses();
  fixture.ReceiveStatus(changed.value, "trial");
  decision = fixture.Send(MakeLaterPacket(1));
  for (int asked = 0; asked < 3; ++asked) {
    CHECK(decision.agent != changed);
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  CHECK(decision.agent == changed);
  CHECK(decision.header.service == ServiceIdOf("trial"));
}

// Balancers that had been running when a route was moved chose other homes for
// pointers than those that had started after it, and these did not find them.
TEST_CASE("the home of a pointer depends on no past route") {
  DirectorFixture old_fixture;
  DirectorFixture new_fixture;
  const std::vector<ServiceRoute> routes = {MakeRoute(kRoute, "media")};
  old_fixture.routes.Adopt(MakeRouteTable(2, routes));
  new_fixture.routes = ActiveRoutes();
  new_fixture.routes.Adopt(MakeRouteTable(2, routes));
  for (DirectorFixture* fixture : {&old_fixture, &new_fixture}) {
    fixture->ReceiveStatus(21, "media");
    fixture->ReceiveStatus(22, "media");
  }
  for (uint16_t port = 1; port <= 20; ++port) {
    const FlowPacket packet = MakeLaterPacket(port);
    CHECK(old_fixture.Send(packet).agent == new_fixture.Send(packet).agent);
  }
}

TEST_CASE("agents of services that a route had come before all others") {
  DirectorFixture fixture;
  fixture.routes.Adopt(MakeRouteTable(2, {MakeRoute(kRoute, "media")}));
  fixture.ReceiveStatus(30, "other");
  DirectorDecision decision = fixture.Send(MakeLaterPacket(1));
  std::vector<ServiceId> asked;
  while (decision.kind == DirectorDecision::Kind::kForward) {
    asked.push_back(decision.header.service);
    decision =
        fixture.Return(decision, ReturnReason::kBounced, MakeLaterPacket(1));
  }
  const ServiceId stock = ServiceIdOf("stock");
  CHECK(asked == std::vector<ServiceId>{ServiceIdOf("media"), stock, stock,
                                        stock, ServiceIdOf("other")});
}

}  // namespace
}  // namespace medlargauge

// @file route_check_test.cc Mistakes that a check must find before they reach a
// fleet.
#include "src/ctl/route_check.h"

#include <doctest/doctest.h>

namespace medlargauge {
namespace {

ServiceRoute MakeRoute(std::string name, uint16_t port) {
  ServiceRoute route;
  route.name = std::move(name);
  route.address = {0xC6120001, port};
  route.shares = {{ServiceIdOf("stock"), 1}};
  route.timeout_ms = 1000;
  route.goal_ms = 200;
  return route;
}

RouteTable MakeTable() {
  RouteTable table;
  table.identity.operators_version = 7;
  table.routes = {MakeRoute("check", 443), MakeRoute("reserve", 444)};
  return table;
}

TEST_CASE("valid routes have no findings") {
  CHECK(CheckRoutes(MakeTable()).empty());
}

TEST_CASE("each mistake is found, with its route and field") {
  struct Case {
    const char* field;
    FindingLevel level;
    void (*change)(ServiceRoute*);
  };
  const Case cases[] = {
      {"address", FindingLevel::kError,
       [](ServiceRoute* r) { r->address.port = 443; }},
      {"time limit", FindingLevel::kError,
       [](ServiceRoute* r) { r->goal_ms = 1001; }},
      {"share", FindingLevel::kWarning,
       [](ServiceRoute* r) {
         r->shares.push_back({ServiceIdOf("b"), 0});
       }},
      {"service", FindingLevel::kError,
       [](ServiceRoute* r) {
         r->shares[0].service = ServiceIdOf("");
         r->priority = 1;
       }},
  };
  for (const Case& mistake : cases) {
    CAPTURE(mistake.field);
    RouteTable table = MakeTable();
    mistake.change(&table.routes[1]);
    const std::vector<RouteFinding> findings = CheckRoutes(table);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].level == mistake.level);
    CHECK(findings[0].entry == "reserve");
    CHECK(findings[0].field == mistake.field);
  }
  RouteTable table = MakeTable();
  table.routes[0].shares[0].weight = 0;
  CHECK(CheckRoutes(table).back().reason == "no service has a share above 0");
}

TEST_CASE("a comparison names what is new, removed and changed") {
  RouteTable table = MakeTable();
  table.identity.operators_version = 8;
  table.routes[0].goal_ms = 300;
  table.routes[0].shares[0].service = ServiceIdOf("trial");
  table.routes[1].name = "hold";
  const FindingLevel difference = FindingLevel::kDifference;
  CHECK(CompareRoutes(MakeTable(), table) ==
        std::vector<RouteFinding>{
            {difference, "check", "goal", "200 ms becomes 300 ms"},
            {difference, "check", "share", "other services or shares"},
            {difference, "hold", "route", "is new"},
            {difference, "reserve", "route", "is removed"}});
  CHECK(CompareRoutes(MakeTable(), MakeTable())[0].field == "version");
}

}  // namespace
}  // namespace medlargauge

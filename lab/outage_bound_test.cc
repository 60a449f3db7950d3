// @file outage_bound_test.cc Tests of the bound for a loss of all processes.
#include "lab/outage_bound.h"

#include <doctest/doctest.h>

namespace medlargauge::lab {
namespace {

/// Requests of one kind around a loss from 1 s to 2 s, in windows of 1 s.
Outage MakeOutage(uint32_t clients, bool repeatable) {
  Outage outage;
  outage.lost_at = Seconds(1);
  outage.balancers_up = {Seconds(2)};
  outage.round_trip = Milliseconds(5);
  outage.window = Seconds(1);
  outage.windows = 6;
  OutageClass kind;
  kind.per_second = 1000;
  kind.clients = clients;
  kind.flows_per_client = 3;
  kind.repeatable = repeatable;
  kind.goal = Milliseconds(300);
  kind.limit = Seconds(4);
  kind.work = Milliseconds(50);
  kind.late_worth = 0.5;
  kind.retries = 2;
  outage.classes.push_back(kind);
  return outage;
}

uint32_t CountOf(const OutageWindow& window, OutageCause cause) {
  return window.causes[static_cast<size_t>(cause)];
}

TEST_CASE("the bound takes what no system can serve for losses of this one") {
  const std::vector<OutageWindow> windows =
      ComputeOutageBound(MakeOutage(0, true), 1);
  REQUIRE(windows.size() == 6);
  // Requests that run when their server ends: 60 of 1000.
  CHECK(windows[0].failed > 30);
  CHECK(windows[0].failed == CountOf(windows[0], OutageCause::kRunning));
  // Those of the last 200 ms of the loss can still be in time.
  CHECK(windows[1].in_goal > 100);
  CHECK(windows[1].in_goal < 300);
  CHECK(windows[1].failed == 0);
  CHECK(windows[2].in_goal == windows[2].asked);
}

TEST_CASE("requests on dead flows that may run once are lost in any system") {
  const std::vector<OutageWindow> once =
      ComputeOutageBound(MakeOutage(1000, false), 1);
  const std::vector<OutageWindow> repeatable =
      ComputeOutageBound(MakeOutage(1000, true), 1);
  CHECK(CountOf(once[2], OutageCause::kRunOnce) > 100);
  CHECK(CountOf(repeatable[2], OutageCause::kRunOnce) == 0);
  CHECK(repeatable[2].failed < once[2].failed);
}

TEST_CASE("flows of servers that live on are not taken for dead") {
  Outage outage = MakeOutage(1000, false);
  outage.servers_end = false;
  const std::vector<OutageWindow> windows = ComputeOutageBound(outage, 1);
  for (const OutageWindow& window : windows) {
    CHECK(CountOf(window, OutageCause::kRunOnce) == 0);
    CHECK(CountOf(window, OutageCause::kRunning) == 0);
  }
  CHECK(windows[1].late > 500);
}

TEST_CASE("an outage with a missing or misplaced field is refused") {
  Error reason;
  CHECK_FALSE(ParseOutage("[]", &reason).has_value());
  reason = Error();
  CHECK_FALSE(ParseOutage(R"({"classes": []})", &reason).has_value());
  CHECK(reason.detail.find("lost_at_ms") != std::string::npos);
  reason = Error();
  CHECK_FALSE(ParseOutage(R"({"classes": [], "lost_at_ms": 5,
      "balancers_up_ms": [9, 1], "round_trip_ms": 1, "window_ms": 1,
      "windows": 1})",
                          &reason)
                  .has_value());
  CHECK(reason.detail.find("balancers_up_ms") != std::string::npos);
  reason = Error();
  CHECK_FALSE(ParseOutage(R"({"classes": [7], "servers_end": 3,
      "balancers_up_ms": 5})",
                          &reason)
                  .has_value());
}

}  // namespace
}  // namespace medlargauge::lab

// @file invariant_checker_test.cc Each promise, broken on purpose.
#include "soak/invariant_checker.h"

#include <doctest/doctest.h>

#include "src/core/error.h"

namespace medlargauge::soak {
namespace {

/// Two servers of one service beside agents that are never started.
struct Bed {
  EventLoop loop;
  std::vector<WorkClass> classes{
      {"reserve", "stock", {0xC6120001, 8441}, false}};
  Processes processes{&loop, "/bin/false", "/tmp",
                      [](const std::string& text) { FAIL(text); }};
  std::vector<std::unique_ptr<ServerStandin>> servers;
  std::unique_ptr<Referee> referee;
  FlowKey flow{{0x7F150301, 1044}, {0xC6120001, 8441}};

  Bed() {
    for (uint32_t i = 0; i < 2; ++i) {
      const uint32_t ip = 0x7F150201 + i;
      processes.Add("referee-test", ip, true, "{}");
      platform::standin::ServerStandinOptions model;
      model.service = i == 0 ? "stock" : "media";
      model.address = {ip, kServerPort};
      servers.push_back(std::make_unique<ServerStandin>(
          &loop, model, platform::standin::ServerHooks(), i));
    }
    referee = std::make_unique<Referee>(&classes, &processes);
  }
  bool Broke(std::string_view word) const {
    return referee->Count() == 1 &&
           referee->Broken()[0].find(word) != std::string::npos;
  }
};

TEST_CASE("work for another service is seen") {
  Bed bed;
  bed.referee->OnRun(*bed.servers[0], bed.flow, 1);
  CHECK(bed.referee->Count() == 0);
  bed.referee->OnRun(*bed.servers[1], bed.flow, 2);
  CHECK(bed.Broke("ROUTE"));
}

TEST_CASE("work that must not be repeated is seen when it is") {
  Bed bed;
  bed.referee->OnRun(*bed.servers[0], bed.flow, 1);
  bed.referee->OnRun(*bed.servers[0], bed.flow, 2);
  CHECK(bed.referee->Count() == 0);
  bed.referee->OnRun(*bed.servers[0], bed.flow, 1);
  CHECK(bed.Broke("ONCE"));
}

TEST_CASE("a new flow at a server that has left is seen") {
  Bed bed;
  bed.referee->OnAccepted(bed.flow, false);
  CHECK(bed.referee->Count() == 0);
  bed.referee->OnAccepted(bed.flow, true);
  CHECK(bed.Broke("DRAIN"));
}

TEST_CASE("a reset counts only while the flow's server holds it") {
  Bed bed;
  bed.referee->OnPacket(bed.servers[0].get(), bed.flow, true);
  bed.referee->OnReset(bed.flow);  // This server holds no flow.
  CHECK(bed.referee->Count() == 0);
}

TEST_CASE("a balancer that falls back or stays behind is seen") {
  Bed bed;
  Daemon balancer;
  balancer.name = "balancer-0";
  balancer.starts = 1;
  const TimePoint now = SteadyTime();
  balancer.started_at = now - Seconds(60);
  balancer.fault_ended = now - Seconds(60);
  bed.referee->OnTarget(now - Seconds(20), 7);
  bed.referee->OnStoreMood(now - Seconds(30), true);
  bed.referee->OnInForce(now - Seconds(18), balancer, 6, true);
  CHECK(bed.referee->Count() == 0);
  SUBCASE("behind the store") {
    bed.referee->OnInForce(now, balancer, 6, true);
    CHECK(bed.Broke("instead of 7"));
  }
  SUBCASE("out of rotation it may be behind") {
    bed.referee->OnInForce(now, balancer, 6, false);
    CHECK(bed.referee->Count() == 0);
  }
  SUBCASE("fallen back") {
    bed.referee->OnInForce(now - Seconds(17), balancer, 7, true);
    bed.referee->OnInForce(now - Seconds(16), balancer, 6, false);
    CHECK(bed.Broke("fell back"));
  }
  SUBCASE("behind a peer while the store is away") {
    bed.referee->OnStoreMood(now - Seconds(17), false);
    Daemon peer = balancer;
    peer.ip = 5;
    bed.referee->OnInForce(now - Seconds(16), peer, 8, true);
    bed.referee->OnInForce(now, balancer, 7, true);
    CHECK(bed.Broke("instead of 8"));
  }
}

}  // namespace
}  // namespace medlargauge::soak

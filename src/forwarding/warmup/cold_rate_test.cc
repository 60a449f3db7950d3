// @file cold_rate_test.cc Tests of the limit of new flows of cold servers.
#include "src/forwarding/warmup/cold_rate.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "src/forwarding/agent_fixture.h"

namespace medlargauge {
namespace {

using namespace agent_fixture;  // NOLINT(google-build-using-namespace)

constexpr TimePoint kStart{Seconds(100)};
constexpr Duration kBoundWindow = Seconds(1);

/// Returns the largest number of times in any window of a second.
size_t BusiestWindow(const std::vector<TimePoint>& times) {
  size_t busiest = 0;
  for (size_t i = 0; i < times.size(); ++i) {
    const auto end =
        std::lower_bound(times.begin(), times.end(), times[i] + kBoundWindow);
    busiest = std::max(busiest, static_cast<size_t>(end - times.begin()) - i);
  }
  return busiest;
}

TEST_CASE("a cold server gets more new flows in some second than it may") {
  constexpr uint32_t kPerSecond = 20;
  ColdRate rate({1.5, 5});
  CHECK_FALSE(rate.IsExhausted(kStart));
  rate.OnStated(kStart, 7, kPerSecond);
  std::vector<TimePoint> taken;
  // Bursts of 50 flows, and single ones between them.
  for (TimePoint now = kStart; now < kStart + Seconds(20);
       now += Milliseconds(7)) {
    const bool is_burst = (now - kStart) / Milliseconds(7) % 40 == 0;
    for (int i = 0; i < (is_burst ? 50 : 1); ++i) {
      if (!rate.IsExhausted(now)) {
        rate.OnDelivered(now);
        taken.push_back(now);
      }
    }
  }
  CHECK(BusiestWindow(taken) <= 35);
  CHECK(BusiestWindow(taken) == 27);
  // The server is not left idle either.
  CHECK(taken.size() >= 20 * kPerSecond);
}

TEST_CASE("a rate that is stated by older targets replaces a newer one") {
  ColdRate rate({1, 0});
  CHECK_FALSE(rate.Limit().has_value());
  rate.OnStated(kStart, 7, 20);
  rate.OnStated(kStart, 6, 0);
  rate.OnStated(kStart, 8, std::nullopt);
  CHECK(rate.Limit() == 20);
  rate.OnStated(kStart, 9, 0);
  CHECK_FALSE(rate.Limit().has_value());
  // A restored store gives out lower revisions.
  rate.OnStated(kStart + Seconds(5), 3, 30);
  CHECK(rate.Limit() == 30);
}

/// An agent whose server sends heartbeats with a remaining warm-up.
struct ColdFixture : ForwarderFixture {
  ColdFixture() { forwarder.SetColdRateBounds({1.5, 5}); }

  void Report(uint32_t warmup_ms, bool is_first = false) {
    ServerReport report = MakeReport();
    report.warmup_ms = warmup_ms;
    report.slots = 1000;
    report.is_first = is_first;
    forwarder.OnReport(now, report);
  }
  ForwarderDecision Open(uint16_t port, bool last_candidate = false) {
    ForwardHeader header;
    header.service = ServiceIdOf("stock");
    header.last_candidate = last_candidate;
    header.warmup_per_second = 20;
    return forwarder.OnForwarded(now, kBalancer, header,
                                 MakePacket(port, true));
  }
  /// Opens flows until one is returned. @return the number before it
  uint16_t OpenAll(uint16_t first_port) {
    uint16_t count = 0;
    while (count < 500 &&
           Open(static_cast<uint16_t>(first_port + count)).kind ==
               ForwarderDecision::Kind::kDeliver) {
      ++count;
    }
    SendSynAck(first_port, 900);  // The server is alive.
    return count;
  }
};

TEST_CASE("a cold server gets flows of all balancers without limit") {
  ColdFixture fixture;
  fixture.Report(2000, true);
  CHECK(fixture.OpenAll(1) == 27);
  CHECK(fixture.Open(90).reason == ReturnReason::kBusy);
  // The last agent that a balancer asks must not take the flow either, and
  // must not be asked again at once.
  CHECK(fixture.Open(90, true).reason == ReturnReason::kFull);
  // A copy of a delivered packet is no new flow.
  CHECK(fixture.Open(3).kind == ForwarderDecision::Kind::kDeliver);
  CHECK(fixture.forwarder.Counters().returned_cold == 3);
  fixture.SendSynAck(3, 900);
  fixture.now += Milliseconds(1990);
  CHECK(fixture.OpenAll(100) == 27);
  fixture.now += Milliseconds(10);
  CHECK(fixture.OpenAll(200) == 500);
}

TEST_CASE("flows before a server turned cold do not count") {
  ColdFixture fixture;
  fixture.Report(0);
  for (uint16_t port = 1; port <= 20; ++port) {
    fixture.Open(port);
  }
  fixture.now += Milliseconds(300);
  fixture.Report(2000);
  CHECK(fixture.OpenAll(100) == 7);
}

TEST_CASE("an agent that restarts beside a cold server fills it again") {
  ColdFixture fixture;
  fixture.forwarder.OnStart(fixture.now);
  fixture.Report(1900);
  CHECK(fixture.OpenAll(1) == 0);
  fixture.now += ColdRate::kWindow;
  CHECK(fixture.OpenAll(1) == 27);
  ColdFixture started_together;
  started_together.forwarder.OnStart(started_together.now);
  started_together.Report(2000, true);
  CHECK(started_together.OpenAll(1) == 27);
}

}  // namespace
}  // namespace medlargauge

// @file finish_time_test.cc Tests of the costs that balancers learn and of
// placement by expected finish time.
#include <doctest/doctest.h>

#include <cmath>
#include <vector>

#include "src/forwarding/director_fixture.h"

namespace medlargauge {
namespace {

constexpr SocketAddress4 kShort{0xC6120001, 443};
constexpr SocketAddress4 kLong{0xC6120002, 443};

ServerLoad Report(uint32_t cost_us, uint32_t slowness = 0) {
  ServerLoad load;
  load.cost_us = cost_us;
  load.slowness = slowness;
  return load;
}

TEST_CASE("a server that sees one kind only does not look slower or faster") {
  const TimePoint now{Seconds(100)};
  FleetCosts costs;
  std::vector<ServerSlowness> servers(8);
  for (int round = 0; round < 20; ++round) {
    for (size_t i = 0; i < servers.size(); ++i) {
      // The first server sees long requests only, the last one is slow.
      const uint32_t factor = i == servers.size() - 1 ? 2 : 1;
      if (i > 0) {
        costs.OnReport(now, kShort, Report(30000 * factor), &servers[i]);
      }
      costs.OnReport(now, kLong, Report(90000 * factor), &servers[i]);
    }
  }
  CHECK(servers[0].At(now) == doctest::Approx(servers[1].At(now)).epsilon(0.1));
  CHECK(servers[7].At(now) ==
        doctest::Approx(2 * servers[1].At(now)).epsilon(0.1));
  CHECK(costs.WorkUs(kLong) ==
        doctest::Approx(3 * costs.WorkUs(kShort)).epsilon(0.1));
  CHECK(costs.WorkUs({1, 2}) == 0);
}

TEST_CASE(
    "a false report changes the estimates within bounds, and is forgotten") {
  TimePoint now{Seconds(100)};
  FleetCosts costs;
  ServerSlowness honest;
  ServerSlowness lying;
  for (int i = 0; i < 300; ++i) {
    costs.OnReport(now, kShort, Report(30000), &honest);
  }
  costs.OnReport(now, kShort, Report(1), &lying);
  costs.OnReport(now, kShort, Report(0), &lying);  // Not measured.
  CHECK(lying.At(now) >= 1.0 / 8.01);
  CHECK(costs.WorkUs(kShort) == doctest::Approx(30000).epsilon(0.02));
  now += Seconds(50);
  CHECK(lying.At(now) == doctest::Approx(1).epsilon(0.15));
}

/// Candidates of three slots whose load was reported just now.
std::vector<PlacementCandidate> MakeCandidates(TimePoint now, size_t count) {
  std::vector<PlacementCandidate> candidates(count);
  for (size_t i = 0; i < count; ++i) {
    candidates[i].id = MemberId{i + 1};
    candidates[i].load.slots = 3;
    candidates[i].work_us = 30000;
  }
  return candidates;
}

/// Returns how many of 3,000 flows each candidate gets.
std::vector<int> CountFlows(TimePoint now,
                            const std::vector<PlacementCandidate>& candidates) {
  std::vector<int> counts(candidates.size());
  for (uint64_t flow = 0; flow < 3000; ++flow) {
    ++counts[*PlaceByFinishTime(now, MixHash(flow, 7), candidates)];
  }
  return counts;
}

TEST_CASE("the shortest finish time wins: queue, remaining work and speed") {
  const TimePoint now{Seconds(100)};
  CHECK_FALSE(PlaceByFinishTime(now, 1, {}).has_value());
  std::vector<PlacementCandidate> candidates = MakeCandidates(now, 3);
  for (const int count : CountFlows(now, candidates)) {
    CHECK(count == doctest::Approx(1000).epsilon(0.15));
  }
  // Equal numbers of requests, but one server has a long one.
  for (PlacementCandidate& candidate : candidates) {
    candidate.load.active = 3;
    candidate.load.wait_us = 10000;
  }
  candidates[0].load.wait_us = 60000;
  CHECK(CountFlows(now, candidates)[0] == 0);
  // A slow server with a free slot loses against a short queue.
  candidates = MakeCandidates(now, 3);
  candidates[0].slowness.Add(now, std::log(2.2));
  candidates[1].load.active = candidates[2].load.active = 4;
  CHECK(CountFlows(now, candidates)[0] == 0);
  candidates[1].load.active = candidates[2].load.active = 12;
  CHECK(CountFlows(now, candidates)[0] == 3000);
  // A server that does not answer is the last choice.
  candidates[0].responsive = false;
  CHECK(CountFlows(now, candidates)[0] == 0);
}

TEST_CASE("what an agent reports of its present speed counts at once") {
  const TimePoint now{Seconds(100)};
  FleetCosts costs;
  ServerSlowness fast;
  ServerSlowness slow;
  for (int i = 0; i < 50; ++i) {
    costs.OnReport(now, kShort, Report(30000, 1000), &fast);
    // Twice as slow for good, and 5 times on top of that now.
    costs.OnReport(now, kShort, Report(60000, 5000), &slow);
  }
  CHECK(slow.At(now) == doctest::Approx(2 * fast.At(now)).epsilon(0.1));
  CHECK(FleetCosts::SlownessNow(now, Report(0, 5000), slow) ==
        doctest::Approx(10 * fast.At(now)).epsilon(0.1));
  CHECK(FleetCosts::SlownessNow(now, Report(0, 4'000'000), fast) <=
        8 * fast.At(now));
  std::vector<PlacementCandidate> candidates = MakeCandidates(now, 3);
  candidates[1].load.active = candidates[2].load.active = 5;
  CHECK(CountFlows(now, candidates)[0] == 3000);
  candidates[0].load.slowness = 5000;
  CHECK(CountFlows(now, candidates)[0] == 0);
}

TEST_CASE(
    "balancers learn speeds from notes; an agent without costs counts as "
    "usual") {
  director_fixture::DirectorFixture fixture;
  ServerLoad load = fixture.members.Find(MemberId{11})->member.load;
  const auto confirm = [&](uint64_t id, uint32_t cost_us, uint16_t port) {
    load.cost_us = cost_us;
    fixture.members.OnLoad(fixture.now, MemberId{id}, load);
    fixture.director.OnFlowConfirmed(
        fixture.now, MemberId{id},
        director_fixture::MakeOpeningPacket(port).flow, false);
  };
  for (uint16_t port = 1; port <= 20; ++port) {
    confirm(11, 60000, port);
    confirm(12, 30000, port);
    confirm(13, 0, port);
  }
  const auto slowness = [&](uint64_t id) {
    return fixture.members.Find(MemberId{id})->slowness.At(fixture.now);
  };
  CHECK(slowness(11) == doctest::Approx(2 * slowness(12)).epsilon(0.05));
  CHECK(slowness(13) == 1);
}

}  // namespace
}  // namespace medlargauge

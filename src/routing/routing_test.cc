// @file routing_test.cc Tests of home selection and of version splits.
#include <doctest/doctest.h>

#include <map>
#include <pcg_random.hpp>

#include "src/core/hash.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

constexpr int kFlows = 20000;

ServiceView ExampleView(int baseline, int trial, uint32_t share) {
  ServiceView view;
  view.service = ServiceIdOf("stock");
  for (int i = 0; i < baseline + trial; ++i) {
    AgentFacts facts;
    facts.id = MemberIdOf("stock-" + std::to_string(i));
    facts.state = AgentState::kReady;
    facts.version = VersionIdOf(i < baseline ? "v1" : "v2");
    view.agents.push_back(facts);
  }
  VersionSplit split;
  split.class_id = ClassIdOf("stock");
  split.baseline = VersionIdOf("v1");
  split.trial = VersionIdOf("v2");
  split.trial_share = share;
  view.splits.push_back(split);
  return view;
}

FlowId RandomFlow(pcg64* random) {
  return FlowId{(*random)(), (*random)() | 1U};
}

}  // namespace

TEST_CASE("rendezvous hashing spreads homes evenly over the agents") {
  const ServiceView view = ExampleView(7, 0, 0);
  pcg64 random(1);
  std::map<MemberId, int> counts;
  for (int i = 0; i < kFlows; ++i) {
    ++counts[HomeOf(view, ClassIdOf("stock"), RandomFlow(&random))->id];
  }
  CHECK(counts.size() == 7);
  for (const auto& [id, count] : counts) {
    CHECK(count > kFlows / 7.0 * 0.93);
    CHECK(count < kFlows / 7.0 * 1.07);
  }
}

TEST_CASE("a draining agent changes the home of its own flows only") {
  const ServiceView before = ExampleView(7, 0, 0);
  ServiceView after = before;
  after.agents[3].state = AgentState::kDraining;
  pcg64 random(2);
  for (int i = 0; i < kFlows; ++i) {
    const FlowId flow = RandomFlow(&random);
    const AgentFacts* old_home = HomeOf(before, ClassIdOf("stock"), flow);
    const AgentFacts* new_home = HomeOf(after, ClassIdOf("stock"), flow);
    if (old_home->id != before.agents[3].id) {
      CHECK(old_home->id == new_home->id);
    }
  }
}

TEST_CASE("the trial gets its share of the flows and no more") {
  const ServiceView view = ExampleView(5, 1, 1000);
  pcg64 random(3);
  int trial = 0;
  for (int i = 0; i < kFlows; ++i) {
    const FlowId flow = RandomFlow(&random);
    const AgentFacts* home = HomeOf(view, ClassIdOf("stock"), flow);
    trial += home->version == VersionIdOf("v2") ? 1 : 0;
  }
  CHECK(trial > kFlows * 0.09);
  CHECK(trial < kFlows * 0.11);
}

TEST_CASE("raising the share changes the home only in the added hash buckets") {
  const ServiceView before = ExampleView(5, 1, 1000);
  const ServiceView after = ExampleView(5, 1, 2000);
  pcg64 random(4);
  for (int i = 0; i < kFlows; ++i) {
    const FlowId flow = RandomFlow(&random);
    const bool in_added_buckets =
        HashBucketOf(flow) >= 1000 && HashBucketOf(flow) < 2000;
    if (!in_added_buckets) {
      CHECK(HomeOf(before, ClassIdOf("stock"), flow)->id ==
            HomeOf(after, ClassIdOf("stock"), flow)->id);
    }
  }
}

TEST_CASE("a trial without a ready server falls back to the baseline") {
  ServiceView view = ExampleView(3, 1, 10000);
  view.agents[3].state = AgentState::kDraining;
  const FlowId flow{12345, 67890};
  const AgentFacts* home = HomeOf(view, ClassIdOf("stock"), flow);
  REQUIRE(home != nullptr);
  CHECK(home->version == VersionIdOf("v1"));
}

TEST_CASE("a baseline without a ready server does not fall back to the trial") {
  ServiceView view = ExampleView(1, 1, 500);
  view.agents[0].state = AgentState::kDraining;
  const FlowId flow{UINT64_MAX, 1};
  CHECK(HomeOf(view, ClassIdOf("stock"), flow) == nullptr);
}

TEST_CASE(
    "the hash of a view changes with state, incarnation and trial share") {
  const ServiceView view = ExampleView(3, 1, 500);
  ServiceView other = view;
  other.agents[1].state = AgentState::kDraining;
  CHECK(HashView(other) != HashView(view));
  other = view;
  other.agents[1].incarnation = 9;
  CHECK(HashView(other) != HashView(view));
  other = view;
  other.splits[0].trial_share = 501;
  CHECK(HashView(other) != HashView(view));
}

}  // namespace medlargauge

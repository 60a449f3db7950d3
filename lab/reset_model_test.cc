// @file reset_model_test.cc No order of events resets a flow that its server
// holds, sends its packets astray, or leaves a dead flow without a reset.
#include "lab/reset_model.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>

namespace medlargauge::lab {
namespace {

struct ExpectedOpening {
  ModelOpening opening;
  uint32_t answers;
  std::string_view owner;
};

constexpr std::array<ExpectedOpening, 8> kExpectedOpenings = {{
    {ModelOpening::kPlain, 1, "agent-0"},
    {ModelOpening::kRetryFirst, 2, "agent-0"},
    {ModelOpening::kRetrySecond, 2, "agent-1"},
    {ModelOpening::kRetryCrossed, 2, "agent-1"},
    {ModelOpening::kCopyFirst, 2, "agent-0"},
    {ModelOpening::kCopySecond, 2, "agent-2"},
    {ModelOpening::kThreeFirst, 3, "agent-0"},
    {ModelOpening::kThreeSecond, 3, "agent-1"},
}};

constexpr uint32_t kFarDistance = 0x20000000;
constexpr std::array<uint32_t, 3> kDistances = {1000, 10'000'000, kFarDistance};
/// Both ways of a search: one agent after the other, and queries.
constexpr std::array<bool, 2> kSearchWays = {false, true};

ModelConfig MakeConfig(ModelOpening opening, uint32_t agents = 3) {
  ModelConfig config;
  config.opening = opening;
  config.agents = agents;
  return config;
}

void CheckNothingCounts(const ModelResult& result) {
  CAPTURE(Describe(result));
  CHECK(result.Counted().empty());
}

void CheckNothingCounts(const ModelConfig& config,
                        const std::vector<std::string>& script) {
  for (const bool use_queries : kSearchWays) {
    ModelConfig played = config;
    played.use_queries = use_queries;
    CAPTURE(use_queries);
    for (const Finding& finding : Replay(played, script)) {
      CAPTURE(FindingName(finding.kind));
      CAPTURE(finding.out_of_touch);
      CAPTURE(finding.detail);
      CHECK_FALSE(Counts(finding));
    }
  }
}

TEST_CASE("reset model: each opening gets the answers that it is named after") {
  for (const ExpectedOpening& expected : kExpectedOpenings) {
    const ResetWorld world(MakeConfig(expected.opening));
    CAPTURE(OpeningName(expected.opening));
    CHECK(world.IsOpen());
    CHECK(world.CountAnswers() == expected.answers);
    CHECK(world.OwnerName() == expected.owner);
  }
}

TEST_CASE("reset model: a restored state replays to the same result") {
  ModelConfig config = MakeConfig(ModelOpening::kCopySecond);
  ResetWorld world(config);
  const ResetWorld::Snapshot start = world.Save();
  std::array<Duration, 2> times{};
  for (Duration& time : times) {
    world.Restore(start);
    world.Apply(*world.FindEvent("crash-server agent-2"));
    time = world.Settle();
    CHECK_FALSE(world.HasFlow());
  }
  CHECK(times[0] == times[1]);
}

TEST_CASE("reset model: a reset of a held flow is found") {
  ModelConfig config = MakeConfig(ModelOpening::kPlain);
  config.balancers = 1;
  const std::vector<Finding> findings = Replay(
      config, {"cut balancer-0 agent-0", "wait 6000", "request", "wait 100"});
  REQUIRE(findings.size() == 1);
  CHECK(findings[0].kind == FindingKind::kReset);
  CHECK(findings[0].out_of_touch == "balancer-0 agent-0");
}

TEST_CASE("reset model: no sequence of two events breaks a promise") {
  ModelResult result;
  for (const ModelOpening opening : AllOpenings()) {
    for (const uint32_t distance : kDistances) {
      ModelConfig config = MakeConfig(opening);
      config.initial_sequence_distance = distance;
      for (const bool use_queries : kSearchWays) {
        config.use_queries = use_queries;
        ExploreAll(config, 2, 0, 1, &result);
      }
    }
  }
  CheckNothingCounts(result);
  CHECK(result.resets > 0);
}

TEST_CASE("reset model: no sequence of three events breaks a promise") {
  ModelResult result;
  for (const ModelOpening opening :
       {ModelOpening::kPlain, ModelOpening::kRetryCrossed,
        ModelOpening::kCopySecond}) {
    ModelConfig config = MakeConfig(opening);
    config.initial_sequence_distance = kDistances[0];
    for (const bool use_queries : kSearchWays) {
      config.use_queries = use_queries;
      ExploreAll(config, 3, 0, 1, &result);
    }
  }
  CheckNothingCounts(result);
}

TEST_CASE("reset model: no random sequence of eight events breaks a promise") {
  ModelResult result;
  for (const ModelOpening opening : AllOpenings()) {
    for (const bool use_queries : kSearchWays) {
      ModelConfig config = MakeConfig(opening);
      config.use_queries = use_queries;
      ExploreRandomly(config, 1, 500, 8, &result);
    }
  }
  CheckNothingCounts(result);
}

/// Returns a fleet with two agents of the route's service and one of another,
/// which the route can be moved to.
ModelConfig MakeTwoServices(ModelOpening opening) {
  ModelConfig config = MakeConfig(opening, 3);
  config.other_agents = 1;
  return config;
}

TEST_CASE("reset model: no route change and start of a balancer break one") {
  ModelResult result;
  for (const ModelOpening opening :
       {ModelOpening::kPlain, ModelOpening::kCopySecond}) {
    ModelConfig config = MakeTwoServices(opening);
    for (const bool use_queries : kSearchWays) {
      config.use_queries = use_queries;
      config.actions = {"move-route", "restart", "leave",        "start",
                        "kill",       "wait",    "crash-server", "late-copy"};
      ExploreAll(config, 3, 0, 1, &result);
      config.actions.clear();
      ExploreRandomly(config, 2, 300, 8, &result);
    }
  }
  CheckNothingCounts(result);
  CHECK(result.resets > 0);
}

TEST_CASE(
    "reset model: a balancer that starts after the route was moved resets the "
    "flows at the old service") {
  CheckNothingCounts(MakeTwoServices(ModelOpening::kPlain),
                     {"move-route", "restart balancer-0", "wait 6000"});
}

TEST_CASE(
    "reset model: the answer of an agent that took its server for stopped "
    "stays "
    "a denial after the server's heartbeat") {
  CheckNothingCounts(
      MakeConfig(ModelOpening::kPlain),
      {"restart agent-0", "late-departure agent-0", "kill agent-1"});
}

TEST_CASE(
    "reset model: a late deregistration beside a planned restart of an agent "
    "resets the flows of its server") {
  CheckNothingCounts(
      MakeConfig(ModelOpening::kPlain),
      {"leave agent-0", "restart agent-0", "late-departure agent-0"});
}

TEST_CASE(
    "reset model: a late heartbeat and deregistration of an earlier server "
    "reset the flows of the living one") {
  CheckNothingCounts(MakeConfig(ModelOpening::kPlain),
                     {"leave agent-0", "restart agent-0", "late-report agent-0",
                      "late-departure agent-0"});
}

TEST_CASE(
    "reset model: an empty list of registered agents makes a balancer reset "
    "flows after its planned restart") {
  CheckNothingCounts(MakeConfig(ModelOpening::kPlain),
                     {"forget-all", "wait 6000", "leave balancer-0",
                      "wait 1600", "restart balancer-0"});
}

TEST_CASE(
    "reset model: a balancer that meets no other one and reads an incomplete "
    "list never resets a dead flow") {
  CheckNothingCounts(
      MakeConfig(ModelOpening::kPlain),
      {"forget-all", "restart balancer-0", "crash-server agent-0",
       "kill balancer-1", "restart agent-0"});
}

TEST_CASE(
    "reset model: a list that lacks only the owner's agent makes a lone "
    "balancer reset its flows after a planned restart") {
  CheckNothingCounts(MakeConfig(ModelOpening::kPlain),
                     {"forget agent-0", "kill balancer-1", "wait 6000",
                      "leave balancer-0", "wait 1600", "restart balancer-0"});
}

TEST_CASE(
    "reset model: a half-open server gets the packets of an open flow after "
    "its agent restarted") {
  CheckNothingCounts(
      MakeConfig(ModelOpening::kCopySecond),
      {"wait 400", "kill balancer-1", "wait 400", "restart agent-0"});
}

TEST_CASE(
    "reset model: quiet is taken for completeness while a registered agent was "
    "never heard") {
  ModelConfig config = MakeConfig(ModelOpening::kPlain, 2);
  config.seeds = 1;
  CheckNothingCounts(config,
                     {"kill balancer-0", "kill agent-0", "restart balancer-1",
                      "wait 6000", "forget-all", "start agent-0", "wait 6000"});
}

}  // namespace
}  // namespace medlargauge::lab

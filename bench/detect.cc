// @file detect.cc How fast a dead host is removed, and whether living ones are
// removed wrongly under loss, pauses and one-way cuts.
#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "bench/bench.h"
#include "bench/deployment_world.h"
#include "src/core/hash.h"

namespace medlargauge {
namespace {

constexpr int kRounds = 60;
constexpr Duration kStep = Milliseconds(50);
constexpr Duration kLongestWait = Seconds(15);
constexpr double kControlLoss = 0.05;
constexpr Duration kPause = Milliseconds(2500);
constexpr Duration kCut = Seconds(10);

/// Whether all other agents of the service have removed a member.
bool IsRemovedByAll(const World& world, const World::AgentHost& dead) {
  for (const auto& host : world.Agents()) {
    const bool counts = host->agent != nullptr && host->name != dead.name &&
                        host->service == dead.service;
    if (!counts) {
      continue;
    }
    const Group& group = host->agent->ServiceGroup();
    const auto slot = group.FindSlot(MemberIdOf(dead.name));
    if (slot.has_value() &&
        group.PeerAt(*slot).facts.state != AgentState::kGone) {
      return false;
    }
  }
  return true;
}

/// Counts removals of members whose process runs.
uint64_t CountFalseRemovals(
    const World& world,
    std::set<std::pair<std::string, std::string>>* seen) {
  uint64_t found = 0;
  for (const auto& host : world.Agents()) {
    if (host->agent == nullptr) {
      continue;
    }
    for (const Peer& peer : host->agent->ServiceGroup().Peers()) {
      for (const auto& other : world.Agents()) {
        const bool wrong = MemberIdOf(other->name) == peer.facts.id &&
                           other->agent != nullptr &&
                           peer.facts.state == AgentState::kGone &&
                           peer.facts.incarnation ==
                               other->agent->ServiceGroup().Self().incarnation;
        if (wrong && seen->insert({host->name, other->name}).second) {
          ++found;
        }
      }
    }
  }
  return found;
}

}  // namespace

nlohmann::json RunDetect(const BenchOptions& options) {
  BenchDeployment deployment = ExampleDeployments()[1];
  deployment.services.resize(1);
  WorldOptions world_options;
  world_options.seed = options.seed;
  world_options.faults.control_loss = kControlLoss;
  world_options.faults.reorder = 0.05;
  DeploymentWorld bench(deployment, world_options);
  World& world = bench.Fakes();
  std::vector<int64_t> times;
  uint64_t false_removals = 0;
  uint64_t missed = 0;
  std::set<std::pair<std::string, std::string>> seen;
  for (int round = 0; round < kRounds; ++round) {
    const auto& agents = world.Agents();
    const World::AgentHost& dead = *agents[round % agents.size()];
    const std::string paused = agents[(round + 2) % agents.size()]->name;
    const std::string deaf = agents[(round + 4) % agents.size()]->name;
    const std::string mute = agents[(round + 5) % agents.size()]->name;
    world.PauseAgent(paused, kPause);
    world.SetLinkCut(mute, deaf, true);
    world.Events().After(
        kCut, [&world, mute, deaf] { world.SetLinkCut(mute, deaf, false); });
    const TimePoint start = world.Events().Now();
    world.CrashServer(dead.name);
    while (!IsRemovedByAll(world, dead) &&
           world.Events().Now() - start < kLongestWait) {
      world.Run(kStep);
      false_removals += CountFalseRemovals(world, &seen);
    }
    const Duration taken = world.Events().Now() - start;
    missed += taken >= kLongestWait ? 1 : 0;
    times.push_back(ToMilliseconds(taken));
    world.Run(kCut);
    false_removals += CountFalseRemovals(world, &seen);
    world.StartServer(dead.name);
    world.Run(Seconds(8));
    seen.clear();
  }
  std::sort(times.begin(), times.end());
  const size_t rank = (times.size() * 99 + 99) / 100 - 1;
  std::cout << "removals " << times.size() << "  median_ms "
            << times[times.size() / 2] << "  p99_ms " << times[rank]
            << "  largest_ms " << times.back() << "  missed " << missed << "\n";
  return {{"detect_p99_ms", times[rank]},
          {"false_removals", false_removals},
          {"missed", missed}};
}

}  // namespace medlargauge

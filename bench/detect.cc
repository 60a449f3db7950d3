// @file detect.cc Time to remove a crashed host, and false removals of running
// ones, under message loss, pauses and one-way cuts.
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
constexpr Duration kPollInterval = Milliseconds(50);
constexpr Duration kMaxRemovalWait = Seconds(15);
constexpr double kControlLoss = 0.05;
constexpr Duration kAgentPauseLength = Milliseconds(2500);
constexpr Duration kCutLength = Seconds(10);

/// Returns whether every other running agent of the service has removed the
/// crashed member. Agents that never knew it count as well.
bool IsRemovedByAll(const World& world, const World::AgentHost& crashed) {
  for (const auto& host : world.Agents()) {
    const bool must_remove = host->agent != nullptr &&
                             host->name != crashed.name &&
                             host->service == crashed.service;
    if (!must_remove) {
      continue;
    }
    const Group& group = host->agent->ServiceGroup();
    const auto slot = group.FindSlot(MemberIdOf(crashed.name));
    if (slot.has_value() &&
        group.PeerAt(*slot).facts.state != AgentState::kGone) {
      return false;
    }
  }
  return true;
}

/// Counts removals of members whose process runs with the same incarnation.
/// @param reported pairs of observer and removed member that were counted
///     before; new pairs are added
uint64_t CountFalseRemovals(
    const World& world,
    std::set<std::pair<std::string, std::string>>* reported) {
  uint64_t count = 0;
  for (const auto& host : world.Agents()) {
    if (host->agent == nullptr) {
      continue;
    }
    for (const Peer& peer : host->agent->ServiceGroup().Peers()) {
      for (const auto& other : world.Agents()) {
        const bool is_false_removal =
            MemberIdOf(other->name) == peer.facts.id &&
            other->agent != nullptr && peer.facts.state == AgentState::kGone &&
            peer.facts.incarnation ==
                other->agent->ServiceGroup().Self().incarnation;
        if (is_false_removal &&
            reported->insert({host->name, other->name}).second) {
          ++count;
        }
      }
    }
  }
  return count;
}

}  // namespace

nlohmann::json RunDetect(const BenchOptions& options) {
  BenchDeployment deployment = ExampleDeployments()[1];
  deployment.services.resize(1);
  WorldOptions world_options;
  world_options.seed = options.seed;
  world_options.faults.control_loss = kControlLoss;
  world_options.faults.reorder = 0.05;
  DeploymentWorld deployment_world(deployment, world_options);
  World& world = deployment_world.SimulatedWorld();
  std::vector<int64_t> removal_times_ms;
  uint64_t false_removals = 0;
  uint64_t missed_removals = 0;
  std::set<std::pair<std::string, std::string>> reported;
  for (int round = 0; round < kRounds; ++round) {
    const auto& agents = world.Agents();
    const World::AgentHost& crashed = *agents[round % agents.size()];
    const std::string paused_agent = agents[(round + 2) % agents.size()]->name;
    const std::string cut_receiver = agents[(round + 4) % agents.size()]->name;
    const std::string cut_sender = agents[(round + 5) % agents.size()]->name;
    world.PauseAgent(paused_agent, kAgentPauseLength);
    world.SetLinkCut(cut_sender, cut_receiver, true);
    world.Events().After(kCutLength, [&world, cut_sender, cut_receiver] {
      world.SetLinkCut(cut_sender, cut_receiver, false);
    });
    const TimePoint crash_time = world.Events().Now();
    world.CrashServer(crashed.name);
    while (!IsRemovedByAll(world, crashed) &&
           world.Events().Now() - crash_time < kMaxRemovalWait) {
      world.Run(kPollInterval);
      false_removals += CountFalseRemovals(world, &reported);
    }
    const Duration elapsed = world.Events().Now() - crash_time;
    missed_removals += elapsed >= kMaxRemovalWait ? 1 : 0;
    removal_times_ms.push_back(ToMilliseconds(elapsed));
    world.Run(kCutLength);
    false_removals += CountFalseRemovals(world, &reported);
    world.StartServer(crashed.name);
    world.Run(Seconds(8));
    reported.clear();
  }
  std::sort(removal_times_ms.begin(), removal_times_ms.end());
  const size_t p99_index = (removal_times_ms.size() * 99 + 99) / 100 - 1;
  std::cout << "removals " << removal_times_ms.size() << "  median_ms "
            << removal_times_ms[removal_times_ms.size() / 2] << "  p99_ms "
            << removal_times_ms[p99_index] << "  largest_ms "
            << removal_times_ms.back() << "  missed " << missed_removals
            << "\n";
  return {{"detect_p99_ms", removal_times_ms[p99_index]},
          {"false_removals", false_removals},
          {"missed", missed_removals}};
}

}  // namespace medlargauge

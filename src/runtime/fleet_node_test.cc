// @file fleet_node_test.cc Test of a large fleet in one process, over loopback.
#include "src/runtime/fleet_node.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "src/core/error.h"

namespace medlargauge {
namespace {

constexpr uint32_t kNetwork = 0x7FC80000;  ///< 127.200.0.0
constexpr uint16_t kFirstPort = 39500;
constexpr size_t kBalancers = 40;  ///< The first members; the rest are agents.

/// Returns a platform whose store never answers.
PlatformHooks MakeSilentStore() {
  PlatformHooks hooks;
  hooks.fetch_targets = [](const TargetsCallback&) {};
  hooks.watch_targets = [](uint64_t, Duration, const TargetsCallback&) {};
  hooks.list_members = [](MemberRole, const MembersCallback&) {};
  hooks.add_member = [](MemberRole, uint32_t, const StoreWriteCallback&) {};
  hooks.remove_member = [](MemberRole, uint32_t, const StoreWriteCallback&) {};
  return hooks;
}

/// A fleet whose members all start at once and join through two seeds.
struct TestFleet {
  EventLoop loop;
  PlatformHooks platform = MakeSilentStore();
  std::vector<std::unique_ptr<FleetNode>> members;

  /// Starts `count` members on `port`, each with an address of its own. All
  /// join through the first two.
  /// @return false if an address is taken
  bool StartAll(size_t count, uint16_t port) {
    for (size_t i = 0; i < count; ++i) {
      Add(i, i < kBalancers, port, {AddressOf(0, port), AddressOf(1, port)});
    }
    return Start();
  }

  /// Adds a member that joins through `seeds`.
  void Add(size_t index,
           bool is_balancer,
           uint16_t port,
           std::vector<std::string> seeds) {
    Settings settings;
    settings.name = "member-" + std::to_string(index);
    settings.role = is_balancer ? "balancer" : "agent";
    settings.service = is_balancer ? "" : "stock";
    settings.failure_domain = "a";
    settings.control_address = AddressOf(index, port);
    settings.seeds = std::move(seeds);
    FleetNodeHooks hooks;
    hooks.update_self = [](TimePoint, FleetMember* self) {
      self->state = AgentState::kReady;
    };
    hooks.on_frame = [](TimePoint, SocketAddress4, const PeerFrame&) {};
    hooks.fill_stats = [](TimePoint, Stats*) {};
    members.push_back(std::make_unique<FleetNode>(
        &loop, settings,
        is_balancer ? MemberRole::kBalancer : MemberRole::kAgent, &platform,
        hooks));
  }

  /// Starts all members. @return false if an address is taken
  bool Start() {
    Error reason;
    return std::all_of(members.begin(), members.end(),
                       [&](auto& member) { return member->Start(&reason); });
  }

  static std::string AddressOf(size_t index, uint16_t port) {
    return FormatAddress({kNetwork + static_cast<uint32_t>(index) + 1, port});
  }

  /// Returns the number of agents that hear no balancer.
  size_t CountIsolatedAgents() {
    size_t isolated = 0;
    for (size_t i = kBalancers; i < members.size(); ++i) {
      const size_t heard = members[i]->Members().CountReachable(
          SteadyTime(), MemberRole::kBalancer);
      isolated += heard == 0 ? 1 : 0;
    }
    return isolated;
  }

  /// Returns the sum over all balancers of the number of agents they hear.
  size_t CountHeardAgents() {
    size_t heard = 0;
    for (size_t i = 0; i < kBalancers; ++i) {
      heard += members[i]->Members().CountReachable(SteadyTime(),
                                                    MemberRole::kAgent);
    }
    return heard;
  }
};

TEST_CASE("a large fleet that starts at once converges without isolation") {
  constexpr size_t kMembers = 300;
  constexpr Duration kMaxConvergenceTime = Milliseconds(1500);
  constexpr Duration kPollInterval = Milliseconds(20);
  // Longer than any status interval.
  constexpr Duration kObservationTime = Seconds(5);
  std::unique_ptr<TestFleet> fleet;
  for (uint16_t port = kFirstPort; port < kFirstPort + 20; ++port) {
    fleet = std::make_unique<TestFleet>();
    if (fleet->StartAll(kMembers, port)) {
      break;
    }
    fleet = nullptr;
  }
  REQUIRE(fleet != nullptr);
  const size_t expected_heard = kBalancers * (kMembers - kBalancers);
  const TimePoint start = SteadyTime();
  TimePoint converged_at;
  size_t isolated_samples = 0;
  fleet->loop.Every(kPollInterval, [&] {
    const TimePoint now = SteadyTime();
    if (converged_at == TimePoint() &&
        fleet->CountHeardAgents() == expected_heard) {
      converged_at = now;
    }
    isolated_samples +=
        converged_at == TimePoint() ? 0 : fleet->CountIsolatedAgents();
    if (now - start > kObservationTime) {
      fleet->loop.Stop();
    }
  });
  fleet->loop.Run();
  REQUIRE(converged_at != TimePoint());
  MESSAGE("all heard after ms: " << ToMilliseconds(converged_at - start));
  CHECK(converged_at - start <= kMaxConvergenceTime);
  // Isolated agents would all request the member list again at the same time.
  CHECK(isolated_samples == 0);
}

/// Runs a fleet that `add` fills, on the first free port, for `time`.
std::unique_ptr<TestFleet> RunFleet(
    const std::function<void(TestFleet*, uint16_t port)>& add,
    Duration time) {
  for (uint16_t port = kFirstPort; port < kFirstPort + 20; ++port) {
    auto fleet = std::make_unique<TestFleet>();
    add(fleet.get(), port);
    if (fleet->Start()) {
      fleet->loop.After(time, [loop = &fleet->loop] { loop->Stop(); });
      fleet->loop.Run();
      return fleet;
    }
  }
  return nullptr;
}

TEST_CASE("a balancer whose seeds are dead finds the others through agents") {
  const std::unique_ptr<TestFleet> fleet = RunFleet(
      [](TestFleet* fleet, uint16_t port) {
        const std::string dead = TestFleet::AddressOf(90, port);
        fleet->Add(0, true, port, {dead});
        fleet->Add(1, true, port, {dead});
        fleet->Add(
            2, false, port,
            {TestFleet::AddressOf(0, port), TestFleet::AddressOf(1, port)});
      },
      Milliseconds(1500));
  REQUIRE(fleet != nullptr);
  const TimePoint now = SteadyTime();
  for (size_t i = 0; i < 2; ++i) {
    MembershipTable& members = fleet->members[i]->Members();
    CHECK(members.CountReachable(now, MemberRole::kAgent) == 1);
    CHECK(members.CountReachable(now, MemberRole::kBalancer) == 1);
  }
}

TEST_CASE("balancers find a seed that starts late and can't find them") {
  const std::unique_ptr<TestFleet> fleet = RunFleet(
      [](TestFleet* fleet, uint16_t port) {
        const std::string seed = TestFleet::AddressOf(0, port);
        fleet->Add(1, true, port, {seed, TestFleet::AddressOf(2, port)});
        fleet->Add(2, true, port, {seed, TestFleet::AddressOf(1, port)});
        fleet->loop.After(Milliseconds(500), [fleet, port] {
          Error reason;
          fleet->Add(0, true, port, {TestFleet::AddressOf(90, port)});
          REQUIRE(fleet->members.back()->Start(&reason));
        });
      },
      Milliseconds(5000));
  REQUIRE(fleet != nullptr);
  const TimePoint now = SteadyTime();
  REQUIRE(fleet->members.size() == 3);
  for (const auto& member : fleet->members) {
    CHECK(member->Members().CountReachable(now, MemberRole::kBalancer) == 2);
  }
}

}  // namespace
}  // namespace medlargauge

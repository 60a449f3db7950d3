// @file fleet_test.cc Many members in one process, over loopback.
#include "src/runtime/fleet.h"

#include <doctest/doctest.h>

#include "src/core/error.h"

namespace medlargauge {
namespace {

constexpr uint32_t kNet = 0x7FC80000;  ///< 127.200.0.0
constexpr uint16_t kFirstPort = 39500;
constexpr size_t kBalancers = 40;

/// A platform whose store never answers.
PlatformHooks SilentStore() {
  PlatformHooks hooks;
  hooks.fetch_targets = [](const TargetsCallback&) {};
  hooks.watch_targets = [](uint64_t, Duration, const TargetsCallback&) {};
  hooks.list_balancers = [](const BalancersCallback&) {};
  hooks.add_balancer = [](uint32_t, const StoreWriteCallback&) {};
  hooks.remove_balancer = [](uint32_t, const StoreWriteCallback&) {};
  return hooks;
}

/// A fleet that starts all at once and knows two seeds.
struct Bed {
  EventLoop loop;
  PlatformHooks platform = SilentStore();
  std::vector<std::unique_ptr<FleetNode>> members;

  bool StartAll(size_t count, uint16_t port) {
    for (size_t i = 0; i < count; ++i) {
      const bool balancer = i < kBalancers;
      Settings settings;
      settings.name = "member-" + std::to_string(i);
      settings.role = balancer ? "balancer" : "agent";
      settings.service = balancer ? "" : "stock";
      settings.failure_domain = "a";
      settings.control_address = AddressOf(i, port);
      settings.seeds = {AddressOf(0, port), AddressOf(1, port)};
      FleetNodeHooks hooks;
      hooks.describe = [](TimePoint, SteerMember* self) {
        self->state = AgentState::kReady;
      };
      hooks.on_frame = [](TimePoint, SocketAddress4, const PeerFrame&) {};
      hooks.measure = [](TimePoint, Stats*) {};
      members.push_back(std::make_unique<FleetNode>(
          &loop, settings,
          balancer ? MemberRole::kBalancer : MemberRole::kAgent, &platform,
          hooks));
    }
    Error reason;
    for (auto& member : members) {
      if (!member->Start(&reason)) {
        return false;
      }
    }
    return true;
  }

  static std::string AddressOf(size_t index, uint16_t port) {
    return FormatAddress({kNet + static_cast<uint32_t>(index) + 1, port});
  }

  /// Returns how many agents hear no balancer.
  size_t Lonely() {
    size_t lonely = 0;
    for (size_t i = kBalancers; i < members.size(); ++i) {
      const size_t heard =
          members[i]->Members().CountHeard(SteadyTime(), MemberRole::kBalancer);
      lonely += heard == 0 ? 1 : 0;
    }
    return lonely;
  }

  /// Returns how many agents the balancers hear, over all balancers.
  size_t Heard() {
    size_t heard = 0;
    for (size_t i = 0; i < kBalancers; ++i) {
      heard +=
          members[i]->Members().CountHeard(SteadyTime(), MemberRole::kAgent);
    }
    return heard;
  }
};

TEST_CASE("a large fleet that starts at once knows itself soon") {
  constexpr size_t kMembers = 300;
  constexpr Duration kSoon = Milliseconds(1500);
  constexpr Duration kStep = Milliseconds(20);
  constexpr Duration kWatched = Seconds(5);  ///< Longer than any interval.
  std::unique_ptr<Bed> bed;
  for (uint16_t port = kFirstPort; port < kFirstPort + 20; ++port) {
    bed = std::make_unique<Bed>();
    if (bed->StartAll(kMembers, port)) {
      break;
    }
    bed = nullptr;
  }
  REQUIRE(bed != nullptr);
  const size_t wanted = kBalancers * (kMembers - kBalancers);
  const TimePoint start = SteadyTime();
  TimePoint complete;
  size_t lonely = 0;
  bed->loop.Every(kStep, [&] {
    const TimePoint now = SteadyTime();
    if (complete == TimePoint() && bed->Heard() == wanted) {
      complete = now;
    }
    lonely += complete == TimePoint() ? 0 : bed->Lonely();
    if (now - start > kWatched) {
      bed->loop.Stop();
    }
  });
  bed->loop.Run();
  REQUIRE(complete != TimePoint());
  MESSAGE("all heard after ms: " << ToMilliseconds(complete - start));
  CHECK(complete - start <= kSoon);
  CHECK(lonely == 0);  // They would all ask for the list again.
}

}  // namespace
}  // namespace medlargauge

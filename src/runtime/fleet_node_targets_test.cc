// @file fleet_node_targets_test.cc Tests of how targets reach processes without
// the store, over loopback.
#include <doctest/doctest.h>

#include "src/core/error.h"
#include "src/runtime/fleet_node.h"

namespace medlargauge {
namespace {

constexpr uint32_t kNetwork = 0x7FC90000;  ///< 127.201.0.0
constexpr uint16_t kFirstPort = 39600;
constexpr uint32_t kFakeIp = kNetwork + 1;
constexpr uint32_t kBalancer = kNetwork + 2;
constexpr uint32_t kAgent = kNetwork + 10;
constexpr Duration kPollInterval = Milliseconds(10);

std::optional<RouteTable> MakeTable(const StoredTargets& targets,
                                    Error* reason) {
  RouteTable table;
  table.identity.version = targets.version;
  const std::string expected =
      "targets " + std::to_string(targets.version.revision);
  // Blanks at the end make targets large.
  if (targets.value.substr(0, targets.value.find_last_not_of(' ') + 1) !=
      expected) {
    *reason = {ErrorKind::kMalformedValue, targets.value};
    return std::nullopt;
  }
  return table;
}

/// Stands for a member that has targets: it sends statuses and serves the
/// targets after refusing some requests. Ends when it is destroyed.
class FakeMember {
 public:
  FakeMember(EventLoop* loop, uint16_t port, uint64_t revision)
      : m_port(port), m_revision(revision), m_server(loop, [this](const auto&) {
          ++m_requests;
          HttpResponse response;
          response.status = m_requests <= refusals ? 503 : 200;
          response.body = std::to_string(m_revision) + "\ntargets " +
                          std::to_string(m_revision) + padding;
          return response;
        }) {}

  bool Start() {
    Error reason;
    return m_socket.Bind({kFakeIp, m_port}, &reason) &&
           m_server.Listen({kFakeIp, m_port}, &reason);
  }
  void SendStatus(uint32_t ip, MemberRole role) {
    FleetMember self;
    self.id = MemberId{77};
    self.role = role;
    self.ip = kFakeIp;
    self.incarnation = 1;
    self.targets.version.revision = m_revision;
    proto::PeerStatus status;
    *status.mutable_self() = EncodeMember(SteadyTime(), self);
    status.set_sequence(++m_sequence);
    m_socket.Send({ip, m_port},
                  m_writer.Message(PeerMessageKind::kStatus, status));
  }
  size_t Requests() const { return m_requests; }

  size_t refusals = 0;  ///< Number of requests to refuse first.
  std::string padding;  ///< Appended to the targets; makes them large.

 private:
  uint16_t m_port;
  uint64_t m_revision;
  uint32_t m_sequence = 0;
  size_t m_requests = 0;
  UdpSocket m_socket;
  PeerFrameWriter m_writer;
  HttpServer m_server;
};

/// Processes on one port. The store of each answers the first read with
/// `store_revision` after `store_delay`, or never if that is 0.
struct TargetsFixture {
  EventLoop loop;
  PlatformHooks silent_platform = MakePlatform(0, Duration());
  std::vector<PlatformHooks> platforms{};
  std::unique_ptr<FakeMember> fake;
  std::unique_ptr<FleetNode> agent;
  uint16_t port = kFirstPort;
  std::function<bool()> is_done;

  TargetsFixture() {
    platforms.reserve(4);
    for (; port < kFirstPort + 20; ++port) {
      fake = std::make_unique<FakeMember>(&loop, port, 5);
      agent = MakeNode(MemberRole::kAgent, kAgent, &silent_platform);
      Error reason;
      if (fake->Start() && agent->Start(&reason)) {
        break;
      }
    }
    loop.Every(kPollInterval, [this] {
      if (is_done && is_done()) {
        loop.Stop();
      }
    });
  }

  PlatformHooks MakePlatform(uint64_t store_revision, Duration store_delay) {
    PlatformHooks hooks;
    hooks.parse_targets = &MakeTable;
    hooks.fetch_targets = [this, store_revision,
                           store_delay](const TargetsCallback& done) {
      if (store_revision != 0) {
        loop.After(store_delay, [done, store_revision] {
          done({StoreResult::kOk, {}},
               {StoredTargets{"targets " + std::to_string(store_revision),
                              {0, store_revision}},
                std::nullopt},
               store_revision);
        });
      }
    };
    hooks.watch_targets = [](uint64_t, Duration, const TargetsCallback&) {};
    hooks.list_members = [](MemberRole, const MembersCallback&) {};
    hooks.add_member = [](MemberRole, uint32_t, const StoreWriteCallback&) {};
    hooks.remove_member = [](MemberRole, uint32_t, const StoreWriteCallback&) {
    };
    return hooks;
  }

  std::unique_ptr<FleetNode> MakeNode(MemberRole role,
                                      uint32_t ip,
                                      const PlatformHooks* platform) {
    Settings settings;
    settings.name = "member-" + std::to_string(ip);
    settings.service = role == MemberRole::kAgent ? "stock" : "";
    settings.failure_domain = "a";
    settings.control_address = FormatAddress({ip, port});
    settings.seeds = {FormatAddress({kAgent, port})};
    FleetNodeHooks hooks;
    hooks.update_self = [](TimePoint, FleetMember* self) {
      self->state = AgentState::kReady;
    };
    hooks.on_frame = [](TimePoint, SocketAddress4, const PeerFrame&) {};
    hooks.fill_stats = [](TimePoint, Stats*) {};
    return std::make_unique<FleetNode>(&loop, settings, role, platform, hooks);
  }

  /// Starts a balancer whose seed is the agent.
  std::unique_ptr<FleetNode> StartBalancer(uint64_t store_revision,
                                           Duration store_delay) {
    platforms.push_back(MakePlatform(store_revision, store_delay));
    std::unique_ptr<FleetNode> balancer =
        MakeNode(MemberRole::kBalancer, kBalancer, &platforms.back());
    Error reason;
    REQUIRE(balancer->Start(&reason));
    return balancer;
  }

  /// Runs until `condition` holds. @return false if it does not in time
  bool RunUntil(Duration limit, const std::function<bool()>& condition) {
    const TimePoint end = SteadyTime() + limit;
    bool holds = false;
    is_done = [&] {
      holds = holds || condition();
      return holds || SteadyTime() >= end;
    };
    loop.Run();
    is_done = nullptr;
    return holds;
  }

  /// Makes the agent keep the fake balancer's targets, and ends that balancer.
  bool GiveTargetsToAgent() {
    TimePoint next_status;
    const bool given = RunUntil(Seconds(3), [&] {
      if (SteadyTime() >= next_status) {
        fake->SendStatus(kAgent, MemberRole::kBalancer);
        next_status = SteadyTime() + Milliseconds(100);
      }
      return agent->Self().targets.version.revision == 5;
    });
    MESSAGE("requests to the balancer: " << fake->Requests());
    CHECK(fake->Requests() <= 1);
    fake = nullptr;
    return given;
  }
};

TEST_CASE("a balancer that starts without the store lacks targets") {
  TargetsFixture fixture;
  REQUIRE(fixture.GiveTargetsToAgent());
  const std::unique_ptr<FleetNode> balancer =
      fixture.StartBalancer(0, Duration());
  const TimePoint start = SteadyTime();
  CHECK(fixture.RunUntil(Seconds(2),
                         [&] { return balancer->Routes().Revision() == 5; }));
  MESSAGE("targets after ms: " << ToMilliseconds(SteadyTime() - start));
}

TEST_CASE("an agent's older targets keep a balancer from newer ones") {
  TargetsFixture fixture;
  REQUIRE(fixture.GiveTargetsToAgent());
  const std::unique_ptr<FleetNode> balancer =
      fixture.StartBalancer(9, Milliseconds(700));
  CHECK(fixture.RunUntil(Milliseconds(690),
                         [&] { return balancer->Routes().Revision() == 5; }));
  CHECK(fixture.RunUntil(Milliseconds(800),
                         [&] { return balancer->Routes().Revision() == 9; }));
  CHECK(fixture.RunUntil(Seconds(3), [&] {
    return fixture.agent->Self().targets.version.revision == 9;
  }));
}

TEST_CASE("an agent with older targets makes a balancer go back") {
  TargetsFixture fixture;
  const std::unique_ptr<FleetNode> balancer =
      fixture.StartBalancer(9, Duration());
  REQUIRE(fixture.RunUntil(Seconds(1),
                           [&] { return balancer->Routes().Revision() == 9; }));
  fixture.fake->SendStatus(kBalancer, MemberRole::kAgent);
  CHECK_FALSE(fixture.RunUntil(
      Milliseconds(1500), [&] { return balancer->Routes().Revision() != 9; }));
  CHECK(fixture.fake->Requests() == 0);
}

TEST_CASE("a balancer whose request for targets was refused asks no more") {
  TargetsFixture fixture;
  const std::unique_ptr<FleetNode> balancer =
      fixture.StartBalancer(0, Duration());
  fixture.fake->refusals = 2;
  fixture.fake->SendStatus(kBalancer, MemberRole::kAgent);
  CHECK(fixture.RunUntil(Milliseconds(1100),
                         [&] { return balancer->Routes().Revision() == 5; }));
  CHECK(fixture.fake->Requests() == 3);
}

TEST_CASE("one process serves targets to all that start, without limit") {
  constexpr size_t kBytes = 400'000;
  constexpr size_t kBytesPerSecond = 2'000'000;
  TargetsFixture fixture;
  fixture.fake->padding.assign(kBytes, ' ');
  REQUIRE(fixture.GiveTargetsToAgent());
  HttpClient client(&fixture.loop, {kAgent, fixture.port});
  const TimePoint start = SteadyTime();
  size_t served = 0;
  size_t refused = 0;
  CHECK_FALSE(fixture.RunUntil(Milliseconds(1500), [&] {
    if (!client.IsBusy()) {
      client.Send("GET", "/targets", "", Seconds(1), [&](const auto& response) {
        served += response.status == 200 ? 1 : 0;
        refused += response.status == 503 ? 1 : 0;
      });
    }
    return false;
  }));
  MESSAGE("served: " << served << ", refused: " << refused);
  CHECK(served >= 5);
  const auto elapsed_ms =
      static_cast<size_t>(ToMilliseconds(SteadyTime() - start));
  CHECK(served * kBytes <=
        kBytesPerSecond * (elapsed_ms + 1000) / 1000 + kBytes);
  CHECK(refused > 0);
}

}  // namespace
}  // namespace medlargauge

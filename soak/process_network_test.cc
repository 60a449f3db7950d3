// @file process_network_test.cc Faults of the ways between processes.
#include "soak/process_network.h"

#include <doctest/doctest.h>

#include "platform/standin/test_tools.h"
#include "src/core/error.h"
#include "src/runtime/http.h"

namespace medlargauge::soak {
namespace {

using platform::standin::TestIp;

const uint32_t store_ip = TestIp(1);
const uint32_t balancer_ips[] = {TestIp(2), TestIp(3)};
const uint32_t agent_ip = TestIp(4);

/// Sockets of two balancers and an agent on a network.
struct Fixture {
  EventLoop loop;
  ProcessNetwork network{&loop, true, 1};
  Error reason;
  std::map<uint32_t, std::unique_ptr<UdpSocket>> sockets;

  Fixture() {
    network.Add(balancer_ips[0], false);
    network.Add(balancer_ips[1], false);
    network.Add(agent_ip, true);
    REQUIRE(network.Start({store_ip, kStorePort}, &reason));
    for (const uint32_t ip : {balancer_ips[0], balancer_ips[1], agent_ip}) {
      sockets[ip] = std::make_unique<UdpSocket>();
      REQUIRE(sockets[ip]->Bind({ip, network.ControlPort(ip)}, &reason));
    }
  }
  /// Sends as a daemon does, to the own port at the receiver's address.
  /// @return the address from which it arrived within `wait`; 0: it did not
  uint32_t Deliver(uint32_t from, uint32_t to, Duration wait) {
    const uint8_t byte = 7;
    sockets[from]->Send({to, network.ControlPort(from)}, ByteView(&byte, 1));
    uint32_t source = 0;
    platform::standin::RunUntil(&loop, wait, [&] {
      sockets[to]->Receive(
          [&source](SocketAddress4 sender, ByteSpan) { source = sender.ip; });
      return source != 0;
    });
    return source;
  }
};

constexpr Duration kMaxWait = Seconds(10);
/// How long to wait for what must not arrive.
constexpr Duration kShortWait = Milliseconds(30);

TEST_CASE("datagrams arrive from the address of the process that sent them") {
  Fixture fixture;
  CHECK(fixture.Deliver(balancer_ips[0], agent_ip, kMaxWait) ==
        balancer_ips[0]);
  CHECK(fixture.Deliver(agent_ip, balancer_ips[0], kMaxWait) == agent_ip);
  CHECK(fixture.Deliver(balancer_ips[0], balancer_ips[1], kMaxWait) ==
        balancer_ips[0]);
}

TEST_CASE("a cut of one way leaves the way back and other processes alone") {
  Fixture fixture;
  LinkFault cut;
  cut.cut = true;
  fixture.network.SetLinkFault(balancer_ips[0], agent_ip, cut);
  CHECK(fixture.Deliver(balancer_ips[0], agent_ip, kShortWait) == 0);
  CHECK(fixture.Deliver(agent_ip, balancer_ips[0], kMaxWait) == agent_ip);
  CHECK(fixture.Deliver(balancer_ips[1], agent_ip, kMaxWait) ==
        balancer_ips[1]);
  fixture.network.SetLinkFault(balancer_ips[0], agent_ip, LinkFault());
  CHECK(fixture.Deliver(balancer_ips[0], agent_ip, kMaxWait) ==
        balancer_ips[0]);
}

TEST_CASE("datagrams arrive late on a way with delay, never on one with loss") {
  Fixture fixture;
  LinkFault fault;
  fault.delay = Milliseconds(200);
  fixture.network.SetLinkFault(agent_ip, balancer_ips[1], fault);
  const TimePoint begin = SteadyTime();
  for (int i = 0; i < 5; ++i) {
    CHECK(fixture.Deliver(agent_ip, balancer_ips[1], kMaxWait) == agent_ip);
  }
  CHECK(SteadyTime() - begin >= fault.delay);
  fault = LinkFault();
  fault.loss_probability = 1;
  fixture.network.SetLinkFault(agent_ip, balancer_ips[0], fault);
  CHECK(fixture.Deliver(agent_ip, balancer_ips[0], kShortWait) == 0);
}

TEST_CASE("connections are silent or reset as long as their way has a fault") {
  Fixture fixture;
  HttpServer store(&fixture.loop, [](const HttpRequest&) {
    return HttpResponse{200, "stored"};
  });
  REQUIRE(store.Listen({store_ip, kStorePort}, &fixture.reason));
  HttpServer balancer(&fixture.loop, [](const HttpRequest&) {
    return HttpResponse{200, "targets"};
  });
  REQUIRE(balancer.Listen(
      {balancer_ips[1], fixture.network.ControlPort(balancer_ips[1])},
      &fixture.reason));
  const auto get = [&fixture](SocketAddress4 address,
                              Duration wait = kMaxWait) {
    HttpClient client(&fixture.loop, address);
    std::string body = "none";
    client.Send("GET", "/", "", wait, [&](const HttpResponse& response) {
      body = response.body;
      fixture.loop.Stop();
    });
    if (client.IsBusy()) {
      fixture.loop.Run();
    }
    return body;
  };
  const SocketAddress4 to_store{store_ip, fixture.network.StorePort(agent_ip)};
  const SocketAddress4 to_balancer{
      balancer_ips[1], fixture.network.ControlPort(balancer_ips[0])};
  CHECK(get(to_store) == "stored");
  CHECK(get(to_balancer) == "targets");
  for (const TcpRelayMode mode :
       {TcpRelayMode::kSilent, TcpRelayMode::kReset}) {
    fixture.network.SetStoreLinkMode(agent_ip, mode);
    CHECK(get(to_store, kShortWait).empty());
    fixture.network.SetStoreLinkMode(agent_ip, TcpRelayMode::kForward);
    CHECK(get(to_store) == "stored");
  }
  LinkFault cut;
  cut.cut = true;
  fixture.network.SetLinkFault(balancer_ips[1], balancer_ips[0], cut);
  CHECK(get(to_balancer, kShortWait).empty());
  fixture.network.SetLinkFault(balancer_ips[1], balancer_ips[0], LinkFault());
  CHECK(get(to_balancer) == "targets");
}

}  // namespace
}  // namespace medlargauge::soak

// @file process_network_test.cc Faults of the ways between processes.
#include "soak/process_network.h"

#include <doctest/doctest.h>

#include "src/core/error.h"
#include "src/runtime/http.h"

namespace medlargauge::soak {
namespace {

constexpr uint32_t kStore = 0x7F150401;
constexpr uint32_t kBalancers[] = {0x7F150402, 0x7F150403};
constexpr uint32_t kAgent = 0x7F150404;

/// Sockets of two balancers and an agent on a network.
struct Fixture {
  EventLoop loop;
  ProcessNetwork network{&loop, true, 1};
  Error reason;
  std::map<uint32_t, std::unique_ptr<UdpSocket>> sockets;

  Fixture() {
    network.Add(kBalancers[0], false);
    network.Add(kBalancers[1], false);
    network.Add(kAgent, true);
    REQUIRE(network.Start({kStore, kStorePort}, &reason));
    for (const uint32_t ip : {kBalancers[0], kBalancers[1], kAgent}) {
      sockets[ip] = std::make_unique<UdpSocket>();
      REQUIRE(sockets[ip]->Bind({ip, network.ControlPort(ip)}, &reason));
    }
  }
  void RunFor(Duration duration) {
    loop.After(duration, [this] { loop.Stop(); });
    loop.Run();
  }
  /// Sends as a daemon does, to the own port at the receiver's address.
  /// @return the address from which it arrived within `wait`; 0: it did not
  uint32_t Deliver(uint32_t from, uint32_t to, Duration wait) {
    const uint8_t byte = 7;
    sockets[from]->Send({to, network.ControlPort(from)}, ByteView(&byte, 1));
    RunFor(wait);
    uint32_t source = 0;
    sockets[to]->Receive(
        [&source](SocketAddress4 sender, ByteSpan) { source = sender.ip; });
    return source;
  }
};

constexpr Duration kWait = Milliseconds(30);

TEST_CASE("datagrams arrive from the address of the process that sent them") {
  Fixture fixture;
  CHECK(fixture.Deliver(kBalancers[0], kAgent, kWait) == kBalancers[0]);
  CHECK(fixture.Deliver(kAgent, kBalancers[0], kWait) == kAgent);
  CHECK(fixture.Deliver(kBalancers[0], kBalancers[1], kWait) == kBalancers[0]);
}

TEST_CASE("a cut of one way leaves the way back and other processes alone") {
  Fixture fixture;
  LinkFault cut;
  cut.cut = true;
  fixture.network.SetLinkFault(kBalancers[0], kAgent, cut);
  CHECK(fixture.Deliver(kBalancers[0], kAgent, kWait) == 0);
  CHECK(fixture.Deliver(kAgent, kBalancers[0], kWait) == kAgent);
  CHECK(fixture.Deliver(kBalancers[1], kAgent, kWait) == kBalancers[1]);
  fixture.network.SetLinkFault(kBalancers[0], kAgent, LinkFault());
  CHECK(fixture.Deliver(kBalancers[0], kAgent, kWait) == kBalancers[0]);
}

TEST_CASE("datagrams arrive late on a way with delay, never on one with loss") {
  Fixture fixture;
  LinkFault fault;
  fault.delay = Milliseconds(200);
  fixture.network.SetLinkFault(kAgent, kBalancers[1], fault);
  CHECK(fixture.Deliver(kAgent, kBalancers[1], Milliseconds(1)) == 0);
  fixture.RunFor(2 * fault.delay);
  bool has_arrived = false;
  fixture.sockets[kBalancers[1]]->Receive(
      [&has_arrived](SocketAddress4, ByteSpan) { has_arrived = true; });
  CHECK(has_arrived);
  fault = LinkFault();
  fault.loss_probability = 1;
  fixture.network.SetLinkFault(kAgent, kBalancers[0], fault);
  CHECK(fixture.Deliver(kAgent, kBalancers[0], kWait) == 0);
}

TEST_CASE("connections are silent or reset as long as their way has a fault") {
  Fixture fixture;
  HttpServer store(&fixture.loop, [](const HttpRequest&) {
    return HttpResponse{200, "stored"};
  });
  REQUIRE(store.Listen({kStore, kStorePort}, &fixture.reason));
  HttpServer balancer(&fixture.loop, [](const HttpRequest&) {
    return HttpResponse{200, "targets"};
  });
  REQUIRE(balancer.Listen(
      {kBalancers[1], fixture.network.ControlPort(kBalancers[1])},
      &fixture.reason));
  const auto get = [&fixture](SocketAddress4 address) {
    HttpClient client(&fixture.loop, address);
    std::string body = "none";
    client.Send("GET", "/", "", Milliseconds(100),
                [&](const HttpResponse& response) {
                  body = response.body;
                  fixture.loop.Stop();
                });
    if (client.IsBusy()) {
      fixture.loop.Run();
    }
    return body;
  };
  const SocketAddress4 to_store{kStore, fixture.network.StorePort(kAgent)};
  const SocketAddress4 to_balancer{kBalancers[1],
                                   fixture.network.ControlPort(kBalancers[0])};
  CHECK(get(to_store) == "stored");
  CHECK(get(to_balancer) == "targets");
  for (const TcpRelayMode mode :
       {TcpRelayMode::kSilent, TcpRelayMode::kReset}) {
    fixture.network.SetStoreLinkMode(kAgent, mode);
    CHECK(get(to_store).empty());
    fixture.network.SetStoreLinkMode(kAgent, TcpRelayMode::kForward);
    CHECK(get(to_store) == "stored");
  }
  LinkFault cut;
  cut.cut = true;
  fixture.network.SetLinkFault(kBalancers[1], kBalancers[0], cut);
  CHECK(get(to_balancer).empty());
  fixture.network.SetLinkFault(kBalancers[1], kBalancers[0], LinkFault());
  CHECK(get(to_balancer) == "targets");
}

}  // namespace
}  // namespace medlargauge::soak

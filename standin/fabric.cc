// @file fabric.cc Hands any packet to any healthy balancer.
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <cmath>
#include <iostream>
#include <memory>
#include <pcg_random.hpp>
#include <thread>

#include "src/daemon/address.h"
#include "standin/datagram_socket.h"
#include "standin/standin.h"
#include "standin/stop_flag.h"

namespace medlargauge {
namespace {

constexpr std::chrono::milliseconds kHealthInterval{200};
constexpr int kWaitMs = 50;

/// One balancer behind the fabric.
struct FabricTarget {
  sockaddr_in data{};                ///< Where packets go.
  HostPort admin;                    ///< Where health is asked.
  std::atomic<bool> healthy{false};  ///< Last answer.
};

bool IsHealthy(const HostPort& admin) {
  httplib::Client client(admin.host, admin.port);
  client.set_connection_timeout(kHealthInterval);
  client.set_read_timeout(kHealthInterval);
  const httplib::Result result = client.Get("/healthz");
  return result && result->status == 200;
}

}  // namespace

int RunFabric(const FabricOptions& options) {
  std::vector<std::unique_ptr<FabricTarget>> targets;
  for (const std::string& entry : options.balancers) {
    const size_t slash = entry.find('/');
    const std::optional<HostPort> data = ParseHostPort(entry.substr(0, slash));
    const std::optional<HostPort> admin =
        slash == std::string::npos ? std::nullopt
                                   : ParseHostPort(entry.substr(slash + 1));
    if (!data.has_value() || !admin.has_value()) {
      std::cerr << "fabric: bad balancer " << entry << "\n";
      return 2;
    }
    targets.push_back(std::make_unique<FabricTarget>());
    targets.back()->data = ToSocketAddress(*data);
    targets.back()->admin = *admin;
  }
  DatagramSocket socket;
  if (!socket.Bind(options.listen)) {
    std::cerr << "fabric: cannot bind " << options.listen << "\n";
    return 1;
  }
  std::thread health([&targets] {
    while (!IsStopRequested()) {
      for (const auto& target : targets) {
        target->healthy = IsHealthy(target->admin);
      }
      std::this_thread::sleep_for(kHealthInterval);
    }
  });
  pcg32 random(options.seed);
  const auto chance = [&random](double probability) {
    return std::ldexp(random(), -32) < probability;
  };
  while (!IsStopRequested()) {
    socket.Receive(kWaitMs, [&](ByteView datagram) {
      std::vector<FabricTarget*> healthy;
      for (const auto& target : targets) {
        if (target->healthy) {
          healthy.push_back(target.get());
        }
      }
      if (healthy.empty() || chance(options.loss)) {
        return;
      }
      const int copies = chance(options.duplicate) ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        socket.Send(healthy[random(healthy.size())]->data, datagram);
      }
    });
  }
  health.join();
  return 0;
}

}  // namespace medlargauge

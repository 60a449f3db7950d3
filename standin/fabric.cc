// @file fabric.cc Fabric that sends each packet to a random healthy balancer.
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

constexpr std::chrono::milliseconds kHealthCheckInterval{200};
constexpr int kReceiveTimeoutMs = 50;

/// A balancer that the fabric sends packets to.
struct FabricBalancer {
  sockaddr_in data_address{};        ///< Destination of packets.
  HostPort admin_address;            ///< Address of GET /healthz.
  std::atomic<bool> healthy{false};  ///< Result of the last check.
};

bool IsHealthy(const HostPort& admin_address) {
  httplib::Client client(admin_address.host, admin_address.port);
  client.set_connection_timeout(kHealthCheckInterval);
  client.set_read_timeout(kHealthCheckInterval);
  const httplib::Result result = client.Get("/healthz");
  return result && result->status == 200;
}

}  // namespace

int RunFabric(const FabricOptions& options) {
  std::vector<std::unique_ptr<FabricBalancer>> balancers;
  for (const std::string& entry : options.balancers) {
    const size_t separator = entry.find('/');
    const std::optional<HostPort> data_address =
        ParseHostPort(entry.substr(0, separator));
    const std::optional<HostPort> admin_address =
        separator == std::string::npos
            ? std::nullopt
            : ParseHostPort(entry.substr(separator + 1));
    if (!data_address.has_value() || !admin_address.has_value()) {
      std::cerr
          << "fabric: expected DATA_IP:PORT/ADMIN_IP:PORT in --balancers, got "
          << entry << "\n";
      return 2;
    }
    balancers.push_back(std::make_unique<FabricBalancer>());
    balancers.back()->data_address = ToSocketAddress(*data_address);
    balancers.back()->admin_address = *admin_address;
  }
  DatagramSocket socket;
  if (!socket.Bind(options.listen)) {
    std::cerr << "fabric: cannot bind --listen address " << options.listen
              << "\n";
    return 1;
  }
  std::thread health_checker([&balancers] {
    while (!IsStopRequested()) {
      for (const auto& balancer : balancers) {
        balancer->healthy = IsHealthy(balancer->admin_address);
      }
      std::this_thread::sleep_for(kHealthCheckInterval);
    }
  });
  pcg32 random(options.seed);
  const auto occurs = [&random](double probability) {
    return std::ldexp(random(), -32) < probability;
  };
  while (!IsStopRequested()) {
    socket.ReceiveBatch(kReceiveTimeoutMs, [&](ByteView datagram) {
      std::vector<FabricBalancer*> healthy;
      for (const auto& balancer : balancers) {
        if (balancer->healthy) {
          healthy.push_back(balancer.get());
        }
      }
      if (healthy.empty() || occurs(options.loss)) {
        return;
      }
      const int copies = occurs(options.duplicate) ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        socket.SendDatagram(healthy[random(healthy.size())]->data_address,
                            datagram);
      }
    });
  }
  health_checker.join();
  return 0;
}

}  // namespace medlargauge

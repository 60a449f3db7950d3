// @file router_standin.h Stand-in for the routers between callers and
// balancers.
#ifndef MEDLARGAUGE_SOAK_ROUTER_STANDIN_H_
#define MEDLARGAUGE_SOAK_ROUTER_STANDIN_H_

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "soak/soak_type.h"
#include "src/runtime/http.h"

namespace medlargauge::soak {

/// Selects a balancer for each packet of a caller by rendezvous hashing over
/// the balancers that pass readiness checks, and draws packet loss and
/// duplication on the callers' network. Not thread-safe.
class RouterStandin {
 public:
  /// @param balancer_ips addresses of all balancers
  /// @param seed seed of packet loss and duplication
  RouterStandin(EventLoop* loop,
                const std::vector<uint32_t>& balancer_ips,
                uint64_t seed);

  /// Returns the address of the balancer for a packet of this flow.
  SocketAddress4 SelectBalancer(const FlowKey& flow) const;

  /// Sets the probabilities, from 0 to 1, that a packet is lost or duplicated.
  void SetPacketFaults(double loss_probability, double duplication_probability);
  /// Draws how many copies of the next packet arrive: 0 if it is lost, 2 if it
  /// is duplicated, else 1.
  int DrawDeliveryCount();

  /// Sets the hook that is called after each readiness check that a balancer
  /// did not pass.
  void SetCheckFailedHook(std::function<void(uint32_t ip)> hook) {
    m_check_failed_hook = std::move(hook);
  }
  /// Returns whether a balancer is in rotation.
  bool IsInRotation(uint32_t ip) const;

 private:
  struct Balancer {
    uint32_t ip = 0;           ///< Address of the balancer.
    bool in_rotation = false;  ///< Gets packets.
    int failed_checks = 0;     ///< Consecutive readiness checks not passed.
    std::unique_ptr<HttpClient> check_client;  ///< Sends readiness checks.
  };

  void CheckReadiness();

  std::vector<Balancer> m_balancers;  ///< In the order of the constructor.
  std::mt19937_64 m_random;           ///< Draws packet loss and duplication.
  std::function<void(uint32_t ip)>
      m_check_failed_hook;               ///< See SetCheckFailedHook.
  double m_loss_probability = 0;         ///< See SetPacketFaults.
  double m_duplication_probability = 0;  ///< See SetPacketFaults.
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_ROUTER_STANDIN_H_

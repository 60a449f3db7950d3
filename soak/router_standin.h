// @file router_standin.h Routers before the balancers, and the callers'
// network.
#ifndef MEDLARGAUGE_SOAK_ROUTER_STANDIN_H_
#define MEDLARGAUGE_SOAK_ROUTER_STANDIN_H_

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "soak/soak_type.h"
#include "src/runtime/http.h"

namespace medlargauge::soak {

/// Chooses a balancer for each packet of a caller, by readiness. Not
/// thread-safe.
class Router {
 public:
  Router(EventLoop* loop,
         const std::vector<uint32_t>& balancers,
         uint64_t seed);

  /// Returns the balancer for a packet of this flow.
  SocketAddress4 Choose(const FlowKey& flow) const;

  /// From now on packets are lost, and sent twice, with these probabilities.
  void SetTrouble(double lost, double doubled);
  /// Returns how often the next packet arrives: mostly once.
  int Arrivals();

  /// Calls `hook` whenever a balancer does not say that it is ready.
  void OnMiss(std::function<void(uint32_t ip)> hook) {
    m_on_miss = std::move(hook);
  }
  /// Returns whether a balancer is in rotation.
  bool IsUsed(uint32_t ip) const;

 private:
  struct Target {
    uint32_t ip = 0;
    bool used = false;
    int misses = 0;
    std::unique_ptr<HttpClient> check;
  };

  void Check();

  std::vector<Target> m_targets;  ///< In the order of the balancers.
  std::mt19937_64 m_random;       ///< Loss and doubling.
  std::function<void(uint32_t ip)> m_on_miss;  ///< See OnMiss.
  double m_lost = 0;
  double m_doubled = 0;
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_ROUTER_STANDIN_H_

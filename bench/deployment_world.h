// @file deployment_world.h An example deployment as a world of fakes.
#ifndef MEDLARGAUGE_BENCH_DEPLOYMENT_WORLD_H_
#define MEDLARGAUGE_BENCH_DEPLOYMENT_WORLD_H_

#include <functional>
#include <string>
#include <vector>

#include "bench/bench.h"
#include "scenario/world.h"

namespace medlargauge {

/// Traffic of one service, as a stream of new flows.
struct BenchTraffic {
  double flows_per_second = 100;       ///< New flows.
  std::function<Duration()> lifetime;  ///< Of the next flow.
  Duration pause = Seconds(5);         ///< Between requests.
  double udp_share = 0;                ///< Part of flows over UDP.
};

/// A world with the balancers, backend servers and classes of a deployment.
/// Not thread-safe.
class DeploymentWorld {
 public:
  /// Sets up the deployment and waits until every backend server is ready.
  DeploymentWorld(const BenchDeployment& deployment, WorldOptions options);

  /// Starts new flows of a service until StopTraffic.
  void StartTraffic(const std::string& service, BenchTraffic traffic);
  /// Changes the rate of a service's new flows.
  void SetRate(const std::string& service, double flows_per_second);
  /// Starts no new flows from now on.
  void StopTraffic() { m_traffic_runs = false; }

  /// Returns names of the backend servers of a service.
  std::vector<std::string> ServersOf(const std::string& service) const;

  /// Returns the world.
  World& Fakes() { return m_world; }

 private:
  /// One stream of new flows.
  struct Stream {
    std::string service;   ///< Whose.
    BenchTraffic traffic;  ///< How.
  };

  void ScheduleNext(size_t stream);

  BenchDeployment m_deployment;   ///< As given.
  World m_world;                  ///< The fakes.
  std::vector<Stream> m_streams;  ///< One for each service.
  bool m_traffic_runs = true;     ///< New flows start.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_BENCH_DEPLOYMENT_WORLD_H_

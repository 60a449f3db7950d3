// @file deployment_world.h Simulated world of an example deployment.
#ifndef MEDLARGAUGE_BENCH_DEPLOYMENT_WORLD_H_
#define MEDLARGAUGE_BENCH_DEPLOYMENT_WORLD_H_

#include <functional>
#include <string>
#include <vector>

#include "bench/bench.h"
#include "scenario/world.h"

namespace medlargauge {

/// Traffic of one service.
struct BenchTraffic {
  double flows_per_second = 100;       ///< Mean rate of new flows.
  std::function<Duration()> lifetime;  ///< Draws a lifetime for the next flow.
  Duration pause = Seconds(5);         ///< Time between requests of a flow.
  double udp_share = 0;                ///< Share of flows over UDP, 0 to 1.
};

/// A simulated world with the balancers, backend servers and classes of a
/// deployment, and with traffic. Not thread-safe.
class DeploymentWorld {
 public:
  /// Starts all members and runs 5 s of simulated time, in which every
  /// backend server becomes ready.
  /// @param options the delays in it are replaced by those of `deployment`
  DeploymentWorld(const BenchDeployment& deployment, WorldOptions options);

  /// Starts flows of a service from now on, with exponentially distributed
  /// gaps, until StopTraffic. Precondition: `traffic.lifetime` is set.
  void StartTraffic(const std::string& service, BenchTraffic traffic);
  /// Changes the mean rate of new flows of a service. A gap
  /// that has already started keeps its length.
  void SetFlowRate(const std::string& service, double flows_per_second);
  /// Stops starting new flows. Open flows continue.
  void StopTraffic() { m_traffic_enabled = false; }

  /// Returns the names of the backend servers of a service, in the order they
  /// were added.
  std::vector<std::string> ServerNames(const std::string& service) const;

  /// Returns the simulated world, to run it and inject faults.
  World& SimulatedWorld() { return m_world; }

 private:
  /// Traffic of a service, as a stream of new flows.
  struct FlowStream {
    std::string service;   ///< Name of the service.
    BenchTraffic traffic;  ///< Parameters of the flows.
  };

  void ScheduleNextFlow(size_t stream_index);

  BenchDeployment m_deployment;       ///< Simulated deployment.
  World m_world;                      ///< Simulated members and network.
  std::vector<FlowStream> m_streams;  ///< One for each StartTraffic.
  bool m_traffic_enabled = true;      ///< False after StopTraffic.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_BENCH_DEPLOYMENT_WORLD_H_

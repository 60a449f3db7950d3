// @file standin.h Stand-in processes for the systems around the daemon, used by
// demonstrations and benchmarks.
#ifndef MEDLARGAUGE_STANDIN_STANDIN_H_
#define MEDLARGAUGE_STANDIN_STANDIN_H_

#include <cstdint>
#include <string>
#include <vector>

namespace medlargauge {

/// Options of the fabric, which sends each packet to a random healthy balancer.
struct FabricOptions {
  std::string listen;  ///< IP:PORT that receives packets of callers.
  /// Balancers as DATA_IP:PORT/ADMIN_IP:PORT.
  std::vector<std::string> balancers;
  double loss = 0;       ///< Probability that a packet is dropped.
  double duplicate = 0;  ///< Probability that a packet is sent twice.
  uint64_t seed = 1;     ///< Seed of the random number generator.
};

/// Options of a backend server.
struct BackendServerOptions {
  std::string listen;         ///< IP:PORT that receives GUE packets.
  std::string load_listen;    ///< IP:PORT of HTTP: /load, /stats and /set.
  std::string caller;         ///< IP:PORT that answers are sent to.
  std::string service;        ///< Name of the service that it runs.
  std::string executed_file;  ///< Receives executed request ids at exit.
};

/// Options of the callers, which all run in one process.
struct CallerOptions {
  std::string listen;                ///< IP:PORT that receives answers.
  std::string fabric;                ///< IP:PORT of the fabric.
  std::vector<std::string> classes;  ///< Classes as ADDRESS/SERVICE.
  uint32_t flows = 1000;             ///< Maximum number of open flows.
  uint32_t rate = 500;               ///< Maximum number of new flows a second.
  uint32_t seconds = 30;             ///< Time during which new flows start.
  uint32_t lifetime_ms = 10000;      ///< Mean lifetime of a flow.
  uint32_t pause_ms = 1000;      ///< From an answer to the flow's next request.
  uint32_t answer_bytes = 3000;  ///< Payload size of each answer.
  double udp_share = 0.1;        ///< Share of flows that use UDP, 0 to 1.
  uint64_t seed = 1;             ///< Seed of the random number generator.
};

/// Options of the key-value store.
struct StoreOptions {
  std::string listen;  ///< IP:PORT of the HTTP interface.
};

/// Runs the fabric until SIGTERM or SIGINT. Precondition: InstallStopFlag.
/// @return exit status of the process
int RunFabric(const FabricOptions& options);
/// Runs a backend server until SIGTERM or SIGINT, then prints its statistics.
/// Precondition: InstallStopFlag. @return exit status of the process
int RunBackendServer(const BackendServerOptions& options);
/// Runs the callers for the configured time and until all flows have ended, at
/// most 60 s longer, then prints the counts. SIGTERM and SIGINT only stop new
/// flows. Precondition: InstallStopFlag. @return exit status of the process
int RunCallers(const CallerOptions& options);
/// Runs the key-value store until SIGTERM or SIGINT.
/// Precondition: InstallStopFlag. @return exit status of the process
int RunStore(const StoreOptions& options);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STANDIN_STANDIN_H_

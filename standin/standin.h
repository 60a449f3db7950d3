// @file standin.h Small processes that take the place of outside systems.
#ifndef MEDLARGAUGE_STANDIN_STANDIN_H_
#define MEDLARGAUGE_STANDIN_STANDIN_H_

#include <cstdint>
#include <string>
#include <vector>

namespace medlargauge {

/// Options of the fabric, which sprays packets over healthy balancers.
struct FabricOptions {
  std::string listen;                  ///< IP:PORT for packets of callers.
  std::vector<std::string> balancers;  ///< DATA_IP:PORT/ADMIN_IP:PORT.
  double loss = 0;                     ///< Chance to lose a packet.
  double duplicate = 0;                ///< Chance to double a packet.
  uint64_t seed = 1;                   ///< Of all randomness.
};

/// Options of a backend server.
struct BackendOptions {
  std::string listen;         ///< IP:PORT for encapsulated packets.
  std::string load_listen;    ///< IP:PORT for GET /load and /stats.
  std::string caller;         ///< IP:PORT where answers go.
  std::string service;        ///< Service it runs.
  std::string executed_file;  ///< Gets the ids of run requests at the end.
};

/// Options of the callers, all in one process.
struct CallerOptions {
  std::string listen;                ///< IP:PORT for answers.
  std::string fabric;                ///< IP:PORT of the fabric.
  std::vector<std::string> classes;  ///< ADDRESS/SERVICE.
  uint32_t flows = 1000;             ///< Flows open at the same time.
  uint32_t rate = 500;               ///< New flows a second at most.
  uint32_t seconds = 30;             ///< Traffic lasts so long.
  uint32_t lifetime_ms = 10000;      ///< Mean life of a flow.
  uint32_t pause_ms = 1000;          ///< Between requests of a flow.
  uint32_t answer_bytes = 3000;      ///< Size of each answer.
  double udp_share = 0.1;            ///< Part of flows that use UDP.
  uint64_t seed = 1;                 ///< Of all randomness.
};

/// Options of the key-value service.
struct StoreOptions {
  std::string listen;  ///< IP:PORT.
};

/// Each runs until SIGTERM, or until its work is done. @return exit status
int RunFabric(const FabricOptions& options);
int RunBackend(const BackendOptions& options);
int RunCaller(const CallerOptions& options);
int RunStore(const StoreOptions& options);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STANDIN_STANDIN_H_

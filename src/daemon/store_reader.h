// @file store_reader.h Reads targets from the key-value service.
#ifndef MEDLARGAUGE_DAEMON_STORE_READER_H_
#define MEDLARGAUGE_DAEMON_STORE_READER_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "src/core/time_type.h"
#include "src/daemon/control_plane.h"
#include "src/target/target_store.h"

namespace medlargauge {

/// Makes the HTTP side of a store at "IP:PORT". Thread-safe; each call opens
/// its own connection, so an outage leaves nothing behind.
/// @param timeout for connecting and for each answer
StoreTransport MakeHttpStoreTransport(const std::string& address,
                                      Duration timeout);

/// Returns how long to wait after `failures` failed reads in a row: doubled
/// each time up to a limit, and spread by `salt` so that readers do not return
/// together. Thread-safe.
Duration ReadBackoff(Duration interval, int failures, uint64_t salt);

/// Polls the store while this process is one of the fleet's readers.
class StoreReader {
 public:
  StoreReader(ControlPlane* node,
              const std::string& address,
              Duration interval);

  /// Reads until `stopping`. For one thread of its own.
  void Run(const std::atomic<bool>& stopping);

  /// Returns the number of calls made. Thread-safe.
  uint64_t Calls() const { return m_calls; }

 private:
  bool ReadOnce();

  ControlPlane* m_node;              ///< Takes in what is read.
  TargetStore m_store;               ///< The store.
  Duration m_interval;               ///< Between reads.
  uint64_t m_next_revision = 0;      ///< Only newer ones are asked for.
  std::atomic<uint64_t> m_calls{0};  ///< For metrics.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_STORE_READER_H_

// @file store_reader.h Periodic reads of targets from the key-value service.
#ifndef MEDLARGAUGE_DAEMON_STORE_READER_H_
#define MEDLARGAUGE_DAEMON_STORE_READER_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "src/core/time_type.h"
#include "src/daemon/control_plane.h"
#include "src/target/target_store.h"

namespace medlargauge {

/// Returns a transport that sends requests to the store at `address`
/// ("IP:PORT"). This function and the transport are thread-safe. Each request
/// opens its own connection, so that no broken connection remains after an
/// outage.
/// @param timeout for connecting, for writing and for reading the answer
StoreTransport MakeHttpStoreTransport(const std::string& address,
                                      Duration timeout);

/// Returns the time to wait before the next read: `interval` without failures,
/// otherwise an exponential back-off up to a limit. Jitter derived from `salt`
/// keeps readers from retrying at the same time. Thread-safe.
/// @param failures number of consecutive failed reads
Duration ReadBackoff(Duration interval, int failures, uint64_t salt);

/// Reads the store at a fixed interval while this process is one of the fleet's
/// chosen readers.
class StoreReader {
 public:
  StoreReader(ControlPlane* control_plane,
              const std::string& address,
              Duration interval);

  /// Reads the store until `is_stopping` is true. Blocks; runs on its own
  /// thread.
  void Run(const std::atomic<bool>& is_stopping);

  /// Returns the number of calls to the store. Thread-safe.
  uint64_t Calls() const { return m_calls; }

 private:
  /// Reads the targets that changed since the last successful read and merges
  /// them. @return whether the store answered
  bool ReadOnce();

  ControlPlane* m_control_plane;     ///< Merges the targets read.
  TargetStore m_store;               ///< Client of the store.
  Duration m_interval;               ///< Time between reads.
  uint64_t m_next_revision = 0;      ///< Lowest revision to read.
  std::atomic<uint64_t> m_calls{0};  ///< Calls to the store.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_STORE_READER_H_

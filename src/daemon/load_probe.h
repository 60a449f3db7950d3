// @file load_probe.h What the backend server says about itself.
#ifndef MEDLARGAUGE_DAEMON_LOAD_PROBE_H_
#define MEDLARGAUGE_DAEMON_LOAD_PROBE_H_

#include <optional>
#include <string>

namespace medlargauge {

/// Answer of a backend server's load endpoint. Its count of connections may
/// lag or mislead, so it only tells whether the server has any.
struct ServerReport {
  bool has_connections = false;  ///< The server has open connections.
  bool shedding = false;         ///< It sheds load.
  bool draining = false;         ///< It wants no new work.
};

/// Asks GET /load. Blocks for at most half a second. Thread-safe.
std::optional<ServerReport> ProbeServer(const std::string& address);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_LOAD_PROBE_H_

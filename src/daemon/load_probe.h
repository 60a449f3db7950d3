// @file load_probe.h Probe of a backend server's HTTP load endpoint.
#ifndef MEDLARGAUGE_DAEMON_LOAD_PROBE_H_
#define MEDLARGAUGE_DAEMON_LOAD_PROBE_H_

#include <optional>
#include <string>

namespace medlargauge {

/// Answer of a backend server's load endpoint. The server's count of
/// connections may be outdated or wrong, so it is reduced to whether there are
/// any.
struct LoadReport {
  bool has_connections = false;  ///< The server has open connections.
  bool shedding = false;         ///< The server sheds load.
  bool draining = false;         ///< The server accepts no new flows.
};

/// Requests GET /load from the backend server at `address` ("IP:PORT"). Returns
/// nullopt if the address is malformed or the server does not answer with
/// status 200 and a JSON object. Connecting and reading time out after half a
/// second each. Thread-safe.
std::optional<LoadReport> ProbeServerLoad(const std::string& address);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_LOAD_PROBE_H_

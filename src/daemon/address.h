// @file address.h Socket addresses as IP:PORT.
#ifndef MEDLARGAUGE_DAEMON_ADDRESS_H_
#define MEDLARGAUGE_DAEMON_ADDRESS_H_

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

namespace medlargauge {

/// A host and a port, taken apart.
struct HostPort {
  std::string host;   ///< IPv4 address.
  uint16_t port = 0;  ///< Host byte order.
};

/// Parses "IP:PORT"; names are not resolved. Thread-safe.
std::optional<HostPort> ParseHostPort(std::string_view text);

/// Converts to the socket form. Precondition: from ParseHostPort. Thread-safe.
sockaddr_in ToSocketAddress(const HostPort& address);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_ADDRESS_H_

// @file address.h Parsing and conversion of socket addresses.
#ifndef MEDLARGAUGE_DAEMON_ADDRESS_H_
#define MEDLARGAUGE_DAEMON_ADDRESS_H_

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

namespace medlargauge {

/// An IPv4 address and a port.
struct HostPort {
  std::string host;   ///< IPv4 address in dotted decimal.
  uint16_t port = 0;  ///< In host byte order.
};

/// Parses "IP:PORT" with an IPv4 address and a port from 1 to 65535; nullopt if
/// `text` is anything else. Host names are not resolved. Thread-safe.
std::optional<HostPort> ParseHostPort(std::string_view text);

/// Converts an address to the form of the socket API.
/// Precondition: `address` comes from ParseHostPort. Thread-safe.
sockaddr_in ToSocketAddress(const HostPort& address);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_ADDRESS_H_

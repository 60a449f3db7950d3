// @file address.cc Parsing and conversion of socket addresses.
#include "src/daemon/address.h"

#include <arpa/inet.h>

#include <cstdlib>

namespace medlargauge {

std::optional<HostPort> ParseHostPort(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  HostPort address;
  address.host = std::string(text.substr(0, colon));
  const std::string digits(text.substr(colon + 1));
  char* end = nullptr;
  const int64_t port = std::strtol(digits.c_str(), &end, 10);
  in_addr ip{};
  const bool is_valid = !digits.empty() && *end == '\0' && port > 0 &&
                        port <= UINT16_MAX &&
                        inet_pton(AF_INET, address.host.c_str(), &ip) == 1;
  if (!is_valid) {
    return std::nullopt;
  }
  address.port = static_cast<uint16_t>(port);
  return address;
}

sockaddr_in ToSocketAddress(const HostPort& address) {
  sockaddr_in socket_address{};
  socket_address.sin_family = AF_INET;
  socket_address.sin_port = htons(address.port);
  inet_pton(AF_INET, address.host.c_str(), &socket_address.sin_addr);
  return socket_address;
}

}  // namespace medlargauge

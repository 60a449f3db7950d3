// @file soak_type.h Ports, time bounds, request classes and addresses of a
// soak.
#ifndef MEDLARGAUGE_SOAK_SOAK_TYPE_H_
#define MEDLARGAUGE_SOAK_SOAK_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/forwarding/forwarding_type.h"

namespace medlargauge::soak {

inline constexpr uint16_t kPacketPort = 7000;     ///< Packets, on every host.
inline constexpr uint16_t kControlPort = 7001;    ///< Messages of processes.
inline constexpr uint16_t kAdminPort = 7002;      ///< Readiness checks.
inline constexpr uint16_t kHeartbeatPort = 7003;  ///< Heartbeats of servers.
inline constexpr uint16_t kOutboundPort = 7004;   ///< Packets of servers.
inline constexpr uint16_t kServerPort = 8080;     ///< Backend servers.
inline constexpr uint16_t kStorePort = 7100;      ///< Store.

// Bounds that the operators of the platform require.

/// A target must be in force at every balancer this long after it was written.
inline constexpr Duration kTargetPropagationBound = Seconds(5);
/// After a fault of a host, its flows may be lost for this long.
inline constexpr Duration kFaultExcuseTime = Seconds(5);
/// Packets of an open flow may reach other servers for this long.
inline constexpr Duration kMisroutingBound = Seconds(2);
/// After the last fault, requests must succeed again from then on.
inline constexpr Duration kRecoveryTime = Seconds(15);
/// A planned stop of a process must not take longer.
inline constexpr Duration kStopGracePeriod = Seconds(6);

/// A class of requests that callers send.
struct RequestClass {
  std::string name;        ///< Name of its route in the target.
  std::string service;     ///< Service whose servers must serve it.
  SocketAddress4 route;    ///< Address that callers connect to.
  bool repeatable = true;  ///< Callers may retry after any failure.
  /// A flow stays open and carries many requests, with pauses between them.
  bool long_flows = false;
  double arrivals_per_second = 20;       ///< Mean rate of new requests.
  uint32_t answer_bytes = 0;             ///< Size of an answer's body.
  Duration caller_timeout = Seconds(3);  ///< Callers give up after this time.
};

/// Loopback addresses of a run. Concurrent runs use different second octets.
struct SoakAddresses {
  uint8_t second_octet = 0;  ///< Second octet of all addresses of the run.

  /// Returns an address of the run. `network` becomes the third octet.
  uint32_t Ip(uint8_t network, uint32_t host) const {
    return 0x7F000000U | (static_cast<uint32_t>(second_octet) << 16U) |
           (static_cast<uint32_t>(network) << 8U) | host;
  }
  uint32_t StoreIp() const { return Ip(0, 1); }
  uint32_t BalancerIp(uint32_t index) const { return Ip(1, index + 1); }
  uint32_t AgentIp(uint32_t index) const { return Ip(2, index + 1); }
  uint32_t CallerIp(uint32_t index) const { return Ip(3, index + 1); }
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_SOAK_TYPE_H_

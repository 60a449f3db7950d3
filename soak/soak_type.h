// @file soak_type.h What a soak runs: classes of work, hosts, ports.
#ifndef MEDLARGAUGE_SOAK_SOAK_TYPE_H_
#define MEDLARGAUGE_SOAK_SOAK_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/forwarding/forwarding_type.h"

namespace medlargauge::soak {

inline constexpr uint16_t kPacketPort = 7000;    ///< Packets, on every host.
inline constexpr uint16_t kControlPort = 7001;   ///< Between the processes.
inline constexpr uint16_t kAdminPort = 7002;     ///< Readiness.
inline constexpr uint16_t kReportPort = 7003;    ///< Heartbeats to an agent.
inline constexpr uint16_t kOutboundPort = 7004;  ///< From a server.
inline constexpr uint16_t kServerPort = 8080;    ///< Of a server.
inline constexpr uint16_t kStorePort = 7100;     ///< Of the store.

/// Bounds that operators state for the platform.
inline constexpr Duration kTargetBound = Seconds(5);  ///< In force by then.
inline constexpr Duration kContact = Seconds(5);      ///< Excuse of a fault.
inline constexpr Duration kAstray = Seconds(2);       ///< Packets elsewhere.
inline constexpr Duration kRecovery = Seconds(15);    ///< After any trouble.
inline constexpr Duration kGrace = Seconds(6);        ///< Of a planned stop.

/// One class of work.
struct WorkClass {
  std::string name;             ///< Of its target.
  std::string service;          ///< Must do the work.
  SocketAddress4 route;         ///< Callers' address.
  bool repeatable = true;       ///< Callers repeat after any failure.
  bool long_flows = false;      ///< Many requests a flow, with pauses.
  double per_second = 20;       ///< Arrivals.
  uint32_t answer_bytes = 0;    ///< Of an answer's body.
  Duration limit = Seconds(3);  ///< Callers give up.
};

/// The addresses of a run; several runs do not meet.
struct SoakNet {
  uint8_t octet = 0;  ///< Second byte of all loopback addresses.

  uint32_t Ip(uint8_t kind, uint32_t index) const {
    return 0x7F000000U | (static_cast<uint32_t>(octet) << 16U) |
           (static_cast<uint32_t>(kind) << 8U) | index;
  }
  uint32_t Store() const { return Ip(0, 1); }
  uint32_t Balancer(uint32_t index) const { return Ip(1, index + 1); }
  uint32_t Agent(uint32_t index) const { return Ip(2, index + 1); }
  uint32_t Caller(uint32_t index) const { return Ip(3, index + 1); }
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_SOAK_TYPE_H_

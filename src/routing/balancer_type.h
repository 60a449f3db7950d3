// @file balancer_type.h Verdicts and counters of a balancer.
#ifndef MEDLARGAUGE_ROUTING_BALANCER_TYPE_H_
#define MEDLARGAUGE_ROUTING_BALANCER_TYPE_H_

#include <array>
#include <cstdint>

#include "src/core/error_type.h"
#include "src/packet/envelope_type.h"

namespace medlargauge {

/// Decision of a balancer for one packet.
struct RouteVerdict {
  MemberId next;                       ///< Agent to send to; 0 if rejected.
  Envelope envelope;                   ///< Valid when `next` is set.
  ErrorKind error = ErrorKind::kNone;  ///< Valid when `next` is not set.
};

/// Counters of a balancer since its start.
struct BalancerCounters {
  uint64_t forwarded = 0;  ///< Packets sent to an agent.
  std::array<uint64_t, kErrorKindCount> rejected{};  ///< By error kind.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_ROUTING_BALANCER_TYPE_H_

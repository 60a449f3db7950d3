// @file gossip_type.h Settings and counts of dissemination.
#ifndef MEDLARGAUGE_GOSSIP_GOSSIP_TYPE_H_
#define MEDLARGAUGE_GOSSIP_GOSSIP_TYPE_H_

#include <cstdint>

#include "src/core/ids_type.h"
#include "src/core/time_type.h"
#include "src/gossip/gossip.pb.h"

namespace medlargauge {

/// Ways of spreading changes, for comparison.
enum class SyncMode : uint8_t {
  kFullState,  ///< The whole state to every neighbour each interval.
  kDelta,      ///< Received changes go to every neighbour, origin included,
               ///< together with what came in the same message.
  kDeltaBp,    ///< As kDelta, but not back to the origin.
  kDeltaRr,    ///< Only what was new here, but to the origin as well.
  kDeltaBpRr,  ///< Only what was new here, and not back to the origin.
};

/// Intervals and sizes of the overlay.
struct GossipOptions {
  SyncMode mode = SyncMode::kDeltaBpRr;  ///< Way of spreading.
  Duration flush = Milliseconds(200);    ///< Changes wait at most so long.
  Duration repair = Seconds(10);         ///< Between digests.
  uint32_t fanout = 3;                   ///< Chosen neighbours.
  uint32_t buckets = 64;                 ///< Buckets of a digest.
  uint32_t max_items_per_flush = 64;     ///< Limit for one neighbour.
};

/// A message and where it goes.
struct OutgoingGossip {
  MemberId to;                   ///< Receiver.
  proto::GossipMessage message;  ///< Content.
};

/// Counters that only grow.
struct GossipCounters {
  uint64_t items_sent = 0;       ///< Items in sent messages.
  uint64_t items_received = 0;   ///< Items in received messages.
  uint64_t items_redundant = 0;  ///< Received, but not newer.
  uint64_t digests_sent = 0;     ///< Digests sent.
  uint64_t items_repaired = 0;   ///< Sent because a digest differed.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_GOSSIP_GOSSIP_TYPE_H_

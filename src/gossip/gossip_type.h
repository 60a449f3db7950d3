// @file gossip_type.h Options, counters and messages of the gossip protocol.
#ifndef MEDLARGAUGE_GOSSIP_GOSSIP_TYPE_H_
#define MEDLARGAUGE_GOSSIP_GOSSIP_TYPE_H_

#include <cstdint>

#include "src/core/ids_type.h"
#include "src/core/time_type.h"
#include "src/gossip/gossip.pb.h"

namespace medlargauge {

/// How changes are propagated to neighbours. All modes reach the same state;
/// the benchmarks compare what they send. BP (avoid back-propagation) and RR
/// (remove redundant state) are the terms of the paper named in gossip.h.
enum class SyncMode : uint8_t {
  /// Sends the whole state to every neighbour in each flush interval.
  kFullState,
  /// Forwards a received message that contains any newer item, with all of its
  /// items, to every neighbour, including the one that sent it.
  kDelta,
  /// As kDelta, but does not send items back to their sender.
  kDeltaBp,
  /// Forwards only items that were newer here, also back to their sender.
  kDeltaRr,
  /// Forwards only items that were newer here, and not back to their sender.
  kDeltaBpRr,
};

/// Intervals and limits of the gossip protocol.
struct GossipOptions {
  SyncMode mode = SyncMode::kDeltaBpRr;  ///< Propagation mode.
  /// Changes wait at most this long before they are sent.
  Duration flush_interval = Milliseconds(200);
  Duration digest_interval = Seconds(10);  ///< Time between two digests.
  /// Neighbours that a member chooses by hash, besides its ring successor.
  uint32_t fanout = 3;
  uint32_t buckets = 64;  ///< Hash buckets in a digest.
  /// Items sent to a neighbour in one flush; more wait for the next flush.
  uint32_t max_items_per_flush = 64;
};

/// A message to send, and its receiver.
struct OutgoingGossip {
  MemberId to;                   ///< Receiving member.
  proto::GossipMessage message;  ///< Message to send.
};

/// Counters of one member since its start; they never decrease.
struct GossipCounters {
  uint64_t items_sent = 0;       ///< Items in sent messages.
  uint64_t items_received = 0;   ///< Items in received messages.
  uint64_t items_redundant = 0;  ///< Received items that were not newer.
  uint64_t digests_sent = 0;     ///< Digests sent.
  uint64_t items_repaired = 0;   ///< Items sent after a digest differed.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_GOSSIP_GOSSIP_TYPE_H_

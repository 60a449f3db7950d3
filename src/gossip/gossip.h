// @file gossip.h Replication of versioned items over a sparse overlay.
//
// The state is a join of versions, so loss, duplicates and reordering do no
// harm; digests repair what was lost. Leaving out what came from a neighbour
// and what was known already follows Enes et al., "Efficient synchronisation
// of state-based CRDTs" (arXiv 2018).
#ifndef MEDLARGAUGE_GOSSIP_GOSSIP_H_
#define MEDLARGAUGE_GOSSIP_GOSSIP_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/gossip/gossip_type.h"

namespace medlargauge {

/// State machine of one member of the overlay. Not thread-safe.
class Gossip {
 public:
  /// Called for each item that became newer through a message.
  using ItemHook = std::function<void(const proto::GossipItem&)>;

  /// @param self this member
  /// @param on_item told about each newer item; may be empty
  Gossip(MemberId self, GossipOptions options, ItemHook on_item);

  /// Stores an own or newly read item and spreads it if it is newer.
  /// @return whether it was newer
  bool Put(const proto::GossipItem& item);

  /// Returns the item of a key, or null. Valid until the next change.
  const proto::GossipItem* Find(std::string_view key) const;

  /// Returns all items in the order of their keys.
  const std::map<std::string, proto::GossipItem, std::less<>>& Items() const {
    return m_items;
  }

  /// Replaces the members that may be chosen as neighbours.
  void SetMembers(const std::vector<MemberId>& members);

  /// Asks `peer` for everything that is missing here: how a newcomer starts.
  void RequestFullSync(MemberId peer);

  /// Takes in a message. The sender becomes a neighbour for a while.
  void OnMessage(TimePoint now,
                 MemberId from,
                 const proto::GossipMessage& message);

  /// Runs timers; call at least every flush interval.
  void OnTick(TimePoint now);

  /// Returns and clears the messages to send.
  std::vector<OutgoingGossip> TakeOutgoing();

  /// Returns the counters.
  const GossipCounters& Counters() const { return m_counters; }
  /// Returns the number of current neighbours.
  size_t NeighbourCount() const { return m_neighbours.size(); }

 private:
  /// What is still to be sent to one neighbour.
  struct Neighbour {
    bool chosen = false;            ///< Chosen here, not only by the other.
    TimePoint expires;              ///< If not chosen: forgotten then.
    std::set<std::string> pending;  ///< Keys to send.
  };

  void Queue(const std::string& key, MemberId origin);
  bool Store(const proto::GossipItem& item);
  void OnItems(MemberId from, const proto::GossipMessage& message);
  void OnDigest(MemberId from, const proto::GossipMessage& message);
  void OnVersions(MemberId from, const proto::GossipMessage& message);
  void OnWanted(MemberId from, const proto::GossipMessage& message);
  void Flush();
  void FlushFullState();
  void Repair(TimePoint now);
  uint32_t BucketOf(std::string_view key) const;
  std::vector<uint64_t> BucketHashes() const;

  MemberId m_self;          ///< This member.
  GossipOptions m_options;  ///< As constructed.
  ItemHook m_on_item;       ///< Told about newer items.
  std::map<std::string, proto::GossipItem, std::less<>> m_items;  ///< State.
  /// Hash of each bucket, kept up to date with every change.
  std::vector<uint64_t> m_bucket_hashes;
  std::vector<std::set<std::string>> m_bucket_keys;  ///< Keys of each bucket.
  std::map<MemberId, Neighbour> m_neighbours;        ///< Fixed order.
  TimePoint m_flush_deadline;                        ///< Next flush.
  TimePoint m_repair_deadline;                       ///< Next digest.
  MemberId m_last_repaired;  ///< Neighbour that got the last digest.
  std::vector<OutgoingGossip> m_outgoing;  ///< To be sent.
  GossipCounters m_counters;               ///< Only grow.
};

/// Chooses the neighbours of `self` among `members`: the next one on a ring of
/// hashes, so that the overlay is connected, and `fanout` more by rendezvous.
/// Thread-safe.
std::vector<MemberId> ChooseNeighbours(MemberId self,
                                       const std::vector<MemberId>& members,
                                       uint32_t fanout);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_GOSSIP_GOSSIP_H_

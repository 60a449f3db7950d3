// @file gossip.h Replication of versioned items over a sparse overlay.
//
// Each member keeps the highest version of every key, so duplicate and
// reordered messages do no harm. Periodic digests (anti-entropy) repair lost
// messages. Not sending items back to their sender (BP) and not forwarding
// known items (RR) follow Enes et al., "Efficient synchronisation of
// state-based CRDTs" (arXiv 2018).
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

/// State machine of one member of the overlay: it takes messages and time, and
/// queues messages to send. Not thread-safe.
class Gossip {
 public:
  /// Called for each received item that was newer than the stored one.
  using ItemCallback = std::function<void(const proto::GossipItem&)>;

  /// @param self this member
  /// @param on_item called for each newer item; may be empty
  Gossip(MemberId self, GossipOptions options, ItemCallback on_item);

  /// Stores an item that did not come through gossip, and queues it for all
  /// neighbours, if it is newer than the stored one.
  /// @return whether the item was newer
  bool Put(const proto::GossipItem& item);

  /// Returns the item of a key, or null. The pointer is valid until the next
  /// change of this object.
  const proto::GossipItem* Find(std::string_view key) const;

  /// Returns all items, ordered by key.
  const std::map<std::string, proto::GossipItem, std::less<>>& Items() const {
    return m_items;
  }

  /// Chooses the neighbours of this member anew among `members`. Neighbours
  /// that are no longer chosen stay until their timeout.
  void SetMembers(const std::vector<MemberId>& members);

  /// Queues a digest for `peer`, which answers with the items that this member
  /// lacks. A member that starts calls this. The message also contains all
  /// items of this member.
  void RequestFullSync(MemberId peer);

  /// Processes a message from member `from`, which remains a neighbour until it
  /// has sent nothing for a few digest intervals.
  void OnMessage(TimePoint now,
                 MemberId from,
                 const proto::GossipMessage& message);

  /// Runs the timers. Call at least once per flush interval.
  void OnTick(TimePoint now);

  /// Returns the queued messages and clears the queue.
  std::vector<OutgoingGossip> TakeOutgoing();

  /// Returns the counters.
  const GossipCounters& Counters() const { return m_counters; }
  /// Returns the number of current neighbours.
  size_t NeighbourCount() const { return m_neighbours.size(); }

 private:
  /// A member with which this one exchanges messages.
  struct Neighbour {
    bool is_chosen = false;  ///< By this member, not only by the neighbour.
    TimePoint expires_at;    ///< If not chosen: removed after this time.
    std::set<std::string> pending;  ///< Keys of items to send.
  };

  /// Queues an item for all neighbours, except for `origin` in the modes that
  /// do not send items back to their sender.
  void EnqueueForNeighbours(const std::string& key, MemberId origin);
  /// Stores an item and updates its bucket. @return whether it was newer
  bool StoreIfNewer(const proto::GossipItem& item);
  /// Stores the newer items of a message and queues items for the neighbours.
  void MergeItems(MemberId from, const proto::GossipMessage& message);
  /// Answers a digest with the versions in all buckets that differ.
  void AnswerDigest(MemberId from, const proto::GossipMessage& message);
  /// Answers versions with newer items and with requests for missing ones.
  void AnswerVersions(MemberId from, const proto::GossipMessage& message);
  /// Sends the items that a message requests.
  void AnswerItemRequests(MemberId from, const proto::GossipMessage& message);
  /// Queues messages with the pending items of each neighbour.
  void SendPendingItems();
  /// Queues a message with all items for each neighbour.
  void SendFullState();
  /// Removes expired neighbours and queues a digest for the next one in turn.
  void SendDigest(TimePoint now);
  /// Returns the index of the hash bucket that holds a key.
  uint32_t BucketOf(std::string_view key) const;
  /// Returns the hashes of all buckets, which form a digest.
  std::vector<uint64_t> BucketHashes() const;

  MemberId m_self;          ///< This member.
  GossipOptions m_options;  ///< Options.
  ItemCallback m_on_item;   ///< Called for newer items; may be empty.
  std::map<std::string, proto::GossipItem, std::less<>> m_items;  ///< By key.
  /// Hash over the keys and versions in each bucket, updated with each change.
  std::vector<uint64_t> m_bucket_hashes;
  std::vector<std::set<std::string>> m_bucket_keys;  ///< Keys in each bucket.
  /// Ordered by id, so that digests go to one after the other.
  std::map<MemberId, Neighbour> m_neighbours;
  TimePoint m_next_flush;           ///< Time of the next flush.
  TimePoint m_next_digest;          ///< Time of the next digest.
  MemberId m_last_digest_receiver;  ///< Neighbour that got the last digest.
  std::vector<OutgoingGossip> m_outgoing;  ///< Messages to send.
  GossipCounters m_counters;               ///< Counters since the start.
};

/// Returns the neighbours of `self` among `members`: its successor on a hash
/// ring, which keeps the overlay connected, and up to `fanout` more by
/// rendezvous hashing. Thread-safe.
std::vector<MemberId> ChooseNeighbours(MemberId self,
                                       const std::vector<MemberId>& members,
                                       uint32_t fanout);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_GOSSIP_GOSSIP_H_

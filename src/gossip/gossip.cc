// @file gossip.cc Delta propagation along the overlay, and repair by digests.
#include "src/gossip/gossip.h"

#include <algorithm>

#include "src/core/hash.h"

namespace medlargauge {
namespace {

/// A neighbour that this member did not choose is removed after it has sent
/// nothing for this many digest intervals.
constexpr int kNeighbourTimeoutDigests = 3;
/// Hash seed of positions on the ring; "RING" in ASCII.
constexpr uint64_t kRingSeed = 0x52494E47;
/// Hash seed of the rendezvous weights; "OVER" in ASCII.
constexpr uint64_t kOverlaySeed = 0x4F564552;

/// Returns the hash of one item; a bucket's hash is the XOR over its items.
uint64_t ItemHash(std::string_view key, uint64_t version) {
  return MixHash(HashName(key), version);
}

/// Returns whether a mode forwards only items that were newer here (RR).
bool RemovesRedundantItems(SyncMode mode) {
  return mode == SyncMode::kDeltaRr || mode == SyncMode::kDeltaBpRr;
}

/// Returns whether a mode does not send items back to their sender (BP).
bool SkipsOrigin(SyncMode mode) {
  return mode == SyncMode::kDeltaBp || mode == SyncMode::kDeltaBpRr;
}

}  // namespace

std::vector<MemberId> ChooseNeighbours(MemberId self,
                                       const std::vector<MemberId>& members,
                                       uint32_t fanout) {
  std::vector<std::pair<uint64_t, MemberId>> candidates;
  MemberId successor;
  uint64_t shortest_distance = UINT64_MAX;
  const uint64_t own_position = MixHash(self.value, kRingSeed);
  for (const MemberId member : members) {
    if (member == self) {
      continue;
    }
    const uint64_t distance = MixHash(member.value, kRingSeed) - own_position;
    if (distance < shortest_distance) {
      shortest_distance = distance;
      successor = member;
    }
    candidates.emplace_back(
        MixHash(MixHash(self.value, member.value), kOverlaySeed), member);
  }
  const size_t count = std::min<size_t>(fanout, candidates.size());
  std::partial_sort(candidates.begin(), candidates.begin() + count,
                    candidates.end());
  std::vector<MemberId> neighbours;
  if (successor.IsSet()) {
    neighbours.push_back(successor);
  }
  for (size_t i = 0; i < count; ++i) {
    if (candidates[i].second != successor) {
      neighbours.push_back(candidates[i].second);
    }
  }
  return neighbours;
}

Gossip::Gossip(MemberId self, GossipOptions options, ItemCallback on_item)
    : m_self(self),
      m_options(options),
      m_on_item(std::move(on_item)),
      m_bucket_hashes(options.buckets),
      m_bucket_keys(options.buckets) {}

bool Gossip::Put(const proto::GossipItem& item) {
  if (!StoreIfNewer(item)) {
    return false;
  }
  EnqueueForNeighbours(item.key(), m_self);
  return true;
}

const proto::GossipItem* Gossip::Find(std::string_view key) const {
  const auto found = m_items.find(key);
  return found == m_items.end() ? nullptr : &found->second;
}

void Gossip::SetMembers(const std::vector<MemberId>& members) {
  const std::vector<MemberId> neighbours =
      ChooseNeighbours(m_self, members, m_options.fanout);
  for (auto& [id, neighbour] : m_neighbours) {
    neighbour.is_chosen = false;
  }
  for (const MemberId id : neighbours) {
    m_neighbours[id].is_chosen = true;
  }
}

void Gossip::RequestFullSync(MemberId peer) {
  OutgoingGossip outgoing;
  outgoing.to = peer;
  for (const uint64_t hash : BucketHashes()) {
    outgoing.message.add_bucket_hashes(hash);
  }
  // Includes the own items, so that the peer can propagate them.
  for (const auto& [key, item] : m_items) {
    *outgoing.message.add_items() = item;
  }
  m_outgoing.push_back(std::move(outgoing));
}

void Gossip::OnMessage(TimePoint now,
                       MemberId from,
                       const proto::GossipMessage& message) {
  Neighbour& neighbour = m_neighbours[from];
  neighbour.expires_at =
      now + m_options.digest_interval * kNeighbourTimeoutDigests;
  MergeItems(from, message);
  AnswerDigest(from, message);
  AnswerVersions(from, message);
  AnswerItemRequests(from, message);
}

void Gossip::OnTick(TimePoint now) {
  if (now >= m_next_flush) {
    m_next_flush = now + m_options.flush_interval;
    m_options.mode == SyncMode::kFullState ? SendFullState()
                                           : SendPendingItems();
  }
  if (now >= m_next_digest) {
    m_next_digest = now + m_options.digest_interval;
    SendDigest(now);
  }
}

std::vector<OutgoingGossip> Gossip::TakeOutgoing() {
  std::vector<OutgoingGossip> outgoing;
  outgoing.swap(m_outgoing);
  return outgoing;
}

void Gossip::EnqueueForNeighbours(const std::string& key, MemberId origin) {
  for (auto& [id, neighbour] : m_neighbours) {
    const bool skipped = id == origin && SkipsOrigin(m_options.mode);
    if (!skipped) {
      neighbour.pending.insert(key);
    }
  }
}

bool Gossip::StoreIfNewer(const proto::GossipItem& item) {
  const auto stored = m_items.find(item.key());
  const bool is_new_key = stored == m_items.end();
  if (!is_new_key && stored->second.version() >= item.version()) {
    return false;
  }
  const uint32_t bucket = BucketOf(item.key());
  if (!is_new_key) {
    m_bucket_hashes[bucket] ^= ItemHash(item.key(), stored->second.version());
  }
  m_bucket_hashes[bucket] ^= ItemHash(item.key(), item.version());
  m_bucket_keys[bucket].insert(item.key());
  m_items[item.key()] = item;
  return true;
}

void Gossip::MergeItems(MemberId from, const proto::GossipMessage& message) {
  bool any_newer = false;
  std::vector<std::string> keys;
  for (const proto::GossipItem& item : message.items()) {
    ++m_counters.items_received;
    const bool is_newer = StoreIfNewer(item);
    any_newer = any_newer || is_newer;
    m_counters.items_redundant += is_newer ? 0 : 1;
    if (is_newer && m_on_item) {
      m_on_item(item);
    }
    if (is_newer || !RemovesRedundantItems(m_options.mode)) {
      keys.push_back(item.key());
    }
  }
  // Modes without RR forward all items of a message that contains a newer one.
  if (any_newer) {
    for (const std::string& key : keys) {
      EnqueueForNeighbours(key, from);
    }
  }
}

void Gossip::AnswerDigest(MemberId from, const proto::GossipMessage& message) {
  if (message.bucket_hashes_size() != static_cast<int>(m_options.buckets)) {
    return;
  }
  OutgoingGossip response;
  response.to = from;
  for (uint32_t bucket = 0; bucket < m_options.buckets; ++bucket) {
    if (message.bucket_hashes(static_cast<int>(bucket)) ==
        m_bucket_hashes[bucket]) {
      continue;
    }
    response.message.add_buckets(bucket);
    for (const std::string& key : m_bucket_keys[bucket]) {
      proto::GossipVersion* version = response.message.add_versions();
      version->set_key(key);
      version->set_version(m_items[key].version());
    }
  }
  if (response.message.buckets_size() > 0) {
    m_outgoing.push_back(std::move(response));
  }
}

void Gossip::AnswerVersions(MemberId from,
                            const proto::GossipMessage& message) {
  if (message.buckets_size() == 0) {
    return;
  }
  OutgoingGossip response;
  response.to = from;
  std::set<std::string_view> peer_keys;
  for (const proto::GossipVersion& version : message.versions()) {
    peer_keys.insert(version.key());
    const proto::GossipItem* own_item = Find(version.key());
    const uint64_t own_version = own_item == nullptr ? 0 : own_item->version();
    if (own_version > version.version()) {
      *response.message.add_items() = *own_item;
    } else if (own_version < version.version()) {
      response.message.add_wanted(version.key());
    }
  }
  for (const uint32_t bucket : message.buckets()) {
    if (bucket >= m_options.buckets) {
      continue;
    }
    for (const std::string& key : m_bucket_keys[bucket]) {
      if (peer_keys.count(key) == 0) {
        *response.message.add_items() = m_items[key];
      }
    }
  }
  const int repaired = response.message.items_size();
  m_counters.items_sent += repaired;
  m_counters.items_repaired += repaired;
  if (repaired > 0 || response.message.wanted_size() > 0) {
    m_outgoing.push_back(std::move(response));
  }
}

void Gossip::AnswerItemRequests(MemberId from,
                                const proto::GossipMessage& message) {
  OutgoingGossip response;
  response.to = from;
  for (const std::string& key : message.wanted()) {
    const proto::GossipItem* item = Find(key);
    if (item != nullptr) {
      *response.message.add_items() = *item;
    }
  }
  const int repaired = response.message.items_size();
  m_counters.items_sent += repaired;
  m_counters.items_repaired += repaired;
  if (repaired > 0) {
    m_outgoing.push_back(std::move(response));
  }
}

void Gossip::SendPendingItems() {
  for (auto& [id, neighbour] : m_neighbours) {
    if (neighbour.pending.empty()) {
      continue;
    }
    OutgoingGossip outgoing;
    outgoing.to = id;
    auto key = neighbour.pending.begin();
    for (uint32_t i = 0;
         i < m_options.max_items_per_flush && key != neighbour.pending.end();
         ++i) {
      *outgoing.message.add_items() = m_items[*key];
      key = neighbour.pending.erase(key);
    }
    m_counters.items_sent += outgoing.message.items_size();
    m_outgoing.push_back(std::move(outgoing));
  }
}

void Gossip::SendFullState() {
  for (auto& [id, neighbour] : m_neighbours) {
    neighbour.pending.clear();
    OutgoingGossip outgoing;
    outgoing.to = id;
    for (const auto& [key, item] : m_items) {
      *outgoing.message.add_items() = item;
    }
    m_counters.items_sent += outgoing.message.items_size();
    m_outgoing.push_back(std::move(outgoing));
  }
}

void Gossip::SendDigest(TimePoint now) {
  for (auto it = m_neighbours.begin(); it != m_neighbours.end();) {
    const bool is_expired =
        !it->second.is_chosen && it->second.expires_at < now;
    it = is_expired ? m_neighbours.erase(it) : std::next(it);
  }
  if (m_neighbours.empty()) {
    return;
  }
  auto next = m_neighbours.upper_bound(m_last_digest_receiver);
  if (next == m_neighbours.end()) {
    next = m_neighbours.begin();
  }
  m_last_digest_receiver = next->first;
  OutgoingGossip outgoing;
  outgoing.to = next->first;
  for (const uint64_t hash : BucketHashes()) {
    outgoing.message.add_bucket_hashes(hash);
  }
  ++m_counters.digests_sent;
  m_outgoing.push_back(std::move(outgoing));
}

uint32_t Gossip::BucketOf(std::string_view key) const {
  return static_cast<uint32_t>(HashName(key) % m_options.buckets);
}

std::vector<uint64_t> Gossip::BucketHashes() const {
  return m_bucket_hashes;
}

}  // namespace medlargauge

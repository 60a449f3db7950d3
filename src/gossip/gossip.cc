// @file gossip.cc Deltas along the overlay, digests for repair.
#include "src/gossip/gossip.h"

#include <algorithm>

#include "src/core/hash.h"

namespace medlargauge {
namespace {

/// A neighbour that chose this member is forgotten after so many digests.
constexpr int kNeighbourPatience = 3;
constexpr uint64_t kRingSeed = 0x52494E47;
constexpr uint64_t kOverlaySeed = 0x4F564552;

/// Returns the part of a bucket's hash that one item stands for.
uint64_t ItemHash(std::string_view key, uint64_t version) {
  return MixHash(HashName(key), version);
}

/// Returns whether a way of spreading sends only what was new here.
bool RemovesRedundant(SyncMode mode) {
  return mode == SyncMode::kDeltaRr || mode == SyncMode::kDeltaBpRr;
}

/// Returns whether a way of spreading skips the origin.
bool SkipsOrigin(SyncMode mode) {
  return mode == SyncMode::kDeltaBp || mode == SyncMode::kDeltaBpRr;
}

}  // namespace

std::vector<MemberId> ChooseNeighbours(MemberId self,
                                       const std::vector<MemberId>& members,
                                       uint32_t fanout) {
  std::vector<std::pair<uint64_t, MemberId>> weighted;
  MemberId successor;
  uint64_t shortest = UINT64_MAX;
  const uint64_t own_point = MixHash(self.value, kRingSeed);
  for (const MemberId member : members) {
    if (member == self) {
      continue;
    }
    const uint64_t distance = MixHash(member.value, kRingSeed) - own_point;
    if (distance < shortest) {
      shortest = distance;
      successor = member;
    }
    weighted.emplace_back(
        MixHash(MixHash(self.value, member.value), kOverlaySeed), member);
  }
  const size_t count = std::min<size_t>(fanout, weighted.size());
  std::partial_sort(weighted.begin(), weighted.begin() + count, weighted.end());
  std::vector<MemberId> chosen;
  if (successor.IsSet()) {
    chosen.push_back(successor);
  }
  for (size_t i = 0; i < count; ++i) {
    if (weighted[i].second != successor) {
      chosen.push_back(weighted[i].second);
    }
  }
  return chosen;
}

Gossip::Gossip(MemberId self, GossipOptions options, ItemHook on_item)
    : m_self(self),
      m_options(options),
      m_on_item(std::move(on_item)),
      m_bucket_hashes(options.buckets),
      m_bucket_keys(options.buckets) {}

bool Gossip::Put(const proto::GossipItem& item) {
  if (!Store(item)) {
    return false;
  }
  Queue(item.key(), m_self);
  return true;
}

const proto::GossipItem* Gossip::Find(std::string_view key) const {
  const auto found = m_items.find(key);
  return found == m_items.end() ? nullptr : &found->second;
}

void Gossip::SetMembers(const std::vector<MemberId>& members) {
  const std::vector<MemberId> chosen =
      ChooseNeighbours(m_self, members, m_options.fanout);
  for (auto& [id, neighbour] : m_neighbours) {
    neighbour.chosen = false;
  }
  for (const MemberId id : chosen) {
    m_neighbours[id].chosen = true;
  }
}

void Gossip::RequestFullSync(MemberId peer) {
  OutgoingGossip outgoing;
  outgoing.to = peer;
  for (const uint64_t hash : BucketHashes()) {
    outgoing.message.add_bucket_hashes(hash);
  }
  // Own items travel along, so that the peer can make them known.
  for (const auto& [key, item] : m_items) {
    *outgoing.message.add_items() = item;
  }
  m_outgoing.push_back(std::move(outgoing));
}

void Gossip::OnMessage(TimePoint now,
                       MemberId from,
                       const proto::GossipMessage& message) {
  Neighbour& neighbour = m_neighbours[from];
  neighbour.expires = now + m_options.repair * kNeighbourPatience;
  OnItems(from, message);
  OnDigest(from, message);
  OnVersions(from, message);
  OnWanted(from, message);
}

void Gossip::OnTick(TimePoint now) {
  if (now >= m_flush_deadline) {
    m_flush_deadline = now + m_options.flush;
    m_options.mode == SyncMode::kFullState ? FlushFullState() : Flush();
  }
  if (now >= m_repair_deadline) {
    m_repair_deadline = now + m_options.repair;
    Repair(now);
  }
}

std::vector<OutgoingGossip> Gossip::TakeOutgoing() {
  std::vector<OutgoingGossip> outgoing;
  outgoing.swap(m_outgoing);
  return outgoing;
}

void Gossip::Queue(const std::string& key, MemberId origin) {
  for (auto& [id, neighbour] : m_neighbours) {
    const bool skipped = id == origin && SkipsOrigin(m_options.mode);
    if (!skipped) {
      neighbour.pending.insert(key);
    }
  }
}

bool Gossip::Store(const proto::GossipItem& item) {
  const auto known = m_items.find(item.key());
  const bool is_new = known == m_items.end();
  if (!is_new && known->second.version() >= item.version()) {
    return false;
  }
  const uint32_t bucket = BucketOf(item.key());
  if (!is_new) {
    m_bucket_hashes[bucket] ^= ItemHash(item.key(), known->second.version());
  }
  m_bucket_hashes[bucket] ^= ItemHash(item.key(), item.version());
  m_bucket_keys[bucket].insert(item.key());
  m_items[item.key()] = item;
  return true;
}

void Gossip::OnItems(MemberId from, const proto::GossipMessage& message) {
  bool any_new = false;
  std::vector<std::string> keys;
  for (const proto::GossipItem& item : message.items()) {
    ++m_counters.items_received;
    const bool is_new = Store(item);
    any_new = any_new || is_new;
    m_counters.items_redundant += is_new ? 0 : 1;
    if (is_new && m_on_item) {
      m_on_item(item);
    }
    if (is_new || !RemovesRedundant(m_options.mode)) {
      keys.push_back(item.key());
    }
  }
  // Without removal of redundant state, a group with anything new in it is
  // passed on as a whole.
  if (any_new) {
    for (const std::string& key : keys) {
      Queue(key, from);
    }
  }
}

void Gossip::OnDigest(MemberId from, const proto::GossipMessage& message) {
  if (message.bucket_hashes_size() != static_cast<int>(m_options.buckets)) {
    return;
  }
  OutgoingGossip answer;
  answer.to = from;
  for (uint32_t bucket = 0; bucket < m_options.buckets; ++bucket) {
    if (message.bucket_hashes(static_cast<int>(bucket)) ==
        m_bucket_hashes[bucket]) {
      continue;
    }
    answer.message.add_buckets(bucket);
    for (const std::string& key : m_bucket_keys[bucket]) {
      proto::GossipVersion* version = answer.message.add_versions();
      version->set_key(key);
      version->set_version(m_items[key].version());
    }
  }
  if (answer.message.buckets_size() > 0) {
    m_outgoing.push_back(std::move(answer));
  }
}

void Gossip::OnVersions(MemberId from, const proto::GossipMessage& message) {
  if (message.buckets_size() == 0) {
    return;
  }
  OutgoingGossip answer;
  answer.to = from;
  std::set<std::string_view> theirs;
  for (const proto::GossipVersion& version : message.versions()) {
    theirs.insert(version.key());
    const proto::GossipItem* own = Find(version.key());
    const uint64_t own_version = own == nullptr ? 0 : own->version();
    if (own_version > version.version()) {
      *answer.message.add_items() = *own;
    } else if (own_version < version.version()) {
      answer.message.add_wanted(version.key());
    }
  }
  for (const uint32_t bucket : message.buckets()) {
    if (bucket >= m_options.buckets) {
      continue;
    }
    for (const std::string& key : m_bucket_keys[bucket]) {
      if (theirs.count(key) == 0) {
        *answer.message.add_items() = m_items[key];
      }
    }
  }
  const int repaired = answer.message.items_size();
  m_counters.items_sent += repaired;
  m_counters.items_repaired += repaired;
  if (repaired > 0 || answer.message.wanted_size() > 0) {
    m_outgoing.push_back(std::move(answer));
  }
}

void Gossip::OnWanted(MemberId from, const proto::GossipMessage& message) {
  OutgoingGossip answer;
  answer.to = from;
  for (const std::string& key : message.wanted()) {
    const proto::GossipItem* item = Find(key);
    if (item != nullptr) {
      *answer.message.add_items() = *item;
    }
  }
  const int repaired = answer.message.items_size();
  m_counters.items_sent += repaired;
  m_counters.items_repaired += repaired;
  if (repaired > 0) {
    m_outgoing.push_back(std::move(answer));
  }
}

void Gossip::Flush() {
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

void Gossip::FlushFullState() {
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

void Gossip::Repair(TimePoint now) {
  for (auto it = m_neighbours.begin(); it != m_neighbours.end();) {
    const bool forgotten = !it->second.chosen && it->second.expires < now;
    it = forgotten ? m_neighbours.erase(it) : std::next(it);
  }
  if (m_neighbours.empty()) {
    return;
  }
  auto next = m_neighbours.upper_bound(m_last_repaired);
  if (next == m_neighbours.end()) {
    next = m_neighbours.begin();
  }
  m_last_repaired = next->first;
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

// @file target_keeper.cc Spread of the agents' fetches over time and balancers.
#include "src/forwarding/target_keeper.h"

#include <algorithm>

#include "src/core/hash.h"

namespace medlargauge {
namespace {

/// Resolution of hashes that are taken as fractions.
constexpr uint64_t kHashParts = 1U << 20U;
/// Distinguishes the choice of the keepers from other hashes of the same id.
constexpr uint64_t kKeeperSalt = 0x6B656570;

}  // namespace

bool TargetKeeper::IsKeeper(const MembershipTable& members) const {
  const size_t agents =
      members.FleetSize(MemberRole::kAgent) + 1 - members.Entries().size();
  return agents <= m_limits.max_keepers ||
         MixHash(m_self.value, kKeeperSalt) % kHashParts * agents <
             m_limits.max_keepers * kHashParts;
}

std::optional<MemberId> TargetKeeper::Next(TimePoint now,
                                           const MembershipTable& members,
                                           uint64_t held) {
  uint64_t newest = held;
  for (const auto& [id, entry] : members.Entries()) {
    if (members.IsReachable(now, entry)) {
      newest = std::max(newest, entry.member.revision);
    }
  }
  if (newest == held) {
    m_fetch_at = TimePoint();
    m_attempts = 0;
    return std::nullopt;
  }
  if (m_fetch_at == TimePoint()) {
    m_fetch_at = now + SpreadDelay(newest);
  }
  if (now < m_fetch_at) {
    return std::nullopt;
  }
  std::optional<MemberId> chosen;
  uint64_t lowest_hash = 0;
  for (const auto& [id, entry] : members.Entries()) {
    const uint64_t hash =
        MixHash(MixHash(m_self.value, newest + m_attempts), id.value);
    const bool has_newest =
        entry.member.revision == newest && members.IsReachable(now, entry);
    if (has_newest && (!chosen.has_value() || hash < lowest_hash)) {
      chosen = id;
      lowest_hash = hash;
    }
  }
  ++m_attempts;
  m_fetch_at = now + m_limits.retry_delay + SpreadDelay(newest + m_attempts);
  return chosen;
}

Duration TargetKeeper::SpreadDelay(uint64_t revision) const {
  const uint64_t part = MixHash(m_self.value, revision) % kHashParts;
  return m_limits.spread * static_cast<int64_t>(part) /
         static_cast<int64_t>(kHashParts);
}

}  // namespace medlargauge

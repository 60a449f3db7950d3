// @file target_keeper.cc Spread of the fetches of targets over time and
// members.
#include "src/forwarding/target_keeper.h"

#include "src/core/hash.h"

namespace medlargauge {
namespace {

/// Resolution of hashes that are taken as fractions.
constexpr uint64_t kHashParts = 1U << 20U;
/// Distinguishes the choice of the keepers from other hashes of the same id.
constexpr uint64_t kKeeperSalt = 0x6B656570;

}  // namespace

std::optional<MemberId> ChooseTargetSource(TimePoint now,
                                           const MembershipTable& members,
                                           MemberId self,
                                           const TargetIdentity& held,
                                           uint64_t attempt) {
  std::optional<MemberId> chosen;
  TargetIdentity newest = held;
  uint64_t lowest_hash = 0;
  for (const auto& [id, entry] : members.Entries()) {
    const TargetIdentity& stated = entry.member.targets;
    const bool is_older = chosen.has_value() && Supersedes(newest, stated);
    if (!MayBeNewer(stated, held) || is_older ||
        !members.IsReachable(now, entry)) {
      continue;
    }
    const uint64_t hash = MixHash(
        MixHash(self.value, stated.version.revision + attempt), id.value);
    if (!chosen.has_value() || Supersedes(stated, newest) ||
        hash < lowest_hash) {
      chosen = id;
      newest = stated;
      lowest_hash = hash;
    }
  }
  return chosen;
}

bool TargetKeeper::IsKeeper(const MembershipTable& members) const {
  const size_t agents =
      members.FleetSize(MemberRole::kAgent) + 1 - members.Entries().size();
  return agents <= m_limits.max_keepers ||
         MixHash(m_self.value, kKeeperSalt) % kHashParts * agents <
             m_limits.max_keepers * kHashParts;
}

std::optional<MemberId> TargetKeeper::Next(TimePoint now,
                                           const MembershipTable& members,
                                           const TargetIdentity& held) {
  const std::optional<MemberId> source =
      ChooseTargetSource(now, members, m_self, held, m_attempts);
  if (!source.has_value()) {
    m_fetch_at = TimePoint();
    m_attempts = 0;
    return std::nullopt;
  }
  const uint64_t newest =
      members.Find(*source)->member.targets.version.revision;
  if (m_fetch_at == TimePoint()) {
    m_fetch_at = now + SpreadDelay(newest);
  }
  if (now < m_fetch_at) {
    return std::nullopt;
  }
  ++m_attempts;
  m_fetch_at = now + m_limits.retry_delay + SpreadDelay(newest + m_attempts);
  return source;
}

Duration TargetKeeper::SpreadDelay(uint64_t revision) const {
  const uint64_t part = MixHash(m_self.value, revision) % kHashParts;
  return m_limits.spread * static_cast<int64_t>(part) /
         static_cast<int64_t>(kHashParts);
}

}  // namespace medlargauge

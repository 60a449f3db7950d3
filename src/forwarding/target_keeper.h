// @file target_keeper.h Decides from which member a process fetches targets,
// and when an agent does so.
#ifndef MEDLARGAUGE_FORWARDING_TARGET_KEEPER_H_
#define MEDLARGAUGE_FORWARDING_TARGET_KEEPER_H_

#include <optional>

#include "src/forwarding/membership_table.h"

namespace medlargauge {

/// Returns a reachable member that has the newest targets of all, chosen by
/// hash so that processes ask different members; nullopt if no member has newer
/// ones than this process. Thread-safe.
/// @param self id of this process
/// @param held identifies this process's targets
/// @param attempt a different number chooses another member
std::optional<MemberId> ChooseTargetSource(TimePoint now,
                                           const MembershipTable& members,
                                           MemberId self,
                                           const TargetIdentity& held,
                                           uint64_t attempt);

/// Settings of how agents keep the targets.
struct TargetKeeperLimits {
  /// Agents spread their fetches of one revision over this time.
  Duration spread = Milliseconds(1000);
  /// Delay after a failed fetch, on top of the spread.
  Duration retry_delay = Milliseconds(500);
  /// In a larger fleet only about this many agents, chosen by hash, keep the
  /// targets.
  size_t max_keepers = 128;
};

/// State machine of an agent that keeps the newest targets for balancers that
/// start without the store. Agents fetch at different times and from different
/// balancers. Deterministic: it maps (now, members) to an action and reads no
/// clock. Not thread-safe.
class TargetKeeper {
 public:
  /// @param self id of this process
  TargetKeeper(MemberId self, TargetKeeperLimits limits)
      : m_self(self), m_limits(limits) {}

  /// Returns whether this agent keeps the targets.
  bool IsKeeper(const MembershipTable& members) const;

  /// Returns the balancer from which the targets must be fetched now; nullopt
  /// if no fetch is due. Call at least every 100 ms.
  /// @param held identifies the targets that this agent keeps
  std::optional<MemberId> Next(TimePoint now,
                               const MembershipTable& members,
                               const TargetIdentity& held);

 private:
  /// Returns the part of the spread that this agent waits.
  Duration SpreadDelay(uint64_t revision) const;

  MemberId m_self;              ///< Id of this process.
  TargetKeeperLimits m_limits;  ///< Settings.
  /// When the next fetch is due; zero: no newer targets are known.
  TimePoint m_fetch_at;
  uint32_t m_attempts = 0;  ///< Fetches since the held targets became old.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_TARGET_KEEPER_H_

// @file status_schedule.h Intervals of status messages and join retries.
#ifndef MEDLARGAUGE_FORWARDING_STATUS_SCHEDULE_H_
#define MEDLARGAUGE_FORWARDING_STATUS_SCHEDULE_H_

#include <algorithm>
#include <cstdint>

#include "src/core/hash.h"
#include "src/core/time_type.h"
#include "src/forwarding/forwarding_type.h"

namespace medlargauge {

/// Above this number of members the status interval grows in proportion, which
/// keeps the traffic of each member constant.
inline constexpr size_t kBaseIntervalMembers = 48;

/// Returns the interval between two statuses of a member. Thread-safe.
/// @param members number of other members in the fleet
inline Duration StatusInterval(MemberRole role, size_t members) {
  // Intervals in a small fleet. The unreachable timeout of the membership table
  // spans three intervals of an agent.
  constexpr Duration kAgentInterval = Milliseconds(300);
  constexpr Duration kBalancerInterval = Milliseconds(450);
  return (role == MemberRole::kAgent ? kAgentInterval : kBalancerInterval) *
         static_cast<int64_t>(std::max(members, kBaseIntervalMembers)) /
         static_cast<int64_t>(kBaseIntervalMembers);
}

/// Returns the delay before a member that reaches nobody repeats its join
/// request. It doubles with every second attempt up to 1.6 s, because the
/// answers, which list all members, are a heavy load when a large fleet starts
/// at once. Thread-safe.
/// @param attempts number of requests sent so far, at least one
inline Duration JoinRetryDelay(uint32_t attempts) {
  constexpr uint32_t kMaxDoublings = 4;
  return Milliseconds(100) * (1 << std::min((attempts - 1) / 2, kMaxDoublings));
}

/// Schedules the statuses that a member sends to all others. Not thread-safe.
class StatusSchedule {
 public:
  /// @param tick interval at which IsDue is called; deadlines are half of it
  ///     earlier, so that the mean interval between statuses is as intended
  /// @param seed spreads the statuses of members that start together
  StatusSchedule(MemberRole role, Duration tick, uint64_t seed)
      : m_role(role), m_tick(tick), m_seed(seed) {}

  /// Returns whether a status must be sent now.
  bool IsDue(TimePoint now) const { return now >= m_deadline; }

  /// Schedules the next status after one was sent to all members.
  /// @param members number of other members in the fleet
  void OnSent(TimePoint now, size_t members) {
    constexpr int64_t kParts = 256;
    const Duration interval = StatusInterval(m_role, members);
    // Members that started at the same time, or that discovered many others at
    // the same time, would send in step from then on. A random part of one
    // interval separates them.
    const bool unchanged = interval <= m_interval * 5 / 4;
    const auto part = static_cast<int64_t>(MixHash(m_seed, ++m_sent) % kParts);
    m_deadline =
        now + (unchanged ? interval : interval * part / kParts) - m_tick / 2;
    m_interval = interval;
  }

 private:
  MemberRole m_role;       ///< Role of this member.
  Duration m_tick;         ///< Interval of calls to IsDue.
  uint64_t m_seed;         ///< Seed of the spread.
  uint64_t m_sent = 0;     ///< Statuses sent so far.
  Duration m_interval{};   ///< Interval used after the last status.
  TimePoint m_deadline{};  ///< Time of the next status.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_STATUS_SCHEDULE_H_

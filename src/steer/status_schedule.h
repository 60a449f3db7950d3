// @file status_schedule.h How often members say that they live.
#ifndef MEDLARGAUGE_STEER_STATUS_SCHEDULE_H_
#define MEDLARGAUGE_STEER_STATUS_SCHEDULE_H_

#include <algorithm>
#include <cstdint>

#include "src/core/hash.h"
#include "src/core/time_type.h"
#include "src/steer/steer_type.h"

namespace medlargauge {

/// With more members than this the interval grows in proportion, so that a
/// member's traffic does not.
inline constexpr size_t kPaceMembers = 48;

/// Returns the interval between the statuses of one member. Thread-safe.
/// @param members others in the fleet
inline Duration StatusInterval(MemberRole role, size_t members) {
  // In a small fleet; three of an agent fit into the silence of the roster.
  constexpr Duration kAgent = Milliseconds(300);
  constexpr Duration kBalancer = Milliseconds(450);
  return (role == MemberRole::kAgent ? kAgent : kBalancer) *
         static_cast<int64_t>(std::max(members, kPaceMembers)) /
         static_cast<int64_t>(kPaceMembers);
}

/// Returns how long a member that hears nobody waits before it asks again: the
/// answers are long in a large fleet that starts at once. Thread-safe.
/// @param attempts made so far, at least one
inline Duration JoinRetryDelay(uint32_t attempts) {
  constexpr uint32_t kMaxDoublings = 3;
  return Milliseconds(250) * (1 << std::min(attempts - 1, kMaxDoublings));
}

/// When the next status to everybody is due. Not thread-safe.
class StatusSchedule {
 public:
  /// @param tick IsDue is asked this often; half of it does not delay a status
  /// @param seed keeps members that start together from speaking together
  StatusSchedule(MemberRole role, Duration tick, uint64_t seed)
      : m_role(role), m_tick(tick), m_seed(seed) {}

  /// Returns whether a status is due.
  bool IsDue(TimePoint now) const { return now >= m_deadline; }

  /// A status was sent to everybody.
  void OnSent(TimePoint now, size_t members) {
    constexpr int64_t kParts = 256;
    const Duration interval = StatusInterval(m_role, members);
    // Whoever started together or learnt of many others together must not
    // speak together from then on.
    const bool alike = interval <= m_interval * 5 / 4;
    const auto part = static_cast<int64_t>(MixHash(m_seed, ++m_sent) % kParts);
    m_deadline =
        now + (alike ? interval : interval * part / kParts) - m_tick / 2;
    m_interval = interval;
  }

 private:
  MemberRole m_role;       ///< As constructed.
  Duration m_tick;         ///< As constructed.
  uint64_t m_seed;         ///< As constructed.
  uint64_t m_sent = 0;     ///< Statuses so far.
  Duration m_interval{};   ///< After the last.
  TimePoint m_deadline{};  ///< Of the next.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STEER_STATUS_SCHEDULE_H_

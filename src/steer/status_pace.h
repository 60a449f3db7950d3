// @file status_pace.h How often members say that they live.
#ifndef MEDLARGAUGE_STEER_STATUS_PACE_H_
#define MEDLARGAUGE_STEER_STATUS_PACE_H_

#include <algorithm>
#include <cstdint>

#include "src/core/hash.h"
#include "src/core/time_type.h"

namespace medlargauge {

/// With more members than this the interval grows in proportion, so that a
/// member's traffic does not.
inline constexpr size_t kPaceMembers = 48;

/// Returns the interval between the statuses of one member. Thread-safe.
/// @param base interval of a small fleet; @param members others in the fleet
inline Duration StatusInterval(Duration base, size_t members) {
  return base * static_cast<int64_t>(std::max(members, kPaceMembers)) /
         static_cast<int64_t>(kPaceMembers);
}

/// When the next status to everybody is due. Not thread-safe.
class StatusPace {
 public:
  /// @param base see StatusInterval
  /// @param tick IsDue is asked this often; half of it does not delay a status
  /// @param seed keeps members that start together from speaking together
  StatusPace(Duration base, Duration tick, uint64_t seed)
      : m_base(base), m_tick(tick), m_seed(seed) {}

  /// Returns whether a status is due.
  bool IsDue(TimePoint now) const { return now >= m_deadline; }

  /// A status was sent to everybody.
  void OnSent(TimePoint now, size_t members) {
    constexpr int64_t kParts = 256;
    const Duration interval = StatusInterval(m_base, members);
    const auto part = static_cast<int64_t>(MixHash(m_seed, 0) % kParts);
    const Duration first = interval * part / kParts;
    m_deadline = now + (m_spoke ? interval : first) - m_tick / 2;
    m_spoke = true;
  }

 private:
  Duration m_base;         ///< As constructed.
  Duration m_tick;         ///< As constructed.
  uint64_t m_seed;         ///< As constructed.
  bool m_spoke = false;    ///< A first status was sent.
  TimePoint m_deadline{};  ///< Of the next.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STEER_STATUS_PACE_H_

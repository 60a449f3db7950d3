// @file status_schedule.h Intervals of status messages and join retries.
#ifndef MEDLARGAUGE_FORWARDING_STATUS_SCHEDULE_H_
#define MEDLARGAUGE_FORWARDING_STATUS_SCHEDULE_H_

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <set>
#include <vector>

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

/// Schedules the statuses that a member sends to others. Each receiver has its
/// own turn, so that at any time some receivers have just heard the member. Not
/// thread-safe.
class StatusSchedule {
 public:
  /// @param tick interval at which TakeDue is called; deadlines are half of it
  ///     earlier, so that the mean interval between statuses is as intended
  /// @param seed spreads the statuses of members that start together
  StatusSchedule(MemberRole role, Duration tick, uint64_t seed)
      : m_role(role), m_tick(tick), m_seed(seed) {}

  /// Returns the receivers to which a status must be sent now.
  /// @param receivers all members that get statuses; a new one has been sent
  ///     its first status already
  /// @param members number of other members in the fleet
  std::vector<MemberId> TakeDue(TimePoint now,
                                const std::vector<MemberId>& receivers,
                                size_t members) {
    const Duration interval = StatusInterval(m_role, members);
    std::vector<MemberId> due;
    for (const MemberId receiver : receivers) {
      const auto [found, is_new] = m_turns.try_emplace(receiver);
      Turn& turn = found->second;
      turn.deadline = is_new ? RandomTime(now, interval)
                             : std::min(turn.deadline, now + interval);
      if (turn.deadline > now) {
        continue;
      }
      due.push_back(receiver);
      // Members that discovered many others at the same time would send in step
      // from then on.
      const bool unchanged = interval <= turn.interval * 5 / 4;
      turn.deadline =
          unchanged ? now + interval - m_tick / 2 : RandomTime(now, interval);
      turn.interval = interval;
    }
    if (m_turns.size() > receivers.size()) {
      const std::set<MemberId> current(receivers.begin(), receivers.end());
      for (auto it = m_turns.begin(); it != m_turns.end();) {
        it = current.count(it->first) > 0 ? std::next(it) : m_turns.erase(it);
      }
    }
    return due;
  }

  /// Gives all receivers a new turn after a status was sent to each.
  /// @param members number of other members in the fleet
  void OnSentToAll(TimePoint now, size_t members) {
    for (auto& [receiver, turn] : m_turns) {
      turn.deadline = RandomTime(now, StatusInterval(m_role, members));
    }
  }

 private:
  /// When a receiver gets its next status.
  struct Turn {
    TimePoint deadline;    ///< Of that status.
    Duration interval{0};  ///< Between it and the one before.
  };

  /// Returns a time within the next interval.
  TimePoint RandomTime(TimePoint now, Duration interval) {
    constexpr int64_t kParts = 256;
    const auto part = static_cast<int64_t>(MixHash(m_seed, ++m_drawn) % kParts);
    return now + interval * (part + 1) / kParts - m_tick / 2;
  }

  MemberRole m_role;                 ///< Role of this member.
  Duration m_tick;                   ///< Interval of calls to TakeDue.
  uint64_t m_seed;                   ///< Seed of the spread.
  uint64_t m_drawn = 0;              ///< Random times so far.
  std::map<MemberId, Turn> m_turns;  ///< By receiver.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_STATUS_SCHEDULE_H_

// @file status_schedule.h Intervals of status messages and join retries.
#ifndef MEDLARGAUGE_FORWARDING_STATUS_SCHEDULE_H_
#define MEDLARGAUGE_FORWARDING_STATUS_SCHEDULE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
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

  /// Adds a receiver, unless it is one. It has been sent its first status.
  /// @param members number of other members in the fleet
  void Add(TimePoint now, MemberId receiver, size_t members) {
    const auto [found, is_new] = m_turns.try_emplace(receiver);
    if (is_new) {
      found->second.deadline = RandomTime(now, StatusInterval(m_role, members));
      m_queue.insert({found->second.deadline, receiver});
    }
  }

  /// Returns the receivers to which a status must be sent now. A receiver that
  /// is no member any more must be removed.
  /// @param members number of other members in the fleet
  std::vector<MemberId> TakeDue(TimePoint now, size_t members) {
    const Duration interval = StatusInterval(m_role, members);
    std::vector<MemberId> due;
    while (!m_queue.empty() && m_queue.begin()->first <= now) {
      const MemberId receiver = m_queue.begin()->second;
      m_queue.erase(m_queue.begin());
      Turn& turn = m_turns[receiver];
      // Members that discovered many others at the same time would send in step
      // from then on.
      const bool unchanged = interval <= turn.interval * 5 / 4;
      turn.deadline =
          unchanged ? now + interval - m_tick / 2 : RandomTime(now, interval);
      turn.interval = interval;
      m_queue.insert({turn.deadline, receiver});
      due.push_back(receiver);
      if (due.size() == m_turns.size()) {
        break;  // Each receiver has one turn at a time.
      }
    }
    return due;
  }

  /// Removes a receiver, if it is one.
  void Remove(MemberId receiver) {
    const auto found = m_turns.find(receiver);
    if (found != m_turns.end()) {
      m_queue.erase({found->second.deadline, receiver});
      m_turns.erase(found);
    }
  }

  /// Gives all receivers a new turn after a status was sent to each.
  /// @param members number of other members in the fleet
  void OnSentToAll(TimePoint now, size_t members) {
    m_queue.clear();
    for (auto& [receiver, turn] : m_turns) {
      turn.deadline = RandomTime(now, StatusInterval(m_role, members));
      m_queue.insert({turn.deadline, receiver});
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
  std::set<std::pair<TimePoint, MemberId>> m_queue;  ///< Earliest turn first.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_STATUS_SCHEDULE_H_

// @file event_queue.h Event queue of a simulation, which also holds its clock.
#ifndef MEDLARGAUGE_SCENARIO_EVENT_QUEUE_H_
#define MEDLARGAUGE_SCENARIO_EVENT_QUEUE_H_

#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "src/core/time_type.h"

namespace medlargauge {

/// Runs scheduled actions in the order of their times, and actions with equal
/// times in the order in which they were scheduled. Not thread-safe.
class EventQueue {
 public:
  using Action = std::function<void()>;

  /// Returns the current simulated time.
  TimePoint Now() const { return m_now; }

  /// Schedules `action` at `when`, or at the current time if `when` has passed.
  void At(TimePoint when, Action action);

  /// Schedules `action` at the current time plus `delay`.
  void After(Duration delay, Action action) {
    At(m_now + delay, std::move(action));
  }

  /// Runs all events that are due at or before `end`, including those that they
  /// schedule, then sets the current time to `end`.
  void RunUntil(TimePoint end);

 private:
  struct Event {
    TimePoint when;     ///< When the action is due.
    uint64_t sequence;  ///< Orders events that are due at the same time.
    Action action;      ///< Called once when the event is due.
  };
  struct IsLater {
    bool operator()(const Event& a, const Event& b) const {
      return a.when != b.when ? a.when > b.when : a.sequence > b.sequence;
    }
  };

  // Starts above zero, so that a default-constructed deadline has passed.
  TimePoint m_now{Seconds(1000)};  ///< Current simulated time.
  uint64_t m_next_sequence = 0;    ///< Sequence of the next event.
  std::priority_queue<Event, std::vector<Event>, IsLater>
      m_events;  ///< Earliest first.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_EVENT_QUEUE_H_

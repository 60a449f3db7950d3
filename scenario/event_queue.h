// @file event_queue.h Simulated time: events in a fixed order.
#ifndef MEDLARGAUGE_SCENARIO_EVENT_QUEUE_H_
#define MEDLARGAUGE_SCENARIO_EVENT_QUEUE_H_

#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "src/core/time_type.h"

namespace medlargauge {

/// Runs actions at their times; equal times run in the order of scheduling.
/// Not thread-safe.
class EventQueue {
 public:
  using Action = std::function<void()>;

  /// Returns the current simulated time.
  TimePoint Now() const { return m_now; }

  /// Schedules `action` at `when`, or now if that has passed.
  void At(TimePoint when, Action action);

  /// Schedules `action` after `delay`.
  void After(Duration delay, Action action) {
    At(m_now + delay, std::move(action));
  }

  /// Runs all events up to `end`, then sets the time to `end`.
  void RunUntil(TimePoint end);

 private:
  struct Event {
    TimePoint when;     ///< Due time.
    uint64_t sequence;  ///< Breaks ties.
    Action action;      ///< What to do.
  };
  struct IsLater {
    bool operator()(const Event& a, const Event& b) const {
      return a.when != b.when ? a.when > b.when : a.sequence > b.sequence;
    }
  };

  // Starts above zero, so that a default deadline lies in the past.
  TimePoint m_now{Seconds(1000)};  ///< Current time.
  uint64_t m_next_sequence = 0;    ///< Of the next event.
  std::priority_queue<Event, std::vector<Event>, IsLater> m_events;  ///< Due.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_EVENT_QUEUE_H_

// @file event_queue.cc A priority queue of actions.
#include "scenario/event_queue.h"

#include <algorithm>
#include <utility>

namespace medlargauge {

void EventQueue::At(TimePoint when, Action action) {
  m_events.push(
      Event{std::max(when, m_now), m_next_sequence++, std::move(action)});
}

void EventQueue::RunUntil(TimePoint end) {
  while (!m_events.empty() && m_events.top().when <= end) {
    // The queue's top is const only to protect its order; the event is removed
    // before anything else looks at it.
    Event event = std::move(const_cast<Event&>(m_events.top()));
    m_events.pop();
    m_now = event.when;
    event.action();
  }
  m_now = end;
}

}  // namespace medlargauge

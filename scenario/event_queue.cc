// @file event_queue.cc Implements the event queue as a priority queue.
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
    // top() is const to protect the order of the heap. Moving from it is safe,
    // because pop() removes the event without reading its action.
    Event event = std::move(const_cast<Event&>(m_events.top()));
    m_events.pop();
    m_now = event.when;
    event.action();
  }
  m_now = end;
}

}  // namespace medlargauge

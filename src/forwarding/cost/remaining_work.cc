// @file remaining_work.cc Slots of the requests at a server.
#include "src/forwarding/cost/remaining_work.h"

#include <algorithm>

namespace medlargauge {

void RemainingWork::Start(TimePoint now,
                          uint64_t id,
                          SocketAddress4 kind,
                          uint32_t slots) {
  if (m_by_id.count(id) > 0) {
    return;
  }
  m_requests.push_back({id, kind, std::nullopt});
  m_by_id[id] = std::prev(m_requests.end());
  FillSlots(now, slots);
}

std::optional<Duration> RemainingWork::End(TimePoint now,
                                           uint64_t id,
                                           uint32_t slots) {
  const auto found = m_by_id.find(id);
  if (found == m_by_id.end()) {
    return std::nullopt;
  }
  const std::optional<TimePoint> slot_since = found->second->slot_since;
  m_running -= slot_since.has_value() ? 1 : 0;
  m_requests.erase(found->second);
  m_by_id.erase(found);
  FillSlots(now, slots);
  return slot_since.has_value() ? std::make_optional(now - *slot_since)
                                : std::nullopt;
}

void RemainingWork::Clear() {
  m_requests.clear();
  m_by_id.clear();
  m_running = 0;
}

void RemainingWork::FillSlots(TimePoint now, uint32_t slots) {
  for (auto it = m_requests.begin();
       it != m_requests.end() && m_running < slots; ++it) {
    if (!it->slot_since.has_value()) {
      it->slot_since = now;
      ++m_running;
    }
  }
}

Duration RemainingWork::WaitingTime(TimePoint now,
                                    const CostModel& costs,
                                    bool is_cold,
                                    uint32_t slots,
                                    uint32_t expected) const {
  if (m_requests.size() + expected < slots) {
    return {};
  }
  // The first of the running requests ends after about 1/slots of their mean
  // remaining time; each one that waits delays by 1/slots of its time.
  Duration running{};
  Duration waiting = costs.ServiceTime(now, {}, is_cold).expected * expected;
  for (const Request& request : m_requests) {
    if (request.slot_since.has_value()) {
      running += costs.RemainingTime(now, request.kind,
                                     now - *request.slot_since, is_cold);
    } else {
      waiting += costs.ServiceTime(now, request.kind, is_cold).expected;
    }
  }
  // Requests that are expected fill free slots first.
  const size_t occupied = m_requests.size();
  if (occupied < slots && expected > 0) {
    waiting -= waiting * static_cast<int64_t>(slots - occupied) / expected;
  }
  return running / slots / std::max(m_running, 1U) + waiting / slots;
}

Duration RemainingWork::MeanAge(TimePoint now, uint32_t slots) const {
  Duration sum{};
  for (const Request& request : m_requests) {
    if (!request.slot_since.has_value()) {
      break;  // Those behind it wait as well.
    }
    sum += now - *request.slot_since;
  }
  return sum / static_cast<int64_t>(slots);
}

Duration RemainingWork::Total(TimePoint now,
                              const CostModel& costs,
                              bool is_cold) const {
  Duration total{};
  for (const Request& request : m_requests) {
    total += request.slot_since.has_value()
                 ? costs.RemainingTime(now, request.kind,
                                       now - *request.slot_since, is_cold)
                 : costs.ServiceTime(now, request.kind, is_cold).expected;
  }
  return total;
}

}  // namespace medlargauge

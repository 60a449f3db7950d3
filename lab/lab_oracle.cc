// @file lab_oracle.cc What the servers of a scenario could do at best.
#include "lab/lab_oracle.h"

#include <algorithm>
#include <optional>

#include "lab/lab_oracle_service.h"

namespace medlargauge::lab {
namespace {

/// Interval at which requests that can't be answered in time are sorted out. It
/// bounds the run time with thousands of servers.
constexpr Duration kSortInterval = Milliseconds(2);

}  // namespace

namespace detail {

void OracleService::AddFault(const Fault& fault) {
  switch (fault.type) {
    case FaultType::kPowerOff:
      m_events.push({fault.start, EventKind::kPowerOff, 0});
      m_events.push({fault.start + fault.duration, EventKind::kPowerOn, 0});
      break;
    case FaultType::kCrashServers:
    case FaultType::kUnresponsiveServers:
    case FaultType::kFailingServers:
    case FaultType::kResettingServers:
    case FaultType::kRefusingServers:
    case FaultType::kSlowServers:
    case FaultType::kDrainServers:
      if (fault.service.empty() || fault.service == m_model.name) {
        m_events.push({fault.start, EventKind::kServersDown, fault.count});
        m_events.push(
            {fault.start + fault.duration, EventKind::kServersUp, fault.count});
      }
      break;
    default:
      break;
  }
}

void OracleService::Run() {
  for (size_t i = 0; i < m_slots.size(); ++i) {
    m_order[m_slots[i].speed].insert({Duration(), i});
  }
  while (!m_events.empty()) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.when;
    Handle(event);
    if (m_now >= m_next_sort) {
      SortOut();
    }
    Dispatch();
    DispatchLate();
  }
  for (const auto& [last_start, index] : m_waiting) {
    End(index, false);
  }
  for (const auto& [worth, index] : m_late) {
    End(index, false);
  }
}

void OracleService::Handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kServersDown:
    case EventKind::kServersUp:
      SetServersUsable(event.index, event.kind == EventKind::kServersUp);
      break;
    case EventKind::kPowerOff:
    case EventKind::kPowerOn:
      SetPower(event.kind == EventKind::kPowerOn);
      break;
    case EventKind::kArrival:
      Enqueue(event.index);
      break;
    case EventKind::kDone: {
      Slot& slot = m_slots[event.index];
      // The slot may have lost the request with its power.
      if (slot.request.has_value() && slot.free_at == m_now) {
        End(*slot.request, true);
        slot.request.reset();
      }
      break;
    }
  }
}

void OracleService::SetServersUsable(size_t count, bool usable) {
  std::vector<size_t> slots(m_slots.size());
  for (size_t i = 0; i < slots.size(); ++i) {
    slots[i] = i;
  }
  std::stable_sort(slots.begin(), slots.end(), [this](size_t a, size_t b) {
    return m_slots[a].speed < m_slots[b].speed;
  });
  slots.resize(std::min<size_t>(slots.size(), count * m_model.slots));
  for (const size_t index : slots) {
    const Slot& slot = m_slots[index];
    if (usable) {
      m_order[slot.speed].insert({slot.free_at, index});
    } else {
      m_order[slot.speed].erase({slot.free_at, index});
    }
  }
}

void OracleService::SetPower(bool on) {
  m_warm_at = on ? m_now + m_model.warmup_time : m_warm_at;
  m_next_sort = m_now;
  for (size_t i = 0; i < m_slots.size(); ++i) {
    Slot& slot = m_slots[i];
    m_order[slot.speed].erase({slot.free_at, i});
    slot.free_at = m_now;
    if (on) {
      m_order[slot.speed].insert({slot.free_at, i});
    }
    if (slot.request.has_value()) {
      const size_t lost = *slot.request;
      slot.request.reset();
      if (m_requests[lost].model->repeatable) {
        Enqueue(lost);
      } else {
        End(lost, false);
      }
    }
  }
}

Duration OracleService::LastStart(size_t index) const {
  const OracleRequest& request = m_requests[index];
  const Duration last_start =
      request.GoalDeadline() -
      Duration(static_cast<int64_t>(static_cast<double>(request.work.count()) /
                                    m_best_speed));
  // A request that would be late anyway waits for its turn.
  const bool by_start = m_waiting_order == OracleOrder::kLastStart &&
                        last_start >= request.reaches;
  return by_start ? last_start : request.GoalDeadline();
}

void OracleService::Enqueue(size_t index) {
  m_waiting.insert({LastStart(index), index});
}

void OracleService::MakeLate(size_t index) {
  const OracleRequest& request = m_requests[index];
  m_waiting.erase({LastStart(index), index});
  m_late.insert({-request.Density(request.model->late_worth), index});
}

void OracleService::SortOut() {
  m_next_sort = m_now + kSortInterval;
  double total_speed = 0;
  double best_speed = 0;
  for (const auto& [speed, order] : m_order) {
    total_speed += speed * static_cast<double>(order.size());
    best_speed = order.empty() ? best_speed : speed;
  }
  if (total_speed == 0) {
    return;
  }
  // Whenever a request would start too late, the one with the lowest worth for
  // its work among those before gives way.
  WorthOrder kept;
  std::vector<size_t> dropped;
  Duration work_ahead{};
  for (const auto& [last_start, index] : m_waiting) {
    const OracleRequest& request = m_requests[index];
    const Duration deadline = request.GoalDeadline();
    // A request that no server can answer in time gives way first, but only
    // while others could be late.
    const Duration own_time = WorkTime(index, best_speed);
    const bool is_hopeless = m_now + own_time > deadline;
    if (is_hopeless && !m_late.empty()) {
      dropped.push_back(index);
      continue;
    }
    kept.insert({request.Density(is_hopeless ? request.model->late_worth
                                             : request.model->worth),
                 index});
    const auto start = [&] {
      return m_now +
             Duration(static_cast<int64_t>(
                 static_cast<double>(work_ahead.count()) / total_speed));
    };
    bool is_kept = true;
    while (is_kept && !is_hopeless && start() + own_time > deadline) {
      const size_t least = kept.begin()->second;
      kept.erase(kept.begin());
      dropped.push_back(least);
      is_kept = least != index;
      work_ahead -= is_kept ? WorkTime(least, 1) : Duration();
    }
    work_ahead += is_kept ? WorkTime(index, 1) : Duration();
  }
  for (const size_t index : dropped) {
    MakeLate(index);
  }
}

Duration OracleService::WorkTime(size_t index, double speed) const {
  const double factor = m_now < m_warm_at ? m_model.warmup_factor : 1.0;
  return Duration(static_cast<int64_t>(
      static_cast<double>(m_requests[index].work.count()) * factor / speed));
}

std::optional<OracleService::Choice> OracleService::ChooseSlot(
    size_t index,
    const NextSlots& next_slots) const {
  std::optional<Choice> best;
  bool any_free = false;
  for (const auto& [speed, order] : m_order) {
    const auto next = next_slots.at(speed);
    if (next == order.end()) {
      continue;
    }
    const Duration end = std::max(next->first, m_now) + WorkTime(index, speed);
    any_free = any_free || next->first <= m_now;
    if (!best.has_value() || end <= best->end) {
      best = Choice{next->second, speed, end, false};
    }
  }
  if (best.has_value()) {
    best->any_free = any_free;
  }
  return best;
}

void OracleService::Dispatch() {
  NextSlots next_slots;
  for (const auto& [speed, order] : m_order) {
    next_slots[speed] = order.begin();
  }
  std::vector<std::pair<size_t, size_t>> starts;
  std::vector<size_t> too_late;
  for (const auto& [last_start, index] : m_waiting) {
    const Duration deadline = m_requests[index].GoalDeadline();
    const std::optional<Choice> choice = ChooseSlot(index, next_slots);
    if (!choice.has_value() || !choice->any_free) {
      break;
    }
    // Otherwise it takes nobody's place.
    const bool others_wait = !m_late.empty();
    if (choice->end > deadline && others_wait) {
      too_late.push_back(index);
      continue;
    }
    ++next_slots[choice->speed];
    if (m_slots[choice->slot].free_at <= m_now) {
      starts.emplace_back(index, choice->slot);
    }
  }
  for (const auto& [index, slot] : starts) {
    m_waiting.erase({LastStart(index), index});
    Start(index, slot);
  }
  for (const size_t index : too_late) {
    MakeLate(index);
  }
}

std::optional<size_t> OracleService::FindFreeSlot() const {
  for (auto order = m_order.rbegin(); order != m_order.rend(); ++order) {
    if (!order->second.empty() && order->second.begin()->first <= m_now) {
      return order->second.begin()->second;
    }
  }
  return std::nullopt;
}

void OracleService::DispatchLate() {
  while (m_waiting.empty() && !m_late.empty()) {
    const std::optional<size_t> slot = FindFreeSlot();
    if (!slot.has_value()) {
      return;
    }
    const size_t index = m_late.begin()->second;
    m_late.erase(m_late.begin());
    const Duration end = m_now + WorkTime(index, m_slots[*slot].speed);
    if (end > m_requests[index].LastDeadline()) {
      End(index, false);
    } else {
      Start(index, *slot);
    }
  }
}

void OracleService::Start(size_t index, size_t slot_index) {
  Slot& slot = m_slots[slot_index];
  SlotOrder& order = m_order[slot.speed];
  order.erase({slot.free_at, slot_index});
  slot.free_at = m_now + WorkTime(index, slot.speed);
  slot.request = index;
  order.insert({slot.free_at, slot_index});
  m_events.push({slot.free_at, EventKind::kDone, slot_index});
}

void OracleService::End(size_t index, bool answered) {
  const OracleRequest& request = m_requests[index];
  m_result->classes[request.model->name].RecordEnd(
      *request.model,
      answered ? std::make_optional(m_now + detail::kCallerNetworkDelay -
                                    request.arrived)
               : std::nullopt);
}

}  // namespace detail

namespace {

/// Serves the requests of one service.
Result ServeService(const Scenario& scenario,
                    const ServiceModel& service_model,
                    const std::vector<Arrival>& arrivals,
                    detail::OracleOrder order) {
  Result result;
  detail::OracleService service(service_model, order, &result);
  for (const Fault& fault : scenario.faults) {
    service.AddFault(fault);
  }
  for (const Arrival& arrival : arrivals) {
    const ClassModel& model = scenario.classes[arrival.class_index];
    if (model.service == service_model.name) {
      ClassResult& class_result = result.classes[model.name];
      ++class_result.asked;
      class_result.possible_worth += model.worth;
      service.AddArrival(model, arrival);
    }
  }
  service.Run();
  return result;
}

}  // namespace

Result ServeByOracle(const Scenario& scenario,
                     const std::vector<Arrival>& arrivals) {
  Result result;
  for (const ClassModel& model : scenario.classes) {
    result.classes[model.name];
  }
  for (const ServiceModel& service : scenario.services) {
    const Result by_goal =
        ServeService(scenario, service, arrivals, detail::OracleOrder::kGoal);
    const Result by_start = ServeService(scenario, service, arrivals,
                                         detail::OracleOrder::kLastStart);
    const bool goal_is_better =
        by_goal.Total().earned_worth >= by_start.Total().earned_worth;
    for (const auto& [name, class_result] :
         (goal_is_better ? by_goal : by_start).classes) {
      result.classes[name].Add(class_result);
    }
  }
  return result;
}

}  // namespace medlargauge::lab

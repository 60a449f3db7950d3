// @file lab_oracle.cc What the servers of a scenario could do at best.
#include "lab/lab_oracle.h"

#include <algorithm>
#include <optional>
#include <queue>
#include <set>
#include <tuple>

#include "lab/lab_engine.h"

namespace medlargauge::lab {
namespace {

/// Interval at which requests that can't be answered in time are sorted out. It
/// bounds the run time with thousands of servers.
constexpr Duration kSortInterval = Milliseconds(2);
/// Waiting requests that are considered while only slow slots are free.
constexpr size_t kMaxLookahead = 64;

/// A request of the service.
struct OracleRequest {
  const ClassModel* model = nullptr;  ///< Its class.
  Duration arrived{};                 ///< At its caller.
  Duration reaches{};                 ///< When a server can have it.
  Duration work{};                    ///< Time in a slot at speed 1.

  /// Returns the worth of an answer per second of work.
  double Density(double worth) const {
    return worth / std::chrono::duration<double>(work).count();
  }
  /// Returns the last end of the work for an answer within the goal.
  Duration GoalDeadline() const {
    return arrived + model->response_goal - detail::kCallerNetworkDelay;
  }
  /// Returns the same for an answer before the caller gives up.
  Duration LastDeadline() const {
    return arrived + model->caller_timeout - detail::kCallerNetworkDelay;
  }
};

/// One service. Times count from the start of the load.
class OracleService {
 public:
  OracleService(const ServiceModel& model, Result* result)
      : m_model(model), m_result(result) {
    for (uint32_t i = 0; i < model.servers; ++i) {
      for (uint32_t slot = 0; slot < model.slots; ++slot) {
        m_slots.push_back({model.SpeedOf(i), Duration(), std::nullopt});
      }
    }
  }

  void AddArrival(const ClassModel& model, const Arrival& arrival) {
    const Duration opening =
        detail::kCallerNetworkDelay * 2 + detail::kHostNetworkDelay;
    const Duration delivery =
        detail::kCallerNetworkDelay + detail::kHostNetworkDelay;
    const Duration reaches =
        arrival.at + delivery + (model.long_flows ? Duration() : opening);
    m_requests.push_back({&model, arrival.at, reaches, arrival.work});
    const size_t index = m_requests.size() - 1;
    m_events.push({reaches, EventKind::kArrival, index});
  }

  void AddFault(const Fault& fault);
  void Run();

 private:
  enum class EventKind : uint8_t {
    kServersDown,
    kServersUp,
    kPowerOff,
    kPowerOn,
    kDone,
    kArrival
  };
  struct Event {
    Duration when;
    EventKind kind;
    size_t index;  ///< Request, slot or number of servers.

    friend bool operator>(const Event& a, const Event& b) {
      return std::tie(a.when, a.kind, a.index) >
             std::tie(b.when, b.kind, b.index);
    }
  };
  struct Slot {
    double speed = 1;               ///< Work times are divided by it.
    Duration free_at{};             ///< End of the last request.
    std::optional<size_t> request;  ///< In progress.
  };
  /// The slot where a request ends first.
  struct Choice {
    size_t slot = 0;
    double speed = 0;       ///< Of the slot.
    Duration end{};         ///< When the request would end.
    bool any_free = false;  ///< A slot of any speed is free now.
  };
  /// How many of the first slots of each speed are taken by other requests that
  /// do better to wait for them.
  using Reserved = std::map<double, size_t>;
  /// Slots of one speed, the earliest free one first.
  using SlotOrder = std::set<std::pair<Duration, size_t>>;
  /// Requests that wait, by goal deadline or by worth.
  using DeadlineOrder = std::set<std::pair<Duration, size_t>>;
  using WorthOrder = std::set<std::pair<double, size_t>>;

  void Handle(const Event& event);
  void SetServersUsable(size_t count, bool usable);
  void SetPower(bool on);
  void Enqueue(size_t index);
  /// Moves requests to m_late until the others can be answered in time.
  void SortOut();
  void MakeLate(size_t index);
  /// Starts requests in free slots.
  void Dispatch();
  void DispatchLate();
  /// Returns the time that a request takes at a speed if it starts now.
  Duration WorkTime(size_t index, double speed) const;
  /// Returns nullopt if no slot is usable.
  std::optional<Choice> ChooseSlot(size_t index,
                                   const Reserved& reserved) const;
  /// Returns the fastest slot that is free now.
  std::optional<size_t> FindFreeSlot() const;
  void Start(size_t index, size_t slot);
  void End(size_t index, bool answered);

  const ServiceModel& m_model;
  Result* m_result;
  std::vector<OracleRequest> m_requests;
  std::vector<Slot> m_slots;
  std::map<double, SlotOrder> m_order;  ///< Usable slots by speed.
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  DeadlineOrder m_waiting;  ///< May be answered in time.
  WorthOrder m_late;        ///< Can't be; the most worth for the work first.
  Duration m_now{};
  Duration m_next_sort{};
  Duration m_warm_at{};  ///< End of the warm-up after a loss of power.
};

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
  for (const auto& [deadline, index] : m_waiting) {
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

void OracleService::Enqueue(size_t index) {
  m_waiting.insert({m_requests[index].GoalDeadline(), index});
}

void OracleService::MakeLate(size_t index) {
  const OracleRequest& request = m_requests[index];
  m_waiting.erase({request.GoalDeadline(), index});
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
  // Earliest deadline first; whenever one would be missed, the request with
  // the lowest worth for its work among those before gives way.
  WorthOrder kept;
  std::vector<size_t> dropped;
  Duration work_ahead{};
  for (const auto& [deadline, index] : m_waiting) {
    const OracleRequest& request = m_requests[index];
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
    const Reserved& reserved) const {
  std::optional<Choice> best;
  bool any_free = false;
  for (const auto& [speed, order] : m_order) {
    const auto taken = reserved.find(speed);
    const size_t skipped = taken == reserved.end() ? 0 : taken->second;
    if (order.size() <= skipped) {
      continue;
    }
    const auto next =
        std::next(order.begin(), static_cast<std::ptrdiff_t>(skipped));
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
  Reserved reserved;
  std::vector<std::pair<size_t, size_t>> starts;
  std::vector<size_t> too_late;
  size_t considered = 0;
  for (const auto& [deadline, index] : m_waiting) {
    const std::optional<Choice> choice = ChooseSlot(index, reserved);
    if (!choice.has_value() || !choice->any_free ||
        ++considered > kMaxLookahead) {
      break;
    }
    // Otherwise it takes nobody's place.
    const bool others_wait = !m_late.empty();
    if (choice->end > deadline && others_wait) {
      too_late.push_back(index);
      continue;
    }
    ++reserved[choice->speed];
    if (m_slots[choice->slot].free_at <= m_now) {
      starts.emplace_back(index, choice->slot);
    }
  }
  for (const auto& [index, slot] : starts) {
    m_waiting.erase({m_requests[index].GoalDeadline(), index});
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

}  // namespace

Result ServeByOracle(const Scenario& scenario,
                     const std::vector<Arrival>& arrivals) {
  Result result;
  for (const ClassModel& model : scenario.classes) {
    result.classes[model.name];
  }
  for (const ServiceModel& service_model : scenario.services) {
    OracleService service(service_model, &result);
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
  }
  return result;
}

}  // namespace medlargauge::lab

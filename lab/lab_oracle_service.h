// @file lab_oracle_service.h One service as the oracle serves it.
#ifndef MEDLARGAUGE_LAB_LAB_ORACLE_SERVICE_H_
#define MEDLARGAUGE_LAB_LAB_ORACLE_SERVICE_H_

#include <map>
#include <optional>
#include <queue>
#include <set>
#include <tuple>
#include <vector>

#include "lab/lab_engine.h"

namespace medlargauge::lab::detail {

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
    return arrived + model->response_goal - kCallerNetworkDelay;
  }
  /// Returns the same for an answer before the caller gives up.
  Duration LastDeadline() const {
    return arrived + model->caller_timeout - kCallerNetworkDelay;
  }
};

/// Order in which requests that may be answered in time start. Which one earns
/// more depends on the load; none is the best always.
enum class OracleOrder : uint8_t {
  kGoal,       ///< The earliest end of the goal first.
  kLastStart,  ///< The least time left until it has to start first.
};

/// One service. Times count from the start of the load.
class OracleService {
 public:
  /// @param model, result must outlive this object
  OracleService(const ServiceModel& model, OracleOrder order, Result* result)
      : m_model(model), m_waiting_order(order), m_result(result) {
    for (uint32_t i = 0; i < model.servers; ++i) {
      for (uint32_t slot = 0; slot < model.slots; ++slot) {
        m_slots.push_back({model.SpeedOf(i), Duration(), std::nullopt});
        m_best_speed = std::max(m_best_speed, model.SpeedOf(i));
      }
    }
  }

  void AddArrival(const ClassModel& model, const Arrival& arrival) {
    const Duration opening = kCallerNetworkDelay * 2 + kHostNetworkDelay;
    const Duration delivery = kCallerNetworkDelay + kHostNetworkDelay;
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
  /// Slots of one speed, the earliest free one first.
  using SlotOrder = std::set<std::pair<Duration, size_t>>;
  /// The first slot of each speed that no other request waits for.
  using NextSlots = std::map<double, SlotOrder::const_iterator>;
  /// Requests that wait, by the last useful start or by worth.
  using StartOrder = std::set<std::pair<Duration, size_t>>;
  using WorthOrder = std::set<std::pair<double, size_t>>;

  void Handle(const Event& event);
  void SetServersUsable(size_t count, bool usable);
  void SetPower(bool on);
  /// Returns the key of a request in m_waiting.
  Duration LastStart(size_t index) const;
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
                                   const NextSlots& next_slots) const;
  /// Returns the fastest slot that is free now.
  std::optional<size_t> FindFreeSlot() const;
  void Start(size_t index, size_t slot);
  void End(size_t index, bool answered);

  const ServiceModel& m_model;
  OracleOrder m_waiting_order;
  Result* m_result;
  std::vector<OracleRequest> m_requests;
  std::vector<Slot> m_slots;
  std::map<double, SlotOrder> m_order;  ///< Usable slots by speed.
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  /// May be answered in time.
  StartOrder m_waiting;
  WorthOrder m_late;        ///< Can't be; the most worth for the work first.
  double m_best_speed = 0;  ///< Of all slots, usable or not.
  Duration m_now{};
  Duration m_next_sort{};
  Duration m_warm_at{};  ///< End of the warm-up after a loss of power.
};

}  // namespace medlargauge::lab::detail

#endif  // MEDLARGAUGE_LAB_LAB_ORACLE_SERVICE_H_

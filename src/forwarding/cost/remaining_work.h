// @file remaining_work.h Requests at a backend server and the work that they
// still are.
#ifndef MEDLARGAUGE_FORWARDING_COST_REMAINING_WORK_H_
#define MEDLARGAUGE_FORWARDING_COST_REMAINING_WORK_H_

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "src/forwarding/cost/cost_model.h"

namespace medlargauge {

/// The requests at one backend server, in the order in which they arrived. The
/// server works on as many as it has slots; the next one gets the slot of the
/// one that ends. The time in a slot is therefore known without the waiting
/// time. Deterministic and not thread-safe.
class RemainingWork {
 public:
  /// Adds a request, unless it is there. @param id names the request
  void Start(TimePoint now, uint64_t id, SocketAddress4 kind, uint32_t slots);

  /// Removes a request, which was answered or dropped.
  /// @return how long it occupied a slot; nullopt if it had none or is unknown
  std::optional<Duration> End(TimePoint now, uint64_t id, uint32_t slots);

  /// Forgets all requests.
  void Clear();

  /// Returns how long a request that arrives now is expected to wait for a
  /// slot.
  /// @param expected requests that will arrive before it, as their flows have
  ///     been opened
  Duration WaitingTime(TimePoint now,
                       const CostModel& costs,
                       bool is_cold,
                       uint32_t slots,
                       uint32_t expected) const;

  /// Returns the mean over all slots of the time for which their requests have
  /// occupied them; a free slot counts as zero. Precondition: slots > 0.
  Duration MeanAge(TimePoint now, uint32_t slots) const;

  /// Returns the slot time that the server still has to spend on its requests.
  Duration Total(TimePoint now, const CostModel& costs, bool is_cold) const;

  /// Returns the number of requests.
  size_t Count() const { return m_requests.size(); }

 private:
  /// A request at the server.
  struct Request {
    uint64_t id = 0;                      ///< See Start.
    SocketAddress4 kind;                  ///< See Start.
    std::optional<TimePoint> slot_since;  ///< When it got its slot.
  };

  /// Gives free slots to the requests that wait longest.
  void FillSlots(TimePoint now, uint32_t slots);

  std::list<Request> m_requests;  ///< In order of arrival.
  /// By id.
  std::unordered_map<uint64_t, std::list<Request>::iterator> m_by_id;
  uint32_t m_running = 0;  ///< Requests that have a slot.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_COST_REMAINING_WORK_H_

// @file opening_queue.h New flows that wait until a server can take them.
#ifndef MEDLARGAUGE_FORWARDING_OPENING_QUEUE_H_
#define MEDLARGAUGE_FORWARDING_OPENING_QUEUE_H_

#include <map>
#include <tuple>
#include <vector>

#include "src/forwarding/forwarding_type.h"

namespace medlargauge {

/// Queue of new flows of one service at one balancer. Load that it answers: a
/// wave of callers that return after an outage, for whom the servers have no
/// room at first. A caller that was reset would try again within milliseconds,
/// and would use up its tries before there is room.
///
/// The queue learns how fast servers take flows: each flow that a server has
/// accepted from it releases two others, and without such an answer one flow is
/// released now and then. It refuses flows that would wait for too long even if
/// servers took flows from the queue only. Deterministic and not thread-safe.
class OpeningQueue {
 public:
  /// Interval at which one flow is released while servers accept none.
  static constexpr Duration kProbeInterval = Milliseconds(20);

  /// Adds a flow. Flows that can still be answered within their goal come
  /// first, by priority, then by the goal; late ones follow, by priority, then
  /// by their deadline.
  /// @param priority 0 is the most urgent
  /// @param goal when its answer becomes late; at most `deadline`
  /// @param deadline when the flow has to be given up
  /// @return false if the flow can't be expected to be served by then
  bool Add(TimePoint now,
           const FlowKey& flow,
           uint32_t priority,
           TimePoint goal,
           TimePoint deadline);

  /// Puts a released flow back at its place, as all servers returned it.
  void PutBack(TimePoint now, const FlowKey& flow);

  /// Records that a server accepted a flow, whether from the queue or not.
  void OnAccepted(TimePoint now, const FlowKey& flow);

  /// Forgets a flow, which was given up elsewhere.
  void Erase(const FlowKey& flow);

  /// Returns the flows to place now, and moves them out of the queue. Each has
  /// to be put back, accepted or erased later.
  std::vector<FlowKey> Release(TimePoint now);

  /// Returns and removes the waiting flows whose deadline has passed.
  std::vector<FlowKey> TakeExpired(TimePoint now);

  /// Returns the number of waiting flows.
  size_t Count() const { return m_waiting.size(); }

 private:
  /// Place of a flow in the queue: whether it is late, its priority, its goal
  /// or deadline, order of arrival.
  using Place = std::tuple<bool, uint32_t, TimePoint, uint64_t>;
  /// A waiting or released flow.
  struct Entry {
    Place place;           ///< Key in m_waiting while the flow waits.
    TimePoint deadline;    ///< When the flow has to be given up.
    bool waiting = false;  ///< In m_waiting, not released.
  };

  /// Moves waiting flows whose goal has passed behind the others.
  void MoveLateFlows(TimePoint now);

  /// Returns how many flows servers accept in a second.
  double AcceptedPerSecond(TimePoint now) const;

  std::map<FlowKey, Entry> m_entries;  ///< All flows.
  std::map<Place, FlowKey> m_waiting;  ///< Flows to release, first one first.
  uint64_t m_added = 0;                ///< Flows added so far.
  uint64_t m_credit = 0;               ///< Flows that may be released now.
  TimePoint m_next_probe;              ///< When one more may be released.
  TimePoint m_busy_since;              ///< When Add last found it empty.
  double m_accepted = 0;    ///< Accepted flows, decayed to m_accepted_at.
  TimePoint m_accepted_at;  ///< Time of the last update of m_accepted.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_OPENING_QUEUE_H_

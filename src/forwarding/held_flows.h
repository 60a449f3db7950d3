// @file held_flows.h What an agent knows of the flows that its server holds.
#ifndef MEDLARGAUGE_FORWARDING_HELD_FLOWS_H_
#define MEDLARGAUGE_FORWARDING_HELD_FLOWS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "src/core/time_type.h"

namespace medlargauge {

/// Set of the flows that a backend server may hold, for the denial of all
/// others. All packets of the server pass its agent, so the set is complete if
/// the agent's process has been there since the server started, or for longer
/// than any flow lives. Flows are named by their hash: where two share one, a
/// flow that is not held counts as held. Not thread-safe.
class HeldFlows {
 public:
  /// @param lifetime the longest time that a flow may be idle
  /// @param max_flows limit of the set; beyond it the set is never complete
  HeldFlows(Duration lifetime, size_t max_flows)
      : m_lifetime(lifetime), m_max_flows(max_flows) {}

  /// Records a packet of a flow, from or to the server.
  void OnPacket(TimePoint now, uint64_t flow_hash);
  /// Records that the server does not hold a flow.
  void OnDenied(uint64_t flow_hash) { m_last_packets.erase(flow_hash); }
  /// Records that no server runs. One that starts later holds no other flows.
  void OnServerDown(TimePoint now);
  /// Records that a server has made the first of its calls to this process, so
  /// that no earlier process of this agent has delivered a flow to it.
  void OnFirstCall(TimePoint now) { m_complete_at = now; }
  /// Records a call of another server instance that is not its first one.
  void OnOtherServer() { m_complete_at = m_started_at + m_lifetime; }
  /// Forgets idle flows. Call about every 100 ms, first when the process
  /// starts.
  void OnTick(TimePoint now);

  /// Returns whether each flow that the server holds is in the set.
  bool IsComplete(TimePoint now) const {
    return m_is_started && now >= m_complete_at && !m_is_overflown;
  }
  /// Returns whether the server may hold the flow, if the set is complete.
  bool MayHold(uint64_t flow_hash) const {
    return m_last_packets.count(flow_hash) > 0;
  }
  /// Returns the number of flows in the set.
  size_t Count() const { return m_last_packets.size(); }

 private:
  Duration m_lifetime;          ///< See the constructor.
  size_t m_max_flows;           ///< See the constructor.
  bool m_is_started = false;    ///< OnTick was called.
  bool m_is_overflown = false;  ///< A flow did not fit.
  TimePoint m_started_at;       ///< First OnTick.
  TimePoint m_complete_at;      ///< When the set is complete.
  TimePoint m_next_expiry;      ///< When OnTick looks for idle flows.
  std::unordered_map<uint64_t, TimePoint> m_last_packets;  ///< By flow hash.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_HELD_FLOWS_H_

// @file world_internal.h Flow of a caller, shared by the sources of World.
#ifndef MEDLARGAUGE_SCENARIO_WORLD_INTERNAL_H_
#define MEDLARGAUGE_SCENARIO_WORLD_INTERNAL_H_

#include "scenario/world.h"

namespace medlargauge {

/// Maximum number of requests of a flow. Each request advances the sequence
/// number by 1, so a packet whose sequence number is further from the SYN's
/// belongs to another connection. Request ids are unique over all
/// flows.
constexpr uint32_t kMaxRequestsPerFlow = 4096;

/// State of a flow at its caller.
enum class CallerState : uint8_t {
  kOpening,  ///< The opening packet has not been answered.
  kOpen,     ///< Accepted; sends requests.
  kClosing,  ///< The FIN has been sent but not acknowledged.
  kEnded     ///< Sends nothing more.
};

/// State of one flow at its caller.
struct World::CallerFlow {
  uint64_t instance = 0;                      ///< Index in World::m_flows.
  FlowPlan plan;                              ///< Behaviour of the flow.
  FiveTuple tuple;                            ///< Addresses and ports.
  FlowId flow;                                ///< Hash of `tuple`.
  uint32_t initial_sequence = 0;              ///< Sequence number of the SYN.
  CallerState state = CallerState::kOpening;  ///< Current state.
  TimePoint end;                              ///< No new request after this.
  uint32_t answered = 0;                      ///< Number of answered requests.
  uint64_t first_request_id = 0;              ///< Id of request number 0.
  bool refused = false;  ///< Was rejected before an acceptance arrived.
  bool broken = false;   ///< Failed after it was established.
  std::set<const AgentHost*> accepted_by;  ///< Hosts whose servers accepted.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_WORLD_INTERNAL_H_

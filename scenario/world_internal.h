// @file world_internal.h A caller's flow, shared by the sources of the world.
#ifndef MEDLARGAUGE_SCENARIO_WORLD_INTERNAL_H_
#define MEDLARGAUGE_SCENARIO_WORLD_INTERNAL_H_

#include "scenario/world.h"

namespace medlargauge {

/// Sequence numbers of a flow stay within this distance of its first.
constexpr uint32_t kMaxRequestsPerFlow = 4096;

/// Where a caller's flow stands.
enum class CallerState : uint8_t { kOpening, kOpen, kClosing, kEnded };

/// One flow as its caller sees it.
struct World::CallerFlow {
  uint64_t instance = 0;                      ///< Index of the flow.
  FlowPlan plan;                              ///< How it behaves.
  FiveTuple tuple;                            ///< Addresses and ports.
  FlowId flow;                                ///< Hash of `tuple`.
  uint32_t initial_sequence = 0;              ///< Of its SYN.
  CallerState state = CallerState::kOpening;  ///< See CallerState.
  TimePoint end;                              ///< No new request after this.
  uint32_t answered = 0;                      ///< Requests answered so far.
  uint64_t first_request_id = 0;              ///< Request ids count from here.
  bool refused = false;                       ///< Was told "not run".
  bool broken = false;                        ///< Counted as broken.
  std::set<const AgentHost*> accepted_by;     ///< Backend servers.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_WORLD_INTERNAL_H_

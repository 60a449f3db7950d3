// @file dead_flows.h Cost of the resets after a loss of all processes and
// servers.
#ifndef MEDLARGAUGE_LAB_DEAD_FLOWS_H_
#define MEDLARGAUGE_LAB_DEAD_FLOWS_H_

#include <cstdint>

#include "src/core/time_type.h"

namespace medlargauge::lab {

/// A fleet whose processes and servers have all just started, and callers that
/// still use flows of the servers before.
struct DeadFlowsConfig {
  uint32_t agents = 300;    ///< Each with a backend server.
  uint32_t balancers = 90;  ///< The flows are spread over them.
  uint32_t flows = 2000;    ///< Each sends its first packet at a random time.
  Duration spread = Seconds(1);  ///< Within which they do.
  bool use_queries = true;       ///< Otherwise each agent is asked by itself.
  /// Agents of each hundred that start after their server's first call, and so
  /// can't deny flows themselves.
  uint32_t late_agents_percent = 0;
};

/// What the resets cost.
struct DeadFlowsResult {
  uint64_t resets = 0;    ///< Flows that were reset.
  uint64_t messages = 0;  ///< Between balancers and agents, both directions.
  uint64_t bytes = 0;     ///< Of these messages, without packet headers.
  Duration median{};      ///< From the first packet of a flow to its reset.
  Duration percentile99{};
};

/// Plays the decisions of balancers and agents until each flow is reset, or 10
/// s have passed. The same configuration gives the same result. Thread-safe.
DeadFlowsResult ResetDeadFlows(const DeadFlowsConfig& config);

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_DEAD_FLOWS_H_

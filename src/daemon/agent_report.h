// @file agent_report.h What an agent shows of itself: metrics and status.
#ifndef MEDLARGAUGE_DAEMON_AGENT_REPORT_H_
#define MEDLARGAUGE_DAEMON_AGENT_REPORT_H_

#include <array>
#include <nlohmann/json.hpp>

#include "src/core/error_type.h"
#include "src/daemon/metrics.h"
#include "src/locate/agent.h"

namespace medlargauge {

/// Sets the metrics that tell of an agent's decisions. Precondition: the caller
/// holds the agent's mutex.
/// @param malformed datagrams refused before the agent saw them, by error kind
void SetAgentMetrics(const Agent& agent,
                     const std::array<uint64_t, kErrorKindCount>& malformed,
                     Metrics* gauges);

/// Adds the agent's part to a status. Precondition: as above.
void AddAgentStatus(const Agent& agent, nlohmann::json* status);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_AGENT_REPORT_H_

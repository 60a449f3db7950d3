// @file agent_report.h Metrics and status of an agent.
#ifndef MEDLARGAUGE_DAEMON_AGENT_REPORT_H_
#define MEDLARGAUGE_DAEMON_AGENT_REPORT_H_

#include <array>
#include <nlohmann/json.hpp>

#include "src/core/error_type.h"
#include "src/daemon/metrics.h"
#include "src/locate/agent.h"

namespace medlargauge {

/// Sets the metrics of an agent's decisions and flows.
/// Precondition: the caller holds the mutex that protects the agent.
/// @param malformed datagrams that were rejected before they reached the agent,
///     by error kind
void SetAgentMetrics(const Agent& agent,
                     const std::array<uint64_t, kErrorKindCount>& malformed,
                     Metrics* metrics);

/// Adds the fields of an agent to a status document.
/// Precondition: the caller holds the mutex that protects the agent.
void AddAgentStatus(const Agent& agent, nlohmann::json* status);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_AGENT_REPORT_H_

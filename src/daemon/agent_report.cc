// @file agent_report.cc Metrics and status from an agent's counters.
#include "src/daemon/agent_report.h"

#include "src/daemon/daemon_process.h"

namespace medlargauge {
namespace {

/// Returns how often the agent has broken an invariant.
uint64_t CountInvariantViolations(const AgentCounters& counters) {
  return counters.admissions_while_draining +
         counters.admissions_of_other_service + counters.flows_with_two_owners;
}

}  // namespace

void SetAgentMetrics(const Agent& agent,
                     const std::array<uint64_t, kErrorKindCount>& malformed,
                     Metrics* metrics) {
  const AgentCounters& counters = agent.Counters();
  uint64_t delivered = 0;
  for (const uint64_t count : counters.delivered) {
    delivered += count;
  }
  const auto rejected = [&counters](ErrorKind kind) {
    return counters.rejected[static_cast<size_t>(kind)];
  };
  metrics->Set(Metric::packets_delivered, delivered);
  metrics->Set(Metric::packets_forwarded, counters.forwarded);
  metrics->Set(Metric::flows_open, agent.OpenFlows());
  metrics->Set(Metric::flow_entries, agent.Flows().Size());
  metrics->Set(Metric::flows_handed_over, counters.handed_over);
  metrics->Set(Metric::flows_consulted, counters.consulted);
  metrics->Set(Metric::flows_searched, counters.searched);
  metrics->Set(Metric::flows_recovered,
               counters.delivered[static_cast<size_t>(Admission::kRecovered)]);
  metrics->Set(Metric::flows_taken_back, counters.flows_taken_back);
  metrics->Set(Metric::backups_skipped, counters.backups_skipped);
  metrics->Set(Metric::broken_flow_suspicions,
               rejected(ErrorKind::kFlowUnknown));
  metrics->Set(Metric::refusals, rejected(ErrorKind::kOverloaded));
  metrics->Set(Metric::invariant_violations,
               CountInvariantViolations(counters));
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    metrics->SetRejected(static_cast<ErrorKind>(i),
                         counters.rejected[i] + malformed[i]);
  }
}

void AddAgentStatus(const Agent& agent, nlohmann::json* status) {
  const AgentCounters& counters = agent.Counters();
  (*status)["state"] = NameOf(agent.ServiceGroup().Self().state);
  (*status)["open_flows"] = agent.OpenFlows();
  (*status)["index_complete"] = agent.ServiceGroup().IsIndexComplete();
  (*status)["handed_over"] = counters.handed_over;
  (*status)["forwarded"] = counters.forwarded;
  (*status)["invariant_violations"] = CountInvariantViolations(counters);
  (*status)["broken_flow_suspicions"] =
      counters.rejected[static_cast<size_t>(ErrorKind::kFlowUnknown)];
}

}  // namespace medlargauge

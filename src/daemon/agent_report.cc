// @file agent_report.cc Counters by name.
#include "src/daemon/agent_report.h"

#include "src/daemon/daemon_process.h"

namespace medlargauge {
namespace {

uint64_t Violations(const AgentCounters& counters) {
  return counters.admissions_while_draining +
         counters.admissions_of_other_service + counters.flows_with_two_owners;
}

}  // namespace

void SetAgentMetrics(const Agent& agent,
                     const std::array<uint64_t, kErrorKindCount>& malformed,
                     Metrics* gauges) {
  const AgentCounters& counters = agent.Counters();
  uint64_t delivered = 0;
  for (const uint64_t count : counters.delivered) {
    delivered += count;
  }
  const auto rejected = [&counters](ErrorKind kind) {
    return counters.rejected[static_cast<size_t>(kind)];
  };
  gauges->Set(Metric::packets_delivered, delivered);
  gauges->Set(Metric::packets_forwarded, counters.forwarded);
  gauges->Set(Metric::flows_open, agent.OpenFlows());
  gauges->Set(Metric::flow_entries, agent.Flows().Size());
  gauges->Set(Metric::flows_handed_over, counters.handed_over);
  gauges->Set(Metric::flows_consulted, counters.consulted);
  gauges->Set(Metric::flows_searched, counters.searched);
  gauges->Set(Metric::flows_recovered,
              counters.delivered[static_cast<size_t>(Admission::kRecovered)]);
  gauges->Set(Metric::flows_taken_back, counters.flows_taken_back);
  gauges->Set(Metric::backups_skipped, counters.backups_skipped);
  gauges->Set(Metric::broken_flow_suspicions,
              rejected(ErrorKind::kFlowUnknown));
  gauges->Set(Metric::refusals, rejected(ErrorKind::kOverloaded));
  gauges->Set(Metric::invariant_violations, Violations(counters));
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    gauges->SetRejected(static_cast<ErrorKind>(i),
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
  (*status)["invariant_violations"] = Violations(counters);
  (*status)["broken_flow_suspicions"] =
      counters.rejected[static_cast<size_t>(ErrorKind::kFlowUnknown)];
}

}  // namespace medlargauge

// @file invariant_checker.cc Invariants of flows, routes, requests and targets.
#include "soak/invariant_checker.h"

#include <algorithm>

#include "src/runtime/flow_log.h"

namespace medlargauge::soak {
namespace {

constexpr size_t kMaxStoredViolations = 50;
/// After this time no opening packet may reach an evacuated domain.
constexpr Duration kEvacuationTime = Seconds(5);
constexpr uint32_t kMisroutedPackets = 3;
constexpr size_t kMinFlowsToPrune = 1000;
/// Far more than callers have in progress at once.
constexpr size_t kMaxTrackedExecutions = 100000;

/// Names a flow as the logs of the daemons do.
std::string DescribeFlow(const FlowKey& flow) {
  return "flow=" + FlowName(flow) + " caller=" + FormatAddress(flow.caller);
}

std::string DescribeServer(const ServerStandin& server) {
  return FormatIp(server.ServerOptions().address.ip);
}

}  // namespace

void InvariantChecker::ReportViolation(const std::string& text) {
  ++m_violation_count;
  if (m_violations.size() < kMaxStoredViolations) {
    const double seconds =
        static_cast<double>(ToMilliseconds(m_clock() - m_started_at)) / 1000;
    m_violations.push_back(std::to_string(seconds) + " s: " + text);
  }
}

bool InvariantChecker::IsExcusedByFault(TimePoint now,
                                        const ServerStandin& server) const {
  const Daemon* agent =
      m_processes->FindByIp(server.ServerOptions().address.ip);
  return now - agent->fault_ends_at < kFaultExcuseTime ||
         now - server.StateChangedAt() < kFaultExcuseTime;
}

bool InvariantChecker::IsExcusedByIsolation(TimePoint now, uint32_t ip) const {
  const Daemon* daemon = m_processes->FindByIp(ip);
  return daemon != nullptr &&
         now - daemon->isolation_ends_at < kFaultExcuseTime;
}

void InvariantChecker::SampleExcuse(const ServerStandin& server) {
  ++m_samples;
  m_excused_samples += IsExcusedByFault(m_clock(), server) ? 1 : 0;
}

void InvariantChecker::OnEvacuation(TimePoint now,
                                    const std::string& domain,
                                    bool evacuated) {
  if (evacuated) {
    m_evacuated_at[domain] = now;
  } else {
    m_evacuated_at.erase(domain);
  }
}

bool InvariantChecker::IsEvacuated(TimePoint now,
                                   const std::string& domain) const {
  const auto found = m_evacuated_at.find(domain);
  return found != m_evacuated_at.end() && m_store_healthy &&
         now - std::max(found->second, m_store_health_changed_at) >
             kEvacuationTime;
}

void InvariantChecker::OnFlowAccepted(const ServerStandin& server,
                                      const FlowKey& flow,
                                      bool left) {
  const TimePoint now = m_clock();
  const std::string& domain = server.ServerOptions().domain;
  if (IsEvacuated(now, domain) && !IsExcusedByFault(now, server)) {
    ReportViolation("EVAC an opening packet reached a server of domain " +
                    domain + ", " + DescribeFlow(flow));
  }
  if (left) {
    ReportViolation("DRAIN a leaving server accepted a flow, " +
                    DescribeFlow(flow));
  }
}

void InvariantChecker::OnCallerPacket(ServerStandin* server,
                                      const FlowKey& flow,
                                      bool held,
                                      uint32_t balancer_ip) {
  const TimePoint now = m_clock();
  const auto found = m_flows.find(flow);
  if (held) {
    if (found != m_flows.end()) {
      CheckMisrouting(now, found->second.misrouted_until, flow, &found->second);
    }
    m_flows[flow] = {};
    m_flows[flow].owner = server;
    PruneEndedFlows();
    return;
  }
  if (found == m_flows.end() || !found->second.owner->HasOpenFlow(flow)) {
    return;
  }
  Flow& flow_state = found->second;
  flow_state.misrouted_since =
      flow_state.misrouted_packets == 0 ? now : flow_state.misrouted_since;
  flow_state.misrouted_until = now;
  flow_state.misrouted_by = balancer_ip;
  flow_state.last_misrouted_to = server;
  ++flow_state.misrouted_packets;
  CheckMisrouting(now, now, flow, &flow_state);
}

void InvariantChecker::CheckMisrouting(TimePoint now,
                                       TimePoint excused_at,
                                       const FlowKey& flow,
                                       Flow* flow_state) {
  const bool is_violated =
      flow_state->misrouted_packets >= kMisroutedPackets &&
      now - flow_state->misrouted_since >= kMisroutingBound &&
      flow_state->owner->HasOpenFlow(flow) &&
      !IsExcusedByFault(excused_at, *flow_state->owner) &&
      !IsExcusedByIsolation(excused_at, flow_state->misrouted_by);
  if (is_violated) {
    ReportViolation("FLOW packets of an open flow reach another server, " +
                    DescribeFlow(flow) + ", owner " +
                    DescribeServer(*flow_state->owner) + ", reached " +
                    DescribeServer(*flow_state->last_misrouted_to) + " from " +
                    FormatIp(flow_state->misrouted_by));
    flow_state->misrouted_packets = 0;
  }
}

void InvariantChecker::PruneEndedFlows() {
  if (m_flows.size() < m_prune_size) {
    return;
  }
  for (auto it = m_flows.begin(); it != m_flows.end();) {
    it = it->second.owner->HasOpenFlow(it->first) ? std::next(it)
                                                  : m_flows.erase(it);
  }
  m_prune_size = 2 * m_flows.size() + kMinFlowsToPrune;
}

void InvariantChecker::OnFlowEnded(const FlowKey& flow) {
  const auto found = m_flows.find(flow);
  if (found == m_flows.end()) {
    return;
  }
  CheckMisrouting(m_clock(), found->second.misrouted_until, flow,
                  &found->second);
  m_flows.erase(found);
}

void InvariantChecker::OnRequestStarted(const ServerStandin& server,
                                        const FlowKey& flow,
                                        uint64_t request_id) {
  const auto found = std::find_if(m_classes->begin(), m_classes->end(),
                                  [&flow](const RequestClass& request_class) {
                                    return request_class.route == flow.route;
                                  });
  if (found == m_classes->end() ||
      found->service != server.ServerOptions().service) {
    ReportViolation("ROUTE request " + std::to_string(request_id) +
                    " reached a server of \"" + server.ServerOptions().service +
                    "\", " + DescribeFlow(flow));
    return;
  }
  if (!found->repeatable && ++m_executions[request_id] > 1) {
    ReportViolation("ONCE request " + std::to_string(request_id) +
                    " was executed more than once, " + DescribeFlow(flow));
  }
  if (m_executions.size() > kMaxTrackedExecutions) {
    m_executions.erase(m_executions.begin());
  }
}

void InvariantChecker::OnFlowReset(const FlowKey& flow, uint32_t sender_ip) {
  const auto found = m_flows.find(flow);
  const TimePoint now = m_clock();
  const bool is_open =
      found != m_flows.end() && found->second.owner->HasOpenFlow(flow);
  if (is_open && (IsExcusedByFault(now, *found->second.owner) ||
                  IsExcusedByIsolation(now, sender_ip))) {
    ++m_excused_resets;
  } else if (is_open) {
    ReportViolation("FLOW an open flow was reset, " + DescribeFlow(flow) +
                    ", owner " + DescribeServer(*found->second.owner) +
                    ", reset by " + FormatIp(sender_ip));
  }
}

void InvariantChecker::OnWrongAnswer(const FlowKey& flow, uint64_t request_id) {
  ReportViolation("WHOLE request " + std::to_string(request_id) +
                  " got an answer that does not match it, " +
                  DescribeFlow(flow));
}

void InvariantChecker::OnRequestEnded(TimePoint arrived_at,
                                      bool served,
                                      uint64_t request_id,
                                      const FlowKey& flow) {
  RequestCounts& counts =
      m_counts[ToMilliseconds(arrived_at - m_started_at) / 1000];
  ++counts.asked;
  counts.served += served ? 1 : 0;
  counts.failed += served ? 0 : 1;
  if (!served && counts.first_failure.empty()) {
    counts.first_failure =
        "request=" + std::to_string(request_id) + " " + DescribeFlow(flow);
  }
}

void InvariantChecker::OnTargetWritten(TimePoint now, uint64_t revision) {
  m_target_revision = revision;
  m_target_deadline = now + kTargetPropagationBound;
}

void InvariantChecker::OnStoreHealthChanged(TimePoint now, bool healthy) {
  m_store_healthy = healthy;
  m_store_health_changed_at = now;
}

void InvariantChecker::OnTargetInForce(TimePoint now,
                                       const Daemon& balancer,
                                       uint64_t revision,
                                       bool in_rotation) {
  uint64_t& previous = m_in_force[{balancer.ip, balancer.start_count}];
  if (revision < previous) {
    ReportViolation(
        "CONFIG " + balancer.name + " fell back from target revision " +
        std::to_string(previous) + " to " + std::to_string(revision));
  }
  previous = revision;
  if (revision > m_highest_revision) {
    m_highest_revision = revision;
    m_highest_revision_deadline = now + kTargetPropagationBound;
  }
  const TimePoint settled_at =
      std::max(balancer.started_at, balancer.fault_ends_at) +
      kTargetPropagationBound;
  const bool behind_store =
      m_store_healthy && now > m_target_deadline &&
      now > m_store_health_changed_at + kTargetPropagationBound &&
      revision < m_target_revision;
  const bool behind_peer =
      now > m_highest_revision_deadline && revision < m_highest_revision;
  if (in_rotation && now > settled_at && !balancer.paused &&
      (behind_store || behind_peer)) {
    ReportViolation(
        "CONFIG " + balancer.name + " serves with target revision " +
        std::to_string(revision) + " instead of " +
        std::to_string(behind_store ? m_target_revision : m_highest_revision));
  }
}

RequestCounts InvariantChecker::CountRequests(TimePoint begin,
                                              TimePoint end) const {
  RequestCounts sum;
  for (const auto& [second, counts] : m_counts) {
    const TimePoint bucket_start = m_started_at + Seconds(second);
    if (bucket_start >= begin && bucket_start < end) {
      sum.asked += counts.asked;
      sum.served += counts.served;
      sum.failed += counts.failed;
      sum.first_failure =
          sum.first_failure.empty() ? counts.first_failure : sum.first_failure;
    }
  }
  return sum;
}

}  // namespace medlargauge::soak

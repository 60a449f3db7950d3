// @file balancer_log.cc Log lines of the balancer process.
#include <algorithm>

#include "src/core/error.h"
#include "src/core/event_log.h"
#include "src/runtime/balancer_runtime.h"

namespace medlargauge {
namespace {

/// Returns the name of a basis of discovery in logs.
std::string_view BasisName(DiscoveryBasis basis) {
  switch (basis) {
    case DiscoveryBasis::kIncomplete:
      return "none";
    case DiscoveryBasis::kQuiet:
      return "quiet";
    case DiscoveryBasis::kRegistered:
      return "registered";
    case DiscoveryBasis::kCounted:
      return "counted";
  }
  return "";
}

/// Returns the name of the outcome of a probe in logs.
std::string_view OutcomeName(ProbeOutcome outcome) {
  switch (outcome) {
    case ProbeOutcome::kAccepted:
      return "accepted";
    case ProbeOutcome::kRefused:
      return "refused";
    case ProbeOutcome::kNoAnswer:
      return "no_answer";
  }
  return "";
}

/// Returns whether a decision is the reset of an open flow.
bool ResetsOpenFlow(const DirectorDecision& decision,
                    const FlowPacket& packet) {
  return decision.kind == DirectorDecision::Kind::kReset && !packet.syn;
}

}  // namespace

void BalancerRuntime::OnProbe(MemberId agent, ProbeOutcome outcome) {
  const TimePoint now = SteadyTime();
  ++m_probe_counts[static_cast<size_t>(outcome)];
  if (!m_fleet_node.Members().OnProbe(now, agent, outcome)) {
    return;
  }
  const MemberEntry* entry = m_fleet_node.Members().Find(agent);
  EventLine(Severity::kInfo, "silent_agent_probed")
      .With("ip", FormatIp(entry->member.ip))
      .With("outcome", OutcomeName(outcome))
      .With("silent_ms",
            ToMilliseconds(now - std::max(entry->heard, entry->discovered_at)));
}

void BalancerRuntime::LogDecision(TimePoint now,
                                  const DirectorDecision& decision,
                                  const FlowPacket& packet) {
  const bool forwards = decision.kind == DirectorDecision::Kind::kForward;
  const bool resets_open_flow = ResetsOpenFlow(decision, packet);
  LogLongSearch(now, decision, packet);
  const bool is_logged =
      forwards ? packet.syn && FlowLog::IsSampled(packet.flow)
               : m_flow_log.AllowLine(now, resets_open_flow
                                               ? FlowLineClass::kOpenFlow
                                               : FlowLineClass::kRefusal);
  if (!is_logged) {
    return;
  }
  EventLine line(
      resets_open_flow ? Severity::kWarning : Severity::kInfo,
      forwards                                          ? "flow_forwarded"
      : decision.kind == DirectorDecision::Kind::kReset ? "flow_reset"
      : decision.kind == DirectorDecision::Kind::kHold  ? "packet_held"
                                                        : "packet_dropped");
  line.With("flow", FlowName(packet.flow))
      .With("caller", FormatAddress(packet.flow.caller))
      .With("route", FormatAddress(packet.flow.route))
      .With("opening", packet.syn)
      .With("revision", m_fleet_node.Routes().Revision());
  const MemberEntry* agent = m_fleet_node.Members().Find(decision.agent);
  if (forwards && agent != nullptr) {
    line.With("agent", FormatIp(agent->member.ip))
        .With("active", agent->member.load.active)
        .With("pending", agent->pending)
        .With("age_ms", ToMilliseconds(now - agent->heard));
  } else {
    line.With("reason", Describe(decision.error).text);
  }
  if (resets_open_flow) {
    const ResetEvidence& evidence = decision.evidence;
    line.With("discovery", BasisName(evidence.discovery))
        .With("denials", evidence.denials)
        .With("agents", evidence.agents);
    if (evidence.owner_heard != TimePoint()) {
      line.With("owner_silent_ms", ToMilliseconds(now - evidence.owner_heard));
    }
    if (evidence.owner_probe.has_value()) {
      line.With("owner_probe", OutcomeName(*evidence.owner_probe));
    }
  }
}

void BalancerRuntime::LogLongSearch(TimePoint now,
                                    const DirectorDecision& decision,
                                    const FlowPacket& packet) {
  if (!decision.long_search ||
      !m_flow_log.AllowLine(now, FlowLineClass::kOpenFlow)) {
    return;
  }
  const MemberEntry* agent = m_fleet_node.Members().Find(decision.agent);
  EventLine(Severity::kWarning, "search_long")
      .With("flow", FlowName(packet.flow))
      .With("caller", FormatAddress(packet.flow.caller))
      .With("asked", agent == nullptr ? "" : FormatIp(agent->member.ip));
}

}  // namespace medlargauge

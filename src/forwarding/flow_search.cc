// @file flow_search.cc Search for the owner of a flow, and pointers for
// searches.
#include <algorithm>
#include <utility>

#include "src/forwarding/flow_director.h"
#include "src/forwarding/member_list.h"
#include "src/forwarding/status_schedule.h"

namespace medlargauge {
namespace {

/// Limit of how often the search timeout doubles.
constexpr uint8_t kMaxTimeoutDoublings = 3;

}  // namespace

void FlowDirector::BeginSearch(TimePoint now, const FlowKey& key, Flow* flow) {
  if (flow->is_queued) {
    m_opening_queues[flow->service].Erase(key);
    flow->is_queued = false;
  }
  for (const MemberId asked : flow->tried) {
    detail::AddOnce(&flow->likely_owners, asked);
  }
  detail::AddOnce(&flow->likely_owners, flow->agent);
  // Agents that did not confirm the opening packet may own the flow after all,
  // so they are asked again.
  flow->tried.clear();
  flow->unresponsive.clear();
  flow->server_down.clear();
  flow->is_queried = false;
  flow->was_queried = false;
  flow->deniers = nullptr;
  flow->syn = std::string();
  flow->phase = Phase::kSearching;
  flow->search_report_at = now + m_limits.long_search;
  ++m_counters.searches;
}

bool FlowDirector::ReportLongSearch(TimePoint now, Flow* flow) {
  const bool is_due =
      flow->search_report_at != TimePoint() && now >= flow->search_report_at;
  if (is_due) {
    flow->search_report_at = TimePoint();
    ++m_counters.long_searches;
  }
  return is_due;
}

uint32_t FlowDirector::CountAgents() const {
  return std::count_if(m_members->Entries().begin(), m_members->Entries().end(),
                       [](const auto& entry) {
                         return entry.second.member.role == MemberRole::kAgent;
                       });
}

void FlowDirector::SetSearchTarget(TimePoint now, MemberId agent, Flow* flow) {
  ++m_counters.search_steps;
  flow->agent = agent;
  flow->service = m_members->Find(agent)->member.service;
  flow->asked_at = now;
}

void FlowDirector::OnSearchTimeout(Flow* flow) {
  detail::AddOnce(&flow->unresponsive, flow->agent);
  m_members->OnUnanswered(flow->agent);
}

DirectorDecision FlowDirector::ContinueSearch(TimePoint now,
                                              const FlowKey& key,
                                              Flow* flow) {
  if (flow->is_queried) {
    return Reject(DirectorDecision::Kind::kHold, ErrorKind::kMaybeElsewhere);
  }
  const bool is_long = ReportLongSearch(now, flow);
  std::optional<MemberId> next = NextSearchCandidate(now, key, *flow);
  const bool only_silent_left =
      next.has_value() ? m_members->IsSuspected(now, *m_members->Find(*next))
                       : !flow->unresponsive.empty();
  if (only_silent_left && IsDiscoveryComplete(now) &&
      MayGiveUpSilentAgents(now, key, *flow)) {
    ++m_counters.silence_resets;
    return ResetUnknownFlow(now, key, *flow);
  }
  if (!next.has_value() && !flow->unresponsive.empty()) {
    // Only agents that timed out are left. One of them may own the flow, so
    // they are asked again.
    flow->unresponsive.clear();
    flow->silent_rounds =
        std::min<uint8_t>(flow->silent_rounds + 1, kMaxTimeoutDoublings);
    next = NextSearchCandidate(now, key, *flow);
  }
  if (next.has_value() && JoinQuery(now, key, flow)) {
    return Reject(DirectorDecision::Kind::kHold, ErrorKind::kMaybeElsewhere);
  }
  if (next.has_value()) {
    SetSearchTarget(now, *next, flow);
    DirectorDecision decision = Forward(now, *m_routes->Find(key.route), *flow);
    decision.long_search = is_long;
    return decision;
  }
  if (!IsDiscoveryComplete(now)) {
    // Flows never move, so the agents that returned the packet stay excluded
    // when the search continues.
    flow->agent = MemberId();
    const bool is_held = m_search_packets.Find(key) != nullptr;
    return Reject(
        is_held ? DirectorDecision::Kind::kHold : DirectorDecision::Kind::kDrop,
        ErrorKind::kMaybeElsewhere);
  }
  // Every server that could hold the flow has denied it.
  return ResetUnknownFlow(now, key, *flow);
}

DirectorDecision FlowDirector::ResetUnknownFlow(TimePoint now,
                                                const FlowKey& key,
                                                const Flow& flow) {
  DirectorDecision reset =
      Reject(DirectorDecision::Kind::kReset, ErrorKind::kFlowUnknown);
  reset.evidence.discovery = Discovery(now);
  MemberSet deniers = flow.deniers == nullptr ? MemberSet() : *flow.deniers;
  for (const MemberId agent : flow.tried) {
    detail::AddOnce(&deniers, agent);
  }
  for (const MemberId agent : flow.server_down) {
    detail::AddOnce(&deniers, agent);
  }
  reset.evidence.denials = static_cast<uint32_t>(deniers.size());
  reset.evidence.agents = CountAgents();
  RemoveFlow(key);
  return reset;
}

bool FlowDirector::MayGiveUpSilentAgents(TimePoint now,
                                         const FlowKey& key,
                                         const Flow& flow) const {
  if (!m_routes->Find(key.route)->repeatable || m_members->MayMissAgents(now)) {
    return false;
  }
  bool has_silent_agent = false;
  for (const auto& [id, entry] : m_members->Entries()) {
    if (!MayOwnFlow(now, flow, entry)) {
      continue;
    }
    if (!m_members->IsSuspected(now, entry)) {
      return false;
    }
    has_silent_agent = true;
  }
  return has_silent_agent;
}

DiscoveryBasis FlowDirector::Discovery(TimePoint now) const {
  if (m_members->CountReachable(now, MemberRole::kAgent) == 0) {
    return DiscoveryBasis::kIncomplete;
  }
  // Silence of a member that can't know this balancer proves nothing, so the
  // fleet must have been met, and no member may report more agents.
  if (!m_members->HasMetFleet() || m_members->MayMissAgents(now)) {
    return DiscoveryBasis::kIncomplete;
  }
  const Duration uptime = now - m_started_at;
  const Duration quiet_time = now - m_members->LastAgentDiscovery();
  // Agents that remember this balancer have sent it a status within an interval
  // of the fleet. In an interval of a small fleet they have sent one to some
  // balancer, which tells the others of an agent that the list lacks. Agents
  // that have restarted join through any balancer.
  const Duration interval =
      StatusInterval(MemberRole::kAgent, m_members->Entries().size());
  // Quiet shows nothing before each agent was due to send two statuses, of
  // which one may be lost.
  if (uptime >=
          std::max<Duration>(m_limits.startup_discovery_time, 2 * interval) &&
      quiet_time >= std::max(m_limits.discovery_quiet_time, interval) &&
      !m_members->IsRegisteredAgentMissing(now)) {
    return DiscoveryBasis::kQuiet;
  }
  const Duration short_interval = StatusInterval(MemberRole::kAgent, 0);
  const bool hears_balancers =
      m_members->CountReachable(now, MemberRole::kBalancer) > 0;
  if (uptime >= 2 * (hears_balancers ? short_interval : interval) &&
      m_members->HasHeardRegisteredAgents(now)) {
    return DiscoveryBasis::kRegistered;
  }
  if (uptime < 2 * interval) {
    return DiscoveryBasis::kIncomplete;
  }
  const bool is_counted =
      quiet_time >= interval && !m_members->IsRegisteredAgentMissing(now) &&
      m_members->Entries().size() >= m_members->LargestReportedSize(now);
  return is_counted ? DiscoveryBasis::kCounted : DiscoveryBasis::kIncomplete;
}

bool FlowDirector::MayOwnFlow(TimePoint now,
                              const Flow& flow,
                              const MemberEntry& entry) const {
  const FleetMember& member = entry.member;
  // An agent that may hold one flow of a query is a likely owner of that one.
  const bool has_denied = detail::Contains(flow.tried, member.id) ||
                          (flow.deniers != nullptr &&
                           std::binary_search(flow.deniers->begin(),
                                              flow.deniers->end(), member.id) &&
                           !detail::Contains(flow.likely_owners, member.id)) ||
                          (detail::Contains(flow.server_down, member.id) &&
                           member.state == AgentState::kGone);
  // The agent's service is no evidence: the route may have had any service
  // before this process started.
  return member.role == MemberRole::kAgent && !has_denied &&
         !m_members->IsPresumedDead(now, entry) &&
         !m_members->HasLeftStopped(now, entry);
}

std::optional<MemberId> FlowDirector::NextSearchCandidate(
    TimePoint now,
    const FlowKey& key,
    const Flow& flow) const {
  const RouteServices services = m_routes->ServicesOf(key.route);
  const uint64_t hash = HashFlow(key);
  std::optional<MemberId> best;
  uint64_t best_rank = 0;
  for (const auto& [id, entry] : m_members->Entries()) {
    if (detail::Contains(flow.unresponsive, id) ||
        !MayOwnFlow(now, flow, entry)) {
      continue;
    }
    // Likely owners come first and unreachable agents last: the search stays at
    // an unreachable agent, which may be the owner, until it answers. Services
    // of the current route come before those of past ones, because the first
    // agent is the home of the flow's pointer: it must be the same in balancers
    // that started before and after a change of the route.
    const uint64_t rank =
        (detail::Contains(flow.likely_owners, id) ? 1ULL << 63U : 0) |
        (m_members->IsReachable(now, entry) ? 1ULL << 62U : 0) |
        (services.IsCurrent(entry.member.service) ? 1ULL << 61U : 0) |
        (services.IsKnown(entry.member.service) ? 1ULL << 60U : 0) |
        (entry.member.state != AgentState::kGone ? 1ULL << 59U : 0) |
        (MixHash(hash, id.value) >> 5U);
    if (!best.has_value() || rank > best_rank) {
      best = id;
      best_rank = rank;
    }
  }
  return best;
}

void FlowDirector::OnFlowConfirmed(TimePoint now,
                                   MemberId from,
                                   const FlowKey& key,
                                   bool proven) {
  LearnCost(now, from, key.route);
  const auto found = m_flows.find(key);
  if (found == m_flows.end()) {
    return;
  }
  Flow& flow = found->second;
  if (flow.phase == Phase::kOpening) {
    m_opening_queues[flow.service].OnAccepted(now, key);
    flow.is_queued = false;
  }
  m_counters.double_openings +=
      flow.phase == Phase::kOwnerKnown && !proven && flow.agent != from ? 1 : 0;
  detail::AddOnce(&flow.likely_owners, from);
  // A server retransmits its SYN-ACK even if the caller has accepted the one of
  // another server, so an unproven confirmation is ignored during a search.
  const bool is_conclusive = proven || flow.phase == Phase::kOpening;
  const bool corrects_owner = proven && !flow.owner_proven;
  if (is_conclusive && (flow.phase != Phase::kOwnerKnown || corrects_owner)) {
    flow.agent = from;
    flow.phase = Phase::kOwnerKnown;
    flow.tried.clear();
    flow.unresponsive.clear();
    flow.syn = std::string();
    flow.owner_since = now;
    const MemberEntry* owner = m_members->Find(from);
    flow.owner_incarnation = owner == nullptr ? 0 : owner->member.incarnation;
    // A search, or a route that has changed since, may have named another one,
    // which the owner would refuse.
    flow.service = owner == nullptr ? flow.service : owner->member.service;
    flow.owner_proven = proven;
    flow.used_since = TimePoint();
    flow.expires = now + IdleTimeout();
    m_search_packets.Erase(key);
  }
}

void FlowDirector::QueuePointer(TimePoint now, const FlowKey& key, Flow* flow) {
  flow->pointer_handled = true;
  // The home is the agent that a balancer without this entry asks first.
  const std::optional<MemberId> home = NextSearchCandidate(now, key, Flow());
  if (home.has_value() && *home != flow->agent) {
    m_pointers.push_back({*home, key, flow->agent});
  }
}

void FlowDirector::QueueAllPointers(TimePoint now) {
  for (auto& [key, flow] : m_flows) {
    if (flow.phase == Phase::kOwnerKnown && !flow.pointer_handled) {
      QueuePointer(now, key, &flow);
    }
  }
}

std::vector<OwnerPointer> FlowDirector::TakePointers() {
  return std::exchange(m_pointers, {});
}

}  // namespace medlargauge

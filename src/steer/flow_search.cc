// @file flow_search.cc Finding the owner of a flow that is not remembered.
#include <algorithm>
#include <utility>

#include "src/steer/flow_director.h"
#include "src/steer/member_list.h"

namespace medlargauge {

void FlowDirector::BeginSearch(Flow* flow) {
  for (const MemberId asked : flow->tried) {
    detail::AddOnce(&flow->likely, asked);
  }
  detail::AddOnce(&flow->likely, flow->agent);
  // Agents that left an opening packet unanswered may hold the flow.
  flow->tried.clear();
  flow->mute.clear();
  flow->syn = std::string();
  flow->phase = Phase::kSearching;
  ++m_counters.searches;
}

void FlowDirector::Ask(TimePoint now, MemberId agent, Flow* flow) {
  ++m_counters.search_steps;
  flow->agent = agent;
  flow->service = m_roster->Find(agent)->member.service;
  flow->asked_at = now;
}

SteerDecision FlowDirector::SearchNext(TimePoint now,
                                       const FlowKey& key,
                                       Flow* flow) {
  std::optional<MemberId> next = NextToAsk(now, key, *flow);
  if (!next.has_value() && !flow->mute.empty()) {
    // One of those that did not answer has it: they are asked again.
    flow->mute.clear();
    next = NextToAsk(now, key, *flow);
  }
  if (next.has_value()) {
    Ask(now, *next, flow);
    return Forward(*m_routes->Find(key.route), *flow);
  }
  // A newcomer may not have heard of the owner yet.
  const bool settled = now - m_started >= m_limits.settle &&
                       now - m_roster->LastNewAgent() >= m_limits.quiet_news &&
                       m_roster->CountReachable(now, MemberRole::kAgent) > 0;
  if (!settled) {
    // A flow does not move: those that do not have it are not asked again.
    flow->agent = MemberId();
    return Reject(SteerDecision::Kind::kDrop, ErrorKind::kMaybeElsewhere);
  }
  // Every server that could hold the flow was asked and does not.
  m_flows.erase(key);
  return Reject(SteerDecision::Kind::kReset, ErrorKind::kFlowUnknown);
}

std::optional<MemberId> FlowDirector::NextToAsk(TimePoint now,
                                                const FlowKey& key,
                                                const Flow& flow) const {
  const std::vector<ServiceId> services = m_routes->ServicesOf(key.route);
  const uint64_t hash = HashFlow(key);
  std::optional<MemberId> best;
  uint64_t best_rank = 0;
  for (const auto& [id, entry] : m_roster->Entries()) {
    const auto service =
        std::find(services.begin(), services.end(), entry.member.service);
    const bool skip =
        entry.member.role != MemberRole::kAgent || service == services.end() ||
        detail::Contains(flow.tried, id) || detail::Contains(flow.mute, id) ||
        m_roster->IsLost(now, entry);
    if (skip) {
      continue;
    }
    // Those that were given the flow first, silent ones last: the search stops
    // at a silent one, which may be the owner.
    const uint64_t rank =
        (detail::Contains(flow.likely, id) ? 1ULL << 63U : 0) |
        (m_roster->IsReachable(now, entry) ? 1ULL << 62U : 0) |
        (entry.member.state != AgentState::kGone ? 1ULL << 61U : 0) |
        (MixHash(hash, id.value) >> 3U);
    if (!best.has_value() || rank > best_rank) {
      best = id;
      best_rank = rank;
    }
  }
  return best;
}

void FlowDirector::PointTo(TimePoint now, const FlowKey& key, Flow* flow) {
  flow->pointed = true;
  // The first that a balancer without this entry would ask.
  const std::optional<MemberId> home = NextToAsk(now, key, Flow());
  if (home.has_value() && *home != flow->agent) {
    m_pointers.push_back({*home, key, flow->agent});
  }
}

void FlowDirector::QueueAllPointers(TimePoint now) {
  for (auto& [key, flow] : m_flows) {
    if (flow.phase == Phase::kHeld && !flow.pointed) {
      PointTo(now, key, &flow);
    }
  }
}

std::vector<SteerPointer> FlowDirector::TakePointers() {
  return std::exchange(m_pointers, {});
}

}  // namespace medlargauge

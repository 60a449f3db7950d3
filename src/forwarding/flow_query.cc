// @file flow_query.cc Queries of a balancer for the owners of many flows.
#include <algorithm>
#include <utility>

#include "src/forwarding/flow_director.h"
#include "src/forwarding/member_list.h"

namespace medlargauge {
namespace {

/// Agents forget flows that were idle for longer (ForwarderLimits::idle), and
/// would deny them in a query although their servers hold them.
constexpr uint32_t kMaxQueriedIdleMs = 60'000;

}  // namespace

bool FlowDirector::JoinQuery(TimePoint now, const FlowKey& key, Flow* flow) {
  // The agent that may have a pointer is asked first.
  const bool has_asked = !flow->tried.empty() || !flow->unresponsive.empty() ||
                         !flow->server_down.empty();
  if (flow->was_queried || !has_asked ||
      m_routes->Table().idle_timeout_ms > kMaxQueriedIdleMs ||
      m_search_packets.Find(key) == nullptr) {
    return false;
  }
  size_t left = 0;
  for (const auto& [id, entry] : m_members->Entries()) {
    const bool may_answer =
        m_members->IsReachable(now, entry) && MayOwnFlow(now, *flow, entry);
    left += may_answer ? 1 : 0;
    if (left >= m_limits.min_agents_to_query) {
      break;
    }
  }
  if (left < m_limits.min_agents_to_query) {
    return false;
  }
  flow->agent = MemberId();
  flow->is_queried = true;
  flow->queried_at = now;
  ++m_counters.queried_flows;
  m_owner_queries.Add(key);
  return true;
}

void FlowDirector::StartQueries(TimePoint now) {
  const auto reachable_agents = [&] {
    MemberSet agents;
    for (const auto& [id, entry] : m_members->Entries()) {
      if (entry.member.role == MemberRole::kAgent &&
          m_members->IsReachable(now, entry)) {
        agents.push_back(id);
      }
    }
    return agents;
  };
  for (OwnerQuery& query : m_owner_queries.Start(now, reachable_agents)) {
    m_counters.queries += query.agents.size();
    m_queries_to_send.push_back(std::move(query));
  }
}

std::vector<OwnerQuery> FlowDirector::TakeQueries() {
  return std::exchange(m_queries_to_send, {});
}

std::vector<DeferredDecision> FlowDirector::OnQueryAnswer(
    TimePoint now,
    MemberId from,
    uint64_t id,
    bool knows_all,
    const std::vector<uint32_t>& held) {
  std::vector<DeferredDecision> decisions;
  // Agents of older builds denied flows of a server that had restarted under
  // the same id.
  const MemberEntry* agent = m_members->Find(from);
  const bool is_proof = knows_all && agent != nullptr &&
                        Supports(agent->protocol, Feature::kSoundDenials);
  OnQueryResults(now, m_owner_queries.OnAnswer(from, id, is_proof, held),
                 &decisions);
  return decisions;
}

void FlowDirector::OnQueryResults(TimePoint now,
                                  const std::vector<QueriedFlow>& results,
                                  std::vector<DeferredDecision>* decisions) {
  for (const QueriedFlow& result : results) {
    const auto found = m_flows.find(result.flow);
    if (found == m_flows.end() || found->second.phase != Phase::kSearching ||
        !found->second.is_queried ||
        result.sent_at < found->second.queried_at) {
      continue;
    }
    Flow& flow = found->second;
    flow.is_queried = false;
    flow.was_queried = true;
    flow.deniers = result.deniers;
    for (const MemberId owner : result.possible_owners) {
      detail::AddOnce(&flow.likely_owners, owner);
    }
    // They have had the time that a search gives each of them.
    for (const MemberId silent : *result.silent_agents) {
      detail::AddOnce(&flow.unresponsive, silent);
      m_members->OnUnanswered(silent);
    }
    const HeldPacket* held = m_search_packets.Find(result.flow);
    if (held == nullptr || held->expires <= now ||
        m_routes->Find(result.flow.route) == nullptr) {
      continue;  // The next packet goes on with the search.
    }
    DeferredDecision deferred{held->packet, held->raw, DirectorDecision()};
    deferred.decision = ContinueSearch(now, result.flow, &flow);
    if (deferred.decision.kind != DirectorDecision::Kind::kHold) {
      decisions->push_back(std::move(deferred));
    }
  }
}

}  // namespace medlargauge

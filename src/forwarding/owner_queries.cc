// @file owner_queries.cc Batches of flows, and the answers to them.
#include "src/forwarding/owner_queries.h"

#include <algorithm>
#include <utility>

namespace medlargauge {
namespace {

/// Flows are collected for this long after the last query, so that one query
/// asks for many of them.
constexpr Duration kCollectionTime = Milliseconds(60);
/// An agent that has not answered by then is asked for each flow by itself.
constexpr Duration kAnswerTimeout = Milliseconds(120);
/// Flows of a query, whose datagram must fit a packet.
constexpr size_t kMaxFlows = 150;

}  // namespace

std::vector<OwnerQuery> OwnerQueries::Start(
    TimePoint now,
    const std::function<MemberSet()>& agents) {
  if (m_waiting.empty() || now < m_next_start) {
    return {};
  }
  m_next_start = now + kCollectionTime;
  const std::vector<FlowKey> flows = std::exchange(m_waiting, {});
  const MemberSet receivers = agents();
  std::vector<OwnerQuery> queries;
  for (size_t begin = 0; begin < flows.size(); begin += kMaxFlows) {
    const size_t end = std::min(begin + kMaxFlows, flows.size());
    OwnerQuery query;
    query.id = ++m_last_id;
    query.agents = receivers;
    Running& running = m_running[query.id];
    running.flows.assign(flows.begin() + static_cast<std::ptrdiff_t>(begin),
                         flows.begin() + static_cast<std::ptrdiff_t>(end));
    running.unanswered = receivers;
    running.sent_at = now;
    running.deadline = now + kAnswerTimeout;
    std::transform(running.flows.begin(), running.flows.end(),
                   std::back_inserter(query.flow_hashes), &HashFlow);
    queries.push_back(std::move(query));
  }
  return queries;
}

std::vector<QueriedFlow> OwnerQueries::OnAnswer(
    MemberId from,
    uint64_t id,
    bool knows_all,
    const std::vector<uint32_t>& held) {
  const auto found = m_running.find(id);
  if (found == m_running.end()) {
    return {};
  }
  Running& running = found->second;
  const auto asked = std::lower_bound(running.unanswered.begin(),
                                      running.unanswered.end(), from);
  if (asked == running.unanswered.end() || *asked != from) {
    return {};
  }
  running.unanswered.erase(asked);
  if (knows_all) {
    running.deniers.push_back(from);
    for (const uint32_t index : held) {
      if (index < running.flows.size()) {
        running.possible_owners[index].push_back(from);
      }
    }
  }
  if (!running.unanswered.empty()) {
    return {};
  }
  std::vector<QueriedFlow> results = End(&running);
  m_running.erase(found);
  return results;
}

std::vector<QueriedFlow> OwnerQueries::TakeExpired(TimePoint now) {
  std::vector<QueriedFlow> results;
  for (auto it = m_running.begin(); it != m_running.end();) {
    if (it->second.deadline > now) {
      ++it;
      continue;
    }
    std::vector<QueriedFlow> ended = End(&it->second);
    std::move(ended.begin(), ended.end(), std::back_inserter(results));
    it = m_running.erase(it);
  }
  return results;
}

std::vector<QueriedFlow> OwnerQueries::End(Running* running) {
  std::sort(running->deniers.begin(), running->deniers.end());
  const auto deniers =
      std::make_shared<const MemberSet>(std::move(running->deniers));
  const auto silent_agents =
      std::make_shared<const MemberSet>(std::move(running->unanswered));
  std::vector<QueriedFlow> results;
  for (uint32_t i = 0; i < running->flows.size(); ++i) {
    results.push_back({running->flows[i], running->sent_at, deniers,
                       silent_agents, std::move(running->possible_owners[i])});
  }
  return results;
}

}  // namespace medlargauge

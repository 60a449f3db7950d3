// @file agent_query.cc Queries to peers that find the owner of a flow.
#include <algorithm>

#include "src/locate/agent.h"
#include "src/locate/agent_internal.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

/// Removes `id` from a list and keeps the order of the others.
void RemoveFrom(uint32_t id, MemberList<kMaxPending>* list) {
  MemberList<kMaxPending> rest;
  for (uint8_t i = 0; i < list->count; ++i) {
    if (list->ids[i] != id) {
      rest.Add(list->ids[i]);
    }
  }
  *list = rest;
}

}  // namespace

Verdict Agent::QueryPeers(const Request& request,
                          Purpose purpose,
                          bool skip_synced,
                          uint32_t query_batch) {
  m_counters.searched +=
      purpose == Purpose::kSearch && query_batch == 0 ? 1 : 0;
  Envelope envelope = request.envelope;
  envelope.purpose = purpose;
  envelope.requester = ShortId(m_group.Self().id);
  envelope.view = m_group.CurrentViewId();
  envelope.query_batch = query_batch;
  if (query_batch == 0 && !envelope.confirmed_by_peer) {
    envelope.possible_owner = 0;
  }
  envelope.pending = RankPeersToQuery(request, skip_synced, query_batch);
  if (envelope.pending.count == 0) {
    const Request retry{request.now, request.packet, envelope, false};
    return QueryNextBatch(retry, purpose);
  }
  return ForwardQuery(request, envelope);
}

Verdict Agent::QueryNextBatch(const Request& request, Purpose purpose) {
  const size_t next_start =
      (static_cast<size_t>(request.envelope.query_batch) + 1) * kMaxPending;
  if (next_start < m_group.View().agents.size()) {
    return QueryPeers(request, purpose, false,
                      request.envelope.query_batch + 1);
  }
  if (purpose == Purpose::kSearch) {
    return FinishSearch(request);
  }
  const VersionSplit* split =
      FindSplit(m_group.View(), request.envelope.class_id);
  if (!MayDecide(request.now)) {
    return Reject(ErrorKind::kFenced);
  }
  return split == nullptr ? Reject(ErrorKind::kUnknownAddress)
                          : PlaceFlow(request, *split);
}

MemberList<kMaxPending> Agent::RankPeersToQuery(const Request& request,
                                                bool skip_synced,
                                                uint32_t query_batch) const {
  // All agents query in the same order. Two agents that query about the same
  // flow therefore meet at the first member that both know, and the reservation
  // there determines which of them continues.
  std::vector<AgentFacts> ranked = m_group.View().agents;
  const FlowId flow = request.packet.flow;
  std::sort(ranked.begin(), ranked.end(),
            [flow](const AgentFacts& a, const AgentFacts& b) {
              return RendezvousWeight(flow, a.id) >
                     RendezvousWeight(flow, b.id);
            });
  const size_t first = static_cast<size_t>(query_batch) * kMaxPending;
  const size_t last = std::min(ranked.size(), first + kMaxPending);
  const AgentFacts* home =
      HomeOf(m_group.View(), request.envelope.class_id, flow);
  const bool is_home = home != nullptr && home->id == m_group.Self().id;
  const bool single_batch = ranked.size() <= kMaxPending;
  MemberList<kMaxPending> pending;
  for (size_t i = first; i < last; ++i) {
    const std::optional<PeerSlot> slot = m_group.FindSlot(ranked[i].id);
    if (!slot.has_value()) {
      continue;  // This agent does not query itself.
    }
    const Peer& peer = m_group.PeerAt(*slot);
    const bool may_skip =
        skip_synced && is_home && single_batch && m_group.IsSynced(peer);
    const uint32_t short_id = ShortId(ranked[i].id);
    if (!may_skip && !request.envelope.visited.Contains(short_id)) {
      pending.Add(short_id);
    }
  }
  return pending;
}

Verdict Agent::ForwardQuery(const Request& request, Envelope envelope) {
  RemoveFrom(ShortId(m_group.Self().id), &envelope.pending);
  for (uint8_t i = 0; i < envelope.pending.count; ++i) {
    const std::optional<PeerSlot> next =
        m_group.FindSlotByShortId(envelope.pending.ids[i]);
    const bool alive = next.has_value() &&
                       m_group.PeerAt(*next).facts.state != AgentState::kGone;
    if (alive) {
      const MemberId next_id = m_group.PeerAt(*next).facts.id;
      return Forward(request, next_id, envelope);
    }
  }
  envelope.pending = {};
  const bool own_query = envelope.requester == ShortId(m_group.Self().id);
  if (own_query) {
    const Request retry{request.now, request.packet, envelope, false};
    return QueryNextBatch(retry, envelope.purpose);
  }
  const std::optional<PeerSlot> requester =
      m_group.FindSlotByShortId(envelope.requester);
  if (!requester.has_value()) {
    return Reject(ErrorKind::kMaybeElsewhere);
  }
  return Forward(request, m_group.PeerAt(*requester).facts.id, envelope);
}

Verdict Agent::FinishSearch(const Request& request) {
  // Until all peers have registered their flows, one of them may own this one.
  const bool index_complete =
      MayDecide(request.now) && m_group.IsIndexComplete();
  if (IsRecovering(request.now)) {
    return index_complete ? AdmitFlow(request, Admission::kRecovered)
                          : Reject(ErrorKind::kMaybeElsewhere);
  }
  const std::optional<PeerSlot> possible_owner =
      m_group.FindSlotByShortId(request.envelope.possible_owner);
  if (possible_owner.has_value()) {
    // The backend server there determines whether it has the flow.
    Envelope envelope = request.envelope;
    envelope.purpose = Purpose::kPresumedOwner;
    return Forward(request, m_group.PeerAt(*possible_owner).facts.id, envelope);
  }
  const bool owner_may_exist =
      !index_complete || m_group.MayHaveUnreachableFlows(request.now);
  return Reject(owner_may_exist ? ErrorKind::kMaybeElsewhere
                                : ErrorKind::kFlowUnknown);
}

}  // namespace medlargauge

// @file agent_ask.cc Asking other agents who has a flow.
#include <algorithm>

#include "src/locate/agent.h"
#include "src/locate/agent_internal.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

/// Removes `id` from a list, keeping the order.
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

Verdict Agent::Ask(const Request& request,
                   Purpose purpose,
                   bool skip_synced,
                   uint32_t query_batch) {
  m_counters.searched +=
      purpose == Purpose::kSearch && query_batch == 0 ? 1 : 0;
  Envelope envelope = request.envelope;
  envelope.purpose = purpose;
  envelope.requester = ShortId(m_group.Self().id);
  envelope.view = m_group.CurrentView();
  envelope.query_batch = query_batch;
  if (query_batch == 0 && !envelope.confirmed_by_peer) {
    envelope.possible_owner = 0;
  }
  envelope.pending = RankedPending(request, skip_synced, query_batch);
  if (envelope.pending.count == 0) {
    const Request again{request.now, request.packet, envelope, false};
    return AskNextLeg(again, purpose);
  }
  return PassAlong(request, envelope);
}

Verdict Agent::AskNextLeg(const Request& request, Purpose purpose) {
  const size_t next_start =
      (static_cast<size_t>(request.envelope.query_batch) + 1) * kMaxPending;
  if (next_start < m_group.View().agents.size()) {
    return Ask(request, purpose, false, request.envelope.query_batch + 1);
  }
  if (purpose == Purpose::kSearch) {
    return ConcludeSearch(request);
  }
  const VersionSplit* split =
      FindSplit(m_group.View(), request.envelope.class_id);
  if (!MayDecide(request.now)) {
    return Reject(ErrorKind::kFenced);
  }
  return split == nullptr ? Reject(ErrorKind::kUnknownAddress)
                          : Place(request, *split);
}

MemberList<kMaxPending> Agent::RankedPending(const Request& request,
                                             bool skip_synced,
                                             uint32_t query_batch) const {
  // Everybody asks in the same order, so two askers meet at the first member
  // that both know, and that member decides which of them goes on.
  std::vector<AgentFacts> ranked = m_group.View().agents;
  const FlowId flow = request.packet.flow;
  std::sort(ranked.begin(), ranked.end(),
            [flow](const AgentFacts& a, const AgentFacts& b) {
              return RankWeight(flow, a.id) > RankWeight(flow, b.id);
            });
  const size_t first = static_cast<size_t>(query_batch) * kMaxPending;
  const size_t last = std::min(ranked.size(), first + kMaxPending);
  const AgentFacts* home =
      HomeOf(m_group.View(), request.envelope.class_id, flow);
  const bool agreed = home != nullptr && home->id == m_group.Self().id;
  const bool one_leg = ranked.size() <= kMaxPending;
  MemberList<kMaxPending> pending;
  for (size_t i = first; i < last; ++i) {
    const std::optional<PeerSlot> slot = m_group.FindSlot(ranked[i].id);
    if (!slot.has_value()) {
      continue;  // This agent itself.
    }
    const Peer& peer = m_group.PeerAt(*slot);
    const bool synced =
        skip_synced && agreed && one_leg && m_group.IsSynced(peer);
    const uint32_t short_id = ShortId(ranked[i].id);
    if (!synced && !request.envelope.visited.Contains(short_id)) {
      pending.Add(short_id);
    }
  }
  return pending;
}

Verdict Agent::PassAlong(const Request& request, Envelope envelope) {
  RemoveFrom(ShortId(m_group.Self().id), &envelope.pending);
  for (uint8_t i = 0; i < envelope.pending.count; ++i) {
    const std::optional<PeerSlot> next =
        m_group.FindShort(envelope.pending.ids[i]);
    const bool alive = next.has_value() &&
                       m_group.PeerAt(*next).facts.state != AgentState::kGone;
    if (alive) {
      const MemberId next_id = m_group.PeerAt(*next).facts.id;
      return Forward(request, next_id, envelope);
    }
  }
  envelope.pending = {};
  const bool own_question = envelope.requester == ShortId(m_group.Self().id);
  if (own_question) {
    const Request again{request.now, request.packet, envelope, false};
    return AskNextLeg(again, envelope.purpose);
  }
  const std::optional<PeerSlot> requester =
      m_group.FindShort(envelope.requester);
  if (!requester.has_value()) {
    return Reject(ErrorKind::kMaybeElsewhere);
  }
  return Forward(request, m_group.PeerAt(*requester).facts.id, envelope);
}

Verdict Agent::ConcludeSearch(const Request& request) {
  // Until all peers have registered their flows, one of them may own it.
  const bool complete = MayDecide(request.now) && m_group.IsIndexComplete();
  if (IsRecovering(request.now)) {
    return complete ? Admit(request, Admission::kRecovered)
                    : Reject(ErrorKind::kMaybeElsewhere);
  }
  const std::optional<PeerSlot> possible_owner =
      m_group.FindShort(request.envelope.possible_owner);
  if (possible_owner.has_value()) {
    // Its backend server judges whether it has the flow.
    Envelope envelope = request.envelope;
    envelope.purpose = Purpose::kPresumedOwner;
    return Forward(request, m_group.PeerAt(*possible_owner).facts.id, envelope);
  }
  const bool somebody_may_know =
      !complete || m_group.MayHaveUnreachableFlows(request.now);
  return Reject(somebody_may_know ? ErrorKind::kMaybeElsewhere
                                  : ErrorKind::kFlowUnknown);
}

}  // namespace medlargauge

// @file agent_packet.cc Handling of packets by flow state and by purpose.
#include <algorithm>

#include "src/locate/agent.h"
#include "src/locate/agent_internal.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

/// After this many hops, each forwarding agent adds itself to `visited`, so
/// that members whose views differ do not forward a packet in a loop.
constexpr uint8_t kHopsBeforeLoopGuard = 2;

}  // namespace

Verdict Agent::OnPacket(TimePoint now,
                        const PacketInfo& packet,
                        const Envelope& envelope) {
  m_group.UpdateFence(now);
  const Request request{now, packet, envelope, false};
  FlowEntry* entry = m_flows.Find(packet.flow);
  if (entry == nullptr) {
    return OnUnknownFlow(request);
  }
  if (entry->class_id != envelope.class_id) {
    return Reject(ErrorKind::kWrongService);
  }
  switch (entry->state) {
    case FlowState::kOwned:
    case FlowState::kClosing:
    case FlowState::kRestored:
      return OnOwnedFlow(request, entry);
    case FlowState::kPointer:
      return OnPointerEntry(request, entry);
    case FlowState::kReserved:
      return OnReservedFlow(request, entry);
    case FlowState::kRefused:
      return OnRefusedFlow(request, entry);
  }
  return Reject(ErrorKind::kFlowUnknown);
}

Verdict Agent::OnOwnedFlow(const Request& request, FlowEntry* entry) {
  const bool new_connection = IsNewConnection(request.packet, *entry);
  if (new_connection && m_draining) {
    RemoveFromFlowCounts(*entry);
    QueueEndedFlow(*entry);
    m_flows.Erase(request.packet.flow);
    Envelope declined = request.envelope;
    declined.visited.Add(ShortId(m_group.Self().id));
    const Request retry{request.now, request.packet, declined, true};
    return RouteToHome(retry);
  }
  RefreshOwnedFlow(request.now, request.packet, entry);
  RegisterWithRequester(request);
  Verdict verdict;
  verdict.kind = VerdictKind::kDeliver;
  verdict.admission = Admission::kKnown;
  ++m_counters.delivered[static_cast<size_t>(Admission::kKnown)];
  return verdict;
}

Verdict Agent::OnPointerEntry(const Request& request, FlowEntry* entry) {
  Peer& owner = m_group.PeerAt(entry->owner);
  const MemberId owner_id = owner.facts.id;
  const bool owner_declined =
      request.envelope.visited.Contains(ShortId(owner_id));
  const bool owner_gone = owner.facts.state == AgentState::kGone;
  // A caller that repeats its packet within the idle timeout must get the same
  // answer.
  const FlowDeadline idle_deadline =
      ToFlowDeadline(request.now + IdleTimeout(request.packet.tuple.transport));
  entry->expires = std::max(entry->expires, idle_deadline);
  if (owner_gone && request.now < owner.rejoin_grace_deadline) {
    // The owner's server may have processed the flow already, and the owner may
    // still return.
    return Reject(ErrorKind::kMaybeElsewhere);
  }
  if (owner_declined && request.envelope.fresh) {
    // The owner knows its load better than its last report shows, so it is not
    // chosen again before the next one.
    owner.declined = true;
  }
  if (owner_declined || owner_gone) {
    m_flows.Erase(request.packet.flow);
    const Request retry{request.now, request.packet, request.envelope,
                        !request.envelope.fresh};
    return OnUnknownFlow(retry);
  }
  Envelope envelope = request.envelope;
  // Only the home may hand a flow over for admission. Any other agent forwards
  // the packet along its pointer.
  const bool may_hand_over =
      request.packet.MayOpenFlow() && MayDecide(request.now) &&
      m_group.IsAuthoritativeHome(request.envelope.class_id,
                                  request.packet.flow);
  if (may_hand_over) {
    envelope.purpose = Purpose::kHandover;
    envelope.possible_owner = 0;
    envelope.fresh = false;
    envelope.view = m_group.CurrentViewId();
    envelope.requester = ShortId(m_group.Self().id);
  } else {
    envelope.purpose = Purpose::kPresumedOwner;
  }
  return Forward(request, owner_id, envelope);
}

Verdict Agent::OnReservedFlow(const Request& request, FlowEntry* entry) {
  const Peer& requester = m_group.PeerAt(entry->owner);
  const MemberId requester_id = requester.facts.id;
  const uint32_t requester_short_id = ShortId(requester_id);
  const bool same_query = request.envelope.purpose == Purpose::kConsult &&
                          request.envelope.requester == requester_short_id;
  if (same_query) {
    return OnConsult(request);
  }
  const bool handed_back =
      request.envelope.purpose == Purpose::kHandover &&
      request.envelope.possible_owner == ShortId(m_group.Self().id);
  if (handed_back) {
    return OnHandover(request);
  }
  const bool confirmed_by_peer =
      request.envelope.purpose == Purpose::kPresumedOwner &&
      IsRecovering(request.now);
  if (confirmed_by_peer) {
    // A peer's pointer shows that this agent owned the flow before the restart,
    // but the requester decides, since it serialises all copies of the packet.
    Envelope envelope = request.envelope;
    envelope.purpose = Purpose::kConsult;
    envelope.requester = requester_short_id;
    envelope.pending = {};
    envelope.possible_owner = ShortId(m_group.Self().id);
    envelope.confirmed_by_peer = true;
    return Forward(request, requester_id, envelope);
  }
  // An authoritative home serialises all decisions about the flow, so older
  // reservations no longer apply.
  const bool authoritative = m_group.IsAuthoritativeHome(
      request.envelope.class_id, request.packet.flow);
  const bool sent_back = request.envelope.visited.Contains(requester_short_id);
  const bool outranks_requester =
      RendezvousWeight(request.packet.flow, m_group.Self().id) >
      RendezvousWeight(request.packet.flow, requester_id);
  if (authoritative || requester.facts.state == AgentState::kGone ||
      (sent_back && outranks_requester)) {
    m_flows.Erase(request.packet.flow);
    const Request retry{request.now, request.packet, request.envelope,
                        request.must_query_all || !authoritative};
    return OnUnknownFlow(retry);
  }
  if (sent_back) {
    return Reject(ErrorKind::kMaybeElsewhere);
  }
  Envelope envelope = request.envelope;
  envelope.purpose = Purpose::kRoute;
  envelope.pending = {};
  envelope.visited.Add(ShortId(m_group.Self().id));
  return Forward(request, requester_id, envelope);
}

Verdict Agent::OnRefusedFlow(const Request& request, FlowEntry* entry) {
  const bool is_udp = request.packet.tuple.transport == Transport::kUdp;
  const bool same_attempt =
      is_udp || request.packet.sequence == entry->initial_sequence;
  if (same_attempt) {
    return Reject(ErrorKind::kOverloaded);
  }
  m_flows.Erase(request.packet.flow);
  return OnUnknownFlow(request);
}

Verdict Agent::OnUnknownFlow(const Request& request) {
  switch (request.envelope.purpose) {
    case Purpose::kRoute:
      return RouteToHome(request);
    case Purpose::kHandover:
      return OnHandover(request);
    case Purpose::kConsult:
      return OnConsult(request);
    case Purpose::kSearch:
      return OnSearch(request);
    case Purpose::kPresumedOwner:
      break;
  }
  // A peer has a pointer to this agent, which has no entry of the flow.
  const bool new_while_draining = m_draining && request.packet.syn;
  if (IsRecovering(request.now) && !new_while_draining) {
    return AdmitFlow(request, Admission::kRecovered);
  }
  Envelope declined = request.envelope;
  declined.visited.Add(ShortId(m_group.Self().id));
  const Request retry{request.now, request.packet, declined, true};
  return RouteToHome(retry);
}

Verdict Agent::OnHandover(const Request& request) {
  const ServiceView& view = m_group.View();
  const VersionSplit* split = FindSplit(view, request.envelope.class_id);
  const bool same_view = request.envelope.view == m_group.CurrentViewId() ||
                         m_config.fault_injection.skip_view_check;
  if (!MayDecide(request.now)) {
    // After a pause of this process, the handover may be long out of date.
    return Reject(ErrorKind::kFenced);
  }
  const bool new_while_draining =
      m_draining && !request.envelope.confirmed_by_peer;
  if (IsRecovering(request.now) && !new_while_draining) {
    // This agent may have owned the flow before the restart, so it never
    // declines the flow.
    return same_view ? AdmitFlow(request, Admission::kRecovered)
                     : Reject(ErrorKind::kMaybeElsewhere);
  }
  const bool may_admit =
      split != nullptr &&
      (m_config.fault_injection.admit_while_draining ||
       MayAdmit(view, m_group.Self(), *split, request.packet.flow));
  const bool has_capacity = m_open_flows < m_config.limits.capacity;
  const bool within_bound = !request.envelope.fresh || split == nullptr ||
                            IsWithinOwnLoadBound(request, *split);
  if (same_view && may_admit && has_capacity && within_bound &&
      request.packet.MayOpenFlow()) {
    return AdmitFlow(request, Admission::kHandover);
  }
  const std::optional<PeerSlot> requester =
      m_group.FindSlotByShortId(request.envelope.requester);
  if (requester.has_value()) {
    ReserveForRequester(request, *requester);
  }
  Envelope declined = request.envelope;
  declined.purpose = Purpose::kRoute;
  declined.fresh = request.envelope.fresh && same_view;
  declined.visited.Add(ShortId(m_group.Self().id));
  const Request retry{request.now, request.packet, declined, true};
  if (requester.has_value()) {
    return Forward(retry, m_group.PeerAt(*requester).facts.id, declined);
  }
  return RouteToHome(retry);
}

Verdict Agent::OnConsult(const Request& request) {
  const uint32_t self = ShortId(m_group.Self().id);
  const VersionSplit* split =
      FindSplit(m_group.View(), request.envelope.class_id);
  if (request.envelope.requester == self) {
    const bool same_view = request.envelope.view == m_group.CurrentViewId();
    if (!same_view || split == nullptr) {
      return RouteToHome(request);
    }
    if (request.envelope.pending.count > 0) {
      return ForwardQuery(request, request.envelope);
    }
    return QueryNextBatch(request, Purpose::kConsult);
  }
  const bool authoritative =
      split != nullptr && MayDecide(request.now) &&
      m_group.IsAuthoritativeHome(request.envelope.class_id,
                                  request.packet.flow);
  if (authoritative) {
    return PlaceFlow(request, *split);
  }
  const std::optional<PeerSlot> requester =
      m_group.FindSlotByShortId(request.envelope.requester);
  if (!requester.has_value()) {
    // A reservation cannot refer to an unknown requester. The caller's
    // transport sends the packet again.
    return Reject(ErrorKind::kMaybeElsewhere);
  }
  ReserveForRequester(request, *requester);
  return ForwardQuery(request, EnvelopeWithPossibleOwner(request));
}

Verdict Agent::OnSearch(const Request& request) {
  const uint32_t self = ShortId(m_group.Self().id);
  if (request.envelope.requester != self) {
    return ForwardQuery(request, EnvelopeWithPossibleOwner(request));
  }
  if (request.envelope.pending.count > 0) {
    return ForwardQuery(request, request.envelope);
  }
  return QueryNextBatch(request, Purpose::kSearch);
}

Envelope Agent::EnvelopeWithPossibleOwner(const Request& request) const {
  Envelope envelope = request.envelope;
  if (IsRecovering(request.now) && !m_draining &&
      envelope.possible_owner == 0) {
    // The requester decides, since it serialises all copies of the packet.
    envelope.possible_owner = ShortId(m_group.Self().id);
  }
  return envelope;
}

Verdict Agent::RouteToHome(const Request& request) {
  const ServiceView& view = m_group.View();
  const VersionSplit* split = FindSplit(view, request.envelope.class_id);
  if (split == nullptr) {
    return Reject(ErrorKind::kUnknownAddress);
  }
  const AgentFacts* home =
      HomeOf(view, request.envelope.class_id, request.packet.flow);
  const bool has_other_home =
      home != nullptr && home->id != m_group.Self().id &&
      !request.envelope.visited.Contains(ShortId(home->id));
  if (!has_other_home) {
    return DecideAsHome(request, *split);
  }
  Envelope envelope = request.envelope;
  envelope.purpose = Purpose::kRoute;
  envelope.pending = {};
  if (envelope.hops >= kHopsBeforeLoopGuard) {
    envelope.visited.Add(ShortId(m_group.Self().id));
  }
  return Forward(request, home->id, envelope);
}

Verdict Agent::DecideAsHome(const Request& request, const VersionSplit& split) {
  if (!request.packet.MayOpenFlow()) {
    // A reset of an unknown flow needs no search and no answer.
    return request.packet.rst ? Reject(ErrorKind::kMaybeElsewhere)
                              : QueryPeers(request, Purpose::kSearch, false, 0);
  }
  if (!MayDecide(request.now)) {
    return Reject(ErrorKind::kFenced);
  }
  if (m_config.fault_injection.skip_consult) {
    return PlaceFlow(request, split);
  }
  // If an agent declines a flow that the home has just handed over to it, this
  // does not show that another agent owns the flow.
  const bool must_query_all =
      request.must_query_all ||
      (request.envelope.visited.count > 0 && !request.envelope.fresh);
  const bool authoritative = m_group.IsAuthoritativeHome(
      request.envelope.class_id, request.packet.flow);
  const bool home_moved = m_group.HasHomeMovedByRemoval(
      request.now, request.envelope.class_id, request.packet.flow);
  if (authoritative && !must_query_all && !home_moved) {
    return PlaceFlow(request, split);
  }
  ++m_counters.consulted;
  return QueryPeers(request, Purpose::kConsult, !must_query_all && !home_moved,
                    0);
}

bool Agent::IsNewConnection(const PacketInfo& packet,
                            const FlowEntry& entry) const {
  return packet.syn && (entry.state == FlowState::kClosing ||
                        entry.initial_sequence != packet.sequence);
}

}  // namespace medlargauge

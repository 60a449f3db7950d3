// @file agent_packet.cc Where a packet goes: known flows, pointers, questions.
#include <algorithm>

#include "src/locate/agent.h"
#include "src/locate/agent_internal.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

/// From this many hops on, forwarders list themselves so that members whose
/// views disagree do not pass a packet to and fro.
constexpr uint8_t kHopsBeforeListing = 2;

}  // namespace

Verdict Agent::OnPacket(TimePoint now,
                        const PacketInfo& packet,
                        const Envelope& envelope) {
  m_group.Observe(now);
  const Request request{now, packet, envelope, false};
  FlowEntry* entry = m_flows.Find(packet.flow);
  if (entry == nullptr) {
    return OnUnknown(request);
  }
  if (entry->class_id != envelope.class_id) {
    return Reject(ErrorKind::kWrongService);
  }
  switch (entry->state) {
    case FlowState::kOwned:
    case FlowState::kClosing:
    case FlowState::kReturned:
      return OnKnown(request, entry);
    case FlowState::kPointer:
      return OnPointer(request, entry);
    case FlowState::kMark:
      return OnMark(request, entry);
    case FlowState::kRefused:
      return OnRefused(request, entry);
  }
  return Reject(ErrorKind::kFlowUnknown);
}

Verdict Agent::OnKnown(const Request& request, FlowEntry* entry) {
  const bool new_work = IsNewConnection(request.packet, *entry);
  if (new_work && m_draining) {
    ForgetOwned(*entry);
    NoteEnded(*entry);
    m_flows.Erase(request.packet.flow);
    Envelope bounced = request.envelope;
    bounced.visited.Add(ShortId(m_group.Self().id));
    const Request again{request.now, request.packet, bounced, true};
    return RouteToHome(again);
  }
  RefreshOwned(request.now, request.packet, entry);
  ClaimFor(request);
  Verdict verdict;
  verdict.kind = VerdictKind::kDeliver;
  verdict.admission = Admission::kKnown;
  ++m_counters.delivered[static_cast<size_t>(Admission::kKnown)];
  return verdict;
}

Verdict Agent::OnPointer(const Request& request, FlowEntry* entry) {
  Peer& owner = m_group.PeerAt(entry->owner);
  const MemberId owner_id = owner.facts.id;
  const bool bounced = request.envelope.visited.Contains(ShortId(owner_id));
  const bool gone = owner.facts.state == AgentState::kGone;
  // The caller that repeats its packet must find the same answer for as long.
  const FlowDeadline idle =
      ToFlowDeadline(request.now + IdleTimeout(request.packet.tuple.transport));
  entry->expires = std::max(entry->expires, idle);
  if (gone && request.now < owner.reappear_deadline) {
    // Its server may have run the flow's work already and may come back.
    return Reject(ErrorKind::kMaybeElsewhere);
  }
  if (bounced && request.envelope.fresh) {
    // It knows its own load better; ask it again after its next report.
    owner.declined = true;
  }
  if (bounced || gone) {
    m_flows.Erase(request.packet.flow);
    const Request again{request.now, request.packet, request.envelope,
                        !request.envelope.fresh};
    return OnUnknown(again);
  }
  Envelope envelope = request.envelope;
  // Only the deciding home may ask for an admission; anybody else just points.
  const bool decides =
      request.packet.MayOpenFlow() && MayDecide(request.now) &&
      m_group.IsCleanHome(request.envelope.class_id, request.packet.flow);
  if (decides) {
    envelope.purpose = Purpose::kHandover;
    envelope.possible_owner = 0;
    envelope.fresh = false;
    envelope.view = m_group.CurrentView();
    envelope.requester = ShortId(m_group.Self().id);
  } else {
    envelope.purpose = Purpose::kPresumedOwner;
  }
  return Forward(request, owner_id, envelope);
}

Verdict Agent::OnMark(const Request& request, FlowEntry* entry) {
  const Peer& requester = m_group.PeerAt(entry->owner);
  const MemberId asker_id = requester.facts.id;
  const uint32_t asker_short = ShortId(asker_id);
  const bool same_question = request.envelope.purpose == Purpose::kConsult &&
                             request.envelope.requester == asker_short;
  if (same_question) {
    return OnConsult(request);
  }
  const bool claimed =
      request.envelope.purpose == Purpose::kHandover &&
      request.envelope.possible_owner == ShortId(m_group.Self().id);
  if (claimed) {
    return OnHandover(request);
  }
  const bool confirmed_by_peer =
      request.envelope.purpose == Purpose::kPresumedOwner &&
      IsRecovering(request.now);
  if (confirmed_by_peer) {
    // A peer remembers that the flow was here before the restart, but the
    // requester decides: it serialises all copies of the packet.
    Envelope envelope = request.envelope;
    envelope.purpose = Purpose::kConsult;
    envelope.requester = asker_short;
    envelope.pending = {};
    envelope.possible_owner = ShortId(m_group.Self().id);
    envelope.confirmed_by_peer = true;
    return Forward(request, asker_id, envelope);
  }
  // A clean home serialises all decisions, so older marks are void.
  const bool clean =
      m_group.IsCleanHome(request.envelope.class_id, request.packet.flow);
  const bool returned = request.envelope.visited.Contains(asker_short);
  const bool wins = RankWeight(request.packet.flow, m_group.Self().id) >
                    RankWeight(request.packet.flow, asker_id);
  if (clean || requester.facts.state == AgentState::kGone ||
      (returned && wins)) {
    m_flows.Erase(request.packet.flow);
    const Request again{request.now, request.packet, request.envelope,
                        request.must_ask || !clean};
    return OnUnknown(again);
  }
  if (returned) {
    return Reject(ErrorKind::kMaybeElsewhere);
  }
  Envelope envelope = request.envelope;
  envelope.purpose = Purpose::kRoute;
  envelope.pending = {};
  envelope.visited.Add(ShortId(m_group.Self().id));
  return Forward(request, asker_id, envelope);
}

Verdict Agent::OnRefused(const Request& request, FlowEntry* entry) {
  const bool is_udp = request.packet.tuple.transport == Transport::kUdp;
  const bool same_attempt =
      is_udp || request.packet.sequence == entry->initial_sequence;
  if (same_attempt) {
    return Reject(ErrorKind::kOverloaded);
  }
  m_flows.Erase(request.packet.flow);
  return OnUnknown(request);
}

Verdict Agent::OnUnknown(const Request& request) {
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
  // Somebody pointed here in vain.
  const bool new_work = m_draining && request.packet.syn;
  if (IsRecovering(request.now) && !new_work) {
    return Admit(request, Admission::kRecovered);
  }
  Envelope bounced = request.envelope;
  bounced.visited.Add(ShortId(m_group.Self().id));
  const Request again{request.now, request.packet, bounced, true};
  return RouteToHome(again);
}

Verdict Agent::OnHandover(const Request& request) {
  const ServiceView& view = m_group.View();
  const VersionSplit* split = FindSplit(view, request.envelope.class_id);
  const bool same_view = request.envelope.view == m_group.CurrentView() ||
                         m_config.faulty.skip_view_check;
  if (!MayDecide(request.now)) {
    // A member that was paused may hold a handover that is long out of date.
    return Reject(ErrorKind::kFenced);
  }
  const bool drains = m_draining && !request.envelope.confirmed_by_peer;
  if (IsRecovering(request.now) && !drains) {
    // The flow may have been here before the restart, so it is never declined.
    return same_view ? Admit(request, Admission::kRecovered)
                     : Reject(ErrorKind::kMaybeElsewhere);
  }
  const bool may_admit =
      split != nullptr &&
      (m_config.faulty.admit_while_draining ||
       MayAdmit(view, m_group.Self(), *split, request.packet.flow));
  const bool room = m_open_flows < m_config.limits.capacity;
  const bool even = !request.envelope.fresh || split == nullptr ||
                    IsWithinOwnBound(request, *split);
  if (same_view && may_admit && room && even && request.packet.MayOpenFlow()) {
    return Admit(request, Admission::kHandover);
  }
  const std::optional<PeerSlot> requester =
      m_group.FindShort(request.envelope.requester);
  if (requester.has_value()) {
    LeaveMark(request, *requester);
  }
  Envelope bounced = request.envelope;
  bounced.purpose = Purpose::kRoute;
  bounced.fresh = request.envelope.fresh && same_view;
  bounced.visited.Add(ShortId(m_group.Self().id));
  const Request again{request.now, request.packet, bounced, true};
  if (requester.has_value()) {
    return Forward(again, m_group.PeerAt(*requester).facts.id, bounced);
  }
  return RouteToHome(again);
}

Verdict Agent::OnConsult(const Request& request) {
  const uint32_t self = ShortId(m_group.Self().id);
  const VersionSplit* split =
      FindSplit(m_group.View(), request.envelope.class_id);
  if (request.envelope.requester == self) {
    const bool same_view = request.envelope.view == m_group.CurrentView();
    if (!same_view || split == nullptr) {
      return RouteToHome(request);
    }
    if (request.envelope.pending.count > 0) {
      return PassAlong(request, request.envelope);
    }
    return AskNextLeg(request, Purpose::kConsult);
  }
  const bool clean =
      split != nullptr && MayDecide(request.now) &&
      m_group.IsCleanHome(request.envelope.class_id, request.packet.flow);
  if (clean) {
    return Place(request, *split);
  }
  const std::optional<PeerSlot> requester =
      m_group.FindShort(request.envelope.requester);
  if (!requester.has_value()) {
    // Unknown askers cannot be pointed to; the caller's transport retries.
    return Reject(ErrorKind::kMaybeElsewhere);
  }
  LeaveMark(request, *requester);
  return PassAlong(request, WithClaim(request));
}

Verdict Agent::OnSearch(const Request& request) {
  const uint32_t self = ShortId(m_group.Self().id);
  if (request.envelope.requester != self) {
    return PassAlong(request, WithClaim(request));
  }
  if (request.envelope.pending.count > 0) {
    return PassAlong(request, request.envelope);
  }
  return AskNextLeg(request, Purpose::kSearch);
}

Envelope Agent::WithClaim(const Request& request) const {
  Envelope envelope = request.envelope;
  if (IsRecovering(request.now) && !m_draining &&
      envelope.possible_owner == 0) {
    // The requester decides: it serialises all copies of the packet.
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
  const bool elsewhere = home != nullptr && home->id != m_group.Self().id &&
                         !request.envelope.visited.Contains(ShortId(home->id));
  if (!elsewhere) {
    return DecideAsHome(request, *split);
  }
  Envelope envelope = request.envelope;
  envelope.purpose = Purpose::kRoute;
  envelope.pending = {};
  if (envelope.hops >= kHopsBeforeListing) {
    envelope.visited.Add(ShortId(m_group.Self().id));
  }
  return Forward(request, home->id, envelope);
}

Verdict Agent::DecideAsHome(const Request& request, const VersionSplit& split) {
  if (!request.packet.MayOpenFlow()) {
    // A reset for a flow that nobody has needs no answer.
    return request.packet.rst ? Reject(ErrorKind::kMaybeElsewhere)
                              : Ask(request, Purpose::kSearch, false, 0);
  }
  if (!MayDecide(request.now)) {
    return Reject(ErrorKind::kFenced);
  }
  if (m_config.faulty.skip_consult) {
    return Place(request, split);
  }
  // A decline of what was placed a moment ago tells nothing about others.
  const bool bounced =
      request.must_ask ||
      (request.envelope.visited.count > 0 && !request.envelope.fresh);
  const bool clean =
      m_group.IsCleanHome(request.envelope.class_id, request.packet.flow);
  const bool moved = m_group.HasMovedAcrossRemoval(
      request.now, request.envelope.class_id, request.packet.flow);
  if (clean && !bounced && !moved) {
    return Place(request, split);
  }
  ++m_counters.consulted;
  return Ask(request, Purpose::kConsult, !bounced && !moved, 0);
}

bool Agent::IsNewConnection(const PacketInfo& packet,
                            const FlowEntry& entry) const {
  return packet.syn && (entry.state == FlowState::kClosing ||
                        entry.initial_sequence != packet.sequence);
}

}  // namespace medlargauge

// @file agent_admit.cc Admission of new flows, handover and refusal.
#include <algorithm>

#include "src/admission/admission.h"
#include "src/locate/agent.h"
#include "src/locate/agent_internal.h"
#include "src/routing/routing.h"

namespace medlargauge {

Verdict Agent::PlaceFlow(const Request& request, const VersionSplit& split) {
  const bool may_have_owned =
      IsRecovering(request.now) && !m_draining &&
      !request.envelope.confirmed_by_peer &&
      MayAdmit(m_group.View(), m_group.Self(), split, request.packet.flow);
  if (may_have_owned) {
    // This agent may have admitted the flow before the restart.
    return AdmitFlow(request, Admission::kRecovered);
  }
  const std::optional<PeerSlot> possible_owner =
      request.envelope.purpose == Purpose::kConsult ||
              request.envelope.confirmed_by_peer
          ? m_group.FindSlotByShortId(request.envelope.possible_owner)
          : std::nullopt;
  if (possible_owner.has_value()) {
    return HandOverFlow(request, *possible_owner,
                        request.envelope.possible_owner);
  }
  const AdmissionInput input = MakeAdmissionInput(request, split);
  const std::optional<size_t> choice = m_config.policy(input);
  if (!choice.has_value()) {
    return RefuseFlow(request);
  }
  const MemberId chosen = input.candidates[*choice].id;
  if (chosen == m_group.Self().id) {
    return AdmitFlow(request, Admission::kHome);
  }
  return HandOverFlow(request, *m_group.FindSlot(chosen), 0);
}

Verdict Agent::HandOverFlow(const Request& request,
                            PeerSlot slot,
                            uint32_t possible_owner) {
  const MemberId chosen = m_group.PeerAt(slot).facts.id;
  ++m_counters.handed_over;
  if (!m_config.fault_injection.drop_pointers) {
    FlowEntry& entry = m_flows.Insert(request.packet.flow);
    entry.class_id = request.envelope.class_id;
    entry.owner = slot;
    entry.state = FlowState::kPointer;
    entry.transport = request.packet.tuple.transport;
    entry.initial_sequence = request.packet.sequence;
    entry.expires = ToFlowDeadline(request.now + IdleTimeout(entry.transport));
  }
  Envelope envelope = request.envelope;
  envelope.purpose = Purpose::kHandover;
  envelope.possible_owner = possible_owner;
  envelope.fresh = true;
  envelope.view = m_group.CurrentViewId();
  envelope.requester = ShortId(m_group.Self().id);
  envelope.pending = {};
  return Forward(request, chosen, envelope);
}

Verdict Agent::RefuseFlow(const Request& request) {
  if (request.envelope.visited.count > 0 && !request.envelope.fresh) {
    // The agents that declined may have capacity but a different view. After a
    // decline of a fresh handover in the same view this does not apply: the
    // reservation stored there prevents a late admission.
    return Reject(ErrorKind::kMaybeElsewhere);
  }
  FlowEntry& entry = m_flows.Insert(request.packet.flow);
  entry.class_id = request.envelope.class_id;
  entry.state = FlowState::kRefused;
  entry.initial_sequence = request.packet.sequence;
  entry.expires = ToFlowDeadline(request.now + m_config.limits.refusal);
  return Reject(ErrorKind::kOverloaded);
}

bool Agent::IsWithinOwnLoadBound(const Request& request,
                                 const VersionSplit& split) const {
  // Only this agent's own flow count is exact, so it overrides the estimate of
  // the home. When `visited` is almost full, the bound is not applied, so that
  // no agent that has declined already is asked again.
  if (request.envelope.visited.count >= kMaxVisited - 1) {
    return true;
  }
  return IsWithinDoubleExcess(MakeAdmissionInput(request, split));
}

double Agent::MeanFlowGrowth() const {
  double sum = 0;
  int count = 0;
  for (const Peer& peer : m_group.Peers()) {
    const bool is_ready_agent =
        !peer.observer && peer.facts.state == AgentState::kReady;
    sum += is_ready_agent ? peer.flow_growth_per_s : 0;
    count += is_ready_agent ? 1 : 0;
  }
  return count == 0 ? 0 : sum / count;
}

uint32_t Agent::EstimateOpenFlows(TimePoint now,
                                  const Peer& peer,
                                  double growth) const {
  // A report is up to one heartbeat interval old, and flow counts of all
  // servers grow together, so the mean growth since the report is added.
  const double report_age_s =
      std::chrono::duration<double>(now - peer.reported_at).count();
  const double estimate = peer.open_flows + growth * report_age_s;
  return static_cast<uint32_t>(std::max(estimate, 0.0));
}

AdmissionInput Agent::MakeAdmissionInput(const Request& request,
                                         const VersionSplit& split) const {
  const double growth = MeanFlowGrowth();
  AdmissionInput input;
  input.flow = request.packet.flow;
  input.evenness = split.evenness;
  for (const AgentFacts& facts : m_group.View().agents) {
    const bool too_many_visited =
        request.envelope.visited.count >= kMaxVisited - 1 &&
        facts.id != m_group.Self().id;
    const bool excluded =
        too_many_visited ||
        request.envelope.visited.Contains(ShortId(facts.id)) ||
        !MayAdmit(m_group.View(), facts, split, request.packet.flow);
    if (excluded) {
      continue;
    }
    AdmissionCandidate candidate;
    candidate.id = facts.id;
    candidate.domain = facts.domain;
    if (facts.id == m_group.Self().id) {
      const OwnLoad load = CurrentLoad(request.now);
      candidate.open_flows = load.open_flows;
      candidate.capacity = load.capacity;
      candidate.ramp = load.ramp;
      candidate.shedding = load.shedding;
      input.self = input.candidates.size();
    } else {
      const Peer& peer = m_group.PeerAt(*m_group.FindSlot(facts.id));
      candidate.open_flows = EstimateOpenFlows(request.now, peer, growth);
      candidate.capacity = peer.capacity;
      candidate.ramp = peer.ramp;
      candidate.shedding = peer.shedding;
      candidate.declined = peer.declined;
    }
    input.candidates.push_back(candidate);
  }
  ClampLowCounts(&input);
  return input;
}

Verdict Agent::AdmitFlow(const Request& request, Admission admission) {
  const bool new_flow = admission != Admission::kRecovered;
  m_counters.admissions_while_draining += m_draining && new_flow ? 1 : 0;
  const bool serves_class =
      FindSplit(m_group.View(), request.envelope.class_id) != nullptr;
  m_counters.admissions_of_other_service += serves_class ? 0 : 1;
  FlowEntry& entry = m_flows.Insert(request.packet.flow);
  RemoveFromFlowCounts(entry);
  entry.class_id = request.envelope.class_id;
  entry.state = FlowState::kOwned;
  entry.initial_sequence = request.packet.sequence;
  AddToFlowCounts(entry);
  entry.transport = request.packet.tuple.transport;
  RefreshOwnedFlow(request.now, request.packet, &entry);
  RegisterWithRequester(request);
  RegisterWithBackup(request.now, entry);
  Verdict verdict;
  verdict.kind = VerdictKind::kDeliver;
  verdict.admission = admission;
  ++m_counters.delivered[static_cast<size_t>(admission)];
  return verdict;
}

void Agent::RefreshOwnedFlow(TimePoint now,
                             const PacketInfo& packet,
                             FlowEntry* entry) {
  const AgentLimits& limits = m_config.limits;
  if (entry->state == FlowState::kRestored) {
    RemoveFromFlowCounts(*entry);
    entry->state = FlowState::kOwned;
    AddToFlowCounts(*entry);
  }
  if (packet.tuple.transport == Transport::kUdp) {
    entry->expires = ToFlowDeadline(now + limits.udp_idle);
    return;
  }
  const bool reopens = packet.syn && entry->state == FlowState::kClosing;
  const bool closes =
      (packet.fin || packet.rst) && entry->state == FlowState::kOwned;
  if (reopens || closes) {
    RemoveFromFlowCounts(*entry);
    entry->state = closes ? FlowState::kClosing : FlowState::kOwned;
    AddToFlowCounts(*entry);
  }
  if (packet.syn) {
    entry->initial_sequence = packet.sequence;
    entry->expires = ToFlowDeadline(now + limits.opening);
  } else if (entry->state == FlowState::kClosing) {
    entry->expires = ToFlowDeadline(now + limits.closing);
  } else {
    entry->expires = ToFlowDeadline(now + limits.tcp_idle);
  }
}

void Agent::ReserveForRequester(const Request& request, PeerSlot requester) {
  if (m_config.fault_injection.skip_reservations) {
    return;
  }
  FlowEntry& entry = m_flows.Insert(request.packet.flow);
  entry.class_id = request.envelope.class_id;
  entry.owner = requester;
  entry.state = FlowState::kReserved;
  entry.expires = ToFlowDeadline(request.now + m_config.limits.mark);
}

void Agent::RegisterWithRequester(const Request& request) {
  const bool is_query = request.envelope.requester != 0 &&
                        request.envelope.purpose != Purpose::kHandover;
  const std::optional<PeerSlot> requester =
      is_query ? m_group.FindSlotByShortId(request.envelope.requester)
               : std::nullopt;
  if (!requester.has_value()) {
    return;
  }
  const FlowEntry* entry = m_flows.Find(request.packet.flow);
  proto::GroupMessage registration = m_group.NewMessage();
  detail::AddToRegistration(*entry, registration.mutable_registration());
  m_outgoing.push_back(
      {m_group.PeerAt(*requester).facts.id, std::move(registration)});
}

void Agent::RegisterWithBackup(TimePoint now, const FlowEntry& entry) {
  const std::optional<MemberId> backup = BackupOf(entry);
  if (!backup.has_value()) {
    return;
  }
  if (now >= m_backup_window_end) {
    m_backup_window_end = now + Seconds(1);
    m_backups_in_window = 0;
  }
  if (m_backups_in_window >= m_config.limits.backups_per_second) {
    ++m_counters.backups_skipped;
    return;
  }
  ++m_backups_in_window;
  proto::GroupMessage message = m_group.NewMessage();
  detail::AddToRegistration(entry, message.mutable_registration());
  m_outgoing.push_back({*backup, std::move(message)});
}

std::optional<MemberId> Agent::BackupOf(const FlowEntry& entry) const {
  const AgentFacts* home = HomeOf(m_group.View(), entry.class_id, entry.flow);
  if (home == nullptr) {
    return std::nullopt;
  }
  const AgentFacts* next =
      HomeExcluding(m_group.View(), entry.class_id, entry.flow, home->id);
  const bool is_peer = next != nullptr && next->id != m_group.Self().id;
  return is_peer ? std::make_optional(next->id) : std::nullopt;
}

Verdict Agent::Forward(const Request& request,
                       MemberId next,
                       Envelope envelope) {
  if (request.envelope.hops >= m_config.limits.max_hops) {
    return Reject(ErrorKind::kHopLimit);
  }
  envelope.hops = request.envelope.hops + 1;
  ++m_counters.forwarded;
  Verdict verdict;
  verdict.kind = VerdictKind::kForward;
  verdict.next = next;
  verdict.envelope = envelope;
  return verdict;
}

Verdict Agent::Reject(ErrorKind kind) {
  ++m_counters.rejected[static_cast<size_t>(kind)];
  Verdict verdict;
  verdict.error = kind;
  return verdict;
}

}  // namespace medlargauge

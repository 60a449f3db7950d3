// @file agent_admit.cc Placing and admitting new flows.
#include <algorithm>

#include "src/admission/admission.h"
#include "src/locate/agent.h"
#include "src/locate/agent_internal.h"
#include "src/routing/routing.h"

namespace medlargauge {

Verdict Agent::Place(const Request& request, const VersionSplit& split) {
  const bool own_choice =
      IsRecovering(request.now) && !m_draining &&
      !request.envelope.confirmed_by_peer &&
      MayAdmit(m_group.View(), m_group.Self(), split, request.packet.flow);
  if (own_choice) {
    // The flow may have been admitted here before the restart.
    return Admit(request, Admission::kRecovered);
  }
  const std::optional<PeerSlot> possible_owner =
      request.envelope.purpose == Purpose::kConsult ||
              request.envelope.confirmed_by_peer
          ? m_group.FindShort(request.envelope.possible_owner)
          : std::nullopt;
  if (possible_owner.has_value()) {
    return HandOver(request, *possible_owner, request.envelope.possible_owner);
  }
  const AdmissionInput input = MakeInput(request, split);
  const std::optional<size_t> choice = m_config.policy(input);
  if (!choice.has_value()) {
    return Refuse(request);
  }
  const MemberId chosen = input.candidates[*choice].id;
  if (chosen == m_group.Self().id) {
    return Admit(request, Admission::kHome);
  }
  return HandOver(request, *m_group.FindSlot(chosen), 0);
}

Verdict Agent::HandOver(const Request& request,
                        PeerSlot slot,
                        uint32_t possible_owner) {
  const MemberId chosen = m_group.PeerAt(slot).facts.id;
  ++m_counters.handed_over;
  if (!m_config.faulty.forget_pointers) {
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
  envelope.view = m_group.CurrentView();
  envelope.requester = ShortId(m_group.Self().id);
  envelope.pending = {};
  return Forward(request, chosen, envelope);
}

Verdict Agent::Refuse(const Request& request) {
  if (request.envelope.visited.count > 0 && !request.envelope.fresh) {
    // Those who declined may have room, but disagreed about the view. A fresh
    // decline in the same view left a mark, so nothing can be admitted late.
    return Reject(ErrorKind::kMaybeElsewhere);
  }
  FlowEntry& entry = m_flows.Insert(request.packet.flow);
  entry.class_id = request.envelope.class_id;
  entry.state = FlowState::kRefused;
  entry.initial_sequence = request.packet.sequence;
  entry.expires = ToFlowDeadline(request.now + m_config.limits.refusal);
  return Reject(ErrorKind::kOverloaded);
}

bool Agent::IsWithinOwnBound(const Request& request,
                             const VersionSplit& split) const {
  // Only the own count is exact, so it has the last word over what the home
  // believes. One who declined already must not be asked in vain.
  if (request.envelope.visited.count >= kMaxVisited - 1) {
    return true;
  }
  return IsBelowBound(MakeInput(request, split));
}

double Agent::MeanGrowth() const {
  double sum = 0;
  int count = 0;
  for (const Peer& peer : m_group.Peers()) {
    const bool counts =
        !peer.observer && peer.facts.state == AgentState::kReady;
    sum += counts ? peer.growth_per_s : 0;
    count += counts ? 1 : 0;
  }
  return count == 0 ? 0 : sum / count;
}

uint32_t Agent::EstimatedFlows(TimePoint now,
                               const Peer& peer,
                               double growth) const {
  // Reports are up to a heartbeat old, while all servers grow together.
  const double since =
      std::chrono::duration<double>(now - peer.reported_at).count();
  const double estimate = peer.open_flows + growth * since;
  return static_cast<uint32_t>(std::max(estimate, 0.0));
}

AdmissionInput Agent::MakeInput(const Request& request,
                                const VersionSplit& split) const {
  const double growth = MeanGrowth();
  AdmissionInput input;
  input.flow = request.packet.flow;
  input.evenness = split.evenness;
  for (const AgentFacts& facts : m_group.View().agents) {
    const bool tried_enough =
        request.envelope.visited.count >= kMaxVisited - 1 &&
        facts.id != m_group.Self().id;
    const bool excluded =
        tried_enough || request.envelope.visited.Contains(ShortId(facts.id)) ||
        !MayAdmit(m_group.View(), facts, split, request.packet.flow);
    if (excluded) {
      continue;
    }
    AdmissionCandidate candidate;
    candidate.id = facts.id;
    candidate.domain = facts.domain;
    if (facts.id == m_group.Self().id) {
      const OwnLoad load = Load(request.now);
      candidate.open_flows = load.open_flows;
      candidate.capacity = load.capacity;
      candidate.ramp = load.ramp;
      candidate.shedding = load.shedding;
      input.self = input.candidates.size();
    } else {
      const Peer& peer = m_group.PeerAt(*m_group.FindSlot(facts.id));
      candidate.open_flows = EstimatedFlows(request.now, peer, growth);
      candidate.capacity = peer.capacity;
      candidate.ramp = peer.ramp;
      candidate.shedding = peer.shedding;
      candidate.declined = peer.declined;
    }
    input.candidates.push_back(candidate);
  }
  DistrustLowReports(&input);
  return input;
}

Verdict Agent::Admit(const Request& request, Admission how) {
  const bool new_work = how != Admission::kRecovered;
  m_counters.admissions_while_draining += m_draining && new_work ? 1 : 0;
  const bool ours =
      FindSplit(m_group.View(), request.envelope.class_id) != nullptr;
  m_counters.admissions_of_other_service += ours ? 0 : 1;
  FlowEntry& entry = m_flows.Insert(request.packet.flow);
  ForgetOwned(entry);
  entry.class_id = request.envelope.class_id;
  entry.state = FlowState::kOwned;
  entry.initial_sequence = request.packet.sequence;
  CountOwned(entry);
  entry.transport = request.packet.tuple.transport;
  RefreshOwned(request.now, request.packet, &entry);
  ClaimFor(request);
  RegisterWithBackup(request.now, entry);
  Verdict verdict;
  verdict.kind = VerdictKind::kDeliver;
  verdict.admission = how;
  ++m_counters.delivered[static_cast<size_t>(how)];
  return verdict;
}

void Agent::RefreshOwned(TimePoint now,
                         const PacketInfo& packet,
                         FlowEntry* entry) {
  const AgentLimits& limits = m_config.limits;
  if (entry->state == FlowState::kReturned) {
    ForgetOwned(*entry);
    entry->state = FlowState::kOwned;
    CountOwned(*entry);
  }
  if (packet.tuple.transport == Transport::kUdp) {
    entry->expires = ToFlowDeadline(now + limits.udp_idle);
    return;
  }
  const bool reopened = packet.syn && entry->state == FlowState::kClosing;
  const bool closes =
      (packet.fin || packet.rst) && entry->state == FlowState::kOwned;
  if (reopened || closes) {
    ForgetOwned(*entry);
    entry->state = closes ? FlowState::kClosing : FlowState::kOwned;
    CountOwned(*entry);
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

void Agent::LeaveMark(const Request& request, PeerSlot requester) {
  if (m_config.faulty.skip_marks) {
    return;
  }
  FlowEntry& entry = m_flows.Insert(request.packet.flow);
  entry.class_id = request.envelope.class_id;
  entry.owner = requester;
  entry.state = FlowState::kMark;
  entry.expires = ToFlowDeadline(request.now + m_config.limits.mark);
}

void Agent::ClaimFor(const Request& request) {
  const bool asked = request.envelope.requester != 0 &&
                     request.envelope.purpose != Purpose::kHandover;
  const std::optional<PeerSlot> requester =
      asked ? m_group.FindShort(request.envelope.requester) : std::nullopt;
  if (!requester.has_value()) {
    return;
  }
  const FlowEntry* entry = m_flows.Find(request.packet.flow);
  proto::GroupMessage claim = m_group.NewMessage();
  detail::AddToRegistration(*entry, claim.mutable_registration());
  m_outgoing.push_back({m_group.PeerAt(*requester).facts.id, std::move(claim)});
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
      HomeWithout(m_group.View(), entry.class_id, entry.flow, home->id);
  const bool other = next != nullptr && next->id != m_group.Self().id;
  return other ? std::make_optional(next->id) : std::nullopt;
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

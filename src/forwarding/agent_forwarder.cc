// @file agent_forwarder.cc Admission and delivery of packets, and the state of
// the backend server.
#include "src/forwarding/agent_forwarder.h"

#include <algorithm>

namespace medlargauge {
namespace {

/// Heartbeats are due about every second. After this silence the server is
/// probed.
constexpr Duration kHeartbeatTimeout = Milliseconds(3000);
/// Packets of the server may wait this long in the agent's socket.
constexpr Duration kQueuedPacketTime = Milliseconds(200);
/// An acceptance acknowledges the initial sequence number of the server, or the
/// number after it.
constexpr uint32_t kMaxAcceptanceOffset = 1;

/// Heartbeats that a server sent before it deregistered and that arrive later.
/// They are due about every second, and calls end within two.
constexpr uint64_t kMaxLateReports = 2;

/// Returns whether `a` comes after `b` in the sequence space, which wraps
/// around.
bool IsAfter(uint32_t a, uint32_t b) {
  return static_cast<int32_t>(a - b) > 0;
}

}  // namespace

AgentForwarder::AgentForwarder(std::string service,
                               SocketAddress4 address,
                               ForwarderLimits limits)
    : m_service(std::move(service)),
      m_service_id(ServiceIdOf(m_service)),
      m_address(address),
      m_limits(limits),
      m_health(limits.health),
      m_caller_round_trip(limits.min_reserve, limits.max_reserve),
      m_held_flows(limits.idle, limits.max_flows) {}

ForwarderDecision AgentForwarder::OnForwarded(TimePoint now,
                                              uint32_t balancer_ip,
                                              const ForwardHeader& header,
                                              const FlowPacket& packet) {
  if (header.service != m_service_id) {
    return Return(balancer_ip, ReturnReason::kWrongService);
  }
  if (m_down) {
    return Return(balancer_ip, ReturnReason::kServerDown);
  }
  if (packet.syn) {
    return OnOpeningPacket(now, balancer_ip, header, packet);
  }
  const auto pointer = m_pointers.find(packet.flow);
  const auto known = m_flows.find(packet.flow);
  if (known != m_flows.end() && !packet.rst &&
      AcknowledgesOtherServer(packet, known->second)) {
    // The server is half-open and would ignore the packet, because it still
    // waits for the acknowledgement of its own SYN-ACK.
    ForwarderDecision decision = Return(balancer_ip, ReturnReason::kBounced);
    decision.foreign_ack = true;
    ++m_counters.foreign_acks;
    return decision;
  }
  const bool is_held =
      known != m_flows.end() && known->second.stage != Stage::kUnverified;
  if (header.search && header.use_pointer && !is_held &&
      pointer != m_pointers.end()) {
    ForwarderDecision moved = Return(balancer_ip, ReturnReason::kMoved);
    moved.owner = pointer->second.owner;
    return moved;
  }
  ForwarderDecision decision;
  decision.kind = ForwarderDecision::Kind::kDeliver;
  ++m_counters.delivered;
  m_held_flows.OnPacket(now, HashFlow(packet.flow));
  if (packet.rst) {
    EraseFlow(now, packet.flow);
    return decision;
  }
  if (m_flows.size() >= m_limits.max_flows && m_flows.count(packet.flow) == 0) {
    return decision;
  }
  if (!m_report.has_value()) {
    AwaitServer(now);  // It may not run, as it has sent no heartbeat.
  }
  Flow& flow = m_flows[packet.flow];
  flow.balancer_ip = balancer_ip;
  if (flow.stage == Stage::kAccepted) {
    flow.stage = Stage::kEstablished;
    if (flow.accepted_once) {
      m_caller_round_trip.Add(now - flow.accepted_at);
    }
  }
  decision.proven = flow.stage == Stage::kEstablished;
  decision.confirm = header.search && decision.proven;
  decision.balancer_ip = balancer_ip;
  flow.confirm_search =
      (flow.confirm_search || header.search) && !decision.proven;
  // During a search, the server most likely returns the packet.
  const bool is_unlikely = header.search && flow.stage == Stage::kUnverified;
  TrackCallerPacket(now, packet, !is_unlikely, &flow);
  return decision;
}

void AgentForwarder::OnPointer(TimePoint now,
                               const FlowKey& flow,
                               MemberId owner) {
  if (m_pointers.size() < m_limits.max_flows || m_pointers.count(flow) > 0) {
    m_pointers[flow] = {owner, now + m_limits.idle};
  }
}

ForwarderDecision AgentForwarder::OnOpeningPacket(TimePoint now,
                                                  uint32_t balancer_ip,
                                                  const ForwardHeader& header,
                                                  const FlowPacket& packet) {
  const auto found = m_flows.find(packet.flow);
  const bool is_retransmission =
      found != m_flows.end() && found->second.stage != Stage::kUnverified &&
      found->second.opening_sequence == packet.sequence;
  if (m_domain_admission == DomainAdmission::kEvacuated) {
    // A server that has not answered may have lost the packet, so that a copy
    // would open the flow there.
    const bool is_accepted =
        is_retransmission && found->second.stage != Stage::kOpening;
    if (!is_accepted) {
      return Return(balancer_ip, ReturnReason::kEvacuated);
    }
  }
  if (!is_retransmission) {
    if (m_leaving || (m_report.has_value() && m_report->draining)) {
      return Return(balancer_ip, ReturnReason::kDraining);
    }
    // A server that has sent no heartbeat to this process may be draining.
    if (!m_report.has_value() || IsServerUnresponsive(now) ||
        IsAdmissionUnknown(now)) {
      return Return(balancer_ip, ReturnReason::kServerDown);
    }
    m_repeatable_seen_at = header.repeatable ? now : m_repeatable_seen_at;
    if (!MayTakeFlow(now, header)) {
      return Return(balancer_ip, header.last_candidate ? ReturnReason::kFull
                                                       : ReturnReason::kBusy);
    }
    const ServerLoad load = Load(now);
    m_cold_rate.OnStated(now, header.revision, header.warmup_per_second);
    if (load.warmup_ends_at > now && m_cold_rate.IsExhausted(now)) {
      // A last candidate that is returned as busy would be chosen again.
      ++m_counters.returned_cold;
      return Return(balancer_ip, header.last_candidate ? ReturnReason::kFull
                                                       : ReturnReason::kBusy);
    }
    if (!header.last_candidate && load.active >= load.slots) {
      return Return(balancer_ip, ReturnReason::kBusy);
    }
    const bool too_late = !CanAnswerWithin(
        EstimateResponse(now, packet.flow.route), load.active < load.slots,
        Milliseconds(header.response_limit_ms));
    const bool at_refused_load =
        now < m_refused_load_expires && load.active >= m_refused_load;
    if (too_late || at_refused_load) {
      return Return(balancer_ip, ReturnReason::kFull);
    }
    EraseFlow(now, packet.flow);
  }
  Flow& flow = m_flows[packet.flow];
  if (!is_retransmission) {
    flow.stage = Stage::kOpening;
    flow.opening_sequence = packet.sequence;
    flow.caller_next_sequence = packet.sequence + 1;
    flow.started_at = now;
    flow.expires = now + m_limits.opening;
    flow.is_trial = m_health.IsRestricted();
    if (flow.is_trial) {
      m_health.OnTrialStarted();
    }
    MarkActive(now + m_limits.max_reserve, &flow);
    m_cold_rate.OnDelivered(now);
  }
  m_held_flows.OnPacket(now, HashFlow(packet.flow));
  flow.balancer_ip = balancer_ip;
  flow.confirm_opening = true;
  AwaitServer(now);
  ++m_counters.delivered;
  ForwarderDecision decision;
  decision.kind = ForwarderDecision::Kind::kDeliver;
  return decision;
}

bool AgentForwarder::AcknowledgesOtherServer(const FlowPacket& packet,
                                             const Flow& flow) {
  return flow.stage == Stage::kAccepted &&
         packet.acknowledged - flow.server_initial_sequence >
             kMaxAcceptanceOffset;
}

void AgentForwarder::TrackCallerPacket(TimePoint now,
                                       const FlowPacket& packet,
                                       bool counts,
                                       Flow* flow) {
  flow->caller_left = flow->caller_left || packet.fin;
  flow->acknowledged = packet.acknowledged;
  flow->expires = now + (packet.fin ? m_limits.closing : m_limits.idle);
  if (packet.data_length == 0) {
    return;
  }
  const uint32_t end = packet.sequence + packet.data_length;
  const bool is_first_data =
      flow->stage == Stage::kUnverified && flow->caller_next_sequence == 0;
  if (!is_first_data && !IsAfter(end, flow->caller_next_sequence)) {
    return;  // Retransmission.
  }
  flow->caller_next_sequence = end;
  if (counts && !flow->request_pending) {
    flow->request_pending = true;
    flow->request_id = packet.request_id;
    flow->started_at = now;
    flow->requests_ahead = m_pending++;
    flow->hash = HashFlow(packet.flow);
    flow->kind = packet.flow.route;
    m_work.Start(now, flow->hash, flow->kind, Slots());
    MarkActive(now + m_limits.request_timeout, flow);
  }
}

ForwarderDecision AgentForwarder::OnServerPacket(TimePoint now,
                                                 const FlowPacket& packet) {
  m_server_seen_at = now;
  m_awaiting_server = false;
  // A packet that the server sent before it stopped may be read after that.
  m_down = m_down && now - m_down_at < kQueuedPacketTime;
  const auto found = m_flows.find(packet.flow);
  if (packet.bounced) {
    const uint32_t balancer_ip = packet.tag;
    if (!packet.syn) {
      m_held_flows.OnDenied(HashFlow(packet.flow));
    }
    if (found != m_flows.end()) {
      EraseFlow(now, packet.flow);
    }
    return Return(balancer_ip, ReturnReason::kBounced);
  }
  ForwarderDecision decision;
  decision.kind = ForwarderDecision::Kind::kToCaller;
  m_held_flows.OnPacket(now, HashFlow(packet.flow));
  if (found == m_flows.end()) {
    return decision;
  }
  Flow& flow = found->second;
  // A FIN may be sent before the data that precedes it in the flow.
  const bool is_bare_fin = packet.fin && packet.data_length == 0;
  const bool precedes_answer =
      is_bare_fin && flow.knows_server_sequence &&
      IsAfter(packet.sequence, flow.server_next_sequence);
  if (packet.rst ||
      (is_bare_fin && flow.knows_server_sequence && !precedes_answer)) {
    RecordClose(now, packet, flow.stage != Stage::kUnverified, &flow);
  }
  UpdateStage(now, packet, &flow);
  decision.proven = flow.stage == Stage::kEstablished;
  decision.confirm =
      flow.confirm_opening || (flow.confirm_search && decision.proven);
  decision.balancer_ip = flow.balancer_ip;
  flow.confirm_opening = false;
  flow.confirm_search = flow.confirm_search && !decision.proven;
  if (packet.rst) {
    EraseFlow(now, packet.flow);
    return decision;
  }
  const bool is_error = packet.answer == AnswerKind::kFailure ||
                        packet.answer == AnswerKind::kRefused;
  if (is_error && flow.request_pending) {
    decision.request_id = flow.request_id;
  }
  if (packet.data_length > 0) {
    RecordResponse(now, packet.answer, &flow);
  } else if (packet.fin && !precedes_answer) {
    EndRequest(now, &flow);
  }
  flow.server_left = flow.server_left || packet.fin;
  flow.expires = now + (packet.fin ? m_limits.closing : m_limits.idle);
  return decision;
}

void AgentForwarder::UpdateStage(TimePoint now,
                                 const FlowPacket& packet,
                                 Flow* flow) {
  flow->accepted_once = flow->stage == Stage::kOpening;
  if (flow->stage == Stage::kOpening && !packet.rst) {
    ++m_counters.opened;
    m_health.OnAccepted();
    m_counters.opening.Add(now - flow->started_at);
    flow->accepted_at = now;
    flow->active_until = now + m_caller_round_trip.Timeout();
  }
  const uint32_t end =
      packet.sequence + (packet.syn_ack ? 1 : packet.data_length);
  const bool has_moved =
      !flow->knows_server_sequence || IsAfter(end, flow->server_next_sequence);
  if (!packet.fin && !packet.rst && has_moved) {
    flow->server_next_sequence = end;
    flow->knows_server_sequence = true;
  }
  if (!packet.syn_ack) {
    flow->stage = Stage::kEstablished;
  } else if (flow->stage != Stage::kEstablished) {
    flow->stage = Stage::kAccepted;
    flow->server_initial_sequence = packet.sequence;
  }
}

ReportOutcome AgentForwarder::OnReport(TimePoint now,
                                       const ServerReport& report) {
  if (report.service != m_service || report.address != m_address) {
    return ReportOutcome::kWrongServer;
  }
  if (m_report.has_value()) {
    const bool same_instance =
        m_report->id == report.id && m_report->started_ms == report.started_ms;
    const bool is_stale = same_instance
                              ? report.sequence <= m_report->sequence
                              : report.started_ms < m_report->started_ms;
    if (is_stale) {
      return ReportOutcome::kStale;
    }
    if (!same_instance) {
      ForgetServer();
    }
  }
  // A server that goes on sending heartbeats did not leave: the deregistration
  // was one of an earlier start under the same id.
  const bool has_stayed =
      report.started_ms == m_departed_start_ms &&
      report.sequence > m_departed_sequence + kMaxLateReports;
  const bool has_left = !m_departed_id.empty() && report.id == m_departed_id &&
                        report.started_ms <= m_departed_start_ms && !has_stayed;
  if (has_left) {
    return ReportOutcome::kStale;
  }
  // A server may restart under its id.
  const bool is_other_server =
      m_report.has_value() &&
      (m_report->id != report.id || m_report->started_ms != report.started_ms);
  if (report.is_first) {
    m_cold_rate.OnServerStart();
    m_held_flows.OnFirstCall(now);
  } else if (is_other_server) {
    m_held_flows.OnOtherServer();
  }
  m_report = report;
  m_report_at = now;
  m_departure_unconfirmed = false;
  m_server_seen_at = now;
  m_awaiting_server = false;
  m_down = false;
  return ReportOutcome::kApplied;
}

bool AgentForwarder::OnDeregister(std::string_view id) {
  if (!m_report.has_value()) {
    // The message may be late and mean an earlier server at this address.
    m_departure_unconfirmed = true;
    return false;
  }
  if (m_report->id != id) {
    return false;
  }
  // The heartbeat before it may be late as well, so a probe decides.
  m_departure_unconfirmed = true;
  m_report->draining = true;
  m_departed_id = std::string(id);
  m_departed_start_ms = m_report->started_ms;
  m_departed_sequence = m_report->sequence;
  return true;
}

std::vector<FlowReset> AgentForwarder::OnServerDown(TimePoint now) {
  std::vector<FlowReset> resets;
  for (auto& [key, flow] : m_flows) {
    // A caller decides between the answers of two servers while it opens the
    // flow; later, a half-open flow belongs to another server.
    const bool is_elsewhere = flow.stage == Stage::kAccepted &&
                              now - flow.accepted_at > m_limits.opening;
    if (flow.stage != Stage::kUnverified && !is_elsewhere) {
      // A caller that accepted another server ignores a reset with the
      // acknowledgement number 0.
      const bool is_established = flow.stage == Stage::kEstablished;
      resets.push_back({key,
                        flow.request_pending ? flow.request_id : std::string(),
                        is_established ? flow.acknowledged : 0});
      ++m_counters.resets;
    }
  }
  m_flows.clear();
  m_held_flows.OnServerDown(now);
  m_first_report_deadline = TimePoint();
  m_active = 0;
  m_pending = 0;
  ForgetServer();
  m_down = true;
  m_down_at = now;
  m_awaiting_server = false;
  if (m_departure_unconfirmed) {
    m_departure_unconfirmed = false;
    m_report = std::nullopt;
  }
  return resets;
}

std::vector<uint32_t> AgentForwarder::FindHeldFlows(
    const std::vector<uint64_t>& flow_hashes) const {
  std::vector<uint32_t> held;
  for (uint32_t i = 0; i < flow_hashes.size(); ++i) {
    if (m_held_flows.MayHold(flow_hashes[i])) {
      held.push_back(i);
    }
  }
  return held;
}

void AgentForwarder::OnTick(TimePoint now) {
  m_held_flows.OnTick(now);
  for (auto it = m_pointers.begin(); it != m_pointers.end();) {
    it = it->second.expires <= now ? m_pointers.erase(it) : std::next(it);
  }
  for (auto it = m_flows.begin(); it != m_flows.end();) {
    Flow& flow = it->second;
    if (flow.is_active && flow.active_until <= now) {
      EndRequest(now, &flow);
    }
    if (flow.expires <= now) {
      EndRequest(now, &flow);
      it = m_flows.erase(it);
    } else {
      ++it;
    }
  }
}

void AgentForwarder::AwaitServer(TimePoint now) {
  if (!m_awaiting_server) {
    m_awaiting_server = true;
    m_unanswered_since = now;
  }
}

bool AgentForwarder::NeedsServerProbe(TimePoint now) const {
  const bool heartbeat_overdue = m_report.has_value() &&
                                 now - m_report_at > kHeartbeatTimeout &&
                                 now - m_server_seen_at > kHeartbeatTimeout;
  // Balancers must know whether flows remain at the server of an agent that
  // leaves.
  const bool is_last_chance = m_leaving && !m_report.has_value();
  const bool may_be_absent = !m_report.has_value() &&
                             m_first_report_deadline != TimePoint() &&
                             now >= m_first_report_deadline;
  return !m_down &&
         (IsServerUnresponsive(now) || heartbeat_overdue || is_last_chance ||
          m_departure_unconfirmed || may_be_absent);
}

bool AgentForwarder::IsServerUnresponsive(TimePoint now) const {
  return m_awaiting_server &&
         now - m_unanswered_since > m_limits.server_response_timeout;
}

AgentState AgentForwarder::State(TimePoint now) const {
  if (m_down) {
    return AgentState::kGone;
  }
  if (!m_report.has_value() || IsServerUnresponsive(now) ||
      IsAdmissionUnknown(now)) {
    return AgentState::kJoining;
  }
  return m_report->draining ? AgentState::kDraining : AgentState::kReady;
}

void AgentForwarder::EraseFlow(TimePoint now, const FlowKey& key) {
  const auto found = m_flows.find(key);
  if (found != m_flows.end()) {
    EndRequest(now, &found->second);
    m_flows.erase(found);
  }
}

ForwarderDecision AgentForwarder::Return(uint32_t balancer_ip,
                                         ReturnReason reason) {
  ++m_counters.returned[static_cast<size_t>(reason)];
  ForwarderDecision decision;
  decision.kind = ForwarderDecision::Kind::kReturn;
  decision.reason = reason;
  decision.balancer_ip = balancer_ip;
  return decision;
}

}  // namespace medlargauge

// @file agent_forwarder.cc Delivering, returning and counting.
#include "src/steer/agent_forwarder.h"

#include <algorithm>
#include <cmath>

namespace medlargauge {
namespace {

/// The newest sample counts one part in this many of the mean service time.
constexpr uint64_t kMeanParts = 8;
constexpr uint64_t kMicrosecondsPerMs = 1000;
constexpr double kWholeFailing = 1000;  ///< ServerLoad counts in thousandths.
/// A heartbeat is due about every second; after so much silence the server is
/// checked.
constexpr Duration kReportSilence = Milliseconds(3000);
/// A number this far beyond the server's first belongs to another server's
/// answer: longer than any answer, and a small part of all numbers.
constexpr uint32_t kMaxAnswerBytes = 1U << 24U;
/// Until the first heartbeat a server counts as having this many slots.
constexpr uint32_t kUnknownSlots = 4;

/// Returns whether `a` comes after `b` in sequence space.
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
      m_limits(limits) {}

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
    return OnOpening(now, balancer_ip, header, packet);
  }
  const auto pointer = m_pointers.find(packet.flow);
  const auto known = m_flows.find(packet.flow);
  if (known != m_flows.end() && !packet.rst &&
      AcceptedAnother(packet, known->second)) {
    // The server would wait for the caller's answer to its own.
    return Return(balancer_ip, ReturnReason::kBounced);
  }
  const bool own =
      known != m_flows.end() && known->second.stage != Stage::kUnsure;
  if (header.search && header.use_pointer && !own &&
      pointer != m_pointers.end()) {
    ForwarderDecision moved = Return(balancer_ip, ReturnReason::kMoved);
    moved.owner = pointer->second.owner;
    return moved;
  }
  ForwarderDecision decision;
  decision.kind = ForwarderDecision::Kind::kDeliver;
  ++m_counters.delivered;
  if (packet.rst) {
    Erase(packet.flow);
    return decision;
  }
  if (m_flows.size() >= m_limits.max_flows && m_flows.count(packet.flow) == 0) {
    return decision;
  }
  Flow& flow = m_flows[packet.flow];
  flow.balancer_ip = balancer_ip;
  flow.stage = flow.stage == Stage::kAccepted ? Stage::kHeld : flow.stage;
  decision.proven = flow.stage == Stage::kHeld;
  decision.confirm = header.search && decision.proven;
  decision.balancer_ip = balancer_ip;
  flow.confirm_search =
      (flow.confirm_search || header.search) && !decision.proven;
  TrackCaller(now, packet, &flow);
  return decision;
}

void AgentForwarder::OnPointer(TimePoint now,
                               const FlowKey& flow,
                               MemberId owner) {
  if (m_pointers.size() < m_limits.max_flows || m_pointers.count(flow) > 0) {
    m_pointers[flow] = {owner, now + m_limits.idle};
  }
}

ForwarderDecision AgentForwarder::OnOpening(TimePoint now,
                                            uint32_t balancer_ip,
                                            const ForwardHeader& header,
                                            const FlowPacket& packet) {
  const auto found = m_flows.find(packet.flow);
  const bool is_copy = found != m_flows.end() &&
                       found->second.stage != Stage::kUnsure &&
                       found->second.opening_sequence == packet.sequence;
  if (!is_copy) {
    if (m_leaving || (m_report.has_value() && m_report->draining)) {
      return Return(balancer_ip, ReturnReason::kDraining);
    }
    if (IsQuiet(now)) {
      return Return(balancer_ip, ReturnReason::kServerDown);
    }
    const ServerLoad load = Load(now);
    if (!header.last_candidate && load.active >= load.slots) {
      return Return(balancer_ip, ReturnReason::kBusy);
    }
    const uint64_t patience_us = header.response_limit_ms * kMicrosecondsPerMs *
                                 m_limits.aim_percent / 100;
    const bool too_late =
        patience_us != 0 && ExpectedResponseTimeUs(now, load, 0) > patience_us;
    const bool refused =
        now < m_refused_until && load.active >= m_refused_above;
    if (too_late || refused) {
      return Return(balancer_ip, ReturnReason::kFull);
    }
    Erase(packet.flow);
  }
  Flow& flow = m_flows[packet.flow];
  if (!is_copy) {
    flow.stage = Stage::kOpening;
    flow.opening_sequence = packet.sequence;
    flow.caller_next = packet.sequence + 1;
    flow.work_began = now;
    flow.expires = now + m_limits.opening;
    Count(now + m_limits.reserve, &flow);
  }
  flow.balancer_ip = balancer_ip;
  flow.confirm_opening = true;
  if (!m_awaits_answer) {
    m_awaits_answer = true;
    m_unanswered_since = now;
  }
  ++m_counters.delivered;
  ForwarderDecision decision;
  decision.kind = ForwarderDecision::Kind::kDeliver;
  return decision;
}

bool AgentForwarder::AcceptedAnother(const FlowPacket& packet,
                                     const Flow& flow) {
  return flow.stage == Stage::kAccepted &&
         packet.acknowledged - flow.server_first > kMaxAnswerBytes;
}

void AgentForwarder::TrackCaller(TimePoint now,
                                 const FlowPacket& packet,
                                 Flow* flow) {
  const bool ends = packet.fin;
  flow->acknowledged = packet.acknowledged;
  flow->expires = now + (ends ? m_limits.closing : m_limits.idle);
  if (packet.data_length == 0) {
    return;
  }
  const uint32_t end = packet.sequence + packet.data_length;
  const bool first = flow->stage == Stage::kUnsure && flow->caller_next == 0;
  if (!first && !IsAfter(end, flow->caller_next)) {
    return;  // Sent again.
  }
  flow->caller_next = end;
  if (!flow->working) {
    flow->working = true;
    flow->request_id = packet.request_id;
    flow->work_began = now;
    Count(now + m_limits.work, flow);
    flow->ahead = m_active - 1;
  }
}

ForwarderDecision AgentForwarder::OnServerPacket(TimePoint now,
                                                 const FlowPacket& packet) {
  m_server_seen = now;
  m_awaits_answer = false;
  m_down = false;
  const auto found = m_flows.find(packet.flow);
  if (packet.bounced) {
    const uint32_t balancer_ip = packet.tag;
    if (found != m_flows.end()) {
      Erase(packet.flow);
    }
    return Return(balancer_ip, ReturnReason::kBounced);
  }
  ForwarderDecision decision;
  decision.kind = ForwarderDecision::Kind::kToCaller;
  if (found == m_flows.end()) {
    return decision;
  }
  Flow& flow = found->second;
  NoteServerStage(now, packet, &flow);
  decision.proven = flow.stage == Stage::kHeld;
  decision.confirm =
      flow.confirm_opening || (flow.confirm_search && decision.proven);
  decision.balancer_ip = flow.balancer_ip;
  flow.confirm_opening = false;
  flow.confirm_search = flow.confirm_search && !decision.proven;
  if (packet.rst) {
    Erase(packet.flow);
    return decision;
  }
  const bool bad = packet.answer == AnswerKind::kFailure ||
                   packet.answer == AnswerKind::kRefused;
  if (bad && flow.working) {
    decision.request_id = flow.request_id;
  }
  if (packet.data_length > 0) {
    NoteAnswer(now, packet.answer, &flow);
  }
  flow.expires = now + (packet.fin ? m_limits.closing : m_limits.idle);
  return decision;
}

void AgentForwarder::NoteServerStage(TimePoint now,
                                     const FlowPacket& packet,
                                     Flow* flow) {
  if (flow->stage == Stage::kOpening) {
    ++m_counters.opened;
    m_counters.opening.Add(now - flow->work_began);
  }
  if (!packet.syn_ack) {
    flow->stage = Stage::kHeld;
  } else if (flow->stage != Stage::kHeld) {
    flow->stage = Stage::kAccepted;
    flow->server_first = packet.sequence;
  }
}

double AgentForwarder::Failing(TimePoint now) const {
  const double halvings =
      static_cast<double>((now - m_failing_at).count()) /
      static_cast<double>(m_limits.failing_half_life.count());
  return m_failing * std::exp2(-halvings);
}

void AgentForwarder::NoteAnswer(TimePoint now, AnswerKind answer, Flow* flow) {
  if (flow->working) {
    ++m_counters.answers;
    m_counters.failed += answer == AnswerKind::kFailure ? 1 : 0;
    m_counters.refused += answer == AnswerKind::kRefused ? 1 : 0;
    m_counters.first_answer.Add(now - flow->work_began);
  }
  if (flow->working && answer == AnswerKind::kRefused) {
    m_refused_above = std::max(m_active - 1, Load(now).slots);
    m_refused_until = now + m_limits.full_memory;
    flow->working = false;  // Tells nothing of the service time.
  }
  if (flow->working && answer != AnswerKind::kUnknown) {
    const double sample = answer == AnswerKind::kFailure ? 1.0 : 0.0;
    const double before = Failing(now);
    m_failing = before + (sample - before) / kMeanParts;
    m_failing_at = now;
  }
  if (flow->working) {
    const uint64_t passed =
        std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                              flow->work_began)
            .count();
    // Takes out the wait behind the requests that were there before.
    const uint64_t slots = Load(now).slots;
    const uint64_t turns = std::max<uint64_t>(flow->ahead + 1, slots);
    const uint64_t sample = passed * slots / turns;
    m_service_us =
        m_service_us == 0
            ? sample
            : (m_service_us * (kMeanParts - 1) + sample) / kMeanParts;
  }
  flow->working = false;
  Uncount(flow);
}

ReportOutcome AgentForwarder::OnReport(TimePoint now,
                                       const ServerReport& report) {
  if (report.service != m_service || report.address != m_address) {
    return ReportOutcome::kWrongServer;
  }
  if (m_report.has_value()) {
    const bool same_start =
        m_report->id == report.id && m_report->started_ms == report.started_ms;
    const bool older = same_start ? report.sequence <= m_report->sequence
                                  : report.started_ms < m_report->started_ms;
    if (older) {
      return ReportOutcome::kStale;
    }
  }
  const bool left = !m_ended_id.empty() && report.id == m_ended_id &&
                    report.started_ms <= m_ended_start;
  if (left) {
    return ReportOutcome::kStale;
  }
  m_report = report;
  m_reported_at = now;
  m_server_seen = now;
  m_awaits_answer = false;
  m_down = false;
  return ReportOutcome::kApplied;
}

bool AgentForwarder::OnDeregister(TimePoint now, std::string_view id) {
  if (m_report.has_value() && m_report->id != id) {
    return false;
  }
  m_ended_id = std::string(id);
  m_ended_start = m_report.has_value() ? m_report->started_ms : 0;
  m_report = std::nullopt;
  m_down = true;
  m_server_seen = now;
  return true;
}

std::vector<FlowReset> AgentForwarder::OnServerDown(TimePoint /*now*/) {
  std::vector<FlowReset> resets;
  for (auto& [key, flow] : m_flows) {
    if (flow.stage != Stage::kUnsure) {
      // Callers that have accepted another server's answer ignore a zero.
      const bool held = flow.stage == Stage::kHeld;
      resets.push_back({key, flow.working ? flow.request_id : std::string(),
                        held ? flow.acknowledged : 0});
      ++m_counters.resets;
    }
  }
  m_flows.clear();
  m_active = 0;
  m_service_us = 0;
  m_failing = 0;
  m_down = true;
  m_awaits_answer = false;
  return resets;
}

void AgentForwarder::OnTick(TimePoint now) {
  for (auto it = m_pointers.begin(); it != m_pointers.end();) {
    it = it->second.expires <= now ? m_pointers.erase(it) : std::next(it);
  }
  for (auto it = m_flows.begin(); it != m_flows.end();) {
    Flow& flow = it->second;
    if (flow.counted && flow.counted_until <= now) {
      flow.working = false;
      Uncount(&flow);
    }
    if (flow.expires <= now) {
      Uncount(&flow);
      it = m_flows.erase(it);
    } else {
      ++it;
    }
  }
}

bool AgentForwarder::NeedsServerProbe(TimePoint now) const {
  const bool silent = m_report.has_value() &&
                      now - m_reported_at > kReportSilence &&
                      now - m_server_seen > kReportSilence;
  return !m_down && (IsQuiet(now) || silent);
}

bool AgentForwarder::IsQuiet(TimePoint now) const {
  return m_awaits_answer && now - m_unanswered_since > m_limits.quiet;
}

AgentState AgentForwarder::State(TimePoint now) const {
  if (m_down) {
    return AgentState::kGone;
  }
  if (!m_report.has_value() || IsQuiet(now)) {
    return AgentState::kJoining;
  }
  return m_report->draining ? AgentState::kDraining : AgentState::kReady;
}

ServerLoad AgentForwarder::Load(TimePoint now) const {
  ServerLoad load;
  load.active = m_active;
  load.service_us = static_cast<uint32_t>(m_service_us);
  load.failing = static_cast<uint32_t>(Failing(now) * kWholeFailing);
  if (m_report.has_value()) {
    load.slots = std::max(m_report->slots, 1U);
    load.warmup_ends_at = m_reported_at + Milliseconds(m_report->warmup_ms);
  } else {
    load.slots = kUnknownSlots;
  }
  return load;
}

void AgentForwarder::Count(TimePoint until, Flow* flow) {
  m_active += flow->counted ? 0 : 1;
  flow->counted = true;
  flow->counted_until = until;
}

void AgentForwarder::Uncount(Flow* flow) {
  m_active -= flow->counted ? 1 : 0;
  flow->counted = false;
}

void AgentForwarder::Erase(const FlowKey& key) {
  const auto found = m_flows.find(key);
  if (found != m_flows.end()) {
    Uncount(&found->second);
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

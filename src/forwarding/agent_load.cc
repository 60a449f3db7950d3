// @file agent_load.cc Load and failures of a backend server, as its agent
// measures them.
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "src/forwarding/agent_forwarder.h"

namespace medlargauge {
namespace {

/// Divisor of the exponential moving averages: a new sample has the weight
/// 1/kMeanDivisor.
constexpr uint64_t kMeanDivisor = 8;
constexpr double kPerMille = 1000;  ///< Unit of ServerLoad::slowness.
/// Statuses state a slowness that differs from 1 by more than this, which is
/// what the spread of service times alone causes.
constexpr double kStatedSlowness = 0.1;
/// Slots assumed for a server before its first heartbeat.
constexpr uint32_t kDefaultSlots = 4;

uint32_t SaturatedMicroseconds(Duration duration) {
  const int64_t count =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return static_cast<uint32_t>(
      std::clamp<int64_t>(count, 0, std::numeric_limits<uint32_t>::max()));
}

}  // namespace

double AgentForwarder::FailureRate(TimePoint now) const {
  const double half_lives =
      static_cast<double>((now - m_failure_rate_at).count()) /
      static_cast<double>(m_limits.failing_half_life.count());
  return m_failure_rate * std::exp2(-half_lives);
}

void AgentForwarder::UpdateFailureRate(TimePoint now, double sample) {
  const double previous_rate = FailureRate(now);
  m_failure_rate = previous_rate + (sample - previous_rate) / kMeanDivisor;
  m_failure_rate_at = now;
}

bool AgentForwarder::MayTakeFlow(TimePoint now,
                                 const ForwardHeader& header) const {
  if (!m_health.IsRestricted() || header.all_restricted) {
    return true;
  }
  // A failed trial loses a request that must not be repeated, so these are used
  // only where no others arrive.
  const bool fits = header.repeatable || m_repeatable_seen_at == TimePoint() ||
                    now - m_repeatable_seen_at > m_limits.idle;
  return fits && m_health.FreeTrials(now) > 0;
}

void AgentForwarder::RecordClose(TimePoint now,
                                 const FlowPacket& packet,
                                 bool is_verified,
                                 Flow* flow) {
  const bool is_planned = m_report.has_value() && m_report->draining;
  const bool is_explained = flow->caller_left || flow->server_left ||
                            flow->former_server || !is_verified || is_planned;
  // A request on a flow that was idle may cross the server's own FIN.
  const bool crosses_close = flow->is_answered && packet.ack &&
                             static_cast<int32_t>(flow->caller_next_sequence -
                                                  packet.acknowledged) > 0;
  // A new flow is active for as long as its first request is expected.
  if (is_explained || crosses_close || !flow->is_active) {
    return;
  }
  const bool is_opening = packet.rst && flow->stage == Stage::kOpening;
  RecordUnanswered(
      now, is_opening ? UnansweredKind::kOpening : UnansweredKind::kRequest,
      flow);
}

void AgentForwarder::RecordUnanswered(TimePoint now,
                                      UnansweredKind kind,
                                      Flow* flow) {
  ++m_counters.unanswered;
  UpdateFailureRate(now, 1);
  m_health.OnUnanswered(now, kind, std::exchange(flow->is_trial, false));
}

void AgentForwarder::ForgetServer() {
  m_service_us = 0;
  m_failure_rate = 0;
  m_health.Reset();
  m_costs.Reset();
  m_work.Clear();
  for (auto& [key, flow] : m_flows) {
    flow.former_server = true;
    flow.is_trial = false;
  }
}

void AgentForwarder::RecordResponse(TimePoint now,
                                    AnswerKind answer,
                                    Flow* flow) {
  if (flow->request_pending) {
    ++m_counters.answers;
    m_counters.failed += answer == AnswerKind::kFailure ? 1 : 0;
    m_counters.refused += answer == AnswerKind::kRefused ? 1 : 0;
    m_counters.first_answer.Add(now - flow->started_at);
  }
  if (flow->request_pending && answer == AnswerKind::kRefused) {
    // Requests that the previous process of this agent delivered may occupy
    // the slots as well.
    const bool has_free_slot =
        m_pending - 1 < Load(now).slots && m_held_flows.IsComplete(now);
    const bool is_planned = m_report.has_value() && m_report->draining;
    if (has_free_slot && !is_planned && !flow->former_server) {
      RecordUnanswered(now, UnansweredKind::kRequest, flow);
    }
    m_refused_load = std::max(m_active - 1, Load(now).slots);
    m_refused_load_expires = now + m_limits.refusal_memory;
    // The time to a refusal is no sample of the service time.
    EndRequest(now, flow);
  }
  if (flow->request_pending && answer != AnswerKind::kUnknown) {
    UpdateFailureRate(now, answer == AnswerKind::kFailure ? 1.0 : 0.0);
  }
  if (flow->request_pending) {
    flow->is_answered = true;
    const bool was_restricted = m_health.IsRestricted();
    m_health.OnAnswer(Load(now).slots, std::exchange(flow->is_trial, false));
    if (was_restricted && !m_health.IsRestricted()) {
      m_failure_rate = 0;  // The trials have shown that it has recovered.
    }
    const uint64_t elapsed_us =
        std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                              flow->started_at)
            .count();
    // Removes the queueing delay behind the requests that arrived earlier.
    const uint64_t slots = Load(now).slots;
    const uint64_t requests_until_done =
        std::max<uint64_t>(flow->requests_ahead + 1, slots);
    const uint64_t sample = elapsed_us * slots / requests_until_done;
    m_service_us =
        m_service_us == 0
            ? sample
            : (m_service_us * (kMeanDivisor - 1) + sample) / kMeanDivisor;
  }
  const bool was_pending = flow->request_pending;
  const std::optional<Duration> slot_time = EndRequest(now, flow);
  // A failed request may end at once; the server would look fast.
  if (was_pending && slot_time.has_value() && answer != AnswerKind::kFailure) {
    m_costs.OnAnswer(now, flow->kind, *slot_time, IsCold(now));
  }
}

uint32_t AgentForwarder::Slots() const {
  return m_report.has_value() ? std::max(m_report->slots, 1U) : kDefaultSlots;
}

bool AgentForwarder::IsCold(TimePoint now) const {
  return m_report.has_value() &&
         m_report_at + Milliseconds(m_report->warmup_ms) > now;
}

Duration AgentForwarder::ExpectedWait(TimePoint now) const {
  const uint32_t expected = m_active > m_pending ? m_active - m_pending : 0;
  return m_work.WaitingTime(now, m_costs, IsCold(now), Slots(), expected);
}

ServerLoad AgentForwarder::LoadFor(TimePoint now, SocketAddress4 route) const {
  ServerLoad load = Load(now);
  const double slowness = m_costs.Slowness(now, IsCold(now));
  const Duration cost = m_costs.ServiceTime(now, route, IsCold(now)).expected;
  load.cost_us = SaturatedMicroseconds(Duration(
      static_cast<int64_t>(static_cast<double>(cost.count()) / slowness)));
  load.slowness = static_cast<uint32_t>(kPerMille * slowness);
  return load;
}

ResponseEstimate AgentForwarder::EstimateResponse(TimePoint now,
                                                  SocketAddress4 route) const {
  ResponseEstimate estimate = m_costs.ServiceTime(now, route, IsCold(now));
  // The times of the requests ahead deviate independently of each other.
  const double slots = Slots();
  const double ahead = std::max(m_active + 1.0 - slots, 0.0);
  estimate.deviation = Duration(
      static_cast<int64_t>(static_cast<double>(estimate.deviation.count()) *
                           std::sqrt(1 + ahead / (slots * slots))));
  // Running requests show that the server has become slow before it answers.
  estimate.expected =
      std::max(estimate.expected, m_work.MeanAge(now, Slots())) +
      ExpectedWait(now);
  return estimate;
}

ServerLoad AgentForwarder::Load(TimePoint now) const {
  ServerLoad load;
  load.active = m_active;
  load.service_us = static_cast<uint32_t>(m_service_us);
  load.failing = m_health.IsRestricted()
                     ? kRestrictedFailing
                     : std::min(static_cast<uint32_t>(FailureRate(now) *
                                                      kRestrictedFailing),
                                kRestrictedFailing - 1);
  load.trials = m_health.FreeTrials(now);
  load.wait_us = SaturatedMicroseconds(ExpectedWait(now));
  // Left out in most statuses.
  const double slowness = m_costs.Slowness(now, IsCold(now));
  if (std::abs(slowness - 1) > kStatedSlowness) {
    load.slowness = static_cast<uint32_t>(kPerMille * slowness);
  }
  load.slots = Slots();
  if (m_report.has_value()) {
    load.warmup_ends_at = m_report_at + Milliseconds(m_report->warmup_ms);
  }
  return load;
}

void AgentForwarder::MarkActive(TimePoint until, Flow* flow) {
  m_active += flow->is_active ? 0 : 1;
  flow->is_active = true;
  flow->active_until = until;
}

std::optional<Duration> AgentForwarder::EndRequest(TimePoint now, Flow* flow) {
  const std::optional<Duration> slot_time =
      flow->request_pending ? m_work.End(now, flow->hash, Slots())
                            : std::nullopt;
  m_pending -= flow->request_pending ? 1 : 0;
  flow->request_pending = false;
  m_active -= flow->is_active ? 1 : 0;
  flow->is_active = false;
  if (std::exchange(flow->is_trial, false)) {
    m_health.OnTrialAbandoned();
  }
  return slot_time;
}

}  // namespace medlargauge

// @file agent_load.cc Load and failures of a backend server, as its agent
// measures them.
#include <algorithm>
#include <cmath>

#include "src/forwarding/agent_forwarder.h"

namespace medlargauge {
namespace {

/// Divisor of the exponential moving averages: a new sample has the weight
/// 1/kMeanDivisor.
constexpr uint64_t kMeanDivisor = 8;
constexpr double kPerMille = 1000;  ///< Unit of ServerLoad::failing.
/// Slots assumed for a server before its first heartbeat.
constexpr uint32_t kDefaultSlots = 4;

}  // namespace

double AgentForwarder::FailureRate(TimePoint now) const {
  const double half_lives =
      static_cast<double>((now - m_failure_rate_at).count()) /
      static_cast<double>(m_limits.failing_half_life.count());
  return m_failure_rate * std::exp2(-half_lives);
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
    m_refused_load = std::max(m_active - 1, Load(now).slots);
    m_refused_load_expires = now + m_limits.refusal_memory;
    EndRequest(
        flow);  // The time to a refusal is no sample of the service time.
  }
  if (flow->request_pending && answer != AnswerKind::kUnknown) {
    const double sample = answer == AnswerKind::kFailure ? 1.0 : 0.0;
    const double previous_rate = FailureRate(now);
    m_failure_rate = previous_rate + (sample - previous_rate) / kMeanDivisor;
    m_failure_rate_at = now;
  }
  if (flow->request_pending) {
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
  EndRequest(flow);
}

ServerLoad AgentForwarder::Load(TimePoint now) const {
  ServerLoad load;
  load.active = m_active;
  load.service_us = static_cast<uint32_t>(m_service_us);
  load.failing = static_cast<uint32_t>(FailureRate(now) * kPerMille);
  if (m_report.has_value()) {
    load.slots = std::max(m_report->slots, 1U);
    load.warmup_ends_at = m_report_at + Milliseconds(m_report->warmup_ms);
  } else {
    load.slots = kDefaultSlots;
  }
  return load;
}

void AgentForwarder::MarkActive(TimePoint until, Flow* flow) {
  m_active += flow->is_active ? 0 : 1;
  flow->is_active = true;
  flow->active_until = until;
}

void AgentForwarder::EndRequest(Flow* flow) {
  m_pending -= flow->request_pending ? 1 : 0;
  flow->request_pending = false;
  m_active -= flow->is_active ? 1 : 0;
  flow->is_active = false;
}

}  // namespace medlargauge

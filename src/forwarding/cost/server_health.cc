// @file server_health.cc Counting of failures, and the steps of trials.
#include "src/forwarding/cost/server_health.h"

#include <algorithm>

namespace medlargauge {

void ServerHealth::OnAnswer(uint32_t slots, bool is_trial) {
  m_request_failures = 0;
  if (!is_trial) {
    return;
  }
  OnTrialAbandoned();
  if (!m_is_restricted || ++m_step_answers < m_step_trials) {
    return;
  }
  m_step_answers = 0;
  m_step_trials *= 2;
  if (m_step_trials > slots) {
    const uint32_t trials = m_trials;
    Reset();
    m_trials = trials;
  }
}

void ServerHealth::OnUnanswered(TimePoint now,
                                UnansweredKind kind,
                                bool is_trial) {
  uint32_t& failures = kind == UnansweredKind::kOpening ? m_opening_failures
                                                        : m_request_failures;
  ++failures;
  if (is_trial) {
    OnTrialAbandoned();
  }
  if (!m_is_restricted && failures < m_limits.failures_to_restrict) {
    return;
  }
  // Flows that were opened before the restriction say nothing new, and trials
  // that run at the same time fail for the same reason.
  const bool ends_step = !m_is_restricted || (is_trial && now >= m_next_trial);
  m_is_restricted = true;
  if (ends_step) {
    m_step_trials = 1;
    m_step_answers = 0;
    m_next_trial = now + m_pause;
    m_pause = std::min(2 * m_pause, m_limits.longest_pause);
  }
}

uint32_t ServerHealth::FreeTrials(TimePoint now) const {
  const bool may_try = m_is_restricted && now >= m_next_trial;
  return may_try && m_trials < m_step_trials ? m_step_trials - m_trials : 0;
}

}  // namespace medlargauge

// @file server_health.h Restriction of a backend server that fails requests.
#ifndef MEDLARGAUGE_FORWARDING_COST_SERVER_HEALTH_H_
#define MEDLARGAUGE_FORWARDING_COST_SERVER_HEALTH_H_

#include <cstdint>

#include "src/core/time_type.h"

namespace medlargauge {

/// What a server has left without an answer.
enum class UnansweredKind : uint8_t {
  kOpening,  ///< It did not accept a flow.
  kRequest,  ///< It ended or refused a request, or closed a flow before one.
};

/// Limits of ServerHealth.
struct HealthLimits {
  /// Failures in a row that restrict a server. A server that gets 30 requests
  /// per second and resets all is restricted after 100 ms. One that fails 2 %
  /// of its requests at random is restricted once in 125,000 requests.
  uint32_t failures_to_restrict = 3;
  /// Pause before the first trial. It doubles with each failed trial, so that
  /// a server that keeps failing costs two requests in its first 300 ms.
  Duration first_pause = Milliseconds(50);
  Duration longest_pause = Seconds(1);  ///< Limit of the pauses.
};

/// Whether a backend server answers. A server that fails several times in a row
/// is restricted: it gets trial flows only, first one at a time. Each step in
/// which all trials succeed doubles their number, until the server may use all
/// of its slots; a failed trial returns to the first step after a pause. Knows
/// neither packets nor flows. Deterministic and not thread-safe.
class ServerHealth {
 public:
  explicit ServerHealth(HealthLimits limits)
      : m_limits(limits), m_pause(limits.first_pause) {}

  /// Forgets everything, as another server has taken the place of this one.
  void Reset() { *this = ServerHealth(m_limits); }

  /// Records that the server accepted a flow.
  void OnAccepted() { m_opening_failures = 0; }
  /// Records an answer. @param slots number of slots of the server
  /// @param is_trial whether the flow was opened as a trial
  void OnAnswer(uint32_t slots, bool is_trial);
  /// Records a failure. @param is_trial as for OnAnswer
  void OnUnanswered(TimePoint now, UnansweredKind kind, bool is_trial);

  /// Records that a trial flow was delivered. OnAnswer, OnUnanswered or
  /// OnTrialAbandoned has to follow.
  void OnTrialStarted() { ++m_trials; }
  /// Records that a trial ended without a result, as its caller left.
  void OnTrialAbandoned() { m_trials -= m_trials > 0 ? 1 : 0; }

  /// Returns whether the server gets trial flows only.
  bool IsRestricted() const { return m_is_restricted; }
  /// Returns how many trials may start now; 0 if the server is not restricted.
  uint32_t FreeTrials(TimePoint now) const;

 private:
  HealthLimits m_limits;            ///< See the constructor.
  bool m_is_restricted = false;     ///< See IsRestricted.
  uint32_t m_opening_failures = 0;  ///< Since the last accepted flow.
  uint32_t m_request_failures = 0;  ///< Since the last answer.
  uint32_t m_trials = 0;            ///< Trials in progress.
  uint32_t m_step_trials = 1;       ///< Trials that the current step allows.
  uint32_t m_step_answers = 0;      ///< Trials that succeeded in this step.
  Duration m_pause;                 ///< Pause after the next failed trial.
  TimePoint m_next_trial;           ///< Earliest time of the next trial.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_COST_SERVER_HEALTH_H_

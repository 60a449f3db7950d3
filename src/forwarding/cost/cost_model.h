// @file cost_model.h Service times of a backend server by kind of request.
#ifndef MEDLARGAUGE_FORWARDING_COST_COST_MODEL_H_
#define MEDLARGAUGE_FORWARDING_COST_COST_MODEL_H_

#include <array>
#include <cstddef>
#include <map>

#include "src/core/time_type.h"
#include "src/forwarding/cost/response_estimate.h"
#include "src/forwarding/forwarding_type.h"

namespace medlargauge {

/// Expected time that a request occupies a slot of one backend server, learned
/// from answers: the work of its kind, which changes slowly, times the present
/// slowness of the server, which all kinds share. A kind is the address of a
/// route. Slowness is learned from ratios to the kind's own mean, so that a
/// change of the mix of kinds does not look like a change of speed, and in
/// logarithms, so that a single long request does not either. Answers of a cold
/// server are kept apart. Deterministic and not thread-safe.
class CostModel {
 public:
  /// Records an answer. @param time time in a slot, without waiting
  /// @param is_cold the server was warming up
  void OnAnswer(TimePoint now,
                SocketAddress4 kind,
                Duration time,
                bool is_cold);

  /// Returns the expected time in a slot of a request of the kind. A kind that
  /// was not observed is taken for the mean of the others. Waiting is not
  /// included.
  ResponseEstimate ServiceTime(TimePoint now,
                               SocketAddress4 kind,
                               bool is_cold) const;

  /// Returns the expected remaining time in a slot of a request that has
  /// occupied one for `age`, from how often others took how much longer than
  /// their mean. Zero if no answer was observed.
  Duration RemainingTime(TimePoint now,
                         SocketAddress4 kind,
                         Duration age,
                         bool is_cold) const;

  /// Returns how many times as long as usual requests take now; 1 if nothing
  /// was observed recently. What lasts for minutes becomes usual.
  double Slowness(TimePoint now, bool is_cold) const;

  /// Forgets everything, as another server has taken the place of this one.
  void Reset() { *this = CostModel(); }

 private:
  /// Number of classes of the ratio of a time to its mean. Each is twice as
  /// wide as the one before; the last one also holds all longer times.
  static constexpr size_t kRatioClasses = 10;

  /// What is known about a kind, for a server of slowness 1.
  struct Kind {
    double samples = 0;         ///< Number of answers.
    double mean_us = 0;         ///< Mean time.
    double log_mean = 0;        ///< Mean logarithm of the time.
    double deviation_us = 0;    ///< Mean absolute deviation of the time.
    bool is_cold_only = false;  ///< Only a cold server has answered it yet.
  };

  /// Logarithm of a slowness, with the time of its last update.
  struct SlownessState {
    double log = 0;        ///< 0: as when the kinds were learned.
    double samples = 0;    ///< Number of answers.
    TimePoint updated_at;  ///< Last answer.
  };

  /// Updates the kind from the time at slowness 1.
  static void LearnKind(double time_us, Kind* kind);
  /// Counts the ratio of a time to its expected value.
  void CountRatio(double ratio);

  std::map<SocketAddress4, Kind> m_kinds;  ///< By route address.
  Kind m_any_kind;                         ///< All kinds together.
  std::array<SlownessState, 2>
      m_slowness;  ///< Of the warm and the cold server.
  std::array<double, kRatioClasses> m_ratio_counts{};  ///< Decayed counts.
  std::array<double, kRatioClasses> m_ratio_sums{};    ///< Decayed sums.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_COST_COST_MODEL_H_

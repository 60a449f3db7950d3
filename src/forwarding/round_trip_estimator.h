// @file round_trip_estimator.h Timeout for answers, after RFC 6298.
#ifndef MEDLARGAUGE_FORWARDING_ROUND_TRIP_ESTIMATOR_H_
#define MEDLARGAUGE_FORWARDING_ROUND_TRIP_ESTIMATOR_H_

#include <algorithm>

#include "src/core/time_type.h"

namespace medlargauge {

/// Estimates how long to wait for an answer: the smoothed round-trip time plus
/// four times its mean deviation (RFC 6298, section 2). Not thread-safe.
class RoundTripEstimator {
 public:
  /// @param min, max limits of Timeout; it is `max` without a sample
  RoundTripEstimator(Duration min, Duration max) : m_min(min), m_max(max) {}

  /// Adds a measured round-trip time. Do not add one whose request was
  /// retransmitted, because it is unknown which copy was answered.
  void Add(Duration sample) {
    if (m_smoothed == Duration()) {
      m_smoothed = sample;
      m_deviation = sample / 2;
      return;
    }
    m_deviation = (m_deviation * 3 + std::chrono::abs(m_smoothed - sample)) / 4;
    m_smoothed = (m_smoothed * 7 + sample) / 8;
  }

  /// Returns how long to wait for an answer.
  Duration Timeout() const {
    return m_smoothed == Duration()
               ? m_max
               : std::clamp(m_smoothed + m_deviation * 4, m_min, m_max);
  }

 private:
  Duration m_min;          ///< Lower limit of Timeout.
  Duration m_max;          ///< Upper limit of Timeout.
  Duration m_smoothed{};   ///< Smoothed round-trip time; 0: no sample.
  Duration m_deviation{};  ///< Smoothed mean deviation.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_ROUND_TRIP_ESTIMATOR_H_

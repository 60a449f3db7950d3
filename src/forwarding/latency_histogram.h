// @file latency_histogram.h Latency histogram with fixed buckets.
#ifndef MEDLARGAUGE_FORWARDING_LATENCY_HISTOGRAM_H_
#define MEDLARGAUGE_FORWARDING_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstdint>

#include "src/core/time_type.h"

namespace medlargauge {

/// Counts durations in buckets from 1 ms to 5 s. Not thread-safe.
class LatencyHistogram {
 public:
  /// Inclusive upper bounds of the buckets in milliseconds. One more bucket
  /// counts longer durations.
  static constexpr std::array<int64_t, 12> kBoundsMs = {
      1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};

  /// Counts a duration.
  void Add(Duration duration) {
    size_t i = 0;
    while (i < kBoundsMs.size() && duration > Milliseconds(kBoundsMs[i])) {
      ++i;
    }
    ++m_counts[i];
    m_sum += duration;
  }

  /// Returns the count of each bucket; the last one has no upper bound.
  const std::array<uint64_t, kBoundsMs.size() + 1>& Counts() const {
    return m_counts;
  }
  /// Returns the sum of all durations.
  Duration Sum() const { return m_sum; }

 private:
  std::array<uint64_t, kBoundsMs.size() + 1> m_counts{};  ///< One per bucket.
  Duration m_sum{};  ///< Sum of all durations.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_LATENCY_HISTOGRAM_H_

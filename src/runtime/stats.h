// @file stats.h Metrics of a process in the text format of Prometheus.
#ifndef MEDLARGAUGE_RUNTIME_STATS_H_
#define MEDLARGAUGE_RUNTIME_STATS_H_

#include <array>
#include <string>

#include "src/forwarding/latency_histogram.h"

namespace medlargauge {

/// Counters and gauges, from stats_table.inc.
enum class Stat : uint8_t {
#define STAT(name, kind, role, unit, meaning) name,
#define LATENCY(name, role, meaning)
#include "src/runtime/stats_table.inc"
#undef STAT
#undef LATENCY
  kCount,
};

/// Latency histograms, from stats_table.inc.
enum class Latency : uint8_t {
#define STAT(name, kind, role, unit, meaning)
#define LATENCY(name, role, meaning) name,
#include "src/runtime/stats_table.inc"
#undef STAT
#undef LATENCY
  kCount,
};

/// The values of all metrics of a process at one time; 0 unless set. Not
/// thread-safe.
class Stats {
 public:
  /// Sets the value of a counter or gauge.
  void Set(Stat stat, uint64_t value) {
    m_values[static_cast<size_t>(stat)] = value;
  }
  /// Sets the content of a histogram.
  void Set(Latency latency, const LatencyHistogram& histogram) {
    m_histograms[static_cast<size_t>(latency)] = histogram;
  }

  /// Returns all metrics in the text format of Prometheus.
  std::string Render() const;

 private:
  std::array<uint64_t, static_cast<size_t>(Stat::kCount)> m_values{};
  std::array<LatencyHistogram, static_cast<size_t>(Latency::kCount)>
      m_histograms{};
};

/// Returns the text of docs/METRICS.md, generated from stats_table.inc.
/// Thread-safe.
std::string DescribeStats();

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_STATS_H_

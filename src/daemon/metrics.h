// @file metrics.h Metrics of the daemon and their Prometheus endpoint.
#ifndef MEDLARGAUGE_DAEMON_METRICS_H_
#define MEDLARGAUGE_DAEMON_METRICS_H_

#include <prometheus/exposer.h>
#include <prometheus/registry.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/error_type.h"

namespace medlargauge {

/// Metrics of the daemon; metrics_table.inc describes each.
enum class Metric : uint8_t {
#define METRIC(name, help) name,
#include "src/daemon/metrics_table.inc"
#undef METRIC
};

constexpr size_t kMetricCount = 0
#define METRIC(name, help) +1
#include "src/daemon/metrics_table.inc"
#undef METRIC
    ;

/// Holds and serves all metrics of the table and the count of rejected
/// packets by error kind. Setters are thread-safe.
class Metrics {
 public:
  Metrics();

  /// Starts the Prometheus endpoint at `address` ("IP:PORT").
  /// @return false with a reason on failure
  bool Serve(const std::string& address, Error* reason);

  /// Sets the value of one metric.
  void Set(Metric metric, uint64_t value);

  /// Sets the number of packets that were rejected with an error kind.
  void SetRejected(ErrorKind kind, uint64_t value);

 private:
  std::shared_ptr<prometheus::Registry> m_registry;       ///< All metrics.
  std::array<prometheus::Gauge*, kMetricCount> m_gauges;  ///< By metric.
  /// Rejected packets by error kind.
  std::array<prometheus::Gauge*, kErrorKindCount> m_rejected;
  std::unique_ptr<prometheus::Exposer> m_exposer;  ///< HTTP server.
};

/// Returns the name of a metric without the prefix "medlargauge_". Thread-safe.
std::string_view NameOf(Metric metric);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_METRICS_H_

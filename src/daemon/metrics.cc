// @file metrics.cc Registration of the metrics of metrics_table.inc.
#include "src/daemon/metrics.h"

#include <prometheus/gauge.h>

#include "src/core/error.h"

namespace medlargauge {
namespace {

/// Row of one metric in metrics_table.inc.
struct MetricRow {
  const char* name;  ///< Name without the prefix "medlargauge_".
  const char* help;  ///< Help text of the Prometheus endpoint.
};

constexpr std::array<MetricRow, kMetricCount> kMetricRows = {{
#define METRIC(name, help) {#name, help},
#include "src/daemon/metrics_table.inc"
#undef METRIC
}};

}  // namespace

Metrics::Metrics() : m_registry(std::make_shared<prometheus::Registry>()) {
  for (size_t i = 0; i < kMetricCount; ++i) {
    m_gauges[i] = &prometheus::BuildGauge()
                       .Name(std::string("medlargauge_") + kMetricRows[i].name)
                       .Help(kMetricRows[i].help)
                       .Register(*m_registry)
                       .Add({});
  }
  auto& rejected_family =
      prometheus::BuildGauge()
          .Name("medlargauge_packets_rejected")
          .Help("Packets dropped or refused, by error kind.")
          .Register(*m_registry);
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorKindInfo& row = Describe(static_cast<ErrorKind>(i));
    m_rejected[i] = &rejected_family.Add({{"kind", std::string(row.text)}});
  }
}

bool Metrics::Serve(const std::string& address, Error* reason) {
  try {
    m_exposer = std::make_unique<prometheus::Exposer>(address, 1);
    m_exposer->RegisterCollectable(m_registry);
    return true;
  } catch (const std::exception& error) {
    return Fail(reason, ErrorKind::kIo,
                address + ": cannot serve metrics: " + error.what());
  }
}

void Metrics::Set(Metric metric, uint64_t value) {
  m_gauges[static_cast<size_t>(metric)]->Set(static_cast<double>(value));
}

void Metrics::SetRejected(ErrorKind kind, uint64_t value) {
  m_rejected[static_cast<size_t>(kind)]->Set(static_cast<double>(value));
}

std::string_view NameOf(Metric metric) {
  return kMetricRows[static_cast<size_t>(metric)].name;
}

}  // namespace medlargauge

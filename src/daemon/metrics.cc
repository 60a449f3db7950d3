// @file metrics.cc The table of metrics drives registration.
#include "src/daemon/metrics.h"

#include <prometheus/gauge.h>

#include "src/core/error.h"

namespace medlargauge {
namespace {

/// The row of one metric.
struct MetricRow {
  const char* name;  ///< Without prefix.
  const char* help;  ///< For people.
};

constexpr std::array<MetricRow, kMetricCount> kRows = {{
#define METRIC(name, help) {#name, help},
#include "src/daemon/metrics_table.inc"
#undef METRIC
}};

}  // namespace

Metrics::Metrics() : m_registry(std::make_shared<prometheus::Registry>()) {
  for (size_t i = 0; i < kMetricCount; ++i) {
    m_gauges[i] = &prometheus::BuildGauge()
                       .Name(std::string("medlargauge_") + kRows[i].name)
                       .Help(kRows[i].help)
                       .Register(*m_registry)
                       .Add({});
  }
  auto& rejected = prometheus::BuildGauge()
                       .Name("medlargauge_packets_rejected")
                       .Help("Packets dropped or refused, by error kind.")
                       .Register(*m_registry);
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorKindInfo& row = Describe(static_cast<ErrorKind>(i));
    m_rejected[i] = &rejected.Add({{"kind", std::string(row.text)}});
  }
}

bool Metrics::Serve(const std::string& address, Error* reason) {
  try {
    m_exposer = std::make_unique<prometheus::Exposer>(address, 1);
    m_exposer->RegisterCollectable(m_registry);
    return true;
  } catch (const std::exception& error) {
    return Fail(reason, ErrorKind::kIo, address + ": " + error.what());
  }
}

void Metrics::Set(Metric metric, uint64_t value) {
  m_gauges[static_cast<size_t>(metric)]->Set(static_cast<double>(value));
}

void Metrics::SetRejected(ErrorKind kind, uint64_t value) {
  m_rejected[static_cast<size_t>(kind)]->Set(static_cast<double>(value));
}

std::string_view NameOf(Metric metric) {
  return kRows[static_cast<size_t>(metric)].name;
}

}  // namespace medlargauge

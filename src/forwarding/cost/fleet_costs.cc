// @file fleet_costs.cc Means and comparisons of reported slot times.
#include "src/forwarding/cost/fleet_costs.h"

#include <algorithm>
#include <cmath>

namespace medlargauge {
namespace {

/// Lowest weight of a report in the mean of its kind.
constexpr double kKindWeight = 1.0 / 256;
/// Weight of a report in the slowness of its server. Agents average already.
constexpr double kSlownessWeight = 0.5;
/// Bound of what a single report says; covers a server that is 5 times slower.
constexpr double kMaxRatio = 8;
/// A usual slowness holds for the first time and has the second one as
/// half-life then, so that a server whose host was replaced is tried again.
/// What changes faster is in the load reports.
constexpr Duration kHoldTime = Seconds(10);
constexpr Duration kHalfLife = Seconds(10);
constexpr double kPerMille = 1000;  ///< Unit of ServerLoad::slowness.

/// Returns the slowness that an agent reports, within bounds.
double ReportedSlowness(const ServerLoad& load) {
  return load.slowness == 0
             ? 1
             : std::clamp(load.slowness / kPerMille, 1 / kMaxRatio, kMaxRatio);
}

}  // namespace

void ServerSlowness::Add(TimePoint now, double log_ratio) {
  const double previous =
      m_updated_at == TimePoint() ? log_ratio : std::log(At(now));
  m_log = previous + kSlownessWeight * (log_ratio - previous);
  m_updated_at = now;
}

double ServerSlowness::At(TimePoint now) const {
  const Duration age = std::max(now - m_updated_at - kHoldTime, Duration());
  return m_log == 0
             ? 1
             : std::exp(m_log *
                        std::exp2(-static_cast<double>(age.count()) /
                                  static_cast<double>(kHalfLife.count())));
}

void FleetCosts::OnReport(TimePoint now,
                          SocketAddress4 kind_address,
                          const ServerLoad& load,
                          ServerSlowness* slowness) {
  if (load.cost_us == 0) {
    return;
  }
  Kind& kind = m_kinds[kind_address];
  const double log_cost = std::log(static_cast<double>(load.cost_us));
  const double log_ratio =
      kind.reports == 0 ? 0
                        : std::clamp(log_cost - kind.log_mean,
                                     -std::log(kMaxRatio), std::log(kMaxRatio));
  slowness->Add(now, log_ratio);
  ++kind.reports;
  kind.log_mean =
      kind.reports == 1
          ? log_cost
          : kind.log_mean + std::max(1 / kind.reports, kKindWeight) * log_ratio;
}

double FleetCosts::SlownessNow(TimePoint now,
                               const ServerLoad& load,
                               const ServerSlowness& slowness) {
  return slowness.At(now) * ReportedSlowness(load);
}

double FleetCosts::WorkUs(SocketAddress4 kind) const {
  const auto found = m_kinds.find(kind);
  return found == m_kinds.end() ? 0 : std::exp(found->second.log_mean);
}

}  // namespace medlargauge

// @file fleet_costs.h Work of each kind of request and speeds of servers, as a
// balancer learns them from agents.
#ifndef MEDLARGAUGE_FORWARDING_COST_FLEET_COSTS_H_
#define MEDLARGAUGE_FORWARDING_COST_FLEET_COSTS_H_

#include <cstdint>
#include <map>

#include "src/core/time_type.h"
#include "src/forwarding/forwarding_type.h"

namespace medlargauge {

/// Usual slowness of one server relative to the fleet: 1 is the mean. Not
/// thread-safe.
class ServerSlowness {
 public:
  /// Adds an observation. @param log_ratio logarithm of the slowness
  void Add(TimePoint now, double log_ratio);
  /// Returns the slowness. An old one approaches 1, so that a server that was
  /// slow is tried again.
  double At(TimePoint now) const;

 private:
  double m_log = 0;        ///< Logarithm at m_updated_at.
  TimePoint m_updated_at;  ///< Last observation; zero: none.
};

/// Work of each kind of request: the mean slot time over the servers that
/// report one. A server is compared with others by kind, so one that sees a
/// single kind does not look faster or slower. Not thread-safe.
class FleetCosts {
 public:
  /// Updates a kind and the slowness of a server from the slot time that its
  /// agent expects for a request of the kind. What a single agent reports is
  /// believed up to 8 times the mean or an eighth of it.
  /// @param load ignored if it states no cost
  void OnReport(TimePoint now,
                SocketAddress4 kind,
                const ServerLoad& load,
                ServerSlowness* slowness);

  /// Returns how many times as long as at a usual server requests take at a
  /// server now: its usual slowness and what its agent reports on top of it.
  /// Thread-safe.
  static double SlownessNow(TimePoint now,
                            const ServerLoad& load,
                            const ServerSlowness& slowness);

  /// Returns the slot time of a request of the kind at a server of slowness 1,
  /// in microseconds; 0 if it is unknown.
  double WorkUs(SocketAddress4 kind) const;

 private:
  /// Mean logarithm of the reported times of a kind.
  struct Kind {
    double log_mean = 0;
    double reports = 0;
  };

  std::map<SocketAddress4, Kind> m_kinds;  ///< By route address.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_COST_FLEET_COSTS_H_

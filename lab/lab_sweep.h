// @file lab_sweep.h Policies at loads below and above the capacity.
#ifndef MEDLARGAUGE_LAB_LAB_SWEEP_H_
#define MEDLARGAUGE_LAB_LAB_SWEEP_H_

#include <functional>
#include <string>
#include <vector>

#include "lab/lab_type.h"

namespace medlargauge::lab {

/// Which fleets and loads a sweep covers.
struct SweepOptions {
  std::vector<Policy> policies;                 ///< Compared with the oracle.
  std::vector<uint32_t> fleets;                 ///< Numbers of agents.
  std::vector<double> loads;                    ///< Relative to the capacity.
  Duration load_duration = Milliseconds(1000);  ///< Of each run.
  uint32_t first_seed = 1;                      ///< Seed of the first run.
  /// Fleets with fewer agents get more runs, so that all have as many requests.
  uint32_t min_agents = 300;
};

/// The figures of a policy at one load, over the requests of uneven servers.
struct SweepPoint {
  uint32_t agents = 0;  ///< Servers of all services.
  double load = 0;      ///< Relative to the capacity.
  std::string policy;   ///< Its name, or "oracle".
  double mean_ms = 0;   ///< Of the answered requests.
  double p99_ms = 0;    ///< Of the answered requests.
  double in_goal = 0;   ///< Share of all requests.
};

/// Runs the sweep; `on_point` gets each point as soon as it is known.
/// Thread-safe.
std::vector<SweepPoint> SweepLoad(
    const SweepOptions& options,
    const std::function<void(const SweepPoint&)>& on_point);

/// Returns a plot of the points as SVG, with a column for each fleet.
/// Thread-safe.
std::string PlotSweep(const std::vector<SweepPoint>& points);

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_LAB_SWEEP_H_

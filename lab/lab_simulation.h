// @file lab_simulation.h Simulates a scenario with the decisions of
// src/forwarding.
#ifndef MEDLARGAUGE_LAB_LAB_SIMULATION_H_
#define MEDLARGAUGE_LAB_LAB_SIMULATION_H_

#include "lab/lab_type.h"

namespace medlargauge::lab {

/// Simulates `scenario` under `policy`. The same seed gives the same arrivals
/// for every policy, and the same result each time. Thread-safe.
Result Simulate(const Scenario& scenario, const Policy& policy, uint64_t seed);

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_LAB_SIMULATION_H_

// @file lab_simulation.h Plays a scenario with the real decisions of the
// product.
#ifndef MEDLARGAUGE_LAB_LAB_SIMULATION_H_
#define MEDLARGAUGE_LAB_LAB_SIMULATION_H_

#include "lab/lab_type.h"

namespace medlargauge::lab {

/// Plays `scenario` under `policy`. The same seed gives the same arrivals for
/// every policy, and the same result each time. Thread-safe.
Result Play(const Scenario& scenario, const Policy& policy, uint64_t seed);

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_LAB_SIMULATION_H_

// @file lab_hard_load.h Scenarios with uneven servers or more load than the
// servers can bear.
#ifndef MEDLARGAUGE_LAB_LAB_HARD_LOAD_H_
#define MEDLARGAUGE_LAB_LAB_HARD_LOAD_H_

#include <vector>

#include "lab/lab_type.h"

namespace medlargauge::lab {

/// Returns a scenario with a quarter of the servers at 0.55 of the nominal
/// speed and the others at 1.2, where 3% of the requests take 7 times as long.
/// Each service gets `load` times its capacity. Thread-safe.
/// @param agents servers of both services; at least 5
Scenario MakeUneven(std::string name,
                    uint32_t agents,
                    uint32_t balancers,
                    double load);

/// Returns the built-in scenarios of this file. Thread-safe.
std::vector<Scenario> MakeHardLoadScenarios();

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_LAB_HARD_LOAD_H_

// @file placement_cost.h Processor time of the placement of one new flow.
#ifndef MEDLARGAUGE_LAB_PLACEMENT_COST_H_
#define MEDLARGAUGE_LAB_PLACEMENT_COST_H_

#include <cstddef>

#include "src/forwarding/placement.h"

namespace medlargauge::lab {

/// Returns the mean processor time, in microseconds, that a policy takes to
/// choose one of this many agents, without the list of candidates. Measures on
/// this host. Thread-safe.
double MeasurePlacementUs(const PlacementPolicy& policy, size_t agents);

/// Returns the size in bytes of the load in a status or, with a cost, in a
/// note.
/// @param with_wait whether it states what placement by finish time needs
size_t LoadReportBytes(bool with_wait, bool with_cost);

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_PLACEMENT_COST_H_

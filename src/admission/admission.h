// @file admission.h Admission policies: choose the agent for a new flow.
#ifndef MEDLARGAUGE_ADMISSION_ADMISSION_H_
#define MEDLARGAUGE_ADMISSION_ADMISSION_H_

#include "src/admission/admission_type.h"

namespace medlargauge {

/// Consistent placement with bounded load. The deciding agent keeps the flow
/// while its own exact count is within the allowed excess over the mean.
/// Otherwise an agent below the mean gets it, with a probability proportional
/// to its deficit, so that several deciding agents do not all choose the same
/// one. Falls back to the least loaded candidate. Thread-safe.
std::optional<size_t> PlaceWithinBound(const AdmissionInput& input);

/// Raises the flow counts of other candidates to at least half of the median,
/// so that a wrong report cannot attract all new flows. Servers that still ramp
/// up are not changed. Does nothing if fewer than three counts are usable.
/// Thread-safe.
void ClampLowCounts(AdmissionInput* input);

/// Returns whether the deciding agent's own flow count is within twice the
/// allowed excess over the mean; true if `self` is not set. Thread-safe.
bool IsWithinDoubleExcess(const AdmissionInput& input);

/// The deciding agent keeps every flow until it is full; then the least loaded
/// candidate gets it. Thread-safe.
std::optional<size_t> PlaceAtHome(const AdmissionInput& input);

/// Power of two choices: the less loaded of two candidates that the flow's hash
/// selects. Thread-safe.
std::optional<size_t> PlaceByTwoChoices(const AdmissionInput& input);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_ADMISSION_ADMISSION_H_

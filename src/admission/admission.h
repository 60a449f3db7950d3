// @file admission.h Policies that place a new flow on an agent.
#ifndef MEDLARGAUGE_ADMISSION_ADMISSION_H_
#define MEDLARGAUGE_ADMISSION_ADMISSION_H_

#include "src/admission/admission_type.h"

namespace medlargauge {

/// The home keeps a flow while its own exact count is within the bound over
/// the mean; else an agent below the mean gets it, with a chance in proportion
/// to how far below it is, so that several homes do not all choose the same.
/// Thread-safe.
std::optional<size_t> PlaceWithinBound(const AdmissionInput& input);

/// Raises counts of others that lie below half of the median, because a report
/// that is wrong must not draw all new flows. Starting servers are left alone.
/// Thread-safe.
void ClampLowCounts(AdmissionInput* input);

/// Returns whether the deciding agent's own count is within twice the allowed
/// excess over the mean. Precondition: `self` is set. Thread-safe.
bool IsBelowBound(const AdmissionInput& input);

/// The home keeps every flow until it is full. Thread-safe.
std::optional<size_t> PlaceAtHome(const AdmissionInput& input);

/// The less loaded of two candidates chosen by the flow's hash. Thread-safe.
std::optional<size_t> PlaceByTwoChoices(const AdmissionInput& input);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_ADMISSION_ADMISSION_H_

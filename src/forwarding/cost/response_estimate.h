// @file response_estimate.h Expected response time of a request.
#ifndef MEDLARGAUGE_FORWARDING_COST_RESPONSE_ESTIMATE_H_
#define MEDLARGAUGE_FORWARDING_COST_RESPONSE_ESTIMATE_H_

#include "src/core/time_type.h"

namespace medlargauge {

/// Expected time from the arrival of a request at its server to the first byte
/// of the answer, waiting time included.
struct ResponseEstimate {
  Duration expected{};       ///< Mean.
  Duration deviation{};      ///< Mean absolute deviation from it.
  bool is_measured = false;  ///< False if no answer has been observed yet.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_COST_RESPONSE_ESTIMATE_H_

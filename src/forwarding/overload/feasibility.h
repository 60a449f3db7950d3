// @file feasibility.h Whether a server can answer a request in time.
#ifndef MEDLARGAUGE_FORWARDING_OVERLOAD_FEASIBILITY_H_
#define MEDLARGAUGE_FORWARDING_OVERLOAD_FEASIBILITY_H_

#include "src/forwarding/cost/response_estimate.h"

namespace medlargauge {

/// Returns whether a server may admit a request.
///  - It gets a free slot, unless even the expected time is too long.
///  - It gets a place in the queue if 99 of 100 such requests would be answered
///    within the limit, by the deviation of the estimate.
///  - A server whose service time is not measured has no queue, as the time in
///    the queue can't be told.
/// Thread-safe. @param response expected time to the answer, waiting included
/// @param has_free_slot whether the request need not wait
/// @param limit time left for the answer; zero: no limit
bool CanAnswerWithin(const ResponseEstimate& response,
                     bool has_free_slot,
                     Duration limit);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_OVERLOAD_FEASIBILITY_H_

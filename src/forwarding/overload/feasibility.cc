// @file feasibility.cc Response times with their uncertainty.
#include "src/forwarding/overload/feasibility.h"

namespace medlargauge {
namespace {

/// Mean deviations that an estimate in the queue has to leave up to the limit:
/// 2.4 standard deviations of a normal distribution, so that 99 of 100 answers
/// are within it.
constexpr int kDeviations = 3;

}  // namespace

bool CanAnswerWithin(const ResponseEstimate& response,
                     bool has_free_slot,
                     Duration limit) {
  if (limit == Duration() || (has_free_slot && !response.is_measured)) {
    return true;
  }
  if (has_free_slot) {
    return response.expected <= limit;
  }
  return response.is_measured &&
         response.expected + response.deviation * kDeviations <= limit;
}

}  // namespace medlargauge

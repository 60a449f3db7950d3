// @file target_outlook.h Whether a balancer without targets gets them in time
// for a new flow.
#ifndef MEDLARGAUGE_FORWARDING_TARGET_OUTLOOK_H_
#define MEDLARGAUGE_FORWARDING_TARGET_OUTLOOK_H_

#include <algorithm>

#include "src/core/time_type.h"

namespace medlargauge {

/// What a balancer that has no targets yet knows about getting them.
struct TargetOutlook {
  /// A reachable member has targets, or a request to one is in flight.
  bool peer_has_targets = false;
  /// Start of the first call that the store has not answered since its last
  /// answer; zero: no call is unanswered.
  TimePoint store_silent_since;
};

/// Returns when a balancer without targets gives up a new flow. A store that
/// has been silent for longer than callers wait is not expected to answer in
/// time. Thread-safe.
/// @param wait_deadline when the caller needs an answer, to have time for
///     another try
/// @param store_patience silence of the store after which waiting is of no use
inline TimePoint UnroutedDeadline(const TargetOutlook& outlook,
                                  TimePoint wait_deadline,
                                  Duration store_patience) {
  const bool may_come =
      outlook.peer_has_targets || outlook.store_silent_since == TimePoint();
  return may_come ? wait_deadline
                  : std::min(wait_deadline,
                             outlook.store_silent_since + store_patience);
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_TARGET_OUTLOOK_H_

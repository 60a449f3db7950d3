// @file outage_bound.h The best that any system can do for callers around a
// loss of all processes: a bound for what a change of the decisions can gain.
//
// The system of the bound decides in no time, knows every flow and has free
// slots for all requests. What is left is what callers and hosts impose: a
// packet reaches a balancer only when the caller sends it and the balancer
// runs, a caller learns of a dead flow only in answer to a packet, and a
// request that may run once only is not repeated on another flow.
#ifndef MEDLARGAUGE_LAB_OUTAGE_BOUND_H_
#define MEDLARGAUGE_LAB_OUTAGE_BOUND_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "src/core/error_type.h"
#include "src/core/time_type.h"

namespace medlargauge::lab {

/// Requests of one kind, and what their callers do.
struct OutageClass {
  double per_second = 0;          ///< Above 0.
  uint32_t clients = 0;           ///< Keep long flows; 0: a flow a request.
  uint32_t flows_per_client = 0;  ///< Long flows of a client at most.
  bool repeatable = false;
  Duration goal{};   ///< Answers are worth `worth` up to this time.
  Duration limit{};  ///< The caller gives up.
  Duration work{};   ///< Mean time at the server.
  double worth = 1;
  double late_worth = 0;
  uint32_t retries = 0;
};

/// A loss of all processes. Times count from the start of the first window.
struct Outage {
  Duration lost_at{};                  ///< All processes end.
  std::vector<Duration> balancers_up;  ///< When each balancer runs again.
  bool servers_end = true;  ///< The servers end as well, with their flows.
  Duration round_trip{};    ///< Between a caller and its server.
  Duration window{};        ///< Length of a window of the result.
  uint32_t windows = 0;     ///< Number of windows.
  std::vector<OutageClass> classes;
};

/// Why a request can't be answered within its goal.
enum class OutageCause : uint8_t {
  kNone,        ///< It can.
  kRunning,     ///< It was at a server that ended; nobody repeats it.
  kRunOnce,     ///< It was sent on a dead flow and may run once only.
  kNoBalancer,  ///< No balancer ran when its packets came.
  kDeadFlow,    ///< The reset of its dead flow came too late for the goal.
  kBehind,      ///< It waited behind others on the flows of its client.
  kCount,
};

/// Returns the name of a cause in reports. Thread-safe.
std::string_view NameOf(OutageCause cause);

/// Requests that arrived in one window.
struct OutageWindow {
  uint32_t asked = 0;
  uint32_t in_goal = 0;
  uint32_t late = 0;
  uint32_t failed = 0;
  double worth_asked = 0;
  double worth_earned = 0;
  /// Requests by the first cause that kept them from their goal.
  uint32_t causes[static_cast<size_t>(OutageCause::kCount)] = {};
};

/// Reads an outage from JSON with comments. Thread-safe.
/// @return nullopt if a field is missing or invalid; `reason` then says which
std::optional<Outage> ParseOutage(std::string_view text, Error* reason);

/// Plays the outage with random arrivals. Deterministic for a seed.
/// Thread-safe. Precondition: the outage has balancers and windows.
/// @return a row for each window
std::vector<OutageWindow> ComputeOutageBound(const Outage& outage,
                                             uint64_t seed);

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_OUTAGE_BOUND_H_

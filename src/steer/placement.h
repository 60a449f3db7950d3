// @file placement.h Which backend server takes a new flow.
#ifndef MEDLARGAUGE_STEER_PLACEMENT_H_
#define MEDLARGAUGE_STEER_PLACEMENT_H_

#include <functional>
#include <optional>
#include <vector>

#include "src/steer/steer_type.h"

namespace medlargauge {

/// One agent that could take a new flow.
struct PlacementCandidate {
  MemberId id;              ///< The agent.
  ServerLoad load;          ///< Newest report.
  uint32_t pending = 0;     ///< Flows sent there since that report.
  bool certain = true;      ///< Its server has reported and it answers.
  bool same_domain = true;  ///< In the balancer's failure domain.
};

/// Chooses among candidates; nullopt if there is none. Hooks keep no state and
/// must be thread-safe.
using PlacementPolicy = std::function<std::optional<size_t>(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>&)>;

/// Returns the expected time until a request that arrives now is answered, in
/// microseconds. Answers load that comes in waves and servers that are cold or
/// slow. Thread-safe.
uint64_t ExpectedAnswerUs(TimePoint now,
                          const ServerLoad& load,
                          uint32_t pending);

/// Chooses the candidate with the shortest expected time to an answer. Equal
/// ones are told apart by the flow's hash, so that balancers with the same
/// reports do not all choose the same server. Thread-safe.
std::optional<size_t> PlaceByResponseTime(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates);

/// Chooses the best of `kSampledServers` that the flow's hash picks. Reports
/// are older than a request takes, so balancers that all chose the best of all
/// would send their flows to the same server. Answers many balancers before
/// many servers with few slots. Thread-safe.
std::optional<size_t> PlaceBySample(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates);

/// Chooses by the flow's hash alone. Thread-safe.
std::optional<size_t> PlaceByHash(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STEER_PLACEMENT_H_

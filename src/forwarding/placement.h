// @file placement.h Policies that choose a backend server for a new flow.
#ifndef MEDLARGAUGE_FORWARDING_PLACEMENT_H_
#define MEDLARGAUGE_FORWARDING_PLACEMENT_H_

#include <functional>
#include <optional>
#include <vector>

#include "src/forwarding/cost/fleet_costs.h"
#include "src/forwarding/forwarding_type.h"

namespace medlargauge {

/// An agent that could serve a new flow.
struct PlacementCandidate {
  MemberId id;           ///< The agent.
  ServerLoad load;       ///< Latest load report.
  uint32_t pending = 0;  ///< Flows placed there since that report.
  /// Its server is known, answers and is not restricted.
  bool responsive = true;
  bool same_domain = true;  ///< In the failure domain of the balancer.
  ServerSlowness slowness;  ///< Usual speed of its server.
  /// Time in a slot of the flow's first request at a server of slowness 1, in
  /// microseconds; 0: unknown.
  double work_us = 0;
};

/// Returns the index of the candidate that gets the flow; nullopt if there are
/// no candidates. Policies must be stateless and thread-safe.
using PlacementPolicy = std::function<std::optional<size_t>(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>&)>;

/// Returns the restricted candidate that wants a trial flow; nullopt if there
/// is none. Each report of a server allows for as many trials as it states.
/// Thread-safe.
std::optional<size_t> FindTrial(
    const std::vector<PlacementCandidate>& candidates);

/// Returns the expected response time, in microseconds, of a request that
/// arrives now. Considers the queue, the mean service time and the warm-up of
/// the server, so that load peaks and slow servers are handled. Thread-safe.
uint64_t ExpectedResponseTimeUs(TimePoint now,
                                const ServerLoad& load,
                                uint32_t pending);

/// Chooses the candidate with the lowest cost, which is mainly its expected
/// response time. The flow's hash breaks ties, so that balancers with the same
/// load reports do not all choose the same server. Thread-safe.
std::optional<size_t> PlaceByResponseTime(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates);

/// Chooses the best of `kSampledServers` candidates that the flow's hash
/// selects. Load reports are older than a request takes, so many balancers that
/// each chose the best of all candidates would overload the same server. Meant
/// for many balancers with many servers of few slots each. Thread-safe.
std::optional<size_t> PlaceBySample(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates);

/// Chooses the candidate of a sample at which the first request of the flow is
/// expected to end first: waiting time, which the age of the load report makes
/// uncertain, plus the work of its kind at the speed of the server.
/// Thread-safe.
std::optional<size_t> PlaceByFinishTime(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates);

/// Returns the same policy with another size of the sample.
PlacementPolicy FinishTimePolicy(size_t sampled);

/// Returns whether any candidate is responsive. Thread-safe.
bool HasResponsive(const std::vector<PlacementCandidate>& candidates);

/// Chooses by rendezvous hashing, without regard to load; responsive candidates
/// go first. Thread-safe.
std::optional<size_t> PlaceByHash(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_PLACEMENT_H_

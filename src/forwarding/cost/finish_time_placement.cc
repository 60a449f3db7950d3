// @file finish_time_placement.cc Placement by expected finish time.
#include <algorithm>
#include <array>
#include <cmath>

#include "src/forwarding/placement.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

/// Size of the sample. Trials with medlargauge-lab are in
/// docs/design/expected-cost.md.
constexpr size_t kSampledServers = 3;
constexpr size_t kMaxSampledServers = 16;
/// Time in a slot that is assumed while no server has reported one. Only the
/// order of the candidates depends on it.
constexpr double kUnknownWorkUs = 1000;
/// Round trip between failure domains.
constexpr double kOtherDomainUs = 600;
/// Penalty that ranks unresponsive candidates last.
constexpr double kUnresponsiveUs = 1e7;
/// Lost time of a request that fails with certainty, as for
/// PlaceByResponseTime.
constexpr double kFailureUs = 400'000;

/// Indices of sampled candidates, the highest rank first.
struct Sample {
  std::array<size_t, kMaxSampledServers> indices{};
  size_t size = 0;
};

/// Returns the top of a rendezvous ranking, so that a retransmission gets the
/// same sample; responsive candidates go first.
Sample SampleCandidates(uint64_t flow_hash,
                        const std::vector<PlacementCandidate>& candidates,
                        size_t limit) {
  Sample sample;
  std::array<uint64_t, kMaxSampledServers> ranks{};
  for (size_t i = 0; i < candidates.size(); ++i) {
    const uint64_t rank = (candidates[i].responsive ? 1ULL << 63U : 0) |
                          (MixHash(flow_hash, candidates[i].id.value) >> 1U);
    if (sample.size == limit && rank <= ranks[limit - 1]) {
      continue;
    }
    size_t at = sample.size < limit ? sample.size++ : limit - 1;
    for (; at > 0 && ranks[at - 1] < rank; --at) {
      ranks[at] = ranks[at - 1];
      sample.indices[at] = sample.indices[at - 1];
    }
    ranks[at] = rank;
    sample.indices[at] = i;
  }
  return sample;
}

double FinishTimeUs(TimePoint now, const PlacementCandidate& candidate) {
  const ServerLoad& load = candidate.load;
  const double work_us =
      candidate.work_us > 0 ? candidate.work_us : kUnknownWorkUs;
  const double cost_us =
      work_us * FleetCosts::SlownessNow(now, load, candidate.slowness);
  const double slots = std::max(load.slots, 1U);
  // The remaining work tells how long the queue is. Old processes don't state
  // it. Flows that were placed since the report fill free slots first.
  const double active = load.active + candidate.pending;
  const double queued = std::max(active + 1 - slots, 0.0);
  const double queued_later = std::min<double>(queued, candidate.pending);
  const double wait_us = load.wait_us == 0
                             ? queued * cost_us / slots
                             : load.wait_us + queued_later * cost_us / slots;
  return cost_us + wait_us + kFailureUs * load.failing / kRestrictedFailing +
         (candidate.same_domain ? 0 : kOtherDomainUs) +
         (candidate.responsive ? 0 : kUnresponsiveUs);
}

std::optional<size_t> PlaceInSample(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates,
    size_t limit) {
  const Sample sample = SampleCandidates(flow_hash, candidates, limit);
  std::optional<size_t> best;
  double best_time = 0;
  for (size_t i = 0; i < sample.size; ++i) {
    const size_t index = sample.indices[i];
    const double time = FinishTimeUs(now, candidates[index]);
    if (!best.has_value() || time < best_time) {
      best = index;
      best_time = time;
    }
  }
  return best;
}

}  // namespace

std::optional<size_t> PlaceByFinishTime(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates) {
  return PlaceInSample(now, flow_hash, candidates, kSampledServers);
}

PlacementPolicy FinishTimePolicy(size_t sampled) {
  return [limit = std::clamp<size_t>(sampled, 1, kMaxSampledServers)](
             TimePoint now, uint64_t flow_hash,
             const std::vector<PlacementCandidate>& candidates) {
    return PlaceInSample(now, flow_hash, candidates, limit);
  };
}

}  // namespace medlargauge

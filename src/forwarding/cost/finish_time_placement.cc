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

/// Returns the mean of the positive part of a normal variable.
double MeanPositivePart(double mean, double variance) {
  if (variance <= 0) {
    return std::max(mean, 0.0);
  }
  const double deviation = std::sqrt(variance);
  const double z = mean / deviation;
  const double density = std::exp(-z * z / 2) / std::sqrt(2 * std::acos(-1.0));
  const double probability = std::erfc(-z / std::sqrt(2.0)) / 2;
  return deviation * density + mean * probability;
}

/// Returns the mean number of active requests per slot of responsive servers.
double MeanOccupancy(const std::vector<PlacementCandidate>& candidates) {
  uint64_t active = 0;
  uint64_t slots = 0;
  for (const PlacementCandidate& candidate : candidates) {
    active += candidate.responsive ? candidate.load.active : 0;
    slots += candidate.responsive ? candidate.load.slots : 0;
  }
  return slots == 0 ? 0
                    : static_cast<double>(active) / static_cast<double>(slots);
}

double FinishTimeUs(TimePoint now,
                    const PlacementCandidate& candidate,
                    double mean_occupancy) {
  const ServerLoad& load = candidate.load;
  const double work_us =
      candidate.work_us > 0 ? candidate.work_us : kUnknownWorkUs;
  const double cost_us = work_us * candidate.slowness.At(now);
  const double slots = std::max(load.slots, 1U);
  // The remaining work tells how long the queue is. Old processes don't state
  // it.
  const double reported = load.wait_us == 0
                              ? load.active
                              : slots - 1 + load.wait_us * slots / cost_us;
  // As the report ages, the number of requests approaches the mean of the fleet
  // and spreads around it, as that of independent requests does.
  const double mean = mean_occupancy * slots;
  const double age_us =
      std::chrono::duration<double, std::micro>(now - candidate.load_at)
          .count();
  const double kept = std::exp(-std::max(age_us, 0.0) / cost_us);
  const double active = mean + (reported - mean) * kept + candidate.pending;
  const double waiting =
      MeanPositivePart(active + 1 - slots, mean * (1 - kept * kept));
  return cost_us * (1 + waiting / slots) +
         kFailureUs * load.failing / kRestrictedFailing +
         (candidate.same_domain ? 0 : kOtherDomainUs) +
         (candidate.responsive ? 0 : kUnresponsiveUs);
}

std::optional<size_t> PlaceInSample(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates,
    size_t limit) {
  const Sample sample = SampleCandidates(flow_hash, candidates, limit);
  const double mean_occupancy = MeanOccupancy(candidates);
  std::optional<size_t> best;
  double best_time = 0;
  for (size_t i = 0; i < sample.size; ++i) {
    const size_t index = sample.indices[i];
    const double time = FinishTimeUs(now, candidates[index], mean_occupancy);
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

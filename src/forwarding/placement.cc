// @file placement.cc Response time estimate and placement policies.
#include "src/forwarding/placement.h"

#include <algorithm>
#include <array>

#include "src/routing/routing.h"

namespace medlargauge {
namespace {

/// Service time assumed before the first answer.
constexpr uint64_t kDefaultServiceUs = 30000;
/// Service time during warm-up, in percent of the normal one.
constexpr uint64_t kWarmupPercent = 160;
/// Cost of each active request, even if slots are free: an idle server is
/// preferred, because load reports are old and other balancers place flows too.
constexpr uint64_t kActiveRequestUs = 2000;
/// Cost of a failed request: the caller has to retry, and a request that must
/// not be repeated is lost.
constexpr uint64_t kFailureUs = 400'000;
/// Round trip between failure domains.
constexpr uint64_t kOtherDomainUs = 600;
constexpr uint64_t kTieBreakUs = 1024;  ///< Range of the hash that breaks ties.
constexpr size_t kSampledServers = 3;   ///< Larger samples cause herding.
/// Penalty that ranks unresponsive candidates last.
constexpr uint64_t kUnresponsiveUs = 10'000'000;

}  // namespace

uint64_t ExpectedResponseTimeUs(TimePoint now,
                                const ServerLoad& load,
                                uint32_t pending) {
  // A measured time includes the effect of the warm-up.
  const uint64_t unmeasured_us = load.warmup_ends_at > now
                                     ? kDefaultServiceUs * kWarmupPercent / 100
                                     : kDefaultServiceUs;
  const uint64_t service_us =
      load.service_us == 0 ? unmeasured_us : load.service_us;
  const uint64_t slots = std::max(load.slots, 1U);
  const uint64_t requests_ahead = static_cast<uint64_t>(load.active) + pending;
  const uint64_t waiting =
      requests_ahead + 1 > slots ? requests_ahead + 1 - slots : 0;
  return service_us + service_us * waiting / slots;
}

std::optional<size_t> PlaceByResponseTime(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates) {
  std::optional<size_t> best;
  uint64_t best_cost = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const PlacementCandidate& candidate = candidates[i];
    uint64_t cost =
        ExpectedResponseTimeUs(now, candidate.load, candidate.pending) +
        kActiveRequestUs * (candidate.load.active + candidate.pending) +
        MixHash(flow_hash, candidate.id.value) % kTieBreakUs +
        kFailureUs * candidate.load.failing / 1000;
    cost += candidate.same_domain ? 0 : kOtherDomainUs;
    cost += candidate.responsive ? 0 : kUnresponsiveUs;
    if (!best.has_value() || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

std::optional<size_t> PlaceBySample(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates) {
  // The sample is the top of a rendezvous ranking, so that a retransmission of
  // the opening packet gets the same one.
  std::array<size_t, kSampledServers> sample{};
  std::array<uint64_t, kSampledServers> ranks{};
  size_t sampled = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const uint64_t rank = (candidates[i].responsive ? 1ULL << 63U : 0) |
                          (MixHash(flow_hash, candidates[i].id.value) >> 1U);
    size_t at = sampled < kSampledServers ? sampled++ : kSampledServers;
    if (at == kSampledServers) {
      if (rank <= ranks[kSampledServers - 1]) {
        continue;
      }
      at = kSampledServers - 1;
    }
    while (at > 0 && ranks[at - 1] < rank) {
      ranks[at] = ranks[at - 1];
      sample[at] = sample[at - 1];
      --at;
    }
    ranks[at] = rank;
    sample[at] = i;
  }
  std::vector<PlacementCandidate> sampled_candidates;
  for (size_t i = 0; i < sampled; ++i) {
    sampled_candidates.push_back(candidates[sample[i]]);
  }
  const std::optional<size_t> best =
      PlaceByResponseTime(now, flow_hash, sampled_candidates);
  return best.has_value() ? std::make_optional(sample[*best]) : std::nullopt;
}

bool HasResponsive(const std::vector<PlacementCandidate>& candidates) {
  return std::any_of(
      candidates.begin(), candidates.end(),
      [](const PlacementCandidate& candidate) { return candidate.responsive; });
}

std::optional<size_t> FindTrial(
    const std::vector<PlacementCandidate>& candidates) {
  const auto found =
      std::find_if(candidates.begin(), candidates.end(),
                   [](const PlacementCandidate& candidate) {
                     return IsRestricted(candidate.load) &&
                            candidate.load.trials > candidate.pending;
                   });
  return found == candidates.end()
             ? std::nullopt
             : std::make_optional<size_t>(found - candidates.begin());
}

std::optional<size_t> PlaceByHash(
    TimePoint /*now*/,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates) {
  std::optional<size_t> best;
  uint64_t best_rank = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const uint64_t rank = MixHash(flow_hash, candidates[i].id.value) >> 1U |
                          (candidates[i].responsive ? 1ULL << 63U : 0);
    if (!best.has_value() || rank > best_rank) {
      best = i;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace medlargauge

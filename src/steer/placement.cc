// @file placement.cc Expected time to an answer, and choosing by it.
#include "src/steer/placement.h"

#include <algorithm>
#include <array>

#include "src/routing/routing.h"

namespace medlargauge {
namespace {

constexpr uint64_t kUnknownServiceUs = 30000;  ///< Before the first answer.
/// A cold server takes about this much longer, in percent.
constexpr uint64_t kColdPercent = 160;
/// An idle server is preferred to a busy one with free slots: reports are old,
/// and other balancers place flows as well.
constexpr uint64_t kBusySlotUs = 2000;
/// A failure costs the caller another try; one that may not be repeated is
/// lost.
constexpr uint64_t kFailureUs = 400'000;
constexpr uint64_t kOtherDomainUs = 600;  ///< A crossing there and back.
constexpr uint64_t kTieUs = 1024;         ///< Spread of the hash over ties.
constexpr size_t kSampledServers = 3;     ///< More of them herd again.
constexpr uint64_t kUncertainUs = 10'000'000;  ///< Behind every certain one.

}  // namespace

uint64_t ExpectedAnswerUs(TimePoint now,
                          const ServerLoad& load,
                          uint32_t pending) {
  uint64_t service = load.service_us == 0 ? kUnknownServiceUs : load.service_us;
  if (load.warmup_ends_at > now) {
    service = service * kColdPercent / 100;
  }
  const uint64_t slots = std::max(load.slots, 1U);
  const uint64_t before = static_cast<uint64_t>(load.active) + pending;
  const uint64_t waiting = before + 1 > slots ? before + 1 - slots : 0;
  return service + service * waiting / slots;
}

std::optional<size_t> PlaceByResponseTime(
    TimePoint now,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates) {
  std::optional<size_t> best;
  uint64_t best_cost = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const PlacementCandidate& candidate = candidates[i];
    uint64_t cost = ExpectedAnswerUs(now, candidate.load, candidate.pending) +
                    kBusySlotUs * (candidate.load.active + candidate.pending) +
                    MixHash(flow_hash, candidate.id.value) % kTieUs +
                    kFailureUs * candidate.load.failing / 1000;
    cost += candidate.same_domain ? 0 : kOtherDomainUs;
    cost += candidate.certain ? 0 : kUncertainUs;
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
  // The first ones of a rendezvous ranking: a copy finds the same sample.
  std::array<size_t, kSampledServers> sample{};
  std::array<uint64_t, kSampledServers> ranks{};
  size_t sampled = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const uint64_t rank = (candidates[i].certain ? 1ULL << 63U : 0) |
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
  std::vector<PlacementCandidate> chosen;
  for (size_t i = 0; i < sampled; ++i) {
    chosen.push_back(candidates[sample[i]]);
  }
  const std::optional<size_t> best =
      PlaceByResponseTime(now, flow_hash, chosen);
  return best.has_value() ? std::make_optional(sample[*best]) : std::nullopt;
}

std::optional<size_t> PlaceByHash(
    TimePoint /*now*/,
    uint64_t flow_hash,
    const std::vector<PlacementCandidate>& candidates) {
  std::optional<size_t> best;
  uint64_t best_rank = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const uint64_t rank = MixHash(flow_hash, candidates[i].id.value) >> 1U |
                          (candidates[i].certain ? 1ULL << 63U : 0);
    if (!best.has_value() || rank > best_rank) {
      best = i;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace medlargauge

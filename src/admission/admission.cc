// @file admission.cc Bounded-load placement and alternative policies.
#include "src/admission/admission.h"

#include <algorithm>
#include <cmath>

#include "src/core/hash.h"
#include "src/target/target_type.h"

namespace medlargauge {
namespace {

/// With fewer counts than this the median is not meaningful: a low count may be
/// correct.
constexpr size_t kMinCountsForMedian = 3;
constexpr uint64_t kDeficitSeed = 0x5EED0001;
constexpr uint64_t kTwoChoiceSeed = 0x5EED0002;

/// Returns whether the candidate is below its capacity.
bool HasCapacity(const AdmissionCandidate& candidate) {
  return candidate.open_flows < candidate.capacity;
}

/// Returns whether the candidate accepts flows from the deciding agent.
bool AcceptsHandovers(const AdmissionCandidate& candidate) {
  return !candidate.shedding && !candidate.declined;
}

/// Returns the mean flow count per candidate, counting a candidate that still
/// ramps up as the fraction `ramp` of one. Shedding candidates are left out.
double MeanFlowsAtFullRamp(const std::vector<AdmissionCandidate>& candidates) {
  double flows = 0;
  double ramp = 0;
  for (const AdmissionCandidate& candidate : candidates) {
    if (candidate.shedding) {
      continue;
    }
    flows += candidate.open_flows;
    ramp += candidate.ramp;
  }
  return ramp > 0 ? flows / ramp : 0;
}

/// Returns the candidate below its capacity with the fewest flows in proportion
/// to its ramp.
std::optional<size_t> ChooseLeastLoaded(const AdmissionInput& input) {
  std::optional<size_t> best;
  double best_load = 0;
  for (size_t i = 0; i < input.candidates.size(); ++i) {
    const AdmissionCandidate& candidate = input.candidates[i];
    if (!HasCapacity(candidate) ||
        (!AcceptsHandovers(candidate) && input.self != i)) {
      continue;
    }
    const double load = candidate.open_flows / std::max(candidate.ramp, 0.01);
    if (!best.has_value() || load < best_load) {
      best = i;
      best_load = load;
    }
  }
  return best;
}

/// Chooses among candidates below `mean` in proportion to their deficit.
std::optional<size_t> ChooseByDeficit(const AdmissionInput& input,
                                      double mean) {
  std::vector<double> deficits(input.candidates.size(), 0.0);
  double total = 0;
  for (size_t i = 0; i < input.candidates.size(); ++i) {
    const AdmissionCandidate& candidate = input.candidates[i];
    const bool usable = HasCapacity(candidate) && AcceptsHandovers(candidate);
    if (usable) {
      const double deficit = mean * candidate.ramp - candidate.open_flows;
      deficits[i] = std::max(deficit, 0.0);
      total += deficits[i];
    }
  }
  if (total <= 0) {
    return std::nullopt;
  }
  const uint64_t hash = MixHash(input.flow.high, kDeficitSeed);
  double position = std::ldexp(static_cast<double>(hash >> 11U), -53) * total;
  for (size_t i = 0; i < deficits.size(); ++i) {
    position -= deficits[i];
    if (position < 0 && deficits[i] > 0) {
      return i;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<size_t> PlaceWithinBound(const AdmissionInput& input) {
  const double mean = MeanFlowsAtFullRamp(input.candidates);
  if (input.self.has_value()) {
    const AdmissionCandidate& self = input.candidates[*input.self];
    const double share = static_cast<double>(input.evenness) / kWholeShare;
    const double bound = mean * self.ramp * (1 + share) + 1;
    const bool keeps_flow = self.shedding || self.open_flows < bound;
    if (HasCapacity(self) && keeps_flow) {
      return input.self;
    }
  }
  const std::optional<size_t> chosen = ChooseByDeficit(input, mean);
  return chosen.has_value() ? chosen : ChooseLeastLoaded(input);
}

void ClampLowCounts(AdmissionInput* input) {
  std::vector<uint32_t> counts;
  for (const AdmissionCandidate& candidate : input->candidates) {
    if (candidate.ramp >= 1 && !candidate.shedding) {
      counts.push_back(candidate.open_flows);
    }
  }
  if (counts.size() < kMinCountsForMedian) {
    return;
  }
  const auto middle =
      counts.begin() + static_cast<std::ptrdiff_t>(counts.size() / 2);
  std::nth_element(counts.begin(), middle, counts.end());
  const uint32_t min_count = *middle / 2;
  for (size_t i = 0; i < input->candidates.size(); ++i) {
    AdmissionCandidate& candidate = input->candidates[i];
    const bool applies = candidate.ramp >= 1 && input->self != i;
    if (applies) {
      candidate.open_flows = std::max(candidate.open_flows, min_count);
    }
  }
}

bool IsWithinDoubleExcess(const AdmissionInput& input) {
  if (!input.self.has_value()) {
    return true;
  }
  const AdmissionCandidate& self = input.candidates[*input.self];
  const double share = static_cast<double>(input.evenness) / kWholeShare;
  const double bound =
      MeanFlowsAtFullRamp(input.candidates) * self.ramp * (1 + 2 * share) + 1;
  return self.open_flows < bound;
}

std::optional<size_t> PlaceAtHome(const AdmissionInput& input) {
  const bool keeps_flow =
      input.self.has_value() && HasCapacity(input.candidates[*input.self]);
  return keeps_flow ? input.self : ChooseLeastLoaded(input);
}

std::optional<size_t> PlaceByTwoChoices(const AdmissionInput& input) {
  std::vector<size_t> usable;
  for (size_t i = 0; i < input.candidates.size(); ++i) {
    const AdmissionCandidate& candidate = input.candidates[i];
    if (HasCapacity(candidate) && AcceptsHandovers(candidate)) {
      usable.push_back(i);
    }
  }
  if (usable.empty()) {
    return ChooseLeastLoaded(input);
  }
  const uint64_t hash = MixHash(input.flow.high, kTwoChoiceSeed);
  const size_t first = usable[(hash & 0xFFFFFFFFU) % usable.size()];
  const size_t second = usable[(hash >> 32U) % usable.size()];
  const auto load = [&](size_t i) { return input.candidates[i].open_flows; };
  return load(second) < load(first) ? second : first;
}

}  // namespace medlargauge

// @file admission.cc The bound on exact counts and its alternatives.
#include "src/admission/admission.h"

#include <algorithm>
#include <cmath>

#include "src/core/hash.h"
#include "src/target/target_type.h"

namespace medlargauge {
namespace {

/// With fewer counts than this, a low one may well be right.
constexpr size_t kFewestForMedian = 3;
constexpr uint64_t kDeficitSeed = 0x5EED0001;
constexpr uint64_t kTwoChoiceSeed = 0x5EED0002;

/// Returns whether the candidate has room for one more flow.
bool HasRoom(const AdmissionCandidate& candidate) {
  return candidate.open_flows < candidate.capacity;
}

/// Returns whether a flow may be handed to the candidate now.
bool TakesHandovers(const AdmissionCandidate& candidate) {
  return !candidate.shedding && !candidate.declined;
}

/// Returns the mean that each candidate at full ramp should carry.
double TargetMean(const std::vector<AdmissionCandidate>& candidates) {
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

/// Returns the candidate with room that has the fewest flows for its ramp.
std::optional<size_t> LeastLoaded(const AdmissionInput& input) {
  std::optional<size_t> best;
  double best_load = 0;
  for (size_t i = 0; i < input.candidates.size(); ++i) {
    const AdmissionCandidate& candidate = input.candidates[i];
    if (!HasRoom(candidate) ||
        (!TakesHandovers(candidate) && input.self != i)) {
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
    const bool usable = HasRoom(candidate) && TakesHandovers(candidate);
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
  double point = std::ldexp(static_cast<double>(hash >> 11U), -53) * total;
  for (size_t i = 0; i < deficits.size(); ++i) {
    point -= deficits[i];
    if (point < 0 && deficits[i] > 0) {
      return i;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<size_t> PlaceWithinBound(const AdmissionInput& input) {
  const double mean = TargetMean(input.candidates);
  if (input.self.has_value()) {
    const AdmissionCandidate& self = input.candidates[*input.self];
    const double share = static_cast<double>(input.evenness) / kWholeShare;
    const double bound = mean * self.ramp * (1 + share) + 1;
    const bool keeps = self.shedding || self.open_flows < bound;
    if (HasRoom(self) && keeps) {
      return input.self;
    }
  }
  const std::optional<size_t> chosen = ChooseByDeficit(input, mean);
  return chosen.has_value() ? chosen : LeastLoaded(input);
}

void ClampLowCounts(AdmissionInput* input) {
  std::vector<uint32_t> counts;
  for (const AdmissionCandidate& candidate : input->candidates) {
    if (candidate.ramp >= 1 && !candidate.shedding) {
      counts.push_back(candidate.open_flows);
    }
  }
  if (counts.size() < kFewestForMedian) {
    return;
  }
  const auto middle =
      counts.begin() + static_cast<std::ptrdiff_t>(counts.size() / 2);
  std::nth_element(counts.begin(), middle, counts.end());
  const uint32_t lowest = *middle / 2;
  for (size_t i = 0; i < input->candidates.size(); ++i) {
    AdmissionCandidate& candidate = input->candidates[i];
    const bool doubted = candidate.ramp >= 1 && input->self != i;
    if (doubted) {
      candidate.open_flows = std::max(candidate.open_flows, lowest);
    }
  }
}

bool IsBelowBound(const AdmissionInput& input) {
  if (!input.self.has_value()) {
    return true;
  }
  const AdmissionCandidate& self = input.candidates[*input.self];
  const double share = static_cast<double>(input.evenness) / kWholeShare;
  const double bound =
      TargetMean(input.candidates) * self.ramp * (1 + 2 * share) + 1;
  return self.open_flows < bound;
}

std::optional<size_t> PlaceAtHome(const AdmissionInput& input) {
  const bool keeps =
      input.self.has_value() && HasRoom(input.candidates[*input.self]);
  return keeps ? input.self : LeastLoaded(input);
}

std::optional<size_t> PlaceByTwoChoices(const AdmissionInput& input) {
  std::vector<size_t> usable;
  for (size_t i = 0; i < input.candidates.size(); ++i) {
    const AdmissionCandidate& candidate = input.candidates[i];
    if (HasRoom(candidate) && TakesHandovers(candidate)) {
      usable.push_back(i);
    }
  }
  if (usable.empty()) {
    return LeastLoaded(input);
  }
  const uint64_t hash = MixHash(input.flow.high, kTwoChoiceSeed);
  const size_t first = usable[(hash & 0xFFFFFFFFU) % usable.size()];
  const size_t second = usable[(hash >> 32U) % usable.size()];
  const auto load = [&](size_t i) { return input.candidates[i].open_flows; };
  return load(second) < load(first) ? second : first;
}

}  // namespace medlargauge

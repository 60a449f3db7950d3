// @file reset_model.h Exhaustive search for events after which a flow is reset
// although its server holds it, sticks to another server, or is never reset.
#ifndef MEDLARGAUGE_LAB_RESET_MODEL_H_
#define MEDLARGAUGE_LAB_RESET_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lab/reset_world.h"

namespace medlargauge::lab {

/// A finding with the shortest sequence of events that shows it.
struct ModelFinding {
  Finding finding;
  ModelConfig config;
  std::vector<std::string> script;  ///< Names of the events, for Replay.
  uint64_t sequences = 0;           ///< Sequences that show the same.
};

/// Result of a search.
struct ModelResult {
  uint64_t sequences = 0;    ///< Complete sequences, each settled at its end.
  uint64_t states = 0;       ///< States on the way, one after each event.
  uint64_t resets = 0;       ///< Sequences whose flow was reset after the last
                             ///< event.
  Duration longest_reset{};  ///< Longest time from the last event to a reset.
  /// Findings that count, by kind and the kinds of events that they need; the
  /// others by kind and what was out of touch.
  std::map<std::string, ModelFinding> findings;

  /// Returns the findings that count: resets and packets astray in touch, and
  /// dead flows that were not reset.
  std::vector<ModelFinding> Counted() const;
};

/// Returns whether a finding breaks a promise. Thread-safe.
bool Counts(const Finding& finding);

/// Returns the name of a kind of finding. Thread-safe.
std::string_view FindingName(FindingKind kind);
/// Returns the name of an opening. Thread-safe.
std::string_view OpeningName(ModelOpening opening);
/// Returns all openings. Thread-safe.
std::vector<ModelOpening> AllOpenings();

/// Plays every sequence of up to `depth` events and settles the world after
/// each. Adds to `result`. Deterministic; thread-safe for distinct results.
/// @param part, parts plays only the sequences whose first event has an index
///     that leaves the rest `part` when divided by `parts`
void ExploreAll(const ModelConfig& config,
                uint32_t depth,
                uint32_t part,
                uint32_t parts,
                ModelResult* result);

/// Plays `runs` random sequences of `length` events, and shortens those that
/// show something new. Adds to `result`. Deterministic for a seed.
void ExploreRandomly(const ModelConfig& config,
                     uint64_t seed,
                     uint32_t runs,
                     uint32_t length,
                     ModelResult* result);

/// Plays a scripted sequence of events and settles the world after it. Skips
/// events that make no sense when they are due.
/// @param trace see ResetWorld::SetTrace; may be unset
/// @return what it showed. Precondition: every event has a valid name.
std::vector<Finding> Replay(
    const ModelConfig& config,
    const std::vector<std::string>& script,
    const std::function<void(Duration, const std::string&)>& trace = {});

/// Returns a result as text, shortest sequences first.
std::string Describe(const ModelResult& result);

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_RESET_MODEL_H_

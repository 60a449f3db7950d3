// @file era_tracker.h The era of the store, which rises with each restore.
#ifndef MEDLARGAUGE_FORWARDING_ERA_TRACKER_H_
#define MEDLARGAUGE_FORWARDING_ERA_TRACKER_H_

#include <cstdint>

#include "src/core/time_type.h"

namespace medlargauge {

/// What an answer of the store says about its era.
struct StatedEra {
  enum class Kind : uint8_t {
    kNoAnswer,  ///< No answer arrived.
    kMissing,   ///< The answer names no era.
    kInvalid,   ///< The answer names an era that is no number.
    kStated,    ///< `era` is valid.
  };
  Kind kind = Kind::kNoAnswer;
  uint64_t era = 0;  ///< Only for kStated.
};

/// How the era in an answer relates to the known one.
enum class EraFinding : uint8_t {
  kUsable,   ///< The known era, or none while none is known.
  kFirst,    ///< The first era that this process learns of.
  kRose,     ///< The store was restored since the last answer.
  kOlder,    ///< The answer was sent before the store was restored.
  kMissing,  ///< The answer names no era, although one is known.
  kInvalid,  ///< The answer names an era that is no number.
};

/// Returns whether the content of an answer with this finding can be used.
/// Thread-safe.
constexpr bool IsUsable(EraFinding finding) {
  return finding == EraFinding::kUsable || finding == EraFinding::kFirst ||
         finding == EraFinding::kRose;
}

/// Keeps the newest era that is known. Deterministic. Not thread-safe.
class EraTracker {
 public:
  /// Handles the era in an answer of the store.
  EraFinding OnAnswer(const StatedEra& stated);

  /// Returns the newest known era; 0 if none is known.
  uint64_t Era() const { return m_era; }

 private:
  uint64_t m_era = 0;          ///< See Era.
  bool m_has_learned = false;  ///< An answer has arrived.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_ERA_TRACKER_H_

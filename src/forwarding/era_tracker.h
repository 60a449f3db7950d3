// @file era_tracker.h The era of the store, which rises with each restore.
#ifndef MEDLARGAUGE_FORWARDING_ERA_TRACKER_H_
#define MEDLARGAUGE_FORWARDING_ERA_TRACKER_H_

#include <cstdint>
#include <optional>

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

/// Time within which all members that learn of a restore register again: their
/// calls are spread over a second, and one failed call is repeated.
constexpr Duration kReregistrationTime = Seconds(5);

/// Keeps the newest era that is known, and when all members should have
/// registered in it. Deterministic: it maps (now, event) to findings and reads
/// no clock. Not thread-safe.
class EraTracker {
 public:
  /// Handles the era in an answer of the store.
  EraFinding OnAnswer(TimePoint now, const StatedEra& stated);

  /// Handles the era in a status of another process.
  /// @param era newest era that the process knows; 0 if it knows none
  /// @param age how long that process has known of a rise to `era`; nullopt if
  ///     it has seen none
  /// @return kUsable, kFirst, kRose or kOlder
  EraFinding OnPeer(TimePoint now, uint64_t era, std::optional<Duration> age);

  /// Returns the newest known era; 0 if none is known.
  uint64_t Era() const { return m_era; }
  /// Returns for how long a rise to this era has been known; nullopt if this
  /// process has only known this era.
  std::optional<Duration> Age(TimePoint now) const;
  /// Returns when all members should have registered in this era; zero if it
  /// is not known to have risen.
  TimePoint RegistrationsCompleteAt() const { return m_complete_at; }

 private:
  EraFinding Learn(TimePoint now, uint64_t era, std::optional<Duration> age);
  void ExpectRegistrationsSince(TimePoint since);

  uint64_t m_era = 0;       ///< See Era.
  TimePoint m_rose_at;      ///< First news of the rise; zero: none.
  TimePoint m_complete_at;  ///< See RegistrationsCompleteAt.
  bool m_has_learned =
      false;  ///< An answer, or the era of a peer, has arrived.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_ERA_TRACKER_H_

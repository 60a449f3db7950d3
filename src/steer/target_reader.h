// @file target_reader.h When a process asks the store for the targets.
#ifndef MEDLARGAUGE_STEER_TARGET_READER_H_
#define MEDLARGAUGE_STEER_TARGET_READER_H_

#include <vector>

#include "src/steer/membership_table.h"

namespace medlargauge {

/// Intervals of reading. A reader hears of a change at once; everybody else
/// hears from a reader, and reads for itself when no reader is up to date.
struct TargetReaderLimits {
  size_t readers = 3;                    ///< Chosen by hash among balancers.
  Duration wait = Milliseconds(2000);    ///< A watch waits this long.
  Duration stale = Milliseconds(3200);   ///< A word from the store is older.
  Duration backoff = Milliseconds(150);  ///< After the first failure.
  Duration backoff_limit = Milliseconds(1500);  ///< Doubles up to this.
  Duration start_grace = Milliseconds(0);       ///< A peer may be faster.
};

/// How a call to the store ended.
enum class StoreResult : uint8_t {
  kOk,         ///< Done.
  kNotFound,   ///< No such key.
  kConflict,   ///< The condition did not hold.
  kCompacted,  ///< The history that a watch asked for is no longer kept.
  kRefused,    ///< Nothing was done; try again later.
  kNoAnswer,   ///< Nobody knows whether it was done.
};

/// What to do now.
enum class ReadAction : uint8_t { kNothing, kRead, kWatch };

/// State machine of reading the targets: (now, event) -> action. Not
/// thread-safe.
class TargetReader {
 public:
  /// @param seed spreads the retries of different processes
  TargetReader(TimePoint now, uint64_t seed, TargetReaderLimits limits);

  /// Returns what to do; the caller does it and reports OnRead or OnWatch.
  /// @param self own id; @param roster the members; @param revision in force
  ReadAction Next(TimePoint now,
                  MemberId self,
                  const MembershipTable& roster,
                  uint64_t revision);

  /// A read has ended. @param position store's revision if it succeeded
  void OnRead(TimePoint now, StoreResult result, uint64_t position);

  /// A watch has ended. @param position where the next watch goes on
  void OnWatch(TimePoint now, StoreResult result, uint64_t position);

  /// The host was suspended: what is known may be old.
  void OnSuspended() { m_must_read = true; }

  /// Returns the time of the store's last word; zero if there is none or the
  /// store has stopped answering.
  TimePoint LastStoreContact() const { return m_checked; }
  /// Returns where the next watch goes on.
  uint64_t Position() const { return m_position; }
  /// Returns whether the last call failed.
  bool IsFailing() const { return m_failures > 0; }

 private:
  bool ShouldRead(TimePoint now,
                  MemberId self,
                  const MembershipTable& roster) const;
  void NoteResult(TimePoint now, StoreResult result);
  void BackOff(TimePoint now, uint32_t earlier);

  TargetReaderLimits m_limits;  ///< As constructed.
  uint64_t m_seed;              ///< Spreads retries.
  TimePoint m_started;          ///< Start of the process.
  TimePoint m_retry_at;         ///< Not before.
  TimePoint m_checked;          ///< See LastStoreContact.
  uint64_t m_position = 0;      ///< See Position.
  uint32_t m_failures = 0;      ///< In a row.
  uint32_t m_gone = 0;          ///< Watches in a row without their history.
  bool m_must_read = true;      ///< A watch would miss something.
  bool m_busy = false;          ///< An action has not ended.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STEER_TARGET_READER_H_

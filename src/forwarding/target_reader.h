// @file target_reader.h Decides when a process reads the targets from the
// store.
#ifndef MEDLARGAUGE_FORWARDING_TARGET_READER_H_
#define MEDLARGAUGE_FORWARDING_TARGET_READER_H_

#include <algorithm>
#include <string_view>
#include <vector>

#include "src/forwarding/membership_table.h"

namespace medlargauge {

/// Settings of reading the targets. A few balancers, the readers, watch the
/// store and learn of a change at once. All other processes learn of it from a
/// reader, and read the store themselves if no reader is up to date.
struct TargetReaderLimits {
  size_t readers = 3;  ///< Number of readers, chosen by hash.
  /// Longest time without an answer of the store to any reader. The long-poll
  /// timeout of a watch is this time for each reader, up to `max_wait`.
  Duration wait = Milliseconds(2000);
  Duration max_wait = Milliseconds(5000);
  /// A reader begins its next watch this much later for each reader that ranks
  /// before it, so that one of several quick changes reaches one reader.
  Duration watch_pause = Milliseconds(400);
  /// A process reads the store itself if no balancer has had an answer from the
  /// store within this time.
  Duration max_contact_age = Milliseconds(3200);
  /// Delay after the first failure; doubles with each further failure.
  Duration initial_backoff = Milliseconds(150);
  /// Upper limit of the delay.
  Duration max_backoff = Milliseconds(1500);
  /// Delay of the first read, during which a peer may deliver the targets.
  Duration first_read_delay = Milliseconds(0);
};

/// Result of a call to the store.
enum class StoreResult : uint8_t {
  kOk,                ///< Succeeded.
  kNotFound,          ///< The key does not exist.
  kConflict,          ///< The condition of the write was false.
  kHistoryCompacted,  ///< The requested history has been compacted away.
  kRefused,           ///< Not executed; retry later.
  kNoAnswer,          ///< Outcome unknown: no answer arrived.
};

/// Call to the store that is due.
enum class ReadAction : uint8_t { kNothing, kRead, kWatch };

/// Part that a process has in reading the targets.
enum class ReadingRole : uint8_t {
  kRelying,     ///< It relies on others and makes no call.
  kReader,      ///< One of the readers.
  kSubstitute,  ///< It reads because a reader's calls fail.
  kOverdue,     ///< It reads because no other process is up to date.
};

/// Returns the name of a role for logs. Thread-safe.
std::string_view NameOf(ReadingRole role);

/// Why a process makes calls for the targets, or makes none.
struct ReadingState {
  ReadingRole role = ReadingRole::kRelying;
  /// Process that states the newest contact with the store; unset: none does.
  MemberId newest;
  TimePoint newest_contact;  ///< The contact that it states.
};

/// State machine that schedules reads and watches of the targets.
/// Deterministic: it maps (now, event) to an action and reads no clock. Not
/// thread-safe.
class TargetReader {
 public:
  /// @param seed spreads the retries of different processes over time
  TargetReader(TimePoint now, uint64_t seed, TargetReaderLimits limits);

  /// Returns the call that is due. The caller of this method carries it out and
  /// then calls OnRead or OnWatch; until then kNothing is returned.
  /// @param self id of this process
  /// @param members membership table
  /// @param revision revision of the targets in force; 0 if there are none
  ReadAction Next(TimePoint now,
                  MemberId self,
                  const MembershipTable& members,
                  uint64_t revision);

  /// Sets the failure domain of this process, as readers should be in
  /// different ones.
  void SetDomain(DomainId domain) { m_domain = domain; }

  /// Handles the end of a read.
  /// @param position revision of the store if the read succeeded, or found no
  ///     targets; 0: unknown
  void OnRead(TimePoint now, StoreResult result, uint64_t position);

  /// Handles the end of a watch.
  /// @param position revision at which the next watch continues
  void OnWatch(TimePoint now, StoreResult result, uint64_t position);

  /// Requires a full read next, because the host was suspended and the known
  /// targets may be outdated.
  void OnSuspended() { m_read_required = true; }

  /// Requires a full read next, without delay, because the store was restored
  /// from an older copy: a watch could miss changes whose revisions are below
  /// Position.
  void OnNewEra(TimePoint now);

  /// Records that the store states eras. Balancers that know none are then no
  /// readers for this process, as they miss targets after a restore.
  void OnEraKnown() { m_era_known = true; }

  /// Returns when the store last answered; zero if it never did or if the last
  /// call failed. The store is in contact while it holds a watch.
  TimePoint LastStoreContact(TimePoint now) const {
    return m_is_watching && m_last_store_contact != TimePoint()
               ? now
               : m_last_store_contact;
  }
  /// Returns when a call to the store last succeeded; zero if none has.
  TimePoint LastAnswer() const { return m_last_answer; }
  /// Returns the decision at the last call of Next that no call in progress or
  /// back-off preceded.
  const ReadingState& Reading() const { return m_reading; }
  /// Returns the start of the first call since the store's last answer; zero
  /// if there is none.
  TimePoint UnansweredSince() const { return m_unanswered_since; }
  /// Returns the long-poll timeout of the watch that is due.
  Duration WatchTimeout() const {
    return std::min<Duration>(m_limits.max_wait,
                              m_limits.wait * static_cast<int64_t>(m_readers));
  }
  /// Returns the revision at which the next watch continues.
  uint64_t Position() const { return m_position; }
  /// Returns whether the last call to the store failed.
  bool IsFailing() const { return m_failures > 0; }
  /// Returns whether this process is one of the readers, and not one that reads
  /// because a reader's calls fail.
  bool IsReader() const { return m_rank < m_limits.readers; }

 private:
  /// Updates m_rank, m_readers and m_reading. @return whether this process has
  /// to read
  bool ShouldRead(TimePoint now, MemberId self, const MembershipTable& members);
  /// A balancer that may be a reader.
  struct Candidate {
    MemberId id;
    DomainId domain;
    bool failing = false;  ///< Its last call failed.
  };
  /// Sorts candidates: first one of each failure domain, so that a domain that
  /// is cut off has few readers, and then the others; by hash among each.
  static std::vector<Candidate> RankCandidates(
      const std::vector<Candidate>& candidates);
  void RecordResult(TimePoint now, StoreResult result);
  void ScheduleRetry(TimePoint now, uint32_t earlier_failures);

  TargetReaderLimits m_limits;      ///< Settings.
  DomainId m_domain;                ///< See SetDomain.
  uint64_t m_seed;                  ///< Seed of the spread of retries.
  TimePoint m_started_at;           ///< Start of the process.
  TimePoint m_retry_at;             ///< Earliest time of the next call.
  TimePoint m_last_store_contact;   ///< See LastStoreContact.
  TimePoint m_last_answer;          ///< See LastAnswer.
  ReadingState m_reading;           ///< See Reading.
  TimePoint m_unanswered_since;     ///< See UnansweredSince.
  uint64_t m_position = 0;          ///< See Position.
  uint32_t m_failures = 0;          ///< Consecutive failed calls.
  uint32_t m_compactions = 0;       ///< Consecutive kHistoryCompacted results.
  bool m_read_required = true;      ///< A watch would miss changes.
  bool m_era_known = false;         ///< See OnEraKnown.
  bool m_call_in_progress = false;  ///< A read or watch is in progress.
  bool m_is_watching = false;       ///< A watch is in progress.
  bool m_knows_none = false;        ///< The store has no targets yet.
  size_t m_rank = 0;                ///< Readers that rank before this one.
  size_t m_readers = 1;             ///< Number of readers.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_TARGET_READER_H_

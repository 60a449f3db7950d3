// @file target_reader.h Decides when a process reads the targets from the
// store.
#ifndef MEDLARGAUGE_FORWARDING_TARGET_READER_H_
#define MEDLARGAUGE_FORWARDING_TARGET_READER_H_

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "src/forwarding/membership_table.h"

namespace medlargauge {

/// Settings of reading the targets. A few balancers, the readers, watch the
/// store and learn of a change at once. All others rely on what processes state
/// about the age of their targets, and read the store themselves when none can
/// state a recent one.
struct TargetReaderLimits {
  size_t readers = 3;  ///< Number of readers, chosen by hash.
  /// Time within which the operators expect a change to be in force at all
  /// balancers that reach the store.
  Duration apply_bound = Milliseconds(3000);
  /// A reader begins its next watch this much later for each reader that ranks
  /// before it, so that one of several quick changes reaches one reader.
  Duration watch_pause = Milliseconds(400);
  /// Of several processes that have to read, one that ranks later begins this
  /// much later, so that it may hear the result of an earlier one.
  Duration read_spread = Milliseconds(20);
  /// Limit of that delay.
  Duration max_read_spread = Milliseconds(300);
  /// Delay after the first failure; doubles with each further failure.
  Duration initial_backoff = Milliseconds(150);
  /// Upper limit of the delay.
  Duration max_backoff = Milliseconds(1500);
  /// Delay of the first read, during which a peer may deliver the targets.
  Duration first_read_delay = Milliseconds(0);

  /// Age of the targets beyond which a process reads the store. The other half
  /// of the bound is left for a call without an answer and its repetition.
  Duration MaxTargetAge() const { return apply_bound / 2; }
  /// Time between two answers of the store to any reader. They reach the other
  /// processes with the regular statuses before MaxTargetAge has passed.
  Duration CheckInterval() const { return apply_bound * 3 / 10; }
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
  kSubstitute,  ///< It watches because a reader's calls fail.
  kOverdue,     ///< It reads because its targets may be too old.
};

/// Returns the name of a role for logs. Thread-safe.
std::string_view NameOf(ReadingRole role);

/// Why a process makes calls for the targets, or makes none.
struct ReadingState {
  ReadingRole role = ReadingRole::kRelying;
  /// Process that states the newest CurrentAsOf; unset: none does.
  MemberId newest;
  TimePoint newest_current_as_of;  ///< The time that it states.
  bool is_overdue = false;         ///< See TargetReader::IsOverdue.
};

/// State machine that schedules reads and watches of the targets.
///
/// A process knows that it has the newest targets, and evacuations, only as of
/// the start of a call that the store has answered since, or as of the end of a
/// watch that was answered without a change. It states that time to others, and
/// takes over the newest one that a process with the same or older targets
/// states. A call under way shows nothing: the store may be out of reach.
///
/// Deterministic: it maps (now, event) to an action and reads no clock. Not
/// thread-safe.
class TargetReader {
 public:
  /// @param seed spreads the retries of different processes over time
  TargetReader(TimePoint now, uint64_t seed, TargetReaderLimits limits);

  /// Replaces the operators' bound. A watch under way keeps its length.
  void SetApplyBound(Duration bound) { m_limits.apply_bound = bound; }

  /// Returns the call that is due. The caller of this method carries it out and
  /// then calls OnRead or OnWatch. A read may be due while a watch is under
  /// way; otherwise kNothing is returned until a call has ended.
  /// @param self id of this process
  /// @param members membership table
  /// @param held identifies the targets in force; revision 0: there are none
  ReadAction Next(TimePoint now,
                  MemberId self,
                  const MembershipTable& members,
                  const TargetIdentity& held);

  /// Sets the failure domain of this process, as readers should be in
  /// different ones.
  void SetDomain(DomainId domain) { m_domain = domain; }

  /// Handles the end of a read. Precondition: what it has delivered is in
  /// force.
  /// @param position revision of the store if the read succeeded, or found no
  ///     targets; 0: unknown
  void OnRead(TimePoint now, StoreResult result, uint64_t position);

  /// Handles the end of a watch. Precondition: what it has delivered is in
  /// force.
  /// @param position revision at which the next watch continues
  void OnWatch(TimePoint now, StoreResult result, uint64_t position);

  /// Records whether this process can read the newest targets in the store. One
  /// that cannot states no CurrentAsOf of its own.
  void OnTargetsUsable(bool usable) { m_targets_usable = usable; }

  /// Requires a full read next, because the host was suspended and the known
  /// targets may be outdated.
  void OnSuspended(TimePoint now);

  /// Discards what other processes have stated, because this process did not
  /// run for a while and messages may have waited for as long.
  void OnStalled(TimePoint now);

  /// Requires a full read next, without delay, because the store was restored
  /// from an older copy: a watch could miss changes whose revisions are below
  /// Position.
  void OnNewEra(TimePoint now);

  /// Records that the store states eras. Balancers that know none are then no
  /// readers for this process, as they miss targets after a restore.
  void OnEraKnown() { m_era_known = true; }

  /// Returns the newest time as of which `held` and the known evacuations are
  /// known to be the newest ones in the store; zero: unknown.
  TimePoint CurrentAsOf(const MembershipTable& members,
                        const TargetIdentity& held) const;
  /// Returns whether the targets may be so old that the store has to be read.
  /// Targets in the store that this process cannot read count as known, as
  /// another read would bring the same ones.
  bool IsOverdue(TimePoint now,
                 const MembershipTable& members,
                 const TargetIdentity& held) const;
  /// Returns when a call to the store last succeeded; zero if none has.
  TimePoint LastAnswer() const { return m_last_answer; }
  /// Returns the decision at the last call of Next that no read in progress or
  /// back-off preceded.
  const ReadingState& Reading() const { return m_reading; }
  /// Returns the start of the first call since the store's last answer; zero
  /// if there is none.
  TimePoint UnansweredSince() const { return m_unanswered_since; }
  /// Returns the long-poll timeout of the watch that is due.
  Duration WatchTimeout() const { return m_watch_until - m_watch_started; }
  /// Returns the revision at which the next watch continues.
  uint64_t Position() const { return m_position; }
  /// Returns whether the last call to the store failed.
  bool IsFailing() const { return m_failures > 0; }
  /// Returns whether this process is one of the readers, and not one that reads
  /// because a reader's calls fail.
  bool IsReader() const { return m_rank < m_limits.readers; }

 private:
  /// Updates m_rank, m_readers and m_reading.
  void UpdateRole(TimePoint now,
                  MemberId self,
                  const MembershipTable& members,
                  const TargetIdentity& held);
  /// Returns the member whose statement CurrentAsOf takes over, and the time
  /// that it states; null and zero if there is none.
  std::pair<const MemberEntry*, TimePoint> NewestStatement(
      const MembershipTable& members,
      const TargetIdentity& held) const;
  /// Sets the times of a watch that starts now.
  void StartWatch(TimePoint now);
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
  /// @param started when the call started
  /// @param current_as_of what a success proves, see CurrentAsOf
  void RecordResult(TimePoint now,
                    StoreResult result,
                    TimePoint started,
                    TimePoint current_as_of);
  void ScheduleRetry(TimePoint now, uint32_t earlier_failures);

  TargetReaderLimits m_limits;   ///< Settings.
  DomainId m_domain;             ///< See SetDomain.
  uint64_t m_seed;               ///< Seed of the spread of retries.
  TimePoint m_started_at;        ///< Start of the process.
  TimePoint m_retry_at;          ///< Earliest time of the next call.
  TimePoint m_next_watch;        ///< Earliest time of the next watch.
  TimePoint m_turns_from;        ///< Last change, or last read.
  TimePoint m_current_as_of;     ///< By the answers to this process.
  TimePoint m_trusted_since;     ///< Earlier statements count for nothing.
  TimePoint m_proofs_from;       ///< Calls that started earlier prove nothing.
  TimePoint m_last_answer;       ///< See LastAnswer.
  ReadingState m_reading;        ///< See Reading.
  TimePoint m_unanswered_since;  ///< See UnansweredSince.
  TimePoint m_read_started;      ///< Of the last read.
  TimePoint m_watch_started;     ///< Of the last watch.
  TimePoint m_watch_until;       ///< When the store ends the last watch.
  uint64_t m_position = 0;       ///< See Position.
  uint32_t m_failures = 0;       ///< Consecutive failed calls.
  uint32_t m_compactions = 0;    ///< Consecutive kHistoryCompacted results.
  bool m_read_required = true;   ///< A watch would miss changes.
  bool m_era_known = false;      ///< See OnEraKnown.
  bool m_targets_usable = true;  ///< See OnTargetsUsable.
  bool m_is_reading = false;     ///< A read is in progress.
  bool m_is_watching = false;    ///< A watch is in progress.
  bool m_in_turn = false;        ///< The last watch ended without a change.
  bool m_knows_none = false;     ///< The store has no targets yet.
  size_t m_rank = 0;             ///< Readers that rank before this one.
  size_t m_readers = 1;          ///< Number of readers.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_TARGET_READER_H_

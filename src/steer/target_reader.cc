// @file target_reader.cc Who reads the store, when, and after failures.
#include "src/steer/target_reader.h"

#include <algorithm>

#include "src/target/reader_choice.h"

namespace medlargauge {
namespace {

constexpr uint32_t kMaxDoublings = 6;

}  // namespace

TargetReader::TargetReader(TimePoint now,
                           uint64_t seed,
                           TargetReaderLimits limits)
    : m_limits(limits), m_seed(seed), m_started(now) {}

ReadAction TargetReader::Next(TimePoint now,
                              MemberId self,
                              const Roster& roster,
                              uint64_t revision) {
  if (m_busy || now < m_retry_at) {
    return ReadAction::kNothing;
  }
  const bool waits_for_peer =
      revision == 0 && now - m_started < m_limits.start_grace;
  if (waits_for_peer || (revision != 0 && !ShouldRead(now, self, roster))) {
    return ReadAction::kNothing;
  }
  m_busy = true;
  return m_must_read || revision == 0 ? ReadAction::kRead : ReadAction::kWatch;
}

bool TargetReader::ShouldRead(TimePoint now,
                              MemberId self,
                              const Roster& roster) const {
  std::vector<MemberId> candidates{self};
  TimePoint newest;
  for (const auto& [id, entry] : roster.Entries()) {
    const bool heard = entry.member.role == MemberRole::kBalancer &&
                       !entry.leaving && roster.IsHeard(now, entry);
    if (heard) {
      candidates.push_back(id);
      newest = std::max(newest, entry.store_checked);
    }
  }
  const std::vector<MemberId> readers =
      ChooseStoreReaders(candidates, m_limits.readers);
  const bool chosen =
      std::find(readers.begin(), readers.end(), self) != readers.end();
  return chosen || now - newest > m_limits.stale;
}

void TargetReader::OnRead(TimePoint now,
                          StoreResult result,
                          uint64_t position) {
  m_busy = false;
  NoteResult(now, result);
  if (result == StoreResult::kOk || result == StoreResult::kNotFound) {
    m_must_read = false;
    m_position = position;
  }
  if (result == StoreResult::kNotFound) {
    m_retry_at = now + m_limits.backoff;
    m_must_read = true;  // The operators have not written anything yet.
  }
}

void TargetReader::OnWatch(TimePoint now,
                           StoreResult result,
                           uint64_t position) {
  m_busy = false;
  if (result == StoreResult::kHistoryGone) {
    m_must_read = true;
    // The first time a read mends it; a store that keeps no history at all
    // would be asked in a circle.
    if (m_gone > 0) {
      BackOff(now, m_gone - 1);
    }
    ++m_gone;
    return;
  }
  NoteResult(now, result);
  if (result == StoreResult::kOk) {
    m_position = position;
    m_gone = 0;
  } else {
    // A cut watch may have missed something that is no longer in the history.
    m_must_read = true;
  }
}

void TargetReader::NoteResult(TimePoint now, StoreResult result) {
  if (result == StoreResult::kOk || result == StoreResult::kNotFound) {
    m_failures = 0;
    m_checked = now;
    return;
  }
  m_checked = TimePoint();
  BackOff(now, m_failures);
  ++m_failures;
}

void TargetReader::BackOff(TimePoint now, uint32_t earlier) {
  const uint32_t doublings = std::min(earlier, kMaxDoublings);
  const Duration full =
      std::min(m_limits.backoff * (1U << doublings), m_limits.backoff_limit);
  // Between half and all of it, so that processes do not retry in step.
  const uint64_t part = MixHash(m_seed, earlier + 1) % 512;
  m_retry_at = now + full / 2 + full * static_cast<int64_t>(part) / 1024;
}

}  // namespace medlargauge

// @file target_reader.cc Reader selection and back-off of store calls.
#include "src/forwarding/target_reader.h"

#include <algorithm>

#include "src/target/reader_choice.h"

namespace medlargauge {
namespace {

constexpr uint32_t kMaxDoublings = 6;

}  // namespace

std::string_view NameOf(ReadingRole role) {
  switch (role) {
    case ReadingRole::kRelying:
      return "relying";
    case ReadingRole::kReader:
      return "reader";
    case ReadingRole::kSubstitute:
      return "substitute";
    case ReadingRole::kOverdue:
      return "overdue";
  }
  return "";
}

TargetReader::TargetReader(TimePoint now,
                           uint64_t seed,
                           TargetReaderLimits limits)
    : m_limits(limits), m_seed(seed), m_started_at(now) {}

ReadAction TargetReader::Next(TimePoint now,
                              MemberId self,
                              const MembershipTable& members,
                              uint64_t revision) {
  if (m_call_in_progress || now < m_retry_at) {
    return ReadAction::kNothing;
  }
  const bool waits_for_peer =
      revision == 0 && now - m_started_at < m_limits.first_read_delay;
  const bool is_urgent = revision == 0 && !m_knows_none;
  if (waits_for_peer || (!is_urgent && !ShouldRead(now, self, members))) {
    return ReadAction::kNothing;
  }
  m_call_in_progress = true;
  m_is_watching = !m_read_required;
  if (m_unanswered_since == TimePoint()) {
    m_unanswered_since = now;
  }
  return m_read_required ? ReadAction::kRead : ReadAction::kWatch;
}

bool TargetReader::ShouldRead(TimePoint now,
                              MemberId self,
                              const MembershipTable& members) {
  std::vector<Candidate> candidates{{self, m_domain, IsFailing()}};
  m_reading = ReadingState();
  for (const auto& [id, entry] : members.Entries()) {
    const bool is_candidate = entry.member.role == MemberRole::kBalancer &&
                              !entry.leaving &&
                              (!m_era_known || entry.store_era != 0) &&
                              members.IsReachable(now, entry);
    if (is_candidate) {
      candidates.push_back({id, entry.member.domain, entry.store_failing});
      if (m_reading.newest_contact < entry.store_answered_at) {
        m_reading.newest = id;
        m_reading.newest_contact = entry.store_answered_at;
      }
    }
  }
  const std::vector<Candidate> ranked = RankCandidates(candidates);
  m_readers = std::min(ranked.size(), m_limits.readers);
  const auto others = ranked.begin() + static_cast<std::ptrdiff_t>(m_readers);
  const auto is_self = [self](const Candidate& c) { return c.id == self; };
  const auto is_failing = [](const Candidate& c) { return c.failing; };
  m_rank = static_cast<size_t>(
      std::find_if(ranked.begin(), ranked.end(), is_self) - ranked.begin());
  // The other readers may be cut off from the store as well and not know it
  // yet, as their watches are still under way.
  const auto substitute =
      std::any_of(ranked.begin(), others, is_failing)
          ? std::find_if_not(others, ranked.end(), is_failing)
          : ranked.end();
  const bool is_substitute =
      substitute != ranked.end() && substitute->id == self;
  const bool is_overdue =
      now - m_reading.newest_contact > m_limits.max_contact_age;
  m_reading.role = IsReader()      ? ReadingRole::kReader
                   : is_substitute ? ReadingRole::kSubstitute
                   : is_overdue    ? ReadingRole::kOverdue
                                   : ReadingRole::kRelying;
  return m_reading.role != ReadingRole::kRelying;
}

std::vector<TargetReader::Candidate> TargetReader::RankCandidates(
    const std::vector<Candidate>& candidates) {
  std::vector<MemberId> ids;
  ids.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    ids.push_back(candidate.id);
  }
  std::vector<Candidate> firsts;
  std::vector<Candidate> rest;
  for (const MemberId id : ChooseStoreReaders(ids, ids.size())) {
    const Candidate& candidate =
        *std::find_if(candidates.begin(), candidates.end(),
                      [id](const Candidate& c) { return c.id == id; });
    const bool is_first = std::none_of(firsts.begin(), firsts.end(),
                                       [&candidate](const Candidate& c) {
                                         return c.domain == candidate.domain;
                                       });
    (is_first ? firsts : rest).push_back(candidate);
  }
  firsts.insert(firsts.end(), rest.begin(), rest.end());
  return firsts;
}

void TargetReader::OnRead(TimePoint now,
                          StoreResult result,
                          uint64_t position) {
  m_call_in_progress = false;
  RecordResult(now, result);
  if (result == StoreResult::kOk || result == StoreResult::kNotFound) {
    m_read_required = false;
    m_position = position;
  }
  m_knows_none = result == StoreResult::kNotFound && position != 0;
  if (result == StoreResult::kNotFound && !m_knows_none) {
    m_retry_at = now + m_limits.initial_backoff;
    m_read_required = true;  // No targets have been written yet.
  }
}

void TargetReader::OnWatch(TimePoint now,
                           StoreResult result,
                           uint64_t position) {
  m_call_in_progress = false;
  m_is_watching = false;
  if (result == StoreResult::kHistoryCompacted) {
    m_read_required = true;
    // Normally one read recovers from this. Back off from the second time on,
    // because a store that keeps no history would cause reads and watches in an
    // endless loop.
    if (m_compactions > 0) {
      ScheduleRetry(now, m_compactions - 1);
    }
    ++m_compactions;
    return;
  }
  RecordResult(now, result);
  if (result == StoreResult::kOk) {
    m_position = position;
    m_compactions = 0;
    m_retry_at = now + m_limits.watch_pause * static_cast<int64_t>(m_rank);
  } else {
    // A watch that failed may have missed changes that have been compacted
    // since.
    m_read_required = true;
    m_knows_none = false;
  }
}

void TargetReader::OnNewEra(TimePoint now) {
  m_read_required = true;
  m_compactions = 0;
  m_retry_at = std::min(m_retry_at, now);
}

void TargetReader::RecordResult(TimePoint now, StoreResult result) {
  if (result == StoreResult::kOk || result == StoreResult::kNotFound) {
    m_failures = 0;
    m_unanswered_since = TimePoint();
    m_last_store_contact = now;
    m_last_answer = now;
    return;
  }
  m_last_store_contact = TimePoint();
  ScheduleRetry(now, m_failures);
  ++m_failures;
}

void TargetReader::ScheduleRetry(TimePoint now, uint32_t earlier_failures) {
  const uint32_t doublings = std::min(earlier_failures, kMaxDoublings);
  const Duration full_delay = std::min(
      m_limits.initial_backoff * (1U << doublings), m_limits.max_backoff);
  // Jitter between half of the delay and all of it keeps processes from
  // retrying in step.
  const uint64_t jitter = MixHash(m_seed, earlier_failures + 1) % 512;
  m_retry_at =
      now + full_delay / 2 + full_delay * static_cast<int64_t>(jitter) / 1024;
}

}  // namespace medlargauge

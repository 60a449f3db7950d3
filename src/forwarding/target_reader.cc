// @file target_reader.cc Choice of the readers, age of the targets and back-off
// of store calls.
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
                              const TargetIdentity& held) {
  const bool has_none = held.version.revision == 0;
  const bool waits_for_peer =
      has_none && now - m_started_at < m_limits.first_read_delay;
  if (m_is_reading || now < m_retry_at || waits_for_peer) {
    return ReadAction::kNothing;
  }
  UpdateRole(now, self, members, held);
  const bool follows = (has_none && !m_knows_none) ||
                       m_reading.role == ReadingRole::kReader ||
                       m_reading.role == ReadingRole::kSubstitute;
  ReadAction action = ReadAction::kNothing;
  if (m_reading.is_overdue || (follows && m_read_required)) {
    m_is_reading = true;
    m_read_started = now;
    action = ReadAction::kRead;
  } else if (follows && !m_is_watching && now >= m_next_watch) {
    StartWatch(now);
    action = ReadAction::kWatch;
  }
  if (action != ReadAction::kNothing && m_unanswered_since == TimePoint()) {
    m_unanswered_since = now;
  }
  return action;
}

void TargetReader::StartWatch(TimePoint now) {
  const Duration interval = m_limits.CheckInterval();
  m_is_watching = true;
  m_watch_started = now;
  if (m_in_turn) {
    m_watch_until = now + interval * static_cast<int64_t>(m_readers);
    return;
  }
  // A change ends the watches of all readers. Those after it have different
  // lengths, so that their ends are evenly spread from then on.
  const size_t turn = std::min(m_rank + 1, m_readers);
  m_watch_until =
      std::max(now, m_turns_from + interval * static_cast<int64_t>(turn));
  if (m_watch_until - now < interval / 2) {
    // The last change lies back too far, as calls have failed since.
    m_watch_until = now + interval;
  }
}

void TargetReader::UpdateRole(TimePoint now,
                              MemberId self,
                              const MembershipTable& members,
                              const TargetIdentity& held) {
  std::vector<Candidate> candidates{{self, m_domain, IsFailing()}};
  for (const auto& [id, entry] : members.Entries()) {
    const bool is_candidate = entry.member.role == MemberRole::kBalancer &&
                              !entry.leaving &&
                              (!m_era_known || entry.store_era != 0) &&
                              members.IsReachable(now, entry);
    if (is_candidate) {
      candidates.push_back({id, entry.member.domain, entry.store_failing});
    }
  }
  const std::vector<Candidate> ranked = RankCandidates(candidates);
  m_readers = std::min(ranked.size(), m_limits.readers);
  const auto others = ranked.begin() + static_cast<std::ptrdiff_t>(m_readers);
  const auto is_self = [self](const Candidate& c) { return c.id == self; };
  const auto is_failing = [](const Candidate& c) { return c.failing; };
  m_rank = static_cast<size_t>(
      std::find_if(ranked.begin(), ranked.end(), is_self) - ranked.begin());
  const auto substitute =
      std::any_of(ranked.begin(), others, is_failing)
          ? std::find_if_not(others, ranked.end(), is_failing)
          : ranked.end();
  const bool is_substitute =
      substitute != ranked.end() && substitute->id == self;
  const auto [newest, stated] = NewestStatement(members, held);
  m_reading.newest = newest != nullptr ? newest->member.id : MemberId();
  m_reading.newest_current_as_of = stated;
  const Duration spread =
      std::min(m_limits.read_spread * static_cast<int64_t>(m_rank),
               m_limits.max_read_spread);
  m_reading.is_overdue = IsOverdue(now - spread, members, held);
  m_reading.role = IsReader()             ? ReadingRole::kReader
                   : is_substitute        ? ReadingRole::kSubstitute
                   : m_reading.is_overdue ? ReadingRole::kOverdue
                                          : ReadingRole::kRelying;
}

std::pair<const MemberEntry*, TimePoint> TargetReader::NewestStatement(
    const MembershipTable& members,
    const TargetIdentity& held) const {
  const MemberEntry* newest = nullptr;
  TimePoint current_as_of;
  for (const auto& [id, entry] : members.Entries()) {
    const bool counts = entry.current_as_of > current_as_of &&
                        entry.status_at > m_trusted_since &&
                        (!m_era_known || entry.store_era != 0) &&
                        !MayBeNewer(entry.member.targets, held);
    if (counts) {
      newest = &entry;
      current_as_of = entry.current_as_of;
    }
  }
  return {newest, current_as_of};
}

TimePoint TargetReader::CurrentAsOf(const MembershipTable& members,
                                    const TargetIdentity& held) const {
  const TimePoint own = m_targets_usable ? m_current_as_of : TimePoint();
  return std::max(own, NewestStatement(members, held).second);
}

bool TargetReader::IsOverdue(TimePoint now,
                             const MembershipTable& members,
                             const TargetIdentity& held) const {
  const TimePoint stated = NewestStatement(members, held).second;
  return now - std::max(m_current_as_of, stated) > m_limits.MaxTargetAge();
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
  m_is_reading = false;
  RecordResult(now, result, m_read_started, m_read_started);
  if (result == StoreResult::kOk || result == StoreResult::kNotFound) {
    m_read_required = false;
    m_position = position;
    m_turns_from = now;
    m_in_turn = false;
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
  m_is_watching = false;
  m_in_turn = result == StoreResult::kOk && now >= m_watch_until;
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
  RecordResult(now, result, m_watch_started,
               m_in_turn ? m_watch_until : m_watch_started);
  if (result == StoreResult::kOk) {
    m_position = std::max(m_position, position);
    m_compactions = 0;
    if (!m_in_turn) {
      m_turns_from = now;
      m_next_watch = now + m_limits.watch_pause * static_cast<int64_t>(m_rank);
    }
  } else {
    // A watch that failed may have missed changes that have been compacted
    // since.
    m_read_required = true;
    m_knows_none = false;
  }
}

void TargetReader::OnSuspended(TimePoint now) {
  m_read_required = true;
  m_current_as_of = TimePoint();
  m_proofs_from = now;
  OnStalled(now);
}

void TargetReader::OnStalled(TimePoint now) {
  // Messages that have waited meanwhile are handled shortly after this.
  constexpr Duration kQueueTime = Milliseconds(100);
  m_trusted_since = now + kQueueTime;
}

void TargetReader::OnNewEra(TimePoint now) {
  m_read_required = true;
  m_proofs_from = now;
  m_compactions = 0;
  m_retry_at = std::min(m_retry_at, now);
}

void TargetReader::RecordResult(TimePoint now,
                                StoreResult result,
                                TimePoint started,
                                TimePoint current_as_of) {
  if (result == StoreResult::kOk || result == StoreResult::kNotFound) {
    m_failures = 0;
    m_unanswered_since = TimePoint();
    m_last_answer = now;
    if (started >= m_proofs_from) {
      m_current_as_of = std::max(m_current_as_of, current_as_of);
    }
    return;
  }
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

// @file member_liveness.cc Failure detection by statuses and probes.
#include <algorithm>

#include "src/forwarding/membership_table.h"
#include "src/forwarding/status_schedule.h"

namespace medlargauge {
namespace {

/// Status intervals before a member is unreachable.
constexpr int kMissedStatuses = 2;
/// Reachability timeouts before a member is suspected.
constexpr int kTimeoutsToSuspect = 2;
/// Reachability timeouts before a member is presumed dead.
constexpr int kTimeoutsToPresumeDead = 3;

}  // namespace

bool MembershipTable::IsReachable(TimePoint now,
                                  const MemberEntry& entry) const {
  return entry.heard != TimePoint() &&
         entry.probe.failing_since == TimePoint() &&
         now - entry.heard <= ReachabilityTimeout(entry);
}

bool MembershipTable::IsSuspected(TimePoint now,
                                  const MemberEntry& entry) const {
  const Duration limit = std::max(
      m_timeouts.suspected, kTimeoutsToSuspect * ReachabilityTimeout(entry));
  const Duration probed_limit = std::max(
      m_timeouts.suspected, kTimeoutsToSuspect * m_timeouts.unreachable);
  const bool is_silent =
      entry.heard != TimePoint() && CountedSilence(now, entry) > limit;
  return !entry.leaving &&
         (is_silent || ProbedSilence(now, entry) > probed_limit);
}

bool MembershipTable::IsPresumedDead(TimePoint now,
                                     const MemberEntry& entry) const {
  const bool is_restarting = entry.leaving &&
                             entry.member.state != AgentState::kGone &&
                             entry.probe.outcome == ProbeOutcome::kRefused;
  const Duration limit =
      is_restarting ? m_timeouts.planned_restart : m_timeouts.presumed_dead;
  return ProbedSilence(now, entry) > limit ||
         CountedSilence(now, entry) >
             std::max(limit,
                      kTimeoutsToPresumeDead * ReachabilityTimeout(entry));
}

Duration MembershipTable::ProbedSilence(TimePoint now,
                                        const MemberEntry& entry) const {
  return entry.probe.failing_since == TimePoint()
             ? Duration()
             : now - std::max(entry.probe.failing_since, m_contact_since);
}

Duration MembershipTable::CountedSilence(TimePoint now,
                                         const MemberEntry& entry) const {
  if (entry.probe.requested && !entry.probe.outcome.has_value()) {
    return Duration();
  }
  return now - std::max({entry.heard, entry.discovered_at, m_contact_since,
                         entry.probe.accepted});
}

bool MembershipTable::NeedsProbes(TimePoint now,
                                  const MemberEntry& entry) const {
  const TimePoint last = std::max(entry.heard, entry.discovered_at);
  return entry.member.role == MemberRole::kAgent &&
         now - last > ReachabilityTimeout(entry) && !HasLeftStopped(now, entry);
}

std::vector<MemberId> MembershipTable::TakeDueProbes(TimePoint now,
                                                     size_t limit) {
  std::vector<MemberEntry*> due;
  for (auto& [id, entry] : m_entries) {
    const bool is_unneeded =
        !entry.probe.requested || HasLeftStopped(now, entry);
    if (is_unneeded && !NeedsProbes(now, entry)) {
      continue;
    }
    entry.probe.requested = true;
    if (entry.probe.next <= now) {
      due.push_back(&entry);
    }
  }
  std::stable_sort(due.begin(), due.end(),
                   [](const MemberEntry* a, const MemberEntry* b) {
                     return a->probe.next < b->probe.next;
                   });
  due.resize(std::min(limit, due.size()));
  std::vector<MemberId> chosen;
  for (MemberEntry* entry : due) {
    entry->probe.started = now;
    const bool waits_for_status =
        NeedsProbes(now, *entry) && entry->probe.failing_since == TimePoint();
    entry->probe.next =
        now + (waits_for_status ? std::max(m_timeouts.probe_interval,
                                           ReachabilityTimeout(*entry))
                                : m_timeouts.probe_interval);
    chosen.push_back(entry->member.id);
  }
  return chosen;
}

bool MembershipTable::OnProbe(TimePoint now,
                              MemberId id,
                              ProbeOutcome outcome) {
  MemberEntry* entry = Find(id);
  if (entry == nullptr || !entry->probe.requested) {
    return false;
  }
  const bool differs = entry->probe.outcome != outcome;
  entry->probe.outcome = outcome;
  if (outcome == ProbeOutcome::kAccepted) {
    entry->probe.accepted = now;
    entry->probe.failing_since = TimePoint();
    entry->probe.requested = NeedsProbes(now, *entry);
  } else if (entry->probe.failing_since == TimePoint()) {
    entry->probe.failing_since = entry->probe.started;
  }
  const bool counts = IsSuspected(now, *entry) || IsPresumedDead(now, *entry);
  if (outcome == ProbeOutcome::kNoAnswer && !counts) {
    entry->probe.next = now;  // The probe may have been lost.
  }
  return differs;
}

Duration MembershipTable::StatusIntervalOf(const MemberEntry& entry) {
  return StatusInterval(entry.member.role, entry.fleet_size);
}

Duration MembershipTable::ReachabilityTimeout(const MemberEntry& entry) const {
  // A member that was never heard has not reported the size of the fleet.
  const Duration interval =
      entry.heard == TimePoint()
          ? StatusInterval(entry.member.role, m_entries.size())
          : StatusIntervalOf(entry);
  return std::max(m_timeouts.unreachable,
                  kMissedStatuses * interval + m_timeouts.status_delay);
}

void MembershipTable::OnUnanswered(MemberId id) {
  MemberEntry* entry = Find(id);
  if (entry != nullptr && entry->member.role == MemberRole::kAgent) {
    entry->probe.requested = true;
  }
}

TimePoint MembershipTable::AgentsCountedAfter(const MemberEntry& entry) const {
  // An agent passes on what the balancers that it reaches have counted.
  const Duration count_age =
      entry.member.role == MemberRole::kBalancer
          ? Duration()
          : kMissedStatuses *
                StatusInterval(MemberRole::kBalancer, entry.fleet_size);
  return entry.status_at - count_age - m_timeouts.status_delay;
}

}  // namespace medlargauge

// @file opening_queue.cc Order, release and refusal of waiting flows.
#include "src/forwarding/opening_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace medlargauge {
namespace {

/// Time constant of the average rate of accepted flows.
constexpr Duration kRateWindow = Milliseconds(400);
/// The rate counts only after the queue has worked for this long.
constexpr Duration kMinObservation = Seconds(1);
/// Flows released for each accepted one, so that the queue follows servers
/// that become faster.
constexpr uint64_t kReleasedPerAccepted = 2;

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double OpeningQueue::AcceptedPerSecond(TimePoint now) const {
  return m_accepted *
         std::exp(-SecondsOf(now - m_accepted_at) / SecondsOf(kRateWindow)) /
         SecondsOf(kRateWindow);
}

bool OpeningQueue::Add(TimePoint now,
                       const FlowKey& flow,
                       uint32_t priority,
                       TimePoint goal,
                       TimePoint deadline) {
  if (m_entries.empty()) {
    m_busy_since = now;
  }
  MoveLateFlows(now);
  const bool is_late = goal <= now;
  const Place place{is_late, priority, is_late ? deadline : goal, ++m_added};
  // Late flows count too: they were promised a spare slot by their deadline.
  const auto ahead = std::count_if(
      m_waiting.begin(), m_waiting.end(), [&](const auto& waiting) {
        return std::get<1>(waiting.first) <= priority;
      });
  const double served_by_deadline =
      AcceptedPerSecond(now) * SecondsOf(deadline - now);
  const bool is_hopeless = now - m_busy_since >= kMinObservation &&
                           static_cast<double>(ahead) >= served_by_deadline;
  if (is_hopeless || deadline <= now) {
    return false;
  }
  m_entries[flow] = {place, deadline, true};
  m_waiting[place] = flow;
  return true;
}

void OpeningQueue::MoveLateFlows(TimePoint now) {
  for (auto it = m_waiting.begin();
       it != m_waiting.end() && !std::get<0>(it->first);) {
    if (std::get<2>(it->first) > now) {
      // The goals within a priority ascend: go on with the next priority.
      it = m_waiting.upper_bound({false, std::get<1>(it->first),
                                  TimePoint::max(),
                                  std::numeric_limits<uint64_t>::max()});
      continue;
    }
    const FlowKey flow = it->second;
    Entry& entry = m_entries[flow];
    entry.place = {true, std::get<1>(it->first), entry.deadline,
                   std::get<3>(it->first)};
    m_waiting.emplace(entry.place, flow);
    it = m_waiting.erase(it);
  }
}

void OpeningQueue::PutBack(TimePoint now, const FlowKey& flow) {
  const auto found = m_entries.find(flow);
  if (found == m_entries.end() || found->second.waiting) {
    return;
  }
  found->second.waiting = true;
  m_waiting[found->second.place] = flow;
  m_credit = 0;
  m_next_probe = now + kProbeInterval;
}

void OpeningQueue::OnAccepted(TimePoint now, const FlowKey& flow) {
  m_accepted = AcceptedPerSecond(now) * SecondsOf(kRateWindow) + 1;
  m_accepted_at = now;
  if (m_entries.count(flow) == 0) {
    return;
  }
  Erase(flow);
  m_credit = std::min(m_credit + kReleasedPerAccepted,
                      static_cast<uint64_t>(m_waiting.size()));
}

void OpeningQueue::Erase(const FlowKey& flow) {
  const auto found = m_entries.find(flow);
  if (found != m_entries.end()) {
    m_waiting.erase(found->second.place);
    m_entries.erase(found);
  }
}

std::vector<FlowKey> OpeningQueue::Release(TimePoint now) {
  std::vector<FlowKey> released;
  MoveLateFlows(now);
  if (now >= m_next_probe) {
    m_next_probe = now + kProbeInterval;
    ++m_credit;
  }
  for (; m_credit > 0 && !m_waiting.empty(); --m_credit) {
    const FlowKey flow = m_waiting.begin()->second;
    m_waiting.erase(m_waiting.begin());
    m_entries[flow].waiting = false;
    released.push_back(flow);
  }
  m_credit = m_waiting.empty() ? 0 : m_credit;
  return released;
}

std::vector<FlowKey> OpeningQueue::TakeExpired(TimePoint now) {
  std::vector<FlowKey> expired;
  for (const auto& [place, flow] : m_waiting) {
    if (m_entries[flow].deadline <= now) {
      expired.push_back(flow);
    }
  }
  for (const FlowKey& flow : expired) {
    Erase(flow);
  }
  return expired;
}

}  // namespace medlargauge

// @file membership_table.cc Changes of the table, and what members report.
#include "src/forwarding/membership_table.h"

#include <algorithm>

#include "src/core/hash.h"
#include "src/forwarding/status_schedule.h"

namespace medlargauge {
namespace {

/// Time that a status may have waited in queues on its way. Without it, members
/// that pass a time on to each other would make it appear more recent.
constexpr Duration kTransit = Milliseconds(50);

/// Limit of the member counts that others report.
constexpr uint32_t kMaxMembers = 1U << 20U;
/// Reachability timeouts before a member is removed.
constexpr int kTimeoutsToRemove = 6;

}  // namespace

bool MembershipTable::OnStatus(TimePoint now, const proto::PeerStatus& status) {
  const FleetMember member = DecodeMember(now, status.self());
  if (!member.id.IsSet() || member.id == m_self) {
    return false;
  }
  if (!ClaimAddress(now, member)) {
    return false;  // Sent before another member took over the address.
  }
  RecordContact(now);
  MemberEntry& entry = m_entries[member.id];
  entry.probe.End();
  const bool is_new = entry.heard == TimePoint() ||
                      entry.member.incarnation != member.incarnation;
  if (!is_new && status.sequence() <= entry.sequence) {
    entry.heard = now;
    return false;  // Reordered: a newer status has arrived already.
  }
  entry.status_at = now;
  if (entry.discovered_at == TimePoint()) {
    entry.discovered_at = now;
    RecordDiscovery(now, member);
  }
  entry.member = member;
  entry.heard = now;
  if (member.role == MemberRole::kAgent) {
    m_unheard_agents.erase(member.ip);
  }
  entry.sequence = status.sequence();
  entry.pending = 0;
  entry.avoid_until = TimePoint();
  entry.protocol = ProtocolOf(status);
  entry.leaving = status.leaving();
  entry.store_era = status.store_era();
  entry.store_failing = status.store_failing();
  entry.fleet_size = std::min(status.members(), kMaxMembers);
  entry.agents_heard = std::min(status.agents_heard(), kMaxMembers);
  entry.serving_digest = status.serving_digest();
  m_has_met_fleet = m_has_met_fleet || member.role == MemberRole::kBalancer;
  const bool states_currency =
      status.checked_ms() != 0 &&
      Supports(entry.protocol, Feature::kProvenTargets);
  entry.current_as_of = states_currency
                            ? now - Milliseconds(status.checked_ms()) - kTransit
                            : TimePoint();
  UpdateEnd(now, &entry);
  return is_new;
}

bool MembershipTable::ClaimAddress(TimePoint now, const FleetMember& member) {
  const MemberEntry* other = FindByAddress(member.ip, member.role);
  if (other != nullptr && other->member.id != member.id) {
    // Incarnations are wall-clock times, which may be wrong, so a higher one
    // counts only while its member is reachable.
    if (IsReachable(now, *other) &&
        other->member.incarnation > member.incarnation) {
      return false;
    }
    m_entries.erase(other->member.id);
  }
  const MemberEntry* before = Find(member.id);
  if (before != nullptr) {
    m_by_address.erase({before->member.ip, before->member.role});
  }
  m_by_address[{member.ip, member.role}] = member.id;
  return true;
}

bool MembershipTable::Learn(TimePoint now,
                            const FleetMember& member,
                            ProtocolVersion sender) {
  const bool ignored = !member.id.IsSet() || member.id == m_self ||
                       m_entries.count(member.id) > 0 ||
                       FindByAddress(member.ip, member.role) != nullptr;
  if (ignored) {
    return false;
  }
  m_by_address[{member.ip, member.role}] = member.id;
  MemberEntry& entry = m_entries[member.id];
  entry.member = member;
  entry.discovered_at = now;
  entry.mentioned_as_reachable = Supports(sender, Feature::kFreshMentions);
  RecordDiscovery(now, member);
  return true;
}

size_t MembershipTable::FleetSize(MemberRole own_role) const {
  size_t size = m_entries.size();
  for (const auto& [id, entry] : m_entries) {
    const bool knows_all = own_role == MemberRole::kAgent &&
                           entry.member.role == MemberRole::kBalancer;
    size = std::max<size_t>(size, knows_all ? entry.fleet_size : 0);
  }
  return size;
}

bool MembershipTable::SetRegisteredAgents(TimePoint now,
                                          const std::vector<uint32_t>& ips) {
  std::set<uint32_t> unheard;
  for (const uint32_t ip : ips) {
    const MemberEntry* entry = FindByAddress(ip, MemberRole::kAgent);
    if (entry == nullptr || entry->heard == TimePoint()) {
      unheard.insert(ip);
    }
  }
  // Reading the list again gives agents that were listed before no more time.
  const bool is_news =
      !std::includes(m_unheard_agents.begin(), m_unheard_agents.end(),
                     unheard.begin(), unheard.end());
  m_registered_at = is_news ? now : m_registered_at;
  m_unheard_agents = std::move(unheard);
  // An agent that is heard but not listed has not registered yet, or its
  // registration was lost; the same may hold for agents that are not heard.
  m_listed_agents = std::set<uint32_t>(ips.begin(), ips.end());
  m_has_registered_agents = !ips.empty() && UnlistedAgents(now).empty();
  return m_has_registered_agents;
}

std::vector<uint32_t> MembershipTable::UnlistedAgents(TimePoint now) const {
  std::vector<uint32_t> ips;
  for (const auto& [id, entry] : m_entries) {
    const bool must_be_listed =
        entry.member.role == MemberRole::kAgent && !entry.leaving &&
        entry.member.state != AgentState::kGone && IsReachable(now, entry);
    if (must_be_listed && m_listed_agents.count(entry.member.ip) == 0) {
      ips.push_back(entry.member.ip);
    }
  }
  return ips;
}

uint32_t MembershipTable::CountLiveAgents(TimePoint now) const {
  return static_cast<uint32_t>(std::count_if(
      m_entries.begin(), m_entries.end(),
      [&](const auto& item) { return IsLiveAgent(now, item.second); }));
}

bool MembershipTable::IsLiveAgent(TimePoint now,
                                  const MemberEntry& entry) const {
  return entry.member.role == MemberRole::kAgent &&
         entry.heard != TimePoint() && !IsPresumedDead(now, entry) &&
         !HasLeftStopped(now, entry);
}

void MembershipTable::UpdateEnd(TimePoint now, MemberEntry* entry) const {
  if (entry->heard == TimePoint() || IsLiveAgent(now, *entry)) {
    entry->ended_at = TimePoint();
  } else if (entry->ended_at == TimePoint()) {
    entry->ended_at = now;
  }
}

uint64_t MembershipTable::ServingDigest(TimePoint now) const {
  // A sum, so that the order of the agents is of no importance.
  uint64_t digest = 0;
  for (const auto& [id, entry] : m_entries) {
    if (entry.member.state != AgentState::kGone && IsLiveAgent(now, entry)) {
      digest += MixHash(id.value, entry.member.incarnation);
    }
  }
  return std::max<uint64_t>(digest, 1);
}

uint32_t MembershipTable::LargestReportedAgents(TimePoint now) const {
  return LargestReport(now, 0).second;
}

bool MembershipTable::MayMissAgents(TimePoint now) const {
  const uint32_t live = CountLiveAgents(now);
  return live < LargestReport(now, 0).second &&
         live < LargestReport(now, ServingDigest(now)).second;
}

uint64_t MembershipTable::LargestReportedDigest(TimePoint now) const {
  const MemberEntry* reporter = LargestReport(now, 0).first;
  return reporter == nullptr ? 0 : reporter->serving_digest;
}

std::pair<const MemberEntry*, uint32_t> MembershipTable::LargestReport(
    TimePoint now,
    uint64_t own_digest) const {
  std::vector<TimePoint> ends;
  for (const auto& [id, entry] : m_entries) {
    if (entry.member.role == MemberRole::kAgent &&
        entry.ended_at != TimePoint()) {
      ends.push_back(entry.ended_at);
    }
  }
  std::sort(ends.begin(), ends.end());
  const MemberEntry* reporter = nullptr;
  uint32_t largest = 0;
  for (const auto& [id, entry] : m_entries) {
    const bool is_same = own_digest != 0 && entry.serving_digest == own_digest;
    if (is_same || !IsReachable(now, entry)) {
      continue;
    }
    const auto ended = static_cast<uint32_t>(
        ends.end() -
        std::upper_bound(ends.begin(), ends.end(), AgentsCountedAfter(entry)));
    const uint32_t reported =
        entry.agents_heard - std::min(entry.agents_heard, ended);
    if (reporter == nullptr || reported > largest) {
      reporter = &entry;
      largest = reported;
    }
  }
  return {reporter, largest};
}

size_t MembershipTable::LargestReportedSize(TimePoint now) const {
  size_t size = 0;
  for (const auto& [id, entry] : m_entries) {
    if (entry.member.role == MemberRole::kBalancer && IsReachable(now, entry)) {
      size = std::max<size_t>(size, entry.fleet_size);
    }
  }
  return size;
}

void MembershipTable::RecordContact(TimePoint now) {
  if (now - m_last_contact > m_timeouts.contact_loss) {
    m_contact_since = now;
  }
  m_last_contact = now;
}

void MembershipTable::RecordDiscovery(TimePoint now,
                                      const FleetMember& member) {
  if (member.role == MemberRole::kAgent) {
    m_last_agent_discovery = now;
  }
}

void MembershipTable::OnLoad(TimePoint now,
                             MemberId id,
                             const ServerLoad& load) {
  MemberEntry* entry = Find(id);
  if (entry == nullptr) {
    return;
  }
  RecordContact(now);
  entry->heard = now;
  entry->probe.End();
  entry->avoid_until = TimePoint();
  const uint32_t slowness = entry->member.load.slowness;
  entry->member.load = load;
  // Returned packets don't state it.
  if (load.slowness == 0) {
    entry->member.load.slowness = slowness;
  }
  entry->pending = 0;
}

void MembershipTable::OnServerDown(MemberId id) {
  MemberEntry* entry = Find(id);
  if (entry != nullptr) {
    entry->member.state = AgentState::kGone;
  }
}

std::vector<FleetMember> MembershipTable::OnTick(TimePoint now) {
  std::vector<FleetMember> forgotten;
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    const TimePoint last = std::max(it->second.heard, it->second.discovered_at);
    if (now - last <=
        std::max(m_timeouts.removal,
                 kTimeoutsToRemove * ReachabilityTimeout(it->second))) {
      UpdateEnd(now, &it->second);
      ++it;
      continue;
    }
    forgotten.push_back(it->second.member);
    if (m_listed_agents.count(it->second.member.ip) > 0 &&
        it->second.member.role == MemberRole::kAgent) {
      m_unheard_agents.insert(it->second.member.ip);
    }
    m_by_address.erase({it->second.member.ip, it->second.member.role});
    it = m_entries.erase(it);
  }
  return forgotten;
}

MemberEntry* MembershipTable::Find(MemberId id) {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second;
}

const MemberEntry* MembershipTable::Find(MemberId id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : &found->second;
}

MemberEntry* MembershipTable::FindByAddress(uint32_t ip, MemberRole role) {
  const auto found = m_by_address.find({ip, role});
  return found == m_by_address.end() ? nullptr : Find(found->second);
}

std::vector<const FleetMember*> MembershipTable::KnownPeersFor(
    TimePoint now,
    MemberRole role) const {
  std::vector<const FleetMember*> list;
  for (const auto& [id, entry] : m_entries) {
    const bool wanted = role == MemberRole::kBalancer ||
                        entry.member.role == MemberRole::kBalancer;
    if (wanted && entry.heard != TimePoint() && !IsPresumedDead(now, entry) &&
        !HasLeftStopped(now, entry)) {
      list.push_back(&entry.member);
    }
  }
  return list;
}

std::pair<size_t, ProtocolVersion> MembershipTable::CountOtherProtocols(
    TimePoint now) const {
  size_t count = 0;
  ProtocolVersion lowest = kProtocolVersion;
  for (const auto& [id, entry] : m_entries) {
    // A load report may come before the first status.
    const bool has_stated = entry.status_at != TimePoint();
    if (has_stated && entry.protocol != kProtocolVersion &&
        IsReachable(now, entry)) {
      ++count;
      lowest = std::min(lowest, entry.protocol);
    }
  }
  return {count, lowest};
}

size_t MembershipTable::CountReachable(TimePoint now, MemberRole role) const {
  return std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& e) {
    return e.second.member.role == role && IsReachable(now, e.second);
  });
}

}  // namespace medlargauge

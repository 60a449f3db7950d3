// @file fleet_discovery.cc Times of joining, introductions and registration.
#include "src/forwarding/fleet_discovery.h"

#include <algorithm>

#include "src/core/hash.h"
#include "src/forwarding/status_schedule.h"
#include "src/target/reader_choice.h"

namespace medlargauge {
namespace {

/// Members are requested again this often, because a member list may be lost.
constexpr Duration kMemberRefreshInterval = Seconds(5);
/// Agents that a process asks for members if no balancer is heard.
constexpr size_t kAgentsToAsk = 3;
/// A balancer that has just started introduces itself again and again for this
/// long, because the agents may be starting as well.
constexpr Duration kIntroductionTime = Seconds(3);
/// After that, agents that are listed but not heard are contacted this often,
/// and so are seeds that are not heard.
constexpr Duration kContactInterval = Seconds(1);
/// Agents that are contacted at once after the start.
constexpr size_t kMaxContacts = 32;
/// If no balancer was heard for this long, the store is asked for balancers.
constexpr Duration kBalancerSilenceLimit = Milliseconds(1500);
/// A balancer registers this long after its start, so that it is ready to serve
/// by then. Only processes that start later need the registration. An agent
/// registers at once, as balancers take the list of agents for complete.
constexpr Duration kRegistrationDelay = Milliseconds(1500);
/// Registration is repeated, because other balancers may have removed the entry
/// while this host was cut off.
constexpr Duration kRegistrationInterval = Seconds(600);
/// After this silence, balancers may have removed this process from the store.
constexpr Duration kForgottenTime = MembershipTimeouts().removal;
constexpr Duration kStoreRetryInterval = Seconds(3);
/// The same for a process that has just started and got no list of members.
constexpr Duration kFailedStoreRetryInterval = Milliseconds(200);
/// The same if the store's list of agents was evidently incomplete.
constexpr Duration kIncompleteListRetryInterval = Milliseconds(700);
/// Balancers that register, so that processes can join through them.
constexpr size_t kListedBalancers = 16;
/// Another balancer finds out this often whether it has to register.
constexpr Duration kListingCheckInterval = Seconds(5);
constexpr uint32_t kMaxDelayDoublings = 8;

}  // namespace

FleetDiscovery::FleetDiscovery(TimePoint now,
                               const FleetMember& self,
                               MembershipTable* members)
    : m_self(self.id),
      m_role(self.role),
      m_ip(self.ip),
      m_members(members),
      m_introductions_end(now + kIntroductionTime),
      m_next_balancer_list(now + kBalancerListDelay),
      m_next_registration(now + (self.role == MemberRole::kBalancer
                                     ? kRegistrationDelay
                                     : Duration())) {}

std::vector<MemberContact> FleetDiscovery::TakeContacts(TimePoint now) {
  std::vector<MemberContact> contacts;
  if (now >= m_next_request) {
    RequestMembers(now, &contacts);
  }
  const bool has_just_started = now < m_introductions_end;
  if (has_just_started || now >= m_next_contact) {
    m_next_contact = now + kContactInterval;
    ContactAgents(now, &contacts);
    if (!has_just_started) {
      ContactSeeds(now, &contacts);
    }
  }
  return contacts;
}

std::vector<uint32_t> FleetDiscovery::ReachableIps(TimePoint now,
                                                   MemberRole role) const {
  std::vector<uint32_t> ips;
  for (const auto& [id, entry] : m_members->Entries()) {
    if (entry.member.role == role && m_members->IsReachable(now, entry)) {
      ips.push_back(entry.member.ip);
    }
  }
  return ips;
}

void FleetDiscovery::RequestMembers(TimePoint now,
                                    std::vector<MemberContact>* contacts) {
  ++m_requests;
  const std::vector<uint32_t> balancers =
      ReachableIps(now, MemberRole::kBalancer);
  if (!balancers.empty()) {
    m_join_attempts = 0;
    m_next_request = now + kMemberRefreshInterval;
    // A different balancer each time, so that lost member lists are repaired.
    const uint64_t hash = MixHash(m_self.value, m_requests);
    contacts->push_back({balancers[hash % balancers.size()], true});
    return;
  }
  m_next_request = now + JoinRetryDelay(++m_join_attempts);
  std::vector<uint32_t> asked = ReachableIps(now, MemberRole::kAgent);
  asked.resize(std::min(asked.size(), kAgentsToAsk));
  asked.insert(asked.begin(), m_seeds.begin(), m_seeds.end());
  for (const uint32_t ip : asked) {
    contacts->push_back({ip, true});
  }
}

void FleetDiscovery::ContactAgents(TimePoint now,
                                   std::vector<MemberContact>* contacts) {
  const std::set<uint32_t>& ips = m_members->UnheardRegisteredAgents();
  const size_t limit = now < m_introductions_end
                           ? ips.size()
                           : std::min(kMaxContacts, ips.size());
  // Continues after the last one, so that all have their turn.
  auto it = ips.upper_bound(m_last_contacted);
  for (size_t i = 0; i < limit; ++i, ++it) {
    it = it == ips.end() ? ips.begin() : it;
    m_last_contacted = *it;
    contacts->push_back({*it});
  }
}

void FleetDiscovery::ContactSeeds(TimePoint now,
                                  std::vector<MemberContact>* contacts) const {
  for (const uint32_t seed : m_seeds) {
    const MemberEntry* entry =
        m_members->FindByAddress(seed, MemberRole::kBalancer);
    if (m_role == MemberRole::kBalancer &&
        (entry == nullptr || !m_members->IsReachable(now, *entry))) {
      contacts->push_back({seed});
    }
  }
}

bool FleetDiscovery::NeedsBalancers(TimePoint now) const {
  const bool never_heard = m_balancer_heard_at == TimePoint();
  return now >= m_next_balancer_list &&
         m_members->CountReachable(now, MemberRole::kBalancer) == 0 &&
         (never_heard || now - m_balancer_heard_at >= kBalancerSilenceLimit);
}

bool FleetDiscovery::NeedsAgentList(TimePoint now) {
  // An agent that is heard after the start, but not listed, shows that the list
  // was incomplete.
  m_is_list_complete =
      m_is_list_complete &&
      (now >= m_introductions_end || m_members->UnlistedAgents(now).empty());
  return m_role == MemberRole::kBalancer && !m_is_list_complete &&
         !m_is_first_start && now >= m_next_agent_list;
}

Duration FleetDiscovery::AgentListDelay(Duration first_delay) const {
  return std::min<Duration>(
      kStoreRetryInterval,
      first_delay * (1U << std::min(m_useless_lists, kMaxDelayDoublings)));
}

bool FleetDiscovery::IsListed(TimePoint now) const {
  std::vector<MemberId> balancers{m_self};
  for (const auto& [id, entry] : m_members->Entries()) {
    if (entry.member.role == MemberRole::kBalancer &&
        m_members->IsReachable(now, entry)) {
      balancers.push_back(id);
    }
  }
  const std::vector<MemberId> listed =
      ChooseStoreReaders(balancers, kListedBalancers);
  return m_role == MemberRole::kAgent ||
         std::find(listed.begin(), listed.end(), m_self) != listed.end();
}

MemberCall FleetDiscovery::NextCall(TimePoint now, bool leaving) {
  if (NeedsAgentList(now)) {
    m_list_requested_at = now;
    m_next_agent_list = now + (now < m_introductions_end
                                   ? AgentListDelay(kFailedStoreRetryInterval)
                                   : kStoreRetryInterval);
    ++m_useless_lists;
    return MemberCall::kListAgents;
  }
  if (leaving) {
    return MemberCall::kNone;
  }
  if (NeedsBalancers(now)) {
    m_next_balancer_list = now + kStoreRetryInterval;
    return MemberCall::kListBalancers;
  }
  if (m_has_left || now < m_next_registration) {
    return MemberCall::kNone;
  }
  if (!IsListed(now)) {
    m_next_registration = now + kListingCheckInterval;
    return MemberCall::kNone;
  }
  m_next_registration = now + kStoreRetryInterval;
  return MemberCall::kRegister;
}

std::vector<MemberContact> FleetDiscovery::OnBalancersListed(
    TimePoint now,
    bool reached,
    const std::vector<uint32_t>& ips) {
  if (!reached) {
    m_next_balancer_list = now + kFailedStoreRetryInterval;
  }
  std::vector<MemberContact> contacts;
  for (const uint32_t ip : ips) {
    if (ip != m_ip) {
      contacts.push_back({ip, true});
    }
  }
  return contacts;
}

std::vector<MemberContact> FleetDiscovery::OnAgentsListed(
    TimePoint now,
    StoreResult result,
    const std::vector<uint32_t>& ips) {
  std::vector<MemberContact> contacts;
  if (result != StoreResult::kOk) {
    return contacts;
  }
  m_listed_at = m_list_requested_at;
  m_is_list_complete = m_members->SetRegisteredAgents(now, ips);
  m_useless_lists = m_is_list_complete ? 0 : m_useless_lists;
  m_next_agent_list =
      std::max(m_next_agent_list,
               now + AgentListDelay(kIncompleteListRetryInterval / 2));
  for (const uint32_t ip : m_members->UnlistedAgents(now)) {
    contacts.push_back({ip, false, true});
  }
  ContactAgents(now, &contacts);
  return contacts;
}

void FleetDiscovery::OnRegistered(TimePoint now, StoreResult result) {
  if (result == StoreResult::kOk) {
    m_registered_at = now;
    m_next_registration = now + kRegistrationInterval;
  }
}

void FleetDiscovery::OnBalancerHeard(TimePoint now) {
  const bool was_cut_off = m_balancer_heard_at != TimePoint() &&
                           now - m_balancer_heard_at >= kForgottenTime;
  m_next_registration = was_cut_off ? now : m_next_registration;
  m_balancer_heard_at = now;
}

void FleetDiscovery::OnNotRegistered(TimePoint now) {
  // Several balancers may have read the list before the last registration.
  const bool is_outdated = m_registered_at != TimePoint() &&
                           now - m_registered_at < kStoreRetryInterval;
  if (!is_outdated) {
    m_next_registration = std::min(m_next_registration, now);
  }
}

void FleetDiscovery::OnRegistrationsCompleteAt(TimePoint complete_at) {
  if (m_listed_at < complete_at) {
    m_is_list_complete = false;
    m_is_first_start = false;
    m_members->WithdrawRegisteredAgents();
    m_next_agent_list = std::max(m_next_agent_list, complete_at);
  }
  m_introductions_end =
      std::max(m_introductions_end, complete_at + kIntroductionTime);
}

void FleetDiscovery::Rejoin(TimePoint now) {
  if (m_has_left) {
    m_has_left = false;
    m_next_registration = now;
  }
}

}  // namespace medlargauge

// @file control_plane.cc Dissemination of membership and targets by gossip.
#include "src/daemon/control_plane.h"

#include <algorithm>
#include <chrono>

#include "src/core/event_log.h"
#include "src/core/hash.h"
#include "src/daemon/address.h"
#include "src/target/reader_choice.h"
#include "src/target/target_codec.h"

namespace medlargauge {
namespace {

constexpr std::string_view kMemberKeyPrefix = "member/";
constexpr Duration kTickInterval = Milliseconds(50);
constexpr Duration kSeedContactInterval = Milliseconds(300);
constexpr Duration kDiscoveryTimeout = Seconds(10);
constexpr unsigned kStateBits = 3;

/// Returns the gossip version of a member record, which orders records by
/// incarnation, then by state.
uint64_t MemberVersion(uint64_t incarnation, AgentState state) {
  return (incarnation << kStateBits) | static_cast<uint64_t>(state);
}

}  // namespace

TimePoint SteadyNow() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

ControlPlane::ControlPlane(const Settings& settings, uint64_t incarnation)
    : m_settings(settings),
      m_self(MemberIdOf(settings.name)),
      m_incarnation(incarnation),
      m_gossip(m_self,
               GossipOptions(),
               [this](const proto::GossipItem& item) { OnItem(item); }),
      m_discovery_deadline(SteadyNow() + kDiscoveryTimeout) {}

bool ControlPlane::Bind(Error* reason) {
  return m_channel.Bind(m_settings.control_address, reason);
}

AgentFacts ControlPlane::StartFacts() const {
  AgentFacts facts;
  facts.id = m_self;
  facts.incarnation = m_incarnation;
  facts.version = VersionIdOf(m_settings.version);
  facts.domain = DomainIdOf(m_settings.failure_domain);
  return facts;
}

void ControlPlane::RunControlOnce(Duration max_wait) {
  m_channel.Poll(max_wait, [this](const proto::ControlFrame& frame) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    OnFrame(frame);
  });
  const std::lock_guard<std::mutex> lock(m_mutex);
  const TimePoint now = SteadyNow();
  if (now >= m_next_tick) {
    m_next_tick = now + kTickInterval;
    Tick(now);
  }
  SendPendingMessages();
}

bool ControlPlane::IsDiscoveryDone(TimePoint now) const {
  return m_settings.seeds.empty() || m_members.size() > 1 ||
         now >= m_discovery_deadline;
}

void ControlPlane::MergeTargets(const std::vector<ClassTarget>& targets) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const ClassTarget& target : targets) {
    if (m_targets.Merge(target)) {
      m_gossip.Put(TargetToItem(target));
      m_targets_changed = true;
    }
  }
}

bool ControlPlane::IsStoreReader() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::vector<MemberId> balancers;
  std::vector<MemberId> alive;
  for (const auto& [id, member] : m_members) {
    if (member.facts.state == AgentState::kGone) {
      continue;
    }
    alive.push_back(id);
    if (IsBalancer(member)) {
      balancers.push_back(id);
    }
  }
  const std::vector<MemberId> readers =
      ChooseStoreReaders(balancers.empty() ? alive : balancers,
                         static_cast<size_t>(m_settings.store_readers));
  return std::find(readers.begin(), readers.end(), m_self) != readers.end();
}

const sockaddr_in* ControlPlane::DataAddress(MemberId id) const {
  const auto member = m_members.find(id);
  return member == m_members.end() ? nullptr : &member->second.data_address;
}

void ControlPlane::OnItem(const proto::GossipItem& item) {
  if (item.key().rfind(kMemberKeyPrefix, 0) == 0) {
    OnMemberItem(item);
    return;
  }
  const std::optional<ClassTarget> target = ItemToTarget(item);
  if (!target.has_value()) {
    ++m_malformed_items;
    return;
  }
  m_targets_changed = m_targets.Merge(*target) || m_targets_changed;
}

void ControlPlane::OnMemberItem(const proto::GossipItem& item) {
  Member member;
  proto::MemberRecord& record = member.record;
  const bool is_parsed = record.ParseFromString(item.value());
  const std::optional<HostPort> data_address =
      is_parsed ? ParseHostPort(record.data_address()) : std::nullopt;
  const bool is_valid =
      data_address.has_value() && !record.name().empty() &&
      record.state() <= static_cast<uint32_t>(AgentState::kGone);
  if (!is_valid) {
    ++m_malformed_items;
    return;
  }
  member.facts.id = MemberIdOf(record.name());
  member.facts.incarnation = record.incarnation();
  member.facts.state = static_cast<AgentState>(record.state());
  member.facts.version = VersionIdOf(record.version());
  member.facts.domain = DomainIdOf(record.domain());
  member.service = ServiceIdOf(record.service());
  member.data_address = ToSocketAddress(*data_address);
  // This process refutes its removal by publishing a higher incarnation.
  const bool is_own_removal = member.facts.id == m_self &&
                              member.facts.state == AgentState::kGone &&
                              member.facts.incarnation >= m_incarnation;
  if (is_own_removal) {
    m_incarnation = member.facts.incarnation + 1;
  }
  m_members[member.facts.id] = member;
  m_members_changed = true;
  m_hooks.on_member(SteadyNow(), member);
}

void ControlPlane::OnFrame(const proto::ControlFrame& frame) {
  const MemberId from{frame.from()};
  if (!frame.from_address().empty()) {
    m_reply_addresses[from] = frame.from_address();
  }
  if (frame.has_gossip()) {
    m_gossip.OnMessage(SteadyNow(), from, frame.gossip());
  } else if (frame.has_group()) {
    m_hooks.on_group(SteadyNow(), frame.group());
  }
}

void ControlPlane::Tick(TimePoint now) {
  PublishSelf();
  PublishRemovals();
  if (m_targets_changed) {
    m_targets_changed = false;
    m_hooks.on_targets(now);
  }
  m_hooks.on_tick(now);
  UpdateGossipMembers();
  ContactSeeds(now);
  m_gossip.OnTick(now);
}

void ControlPlane::PublishSelf() {
  AgentFacts facts = m_hooks.self();
  facts.incarnation = std::max(facts.incarnation, m_incarnation);
  const std::string key = std::string(kMemberKeyPrefix) + m_settings.name;
  const uint64_t version = MemberVersion(facts.incarnation, facts.state);
  const proto::GossipItem* known = m_gossip.Find(key);
  if (known != nullptr && known->version() >= version) {
    return;
  }
  proto::MemberRecord record;
  record.set_name(m_settings.name);
  record.set_role(m_settings.role);
  record.set_service(m_settings.service);
  record.set_version(m_settings.version);
  record.set_domain(m_settings.failure_domain);
  record.set_data_address(m_settings.data_address);
  record.set_control_address(m_settings.control_address);
  record.set_admin_address(m_settings.admin_address);
  record.set_incarnation(facts.incarnation);
  record.set_state(static_cast<uint32_t>(facts.state));
  proto::GossipItem item;
  item.set_key(key);
  item.set_version(version);
  item.set_value(record.SerializeAsString());
  m_gossip.Put(item);
  OnMemberItem(item);
}

void ControlPlane::PublishRemovals() {
  for (const AgentFacts& facts : m_hooks.removed()) {
    const auto known = m_members.find(facts.id);
    const bool is_new_removal =
        known != m_members.end() &&
        known->second.facts.state != AgentState::kGone &&
        known->second.facts.incarnation <= facts.incarnation;
    if (!is_new_removal) {
      continue;
    }
    proto::MemberRecord record = known->second.record;
    record.set_state(static_cast<uint32_t>(AgentState::kGone));
    record.set_incarnation(facts.incarnation);
    proto::GossipItem item;
    item.set_key(std::string(kMemberKeyPrefix) + record.name());
    item.set_version(MemberVersion(facts.incarnation, AgentState::kGone));
    item.set_value(record.SerializeAsString());
    if (m_gossip.Put(item)) {
      EventLine(Severity::kWarning, "member_removed")
          .With("member", record.name())
          .With("incarnation", facts.incarnation);
      OnMemberItem(item);
    }
  }
}

void ControlPlane::ContactSeeds(TimePoint now) {
  const bool is_alone = m_members.size() <= 1;
  if (!is_alone || now < m_next_seed_contact) {
    return;
  }
  m_next_seed_contact = now + kSeedContactInterval;
  m_gossip.RequestFullSync(m_self);
  for (const OutgoingGossip& request : m_gossip.TakeOutgoing()) {
    for (const std::string& seed : m_settings.seeds) {
      if (seed == m_settings.control_address) {
        continue;
      }
      proto::ControlFrame frame;
      frame.set_from(m_self.value);
      frame.set_from_address(m_settings.control_address);
      *frame.mutable_gossip() = request.message;
      m_channel.Send(seed, frame);
    }
  }
}

void ControlPlane::UpdateGossipMembers() {
  if (!m_members_changed) {
    return;
  }
  m_members_changed = false;
  std::vector<MemberId> alive;
  for (const auto& [id, member] : m_members) {
    if (member.facts.state != AgentState::kGone) {
      alive.push_back(id);
    }
  }
  m_gossip.SetMembers(alive);
}

void ControlPlane::SendPendingMessages() {
  for (OutgoingGossip& outgoing : m_gossip.TakeOutgoing()) {
    proto::ControlFrame frame;
    *frame.mutable_gossip() = std::move(outgoing.message);
    SendFrame(outgoing.to, &frame);
  }
  for (OutgoingGroupMessage& outgoing : m_hooks.take_outgoing()) {
    proto::ControlFrame frame;
    *frame.mutable_group() = std::move(outgoing.message);
    SendFrame(outgoing.to, &frame);
  }
}

void ControlPlane::SendFrame(MemberId to, proto::ControlFrame* frame) {
  const std::string address = ControlAddress(to);
  if (address.empty()) {
    return;
  }
  frame->set_from(m_self.value);
  frame->set_from_address(m_settings.control_address);
  m_channel.Send(address, *frame);
}

std::string ControlPlane::ControlAddress(MemberId id) const {
  const auto member = m_members.find(id);
  if (member != m_members.end()) {
    return member->second.record.control_address();
  }
  const auto heard = m_reply_addresses.find(id);
  return heard == m_reply_addresses.end() ? "" : heard->second;
}

}  // namespace medlargauge

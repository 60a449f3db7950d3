// @file fleet_node_evacuation.cc How FleetNode learns of evacuated failure
// domains and tells other processes.
#include <algorithm>
#include <utility>

#include "src/core/event_log.h"
#include "src/core/hash.h"
#include "src/runtime/fleet_node.h"

namespace medlargauge {
namespace {

constexpr std::string_view kStoreSource = "store";
/// Limit of the evacuated domains, so that statuses with them fit a datagram.
/// Those beyond it that no process has are left out.
constexpr size_t kMaxDomains = 32;
/// Interval of SendEvacuations.
constexpr Duration kReplyInterval = Milliseconds(20);
/// Members to which a process passes on a change that it has learned from
/// another one.
constexpr size_t kRelayReceivers = 8;

/// Returns a domain for logs: its name if the store told it, else its number.
std::string DomainText(const std::map<DomainId, std::string>& names,
                       DomainId domain) {
  const auto found = names.find(domain);
  return found != names.end() ? found->second : std::to_string(domain.value);
}

}  // namespace

void FleetNode::OnStoredEvacuations(TimePoint now,
                                    const StoredEvacuations& stored) {
  if (stored.version.era != m_era.Era()) {
    return;  // CheckEra has refused the answer.
  }
  const bool was_known = m_evacuations.IsKnown();
  bool has_changed = false;
  std::vector<DomainId> domains;
  for (const StoredEvacuation& entry : stored.entries) {
    const DomainId domain = DomainIdOf(entry.domain);
    const size_t known = stored.is_complete
                             ? domains.size()
                             : m_evacuations.State().domains.size();
    if (!entry.ended && known >= kMaxDomains && CountMembersIn(domain) == 0) {
      continue;
    }
    m_domain_names[domain] = entry.domain;
    domains.push_back(domain);
    if (!stored.is_complete) {
      has_changed |= m_evacuations.OnChange(
          {stored.version.era, entry.revision}, domain, entry.ended);
    }
  }
  if (stored.is_complete) {
    has_changed = m_evacuations.OnRead(
        now, stored.version, detail::MakeDomainSet(domains), m_era.Age(now));
  }
  if (!has_changed) {
    return;
  }
  const bool has_domains =
      !m_evacuations.InForce().empty() || !m_logged_evacuations.empty();
  OnEvacuationsChanged(kStoreSource);
  if (has_domains) {
    m_evacuation_repeats.OnBroadcast(now);
  }
  if (has_domains || !was_known) {
    BroadcastStatus();
  }
}

void FleetNode::OnPeerEvacuations(TimePoint now,
                                  const MemberEntry& sender,
                                  const proto::PeerStatus& status) {
  if (!status.has_evacuations()) {
    return;  // The process has a version that knows of no evacuations.
  }
  const proto::PeerEvacuations& message = status.evacuations();
  const auto decode = [](const auto& ids) {
    std::vector<DomainId> domains;
    for (const uint32_t id : ids) {
      domains.push_back(DomainId{id});
    }
    return detail::MakeDomainSet(std::move(domains));
  };
  const EvacuationState stated{{message.era(), message.revision()},
                               decode(message.domains()),
                               decode(message.held())};
  if (m_evacuations.OnPeer(now, stated, m_era.Age(now))) {
    const bool is_relayed = m_evacuations.InForce() != m_logged_evacuations;
    OnEvacuationsChanged(FormatIp(sender.member.ip));
    if (is_relayed) {
      RelayStatus(now);
    }
  }
  if (m_evacuations.IsBehind(stated)) {
    SendStatus(sender.member.ip, MakeStatus(now));
  }
}

void FleetNode::EncodeEvacuations(proto::PeerEvacuations* message) const {
  const EvacuationState& state = m_evacuations.State();
  message->set_era(state.version.era);
  message->set_revision(state.version.revision);
  for (const DomainId domain : state.domains) {
    message->add_domains(domain.value);
  }
  for (const DomainId domain : state.held) {
    message->add_held(domain.value);
  }
}

void FleetNode::OnEvacuationsChanged(std::string_view source) {
  const DomainSet before =
      std::exchange(m_logged_evacuations, m_evacuations.InForce());
  const TargetVersion version = m_evacuations.State().version;
  for (const DomainId domain :
       detail::Difference(m_logged_evacuations, before)) {
    const size_t members = CountMembersIn(domain);
    // A name that no process has may be mistyped.
    EventLine(members == 0 ? Severity::kWarning : Severity::kInfo,
              "evacuation_in_force")
        .With("domain", DomainText(m_domain_names, domain))
        .With("era", version.era)
        .With("revision", version.revision)
        .With("source", source)
        .With("members", members);
  }
  for (const DomainId domain :
       detail::Difference(before, m_logged_evacuations)) {
    EventLine(Severity::kInfo, "evacuation_ended")
        .With("domain", DomainText(m_domain_names, domain))
        .With("era", version.era)
        .With("revision", version.revision)
        .With("source", source);
  }
  if (m_hooks.on_evacuations) {
    m_hooks.on_evacuations(m_evacuations);
  }
}

void FleetNode::SendEvacuations(TimePoint now, uint32_t ip) {
  if (now >= m_next_evacuation_reply) {
    m_next_evacuation_reply = now + kReplyInterval;
    SendStatus(ip, MakeStatus(now));
  }
}

void FleetNode::TickEvacuations(TimePoint now) {
  if (m_evacuations.OnTick(now)) {
    OnEvacuationsChanged("restore");
  }
  if (m_evacuation_repeats.TakeDue(now)) {
    BroadcastStatus();
  }
}

void FleetNode::RelayStatus(TimePoint now) {
  std::vector<std::pair<uint64_t, uint32_t>> receivers;
  for (const auto& [id, entry] : m_members.Entries()) {
    if (IsStatusReceiver(entry.member) && m_members.IsReachable(now, entry)) {
      receivers.emplace_back(MixHash(m_self.id.value, id.value),
                             entry.member.ip);
    }
  }
  const size_t count = std::min(kRelayReceivers, receivers.size());
  std::partial_sort(receivers.begin(),
                    receivers.begin() + static_cast<std::ptrdiff_t>(count),
                    receivers.end());
  receivers.resize(count);
  const proto::PeerStatus status = MakeStatus(now);
  for (const auto& [rank, ip] : receivers) {
    SendStatus(ip, status);
  }
}

size_t FleetNode::CountMembersIn(DomainId domain) const {
  const auto& members = m_members.Entries();
  const auto others = std::count_if(
      members.begin(), members.end(),
      [&](const auto& item) { return item.second.member.domain == domain; });
  return static_cast<size_t>(others) + (m_self.domain == domain ? 1 : 0);
}

}  // namespace medlargauge

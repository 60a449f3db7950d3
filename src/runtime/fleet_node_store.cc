// @file fleet_node_store.cc FleetNode's calls to the store, and its requests
// for the targets of peers.
#include <algorithm>
#include <charconv>

#include "src/core/error.h"
#include "src/core/event_log.h"
#include "src/runtime/fleet_node.h"
#include "src/target/reader_choice.h"

namespace medlargauge {
namespace {

/// Registration is repeated, because other balancers may have removed the entry
/// while this host was cut off.
constexpr Duration kRegistrationInterval = Seconds(600);
constexpr Duration kStoreRetryInterval = Seconds(3);
/// The same for a process that has just started and got no list of members.
constexpr Duration kFailedStoreRetryInterval = Milliseconds(200);
/// The same if the store's list of agents was evidently incomplete.
constexpr Duration kIncompleteListRetryInterval = Milliseconds(700);
/// If no balancer was heard for this long, the store is asked for balancers.
constexpr Duration kBalancerSilenceLimit = Milliseconds(1500);
/// Agents that are contacted at once after the start.
constexpr size_t kMaxContacts = 32;
/// Source of targets that a peer has delivered, in logs.
constexpr std::string_view kPeerSource = "peer";
constexpr Duration kTargetFetchTimeout = Milliseconds(800);
/// Time after the start of a fetch before the next one that no status prompts.
constexpr Duration kTargetRetryInterval = Milliseconds(300);

/// Parses a text that is a number as a whole. @return false if it is none
bool ParseWhole(std::string_view text, uint64_t* number) {
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, *number);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

void FleetNode::DiscoverBalancersInStore(TimePoint now) {
  const bool never_heard = m_balancer_heard_at == TimePoint();
  const bool needs_discovery =
      m_members.CountReachable(now, MemberRole::kBalancer) == 0 &&
      (never_heard || now - m_balancer_heard_at >= kBalancerSilenceLimit);
  if (!needs_discovery || m_member_call_pending ||
      now < m_next_store_discovery) {
    return;
  }
  m_member_call_pending = true;
  m_next_store_discovery = now + kStoreRetryInterval;
  ++m_store_calls;
  m_platform->list_members(
      MemberRole::kBalancer,
      [this](const StoreReply& reply, const std::vector<uint32_t>& ips) {
        m_member_call_pending = false;
        LogStoreTransition(CheckEra(reply, "list_balancers"), "list_balancers");
        const TimePoint completed_at = SteadyTime();
        if (m_store_unreachable) {
          m_next_store_discovery = completed_at + kFailedStoreRetryInterval;
        }
        proto::PeerStatus status = MakeStatus(completed_at);
        status.set_wants_members(true);
        for (const uint32_t ip : ips) {
          if (ip != m_self.ip) {
            SendStatus(ip, status);
          }
        }
      });
}

void FleetNode::ListAgentsInStore(TimePoint now) {
  // An agent that is heard after the start, but not listed, shows that the list
  // was incomplete.
  m_agents_listed = m_agents_listed && (now >= m_introductions_end ||
                                        m_members.UnlistedAgents(now).empty());
  const bool is_due = m_self.role == MemberRole::kBalancer &&
                      !m_agents_listed && !m_member_call_pending &&
                      now >= m_next_agent_list && !m_agent_list_too_long;
  if (!is_due) {
    return;
  }
  m_member_call_pending = true;
  const bool has_just_started = now < m_introductions_end;
  m_next_agent_list = now + (has_just_started ? kFailedStoreRetryInterval
                                              : kStoreRetryInterval);
  ++m_store_calls;
  m_platform->list_members(
      MemberRole::kAgent,
      [this, now](const StoreReply& reply, const std::vector<uint32_t>& ips) {
        m_member_call_pending = false;
        const StoreResult result = CheckEra(reply, "list_agents");
        LogStoreTransition(result, "list_agents");
        m_agent_list_too_long = result == StoreResult::kNotFound;
        if (result == StoreResult::kOk) {
          const TimePoint completed_at = SteadyTime();
          m_agents_listed = m_members.SetRegisteredAgents(completed_at, ips);
          m_next_agent_list = std::max(
              m_next_agent_list, completed_at + kIncompleteListRetryInterval);
          TellUnlistedAgents(completed_at);
          m_agents_listed_at = now;
          WithdrawObsoleteAgentList();
          IntroduceToAgents();
          EventLine(Severity::kInfo, "agents_listed")
              .With("registered", ips.size())
              .With("unheard", m_members.UnheardRegisteredAgents().size())
              .With("complete", m_agents_listed);
        }
      });
}

void FleetNode::TellUnlistedAgents(TimePoint now) {
  const std::vector<uint32_t> ips = m_members.UnlistedAgents(now);
  if (ips.empty()) {
    return;
  }
  proto::PeerStatus status = MakeStatus(now);
  status.set_not_registered(true);
  for (const uint32_t ip : ips) {
    SendStatus(ip, status);
  }
}

void FleetNode::IntroduceToAgents() {
  const std::set<uint32_t>& ips = m_members.UnheardRegisteredAgents();
  if (ips.empty()) {
    return;
  }
  const TimePoint now = SteadyTime();
  const size_t limit = now < m_introductions_end ? ips.size() : kMaxContacts;
  const proto::PeerStatus status = MakeStatus(now);
  size_t sent = 0;
  // Continues after the last one, so that all have their turn.
  for (auto it = ips.upper_bound(m_last_introduced);
       sent < std::min(limit, ips.size()); ++sent) {
    it = it == ips.end() ? ips.begin() : it;
    m_last_introduced = *it;
    SendStatus(*it, status);
    ++it;
  }
}

void FleetNode::RegisterInStore(TimePoint now) {
  if (m_member_call_pending || m_left_store || now < m_next_registration) {
    return;
  }
  m_member_call_pending = true;
  m_next_registration = now + kStoreRetryInterval;
  ++m_store_calls;
  m_platform->add_member(
      m_self.role, m_self.ip, [this](const StoreReply& reply) {
        m_member_call_pending = false;
        const StoreResult result = CheckEra(reply, "add_member");
        if (result == StoreResult::kOk) {
          m_registered_at = SteadyTime();
          m_next_registration = m_registered_at + kRegistrationInterval;
        }
        LogStoreTransition(result, "add_member");
      });
}

void FleetNode::OnNotRegistered(TimePoint now) {
  // Several balancers may have read the list before the last registration.
  const bool is_known = m_registered_at != TimePoint() &&
                        now - m_registered_at < kStoreRetryInterval;
  if (!is_known) {
    m_next_registration = std::min(m_next_registration, now);
  }
}

void FleetNode::RejoinStore() {
  if (m_left_store) {
    m_left_store = false;
    m_next_registration = SteadyTime();
  }
}

void FleetNode::LeaveStore() {
  m_left_store = true;
  ++m_store_calls;
  m_platform->remove_member(
      m_self.role, m_self.ip, [this](const StoreReply& reply) {
        LogStoreTransition(CheckEra(reply, "remove_member"), "remove_member");
      });
}

void FleetNode::DeregisterForgottenMembers(
    TimePoint now,
    const std::vector<FleetMember>& forgotten) {
  if (forgotten.empty() || m_self.role != MemberRole::kBalancer) {
    return;
  }
  std::vector<MemberId> balancers{m_self.id};
  for (const auto& [id, entry] : m_members.Entries()) {
    if (entry.member.role == MemberRole::kBalancer &&
        m_members.IsReachable(now, entry)) {
      balancers.push_back(id);
    }
  }
  const bool is_responsible =
      ChooseStoreReaders(balancers, 1).front() == m_self.id;
  for (const FleetMember& member : forgotten) {
    if (!is_responsible || m_member_call_pending) {
      continue;  // A stale entry costs new processes a datagram or some time.
    }
    m_member_call_pending = true;
    ++m_store_calls;
    m_platform->remove_member(
        member.role, member.ip, [this](const StoreReply& reply) {
          m_member_call_pending = false;
          LogStoreTransition(CheckEra(reply, "remove_member"), "remove_member");
        });
  }
}

void FleetNode::ReadTargets(TimePoint now) {
  const TargetReaderLimits limits;
  const ReadAction action =
      m_target_reader.Next(now, m_self.id, m_members, m_routes.Revision());
  if (action == ReadAction::kNothing) {
    return;
  }
  ++m_store_calls;
  const bool watches = action == ReadAction::kWatch;
  const auto done = [this, watches, now](
                        const StoreReply& reply,
                        const std::optional<StoredTargets>& targets,
                        uint64_t position) {
    const TimePoint completed_at = SteadyTime();
    const std::string_view call = watches ? "watch_targets" : "fetch_targets";
    const StoreResult result = CheckEra(reply, call);
    if (watches) {
      m_target_reader.OnWatch(completed_at, result, position);
    } else {
      m_target_reader.OnRead(completed_at, result, position);
      m_store_latency.Add(completed_at - now);
    }
    LogStoreTransition(result, call);
    if (result == StoreResult::kOk && targets.has_value()) {
      ApplyTargets(*targets, "store");
    }
    ReadTargets(completed_at);
  };
  if (watches) {
    m_platform->watch_targets(m_target_reader.Position(), limits.wait, done);
  } else {
    m_platform->fetch_targets(done);
  }
}

TargetOutlook FleetNode::Outlook(TimePoint now) const {
  const bool is_fetching =
      m_target_client != nullptr && m_target_client->IsBusy();
  const bool is_peer_ahead =
      ChooseTargetSource(now, m_members, m_self.id, StoredIdentity(), 0)
          .has_value();
  return {is_fetching || is_peer_ahead, m_target_reader.UnansweredSince()};
}

void FleetNode::LogStoreTransition(StoreResult result, std::string_view call) {
  const bool unreachable =
      result == StoreResult::kRefused || result == StoreResult::kNoAnswer;
  if (unreachable != m_store_unreachable) {
    m_store_unreachable = unreachable;
    EventLine(unreachable ? Severity::kWarning : Severity::kInfo,
              unreachable ? "store_lost" : "store_regained")
        .With("call", call)
        .With("result", result == StoreResult::kRefused ? "refused"
                        : unreachable                   ? "no_answer"
                                                        : "ok");
  }
}

void FleetNode::ApplyTargets(const StoredTargets& targets,
                             std::string_view source) {
  const TargetIdentity previous = m_routes.Identity();
  if (targets.version == previous.version) {
    return;
  }
  Error reason;
  std::optional<RouteTable> table = m_platform->parse_targets(targets, &reason);
  if (!table.has_value()) {
    EventLine(Severity::kError, "targets_refused")
        .With("era", targets.version.era)
        .With("revision", targets.version.revision)
        .With("source", source)
        .With("reason", reason.detail);
    return;
  }
  const TargetIdentity identity = table->identity;
  const size_t routes = table->routes.size();
  if (!m_routes.Adopt(std::move(*table))) {
    if (source == kPeerSource) {
      m_useless_version = identity.version;
    }
    const bool is_older_copy = previous.version < identity.version;
    if (is_older_copy) {
      EventLine(Severity::kWarning, "older_targets_ignored")
          .With("era", identity.version.era)
          .With("revision", identity.version.revision)
          .With("version", identity.operators_version)
          .With("in_force", previous.operators_version)
          .With("source", source);
    }
    return;
  }
  m_stored_targets = targets;
  EventLine(Severity::kInfo, "targets_in_force")
      .With("era", identity.version.era)
      .With("revision", identity.version.revision)
      .With("version", identity.operators_version)
      .With("before", previous.version.revision)
      .With("routes", routes)
      .With("source", source);
  BroadcastStatus();
}

void FleetNode::KeepTargets(TimePoint now) {
  if (!m_target_keeper.IsKeeper(m_members)) {
    m_stored_targets = StoredTargets();
    m_kept_identity = TargetIdentity();
    return;
  }
  const std::optional<MemberId> balancer =
      m_target_keeper.Next(now, m_members, m_kept_identity);
  if (balancer.has_value()) {
    FetchTargetsFromPeer(m_members.Find(*balancer)->member.ip);
  }
}

void FleetNode::StoreTargets(const StoredTargets& targets) {
  Error reason;
  const std::optional<RouteTable> table =
      m_platform->parse_targets(targets, &reason);
  if (!table.has_value() || !Supersedes(table->identity, m_kept_identity)) {
    return;
  }
  EventLine(Severity::kInfo, "targets_kept")
      .With("era", targets.version.era)
      .With("revision", targets.version.revision)
      .With("before", m_kept_identity.version.revision)
      .With("bytes", targets.value.size());
  m_stored_targets = targets;
  m_kept_identity = table->identity;
}

const TargetIdentity& FleetNode::StoredIdentity() const {
  return m_self.role == MemberRole::kBalancer ? m_routes.Identity()
                                              : m_kept_identity;
}

void FleetNode::RetryTargetFetch(TimePoint now) {
  if (now < m_next_target_fetch) {
    return;
  }
  const std::optional<MemberId> source = ChooseTargetSource(
      now, m_members, m_self.id, m_routes.Identity(), m_target_fetches);
  const FleetMember* member =
      source.has_value() ? &m_members.Find(*source)->member : nullptr;
  if (member != nullptr && member->targets.version != m_useless_version) {
    FetchTargetsFromPeer(member->ip);
  }
}

void FleetNode::FetchTargetsFromPeer(uint32_t ip) {
  if (m_target_client != nullptr && m_target_client->IsBusy()) {
    return;
  }
  m_target_client = std::make_unique<HttpClient>(
      m_loop, SocketAddress4{ip, m_peer_address.port},
      std::vector<std::string>{kTargetsEraHeader});
  ++m_target_fetches;
  m_next_target_fetch = SteadyTime() + kTargetRetryInterval;
  m_target_client->Send(
      "GET", std::string(kTargetsPath), "", kTargetFetchTimeout,
      [this, ip](const HttpResponse& response) {
        StoredTargets targets;
        const char* begin = response.body.data();
        const char* end = begin + response.body.size();
        const auto number =
            std::from_chars(begin, end, targets.version.revision);
        const auto era = response.headers.find(kTargetsEraHeader);
        const bool has_valid_era =
            era == response.headers.end() ||
            ParseWhole(era->second, &targets.version.era);
        const bool is_valid = response.status == 200 && has_valid_era &&
                              number.ec == std::errc() && number.ptr != end &&
                              *number.ptr == '\n';
        if (!is_valid) {
          EventLine(Severity::kWarning, "peer_gave_no_targets")
              .With("ip", FormatIp(ip))
              .With("status", response.status);
          return;
        }
        targets.value.assign(number.ptr + 1, end);
        if (m_self.role == MemberRole::kBalancer) {
          ApplyTargets(targets, kPeerSource);
        } else {
          StoreTargets(targets);
        }
      });
}

}  // namespace medlargauge

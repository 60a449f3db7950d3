// @file fleet_node_store.cc FleetNode's calls to the store, and its requests
// for the targets of peers.
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
/// If no balancer was heard for this long, the store is asked for balancers.
constexpr Duration kBalancerSilenceLimit = Milliseconds(1500);
constexpr Duration kTargetFetchTimeout = Milliseconds(800);
/// Time after the start of a fetch before the next one that no status prompts.
constexpr Duration kTargetRetryInterval = Milliseconds(300);

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
      [this](StoreResult result, const std::vector<uint32_t>& ips) {
        m_member_call_pending = false;
        LogStoreTransition(result, "list_balancers");
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
  const bool is_due = m_self.role == MemberRole::kBalancer &&
                      !m_agents_listed && !m_member_call_pending &&
                      now >= m_next_agent_list && now < m_introductions_end;
  if (!is_due) {
    return;
  }
  m_member_call_pending = true;
  m_next_agent_list = now + kFailedStoreRetryInterval;
  ++m_store_calls;
  m_platform->list_members(
      MemberRole::kAgent,
      [this](StoreResult result, const std::vector<uint32_t>& ips) {
        m_member_call_pending = false;
        LogStoreTransition(result, "list_agents");
        if (result == StoreResult::kOk) {
          m_agents_listed = true;
          m_members.SetRegisteredAgents(ips);
          IntroduceToAgents();
          EventLine(Severity::kInfo, "agents_listed")
              .With("registered", ips.size())
              .With("unheard", m_members.UnheardRegisteredAgents().size());
        }
      });
}

void FleetNode::IntroduceToAgents() {
  const std::set<uint32_t>& ips = m_members.UnheardRegisteredAgents();
  if (ips.empty()) {
    return;
  }
  const proto::PeerStatus status = MakeStatus(SteadyTime());
  for (const uint32_t ip : ips) {
    SendStatus(ip, status);
  }
}

void FleetNode::RegisterInStore(TimePoint now) {
  if (m_member_call_pending || m_left_store || now < m_next_registration) {
    return;
  }
  m_member_call_pending = true;
  m_next_registration = now + kStoreRetryInterval;
  ++m_store_calls;
  m_platform->add_member(m_self.role, m_self.ip, [this](StoreResult result) {
    m_member_call_pending = false;
    if (result == StoreResult::kOk) {
      m_next_registration = SteadyTime() + kRegistrationInterval;
    }
    LogStoreTransition(result, "add_member");
  });
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
  m_platform->remove_member(m_self.role, m_self.ip, [this](StoreResult result) {
    LogStoreTransition(result, "remove_member");
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
    m_platform->remove_member(member.role, member.ip,
                              [this](StoreResult result) {
                                m_member_call_pending = false;
                                LogStoreTransition(result, "remove_member");
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
                        StoreResult result,
                        const std::optional<StoredTargets>& targets,
                        uint64_t position) {
    const TimePoint completed_at = SteadyTime();
    if (watches) {
      m_target_reader.OnWatch(completed_at, result, position);
    } else {
      m_target_reader.OnRead(completed_at, result, position);
      m_store_latency.Add(completed_at - now);
    }
    LogStoreTransition(result, watches ? "watch_targets" : "fetch_targets");
    if (targets.has_value()) {
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
  const bool is_peer_ahead = ChooseTargetSource(now, m_members, m_self.id,
                                                m_stored_targets.revision, 0)
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
  if (targets.revision <= m_routes.Revision()) {
    return;
  }
  Error reason;
  std::optional<RouteTable> table = m_platform->parse_targets(targets, &reason);
  if (!table.has_value()) {
    EventLine(Severity::kError, "targets_refused")
        .With("revision", targets.revision)
        .With("source", source)
        .With("reason", reason.detail);
    return;
  }
  const uint64_t previous_revision = m_routes.Revision();
  const uint64_t version = table->version;
  const size_t routes = table->routes.size();
  m_routes.Adopt(std::move(*table));
  m_stored_targets = targets;
  EventLine(Severity::kInfo, "targets_in_force")
      .With("revision", targets.revision)
      .With("version", version)
      .With("before", previous_revision)
      .With("routes", routes)
      .With("source", source);
  BroadcastStatus();
}

void FleetNode::KeepTargets(TimePoint now) {
  if (!m_target_keeper.IsKeeper(m_members)) {
    m_stored_targets = StoredTargets();
    return;
  }
  const std::optional<MemberId> balancer =
      m_target_keeper.Next(now, m_members, m_stored_targets.revision);
  if (balancer.has_value()) {
    FetchTargetsFromPeer(m_members.Find(*balancer)->member.ip);
  }
}

void FleetNode::StoreTargets(const StoredTargets& targets) {
  if (targets.revision <= m_stored_targets.revision) {
    return;
  }
  EventLine(Severity::kInfo, "targets_kept")
      .With("revision", targets.revision)
      .With("before", m_stored_targets.revision)
      .With("bytes", targets.value.size());
  m_stored_targets = targets;
}

void FleetNode::RetryTargetFetch(TimePoint now) {
  if (now < m_next_target_fetch) {
    return;
  }
  const std::optional<MemberId> source = ChooseTargetSource(
      now, m_members, m_self.id, m_routes.Revision(), m_target_fetches);
  if (source.has_value()) {
    FetchTargetsFromPeer(m_members.Find(*source)->member.ip);
  }
}

void FleetNode::FetchTargetsFromPeer(uint32_t ip) {
  if (m_target_client != nullptr && m_target_client->IsBusy()) {
    return;
  }
  m_target_client = std::make_unique<HttpClient>(
      m_loop, SocketAddress4{ip, m_peer_address.port});
  ++m_target_fetches;
  m_next_target_fetch = SteadyTime() + kTargetRetryInterval;
  m_target_client->Send(
      "GET", std::string(kTargetsPath), "", kTargetFetchTimeout,
      [this, ip](const HttpResponse& response) {
        StoredTargets targets;
        const char* begin = response.body.data();
        const char* end = begin + response.body.size();
        const auto number = std::from_chars(begin, end, targets.revision);
        const bool is_valid = response.status == 200 &&
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
          ApplyTargets(targets, "peer");
        } else {
          StoreTargets(targets);
        }
      });
}

}  // namespace medlargauge

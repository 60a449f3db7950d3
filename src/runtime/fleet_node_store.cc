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

void FleetNode::CallStoreForMembers(TimePoint now) {
  if (m_member_call_pending) {
    return;
  }
  switch (m_discovery.NextCall(now, m_leaving)) {
    case MemberCall::kNone:
      return;
    case MemberCall::kListBalancers:
      BeginMemberCall();
      m_platform->list_members(
          MemberRole::kBalancer,
          [this](const StoreReply& reply, const std::vector<uint32_t>& ips) {
            EndMemberCall(reply, "list_balancers");
            const TimePoint completed_at = SteadyTime();
            SendContacts(completed_at,
                         m_discovery.OnBalancersListed(
                             completed_at, !m_store_unreachable, ips));
          });
      return;
    case MemberCall::kListAgents:
      BeginMemberCall();
      m_platform->list_members(
          MemberRole::kAgent,
          [this](const StoreReply& reply, const std::vector<uint32_t>& ips) {
            OnAgentsListed(EndMemberCall(reply, "list_agents"), ips);
          });
      return;
    case MemberCall::kRegister:
      BeginMemberCall();
      m_platform->add_member(
          m_self.role, m_self.ip, [this](const StoreReply& reply) {
            const StoreResult result = EndMemberCall(reply, "add_member");
            m_discovery.OnRegistered(SteadyTime(), result);
          });
      return;
  }
}

void FleetNode::BeginMemberCall() {
  m_member_call_pending = true;
  ++m_store_calls;
}

StoreResult FleetNode::EndMemberCall(const StoreReply& reply,
                                     std::string_view call) {
  m_member_call_pending = false;
  const StoreResult result = CheckEra(reply, call);
  LogStoreTransition(result, call);
  return result;
}

void FleetNode::OnAgentsListed(StoreResult result,
                               const std::vector<uint32_t>& ips) {
  const TimePoint now = SteadyTime();
  SendContacts(now, m_discovery.OnAgentsListed(now, result, ips));
  if (result != StoreResult::kOk) {
    return;
  }
  m_discovery.OnRegistrationsCompleteAt(m_era.RegistrationsCompleteAt());
  EventLine(Severity::kInfo, "agents_listed")
      .With("registered", ips.size())
      .With("unheard", m_members.UnheardRegisteredAgents().size())
      .With("complete", m_discovery.IsListComplete());
}

void FleetNode::RejoinStore() {
  m_discovery.Rejoin(SteadyTime());
}

void FleetNode::LeaveStore() {
  m_discovery.Leave();
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
    BeginMemberCall();
    m_platform->remove_member(member.role, member.ip,
                              [this](const StoreReply& reply) {
                                EndMemberCall(reply, "remove_member");
                              });
  }
}

void FleetNode::LogReadingRole(TimePoint now, const ReadingState& before) {
  const ReadingState& reading = m_target_reader.Reading();
  if (reading.role == before.role) {
    return;
  }
  EventLine line(Severity::kInfo, "target_reading");
  line.With("role", NameOf(reading.role)).With("before", NameOf(before.role));
  const MemberEntry* newest = m_members.Find(before.newest);
  if (newest != nullptr) {
    line.With("relied_on", FormatIp(newest->member.ip))
        .With("stated_age_ms",
              ToMilliseconds(now - before.newest_current_as_of));
  }
  if (m_target_reader.LastAnswer() != TimePoint()) {
    line.With("answer_age_ms",
              ToMilliseconds(now - m_target_reader.LastAnswer()));
  }
}

void FleetNode::ReadTargets(TimePoint now) {
  const ReadingState before = m_target_reader.Reading();
  const ReadAction action =
      m_target_reader.Next(now, m_self.id, m_members, m_routes.Identity());
  LogReadingRole(now, before);
  if (action == ReadAction::kNothing) {
    return;
  }
  ++m_store_calls;
  const bool watches = action == ReadAction::kWatch;
  const auto done = [this, watches, now](const StoreReply& reply,
                                         const OperatorEntries& entries,
                                         uint64_t position) {
    const TimePoint completed_at = SteadyTime();
    CheckForStall(completed_at);
    const std::string_view call = watches ? "watch_targets" : "fetch_targets";
    const StoreResult result = CheckEra(reply, call);
    const bool was_failing = m_target_reader.IsFailing();
    const TargetVersion before_call = m_routes.Identity().version;
    if (entries.evacuations.has_value()) {
      OnStoredEvacuations(completed_at, *entries.evacuations);
    }
    if (result == StoreResult::kOk && entries.targets.has_value()) {
      m_target_reader.OnTargetsUsable(ApplyTargets(*entries.targets, "store"));
    }
    const bool was_overdue =
        m_target_reader.IsOverdue(completed_at, m_members, m_routes.Identity());
    if (watches) {
      m_target_reader.OnWatch(completed_at, result, position);
    } else {
      m_target_reader.OnRead(completed_at, result, position);
      m_store_latency.Add(completed_at - now);
    }
    LogStoreTransition(result, call);
    const bool begins_to_fail = m_target_reader.IsReader() && !was_failing &&
                                m_target_reader.IsFailing();
    // Others that are overdue as well need not read. A change was broadcast
    // already.
    const bool helps_others = was_overdue && result == StoreResult::kOk &&
                              m_routes.Identity().version == before_call;
    if (begins_to_fail || helps_others) {
      BroadcastStatusToBalancers();
    }
    ReadTargets(completed_at);
  };
  if (watches) {
    m_platform->watch_targets(m_target_reader.Position(),
                              m_target_reader.WatchTimeout(), done);
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
    EventLine line(unreachable ? Severity::kWarning : Severity::kInfo,
                   unreachable ? "store_lost" : "store_regained");
    line.With("call", call)
        .With("result", result == StoreResult::kRefused ? "refused"
                        : unreachable                   ? "no_answer"
                                                        : "ok");
    if (m_target_reader.LastAnswer() != TimePoint()) {
      line.With("answer_age_ms",
                ToMilliseconds(SteadyTime() - m_target_reader.LastAnswer()));
    }
  }
}

bool FleetNode::ApplyTargets(const StoredTargets& targets,
                             std::string_view source) {
  const TargetIdentity previous = m_routes.Identity();
  if (targets.version == previous.version) {
    return true;
  }
  Error reason;
  std::optional<RouteTable> table = m_platform->parse_targets(targets, &reason);
  if (!table.has_value()) {
    EventLine(Severity::kError, "targets_refused")
        .With("era", targets.version.era)
        .With("revision", targets.version.revision)
        .With("source", source)
        .With("reason", reason.detail);
    return false;
  }
  if (!table->unread.empty()) {
    EventLine(Severity::kError, "target_entries_ignored")
        .With("revision", targets.version.revision)
        .With("entries", table->unread.size())
        .With("reason", reason.detail);
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
    return true;
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
  return true;
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

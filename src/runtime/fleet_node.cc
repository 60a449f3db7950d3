// @file fleet_node.cc Statuses, joining, and the HTTP server for peers.
#include "src/runtime/fleet_node.h"

#include <algorithm>
#include <utility>

#include "src/core/error.h"
#include "src/core/event_log.h"

namespace medlargauge {
namespace {

constexpr Duration kTickInterval = Milliseconds(100);
/// A member takes about 50 bytes; this many fit the largest datagram that
/// UdpSocket receives.
constexpr int kMembersPerDatagram = 24;
/// Limit of the age of an era in statuses.
constexpr int64_t kMaxEraAgeMs = 3600LL * 1000;
/// Smaller differences arise because the two clocks are not read at once.
constexpr Duration kMinReportedSuspension = Milliseconds(200);
/// Time without a tick after which this process counts as stalled.
constexpr Duration kMaxRunDelay = Milliseconds(500);
/// Limit of the targets served to other members when many start at once.
constexpr uint64_t kMaxServedBytesPerSecond = 2'000'000;
constexpr std::string_view kMetricsPath = "/metrics";

/// Returns the limits of a process whose operators state these bounds.
TargetReaderLimits MakeReaderLimits(const Settings& settings) {
  TargetReaderLimits limits;
  // The same calls bring targets and evacuations.
  limits.apply_bound = Milliseconds(
      std::min(settings.targets_in_force_ms, settings.evacuation_in_force_ms));
  return limits;
}

/// Returns the IP address of a seed; 0 if it is invalid.
uint32_t ParseSeedIp(const std::string& seed) {
  const std::optional<SocketAddress4> address = ParseAddress4(seed);
  return address.has_value() ? address->ip : 0;
}

FleetMember MakeSelf(const Settings& settings, MemberRole role) {
  FleetMember self;
  self.id = MemberIdOf(settings.name);
  self.role = role;
  self.ip = ParseAddress4(settings.control_address)->ip;
  self.incarnation = static_cast<uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
  self.service = ServiceIdOf(settings.service);
  self.domain = DomainIdOf(settings.failure_domain);
  return self;
}

}  // namespace

FleetNode::FleetNode(EventLoop* loop,
                     const Settings& settings,
                     MemberRole role,
                     const PlatformHooks* platform,
                     FleetNodeHooks hooks)
    : m_loop(loop),
      m_platform(platform),
      m_hooks(std::move(hooks)),
      m_self(MakeSelf(settings, role)),
      m_peer_address(*ParseAddress4(settings.control_address)),
      m_members(m_self.id, MembershipTimeouts()),
      m_discovery(SteadyTime(), m_self, &m_members),
      m_status_schedule(role, kTickInterval, m_self.id.value),
      m_serving_budget(kMaxServedBytesPerSecond),
      m_target_keeper(m_self.id, TargetKeeperLimits()),
      m_target_reader(SteadyTime(),
                      m_self.id.value,
                      MakeReaderLimits(settings)),
      m_http_server(loop,
                    [this](const HttpRequest& request) {
                      return HandleHttpRequest(request);
                    }),
      m_last_suspended_time(SuspendedTime()),
      m_last_run(SteadyTime()) {
  m_target_reader.SetDomain(m_self.domain);
  SetSeeds(settings.seeds);
  if (settings.first_start != 0) {
    m_discovery.OnFirstStart();
  }
}

void FleetNode::SetBounds(const Settings& settings) {
  m_target_reader.SetApplyBound(MakeReaderLimits(settings).apply_bound);
}

void FleetNode::SetSeeds(const std::vector<std::string>& seeds) {
  std::vector<uint32_t> ips;
  for (const std::string& seed : seeds) {
    const uint32_t ip = ParseSeedIp(seed);
    if (ip == 0) {
      EventLine(Severity::kWarning, "seed_ignored").With("seed", seed);
    } else if (ip != m_self.ip) {
      ips.push_back(ip);
    }
  }
  const bool is_only_seed =
      std::all_of(seeds.begin(), seeds.end(), [this](const std::string& seed) {
        return ParseSeedIp(seed) == m_self.ip;
      });
  if (is_only_seed) {
    m_members.OnFleetMet();
  }
  m_discovery.SetSeeds(std::move(ips));
}

bool FleetNode::Start(Error* reason) {
  if (!m_peer_socket.Bind(m_peer_address, reason)) {
    return false;
  }
  if (!m_http_server.Listen(m_peer_address, reason)) {
    return false;
  }
  m_loop->OnReadable(m_peer_socket.Descriptor(), [this] {
    m_peer_socket.Receive([this](SocketAddress4 from, ByteSpan datagram) {
      OnDatagram(from, datagram);
    });
  });
  m_loop->Every(kTickInterval, [this] { Tick(); });
  m_loop->After(kBalancerListDelay, [this] { Tick(); });
  Tick();
  return true;
}

void FleetNode::Send(uint32_t ip, ByteView datagram) {
  m_peer_socket.Send({ip, m_peer_address.port}, datagram);
}

void FleetNode::OnDatagram(SocketAddress4 from, ByteSpan datagram) {
  const TimePoint now = SteadyTime();
  const std::optional<PeerFrame> frame = ParsePeerFrame(now, datagram);
  if (!frame.has_value()) {
    return;
  }
  if (frame->kind == PeerMessageKind::kStatus) {
    OnStatus(now, from, frame->message);
  } else {
    m_hooks.on_frame(now, from, *frame);
  }
}

void FleetNode::OnStatus(TimePoint now, SocketAddress4 from, ByteView message) {
  CheckForStall(now);
  proto::PeerStatus status;
  const bool is_valid =
      status.ParseFromArray(message.data(), static_cast<int>(message.size())) &&
      status.self().ip() == from.ip;
  if (!is_valid || MemberId{status.self().id()} == m_self.id) {
    return;
  }
  const bool was_known =
      m_members.Find(MemberId{status.self().id()}) != nullptr;
  const bool is_new = m_members.OnStatus(now, status);
  const MemberEntry* sender = m_members.Find(MemberId{status.self().id()});
  if (sender == nullptr) {
    return;
  }
  if (is_new) {
    ScheduleStatuses(now, sender->member);
  }
  if (is_new) {
    EventLine(Severity::kInfo, "member_heard")
        .With("ip", FormatIp(from.ip))
        .With("role",
              sender->member.role == MemberRole::kAgent ? "agent" : "balancer")
        .With("incarnation", sender->member.incarnation);
    if (m_discovery.MustTellBalancers(now, sender->member, was_known)) {
      m_unlisted_agents.push_back(sender->member.id);
    }
  }
  OnPeerEra(now, status);
  OnPeerEvacuations(now, *sender, status);
  if (status.not_registered()) {
    m_discovery.OnNotRegistered(now);
  }
  for (const proto::PeerMember& known : status.known()) {
    const FleetMember member = DecodeMember(now, known);
    const bool is_news = m_members.Learn(now, member, sender->protocol);
    if (is_news) {
      ScheduleStatuses(now, member);
    }
    if (is_news && member.role == MemberRole::kBalancer) {
      SendStatus(member.ip, MakeStatus(now));
    }
  }
  if (sender->member.role == MemberRole::kBalancer) {
    m_discovery.OnBalancerHeard(now);
  }
  const bool is_behind =
      m_self.role == MemberRole::kBalancer &&
      sender->member.targets.version != m_useless_version &&
      MayBeNewer(sender->member.targets, m_routes.Identity());
  if (is_behind) {
    FetchTargetsFromPeer(from.ip);
  }
  if (is_new || status.wants_members()) {
    SendMemberList(now, from.ip, sender->member.role, status.wants_members());
  }
}

void FleetNode::SendMemberList(TimePoint now,
                               uint32_t ip,
                               MemberRole role,
                               bool with_members) {
  std::vector<const FleetMember*> listed;
  if (with_members) {
    listed = m_members.KnownPeersFor(now, role);
  }
  for (const proto::PeerStatus& response :
       MakeMemberLists(now, listed, kMembersPerDatagram,
                       [this, now] { return MakeStatus(now); })) {
    SendStatus(ip, response);
  }
}

proto::PeerStatus FleetNode::MakeStatus(TimePoint now) {
  m_hooks.update_self(now, &m_self);
  m_self.targets = StoredIdentity();
  proto::PeerStatus status;
  *status.mutable_self() = EncodeMember(now, m_self);
  status.set_sequence(++m_status_sequence);
  status.set_protocol(kProtocolVersion);
  status.set_leaving(m_leaving);
  status.set_members(static_cast<uint32_t>(m_members.FleetSize(m_self.role)));
  status.set_agents_heard(m_self.role == MemberRole::kBalancer
                              ? m_members.CountLiveAgents(now)
                              : m_members.LargestReportedAgents(now));
  status.set_serving_digest(m_self.role == MemberRole::kBalancer
                                ? m_members.ServingDigest(now)
                                : m_members.LargestReportedDigest(now));
  EncodeEvacuations(status.mutable_evacuations());
  status.set_store_failing(m_target_reader.IsFailing());
  status.set_store_era(m_era.Era());
  const std::optional<Duration> era_age = m_era.Age(now);
  if (era_age.has_value()) {
    const int64_t age_ms = std::min(ToMilliseconds(*era_age), kMaxEraAgeMs);
    status.set_era_age_ms(static_cast<uint32_t>(age_ms) + 1);
  }
  const TimePoint current_as_of =
      m_target_reader.CurrentAsOf(m_members, m_routes.Identity());
  if (current_as_of != TimePoint()) {
    status.set_checked_ms(
        static_cast<uint32_t>(ToMilliseconds(now - current_as_of)) + 1);
  }
  return status;
}

void FleetNode::SendStatus(uint32_t ip, const proto::PeerStatus& status) {
  Send(ip, m_frame_writer.Message(PeerMessageKind::kStatus, status));
}

void FleetNode::ScheduleStatuses(TimePoint now, const FleetMember& member) {
  if (IsStatusReceiver(member)) {
    m_status_schedule.Add(now, member.id, m_members.FleetSize(m_self.role));
  }
}

void FleetNode::BroadcastStatus() {
  const TimePoint now = SteadyTime();
  const proto::PeerStatus status = MakeStatus(now);
  for (const auto& [id, entry] : m_members.Entries()) {
    if (IsStatusReceiver(entry.member)) {
      SendStatus(entry.member.ip, status);
    }
  }
  m_status_schedule.OnSentToAll(now, m_members.FleetSize(m_self.role));
}

void FleetNode::BroadcastStatusToBalancers() {
  const proto::PeerStatus status = MakeStatus(SteadyTime());
  for (const auto& [id, entry] : m_members.Entries()) {
    if (entry.member.role == MemberRole::kBalancer) {
      SendStatus(entry.member.ip, status);
    }
  }
}

void FleetNode::SendDueStatuses(TimePoint now) {
  const std::vector<MemberId> due =
      m_status_schedule.TakeDue(now, m_members.FleetSize(m_self.role));
  if (due.empty()) {
    return;
  }
  const proto::PeerStatus status = MakeStatus(now);
  for (const MemberId receiver : due) {
    const MemberEntry* entry = m_members.Find(receiver);
    if (entry == nullptr) {
      m_status_schedule.Remove(receiver);
    } else {
      SendStatus(entry->member.ip, status);
    }
  }
}

void FleetNode::TellOfUnlistedAgents(TimePoint now) {
  std::vector<const FleetMember*> agents;
  for (const MemberId id : std::exchange(m_unlisted_agents, {})) {
    const MemberEntry* entry = m_members.Find(id);
    if (entry != nullptr) {
      agents.push_back(&entry->member);
    }
  }
  for (const proto::PeerStatus& status :
       MakeMemberLists(now, agents, kMembersPerDatagram,
                       [this, now] { return MakeStatus(now); })) {
    for (const auto& [id, entry] : m_members.Entries()) {
      if (entry.member.role == MemberRole::kBalancer &&
          m_members.IsReachable(now, entry)) {
        SendStatus(entry.member.ip, status);
      }
    }
  }
}

void FleetNode::StartLeaving() {
  m_leaving = true;
  BroadcastStatus();
}

void FleetNode::CheckForStall(TimePoint now) {
  const Duration suspended_time = SuspendedTime();
  if (suspended_time - m_last_suspended_time > kMinReportedSuspension) {
    EventLine(Severity::kWarning, "host_was_suspended")
        .With("ms", ToMilliseconds(suspended_time - m_last_suspended_time));
    m_target_reader.OnSuspended(now);
  } else if (now - m_last_run > kMaxRunDelay) {
    m_target_reader.OnStalled(now);
  }
  m_last_suspended_time = suspended_time;
  m_last_run = now;
}

void FleetNode::Tick() {
  const TimePoint now = SteadyTime();
  CheckForStall(now);
  LogOtherBuilds(now);
  TickEvacuations(now);
  DeregisterForgottenMembers(now, m_members.OnTick(now));
  SendDueStatuses(now);
  if (!m_unlisted_agents.empty()) {
    TellOfUnlistedAgents(now);
  }
  SendContacts(now, m_discovery.TakeContacts(now));
  CallStoreForMembers(now);
  if (m_self.role == MemberRole::kBalancer) {
    RetryTargetFetch(now);
    ReadTargets(now);
  } else {
    KeepTargets(now);
  }
}

void FleetNode::LogOtherBuilds(TimePoint now) {
  const auto [members, lowest] = m_members.CountOtherProtocols(now);
  const bool differ = members > 0;
  if (differ == m_builds_differ) {
    return;
  }
  m_builds_differ = differ;
  EventLine(Severity::kInfo, differ ? "builds_differ" : "builds_agree")
      .With("protocol", kProtocolVersion)
      .With("lowest", lowest)
      .With("members", members)
      .With("waiting", MissingFeatures(lowest));
}

void FleetNode::SendContacts(TimePoint now,
                             const std::vector<MemberContact>& contacts) {
  if (contacts.empty()) {
    return;
  }
  proto::PeerStatus status = MakeStatus(now);
  for (const MemberContact& contact : contacts) {
    status.set_wants_members(contact.wants_members);
    status.set_not_registered(contact.not_registered);
    SendStatus(contact.ip, status);
  }
}

std::string FleetNode::RenderStats() {
  const TimePoint now = SteadyTime();
  Stats stats;
  stats.Set(Stat::members_heard,
            m_members.CountReachable(now, MemberRole::kBalancer) +
                m_members.CountReachable(now, MemberRole::kAgent));
  stats.Set(Stat::members_other_protocol,
            m_members.CountOtherProtocols(now).first);
  stats.Set(Stat::target_revision, m_stored_targets.version.revision);
  stats.Set(Stat::target_bytes, m_stored_targets.value.size());
  stats.Set(Stat::target_fetches, m_target_fetches);
  stats.Set(Stat::targets_served, m_targets_served);
  stats.Set(Stat::store_calls, m_store_calls);
  stats.Set(Stat::store_era, m_era.Era());
  stats.Set(Stat::evacuated_domains, m_evacuations.InForce().size());
  stats.Set(Stat::evacuation_revision, m_evacuations.State().version.revision);
  stats.Set(Stat::store_answers_ignored, m_unusable_store_answers);
  stats.Set(Latency::store_call_ms, m_store_latency);
  const TimePoint current_as_of =
      m_target_reader.CurrentAsOf(m_members, m_routes.Identity());
  if (current_as_of != TimePoint()) {
    stats.Set(Stat::store_check_age_ms,
              static_cast<uint64_t>(ToMilliseconds(now - current_as_of)));
  }
  if (m_target_reader.LastAnswer() != TimePoint()) {
    stats.Set(Stat::store_answer_age_ms,
              static_cast<uint64_t>(
                  ToMilliseconds(now - m_target_reader.LastAnswer())));
  }
  m_hooks.fill_stats(now, &stats);
  return stats.Render();
}

HttpResponse FleetNode::HandleHttpRequest(const HttpRequest& request) {
  HttpResponse response;
  if (request.path == kMetricsPath) {
    response.status = 200;
    response.body = RenderStats();
    response.content_type = "text/plain; version=0.0.4";
    return response;
  }
  const bool has_targets =
      request.path == kTargetsPath && m_stored_targets.version.revision != 0;
  const bool may_serve =
      has_targets &&
      m_serving_budget.Take(SteadyTime(), m_stored_targets.value.size());
  response.status = may_serve ? 200 : has_targets ? 503 : 404;
  if (may_serve) {
    ++m_targets_served;
    const TargetVersion& version = m_stored_targets.version;
    response.body =
        std::to_string(version.revision) + "\n" + m_stored_targets.value;
    if (version.era != 0) {
      response.headers[kTargetsEraHeader] = std::to_string(version.era);
    }
  }
  return response;
}

}  // namespace medlargauge

// @file fleet.cc Statuses, joining, and what is shown of it all.
#include "src/runtime/fleet.h"

#include <algorithm>

#include "src/core/error.h"
#include "src/core/event_log.h"

namespace medlargauge {
namespace {

constexpr Duration kTick = Milliseconds(100);
/// About 50 bytes each: fits the largest datagram that is read.
constexpr int kMembersPerDatagram = 24;
constexpr Duration kJoinSlow = Seconds(5);          ///< Repairs lost news.
constexpr Duration kStoreGrace = Milliseconds(60);  ///< Seeds come first.
/// Serving comes before being found by those who start later.
constexpr Duration kRegisterGrace = Milliseconds(1500);
/// Clocks that disagree by less were read one after the other.
constexpr Duration kSuspensionNoticed = Milliseconds(200);
constexpr std::string_view kMetricsPath = "/metrics";

uint32_t SeedIp(const std::string& seed) {
  const std::optional<SocketAddress4> address = ParseAddress4(seed);
  return address.has_value() ? address->ip : 0;
}

SteerMember MakeSelf(const Settings& settings, MemberRole role) {
  SteerMember self;
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
      m_roster(m_self.id, RosterTimeouts()),
      m_pace(role, kTick, m_self.id.value),
      m_reader(SteadyTime(), m_self.id.value, TargetReaderLimits()),
      m_server(loop,
               [this](const HttpRequest& request) { return Serve(request); }),
      m_list_deadline(SteadyTime() + kStoreGrace),
      m_register_deadline(SteadyTime() + kRegisterGrace),
      m_suspended(SuspendedTime()) {
  SetSeeds(settings.seeds);
}

void FleetNode::SetSeeds(const std::vector<std::string>& seeds) {
  m_seeds.clear();
  for (const std::string& seed : seeds) {
    const uint32_t ip = SeedIp(seed);
    if (ip != 0 && ip != m_self.ip) {
      m_seeds.push_back(ip);
    }
  }
}

bool FleetNode::Start(Error* reason) {
  if (!m_socket.Bind(m_peer_address, reason)) {
    return false;
  }
  if (!m_server.Listen(m_peer_address, reason)) {
    return false;
  }
  m_loop->OnReadable(m_socket.Descriptor(), [this] {
    m_socket.Receive([this](SocketAddress4 from, ByteSpan datagram) {
      OnDatagram(from, datagram);
    });
  });
  m_loop->Every(kTick, [this] { Tick(); });
  m_loop->After(kStoreGrace, [this] { Tick(); });
  Tick();
  return true;
}

void FleetNode::Send(uint32_t ip, ByteView datagram) {
  m_socket.Send({ip, m_peer_address.port}, datagram);
}

void FleetNode::OnDatagram(SocketAddress4 from, ByteSpan datagram) {
  const TimePoint now = SteadyTime();
  const std::optional<PeerFrame> frame = ParsePeerFrame(now, datagram);
  if (!frame.has_value()) {
    return;
  }
  if (frame->kind == PeerKind::kStatus) {
    OnStatus(now, from, frame->message);
  } else {
    m_hooks.on_frame(now, from, *frame);
  }
}

void FleetNode::OnStatus(TimePoint now, SocketAddress4 from, ByteView message) {
  proto::PeerStatus status;
  const bool usable =
      status.ParseFromArray(message.data(), static_cast<int>(message.size())) &&
      status.self().ip() == from.ip;
  if (!usable || MemberId{status.self().id()} == m_self.id) {
    return;
  }
  const bool is_new = m_roster.OnStatus(now, status);
  const RosterEntry* sender = m_roster.Find(MemberId{status.self().id()});
  if (sender == nullptr) {
    return;
  }
  if (is_new) {
    EventLine(Severity::kInfo, "member_heard")
        .With("ip", FormatIp(from.ip))
        .With("role",
              sender->member.role == MemberRole::kAgent ? "agent" : "balancer")
        .With("incarnation", sender->member.incarnation);
  }
  for (const proto::PeerMember& known : status.known()) {
    m_roster.Learn(now, DecodeMember(now, known));
  }
  if (sender->member.role == MemberRole::kBalancer) {
    m_peer_heard = now;
    const bool behind = m_self.role == MemberRole::kBalancer &&
                        sender->member.revision > m_routes.Revision();
    if (behind) {
      FetchFromPeer(from.ip);
    }
  }
  if (is_new || status.wants_members()) {
    SendKnown(now, from.ip, sender->member.role, status.wants_members());
  }
}

void FleetNode::SendKnown(TimePoint now,
                          uint32_t ip,
                          MemberRole role,
                          bool with_members) {
  proto::PeerStatus answer = MakeStatus(now);
  std::vector<const SteerMember*> named;
  if (with_members) {
    named = m_roster.ListFor(now, role);
  }
  for (const SteerMember* member : named) {
    *answer.add_known() = EncodeMember(now, *member);
    if (answer.known_size() == kMembersPerDatagram) {
      SendStatus(ip, answer);
      answer = MakeStatus(now);
    }
  }
  SendStatus(ip, answer);
}

proto::PeerStatus FleetNode::MakeStatus(TimePoint now) {
  m_hooks.describe(now, &m_self);
  m_self.revision = m_routes.Revision();
  proto::PeerStatus status;
  *status.mutable_self() = EncodeMember(now, m_self);
  status.set_sequence(++m_sequence);
  status.set_leaving(m_leaving);
  status.set_members(static_cast<uint32_t>(m_roster.FleetSize(m_self.role)));
  if (m_reader.Checked() != TimePoint()) {
    status.set_checked_ms(
        static_cast<uint32_t>(ToMilliseconds(now - m_reader.Checked())) + 1);
  }
  return status;
}

void FleetNode::SendStatus(uint32_t ip, const proto::PeerStatus& status) {
  Send(ip, m_writer.Message(PeerKind::kStatus, status));
}

void FleetNode::Announce() {
  const TimePoint now = SteadyTime();
  const proto::PeerStatus status = MakeStatus(now);
  for (const auto& [id, entry] : m_roster.Entries()) {
    const bool wanted = m_self.role == MemberRole::kBalancer ||
                        entry.member.role == MemberRole::kBalancer;
    if (wanted) {
      SendStatus(entry.member.ip, status);
    }
  }
  m_pace.OnSent(now, m_roster.FleetSize(m_self.role));
}

void FleetNode::StartLeaving() {
  m_leaving = true;
  Announce();
}

void FleetNode::Tick() {
  const TimePoint now = SteadyTime();
  const Duration suspended = SuspendedTime();
  if (suspended - m_suspended > kSuspensionNoticed) {
    EventLine(Severity::kWarning, "host_was_suspended")
        .With("ms", ToMilliseconds(suspended - m_suspended));
    m_reader.OnSuspended();
  }
  m_suspended = suspended;
  RemoveForgotten(now, m_roster.OnTick(now));
  if (m_pace.IsDue(now)) {
    Announce();
  }
  if (now >= m_join_deadline) {
    Join(now);
  }
  if (!m_store_busy && !m_leaving) {
    AskStoreForPeers(now);
    RegisterInStore(now);
  }
  if (m_self.role == MemberRole::kBalancer) {
    ReadTargets(now);
  }
}

void FleetNode::Join(TimePoint now) {
  const bool alone = m_roster.CountHeard(now, MemberRole::kBalancer) == 0;
  m_join_attempts = alone ? m_join_attempts + 1 : 0;
  m_join_deadline = now + (alone ? JoinRetry(m_join_attempts) : kJoinSlow);
  proto::PeerStatus status = MakeStatus(now);
  status.set_wants_members(true);
  if (alone) {
    for (const uint32_t seed : m_seeds) {
      SendStatus(seed, status);
    }
    return;
  }
  // Another one each time: news that was lost on the way is repaired.
  std::vector<uint32_t> balancers;
  for (const auto& [id, entry] : m_roster.Entries()) {
    if (entry.member.role == MemberRole::kBalancer &&
        m_roster.IsHeard(now, entry)) {
      balancers.push_back(entry.member.ip);
    }
  }
  SendStatus(balancers[MixHash(m_self.id.value, m_sequence) % balancers.size()],
             status);
}

std::string FleetNode::RenderStats() {
  const TimePoint now = SteadyTime();
  Stats stats;
  stats.Set(Stat::members_heard,
            m_roster.CountHeard(now, MemberRole::kBalancer) +
                m_roster.CountHeard(now, MemberRole::kAgent));
  stats.Set(Stat::target_revision, m_routes.Revision());
  stats.Set(Stat::store_calls, m_store_calls);
  stats.Set(Latency::store_call_ms, m_store_latency);
  if (m_reader.Checked() != TimePoint()) {
    stats.Set(Stat::store_check_age_ms,
              static_cast<uint64_t>(ToMilliseconds(now - m_reader.Checked())));
  }
  m_hooks.measure(now, &stats);
  return stats.Render();
}

HttpResponse FleetNode::Serve(const HttpRequest& request) {
  HttpResponse answer;
  if (request.path == kMetricsPath) {
    answer.status = 200;
    answer.body = RenderStats();
    answer.content_type = "text/plain; version=0.0.4";
    return answer;
  }
  const bool known = request.path == kTargetsPath && m_stored.revision != 0;
  answer.status = known ? 200 : 404;
  if (known) {
    answer.body = std::to_string(m_stored.revision) + "\n" + m_stored.value;
  }
  return answer;
}

}  // namespace medlargauge

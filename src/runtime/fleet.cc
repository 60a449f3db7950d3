// @file fleet.cc Statuses, joining, and reading or fetching targets.
#include "src/runtime/fleet.h"

#include <algorithm>
#include <charconv>

#include "src/core/error.h"
#include "src/core/event_log.h"
#include "src/target/reader_choice.h"

namespace medlargauge {
namespace {

constexpr Duration kTick = Milliseconds(100);
/// About 50 bytes each: fits the largest datagram that is read.
constexpr int kMembersPerDatagram = 24;
constexpr Duration kJoinSlow = Seconds(5);          ///< Repairs lost news.
constexpr Duration kStoreGrace = Milliseconds(60);  ///< Seeds come first.
/// Serving comes before being found by those who start later.
constexpr Duration kRegisterGrace = Milliseconds(1500);
/// Others may have removed the entry while this host was cut off.
constexpr Duration kRegisterRepeat = Seconds(600);
constexpr Duration kStoreRetry = Seconds(3);
constexpr Duration kLonely = Milliseconds(1500);  ///< All balancers silent.
constexpr Duration kPeerCall = Milliseconds(800);
/// Clocks that disagree by less were read one after the other.
constexpr Duration kSuspensionNoticed = Milliseconds(200);
constexpr std::string_view kTargetsPath = "/targets";
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

Fleet::Fleet(EventLoop* loop,
             const Settings& settings,
             MemberRole role,
             const PlatformHooks* platform,
             FleetHooks hooks)
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

void Fleet::SetSeeds(const std::vector<std::string>& seeds) {
  m_seeds.clear();
  for (const std::string& seed : seeds) {
    const uint32_t ip = SeedIp(seed);
    if (ip != 0 && ip != m_self.ip) {
      m_seeds.push_back(ip);
    }
  }
}

bool Fleet::Start(Error* reason) {
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

void Fleet::Send(uint32_t ip, ByteView datagram) {
  m_socket.Send({ip, m_peer_address.port}, datagram);
}

void Fleet::OnDatagram(SocketAddress4 from, ByteSpan datagram) {
  const TimePoint now = SteadyTime();
  const std::optional<PeerFrame> frame = ReadPeerFrame(now, datagram);
  if (!frame.has_value()) {
    return;
  }
  if (frame->kind == PeerKind::kStatus) {
    OnStatus(now, from, frame->message);
  } else {
    m_hooks.on_frame(now, from, *frame);
  }
}

void Fleet::OnStatus(TimePoint now, SocketAddress4 from, ByteView message) {
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

void Fleet::SendKnown(TimePoint now,
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

proto::PeerStatus Fleet::MakeStatus(TimePoint now) {
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

void Fleet::SendStatus(uint32_t ip, const proto::PeerStatus& status) {
  Send(ip, m_writer.Message(PeerKind::kStatus, status));
}

void Fleet::Announce() {
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

void Fleet::StartLeaving() {
  m_leaving = true;
  Announce();
}

void Fleet::Tick() {
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

void Fleet::Join(TimePoint now) {
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

void Fleet::AskStoreForPeers(TimePoint now) {
  const bool starts = m_peer_heard == TimePoint();
  const bool alone = m_roster.CountHeard(now, MemberRole::kBalancer) == 0 &&
                     (starts || now - m_peer_heard >= kLonely);
  if (!alone || now < m_list_deadline) {
    return;
  }
  m_store_busy = true;
  m_list_deadline = now + kStoreRetry;
  ++m_store_calls;
  m_platform->list_balancers(
      [this](StoreResult result, const std::vector<uint32_t>& ips) {
        m_store_busy = false;
        NoteStore(result, "list_balancers");
        const TimePoint then = SteadyTime();
        proto::PeerStatus status = MakeStatus(then);
        status.set_wants_members(true);
        for (const uint32_t ip : ips) {
          if (ip != m_self.ip) {
            SendStatus(ip, status);
          }
        }
      });
}

void Fleet::RegisterInStore(TimePoint now) {
  const bool due = m_self.role == MemberRole::kBalancer && !m_store_busy &&
                   now >= m_register_deadline;
  if (!due) {
    return;
  }
  m_store_busy = true;
  m_register_deadline = now + kStoreRetry;
  ++m_store_calls;
  m_platform->add_balancer(m_self.ip, [this](StoreResult result) {
    m_store_busy = false;
    if (result == StoreResult::kOk) {
      m_register_deadline = SteadyTime() + kRegisterRepeat;
    }
    NoteStore(result, "add_balancer");
  });
}

void Fleet::RemoveForgotten(TimePoint now,
                            const std::vector<SteerMember>& forgotten) {
  if (forgotten.empty() || m_self.role != MemberRole::kBalancer) {
    return;
  }
  std::vector<MemberId> balancers{m_self.id};
  for (const auto& [id, entry] : m_roster.Entries()) {
    if (entry.member.role == MemberRole::kBalancer &&
        m_roster.IsHeard(now, entry)) {
      balancers.push_back(id);
    }
  }
  const bool chosen = ChooseReaders(balancers, 1).front() == m_self.id;
  for (const SteerMember& member : forgotten) {
    if (!chosen || m_store_busy || member.role != MemberRole::kBalancer) {
      continue;  // One that stays only costs newcomers a datagram.
    }
    m_store_busy = true;
    ++m_store_calls;
    m_platform->remove_balancer(member.ip, [this](StoreResult result) {
      m_store_busy = false;
      NoteStore(result, "remove_balancer");
    });
  }
}

void Fleet::ReadTargets(TimePoint now) {
  const TargetReaderLimits limits;
  const ReadAction action =
      m_reader.Next(now, m_self.id, m_roster, m_routes.Revision());
  if (action == ReadAction::kNothing) {
    return;
  }
  ++m_store_calls;
  const bool watches = action == ReadAction::kWatch;
  const auto done = [this, watches, now](
                        StoreResult result,
                        const std::optional<StoredTargets>& targets,
                        uint64_t position) {
    const TimePoint then = SteadyTime();
    if (watches) {
      m_reader.OnWatch(then, result, position);
    } else {
      m_reader.OnRead(then, result, position);
      m_store_latency.Add(then - now);
    }
    NoteStore(result, watches ? "watch_targets" : "fetch_targets");
    if (targets.has_value()) {
      Adopt(*targets, "store");
    }
    ReadTargets(then);
  };
  if (watches) {
    m_platform->watch_targets(m_reader.Position(), limits.wait, done);
  } else {
    m_platform->fetch_targets(done);
  }
}

void Fleet::NoteStore(StoreResult result, std::string_view call) {
  const bool lost =
      result == StoreResult::kRefused || result == StoreResult::kNoAnswer;
  if (lost != m_store_lost) {
    m_store_lost = lost;
    EventLine(lost ? Severity::kWarning : Severity::kInfo,
              lost ? "store_lost" : "store_regained")
        .With("call", call)
        .With("result", result == StoreResult::kRefused ? "refused"
                        : lost                          ? "no_answer"
                                                        : "ok");
  }
}

void Fleet::Adopt(const StoredTargets& targets, std::string_view source) {
  if (targets.revision <= m_routes.Revision()) {
    return;
  }
  Error reason;
  std::optional<RouteTable> table = m_platform->read_targets(targets, &reason);
  if (!table.has_value()) {
    EventLine(Severity::kError, "targets_refused")
        .With("revision", targets.revision)
        .With("source", source)
        .With("reason", reason.detail);
    return;
  }
  const uint64_t before = m_routes.Revision();
  const uint64_t version = table->version;
  const size_t routes = table->routes.size();
  m_routes.Adopt(std::move(*table));
  m_stored = targets;
  EventLine(Severity::kInfo, "targets_in_force")
      .With("revision", targets.revision)
      .With("version", version)
      .With("before", before)
      .With("routes", routes)
      .With("source", source);
  Announce();
}

void Fleet::FetchFromPeer(uint32_t ip) {
  if (m_fetch != nullptr && m_fetch->IsBusy()) {
    return;
  }
  m_fetch = std::make_unique<HttpClient>(
      m_loop, SocketAddress4{ip, m_peer_address.port});
  m_fetch->Send(
      "GET", std::string(kTargetsPath), "", kPeerCall,
      [this, ip](const HttpAnswer& answer) {
        StoredTargets targets;
        const char* begin = answer.body.data();
        const char* end = begin + answer.body.size();
        const auto number = std::from_chars(begin, end, targets.revision);
        const bool usable = answer.status == 200 && number.ec == std::errc() &&
                            number.ptr != end && *number.ptr == '\n';
        if (!usable) {
          EventLine(Severity::kWarning, "peer_gave_no_targets")
              .With("ip", FormatIp(ip))
              .With("status", answer.status);
          return;
        }
        targets.value.assign(number.ptr + 1, end);
        Adopt(targets, "peer");
      });
}

std::string Fleet::RenderStats() {
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

HttpAnswer Fleet::Serve(const HttpRequest& request) {
  HttpAnswer answer;
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

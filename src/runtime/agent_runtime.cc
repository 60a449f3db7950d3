// @file agent_runtime.cc Packets between balancers, backend server and callers.
#include "src/runtime/agent_runtime.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "src/core/error.h"
#include "src/core/event_log.h"

namespace medlargauge {
namespace {

constexpr Duration kTick = Milliseconds(50);
constexpr Duration kCheckInterval = Milliseconds(200);
constexpr Duration kStopMargin = Milliseconds(1500);
constexpr Duration kStopCheck = Milliseconds(20);
constexpr Duration kStopNotice = Milliseconds(60);  ///< News reaches balancers.

ByteView ToView(ByteSpan span) {
  return {span.data, span.size};
}

std::string_view StateName(AgentState state) {
  switch (state) {
    case AgentState::kJoining:
      return "unsure";
    case AgentState::kReady:
      return "ready";
    case AgentState::kDraining:
      return "draining";
    case AgentState::kGone:
      return "gone";
  }
  return "";
}

}  // namespace

AgentRuntime::AgentRuntime(EventLoop* loop,
                           const Settings& settings,
                           const PlatformHooks* platform)
    : m_loop(loop),
      m_settings(settings),
      m_platform(platform),
      m_server(*ParseAddress4(settings.backend_address)),
      m_caller_port(ParseAddress4(settings.data_address)->port),
      m_gate(settings.service, m_server, GateLimits()),
      m_fleet(
          loop,
          settings,
          MemberRole::kAgent,
          platform,
          {[this](TimePoint now, SteerMember* self) {
             self->state = m_gate.State(now);
             self->load = m_gate.Load(now);
             m_told = self->state;
           },
           [this](TimePoint now, SocketAddress4 from, const PeerFrame& frame) {
             OnFrame(now, from, frame);
           },
           [this](TimePoint, Stats* stats) { Measure(stats); }}),
      m_reports(
          loop,
          [this](const HttpRequest& request) { return AnswerServer(request); }),
      m_admin(loop, [this](const HttpRequest& request) {
        return AnswerCheck(request);
      }) {}

AgentRuntime::~AgentRuntime() {
  if (m_check_fd >= 0) {
    close(m_check_fd);
  }
}

bool AgentRuntime::Start(Error* reason) {
  const bool bound =
      m_outbound.Bind(*ParseAddress4(m_settings.outbound_address), reason) &&
      m_reports.Listen(*ParseAddress4(m_settings.report_address), reason) &&
      m_admin.Listen(*ParseAddress4(m_settings.admin_address), reason) &&
      m_fleet.Start(reason);
  if (!bound) {
    return false;
  }
  m_loop->OnReadable(m_outbound.Descriptor(), [this] {
    const TimePoint now = SteadyTime();
    m_outbound.Receive([this, now](SocketAddress4 from, ByteSpan datagram) {
      if (from.ip == m_server.ip) {
        OnServerDatagram(now, datagram);
      }
    });
  });
  m_loop->Every(kTick, [this] { Tick(); });
  return true;
}

void AgentRuntime::OnFrame(TimePoint now,
                           SocketAddress4 from,
                           const PeerFrame& frame) {
  if (frame.kind == PeerKind::kPointer) {
    proto::FlowPointer pointer;
    if (pointer.ParseFromArray(frame.message.data(),
                               static_cast<int>(frame.message.size()))) {
      m_gate.OnPointer(now, FlowOf(pointer), MemberId{pointer.owner()});
    }
    return;
  }
  if (frame.kind != PeerKind::kForward) {
    return;
  }
  const std::optional<FlowPacket> packet =
      m_platform->parse_packet(ToView(frame.packet), true);
  if (!packet.has_value()) {
    return;
  }
  const GateDecision decision =
      m_gate.OnForwarded(now, from.ip, frame.header, *packet);
  if (decision.kind == GateDecision::Kind::kDeliver) {
    Confirm(now, decision, packet->flow);
    m_platform->tag_packet(frame.packet, from.ip);
    m_outbound.Send(m_server, ToView(frame.packet));
    const bool shown = packet->syn || !packet->request_id.empty();
    if (shown && FlowLog::IsSampled(packet->flow)) {
      EventLine(Severity::kInfo, "flow_delivered")
          .With("flow", FlowName(packet->flow))
          .With("caller", FormatAddress(packet->flow.caller))
          .With("request", packet->request_id)
          .With("from", FormatIp(from.ip))
          .With("active", m_gate.Active())
          .With("revision", frame.header.revision);
    }
  } else if (decision.kind == GateDecision::Kind::kReturn) {
    SendBack(now, decision, *packet, frame.packet);
  }
}

void AgentRuntime::OnServerDatagram(TimePoint now, ByteSpan datagram) {
  const std::optional<FlowPacket> packet =
      m_platform->parse_packet(ToView(datagram), false);
  if (!packet.has_value()) {
    return;
  }
  const GateDecision decision = m_gate.OnServerPacket(now, *packet);
  if (decision.kind == GateDecision::Kind::kReturn) {
    SendBack(now, decision, *packet, datagram);
    return;
  }
  if (decision.kind != GateDecision::Kind::kToCaller) {
    return;
  }
  m_outbound.Send({packet->flow.caller.ip, m_caller_port}, ToView(datagram));
  LogAnswer(now, *packet, decision);
  Confirm(now, decision, packet->flow);
}

void AgentRuntime::Confirm(TimePoint now,
                           const GateDecision& decision,
                           const FlowKey& flow) {
  if (!decision.confirm) {
    return;
  }
  proto::FlowNote note;
  SetFlow(flow, &note);
  *note.mutable_load() = EncodeLoad(now, m_gate.Load(now));
  note.set_proven(decision.proven);
  m_fleet.Send(decision.balancer_ip,
               m_fleet.Writer().Message(PeerKind::kNote, note));
}

void AgentRuntime::LogAnswer(TimePoint now,
                             const FlowPacket& packet,
                             const GateDecision& decision) {
  const bool bad = packet.answer == AnswerKind::kFailure ||
                   packet.answer == AnswerKind::kRefused;
  if (!bad || !m_log.MayReport(now)) {
    return;
  }
  EventLine(Severity::kInfo, "request_failed")
      .With("flow", FlowName(packet.flow))
      .With("request", decision.request_id)
      .With("reason", packet.answer == AnswerKind::kRefused ? "server_refused"
                                                            : "server_failed")
      .With("active", m_gate.Active())
      .With("failing", m_gate.Load(now).failing);
}

void AgentRuntime::SendBack(TimePoint now,
                            const GateDecision& decision,
                            const FlowPacket& packet,
                            ByteSpan datagram) {
  if (m_log.MayReport(now)) {
    EventLine(Severity::kInfo, "flow_returned")
        .With("flow", FlowName(packet.flow))
        .With("to", FormatIp(decision.balancer_ip))
        .With("reason", ReasonName(decision.reason))
        .With("opening", packet.syn)
        .With("active", m_gate.Active())
        .With("service_us", m_gate.Load(now).service_us);
  }
  m_platform->tag_packet(datagram, 0);
  m_fleet.Send(decision.balancer_ip,
               m_fleet.Writer().Return(now, decision.reason, decision.owner,
                                       m_gate.Load(now), ToView(datagram)));
}

HttpResponse AgentRuntime::AnswerServer(const HttpRequest& request) {
  const TimePoint now = SteadyTime();
  HttpResponse answer;
  Error reason;
  const std::optional<ServerMessage> message =
      m_platform->parse_server_message(request, &reason);
  if (!message.has_value()) {
    EventLine(Severity::kWarning, "server_report_refused")
        .With("reason", reason.detail);
    answer.status = 400;
    return answer;
  }
  if (message->leaves) {
    const bool known = m_gate.OnDeregister(now, message->report.id);
    EventLine(Severity::kInfo, "server_left")
        .With("id", message->report.id)
        .With("known", known);
    answer.status = 200;
    AnnounceChange(now);
    return answer;
  }
  const ReportOutcome outcome = m_gate.OnReport(now, message->report);
  if (outcome != ReportOutcome::kTaken) {
    EventLine(Severity::kWarning, "server_report_ignored")
        .With("id", message->report.id)
        .With("sequence", message->report.sequence)
        .With("reason", outcome == ReportOutcome::kLate ? "late" : "foreign");
  }
  answer.status = outcome == ReportOutcome::kForeign ? 400 : 200;
  answer.body = "{}";
  AnnounceChange(now);
  return answer;
}

void AgentRuntime::AnnounceChange(TimePoint now) {
  const AgentState state = m_gate.State(now);
  if (state == m_told) {
    return;
  }
  EventLine(Severity::kInfo, "server_state")
      .With("before", StateName(m_told))
      .With("now", StateName(state))
      .With("active", m_gate.Active());
  m_fleet.Announce();
}

void AgentRuntime::Tick() {
  const TimePoint now = SteadyTime();
  m_gate.OnTick(now);
  CheckServer(now);
  AnnounceChange(now);
}

void AgentRuntime::CheckServer(TimePoint now) {
  if (m_check_fd >= 0) {
    int failure = 0;
    socklen_t length = sizeof(failure);
    getsockopt(m_check_fd, SOL_SOCKET, SO_ERROR, &failure, &length);
    close(m_check_fd);
    m_check_fd = -1;
    if (failure == ECONNREFUSED) {
      OnServerDown(now);
    }
    return;
  }
  if (now < m_check_deadline || !m_gate.WantsCheck(now)) {
    return;
  }
  m_check_deadline = now + kCheckInterval;
  m_check_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_addr.s_addr = htonl(m_server.ip);
  target.sin_port = htons(m_server.port);
  if (connect(m_check_fd, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) != 0 &&
      errno == ECONNREFUSED) {
    OnServerDown(now);
  }
}

void AgentRuntime::OnServerDown(TimePoint now) {
  const std::vector<GateReset> resets = m_gate.OnServerDown(now);
  for (const GateReset& reset : resets) {
    const std::string packet =
        m_platform->make_reset(reset.flow, reset.acknowledged);
    m_outbound.Send(
        {reset.flow.caller.ip, m_caller_port},
        {reinterpret_cast<const uint8_t*>(packet.data()), packet.size()});
    if (m_log.MayReport(now)) {
      EventLine(Severity::kInfo, "flow_reset")
          .With("flow", FlowName(reset.flow))
          .With("caller", FormatAddress(reset.flow.caller))
          .With("request", reset.request_id)
          .With("reason", "server_down");
    }
  }
  EventLine(Severity::kWarning, "server_down").With("resets", resets.size());
  AnnounceChange(now);
}

void AgentRuntime::Measure(Stats* stats) const {
  const GateCounters& counters = m_gate.Counters();
  uint64_t returned = 0;
  for (const uint64_t count : counters.returned) {
    returned += count;
  }
  stats->Set(Stat::flows, m_gate.FlowCount());
  stats->Set(Stat::flows_opened, counters.opened);
  stats->Set(Stat::packets_delivered, counters.delivered);
  stats->Set(Stat::packets_returned, returned);
  stats->Set(Stat::packets_bounced,
             counters.returned[static_cast<size_t>(ReturnReason::kBounced)]);
  stats->Set(Stat::requests_active, m_gate.Active());
  stats->Set(Stat::requests_answered, counters.answers);
  stats->Set(Stat::requests_failed, counters.failed);
  stats->Set(Stat::requests_refused, counters.refused);
  stats->Set(Stat::resets_server_down, counters.resets);
  stats->Set(Stat::send_failures, m_outbound.SendFailures());
  stats->Set(Latency::opening_ms, counters.opening);
  stats->Set(Latency::first_answer_ms, counters.first_answer);
}

HttpResponse AgentRuntime::AnswerCheck(const HttpRequest& request) const {
  HttpResponse answer;
  answer.status = request.path == m_platform->ready_path ? 200 : 404;
  if (answer.status == 200 && m_stopping) {
    answer.status = 503;
  }
  return answer;
}

void AgentRuntime::Stop() {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  m_gate.StartLeaving();
  const TimePoint now = SteadyTime();
  m_stop_earliest = now + kStopNotice;
  m_stop_latest = now + Milliseconds(m_settings.stop_grace_ms) - kStopMargin;
  m_fleet.StartLeaving();
  EndIfIdle();
}

void AgentRuntime::EndIfIdle() {
  const TimePoint now = SteadyTime();
  const bool idle = now >= m_stop_earliest && m_gate.Active() == 0;
  if (idle || now >= m_stop_latest) {
    EventLine(Severity::kInfo, "stopped").With("active", m_gate.Active());
    m_loop->Stop();
    return;
  }
  m_loop->After(kStopCheck, [this] { EndIfIdle(); });
}

void AgentRuntime::Reload(const Settings& settings) {
  m_settings.stop_grace_ms = settings.stop_grace_ms;
  m_fleet.SetSeeds(settings.seeds);
}

}  // namespace medlargauge

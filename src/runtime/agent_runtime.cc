// @file agent_runtime.cc The agent process: event handlers around
// AgentForwarder.
#include "src/runtime/agent_runtime.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "src/core/error.h"
#include "src/core/event_log.h"
#include "src/forwarding/evacuation/unaware_fleet.h"

namespace medlargauge {
namespace {

constexpr Duration kTickInterval = Milliseconds(50);
constexpr Duration kProbeInterval = Milliseconds(200);
/// Time in which a probe of a port without a listener is refused and noticed.
constexpr Duration kProbeTime = 2 * kTickInterval;
/// A planned stop is over at the latest this long before the grace period ends.
constexpr Duration kStopMargin = Milliseconds(1500);
constexpr Duration kStopPollInterval = Milliseconds(20);
/// Time allowed for the status that announces a planned stop to reach all
/// balancers.
constexpr Duration kStopNoticeTime = Milliseconds(60);

ByteView ToView(ByteSpan span) {
  return {span.data, span.size};
}

/// Returns the name of a state of the backend server in logs.
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
      m_server_address(*ParseAddress4(settings.backend_address)),
      m_caller_port(ParseAddress4(settings.data_address)->port),
      m_forwarder(settings.service, m_server_address, ForwarderLimits()),
      m_fleet_node(
          loop,
          settings,
          MemberRole::kAgent,
          platform,
          {[this](TimePoint now, FleetMember* self) {
             self->state = m_forwarder.State(now);
             self->load = m_forwarder.Load(now);
             m_announced_state = self->state;
           },
           [this](TimePoint now, SocketAddress4 from, const PeerFrame& frame) {
             OnPeerFrame(now, from, frame);
           },
           [this](TimePoint, Stats* stats) { FillStats(stats); },
           [this](const Evacuations&) {
             UpdateDomainAdmission(SteadyTime());
           }}),
      m_report_server(loop,
                      [this](const HttpRequest& request) {
                        return HandleServerReport(request);
                      }),
      m_admin_server(loop, [this](const HttpRequest& request) {
        return HandleReadinessCheck(request);
      }) {}

void AgentRuntime::UpdateDomainAdmission(TimePoint now) {
  DomainAdmission admission = m_fleet_node.EvacuatedDomains().AdmissionOf(
      DomainIdOf(m_settings.failure_domain));
  if (admission == DomainAdmission::kUnknown &&
      IsFleetUnawareOfEvacuations(now, m_fleet_node.Members())) {
    admission = DomainAdmission::kOpen;
  }
  m_forwarder.SetDomainAdmission(admission, m_unknown_until);
}

AgentRuntime::~AgentRuntime() {
  if (m_probe_fd >= 0) {
    close(m_probe_fd);
  }
}

bool AgentRuntime::Start(Error* reason) {
  m_unknown_until = SteadyTime() + kUnknownEvacuationTime;
  m_forwarder.SetColdRateBounds(
      {m_settings.warmup_overshoot, m_settings.warmup_slack});
  m_forwarder.OnStart(SteadyTime());
  UpdateDomainAdmission(SteadyTime());
  const bool bound =
      m_outbound_socket.Bind(*ParseAddress4(m_settings.outbound_address),
                             reason) &&
      m_report_server.Listen(*ParseAddress4(m_settings.report_address),
                             reason) &&
      m_admin_server.Listen(*ParseAddress4(m_settings.admin_address), reason) &&
      m_fleet_node.Start(reason);
  if (!bound) {
    return false;
  }
  m_loop->OnReadable(m_outbound_socket.Descriptor(), [this] {
    const TimePoint now = SteadyTime();
    m_outbound_socket.Receive(
        [this, now](SocketAddress4 from, ByteSpan datagram) {
          if (from.ip == m_server_address.ip) {
            OnServerDatagram(now, datagram);
          }
        });
  });
  m_loop->Every(kTickInterval, [this] { Tick(); });
  return true;
}

void AgentRuntime::OnPeerFrame(TimePoint now,
                               SocketAddress4 from,
                               const PeerFrame& frame) {
  if (frame.kind == PeerMessageKind::kPointer) {
    proto::FlowPointer pointer;
    if (pointer.ParseFromArray(frame.message.data(),
                               static_cast<int>(frame.message.size()))) {
      m_forwarder.OnPointer(now, FlowOf(pointer), MemberId{pointer.owner()});
    }
    return;
  }
  if (frame.kind == PeerMessageKind::kQuery) {
    AnswerQuery(now, from.ip, frame.message);
    return;
  }
  if (frame.kind != PeerMessageKind::kForward) {
    return;
  }
  const std::optional<FlowPacket> packet =
      m_platform->parse_packet(ToView(frame.packet), true);
  if (!packet.has_value()) {
    return;
  }
  const ForwarderDecision decision =
      m_forwarder.OnForwarded(now, from.ip, frame.header, *packet);
  if (decision.kind == ForwarderDecision::Kind::kDeliver) {
    ConfirmFlow(now, decision, packet->flow);
    m_platform->tag_packet(frame.packet, from.ip);
    m_outbound_socket.Send(m_server_address, ToView(frame.packet));
    const bool begins_flow_or_request =
        packet->syn || !packet->request_id.empty();
    if (begins_flow_or_request && FlowLog::IsSampled(packet->flow)) {
      EventLine(Severity::kInfo, "flow_delivered")
          .With("flow", FlowName(packet->flow))
          .With("caller", FormatAddress(packet->flow.caller))
          .With("request", packet->request_id)
          .With("from", FormatIp(from.ip))
          .With("active", m_forwarder.ActiveRequests())
          .With("revision", frame.header.revision);
    }
  } else if (decision.kind == ForwarderDecision::Kind::kReturn) {
    ReturnToBalancer(now, decision, *packet, frame.packet);
  }
}

void AgentRuntime::AnswerQuery(TimePoint now,
                               uint32_t balancer_ip,
                               ByteView message) {
  proto::FlowQuery query;
  if (!query.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    return;
  }
  proto::FlowAnswer answer;
  answer.set_id(query.id());
  answer.set_knows_all(m_forwarder.KnowsAllFlows(now));
  for (const uint32_t index : m_forwarder.FindHeldFlows(
           {query.flows().begin(), query.flows().end()})) {
    answer.add_held(index);
  }
  m_fleet_node.Send(balancer_ip, m_fleet_node.Writer().Message(
                                     PeerMessageKind::kAnswer, answer));
}

void AgentRuntime::OnServerDatagram(TimePoint now, ByteSpan datagram) {
  const std::optional<FlowPacket> packet =
      m_platform->parse_packet(ToView(datagram), false);
  if (!packet.has_value()) {
    return;
  }
  const ForwarderDecision decision = m_forwarder.OnServerPacket(now, *packet);
  if (decision.kind == ForwarderDecision::Kind::kReturn) {
    ReturnToBalancer(now, decision, *packet, datagram);
    return;
  }
  if (decision.kind != ForwarderDecision::Kind::kToCaller) {
    return;
  }
  m_outbound_socket.Send({packet->flow.caller.ip, m_caller_port},
                         ToView(datagram));
  LogFailedRequest(now, *packet, decision);
  ConfirmFlow(now, decision, packet->flow);
}

void AgentRuntime::ConfirmFlow(TimePoint now,
                               const ForwarderDecision& decision,
                               const FlowKey& flow) {
  if (!decision.confirm) {
    return;
  }
  proto::FlowNote note;
  SetFlow(flow, &note);
  *note.mutable_load() = EncodeLoad(now, m_forwarder.LoadFor(now, flow.route));
  note.set_proven(decision.proven);
  m_fleet_node.Send(decision.balancer_ip, m_fleet_node.Writer().Message(
                                              PeerMessageKind::kNote, note));
}

void AgentRuntime::LogFailedRequest(TimePoint now,
                                    const FlowPacket& packet,
                                    const ForwarderDecision& decision) {
  const bool failed = packet.answer == AnswerKind::kFailure ||
                      packet.answer == AnswerKind::kRefused;
  if (!failed || !m_flow_log.AllowLine(now, FlowLineClass::kRefusal)) {
    return;
  }
  EventLine(Severity::kInfo, "request_failed")
      .With("flow", FlowName(packet.flow))
      .With("request", decision.request_id)
      .With("reason", packet.answer == AnswerKind::kRefused ? "server_refused"
                                                            : "server_failed")
      .With("active", m_forwarder.ActiveRequests())
      .With("failing", m_forwarder.Load(now).failing);
}

void AgentRuntime::ReturnToBalancer(TimePoint now,
                                    const ForwarderDecision& decision,
                                    const FlowPacket& packet,
                                    ByteSpan datagram) {
  if (m_flow_log.AllowLine(now, FlowLineClass::kRefusal)) {
    EventLine(Severity::kInfo, "flow_returned")
        .With("flow", FlowName(packet.flow))
        .With("to", FormatIp(decision.balancer_ip))
        .With("reason", ReturnReasonName(decision.reason))
        .With("opening", packet.syn)
        .With("other_server", decision.foreign_ack)
        .With("active", m_forwarder.ActiveRequests())
        .With("service_us", m_forwarder.Load(now).service_us);
  }
  if (decision.reason == ReturnReason::kEvacuated) {
    // Before the packet, so that the balancer tries no other agent of the
    // domain with it.
    m_fleet_node.SendEvacuations(now, decision.balancer_ip);
  }
  m_platform->tag_packet(datagram, 0);
  m_fleet_node.Send(
      decision.balancer_ip,
      m_fleet_node.Writer().Return(now, decision.reason, decision.owner,
                                   m_forwarder.LoadFor(now, packet.flow.route),
                                   ToView(datagram)));
}

HttpResponse AgentRuntime::HandleServerReport(const HttpRequest& request) {
  const TimePoint now = SteadyTime();
  HttpResponse response;
  Error reason;
  const std::optional<ServerMessage> message =
      m_platform->parse_server_message(request, &reason);
  if (!message.has_value()) {
    EventLine(Severity::kWarning, "server_report_refused")
        .With("reason", reason.detail);
    response.status = 400;
    return response;
  }
  if (message->leaves) {
    const bool known = m_forwarder.OnDeregister(message->report.id);
    EventLine(Severity::kInfo, "server_left")
        .With("id", message->report.id)
        .With("known", known);
    response.status = 200;
    AnnounceStateChange(now);
    return response;
  }
  const ReportOutcome outcome = m_forwarder.OnReport(now, message->report);
  if (outcome != ReportOutcome::kApplied) {
    EventLine(Severity::kWarning, "server_report_ignored")
        .With("id", message->report.id)
        .With("sequence", message->report.sequence)
        .With("reason", outcome == ReportOutcome::kStale ? "late" : "foreign");
  }
  if (outcome == ReportOutcome::kApplied) {
    m_fleet_node.RejoinStore();
  }
  response.status = outcome == ReportOutcome::kWrongServer ? 400 : 200;
  response.body = "{}";
  AnnounceStateChange(now);
  return response;
}

void AgentRuntime::AnnounceStateChange(TimePoint now) {
  const AgentState state = m_forwarder.State(now);
  if (state == m_announced_state) {
    return;
  }
  EventLine(Severity::kInfo, "server_state")
      .With("before", StateName(m_announced_state))
      .With("now", StateName(state))
      .With("active", m_forwarder.ActiveRequests());
  m_fleet_node.BroadcastStatus();
}

void AgentRuntime::Tick() {
  const TimePoint now = SteadyTime();
  UpdateDomainAdmission(now);
  m_forwarder.OnTick(now);
  ProbeServer(now);
  AnnounceStateChange(now);
  LogRestriction(now);
}

void AgentRuntime::LogRestriction(TimePoint now) {
  const bool is_restricted = IsRestricted(m_forwarder.Load(now));
  if (is_restricted == m_was_restricted) {
    return;
  }
  m_was_restricted = is_restricted;
  EventLine(Severity::kWarning,
            is_restricted ? "server_restricted" : "server_unrestricted")
      .With("unanswered", m_forwarder.Counters().unanswered)
      .With("active", m_forwarder.ActiveRequests());
}

void AgentRuntime::ProbeServer(TimePoint now) {
  if (m_probe_fd >= 0) {
    int socket_error = 0;
    socklen_t length = sizeof(socket_error);
    getsockopt(m_probe_fd, SOL_SOCKET, SO_ERROR, &socket_error, &length);
    close(m_probe_fd);
    m_probe_fd = -1;
    // A heartbeat or packet that came meanwhile is newer than the refusal.
    const bool is_refused = socket_error == ECONNREFUSED;
    if (is_refused && m_forwarder.NeedsServerProbe(now)) {
      OnServerDown(now);
    } else if (!is_refused) {
      m_forwarder.OnServerListens();
    }
    return;
  }
  if (now < m_next_probe || !m_forwarder.NeedsServerProbe(now)) {
    return;
  }
  m_next_probe = now + kProbeInterval;
  m_probe_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_addr.s_addr = htonl(m_server_address.ip);
  target.sin_port = htons(m_server_address.port);
  if (connect(m_probe_fd, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) != 0 &&
      errno == ECONNREFUSED) {
    OnServerDown(now);
  }
}

void AgentRuntime::OnServerDown(TimePoint now) {
  if (m_forwarder.IsDepartureUnconfirmed()) {
    m_fleet_node.LeaveStore();
  }
  const std::vector<FlowReset> resets = m_forwarder.OnServerDown(now);
  for (const FlowReset& reset : resets) {
    const std::string packet =
        m_platform->make_reset(reset.flow, reset.acknowledged);
    m_outbound_socket.Send(
        {reset.flow.caller.ip, m_caller_port},
        {reinterpret_cast<const uint8_t*>(packet.data()), packet.size()});
    if (m_flow_log.AllowLine(now, FlowLineClass::kOpenFlow)) {
      EventLine(Severity::kWarning, "flow_reset")
          .With("flow", FlowName(reset.flow))
          .With("caller", FormatAddress(reset.flow.caller))
          .With("request", reset.request_id)
          .With("reason", "server_down");
    }
  }
  EventLine(Severity::kWarning, "server_down").With("resets", resets.size());
  AnnounceStateChange(now);
}

void AgentRuntime::FillStats(Stats* stats) const {
  const ForwarderCounters& counters = m_forwarder.Counters();
  uint64_t returned = 0;
  for (const uint64_t count : counters.returned) {
    returned += count;
  }
  stats->Set(Stat::flows, m_forwarder.FlowCount());
  stats->Set(Stat::flows_opened, counters.opened);
  stats->Set(Stat::packets_delivered, counters.delivered);
  stats->Set(Stat::packets_returned, returned);
  stats->Set(Stat::packets_bounced,
             counters.returned[static_cast<size_t>(ReturnReason::kBounced)]);
  stats->Set(Stat::returned_evacuated,
             counters.returned[static_cast<size_t>(ReturnReason::kEvacuated)]);
  stats->Set(Stat::returned_cold, counters.returned_cold);
  stats->Set(Stat::requests_active, m_forwarder.ActiveRequests());
  stats->Set(Stat::requests_answered, counters.answers);
  stats->Set(Stat::requests_failed, counters.failed);
  stats->Set(Stat::requests_refused, counters.refused);
  stats->Set(Stat::requests_unanswered, counters.unanswered);
  stats->Set(Stat::server_restricted, m_was_restricted ? 1 : 0);
  stats->Set(Stat::resets_server_down, counters.resets);
  stats->Set(Stat::foreign_acks, counters.foreign_acks);
  stats->Set(Stat::send_failures, m_outbound_socket.SendFailures());
  stats->Set(Latency::opening_ms, counters.opening);
  stats->Set(Latency::first_answer_ms, counters.first_answer);
}

HttpResponse AgentRuntime::HandleReadinessCheck(
    const HttpRequest& request) const {
  HttpResponse response;
  response.status = request.path == m_platform->ready_path ? 200 : 404;
  if (response.status == 200 && m_stopping) {
    response.status = 503;
  }
  return response;
}

void AgentRuntime::Stop() {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  m_forwarder.StartLeaving();
  const TimePoint now = SteadyTime();
  m_stop_earliest = now + kStopNoticeTime;
  m_stop_deadline = now + Milliseconds(m_settings.stop_grace_ms) - kStopMargin;
  m_fleet_node.StartLeaving();
  if (m_forwarder.NeedsServerProbe(now)) {
    m_stop_earliest += kProbeTime;
    ProbeServer(now);
  }
  FinishStopIfIdle();
}

void AgentRuntime::FinishStopIfIdle() {
  const TimePoint now = SteadyTime();
  const bool idle = now >= m_stop_earliest &&
                    m_forwarder.ActiveRequests() == 0 &&
                    !m_forwarder.IsDepartureUnconfirmed();
  if (idle || now >= m_stop_deadline) {
    EventLine(Severity::kInfo, "stopped")
        .With("active", m_forwarder.ActiveRequests());
    m_loop->Stop();
    return;
  }
  m_loop->After(kStopPollInterval, [this] { FinishStopIfIdle(); });
}

void AgentRuntime::Reload(const Settings& settings) {
  m_settings.stop_grace_ms = settings.stop_grace_ms;
  m_fleet_node.SetSeeds(settings.seeds);
}

}  // namespace medlargauge

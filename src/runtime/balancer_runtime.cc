// @file balancer_runtime.cc Packets of callers to agents.
#include "src/runtime/balancer_runtime.h"

#include <algorithm>

#include "src/core/error.h"
#include "src/core/event_log.h"

namespace medlargauge {
namespace {

/// Routers check twice a second and move on after two misses.
constexpr Duration kRoutersMoveOn = Milliseconds(1700);
constexpr Duration kNoMorePackets = Milliseconds(400);
constexpr Duration kStopMargin = Milliseconds(1000);
constexpr Duration kStopCheck = Milliseconds(50);
/// Opening packets that are due within this are handled in one wake-up.
constexpr Duration kTimerSlack = Milliseconds(15);

ByteView ToView(ByteSpan span) {
  return {span.data, span.size};
}

}  // namespace

BalancerRuntime::BalancerRuntime(EventLoop* loop,
                                 const Settings& settings,
                                 const PlatformHooks* platform)
    : m_loop(loop),
      m_settings(settings),
      m_platform(platform),
      m_fleet(
          loop,
          settings,
          MemberRole::kBalancer,
          platform,
          {[](TimePoint, SteerMember* self) {
             self->state = AgentState::kReady;
           },
           [this](TimePoint now, SocketAddress4 from, const PeerFrame& frame) {
             OnFrame(now, from, frame);
           },
           [this](TimePoint, Stats* stats) { Measure(stats); }}),
      m_director(SteadyTime(),
                 DomainIdOf(settings.failure_domain),
                 &m_fleet.Members(),
                 &m_fleet.Routes(),
                 DirectorLimits(),
                 &PlaceBySample),
      m_admin(loop, [this](const HttpRequest& request) {
        return AnswerCheck(request);
      }) {}

bool BalancerRuntime::Start(Error* reason) {
  const bool bound =
      m_callers.Bind(*ParseAddress4(m_settings.data_address), reason) &&
      m_admin.Listen(*ParseAddress4(m_settings.admin_address), reason) &&
      m_fleet.Start(reason);
  if (!bound) {
    return false;
  }
  m_loop->OnReadable(m_callers.Descriptor(), [this] {
    const TimePoint now = SteadyTime();
    m_callers.Receive([this, now](SocketAddress4 /*from*/, ByteSpan datagram) {
      OnCallerDatagram(now, datagram);
    });
    ArmTimer();
  });
  return true;
}

void BalancerRuntime::OnCallerDatagram(TimePoint now, ByteSpan datagram) {
  const std::optional<FlowPacket> packet =
      m_platform->parse_packet(ToView(datagram), true);
  if (!packet.has_value() || packet->bounced) {
    return;
  }
  m_last_packet = now;
  Act(now, m_director.OnCallerPacket(now, *packet, ToView(datagram)), *packet,
      ToView(datagram));
}

void BalancerRuntime::OnFrame(TimePoint now,
                              SocketAddress4 from,
                              const PeerFrame& frame) {
  RosterEntry* sender =
      m_fleet.Members().FindByAddress(from.ip, MemberRole::kAgent);
  if (sender == nullptr) {
    return;
  }
  const MemberId id = sender->member.id;
  if (frame.kind == PeerKind::kNote) {
    proto::FlowNote note;
    if (!note.ParseFromArray(frame.message.data(),
                             static_cast<int>(frame.message.size()))) {
      return;
    }
    m_fleet.Members().OnLoad(now, id, DecodeLoad(now, note.load()));
    m_director.OnHeld(now, id, FlowOf(note), note.proven());
  } else if (frame.kind == PeerKind::kReturn) {
    m_fleet.Members().OnLoad(now, id, frame.load);
    const ByteView raw = ToView(frame.packet);
    const std::optional<FlowPacket> packet =
        m_platform->parse_packet(raw, true);
    if (packet.has_value()) {
      if (m_log.MayReport(now)) {
        EventLine(Severity::kInfo, "flow_returned")
            .With("flow", FlowName(packet->flow))
            .With("by", FormatIp(from.ip))
            .With("reason", ReasonName(frame.reason))
            .With("opening", packet->syn)
            .With("active", frame.load.active)
            .With("slots", frame.load.slots);
      }
      Act(now,
          m_director.OnReturned(now, id, frame.reason, frame.owner, *packet),
          *packet, raw);
      ArmTimer();
    }
  }
}

void BalancerRuntime::LogDecision(TimePoint now,
                                  const SteerDecision& decision,
                                  const FlowPacket& packet) {
  const bool forwards = decision.kind == SteerDecision::Kind::kForward;
  const bool shown = forwards ? packet.syn && FlowLog::IsSampled(packet.flow)
                              : m_log.MayReport(now);
  if (!shown) {
    return;
  }
  EventLine line(Severity::kInfo, forwards ? "flow_forwarded"
                                  : decision.kind == SteerDecision::Kind::kReset
                                      ? "flow_reset"
                                      : "packet_dropped");
  line.With("flow", FlowName(packet.flow))
      .With("caller", FormatAddress(packet.flow.caller))
      .With("route", FormatAddress(packet.flow.route))
      .With("opening", packet.syn)
      .With("revision", m_fleet.Routes().Revision());
  const RosterEntry* agent = m_fleet.Members().Find(decision.agent);
  if (forwards && agent != nullptr) {
    line.With("agent", FormatIp(agent->member.ip))
        .With("active", agent->member.load.active)
        .With("pending", agent->pending)
        .With("age_ms", ToMilliseconds(now - agent->heard));
  } else {
    line.With("reason", Describe(decision.error).text);
  }
}

void BalancerRuntime::Act(TimePoint now,
                          const SteerDecision& decision,
                          const FlowPacket& packet,
                          ByteView raw) {
  LogDecision(now, decision, packet);
  switch (decision.kind) {
    case SteerDecision::Kind::kForward: {
      const RosterEntry* agent = m_fleet.Members().Find(decision.agent);
      if (agent != nullptr) {
        m_fleet.Send(agent->member.ip,
                     m_fleet.Writer().Forward(decision.header, raw));
      }
      break;
    }
    case SteerDecision::Kind::kReset: {
      const std::string reset =
          m_platform->make_reset(packet.flow, packet.acknowledged);
      m_callers.Send(
          {packet.flow.caller.ip, ParseAddress4(m_settings.data_address)->port},
          {reinterpret_cast<const uint8_t*>(reset.data()), reset.size()});
      break;
    }
    case SteerDecision::Kind::kDrop:
      break;
  }
}

void BalancerRuntime::ArmTimer() {
  const std::optional<TimePoint> deadline = m_director.NextDeadline();
  if (m_timer_armed || !deadline.has_value()) {
    return;
  }
  m_timer_armed = true;
  const Duration left = *deadline - SteadyTime();
  m_loop->After(std::max(left, Duration()) + kTimerSlack,
                [this] { RunTimers(); });
}

void BalancerRuntime::RunTimers() {
  m_timer_armed = false;
  const TimePoint now = SteadyTime();
  for (const SteerResend& resend : m_director.OnTick(now)) {
    FlowPacket packet;
    packet.flow = resend.flow;
    packet.syn = true;
    if (m_log.MayReport(now)) {
      EventLine(Severity::kWarning, "flow_unanswered")
          .With("flow", FlowName(resend.flow))
          .With("tried_ms", ToMilliseconds(DirectorLimits().opening_answer));
    }
    Act(now, resend.decision, packet,
        {reinterpret_cast<const uint8_t*>(resend.packet.data()),
         resend.packet.size()});
  }
  SendPointers();
  ArmTimer();
}

void BalancerRuntime::SendPointers() {
  for (const SteerPointer& pointer : m_director.TakePointers()) {
    const RosterEntry* home = m_fleet.Members().Find(pointer.home);
    if (home == nullptr) {
      continue;
    }
    proto::FlowPointer message;
    SetFlow(pointer.flow, &message);
    message.set_owner(pointer.owner.value);
    m_fleet.Send(home->member.ip,
                 m_fleet.Writer().Message(PeerKind::kPointer, message));
  }
}

void BalancerRuntime::Measure(Stats* stats) const {
  const DirectorCounters& counters = m_director.Counters();
  const auto rejected = [&counters](ErrorKind kind) {
    return counters.rejected[static_cast<size_t>(kind)];
  };
  stats->Set(Stat::flows, m_director.FlowCount());
  stats->Set(Stat::flows_opened, counters.opened);
  stats->Set(Stat::packets_forwarded, counters.forwarded);
  stats->Set(Stat::searches, counters.searches);
  stats->Set(Stat::search_steps, counters.search_steps);
  stats->Set(Stat::late_openings, counters.late_openings);
  stats->Set(Stat::busy_returns, counters.busy_returns);
  stats->Set(Stat::resets_overload, rejected(ErrorKind::kOverloaded));
  stats->Set(Stat::resets_no_agent, rejected(ErrorKind::kNoAgent));
  stats->Set(Stat::resets_unknown, rejected(ErrorKind::kFlowUnknown));
  stats->Set(Stat::unrouted, rejected(ErrorKind::kUnknownAddress));
  stats->Set(Stat::send_failures, m_callers.SendFailures());
}

HttpResponse BalancerRuntime::AnswerCheck(const HttpRequest& request) {
  HttpResponse answer;
  if (request.path != m_platform->ready_path) {
    answer.status = 404;
    return answer;
  }
  const bool ready = !m_stopping && m_director.CanServe(SteadyTime());
  if (ready != m_ready) {
    m_ready = ready;
    EventLine(Severity::kInfo, ready ? "ready" : "not_ready")
        .With("revision", m_fleet.Routes().Revision())
        .With("agents_heard",
              m_fleet.Members().CountHeard(SteadyTime(), MemberRole::kAgent));
  }
  answer.status = ready ? 200 : 503;
  return answer;
}

void BalancerRuntime::Stop() {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  const TimePoint now = SteadyTime();
  m_stop_earliest = now + kRoutersMoveOn;
  m_stop_latest = now + Milliseconds(m_settings.stop_grace_ms) - kStopMargin;
  m_fleet.StartLeaving();
  m_director.PointToAll(now);
  SendPointers();
  EndIfIdle();
}

void BalancerRuntime::EndIfIdle() {
  const TimePoint now = SteadyTime();
  const bool idle =
      now >= m_stop_earliest && now - m_last_packet >= kNoMorePackets;
  if (idle || now >= m_stop_latest) {
    EventLine(Severity::kInfo, "stopped")
        .With("flows", m_director.FlowCount())
        .With("idle", idle);
    m_loop->Stop();
    return;
  }
  m_loop->After(kStopCheck, [this] { EndIfIdle(); });
}

void BalancerRuntime::Reload(const Settings& settings) {
  m_settings.stop_grace_ms = settings.stop_grace_ms;
  m_fleet.SetSeeds(settings.seeds);
}

}  // namespace medlargauge

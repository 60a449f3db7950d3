// @file balancer_runtime.cc The balancer process: event handlers around
// FlowDirector.
#include "src/runtime/balancer_runtime.h"

#include <algorithm>

#include "src/core/error.h"
#include "src/core/event_log.h"

namespace medlargauge {
namespace {

/// Time in which routers stop sending packets here: they run the readiness
/// check twice a second and choose another balancer after two failures.
constexpr Duration kRouterFailoverTime = Milliseconds(1700);
/// A stopping balancer counts as idle after this long without a caller packet.
constexpr Duration kCallerQuietTime = Milliseconds(400);
/// A planned stop is over at the latest this long before the grace period ends.
constexpr Duration kStopMargin = Milliseconds(1000);
constexpr Duration kStopPollInterval = Milliseconds(50);
/// OnTimer runs this much late, so that one call handles all opening packets
/// that are due by then.
constexpr Duration kTimerSlack = Milliseconds(15);
constexpr Duration kProbeCheckInterval = Milliseconds(100);
/// Two probes of an agent fit between unreachable and suspected, so that one of
/// them may be lost.
constexpr Duration kProbeTimeout = Milliseconds(400);
/// Probes that run at a time; at most 160 a second go to hosts that are down.
constexpr size_t kMaxProbes = 64;

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
      m_fleet_node(
          loop,
          settings,
          MemberRole::kBalancer,
          platform,
          {[](TimePoint, FleetMember* self) {
             self->state = AgentState::kReady;
           },
           [this](TimePoint now, SocketAddress4 from, const PeerFrame& frame) {
             OnPeerFrame(now, from, frame);
           },
           [this](TimePoint, Stats* stats) { FillStats(stats); },
           [this](const Evacuations& evacuations) {
             m_director.SetEvacuatedDomains(evacuations.InForce());
           }}),
      m_director(SteadyTime(),
                 DomainIdOf(settings.failure_domain),
                 &m_fleet_node.Members(),
                 &m_fleet_node.Routes(),
                 DirectorLimits(),
                 settings.placement == "expected_finish" ? &PlaceByFinishTime
                                                         : &PlaceBySample),
      m_admin_server(loop,
                     [this](const HttpRequest& request) {
                       return HandleReadinessCheck(request);
                     }),
      m_host_prober(loop, kMaxProbes) {}

bool BalancerRuntime::Start(Error* reason) {
  const bool bound =
      m_caller_socket.Bind(*ParseAddress4(m_settings.data_address), reason) &&
      m_admin_server.Listen(*ParseAddress4(m_settings.admin_address), reason) &&
      m_fleet_node.Start(reason);
  if (!bound) {
    return false;
  }
  m_loop->OnReadable(m_caller_socket.Descriptor(), [this] {
    const TimePoint now = SteadyTime();
    UpdateTargetOutlook(now);
    m_caller_socket.Receive(
        [this, now](SocketAddress4 /*from*/, ByteSpan datagram) {
          OnCallerDatagram(now, datagram);
        });
    ArmTimer();
  });
  m_loop->Every(kProbeCheckInterval, [this] { ProbeSilentAgents(); });
  return true;
}

void BalancerRuntime::ProbeSilentAgents() {
  const TimePoint now = SteadyTime();
  const uint16_t port = ParseAddress4(m_settings.control_address)->port;
  MembershipTable& members = m_fleet_node.Members();
  for (const MemberId agent :
       members.TakeDueProbes(now, m_host_prober.FreeSlots())) {
    m_host_prober.Start(
        {members.Find(agent)->member.ip, port}, now + kProbeTimeout,
        [this, agent](ProbeOutcome outcome) { OnProbe(agent, outcome); });
  }
}

void BalancerRuntime::OnCallerDatagram(TimePoint now, ByteSpan datagram) {
  const std::optional<FlowPacket> packet =
      m_platform->parse_packet(ToView(datagram), true);
  if (!packet.has_value() || packet->bounced) {
    return;
  }
  m_last_caller_packet_at = now;
  ExecuteDecision(now,
                  m_director.OnCallerPacket(now, *packet, ToView(datagram)),
                  *packet, ToView(datagram));
}

void BalancerRuntime::OnPeerFrame(TimePoint now,
                                  SocketAddress4 from,
                                  const PeerFrame& frame) {
  MemberEntry* sender =
      m_fleet_node.Members().FindByAddress(from.ip, MemberRole::kAgent);
  if (sender == nullptr) {
    return;
  }
  const MemberId sender_id = sender->member.id;
  if (frame.kind == PeerMessageKind::kNote) {
    proto::FlowNote note;
    if (!note.ParseFromArray(frame.message.data(),
                             static_cast<int>(frame.message.size()))) {
      return;
    }
    m_fleet_node.Members().OnLoad(now, sender_id, DecodeLoad(now, note.load()));
    m_director.OnFlowConfirmed(now, sender_id, FlowOf(note), note.proven());
    if (m_director.HeldCount() > 0) {
      ExecuteDeferredDecisions(now);
    }
  } else if (frame.kind == PeerMessageKind::kAnswer) {
    proto::FlowAnswer answer;
    if (answer.ParseFromArray(frame.message.data(),
                              static_cast<int>(frame.message.size()))) {
      ExecuteDecisions(now, m_director.OnQueryAnswer(
                                now, sender_id, answer.id(), answer.knows_all(),
                                {answer.held().begin(), answer.held().end()}));
      ArmTimer();
    }
  } else if (frame.kind == PeerMessageKind::kReturn) {
    m_fleet_node.Members().OnLoad(now, sender_id, frame.load);
    const ByteView raw = ToView(frame.packet);
    const std::optional<FlowPacket> packet =
        m_platform->parse_packet(raw, true);
    if (packet.has_value()) {
      if (m_flow_log.AllowLine(now, FlowLineClass::kRefusal)) {
        EventLine(Severity::kInfo, "flow_returned")
            .With("flow", FlowName(packet->flow))
            .With("by", FormatIp(from.ip))
            .With("reason", ReturnReasonName(frame.reason))
            .With("opening", packet->syn)
            .With("active", frame.load.active)
            .With("slots", frame.load.slots);
      }
      ExecuteDecision(now,
                      m_director.OnReturned(now, sender_id, frame.reason,
                                            frame.owner, *packet, raw),
                      *packet, raw);
      ArmTimer();
    }
  }
}

void BalancerRuntime::ExecuteDecision(TimePoint now,
                                      const DirectorDecision& decision,
                                      const FlowPacket& packet,
                                      ByteView raw) {
  LogDecision(now, decision, packet);
  switch (decision.kind) {
    case DirectorDecision::Kind::kForward: {
      const MemberEntry* agent = m_fleet_node.Members().Find(decision.agent);
      if (agent != nullptr) {
        m_fleet_node.Send(agent->member.ip,
                          m_fleet_node.Writer().Forward(decision.header, raw));
      }
      break;
    }
    case DirectorDecision::Kind::kReset: {
      const std::string reset =
          m_platform->make_reset(packet.flow, packet.acknowledged);
      m_caller_socket.Send(
          {packet.flow.caller.ip, ParseAddress4(m_settings.data_address)->port},
          {reinterpret_cast<const uint8_t*>(reset.data()), reset.size()});
      break;
    }
    case DirectorDecision::Kind::kDrop:
    case DirectorDecision::Kind::kHold:
      break;
  }
}

void BalancerRuntime::ArmTimer() {
  const std::optional<TimePoint> deadline =
      m_director.NextDeadline(SteadyTime());
  if (m_timer_armed || !deadline.has_value()) {
    return;
  }
  m_timer_armed = true;
  const Duration remaining = *deadline - SteadyTime();
  m_loop->After(std::max(remaining, Duration()) + kTimerSlack,
                [this] { OnTimer(); });
}

void BalancerRuntime::OnTimer() {
  m_timer_armed = false;
  ExecuteDeferredDecisions(SteadyTime());
  SendPointers();
  ArmTimer();
}

void BalancerRuntime::UpdateTargetOutlook(TimePoint now) {
  if (m_fleet_node.Routes().Revision() == 0) {
    m_director.SetTargetOutlook(m_fleet_node.Outlook(now));
  }
}

void BalancerRuntime::ExecuteDeferredDecisions(TimePoint now) {
  UpdateTargetOutlook(now);
  ExecuteDecisions(now, m_director.OnTick(now));
  SendQueries();
}

void BalancerRuntime::SendQueries() {
  for (const OwnerQuery& query : m_director.TakeQueries()) {
    proto::FlowQuery message;
    message.set_id(query.id);
    message.mutable_flows()->Add(query.flow_hashes.begin(),
                                 query.flow_hashes.end());
    const ByteView datagram =
        m_fleet_node.Writer().Message(PeerMessageKind::kQuery, message);
    for (const MemberId agent : query.agents) {
      const MemberEntry* entry = m_fleet_node.Members().Find(agent);
      if (entry != nullptr) {
        m_fleet_node.Send(entry->member.ip, datagram);
      }
    }
  }
}

void BalancerRuntime::ExecuteDecisions(
    TimePoint now,
    const std::vector<DeferredDecision>& decisions) {
  for (const DeferredDecision& deferred : decisions) {
    if (deferred.unanswered &&
        m_flow_log.AllowLine(now, FlowLineClass::kRefusal)) {
      EventLine(Severity::kWarning, "flow_unanswered")
          .With("flow", FlowName(deferred.packet.flow))
          .With("tried_ms",
                ToMilliseconds(DirectorLimits().opening_retry_delay));
    }
    ExecuteDecision(now, deferred.decision, deferred.packet,
                    {reinterpret_cast<const uint8_t*>(deferred.raw.data()),
                     deferred.raw.size()});
  }
}

void BalancerRuntime::SendPointers() {
  for (const OwnerPointer& pointer : m_director.TakePointers()) {
    const MemberEntry* home = m_fleet_node.Members().Find(pointer.home);
    if (home == nullptr) {
      continue;
    }
    proto::FlowPointer message;
    SetFlow(pointer.flow, &message);
    message.set_owner(pointer.owner.value);
    m_fleet_node.Send(home->member.ip, m_fleet_node.Writer().Message(
                                           PeerMessageKind::kPointer, message));
  }
}

void BalancerRuntime::FillStats(Stats* stats) const {
  const DirectorCounters& counters = m_director.Counters();
  const auto rejected = [&counters](ErrorKind kind) {
    return counters.rejected[static_cast<size_t>(kind)];
  };
  stats->Set(Stat::flows, m_director.FlowCount());
  stats->Set(Stat::flows_opened, counters.opened);
  stats->Set(Stat::packets_forwarded, counters.forwarded);
  stats->Set(Stat::searches, counters.searches);
  stats->Set(Stat::search_steps, counters.search_steps);
  stats->Set(Stat::long_searches, counters.long_searches);
  stats->Set(Stat::owner_queries, counters.queries);
  stats->Set(Stat::queried_flows, counters.queried_flows);
  stats->Set(Stat::late_openings, counters.late_openings);
  stats->Set(Stat::double_openings, counters.double_openings);
  stats->Set(Stat::busy_returns, counters.busy_returns);
  stats->Set(Stat::flows_queued, counters.queued);
  stats->Set(Stat::packets_held, counters.held);
  stats->Set(Stat::packets_waiting, m_director.HeldCount());
  stats->Set(Stat::resets_overload, rejected(ErrorKind::kOverloaded));
  stats->Set(Stat::resets_evacuated, rejected(ErrorKind::kEvacuated));
  stats->Set(Stat::resets_no_agent, rejected(ErrorKind::kNoAgent));
  stats->Set(Stat::resets_no_targets, counters.target_resets);
  stats->Set(Stat::resets_unknown, rejected(ErrorKind::kFlowUnknown));
  stats->Set(Stat::resets_silence, counters.silence_resets);
  const auto probes = [this](ProbeOutcome outcome) {
    return m_probe_counts[static_cast<size_t>(outcome)];
  };
  stats->Set(Stat::probes_accepted, probes(ProbeOutcome::kAccepted));
  stats->Set(Stat::probes_refused, probes(ProbeOutcome::kRefused));
  stats->Set(Stat::probes_unanswered, probes(ProbeOutcome::kNoAnswer));
  stats->Set(Stat::unrouted, rejected(ErrorKind::kUnknownAddress));
  stats->Set(Stat::send_failures, m_caller_socket.SendFailures());
}

HttpResponse BalancerRuntime::HandleReadinessCheck(const HttpRequest& request) {
  HttpResponse response;
  if (request.path != m_platform->ready_path) {
    response.status = 404;
    return response;
  }
  const bool ready = !m_stopping && m_director.CanServe(SteadyTime());
  if (ready != m_reported_ready) {
    m_reported_ready = ready;
    EventLine(Severity::kInfo, ready ? "ready" : "not_ready")
        .With("revision", m_fleet_node.Routes().Revision())
        .With("agents_heard", m_fleet_node.Members().CountReachable(
                                  SteadyTime(), MemberRole::kAgent));
  }
  response.status = ready ? 200 : 503;
  return response;
}

void BalancerRuntime::Stop() {
  if (m_stopping) {
    return;
  }
  m_stopping = true;
  const TimePoint now = SteadyTime();
  m_stop_earliest = now + kRouterFailoverTime;
  m_stop_deadline = now + Milliseconds(m_settings.stop_grace_ms) - kStopMargin;
  m_fleet_node.StartLeaving();
  m_director.QueueAllPointers(now);
  SendPointers();
  FinishStopIfIdle();
}

void BalancerRuntime::FinishStopIfIdle() {
  const TimePoint now = SteadyTime();
  const bool idle = now >= m_stop_earliest &&
                    now - m_last_caller_packet_at >= kCallerQuietTime;
  if (idle || now >= m_stop_deadline) {
    EventLine(Severity::kInfo, "stopped")
        .With("flows", m_director.FlowCount())
        .With("idle", idle);
    m_loop->Stop();
    return;
  }
  m_loop->After(kStopPollInterval, [this] { FinishStopIfIdle(); });
}

void BalancerRuntime::Reload(const Settings& settings) {
  m_settings.stop_grace_ms = settings.stop_grace_ms;
  m_fleet_node.SetBounds(settings);
  m_fleet_node.SetSeeds(settings.seeds);
}

}  // namespace medlargauge

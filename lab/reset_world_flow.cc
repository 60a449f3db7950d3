// @file reset_world_flow.cc The flow of the reset model, its servers and its
// caller.
#include <algorithm>
#include <array>
#include <utility>

#include "lab/reset_world_state.h"

namespace medlargauge::lab {

namespace {

constexpr Duration kHeartbeatInterval = Milliseconds(1000);
constexpr Duration kMinRetransmission = Milliseconds(200);
constexpr Duration kMaxRetransmission = Milliseconds(1600);
constexpr Duration kHalfOpenTime = Seconds(10);
constexpr Duration kCopyDelay = Milliseconds(200);
constexpr Duration kOpeningTime = Milliseconds(400);
constexpr uint32_t kRequestLength = 10;
constexpr uint32_t kAnswerLength = 100;
constexpr uint32_t kServerSequence = 5'000'000;
/// A caller ignores a reset that is further from its acknowledgement number.
constexpr uint32_t kResetWindow = 76'800;
constexpr uint32_t kCallerIp = 0x64400007;

/// Delays and losses of an opening.
struct OpeningPlan {
  ModelOpening opening;
  Duration first_delay;         ///< Of the SYN-ACK of the first server asked.
  Duration later_delay;         ///< Of the SYN-ACKs of the others.
  uint32_t lost_transmissions;  ///< SYN-ACKs of the first server that are lost.
  bool has_copy;                ///< The caller sends its opening packet twice.
};

constexpr std::array<OpeningPlan, 8> kOpeningPlans = {{
    {ModelOpening::kPlain, {}, {}, 0, false},
    {ModelOpening::kRetryFirst, Milliseconds(90), Milliseconds(60), 0, false},
    {ModelOpening::kRetrySecond, Milliseconds(140), {}, 0, false},
    {ModelOpening::kRetryCrossed, Milliseconds(90), Milliseconds(60), 1, false},
    {ModelOpening::kCopyFirst, {}, Milliseconds(30), 1, true},
    {ModelOpening::kCopySecond, {}, {}, 2, true},
    {ModelOpening::kThreeFirst, Milliseconds(190), Milliseconds(100), 0, true},
    {ModelOpening::kThreeSecond, Milliseconds(270), Milliseconds(100), 0, true},
}};

const OpeningPlan& PlanOf(ModelOpening opening) {
  return kOpeningPlans[static_cast<size_t>(opening)];
}

}  // namespace

void ResetWorld::ApplyDecision(Process* balancer,
                               const DirectorDecision& decision,
                               const FlowPacket& packet) {
  Message message;
  message.from = balancer->index;
  message.packet = packet;
  if (decision.kind == DirectorDecision::Kind::kForward) {
    const MemberEntry* agent = balancer->members.Find(decision.agent);
    if (agent == nullptr) {
      return;
    }
    message.kind = Message::Kind::kForward;
    message.to = detail::ProcessAt(agent->member.ip);
    message.header = decision.header;
    Send(std::move(message));
  } else if (decision.kind == DirectorDecision::Kind::kReset) {
    constexpr std::array<std::string_view, 4> kBases = {
        "none", "quiet", "registered", "counted"};
    const ResetEvidence& evidence = decision.evidence;
    Trace(ProcessName(balancer->index) + " resets: discovery " +
          std::string(kBases[static_cast<size_t>(evidence.discovery)]) +
          ", denials " + std::to_string(evidence.denials) + ", agents " +
          std::to_string(evidence.agents));
    message.kind = Message::Kind::kToCaller;
    message.packet.rst = true;
    message.packet.syn = false;
    message.packet.sequence = packet.acknowledged;
    Send(std::move(message));
  }
}

void ResetWorld::SendAgentDecision(Process* agent,
                                   const ForwarderDecision& decision,
                                   const FlowPacket& packet) {
  Message message;
  message.from = agent->index;
  message.packet = packet;
  message.load = agent->forwarder->Load(m_state->now);
  if (decision.kind == ForwarderDecision::Kind::kReturn) {
    message.kind = Message::Kind::kReturn;
    message.to = detail::ProcessAt(decision.balancer_ip);
    message.reason = decision.reason;
    message.owner = decision.owner;
    message.packet.bounced = false;
    message.packet.tag = 0;
    Send(std::move(message));
  } else if (decision.confirm) {
    message.kind = Message::Kind::kNote;
    message.to = detail::ProcessAt(decision.balancer_ip);
    message.proven = decision.proven;
    Send(std::move(message));
  }
}

void ResetWorld::OnForwarded(Process* agent, const Message& message) {
  const ForwarderDecision decision = agent->forwarder->OnForwarded(
      m_state->now, detail::IpOf(message.from), message.header, message.packet);
  SendAgentDecision(agent, decision, message.packet);
  Trace(
      ProcessName(message.from) + " -> " + ProcessName(agent->index) +
      (message.header.search ? " search" : "") +
      (decision.kind == ForwarderDecision::Kind::kReturn
           ? " returned as " + std::to_string(static_cast<int>(decision.reason))
           : ""));
  if (decision.kind == ForwarderDecision::Kind::kDeliver) {
    TrackDelivery(agent->index, message.from, message.packet.syn);
    FlowPacket delivered = message.packet;
    delivered.tag = detail::IpOf(message.from);
    OnPacketAtServer(agent, delivered);
  }
}

void ResetWorld::OnServerDown(Process* agent) {
  if (agent->forwarder->IsDepartureUnconfirmed()) {
    agent->discovery->Leave();
    m_state->registered.erase(agent->index);
  }
  for (const FlowReset& reset : agent->forwarder->OnServerDown(m_state->now)) {
    Message message;
    message.kind = Message::Kind::kToCaller;
    message.from = agent->index;
    message.packet.flow = reset.flow;
    message.packet.rst = true;
    message.packet.sequence = reset.acknowledged;
    Send(std::move(message));
  }
}

void ResetWorld::OpenAtServer(uint32_t agent) {
  Server& server = m_state->servers[agent];
  const TimePoint now = m_state->now;
  const OpeningPlan& plan = PlanOf(m_config.opening);
  const bool is_first = m_state->caller.openings_delivered++ == 0;
  server.flow = Server::FlowState::kHalfOpen;
  server.initial_sequence =
      kServerSequence + (agent + static_cast<uint32_t>(server.starts) * 8) *
                            m_config.initial_sequence_distance;
  server.transmissions = 0;
  server.lost_transmissions = is_first ? plan.lost_transmissions : 0;
  server.next_transmission =
      now + (is_first ? plan.first_delay : plan.later_delay);
  server.half_open_until = now + kHalfOpenTime;
}

void ResetWorld::OnPacketAtServer(Process* agent, const FlowPacket& packet) {
  Server& server = m_state->servers[agent->index];
  if (!server.running) {
    return;
  }
  if (packet.syn) {
    if (server.flow == Server::FlowState::kNone) {
      OpenAtServer(agent->index);
    }
    return;  // It retransmits its SYN-ACK anyway.
  }
  const bool accepts = server.flow == Server::FlowState::kHalfOpen &&
                       packet.acknowledged == server.initial_sequence + 1;
  if (accepts) {
    server.flow = Server::FlowState::kOpen;
    server.next_sequence = server.initial_sequence + 1;
    server.next_caller_sequence = detail::kCallerSequence + 1;
  }
  if (server.flow == Server::FlowState::kHalfOpen) {
    return;  // Waits for the acknowledgement of its SYN-ACK.
  }
  FlowPacket answer;
  answer.flow = packet.flow;
  if (server.flow == Server::FlowState::kNone) {
    answer = packet;
    answer.bounced = true;
    SendFromServer(agent, answer);
    return;
  }
  const uint32_t end = packet.sequence + packet.data_length;
  if (static_cast<int32_t>(end - server.next_caller_sequence) > 0) {
    server.next_caller_sequence = end;
    server.next_sequence += kAnswerLength;
  }
  answer.from_caller = false;
  answer.ack = true;
  answer.acknowledged = server.next_caller_sequence;
  answer.sequence = server.next_sequence - kAnswerLength;
  answer.data_length = kAnswerLength;
  answer.answer = AnswerKind::kSuccess;
  SendFromServer(agent, answer);
}

void ResetWorld::SendFromServer(Process* agent, const FlowPacket& packet) {
  if (!agent->running) {
    return;
  }
  const ForwarderDecision decision =
      agent->forwarder->OnServerPacket(m_state->now, packet);
  SendAgentDecision(agent, decision, packet);
  const Server& server = m_state->servers[agent->index];
  const bool is_lost =
      packet.syn_ack && server.transmissions <= server.lost_transmissions;
  if (decision.kind == ForwarderDecision::Kind::kToCaller && !is_lost) {
    Message message;
    message.kind = Message::Kind::kToCaller;
    message.from = agent->index;
    message.packet = packet;
    Send(std::move(message));
  }
}

void ResetWorld::DeliverReport(Process* agent,
                               uint64_t start,
                               uint64_t sequence) {
  const TimePoint now = m_state->now;
  ServerReport report;
  report.id = detail::StartId(start);
  report.started_ms = start;
  report.sequence = sequence;
  report.is_first = sequence == 1;
  report.service = ServiceOf(*agent);
  report.address = {detail::IpOf(agent->index), 1};
  report.slots = detail::kServerSlots;
  const bool is_applied =
      agent->forwarder->OnReport(now, report) == ReportOutcome::kApplied;
  if (is_applied) {
    agent->discovery->Rejoin(now);
  }
  AnnounceState(agent);
}

void ResetWorld::TickServer(Process* agent) {
  Server& server = m_state->servers[agent->index];
  const TimePoint now = m_state->now;
  if (!server.running) {
    return;
  }
  if (now >= server.next_report && agent->running) {
    server.next_report = now + kHeartbeatInterval;
    DeliverReport(agent, server.starts, ++server.reports);
  }
  if (server.flow != Server::FlowState::kHalfOpen) {
    return;
  }
  if (now >= server.half_open_until) {
    server.flow = Server::FlowState::kNone;
  } else if (now >= server.next_transmission) {
    const uint32_t doublings = std::min(server.transmissions, 3U);
    server.next_transmission = now + kMinRetransmission * (1U << doublings);
    ++server.transmissions;
    FlowPacket answer = MakeCallerPacket();
    answer.from_caller = false;
    answer.syn_ack = true;
    answer.ack = true;
    answer.acknowledged = detail::kCallerSequence + 1;
    answer.sequence = server.initial_sequence;
    SendFromServer(agent, answer);
  }
}

FlowPacket ResetWorld::MakeCallerPacket() const {
  FlowPacket packet;
  packet.flow = {{kCallerIp, m_config.caller_port}, detail::kRouteAddress};
  return packet;
}

void ResetWorld::SendFromCaller(const FlowPacket& packet) {
  Message message;
  message.kind = Message::Kind::kFromCaller;
  message.packet = packet;
  Send(std::move(message));
}

void ResetWorld::OpenFlow() {
  FlowPacket packet = MakeCallerPacket();
  packet.syn = true;
  packet.sequence = detail::kCallerSequence;
  SendFromCaller(packet);
  if (PlanOf(m_config.opening).has_copy) {
    RunFor(kCopyDelay);
    m_state->caller.balancer = 1 % m_config.balancers;
    packet.acknowledged = 1;
    SendFromCaller(packet);
  }
  RunFor(kOpeningTime);
}

void ResetWorld::SendRequest() {
  Caller& caller = m_state->caller;
  caller.has_request = true;
  caller.next_transmission = m_state->now;
  caller.interval = kMinRetransmission;
}

void ResetWorld::TickCaller() {
  Caller& caller = m_state->caller;
  const TimePoint now = m_state->now;
  if (caller.stage != Caller::Stage::kOpen || !caller.has_request ||
      now < caller.next_transmission) {
    return;
  }
  caller.next_transmission = now + caller.interval;
  caller.interval = std::min<Duration>(2 * caller.interval, kMaxRetransmission);
  FlowPacket packet = MakeCallerPacket();
  packet.ack = true;
  packet.sequence = caller.sequence;
  packet.acknowledged = caller.acknowledged;
  packet.data_length = kRequestLength;
  SendFromCaller(packet);
}

void ResetWorld::OnPacketAtCaller(const Message& message) {
  Caller& caller = m_state->caller;
  const FlowPacket& packet = message.packet;
  if (packet.rst) {
    const uint32_t distance = packet.sequence - caller.acknowledged;
    const bool is_ignored = caller.stage == Caller::Stage::kOpen &&
                            std::min(distance, 0 - distance) > kResetWindow;
    if (caller.stage != Caller::Stage::kEnded && !is_ignored) {
      Trace("reset by " + ProcessName(message.from));
      CheckReset(message.from);
      caller.stage = Caller::Stage::kEnded;
    }
    return;
  }
  if (packet.syn_ack && caller.stage == Caller::Stage::kOpening) {
    caller.stage = Caller::Stage::kOpen;
    caller.owner = message.from;
    caller.owner_initial_sequence = packet.sequence;
    caller.acknowledged = packet.sequence + 1;
    SendRequest();
    return;
  }
  const bool is_answer =
      caller.stage == Caller::Stage::kOpen && caller.has_request &&
      packet.data_length > 0 && message.from == caller.owner &&
      packet.acknowledged == caller.sequence + kRequestLength;
  if (is_answer) {
    caller.has_request = false;
    caller.sequence = packet.acknowledged;
    caller.acknowledged = packet.sequence + packet.data_length;
    ++caller.answered;
    Trace("answered by " + ProcessName(message.from));
  }
}

}  // namespace medlargauge::lab

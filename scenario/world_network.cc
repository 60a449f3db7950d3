// @file world_network.cc Links and fabric of the simulated world, and the
// routing schemes.
#include <algorithm>

#include "scenario/world.h"
#include "scenario/world_internal.h"
#include "src/core/error.h"
#include "src/core/hash.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

/// Value of Envelope::query_batch for a packet that the first candidate of the
/// second-chance baseline has passed on to the second one. The short id of the
/// second candidate is in Envelope::requester.
constexpr uint8_t kPassedOn = 1;

}  // namespace

bool World::DrawBool(double probability) {
  return probability > 0 && Uniform() < probability;
}

Duration World::AddJitter(Duration delay) {
  const double factor = 0.8 + 0.4 * Uniform();
  Duration total(
      static_cast<int64_t>(factor * static_cast<double>(delay.count())));
  if (DrawBool(m_options.faults.reorder)) {
    total += Duration(static_cast<int64_t>(
        Uniform() *
        static_cast<double>(m_options.faults.reorder_delay.count())));
  }
  return total;
}

bool World::IsLinkCut(MemberId from, MemberId to) const {
  return m_cut_links.count({from, to}) > 0;
}

void World::Transmit(MemberId from,
                     MemberId to,
                     std::function<void()> arrival) {
  if (IsLinkCut(from, to) || DrawBool(m_options.faults.loss)) {
    return;
  }
  if (DrawBool(m_options.faults.duplicate)) {
    m_events.After(AddJitter(m_options.agent_delay), arrival);
  }
  m_events.After(AddJitter(m_options.agent_delay), std::move(arrival));
}

void World::SprayPacket(const PacketInfo& packet, uint64_t instance) {
  std::vector<BalancerHost*> receivers;
  for (const auto& host : m_balancers) {
    if (host->in_fabric) {
      receivers.push_back(host.get());
    }
  }
  if (receivers.empty() || DrawBool(m_options.faults.loss)) {
    return;
  }
  const int copies = DrawBool(m_options.faults.duplicate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    BalancerHost* host = receivers[m_random(receivers.size())];
    m_events.After(AddJitter(m_options.caller_delay),
                   [this, host, packet, instance] {
                     HandlePacketAtBalancer(host, packet, instance);
                   });
  }
}

void World::HandlePacketAtBalancer(BalancerHost* host,
                                   const PacketInfo& packet,
                                   uint64_t instance) {
  if (host->balancer == nullptr) {
    return;
  }
  const RouteVerdict verdict = m_options.path == RoutingScheme::kHome
                                   ? host->balancer->OnPacket(packet)
                                   : RouteByBaseline(host, packet);
  AgentHost* next = FindAgentById(verdict.next);
  if (next == nullptr) {
    return;
  }
  const Envelope envelope = verdict.envelope;
  Transmit(MemberIdOf(host->name), verdict.next,
           [this, next, packet, instance, envelope] {
             HandlePacketAtAgent(next, packet, instance, envelope);
           });
}

RouteVerdict World::RouteByBaseline(BalancerHost* host,
                                    const PacketInfo& packet) {
  RouteVerdict verdict = host->balancer->OnPacket(packet);
  if (m_options.path == RoutingScheme::kLocalTable) {
    const auto known = host->local_table.find(packet.flow);
    if (known != host->local_table.end() && !packet.syn) {
      verdict.next = known->second;
    } else {
      host->local_table[packet.flow] = verdict.next;
    }
    return verdict;
  }
  // The second candidate is the agent with the largest weight apart from the
  // first candidate. Draining agents are included.
  const AgentHost* first = FindAgentById(verdict.next);
  if (first == nullptr) {
    return verdict;
  }
  const ServiceView* view = host->balancer->ViewOf(ServiceIdOf(first->service));
  uint64_t largest_weight = 0;
  for (const AgentFacts& agent : view->agents) {
    const uint64_t weight = RendezvousWeight(packet.flow, agent.id);
    if (agent.id != verdict.next && weight >= largest_weight) {
      largest_weight = weight;
      verdict.envelope.requester = ShortId(agent.id);
    }
  }
  return verdict;
}

Verdict World::DecideByBaseline(AgentHost* host,
                                const PacketInfo& packet,
                                const Envelope& envelope) {
  Verdict verdict;
  verdict.kind = VerdictKind::kDeliver;
  verdict.admission =
      packet.MayOpenFlow() ? Admission::kHome : Admission::kKnown;
  const bool must_deliver = m_options.path == RoutingScheme::kLocalTable ||
                            envelope.query_batch == kPassedOn ||
                            envelope.requester == 0;
  const auto& connections = host->server.connections;
  const auto known = connections.find(packet.flow);
  const bool has_flow = known != connections.end() && !known->second.closed;
  const bool accepts_flow = packet.syn && !host->leave_when_drained;
  if (must_deliver || has_flow || accepts_flow) {
    return verdict;
  }
  for (const auto& [id, other] : m_agent_index) {
    if (ShortId(id) == envelope.requester) {
      verdict.kind = VerdictKind::kForward;
      verdict.next = id;
      verdict.envelope = envelope;
      verdict.envelope.query_batch = kPassedOn;
      verdict.envelope.hops = 1;
    }
  }
  return verdict;
}

void World::HandlePacketAtAgent(AgentHost* host,
                                const PacketInfo& packet,
                                uint64_t instance,
                                const Envelope& envelope) {
  if (!IsRunning(*host)) {
    RunOrDefer(host, [this, host, packet, instance, envelope] {
      HandlePacketAtAgent(host, packet, instance, envelope);
    });
    return;
  }
  const MemberId self = MemberIdOf(host->name);
  const Verdict verdict =
      m_options.path == RoutingScheme::kHome
          ? host->agent->OnPacket(m_events.Now(), packet, envelope)
          : DecideByBaseline(host, packet, envelope);
  SendGroupMessages(self, host->agent->TakeOutgoing());
  if (m_options.on_verdict) {
    m_options.on_verdict(m_events.Now(), host->name, instance, envelope,
                         verdict);
  }
  switch (verdict.kind) {
    case VerdictKind::kDeliver:
      DeliverToServer(host, packet, instance, envelope);
      return;
    case VerdictKind::kForward: {
      AgentHost* next = FindAgentById(verdict.next);
      const Envelope next_envelope = verdict.envelope;
      Transmit(self, verdict.next,
               [this, next, packet, instance, next_envelope] {
                 HandlePacketAtAgent(next, packet, instance, next_envelope);
               });
      return;
    }
    case VerdictKind::kReject:
      break;
  }
  const PacketAnswer answer = Describe(verdict.error).answer;
  if (answer == PacketAnswer::kReset || answer == PacketAnswer::kNotRun) {
    const uint32_t sequence = packet.sequence;
    SendToCaller(instance, [this, sequence](CallerFlow* flow) {
      // Like TCP, the caller ignores a reset that belongs to another connection
      // with the same addresses and ports.
      const bool is_current_connection =
          flow->plan.transport == Transport::kUdp ||
          sequence - flow->initial_sequence < kMaxRequestsPerFlow;
      if (is_current_connection) {
        OnReset(flow);
      }
    });
  }
}

void World::SendGroupMessages(MemberId from,
                              std::vector<OutgoingGroupMessage> messages) {
  const AgentHost* sender = FindAgentById(from);
  const bool reports_no_load = sender != nullptr && sender->reports_no_load;
  for (OutgoingGroupMessage& outgoing : messages) {
    const MemberId to = outgoing.to;
    if (reports_no_load && outgoing.message.has_heartbeat()) {
      outgoing.message.mutable_heartbeat()->set_open_flows(0);
    }
    const bool is_lost =
        IsLinkCut(from, to) || DrawBool(m_options.faults.control_loss);
    if (is_lost) {
      continue;
    }
    // Messages travel over ordered streams. A delay without jitter keeps their
    // order.
    m_events.After(m_options.agent_delay,
                   [this, to, message = std::move(outgoing.message)] {
                     HandleGroupMessage(to, message);
                   });
  }
}

void World::HandleGroupMessage(MemberId to,
                               const proto::GroupMessage& message) {
  BalancerHost* balancer = FindBalancerById(to);
  if (balancer != nullptr) {
    if (balancer->balancer != nullptr && !IsHiddenByLag(balancer, message)) {
      balancer->balancer->OnMessage(m_events.Now(), message);
    }
    return;
  }
  AgentHost* host = FindAgentById(to);
  if (host == nullptr) {
    return;
  }
  RunOrDefer(host, [this, host, to, message] {
    host->agent->OnMessage(m_events.Now(), message);
    SendGroupMessages(to, host->agent->TakeOutgoing());
  });
}

bool World::IsHiddenByLag(BalancerHost* host,
                          const proto::GroupMessage& message) {
  const Duration lag = m_options.faults.balancer_lag;
  if (lag.count() == 0 || !message.has_heartbeat()) {
    return false;
  }
  const MemberId from{message.from()};
  const std::pair<uint64_t, uint32_t> facts{
      message.heartbeat().facts().incarnation(),
      message.heartbeat().facts().state()};
  auto& seen_facts = host->seen_facts[from];
  if (seen_facts != facts) {
    seen_facts = facts;
    host->hidden_until[from] =
        m_events.Now() + Duration(static_cast<int64_t>(
                             Uniform() * static_cast<double>(lag.count())));
  }
  return m_events.Now() < host->hidden_until[from];
}

}  // namespace medlargauge

// @file world_network.cc Links, the fabric, and the paths under test.
#include <algorithm>

#include "scenario/world.h"
#include "scenario/world_internal.h"
#include "src/core/error.h"
#include "src/core/hash.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

/// Second candidate of the second-chance baseline travels in `requester`.
constexpr uint8_t kLastChance = 1;

}  // namespace

bool World::Chance(double probability) {
  return probability > 0 && Uniform() < probability;
}

Duration World::Jittered(Duration delay) {
  const double factor = 0.8 + 0.4 * Uniform();
  Duration total(
      static_cast<int64_t>(factor * static_cast<double>(delay.count())));
  if (Chance(m_options.faults.reorder)) {
    total += Duration(static_cast<int64_t>(
        Uniform() *
        static_cast<double>(m_options.faults.reorder_delay.count())));
  }
  return total;
}

bool World::IsCut(MemberId from, MemberId to) const {
  return m_cuts.count({from, to}) > 0;
}

void World::Transmit(MemberId from,
                     MemberId to,
                     std::function<void()> arrival) {
  if (IsCut(from, to) || Chance(m_options.faults.loss)) {
    return;
  }
  if (Chance(m_options.faults.duplicate)) {
    m_events.After(Jittered(m_options.agent_delay), arrival);
  }
  m_events.After(Jittered(m_options.agent_delay), std::move(arrival));
}

void World::SprayPacket(const PacketInfo& packet, uint64_t instance) {
  std::vector<BalancerHost*> targets;
  for (const auto& host : m_balancers) {
    if (host->in_fabric) {
      targets.push_back(host.get());
    }
  }
  if (targets.empty() || Chance(m_options.faults.loss)) {
    return;
  }
  const int copies = Chance(m_options.faults.duplicate) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    BalancerHost* host = targets[m_random(targets.size())];
    m_events.After(Jittered(m_options.caller_delay),
                   [this, host, packet, instance] {
                     ArriveAtBalancer(host, packet, instance);
                   });
  }
}

void World::ArriveAtBalancer(BalancerHost* host,
                             const PacketInfo& packet,
                             uint64_t instance) {
  if (host->balancer == nullptr) {
    return;
  }
  const RouteVerdict verdict = m_options.path == RoutingScheme::kHome
                                   ? host->balancer->OnPacket(packet)
                                   : RouteByBaseline(host, packet);
  AgentHost* next = AgentById(verdict.next);
  if (next == nullptr) {
    return;
  }
  const Envelope envelope = verdict.envelope;
  Transmit(MemberIdOf(host->name), verdict.next,
           [this, next, packet, instance, envelope] {
             ArriveAtAgent(next, packet, instance, envelope);
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
  // The second candidate is the best of the others, draining ones included.
  const AgentHost* first = AgentById(verdict.next);
  if (first == nullptr) {
    return verdict;
  }
  const ServiceView* view = host->balancer->ViewOf(ServiceIdOf(first->service));
  uint64_t best = 0;
  for (const AgentFacts& agent : view->agents) {
    const uint64_t weight = RendezvousWeight(packet.flow, agent.id);
    if (agent.id != verdict.next && weight >= best) {
      best = weight;
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
  const bool last = m_options.path == RoutingScheme::kLocalTable ||
                    envelope.query_batch == kLastChance ||
                    envelope.requester == 0;
  const auto& connections = host->server.connections;
  const auto known = connections.find(packet.flow);
  const bool has_flow = known != connections.end() && !known->second.closed;
  const bool takes = packet.syn && !host->leave_when_drained;
  if (last || has_flow || takes) {
    return verdict;
  }
  for (const auto& [id, other] : m_agent_index) {
    if (ShortId(id) == envelope.requester) {
      verdict.kind = VerdictKind::kForward;
      verdict.next = id;
      verdict.envelope = envelope;
      verdict.envelope.query_batch = kLastChance;
      verdict.envelope.hops = 1;
    }
  }
  return verdict;
}

void World::ArriveAtAgent(AgentHost* host,
                          const PacketInfo& packet,
                          uint64_t instance,
                          const Envelope& envelope) {
  if (!IsRunning(*host)) {
    WhenRunning(host, [this, host, packet, instance, envelope] {
      ArriveAtAgent(host, packet, instance, envelope);
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
      AgentHost* next = AgentById(verdict.next);
      const Envelope onward = verdict.envelope;
      Transmit(self, verdict.next, [this, next, packet, instance, onward] {
        ArriveAtAgent(next, packet, instance, onward);
      });
      return;
    }
    case VerdictKind::kReject:
      break;
  }
  const PacketAnswer answer = Describe(verdict.error).answer;
  if (answer == PacketAnswer::kReset || answer == PacketAnswer::kNotRun) {
    const uint32_t sequence = packet.sequence;
    AnswerCaller(instance, [this, sequence](CallerFlow* flow) {
      // As TCP does, take a reset only if it belongs to this connection.
      const bool fits = flow->plan.transport == Transport::kUdp ||
                        sequence - flow->initial_sequence < kMaxRequestsPerFlow;
      if (fits) {
        OnReset(flow);
      }
    });
  }
}

void World::SendGroupMessages(MemberId from,
                              std::vector<OutgoingGroupMessage> messages) {
  const AgentHost* sender = AgentById(from);
  const bool lies = sender != nullptr && sender->reports_no_load;
  for (OutgoingGroupMessage& outgoing : messages) {
    const MemberId to = outgoing.to;
    if (lies && outgoing.message.has_heartbeat()) {
      outgoing.message.mutable_heartbeat()->set_open_flows(0);
    }
    const bool lost = IsCut(from, to) || Chance(m_options.faults.control_loss);
    if (lost) {
      continue;
    }
    // Streams keep their order, so the delay has no jitter.
    m_events.After(m_options.agent_delay,
                   [this, to, message = std::move(outgoing.message)] {
                     ArriveGroupMessage(to, message);
                   });
  }
}

void World::ArriveGroupMessage(MemberId to,
                               const proto::GroupMessage& message) {
  BalancerHost* balancer = BalancerById(to);
  if (balancer != nullptr) {
    if (balancer->balancer != nullptr && !IsHiddenFrom(balancer, message)) {
      balancer->balancer->OnMessage(m_events.Now(), message);
    }
    return;
  }
  AgentHost* host = AgentById(to);
  if (host == nullptr) {
    return;
  }
  WhenRunning(host, [this, host, to, message] {
    host->agent->OnMessage(m_events.Now(), message);
    SendGroupMessages(to, host->agent->TakeOutgoing());
  });
}

bool World::IsHiddenFrom(BalancerHost* host,
                         const proto::GroupMessage& message) {
  const Duration lag = m_options.faults.balancer_lag;
  if (lag.count() == 0 || !message.has_heartbeat()) {
    return false;
  }
  const MemberId from{message.from()};
  const std::pair<uint64_t, uint32_t> facts{
      message.heartbeat().facts().incarnation(),
      message.heartbeat().facts().state()};
  auto& seen = host->seen[from];
  if (seen != facts) {
    seen = facts;
    host->hidden_until[from] =
        m_events.Now() + Duration(static_cast<int64_t>(
                             Uniform() * static_cast<double>(lag.count())));
  }
  return m_events.Now() < host->hidden_until[from];
}

}  // namespace medlargauge

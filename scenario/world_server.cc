// @file world_server.cc Backend servers and what they check.
#include "scenario/world.h"
#include "scenario/world_internal.h"

namespace medlargauge {
namespace {

/// A draining server may get new work only this long after the command.
constexpr Duration kDrainAllowance = Seconds(1);

}  // namespace

void World::DeliverToServer(AgentHost* host,
                            const PacketInfo& packet,
                            uint64_t instance,
                            const Envelope& envelope) {
  const bool in_change = m_events.Now() < m_change_until;
  uint64_t& packets =
      in_change ? m_counts.packets_change : m_counts.packets_steady;
  uint64_t& hops = in_change ? m_counts.hops_change : m_counts.hops_steady;
  ++packets;
  hops += envelope.hops;
  if (!host->server.alive) {
    return;
  }
  const CallerFlow& flow = *m_flows[instance];
  const ClassTarget* target = m_targets.Find(flow.plan.class_name);
  if (target == nullptr || target->service != host->service) {
    ++m_counts.cross_service;
    Violate("cross service", flow, host->name);
    return;
  }
  auto& connections = host->server.connections;
  auto known = connections.find(packet.flow);
  const bool is_udp = packet.tuple.transport == Transport::kUdp;
  const bool opens = packet.syn || (is_udp && known == connections.end());
  if (opens) {
    AcceptConnection(host, packet, instance);
    if (!is_udp) {
      return;
    }
    known = connections.find(packet.flow);
  }
  const bool fits =
      known != connections.end() &&
      (is_udp ||
       packet.sequence - known->second.initial_sequence < kMaxRequestsPerFlow);
  if (!fits) {
    AnswerCaller(instance, [this](CallerFlow* caller) { OnReset(caller); });
    return;
  }
  if (packet.fin) {
    if (!known->second.closed) {
      known->second.closed = true;
      --host->server.open;
      NoteConnection(known->second.instance - 1, *host, false);
    }
    AnswerCaller(instance, [this](CallerFlow* caller) { EndFlow(caller); });
    return;
  }
  ExecuteRequest(host, packet, instance);
}

void World::NoteConnection(uint64_t instance,
                           const AgentHost& host,
                           bool open) {
  if (m_options.on_connection) {
    m_options.on_connection(instance, host.name, open);
  }
}

void World::AcceptConnection(AgentHost* host,
                             const PacketInfo& packet,
                             uint64_t instance) {
  FakeServer::Connection& connection = host->server.connections[packet.flow];
  const bool repeated = connection.instance == instance + 1 &&
                        connection.initial_sequence == packet.sequence;
  if (!repeated) {
    const bool was_open = connection.instance != 0 && !connection.closed;
    host->server.open += was_open ? 0 : 1;
    if (was_open) {
      NoteConnection(connection.instance - 1, *host, false);
    }
    NoteConnection(instance, *host, true);
    connection = FakeServer::Connection{packet.sequence, instance + 1, false};
    ++host->admitted_here;
    CallerFlow& flow = *m_flows[instance];
    flow.accepted_by.insert(host);
    const bool late = host->drain_started != TimePoint() &&
                      m_events.Now() > host->drain_started + kDrainAllowance;
    if (late) {
      ++m_counts.work_while_draining;
      Violate("work while draining", flow, host->name);
    }
    if (flow.accepted_by.size() > 1) {
      ++m_counts.double_admissions;
      Violate("double admission", flow, host->name);
    }
    if (flow.refused) {
      ++m_counts.untrue_refusals;
      Violate("accepted after refusal", flow, host->name);
    }
  }
  AnswerCaller(instance, [this](CallerFlow* flow) { OnAccepted(flow); });
}

void World::ExecuteRequest(AgentHost* host,
                           const PacketInfo& packet,
                           uint64_t instance) {
  CallerFlow& flow = *m_flows[instance];
  const uint32_t number = packet.acknowledged;
  const uint64_t request = flow.first_request_id + number;
  const bool first_here = host->server.executed.insert(request).second;
  if (first_here && flow.accepted_by.size() > 1) {
    for (const AgentHost* other : flow.accepted_by) {
      if (other != host && other->server.executed.count(request) > 0) {
        ++m_counts.duplicate_executions;
        Violate("duplicate execution", flow, host->name);
      }
    }
  }
  AnswerCaller(instance, [this, number](CallerFlow* caller) {
    OnAnswered(caller, number);
  });
}

void World::AnswerCaller(uint64_t instance,
                         std::function<void(CallerFlow*)> answer) {
  if (Chance(m_options.faults.loss)) {
    return;
  }
  // Answers go straight to the caller, not through a balancer.
  m_events.After(Jittered(m_options.caller_delay),
                 [this, instance, answer = std::move(answer)] {
                   answer(m_flows[instance].get());
                 });
}

}  // namespace medlargauge

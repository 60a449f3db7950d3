// @file world_server.cc Backend servers of the simulated world and the
// invariants that they check.
#include "scenario/world.h"
#include "scenario/world_internal.h"

namespace medlargauge {
namespace {

/// A draining server may accept new flows for this long after the start of the
/// drain.
constexpr Duration kDrainGracePeriod = Seconds(1);

}  // namespace

void World::DeliverToServer(AgentHost* host,
                            const PacketInfo& packet,
                            uint64_t instance,
                            const Envelope& envelope) {
  const bool in_change_window = m_events.Now() < m_change_window_end;
  uint64_t& packets =
      in_change_window ? m_counts.packets_change : m_counts.packets_steady;
  uint64_t& hops =
      in_change_window ? m_counts.hops_change : m_counts.hops_steady;
  ++packets;
  hops += envelope.hops;
  if (!host->server.alive) {
    return;
  }
  const CallerFlow& flow = *m_flows[instance];
  const ClassTarget* target = m_targets.Find(flow.plan.class_name);
  if (target == nullptr || target->service != host->service) {
    ++m_counts.cross_service;
    RecordViolation("delivery to another service", flow, host->name);
    return;
  }
  auto& connections = host->server.connections;
  auto known = connections.find(packet.flow);
  const bool is_udp = packet.tuple.transport == Transport::kUdp;
  const bool opens_flow = packet.syn || (is_udp && known == connections.end());
  if (opens_flow) {
    AcceptConnection(host, packet, instance);
    if (!is_udp) {
      return;
    }
    known = connections.find(packet.flow);
  }
  const bool is_known_connection =
      known != connections.end() &&
      (is_udp ||
       packet.sequence - known->second.initial_sequence < kMaxRequestsPerFlow);
  if (!is_known_connection) {
    SendToCaller(instance, [this](CallerFlow* caller) { OnReset(caller); });
    return;
  }
  if (packet.fin) {
    if (!known->second.closed) {
      known->second.closed = true;
      --host->server.open;
      ReportConnection(known->second.instance - 1, *host, false);
    }
    SendToCaller(instance, [this](CallerFlow* caller) { EndFlow(caller); });
    return;
  }
  ExecuteRequest(host, packet, instance);
}

void World::ReportConnection(uint64_t instance,
                             const AgentHost& host,
                             bool open) {
  if (m_options.on_connection) {
    m_options.on_connection(instance, host.name, open);
  }
}

void World::AcceptConnection(AgentHost* host,
                             const PacketInfo& packet,
                             uint64_t instance) {
  SimulatedServer::Connection& connection =
      host->server.connections[packet.flow];
  const bool repeated = connection.instance == instance + 1 &&
                        connection.initial_sequence == packet.sequence;
  if (!repeated) {
    const bool was_open = connection.instance != 0 && !connection.closed;
    host->server.open += was_open ? 0 : 1;
    if (was_open) {
      ReportConnection(connection.instance - 1, *host, false);
    }
    ReportConnection(instance, *host, true);
    connection =
        SimulatedServer::Connection{packet.sequence, instance + 1, false};
    ++host->admitted_connections;
    CallerFlow& flow = *m_flows[instance];
    flow.accepted_by.insert(host);
    const bool is_too_late =
        host->drain_started != TimePoint() &&
        m_events.Now() > host->drain_started + kDrainGracePeriod;
    if (is_too_late) {
      ++m_counts.work_while_draining;
      RecordViolation("new flow at a draining server", flow, host->name);
    }
    if (flow.accepted_by.size() > 1) {
      ++m_counts.double_admissions;
      RecordViolation("double admission", flow, host->name);
    }
    if (flow.refused) {
      ++m_counts.untrue_refusals;
      RecordViolation("accepted after refusal", flow, host->name);
    }
  }
  SendToCaller(instance, [this](CallerFlow* flow) { OnAccepted(flow); });
}

void World::ExecuteRequest(AgentHost* host,
                           const PacketInfo& packet,
                           uint64_t instance) {
  CallerFlow& flow = *m_flows[instance];
  const uint32_t number = packet.acknowledged;
  const uint64_t request_id = flow.first_request_id + number;
  const bool is_first_execution =
      host->server.executed.insert(request_id).second;
  if (is_first_execution && flow.accepted_by.size() > 1) {
    for (const AgentHost* other : flow.accepted_by) {
      if (other != host && other->server.executed.count(request_id) > 0) {
        ++m_counts.duplicate_executions;
        RecordViolation("duplicate execution", flow, host->name);
      }
    }
  }
  SendToCaller(instance, [this, number](CallerFlow* caller) {
    OnAnswered(caller, number);
  });
}

void World::SendToCaller(uint64_t instance,
                         std::function<void(CallerFlow*)> answer) {
  if (DrawBool(m_options.faults.loss)) {
    return;
  }
  // Answers go directly to the caller and don't pass a balancer.
  m_events.After(AddJitter(m_options.caller_delay),
                 [this, instance, answer = std::move(answer)] {
                   answer(m_flows[instance].get());
                 });
}

}  // namespace medlargauge

// @file lab_servers.cc Agents and their backend servers.
#include <algorithm>
#include <cmath>

#include "lab/lab_engine.h"
#include "src/core/hash.h"
#include "src/forwarding/status_schedule.h"

namespace medlargauge::lab::detail {

void Simulation::SendStatus(SimAgent* agent) {
  for (auto& balancer : m_balancers) {
    SendStatusTo(agent, balancer.get());
  }
}

void Simulation::SendStatusTo(SimAgent* agent, SimBalancer* balancer) {
  if (agent->forwarder == nullptr || agent->loses_output) {
    return;
  }
  FleetMember self;
  self.id = MemberId{agent->ip};
  self.role = MemberRole::kAgent;
  self.ip = agent->ip;
  self.incarnation = agent->incarnation;
  self.service =
      ServiceIdOf(m_scenario.services[agent->server.service_index].name);
  self.domain = DomainId{agent->domain + 1};
  self.state = agent->forwarder->State(Now());
  self.load = agent->forwarder->Load(Now());
  proto::PeerStatus status;
  *status.mutable_self() = EncodeMember(Now(), self);
  status.set_sequence(++agent->status_sequence);
  status.set_protocol(kProtocolVersion);
  status.set_leaving(agent->leaving);
  SendPacket(kHostNetworkDelay, [this, balancer, status] {
    if (balancer->running && !balancer->isolated) {
      balancer->members->OnStatus(Now(), status);
    }
  });
}

void Simulation::ScheduleStatus(SimAgent* agent, size_t balancer_index) {
  const Duration interval = StatusInterval(
      MemberRole::kAgent, m_agents.size() + m_balancers.size() - 1);
  m_queue.After(interval / static_cast<int64_t>(m_balancers.size()),
                [this, agent, balancer_index] {
                  SendStatusTo(agent, m_balancers[balancer_index].get());
                  ScheduleStatus(agent,
                                 (balancer_index + 1) % m_balancers.size());
                });
}

void Simulation::SendHeartbeat(SimAgent* agent) {
  SimServer& server = agent->server;
  if (!server.running || server.unresponsive || agent->forwarder == nullptr) {
    return;
  }
  const ServiceModel& service = m_scenario.services[server.service_index];
  ServerReport report;
  report.id = server.id;
  report.started_ms = server.generation + 1;
  report.sequence = ++server.heartbeat_sequence;
  report.service = service.name;
  report.address = server.address;
  report.slots = service.slots;
  report.draining = server.draining;
  const Duration warmup_left = server.started_at + service.warmup_time - Now();
  report.warmup_ms =
      static_cast<uint32_t>(std::max<int64_t>(ToMilliseconds(warmup_left), 0));
  agent->forwarder->OnReport(Now(), report);
  if (server.draining && server.drain_reported_at == TimePoint()) {
    server.drain_reported_at = Now();
  }
}

void Simulation::OnPacketAtAgent(SimAgent* agent,
                                 SimBalancer* from,
                                 const ForwardHeader& forward_header,
                                 const SimPacket& packet) {
  if (agent->forwarder == nullptr) {
    return;
  }
  ForwardHeader effective_header = forward_header;
  effective_header.last_candidate =
      forward_header.last_candidate || !m_policy.return_when_busy;
  const ForwarderDecision decision = agent->forwarder->OnForwarded(
      Now(), from->ip, effective_header, packet.header);
  if (decision.kind == ForwarderDecision::Kind::kDeliver) {
    SimPacket delivered = packet;
    delivered.header.tag = from->ip;
    SendConfirmation(agent, decision, packet.header.flow);
    OnPacketAtServer(agent, delivered, agent->server.generation);
  } else if (decision.kind == ForwarderDecision::Kind::kReturn) {
    ReturnPacket(agent, decision, packet);
  }
}

void Simulation::ReturnPacket(SimAgent* agent,
                              const ForwarderDecision& decision,
                              const SimPacket& packet) {
  SimBalancer* balancer = BalancerAt(decision.balancer_ip);
  const ServerLoad load =
      agent->forwarder->LoadFor(Now(), packet.header.flow.route);
  const MemberId id{agent->ip};
  if (agent->loses_output) {
    return;
  }
  SimPacket returned = packet;
  returned.header.bounced = false;
  SendPacket(kHostNetworkDelay, [this, balancer, id, load, decision, returned] {
    if (!balancer->running || balancer->isolated) {
      return;
    }
    balancer->members->OnLoad(Now(), id, load);
    ApplyDecision(balancer,
                  balancer->director->OnReturned(
                      Now(), id, decision.reason, decision.owner,
                      returned.header, BytesOf(returned)),
                  returned);
  });
}

void Simulation::OnPacketAtServer(SimAgent* agent,
                                  const SimPacket& packet,
                                  uint64_t generation) {
  SimServer& server = agent->server;
  if (!server.running || server.unresponsive ||
      server.generation != generation) {
    return;
  }
  const ClassModel& model =
      m_scenario.classes[packet.header.flow.route.ip - kRouteNetwork - 1];
  const bool is_own_service =
      model.service == m_scenario.services[server.service_index].name;
  const FlowKey& key = packet.header.flow;
  // A search asks servers of all services; one that returns the packet serves
  // nothing.
  const bool is_returned =
      !packet.header.syn && server.half_open.count(key) == 0 &&
      server.open_flows.count(key) == 0 && server.closed_flows.count(key) == 0;
  m_result.mixed_services += is_own_service || is_returned ? 0 : 1;
  if (packet.header.syn) {
    const bool is_late = server.drain_reported_at != TimePoint() &&
                         Now() - server.drain_reported_at > kDrainBound;
    m_result.late_work += is_late ? 1 : 0;
    const bool is_new =
        server.half_open
            .try_emplace(key, static_cast<uint32_t>(
                                  MixHash(agent->ip, ++server.accepted_flows)))
            .second;
    m_result.connections += is_new ? 1 : 0;
    SendSynAck(agent, key, 1);
    return;
  }
  const auto half_open = server.half_open.find(key);
  if (half_open != server.half_open.end()) {
    if (packet.header.acknowledged != half_open->second + 1) {
      TrackMisrouting(agent, key, false);
      return;  // Waits for the caller to acknowledge its SYN-ACK.
    }
    server.open_flows.emplace(key, 0);
    server.half_open.erase(half_open);
  }
  const auto open_flow = server.open_flows.find(key);
  TrackMisrouting(agent, key, open_flow != server.open_flows.end());
  if (open_flow == server.open_flows.end() &&
      server.closed_flows.count(key) > 0) {
    return;
  }
  if (open_flow == server.open_flows.end()) {
    SimPacket bounced = packet;
    bounced.header.bounced = true;
    SendFromServer(agent, bounced);
    return;
  }
  if (packet.header.fin) {
    server.open_flows.erase(open_flow);
    server.closed_flows.insert(key);
    return;
  }
  if (packet.header.data_length == 0 ||
      open_flow->second == packet.request_id) {
    return;  // Retransmission of a request that was received.
  }
  open_flow->second = packet.request_id;
  const ServiceModel& service = m_scenario.services[server.service_index];
  const bool refuses =
      server.refusal_probability > 0 &&
      std::bernoulli_distribution(server.refusal_probability)(m_fault_random);
  if (server.resets_requests) {
    ResetFromServer(agent, key);
  } else if (refuses) {
    SendAnswer(agent, packet, true, false);
  } else if (server.busy_slots < service.slots) {
    StartWork(agent, packet);
  } else if (server.queue.size() < service.queue_capacity) {
    server.queue.push_back(packet);
  } else {
    ++m_result.refused_by_server;
    SendAnswer(agent, packet, true, false);
  }
}

void Simulation::SendSynAck(SimAgent* agent,
                            const FlowKey& key,
                            uint32_t transmission) {
  SimServer& server = agent->server;
  const auto half_open = server.half_open.find(key);
  if (!server.running || half_open == server.half_open.end()) {
    return;
  }
  if (transmission > kMaxSynAckTransmissions) {
    server.half_open.erase(half_open);
    return;
  }
  SimPacket answer;
  answer.header.flow = key;
  answer.header.from_caller = false;
  answer.header.syn_ack = true;
  answer.header.ack = true;
  answer.header.sequence = half_open->second;
  SendFromServer(agent, answer);
  const Duration timeout = std::min(
      kMinRetransmissionTimeout * (1U << std::min(transmission - 1, 3U)),
      kMaxRetransmissionTimeout);
  const uint64_t generation = server.generation;
  m_queue.After(timeout, [this, agent, key, transmission, generation] {
    if (agent->server.generation == generation) {
      SendSynAck(agent, key, transmission + 1);
    }
  });
}

void Simulation::TrackMisrouting(const SimAgent* agent,
                                 const FlowKey& key,
                                 bool held) {
  const auto found = m_flow_ids.find(key);
  if (found == m_flow_ids.end()) {
    return;
  }
  SimFlow& flow = m_flows[found->second];
  if (held) {
    flow.owner_ip = agent->ip;
    flow.misrouted_packets = 0;
    return;
  }
  if (flow.owner_ip == 0) {
    return;
  }
  flow.misrouted_since =
      flow.misrouted_packets == 0 ? Now() : flow.misrouted_since;
  ++flow.misrouted_packets;
  const SimServer& owner = AgentAt(flow.owner_ip)->server;
  const bool owner_has_flow =
      owner.running && !owner.unresponsive && owner.open_flows.count(key) > 0;
  const bool is_astray = owner_has_flow && m_loss_probability == 0 &&
                         flow.misrouted_packets >= kMisroutedPackets &&
                         Now() - flow.misrouted_since >= kMisroutingBound;
  if (is_astray) {
    ++m_result.astray;
    flow.misrouted_packets = 0;
  }
}

void Simulation::StartWork(SimAgent* agent, const SimPacket& packet) {
  SimServer& server = agent->server;
  SimRequest& request = m_requests[packet.request_id];
  const ClassModel& model = m_scenario.classes[request.class_index];
  ++request.executions;
  m_result.ran_twice += !model.repeatable && request.executions > 1 ? 1 : 0;
  ++server.busy_slots;
  const ServiceModel& service = m_scenario.services[server.service_index];
  const bool is_warming_up = Now() - server.started_at < service.warmup_time;
  const double factor = (is_warming_up ? service.warmup_factor : 1.0) *
                        server.work_time_factor / server.speed;
  const bool failed =
      server.failure_probability > 0 &&
      std::bernoulli_distribution(server.failure_probability)(m_fault_random);
  const Duration work_time =
      failed ? Milliseconds(1)
             : Duration(static_cast<int64_t>(
                   static_cast<double>(request.work.count()) * factor));
  const uint64_t generation = server.generation;
  m_queue.After(work_time, [this, agent, packet, generation, failed] {
    SimServer& current = agent->server;
    if (!current.running || current.generation != generation) {
      return;
    }
    --current.busy_slots;
    SendAnswer(agent, packet, false, failed);
    if (!current.queue.empty()) {
      const SimPacket next_request = current.queue.front();
      current.queue.pop_front();
      StartWork(agent, next_request);
    }
  });
}

void Simulation::SendAnswer(SimAgent* agent,
                            const SimPacket& packet,
                            bool refused,
                            bool failed) {
  SimServer& server = agent->server;
  SimPacket answer;
  answer.header.flow = packet.header.flow;
  answer.header.from_caller = false;
  answer.header.ack = true;
  answer.header.data_length = 1000;
  answer.header.fin = server.draining;
  answer.request_id = packet.request_id;
  answer.is_refusal = refused;
  answer.header.answer = refused  ? AnswerKind::kRefused
                         : failed ? AnswerKind::kFailure
                                  : AnswerKind::kSuccess;
  if (server.draining) {
    server.open_flows.erase(packet.header.flow);
    server.closed_flows.insert(packet.header.flow);
  }
  SendFromServer(agent, answer);
}

void Simulation::ResetFromServer(SimAgent* agent, const FlowKey& key) {
  agent->server.open_flows.erase(key);
  agent->server.closed_flows.insert(key);
  SimPacket reset;
  reset.header.flow = key;
  reset.header.from_caller = false;
  reset.header.rst = true;
  SendFromServer(agent, reset);
}

void Simulation::SendFromServer(SimAgent* agent, const SimPacket& packet) {
  if (agent->server.unresponsive || agent->forwarder == nullptr) {
    return;
  }
  const ForwarderDecision decision =
      agent->forwarder->OnServerPacket(Now(), packet.header);
  if (agent->loses_output) {
    return;
  }
  if (decision.kind == ForwarderDecision::Kind::kReturn) {
    ReturnPacket(agent, decision, packet);
    return;
  }
  SendPacket(kCallerNetworkDelay, [this, packet] { OnPacketAtCaller(packet); });
  SendConfirmation(agent, decision, packet.header.flow);
}

void Simulation::SendConfirmation(SimAgent* agent,
                                  const ForwarderDecision& decision,
                                  const FlowKey& key) {
  if (!decision.confirm || agent->loses_output) {
    return;
  }
  SimBalancer* balancer = BalancerAt(decision.balancer_ip);
  const ServerLoad load = agent->forwarder->LoadFor(Now(), key.route);
  const MemberId id{agent->ip};
  const bool proven = decision.proven;
  SendPacket(kHostNetworkDelay, [this, balancer, id, load, key, proven] {
    if (balancer->running && !balancer->isolated) {
      balancer->members->OnLoad(Now(), id, load);
      balancer->director->OnFlowConfirmed(Now(), id, key, proven);
    }
  });
}

}  // namespace medlargauge::lab::detail

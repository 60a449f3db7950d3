// @file lab_servers.cc Agents and the servers beside them.
#include <algorithm>
#include <cmath>

#include "lab/lab_engine.h"
#include "src/core/hash.h"

namespace medlargauge::lab::detail {

void World::SendStatus(LabAgent* agent) {
  if (agent->gate == nullptr || agent->mute) {
    return;
  }
  FleetMember self;
  self.id = MemberId{agent->ip};
  self.role = MemberRole::kAgent;
  self.ip = agent->ip;
  self.incarnation = agent->incarnation;
  self.service = ServiceIdOf(m_scenario.services[agent->server.service].name);
  self.domain = DomainId{agent->domain + 1};
  self.state = agent->gate->State(Now());
  self.load = agent->gate->Load(Now());
  proto::PeerStatus status;
  *status.mutable_self() = EncodeMember(Now(), self);
  status.set_sequence(++agent->sequence);
  status.set_leaving(agent->leaving);
  for (auto& balancer : m_balancers) {
    LabBalancer* to = balancer.get();
    Travel(kInsideDelay, [this, to, status] {
      if (to->running && !to->cut) {
        to->roster->OnStatus(Now(), status);
      }
    });
  }
}

void World::Report(LabAgent* agent) {
  LabServer& server = agent->server;
  if (!server.running || server.dark || agent->gate == nullptr) {
    return;
  }
  const ServiceModel& service = m_scenario.services[server.service];
  ServerReport report;
  report.id = server.id;
  report.started_ms = server.generation + 1;
  report.sequence = ++server.reports;
  report.service = service.name;
  report.address = server.address;
  report.slots = service.slots;
  report.draining = server.draining;
  const Duration cold_left = server.started + service.cold - Now();
  report.warmup_ms =
      static_cast<uint32_t>(std::max<int64_t>(ToMilliseconds(cold_left), 0));
  agent->gate->OnReport(Now(), report);
  if (server.draining && server.left_at == TimePoint()) {
    server.left_at = Now();
  }
}

void World::AgentGets(LabAgent* agent,
                      LabBalancer* from,
                      const ForwardHeader& header,
                      const LabPacket& packet) {
  if (agent->gate == nullptr) {
    return;
  }
  ForwardHeader asked = header;
  asked.last_candidate = header.last_candidate || !m_policy.ask_busy;
  const ForwarderDecision decision =
      agent->gate->OnForwarded(Now(), from->ip, asked, packet.head);
  if (decision.kind == ForwarderDecision::Kind::kDeliver) {
    LabPacket delivered = packet;
    delivered.head.tag = from->ip;
    Confirm(agent, decision, packet.head.flow);
    ServerGets(agent, delivered, agent->server.generation);
  } else if (decision.kind == ForwarderDecision::Kind::kReturn) {
    ReturnPacket(agent, decision, packet);
  }
}

void World::ReturnPacket(LabAgent* agent,
                         const ForwarderDecision& decision,
                         const LabPacket& packet) {
  LabBalancer* balancer = BalancerAt(decision.balancer_ip);
  const ServerLoad load = agent->gate->Load(Now());
  const MemberId id{agent->ip};
  if (agent->mute) {
    return;
  }
  LabPacket back = packet;
  back.head.bounced = false;
  Travel(kInsideDelay, [this, balancer, id, load, decision, back] {
    if (!balancer->running || balancer->cut) {
      return;
    }
    balancer->roster->OnLoad(Now(), id, load);
    Act(balancer,
        balancer->director->OnReturned(Now(), id, decision.reason,
                                       decision.owner, back.head),
        back);
  });
}

void World::ServerGets(LabAgent* agent,
                       const LabPacket& packet,
                       uint64_t generation) {
  LabServer& server = agent->server;
  if (!server.running || server.dark || server.generation != generation) {
    return;
  }
  const ClassModel& model =
      m_scenario.classes[packet.head.flow.route.ip - kRouteNet - 1];
  const bool own = model.service == m_scenario.services[server.service].name;
  m_result.mixed_services += own ? 0 : 1;
  const FlowKey& key = packet.head.flow;
  if (packet.head.syn) {
    const bool late =
        server.left_at != TimePoint() && Now() - server.left_at > kDrainBound;
    m_result.late_work += late ? 1 : 0;
    const bool is_new =
        server.half_open
            .try_emplace(key, static_cast<uint32_t>(
                                  MixHash(agent->ip, ++server.next_sequence)))
            .second;
    m_result.connections += is_new ? 1 : 0;
    ServerAccepts(agent, key, 1);
    return;
  }
  const auto half = server.half_open.find(key);
  if (half != server.half_open.end()) {
    if (packet.head.acknowledged != half->second + 1) {
      NoteArrival(agent, key, false);
      return;  // Waits for the caller's answer to its own.
    }
    server.flows.emplace(key, 0);
    server.half_open.erase(half);
  }
  const auto open = server.flows.find(key);
  NoteArrival(agent, key, open != server.flows.end());
  if (open == server.flows.end() && server.ended.count(key) > 0) {
    return;
  }
  if (open == server.flows.end()) {
    LabPacket bounced = packet;
    bounced.head.bounced = true;
    ServerSends(agent, bounced);
    return;
  }
  if (packet.head.fin) {
    server.flows.erase(open);
    server.ended.insert(key);
    return;
  }
  if (packet.head.data_length == 0 || open->second == packet.request) {
    return;  // Sent again while the request is being worked on.
  }
  open->second = packet.request;
  const ServiceModel& service = m_scenario.services[server.service];
  if (server.working < service.slots) {
    ServerWorks(agent, packet);
  } else if (server.waiting.size() < service.queue) {
    server.waiting.push_back(packet);
  } else {
    ++m_result.refused_by_server;
    ServerAnswers(agent, packet, true, false);
  }
}

void World::ServerAccepts(LabAgent* agent, const FlowKey& key, uint32_t sent) {
  LabServer& server = agent->server;
  const auto half = server.half_open.find(key);
  if (!server.running || half == server.half_open.end()) {
    return;
  }
  if (sent > kServerResends) {
    server.half_open.erase(half);
    return;
  }
  LabPacket answer;
  answer.head.flow = key;
  answer.head.from_caller = false;
  answer.head.syn_ack = true;
  answer.head.ack = true;
  answer.head.sequence = half->second;
  ServerSends(agent, answer);
  const Duration wait =
      std::min(kResendFirst * (1U << std::min(sent - 1, 3U)), kResendLimit);
  const uint64_t generation = server.generation;
  m_queue.After(wait, [this, agent, key, sent, generation] {
    if (agent->server.generation == generation) {
      ServerAccepts(agent, key, sent + 1);
    }
  });
}

void World::NoteArrival(const LabAgent* agent, const FlowKey& key, bool held) {
  const auto found = m_flow_of.find(key);
  if (found == m_flow_of.end()) {
    return;
  }
  LabFlow& flow = m_flows[found->second];
  if (held) {
    flow.owner = agent->ip;
    flow.astray = 0;
    return;
  }
  if (flow.owner == 0) {
    return;
  }
  flow.astray_since = flow.astray == 0 ? Now() : flow.astray_since;
  ++flow.astray;
  const LabServer& owner = AgentAt(flow.owner)->server;
  const bool lives = owner.running && !owner.dark && owner.flows.count(key) > 0;
  const bool broken = lives && m_loss == 0 && flow.astray >= kAstrayPackets &&
                      Now() - flow.astray_since >= kAstrayTime;
  if (broken) {
    ++m_result.astray;
    flow.astray = 0;
  }
}

void World::ServerWorks(LabAgent* agent, const LabPacket& packet) {
  LabServer& server = agent->server;
  LabRequest& request = m_requests[packet.request];
  const ClassModel& model = m_scenario.classes[request.class_index];
  ++request.runs;
  m_result.ran_twice += !model.repeatable && request.runs > 1 ? 1 : 0;
  ++server.working;
  const ServiceModel& service = m_scenario.services[server.service];
  const bool cold = Now() - server.started < service.cold;
  const double sigma = std::sqrt(std::log1p(model.spread * model.spread));
  const double factor =
      std::lognormal_distribution<>(-sigma * sigma / 2, sigma)(m_work) *
      (cold ? service.cold_factor : 1.0) * server.slow;
  const bool failed =
      server.failing > 0 && std::bernoulli_distribution(server.failing)(m_work);
  const Duration length =
      failed ? Milliseconds(1)
             : Duration(static_cast<int64_t>(
                   static_cast<double>(model.work.count()) * factor));
  const uint64_t generation = server.generation;
  m_queue.After(length, [this, agent, packet, generation, failed] {
    LabServer& then = agent->server;
    if (!then.running || then.generation != generation) {
      return;
    }
    --then.working;
    ServerAnswers(agent, packet, false, failed);
    if (!then.waiting.empty()) {
      const LabPacket next = then.waiting.front();
      then.waiting.pop_front();
      ServerWorks(agent, next);
    }
  });
}

void World::ServerAnswers(LabAgent* agent,
                          const LabPacket& packet,
                          bool refused,
                          bool failed) {
  LabServer& server = agent->server;
  LabPacket answer;
  answer.head.flow = packet.head.flow;
  answer.head.from_caller = false;
  answer.head.ack = true;
  answer.head.data_length = 1000;
  answer.head.fin = server.draining;
  answer.request = packet.request;
  answer.is_refusal = refused;
  answer.head.answer = refused  ? AnswerKind::kRefused
                       : failed ? AnswerKind::kFailure
                                : AnswerKind::kSuccess;
  if (server.draining) {
    server.flows.erase(packet.head.flow);
    server.ended.insert(packet.head.flow);
  }
  ServerSends(agent, answer);
}

void World::ServerSends(LabAgent* agent, const LabPacket& packet) {
  if (agent->server.dark || agent->gate == nullptr) {
    return;
  }
  const ForwarderDecision decision =
      agent->gate->OnServerPacket(Now(), packet.head);
  if (agent->mute) {
    return;
  }
  if (decision.kind == ForwarderDecision::Kind::kReturn) {
    ReturnPacket(agent, decision, packet);
    return;
  }
  Travel(kCallerDelay, [this, packet] { CallerGets(packet); });
  Confirm(agent, decision, packet.head.flow);
}

void World::Confirm(LabAgent* agent,
                    const ForwarderDecision& decision,
                    const FlowKey& key) {
  if (!decision.confirm || agent->mute) {
    return;
  }
  LabBalancer* balancer = BalancerAt(decision.balancer_ip);
  const ServerLoad load = agent->gate->Load(Now());
  const MemberId id{agent->ip};
  const bool proven = decision.proven;
  Travel(kInsideDelay, [this, balancer, id, load, key, proven] {
    if (balancer->running && !balancer->cut) {
      balancer->roster->OnLoad(Now(), id, load);
      balancer->director->OnFlowConfirmed(Now(), id, key, proven);
    }
  });
}

}  // namespace medlargauge::lab::detail

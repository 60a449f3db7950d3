// @file lab_faults.cc Injection of faults into a simulation.
#include <algorithm>
#include <cmath>

#include "lab/lab_engine.h"
#include "src/core/hash.h"

namespace medlargauge::lab::detail {

void Simulation::ScheduleFaults() {
  for (const Fault& fault : m_scenario.faults) {
    m_queue.After(fault.start, [this, fault] { InjectFault(fault); });
  }
}

std::vector<SimAgent*> Simulation::ChooseAgents(const Fault& fault) {
  std::vector<SimAgent*> candidates;
  for (auto& agent : m_agents) {
    const std::string& service =
        m_scenario.services[agent->server.service_index].name;
    if (fault.service.empty() || fault.service == service) {
      candidates.push_back(agent.get());
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), m_network_random);
  candidates.resize(std::min<size_t>(candidates.size(), fault.count));
  return candidates;
}

std::vector<SimBalancer*> Simulation::ChooseBalancers(const Fault& fault) {
  std::vector<SimBalancer*> candidates;
  for (auto& balancer : m_balancers) {
    candidates.push_back(balancer.get());
  }
  std::shuffle(candidates.begin(), candidates.end(), m_network_random);
  candidates.resize(std::min<size_t>(candidates.size(), fault.count));
  return candidates;
}

void Simulation::RestartAgent(SimAgent* agent, Duration downtime) {
  agent->forwarder = nullptr;
  m_queue.After(downtime, [this, agent] { StartAgent(agent); });
}

void Simulation::RestartBalancer(SimBalancer* balancer, Duration downtime) {
  balancer->running = false;
  m_queue.After(downtime, [this, balancer] {
    StartBalancer(balancer);
    // A new balancer learns the agents from a peer and gets a status of each.
    for (auto& agent : m_agents) {
      SendStatus(agent.get());
    }
  });
}

void Simulation::RestartServer(SimAgent* agent, Duration downtime) {
  SimServer& server = agent->server;
  server.running = false;
  server.open_flows.clear();
  server.half_open.clear();
  server.closed_flows.clear();
  server.queue.clear();
  server.busy_slots = 0;
  ++server.generation;
  m_queue.After(downtime, [this, agent] {
    SimServer& restarted = agent->server;
    restarted.running = true;
    restarted.unresponsive = false;
    restarted.draining = false;
    restarted.drain_reported_at = TimePoint();
    restarted.started_at = Now();
    restarted.heartbeat_sequence = 0;
    SendHeartbeat(agent);
  });
}

void Simulation::InjectFault(const Fault& fault) {
  switch (fault.type) {
    case FaultType::kKillBalancers:
      for (SimBalancer* balancer : ChooseBalancers(fault)) {
        RestartBalancer(balancer, fault.duration);
      }
      break;
    case FaultType::kStopBalancers:
      for (SimBalancer* balancer : ChooseBalancers(fault)) {
        balancer->ready = false;
        balancer->director->QueueAllPointers(Now());
        SendPointers(balancer);
        m_queue.After(Milliseconds(1700), [this, balancer, fault] {
          RestartBalancer(balancer, fault.duration);
        });
      }
      break;
    case FaultType::kKillAgents:
      for (SimAgent* agent : ChooseAgents(fault)) {
        RestartAgent(agent, fault.duration);
      }
      break;
    case FaultType::kStopAgents:
      for (SimAgent* agent : ChooseAgents(fault)) {
        agent->leaving = true;
        agent->forwarder->StartLeaving();
        SendStatus(agent);
        m_queue.After(Milliseconds(300), [this, agent, fault] {
          RestartAgent(agent, fault.duration);
        });
      }
      break;
    case FaultType::kCrashServers:
      for (SimAgent* agent : ChooseAgents(fault)) {
        RestartServer(agent, fault.duration);
        m_queue.After(Milliseconds(120), [this, agent] {
          const bool server_is_down =
              agent->forwarder != nullptr && !agent->server.running;
          if (!server_is_down) {
            return;
          }
          for (const FlowReset& flow_reset :
               agent->forwarder->OnServerDown(Now())) {
            SimPacket reset;
            reset.header.flow = flow_reset.flow;
            reset.header.rst = true;
            SendPacket(kCallerNetworkDelay,
                       [this, reset] { OnPacketAtCaller(reset); });
          }
          SendStatus(agent);
        });
      }
      break;
    case FaultType::kUnresponsiveServers:
      for (SimAgent* agent : ChooseAgents(fault)) {
        agent->server.unresponsive = true;
        RestartServer(agent, fault.duration);
      }
      break;
    case FaultType::kFailingServers:
      for (SimAgent* agent : ChooseAgents(fault)) {
        agent->server.failure_probability = fault.factor;
        m_queue.After(fault.duration,
                      [agent] { agent->server.failure_probability = 0; });
      }
      break;
    case FaultType::kResettingServers:
      for (SimAgent* agent : ChooseAgents(fault)) {
        agent->server.resets_requests = true;
        m_queue.After(fault.duration,
                      [agent] { agent->server.resets_requests = false; });
      }
      break;
    case FaultType::kRefusingServers:
      for (SimAgent* agent : ChooseAgents(fault)) {
        agent->server.refusal_probability = fault.factor;
        m_queue.After(fault.duration,
                      [agent] { agent->server.refusal_probability = 0; });
      }
      break;
    case FaultType::kSlowServers:
      for (SimAgent* agent : ChooseAgents(fault)) {
        agent->server.work_time_factor = fault.factor;
        m_queue.After(fault.duration,
                      [agent] { agent->server.work_time_factor = 1; });
      }
      break;
    case FaultType::kDrainServers:
      for (SimAgent* agent : ChooseAgents(fault)) {
        if (agent->server.draining || !agent->server.running) {
          continue;  // It is leaving or has ended already.
        }
        agent->server.draining = true;
        SendHeartbeat(agent);
        SendStatus(agent);
        m_queue.After(kDrainTime + Milliseconds(500), [this, agent, fault] {
          if (agent->forwarder != nullptr) {
            agent->forwarder->OnDeregister(agent->server.id);
          }
          RestartServer(agent, fault.duration);
        });
      }
      break;
    case FaultType::kLoseAgentOutput:
      for (SimAgent* agent : ChooseAgents(fault)) {
        agent->loses_output = true;
        m_queue.After(fault.duration, [agent] { agent->loses_output = false; });
      }
      break;
    case FaultType::kIsolateBalancers:
      for (SimBalancer* balancer : ChooseBalancers(fault)) {
        balancer->isolated = true;
        m_queue.After(fault.duration,
                      [balancer] { balancer->isolated = false; });
      }
      break;
    case FaultType::kPowerOff:
      for (auto& balancer : m_balancers) {
        RestartBalancer(balancer.get(), fault.duration + Milliseconds(300));
      }
      for (auto& agent : m_agents) {
        RestartServer(agent.get(), fault.duration);
        RestartAgent(agent.get(), fault.duration + Milliseconds(100));
      }
      break;
    case FaultType::kLoadBurst:
      m_arrival_factor = fault.factor;
      m_queue.After(fault.duration, [this] { m_arrival_factor = 1; });
      break;
    case FaultType::kPacketLoss:
      m_loss_probability = fault.factor;
      m_queue.After(fault.duration, [this] { m_loss_probability = 0; });
      break;
  }
}

}  // namespace medlargauge::lab::detail

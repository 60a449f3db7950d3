// @file lab_faults.cc What goes wrong, and when.
#include <algorithm>
#include <cmath>

#include "lab/lab_engine.h"
#include "src/core/hash.h"

namespace medlargauge::lab::detail {

void World::ScheduleTroubles() {
  for (const Trouble& trouble : m_scenario.troubles) {
    m_queue.After(trouble.at, [this, trouble] { Begin(trouble); });
  }
}

std::vector<LabAgent*> World::ChooseAgents(const Trouble& trouble) {
  std::vector<LabAgent*> fitting;
  for (auto& agent : m_agents) {
    const std::string& service =
        m_scenario.services[agent->server.service].name;
    if (trouble.service.empty() || trouble.service == service) {
      fitting.push_back(agent.get());
    }
  }
  std::shuffle(fitting.begin(), fitting.end(), m_network);
  fitting.resize(std::min<size_t>(fitting.size(), trouble.count));
  return fitting;
}

std::vector<LabBalancer*> World::ChooseBalancers(const Trouble& trouble) {
  std::vector<LabBalancer*> all;
  for (auto& balancer : m_balancers) {
    all.push_back(balancer.get());
  }
  std::shuffle(all.begin(), all.end(), m_network);
  all.resize(std::min<size_t>(all.size(), trouble.count));
  return all;
}

void World::RestartAgent(LabAgent* agent, Duration after) {
  agent->gate = nullptr;
  m_queue.After(after, [this, agent] { StartAgent(agent); });
}

void World::RestartBalancer(LabBalancer* balancer, Duration after) {
  balancer->running = false;
  m_queue.After(after, [this, balancer] {
    StartBalancer(balancer);
    // A newcomer asks a peer and hears the agents within a status.
    for (auto& agent : m_agents) {
      SendStatus(agent.get());
    }
  });
}

void World::RestartServer(LabAgent* agent, Duration after) {
  LabServer& server = agent->server;
  server.running = false;
  server.flows.clear();
  server.half_open.clear();
  server.ended.clear();
  server.waiting.clear();
  server.working = 0;
  ++server.generation;
  m_queue.After(after, [this, agent] {
    LabServer& fresh = agent->server;
    fresh.running = true;
    fresh.dark = false;
    fresh.draining = false;
    fresh.left_at = TimePoint();
    fresh.started = Now();
    fresh.reports = 0;
    Report(agent);
  });
}

void World::Begin(const Trouble& trouble) {
  switch (trouble.kind) {
    case TroubleKind::kKillBalancers:
      for (LabBalancer* balancer : ChooseBalancers(trouble)) {
        RestartBalancer(balancer, trouble.length);
      }
      break;
    case TroubleKind::kStopBalancers:
      for (LabBalancer* balancer : ChooseBalancers(trouble)) {
        balancer->ready = false;
        balancer->director->QueueAllPointers(Now());
        SendPointers(balancer);
        m_queue.After(Milliseconds(1700), [this, balancer, trouble] {
          RestartBalancer(balancer, trouble.length);
        });
      }
      break;
    case TroubleKind::kKillAgents:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        RestartAgent(agent, trouble.length);
      }
      break;
    case TroubleKind::kStopAgents:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        agent->leaving = true;
        agent->gate->StartLeaving();
        SendStatus(agent);
        m_queue.After(Milliseconds(300), [this, agent, trouble] {
          RestartAgent(agent, trouble.length);
        });
      }
      break;
    case TroubleKind::kCrashServers:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        RestartServer(agent, trouble.length);
        m_queue.After(Milliseconds(120), [this, agent] {
          const bool gone = agent->gate != nullptr && !agent->server.running;
          if (!gone) {
            return;
          }
          for (const FlowReset& lost : agent->gate->OnServerDown(Now())) {
            LabPacket reset;
            reset.head.flow = lost.flow;
            reset.head.rst = true;
            Travel(kCallerDelay, [this, reset] { CallerGets(reset); });
          }
          SendStatus(agent);
        });
      }
      break;
    case TroubleKind::kDarkServers:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        agent->server.dark = true;
        RestartServer(agent, trouble.length);
      }
      break;
    case TroubleKind::kFailingServers:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        agent->server.failing = trouble.factor;
        m_queue.After(trouble.length, [agent] { agent->server.failing = 0; });
      }
      break;
    case TroubleKind::kSlowServers:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        agent->server.slow = trouble.factor;
        m_queue.After(trouble.length, [agent] { agent->server.slow = 1; });
      }
      break;
    case TroubleKind::kDrainServers:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        if (agent->server.draining || !agent->server.running) {
          continue;  // It leaves already.
        }
        agent->server.draining = true;
        Report(agent);
        SendStatus(agent);
        m_queue.After(kDrainTime + Milliseconds(500), [this, agent, trouble] {
          if (agent->gate != nullptr) {
            agent->gate->OnDeregister(Now(), agent->server.id);
          }
          RestartServer(agent, trouble.length);
        });
      }
      break;
    case TroubleKind::kMuteAgents:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        agent->mute = true;
        m_queue.After(trouble.length, [agent] { agent->mute = false; });
      }
      break;
    case TroubleKind::kCutBalancers:
      for (LabBalancer* balancer : ChooseBalancers(trouble)) {
        balancer->cut = true;
        m_queue.After(trouble.length, [balancer] { balancer->cut = false; });
      }
      break;
    case TroubleKind::kPowerOff:
      for (auto& balancer : m_balancers) {
        RestartBalancer(balancer.get(), trouble.length + Milliseconds(300));
      }
      for (auto& agent : m_agents) {
        RestartServer(agent.get(), trouble.length);
        RestartAgent(agent.get(), trouble.length + Milliseconds(100));
      }
      break;
    case TroubleKind::kBurst:
      m_burst = trouble.factor;
      m_queue.After(trouble.length, [this] { m_burst = 1; });
      break;
    case TroubleKind::kLoss:
      m_loss = trouble.factor;
      m_queue.After(trouble.length, [this] { m_loss = 0; });
      break;
  }
}

}  // namespace medlargauge::lab::detail

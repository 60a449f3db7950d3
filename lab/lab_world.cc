// @file lab_world.cc Setting a run up, and its results.
#include "lab/lab_world.h"

#include <algorithm>

#include "lab/lab_engine.h"
#include "src/core/hash.h"

namespace medlargauge::lab {
namespace detail {

void World::Build() {
  for (uint32_t i = 0; i < m_scenario.balancers; ++i) {
    auto balancer = std::make_unique<LabBalancer>();
    balancer->ip = kBalancerNet + i + 1;
    balancer->domain = i % m_scenario.domains;
    m_balancers.push_back(std::move(balancer));
  }
  uint32_t host = 0;
  for (size_t s = 0; s < m_scenario.services.size(); ++s) {
    for (uint32_t i = 0; i < m_scenario.services[s].servers; ++i) {
      auto agent = std::make_unique<LabAgent>();
      agent->ip = kAgentNet + ++host;
      agent->domain = i % m_scenario.domains;
      agent->server.service = s;
      agent->server.id = "server-" + std::to_string(host);
      agent->server.address = {agent->ip, kServerPort};
      agent->server.started = Now() - Seconds(60);
      m_agents.push_back(std::move(agent));
    }
  }
  for (auto& agent : m_agents) {
    StartAgent(agent.get());
  }
  for (auto& balancer : m_balancers) {
    StartBalancer(balancer.get());
  }
  Repeat(kReportInterval, [this] {
    for (auto& agent : m_agents) {
      Report(agent.get());
    }
  });
  Repeat(kStatusInterval, [this] {
    for (auto& agent : m_agents) {
      SendStatus(agent.get());
    }
  });
  Repeat(kCheckInterval, [this] { CheckBalancers(); });
  Repeat(Milliseconds(50), [this] {
    for (auto& agent : m_agents) {
      if (agent->gate != nullptr) {
        agent->gate->OnTick(Now());
      }
    }
  });
}

RouteTable World::MakeTable() const {
  RouteTable table;
  table.revision = 1;
  table.version = 1;
  table.idle_timeout_ms = 15000;
  for (size_t i = 0; i < m_scenario.classes.size(); ++i) {
    const ClassModel& model = m_scenario.classes[i];
    ServiceRoute route;
    route.name = model.name;
    route.address = {kRouteNet + static_cast<uint32_t>(i) + 1, kRoutePort};
    route.shares.push_back({ServiceIdOf(model.service), 1});
    route.repeatable = model.repeatable;
    route.timeout_ms = static_cast<uint32_t>(ToMilliseconds(model.limit));
    route.goal_ms = static_cast<uint32_t>(
        ToMilliseconds(m_policy.by_aim ? model.aim : model.limit));
    route.priority = model.priority;
    table.routes.push_back(std::move(route));
  }
  return table;
}

void World::StartBalancer(LabBalancer* balancer) {
  const MemberId id{balancer->ip};
  balancer->roster =
      std::make_unique<MembershipTable>(id, MembershipTimeouts());
  balancer->routes = std::make_unique<ActiveRoutes>();
  balancer->routes->Adopt(MakeTable());
  DirectorLimits limits;
  limits.max_busy_returns = m_policy.max_busy_returns;
  balancer->director = std::make_unique<FlowDirector>(
      Now(), DomainId{balancer->domain + 1}, balancer->roster.get(),
      balancer->routes.get(), limits, m_policy.place);
  balancer->running = true;
  balancer->ready = true;
  ++balancer->starts;
  RunBalancerTimers(balancer);
}

void World::StartAgent(LabAgent* agent) {
  const ServiceModel& service = m_scenario.services[agent->server.service];
  ForwarderLimits limits;
  limits.response_limit_percent = m_policy.response_limit_percent;
  agent->gate = std::make_unique<AgentForwarder>(service.name,
                                                 agent->server.address, limits);
  ++agent->incarnation;
  agent->sequence = 0;
  agent->leaving = false;
  SendStatus(agent);
}

void World::Repeat(Duration period, const std::function<void()>& body) {
  m_queue.After(period, [this, period, body] {
    body();
    Repeat(period, body);
  });
}

LabAgent* World::AgentAt(uint32_t ip) {
  return m_agents[ip - kAgentNet - 1].get();
}

LabBalancer* World::BalancerAt(uint32_t ip) {
  return m_balancers[ip - kBalancerNet - 1].get();
}

}  // namespace detail

ClassResult Result::Total() const {
  ClassResult total;
  for (const auto& [name, result] : classes) {
    total.asked += result.asked;
    total.in_aim += result.in_aim;
    total.late += result.late;
    total.failed += result.failed;
    total.owed += result.owed;
    total.earned += result.earned;
  }
  return total;
}

double Result::Worth() const {
  const ClassResult total = Total();
  return total.earned / total.owed;
}

double Result::WorstWindow() const {
  double worst = 1;
  for (const ClassResult& window : windows) {
    if (window.owed > 0) {
      worst = std::min(worst, window.earned / window.owed);
    }
  }
  return worst;
}

Result Play(const Scenario& scenario, const Policy& policy, uint64_t seed) {
  detail::World world(scenario, policy, seed);
  return world.Run();
}

}  // namespace medlargauge::lab

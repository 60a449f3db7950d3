// @file lab_simulation.cc Set-up of a simulation, and its results.
#include "lab/lab_simulation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "lab/lab_engine.h"
#include "src/core/hash.h"

namespace medlargauge::lab {
namespace detail {

void Simulation::BuildDeployment() {
  for (uint32_t i = 0; i < m_scenario.balancers; ++i) {
    auto balancer = std::make_unique<SimBalancer>();
    balancer->ip = kBalancerNetwork + i + 1;
    balancer->domain = i % m_scenario.domains;
    m_balancers.push_back(std::move(balancer));
  }
  uint32_t host_number = 0;
  for (size_t service_index = 0; service_index < m_scenario.services.size();
       ++service_index) {
    for (uint32_t i = 0; i < m_scenario.services[service_index].servers; ++i) {
      auto agent = std::make_unique<SimAgent>();
      agent->ip = kAgentNetwork + ++host_number;
      agent->domain = i % m_scenario.domains;
      agent->server.service_index = service_index;
      agent->server.id = "server-" + std::to_string(host_number);
      agent->server.address = {agent->ip, kServerPort};
      agent->server.speed = m_scenario.services[service_index].SpeedOf(i);
      agent->server.started_at = Now() - Seconds(60);
      m_agents.push_back(std::move(agent));
    }
  }
  for (auto& agent : m_agents) {
    StartAgent(agent.get());
  }
  for (auto& balancer : m_balancers) {
    StartBalancer(balancer.get());
  }
  RunEvery(kHeartbeatInterval, [this] {
    for (auto& agent : m_agents) {
      SendHeartbeat(agent.get());
    }
  });
  for (auto& agent : m_agents) {
    ScheduleStatus(agent.get(), agent->ip % m_balancers.size());
  }
  RunEvery(kReadinessInterval, [this] { CheckReadiness(); });
  RunEvery(Milliseconds(50), [this] {
    for (auto& agent : m_agents) {
      if (agent->forwarder != nullptr) {
        agent->forwarder->OnTick(Now());
      }
    }
  });
}

RouteTable Simulation::MakeRouteTable() const {
  RouteTable table;
  table.identity.version.revision = 1;
  table.identity.operators_version = 1;
  table.idle_timeout_ms = 15000;
  for (size_t i = 0; i < m_scenario.classes.size(); ++i) {
    const ClassModel& model = m_scenario.classes[i];
    ServiceRoute route;
    route.name = model.name;
    route.address = {kRouteNetwork + static_cast<uint32_t>(i) + 1, kRoutePort};
    route.shares.push_back({ServiceIdOf(model.service), 1});
    route.repeatable = model.repeatable;
    route.timeout_ms =
        static_cast<uint32_t>(ToMilliseconds(model.caller_timeout));
    route.goal_ms = static_cast<uint32_t>(
        ToMilliseconds(m_policy.use_response_goal ? model.response_goal
                                                  : model.caller_timeout));
    route.priority = model.priority;
    table.routes.push_back(std::move(route));
  }
  return table;
}

void Simulation::StartBalancer(SimBalancer* balancer) {
  const MemberId id{balancer->ip};
  balancer->members =
      std::make_unique<MembershipTable>(id, MembershipTimeouts());
  balancer->members->OnFleetMet();  // Statuses of balancers aren't simulated.
  balancer->routes = std::make_unique<ActiveRoutes>();
  balancer->routes->Adopt(MakeRouteTable());
  DirectorLimits limits;
  if (m_policy.tune_balancer != nullptr) {
    m_policy.tune_balancer(&limits);
  }
  balancer->director = std::make_unique<FlowDirector>(
      Now(), DomainId{balancer->domain + 1}, balancer->members.get(),
      balancer->routes.get(), limits, m_policy.placement);
  balancer->running = true;
  balancer->ready = true;
  ++balancer->start_count;
  ScheduleBalancerTick(balancer);
}

void Simulation::StartAgent(SimAgent* agent) {
  const ServiceModel& service =
      m_scenario.services[agent->server.service_index];
  ForwarderLimits limits;
  if (m_policy.tune_agent != nullptr) {
    m_policy.tune_agent(&limits);
  }
  agent->forwarder = std::make_unique<AgentForwarder>(
      service.name, agent->server.address, limits);
  ++agent->incarnation;
  agent->status_sequence = 0;
  agent->leaving = false;
  SendStatus(agent);
}

void Simulation::RunEvery(Duration period,
                          const std::function<void()>& action) {
  m_queue.After(period, [this, period, action] {
    action();
    RunEvery(period, action);
  });
}

SimAgent* Simulation::AgentAt(uint32_t ip) {
  return m_agents[ip - kAgentNetwork - 1].get();
}

SimBalancer* Simulation::BalancerAt(uint32_t ip) {
  return m_balancers[ip - kBalancerNetwork - 1].get();
}

}  // namespace detail

void ClassResult::RecordEnd(const ClassModel& model,
                            std::optional<Duration> response_time) {
  if (!response_time.has_value()) {
    ++failed;
    return;
  }
  const bool is_in_time = *response_time <= model.response_goal;
  ++(is_in_time ? in_aim : late);
  earned_worth += is_in_time ? model.worth : model.late_worth;
  response_ms.push_back(
      std::chrono::duration<float, std::milli>(*response_time).count());
}

void ClassResult::Add(const ClassResult& other) {
  asked += other.asked;
  in_aim += other.in_aim;
  late += other.late;
  failed += other.failed;
  possible_worth += other.possible_worth;
  earned_worth += other.earned_worth;
  response_ms.insert(response_ms.end(), other.response_ms.begin(),
                     other.response_ms.end());
  refusal_ms.insert(refusal_ms.end(), other.refusal_ms.begin(),
                    other.refusal_ms.end());
}

ClassResult Result::Total() const {
  ClassResult total;
  for (const auto& [name, result] : classes) {
    total.Add(result);
  }
  return total;
}

std::map<uint32_t, ClassResult> Result::ByPriority(
    const Scenario& scenario) const {
  std::map<uint32_t, ClassResult> priorities;
  for (const ClassModel& model : scenario.classes) {
    priorities[model.priority].Add(classes.at(model.name));
  }
  return priorities;
}

double Mean(const std::vector<float>& values) {
  return values.empty() ? 0
                        : std::accumulate(values.begin(), values.end(), 0.0) /
                              static_cast<double>(values.size());
}

double Percentile(std::vector<float> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<size_t>(
      std::ceil(share * static_cast<double>(values.size())));
  const auto at = values.begin() +
                  static_cast<std::ptrdiff_t>(std::max<size_t>(rank, 1) - 1);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

double Result::Worth() const {
  const ClassResult total = Total();
  return total.earned_worth / total.possible_worth;
}

double Result::WorstWindow() const {
  double worst = 1;
  for (const ClassResult& window : windows) {
    if (window.possible_worth > 0) {
      worst = std::min(worst, window.earned_worth / window.possible_worth);
    }
  }
  return worst;
}

Result Simulate(const Scenario& scenario, const Policy& policy, uint64_t seed) {
  detail::Simulation simulation(scenario, policy, seed);
  return simulation.Run();
}

}  // namespace medlargauge::lab

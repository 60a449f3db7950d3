// @file deployment_world.cc Setup and traffic of a simulated deployment.
#include "bench/deployment_world.h"

#include "src/packet/packet.h"

namespace medlargauge {
namespace {

constexpr int kBalancerCount = 3;
constexpr Duration kStartupTime = Seconds(5);
constexpr uint32_t kFirstClassAddress = 0xCB007101;  // 203.0.113.1

WorldOptions WithDeploymentDelays(const BenchDeployment& deployment,
                                  WorldOptions options) {
  options.agent_delay = std::chrono::microseconds(deployment.agent_delay_us);
  options.caller_delay = std::chrono::microseconds(deployment.caller_delay_us);
  return options;
}

}  // namespace

DeploymentWorld::DeploymentWorld(const BenchDeployment& deployment,
                                 WorldOptions options)
    : m_deployment(deployment),
      m_world(WithDeploymentDelays(deployment, std::move(options))) {
  for (int i = 1; i <= kBalancerCount; ++i) {
    m_world.AddBalancer("balancer-" + std::to_string(i));
  }
  uint32_t address = kFirstClassAddress;
  for (const BenchService& service : deployment.services) {
    for (int i = 0; i < service.server_count; ++i) {
      m_world.AddServer(
          service.name + "-" + std::to_string(i + 1), service.name, "v1",
          deployment.failure_domains[i % deployment.failure_domains.size()]);
    }
    ClassTarget target;
    target.name = service.name;
    target.service = service.name;
    target.baseline = "v1";
    target.address = ToMappedAddress(address++);
    m_world.SetTarget(target, Milliseconds(100));
  }
  m_world.Run(kStartupTime);
}

void DeploymentWorld::StartTraffic(const std::string& service,
                                   BenchTraffic traffic) {
  m_streams.push_back({service, std::move(traffic)});
  ScheduleNextFlow(m_streams.size() - 1);
}

void DeploymentWorld::SetFlowRate(const std::string& service,
                                  double flows_per_second) {
  for (FlowStream& stream : m_streams) {
    if (stream.service == service) {
      stream.traffic.flows_per_second = flows_per_second;
    }
  }
}

void DeploymentWorld::ScheduleNextFlow(size_t index) {
  const BenchTraffic& traffic = m_streams[index].traffic;
  const Duration mean_gap(static_cast<int64_t>(1e9 / traffic.flows_per_second));
  m_world.Events().After(m_world.Exponential(mean_gap), [this, index] {
    if (!m_traffic_enabled) {
      return;
    }
    const FlowStream& stream = m_streams[index];
    FlowPlan plan;
    plan.class_name = stream.service;
    plan.lifetime = stream.traffic.lifetime();
    plan.pause = stream.traffic.pause;
    plan.transport = m_world.Uniform() < stream.traffic.udp_share
                         ? Transport::kUdp
                         : Transport::kTcp;
    m_world.StartFlow(plan);
    ScheduleNextFlow(index);
  });
}

std::vector<std::string> DeploymentWorld::ServerNames(
    const std::string& service) const {
  std::vector<std::string> names;
  for (const auto& host : m_world.Agents()) {
    if (host->service == service) {
      names.push_back(host->name);
    }
  }
  return names;
}

}  // namespace medlargauge

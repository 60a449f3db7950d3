// @file deployment_world.cc Sets up deployments and their traffic.
#include "bench/deployment_world.h"

#include "src/packet/packet.h"

namespace medlargauge {
namespace {

constexpr int kBalancers = 3;
constexpr Duration kWarmUp = Seconds(5);
constexpr uint32_t kFirstAddress = 0xCB007101;  // 203.0.113.1

WorldOptions WithDelays(const BenchDeployment& deployment,
                        WorldOptions options) {
  options.agent_delay = std::chrono::microseconds(deployment.agent_delay_us);
  options.caller_delay = std::chrono::microseconds(deployment.caller_delay_us);
  return options;
}

}  // namespace

DeploymentWorld::DeploymentWorld(const BenchDeployment& deployment,
                                 WorldOptions options)
    : m_deployment(deployment),
      m_world(WithDelays(deployment, std::move(options))) {
  for (int i = 1; i <= kBalancers; ++i) {
    m_world.AddBalancer("balancer-" + std::to_string(i));
  }
  uint32_t address = kFirstAddress;
  for (const BenchService& service : deployment.services) {
    for (int i = 0; i < service.endpoints; ++i) {
      m_world.AddServer(service.name + "-" + std::to_string(i + 1),
                        service.name, "v1",
                        deployment.domains[i % deployment.domains.size()]);
    }
    ClassTarget target;
    target.name = service.name;
    target.service = service.name;
    target.baseline = "v1";
    target.address = ToMappedAddress(address++);
    m_world.SetTarget(target, Milliseconds(100));
  }
  m_world.Run(kWarmUp);
}

void DeploymentWorld::StartTraffic(const std::string& service,
                                   BenchTraffic traffic) {
  m_streams.push_back({service, std::move(traffic)});
  ScheduleNext(m_streams.size() - 1);
}

void DeploymentWorld::SetRate(const std::string& service,
                              double flows_per_second) {
  for (Stream& stream : m_streams) {
    if (stream.service == service) {
      stream.traffic.flows_per_second = flows_per_second;
    }
  }
}

void DeploymentWorld::ScheduleNext(size_t index) {
  const BenchTraffic& traffic = m_streams[index].traffic;
  const Duration mean(static_cast<int64_t>(1e9 / traffic.flows_per_second));
  m_world.Events().After(m_world.Exponential(mean), [this, index] {
    if (!m_traffic_runs) {
      return;
    }
    const Stream& stream = m_streams[index];
    FlowPlan plan;
    plan.class_name = stream.service;
    plan.lifetime = stream.traffic.lifetime();
    plan.pause = stream.traffic.pause;
    plan.transport = m_world.Uniform() < stream.traffic.udp_share
                         ? Transport::kUdp
                         : Transport::kTcp;
    m_world.StartFlow(plan);
    ScheduleNext(index);
  });
}

std::vector<std::string> DeploymentWorld::ServersOf(
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

// @file group_cost.cc Control bytes and processor time of the agents of one
// service, for several group sizes and rates of new flows.
#include <iomanip>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <vector>

#include "bench/bench.h"
#include "bench/measure.h"
#include "src/admission/admission.h"
#include "src/core/hash.h"
#include "src/locate/agent.h"
#include "src/packet/packet.h"

namespace medlargauge {
namespace {

constexpr Duration kStep = Milliseconds(50);
constexpr int kWarmUpSteps = 200;
constexpr int kMeasuredSteps = 400;
constexpr int kObserverCount = 3;

/// The agents of one service and the balancers that observe them. All run in
/// the same steps of simulated time. Not thread-safe.
class SimulatedGroup {
 public:
  SimulatedGroup(size_t size, uint64_t seed) : m_random(seed) {
    for (size_t i = 0; i < size; ++i) {
      AgentConfig config;
      config.service = ServiceIdOf("stock");
      config.self.id = MemberIdOf("stock-" + std::to_string(i));
      config.self.incarnation = 1;
      config.policy = PlaceWithinBound;
      config.limits.ramp = Duration(0);
      m_agents.push_back(std::make_unique<Agent>(m_now, config));
      VersionSplit split;
      split.class_id = ClassIdOf("stock");
      m_agents.back()->SetSplits(m_now, {split});
    }
    for (int i = 0; i < kObserverCount; ++i) {
      AgentFacts facts;
      facts.id = MemberIdOf("balancer-" + std::to_string(i));
      facts.incarnation = 1;
      facts.state = AgentState::kReady;
      m_observers.push_back(std::make_unique<Group>(ServiceIdOf("stock"), facts,
                                                    true, GroupTimeouts()));
    }
    for (const auto& agent : m_agents) {
      for (const auto& peer : m_agents) {
        agent->UpdateMember(m_now, peer->ServiceGroup().Self(), false);
      }
      for (const auto& observer : m_observers) {
        agent->UpdateMember(m_now, observer->Self(), true);
        observer->UpdateMember(m_now, agent->ServiceGroup().Self(), false);
      }
    }
  }

  /// Runs the group under new flows at this rate and returns the measurements.
  nlohmann::json Run(double flows_per_agent_per_second) {
    for (int step = 0; step < kWarmUpSteps; ++step) {
      AdvanceOneStep(0);
    }
    m_agent_bytes = 0;
    m_observer_bytes = 0;
    const double cpu_start = ThreadCpuSeconds();
    for (int step = 0; step < kMeasuredSteps; ++step) {
      AdvanceOneStep(flows_per_agent_per_second *
                     static_cast<double>(m_agents.size()) *
                     static_cast<double>(kStep.count()) / 1e9);
    }
    const double cpu_seconds = ThreadCpuSeconds() - cpu_start;
    const double seconds =
        kMeasuredSteps * static_cast<double>(kStep.count()) / 1e9;
    const auto agents = static_cast<double>(m_agents.size());
    return {
        {"bytes_per_s_agent", m_agent_bytes / agents / seconds},
        {"bytes_per_s_observer", m_observer_bytes / kObserverCount / seconds},
        {"cpu_percent_agent",
         cpu_seconds / (agents + kObserverCount) / seconds * 100}};
  }

 private:
  /// Advances the time by one step. Messages sent in a step arrive in the next.
  void AdvanceOneStep(double new_flows) {
    m_now += kStep;
    std::vector<OutgoingGroupMessage> arriving_messages;
    arriving_messages.swap(m_messages_in_flight);
    for (const OutgoingGroupMessage& message : arriving_messages) {
      DeliverMessage(message);
    }
    for (m_flows_due += new_flows; m_flows_due >= 1; m_flows_due -= 1) {
      OpenFlow();
    }
    for (const auto& agent : m_agents) {
      agent->OnTick(m_now);
      for (OutgoingGroupMessage& message : agent->TakeOutgoing()) {
        m_agent_bytes += static_cast<double>(message.message.ByteSizeLong() +
                                             kMessageOverheadBytes);
        m_messages_in_flight.push_back(std::move(message));
      }
    }
    for (const auto& observer : m_observers) {
      observer->UpdateFence(m_now);
      observer->OnTick(m_now, OwnLoad());
      for (OutgoingGroupMessage& message : observer->TakeOutgoing()) {
        m_observer_bytes += static_cast<double>(message.message.ByteSizeLong() +
                                                kMessageOverheadBytes);
        m_messages_in_flight.push_back(std::move(message));
      }
    }
  }

  void DeliverMessage(const OutgoingGroupMessage& message) {
    for (const auto& agent : m_agents) {
      if (agent->ServiceGroup().Self().id == message.to) {
        agent->OnMessage(m_now, message.message);
        return;
      }
    }
    for (const auto& observer : m_observers) {
      if (observer->Self().id == message.to &&
          message.message.has_heartbeat()) {
        observer->UpdateFence(m_now);
        observer->OnHeartbeat(m_now, message.message);
      }
    }
  }

  /// Sends the SYN of a new flow to a random agent and follows the verdicts for
  /// at most eight hops.
  void OpenFlow() {
    PacketInfo packet;
    packet.tuple.source = ToMappedAddress(m_random());
    packet.tuple.source_port = static_cast<uint16_t>(m_random());
    packet.syn = true;
    packet.flow = HashFlow(packet.tuple);
    Envelope envelope;
    envelope.class_id = ClassIdOf("stock");
    Agent* agent =
        m_agents[m_random(static_cast<uint32_t>(m_agents.size()))].get();
    for (int hop = 0; hop < 8; ++hop) {
      const Verdict verdict = agent->OnPacket(m_now, packet, envelope);
      if (verdict.kind != VerdictKind::kForward) {
        return;
      }
      envelope = verdict.envelope;
      for (const auto& peer : m_agents) {
        if (peer->ServiceGroup().Self().id == verdict.next) {
          agent = peer.get();
        }
      }
    }
  }

  pcg32 m_random;                                   ///< Random numbers.
  TimePoint m_now{Seconds(100)};                    ///< Simulated time.
  std::vector<std::unique_ptr<Agent>> m_agents;     ///< Agents of the service.
  std::vector<std::unique_ptr<Group>> m_observers;  ///< One for each balancer.
  /// Messages that arrive in the next step.
  std::vector<OutgoingGroupMessage> m_messages_in_flight;
  double m_flows_due = 0;       ///< New flows due, with a fraction.
  double m_agent_bytes = 0;     ///< Bytes sent by all agents.
  double m_observer_bytes = 0;  ///< Bytes sent by all observers.
};

}  // namespace

nlohmann::json RunGroupCost(const BenchOptions& options) {
  nlohmann::json rows = nlohmann::json::array();
  std::cout << "agents  flows/s  agent_bytes/s  observer_bytes/s  cpu%\n";
  for (const size_t size : {4U, 7U, 14U, 28U}) {
    for (const double new_flows : {0.0, 10.7, 100.0}) {
      SimulatedGroup group(size, options.seed);
      nlohmann::json row = group.Run(new_flows);
      row["agents"] = size;
      row["new_flows_per_s"] = new_flows;
      std::cout << std::setw(6) << size << std::fixed << std::setprecision(1)
                << std::setw(9) << new_flows << std::setw(15)
                << row["bytes_per_s_agent"].get<double>() << std::setw(18)
                << row["bytes_per_s_observer"].get<double>()
                << std::setprecision(4) << std::setw(9)
                << row["cpu_percent_agent"].get<double>() << "\n";
      rows.push_back(row);
    }
  }
  return {{"rows", rows}};
}

}  // namespace medlargauge

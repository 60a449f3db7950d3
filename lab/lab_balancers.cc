// @file lab_balancers.cc Balancers and the readiness checks of the routers.
#include <algorithm>
#include <cmath>
#include <cstring>

#include "lab/lab_engine.h"
#include "src/core/hash.h"

namespace medlargauge::lab::detail {

void Simulation::OnPacketAtBalancer(SimBalancer* balancer,
                                    const SimPacket& packet) {
  if (!balancer->running) {
    return;
  }
  ApplyDecision(
      balancer,
      balancer->director->OnCallerPacket(Now(), packet.header, BytesOf(packet)),
      packet);
}

void Simulation::ApplyDecision(SimBalancer* balancer,
                               const DirectorDecision& decision,
                               const SimPacket& packet) {
  if (decision.kind == DirectorDecision::Kind::kReset) {
    for (auto& agent : m_agents) {
      const SimServer& server = agent->server;
      const bool held = server.running && !server.unresponsive &&
                        server.open_flows.count(packet.header.flow) > 0;
      m_result.wrong_resets += held ? 1 : 0;
    }
    SimPacket reset;
    reset.header.flow = packet.header.flow;
    reset.header.rst = true;
    SendPacket(kCallerNetworkDelay, [this, reset] { OnPacketAtCaller(reset); });
  }
  if (decision.kind != DirectorDecision::Kind::kForward || balancer->isolated) {
    return;
  }
  const MemberEntry* agent_entry = balancer->members->Find(decision.agent);
  SimAgent* agent = AgentAt(agent_entry->member.ip);
  const ForwardHeader forward_header = decision.header;
  SendPacket(kHostNetworkDelay,
             [this, agent, balancer, forward_header, packet] {
               OnPacketAtAgent(agent, balancer, forward_header, packet);
             });
}

void Simulation::ScheduleBalancerTick(SimBalancer* balancer) {
  const uint64_t start_count = balancer->start_count;
  m_queue.After(Milliseconds(20), [this, balancer, start_count] {
    if (!balancer->running || balancer->start_count != start_count) {
      return;
    }
    for (const DeferredDecision& deferred : balancer->director->OnTick(Now())) {
      SimPacket packet;
      packet.header = deferred.packet;
      if (!deferred.raw.empty()) {
        std::memcpy(&packet, deferred.raw.data(), sizeof(packet));
      }
      ApplyDecision(balancer, deferred.decision, packet);
    }
    SendPointers(balancer);
    ScheduleBalancerTick(balancer);
  });
}

void Simulation::SendPointers(SimBalancer* balancer) {
  for (const OwnerPointer& pointer : balancer->director->TakePointers()) {
    const MemberEntry* home_entry = balancer->members->Find(pointer.home);
    if (home_entry == nullptr || balancer->isolated) {
      continue;
    }
    SimAgent* agent = AgentAt(home_entry->member.ip);
    SendPacket(kHostNetworkDelay, [this, agent, pointer] {
      if (agent->forwarder != nullptr) {
        agent->forwarder->OnPointer(Now(), pointer.flow, pointer.owner);
      }
    });
  }
}

void Simulation::CheckReadiness() {
  for (auto& balancer : m_balancers) {
    const bool ready = balancer->running && balancer->ready &&
                       balancer->director->CanServe(Now());
    // Two failed checks take a balancer out of rotation, one successful check
    // puts it back.
    if (ready) {
      balancer->in_rotation = true;
      balancer->ready = true;
    } else {
      SimBalancer* failed_balancer = balancer.get();
      m_queue.After(kReadinessInterval, [this, failed_balancer] {
        const bool still_failed = !failed_balancer->running ||
                                  !failed_balancer->ready ||
                                  !failed_balancer->director->CanServe(Now());
        failed_balancer->in_rotation =
            failed_balancer->in_rotation && !still_failed;
      });
    }
  }
}

}  // namespace medlargauge::lab::detail

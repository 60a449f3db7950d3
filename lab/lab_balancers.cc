// @file lab_balancers.cc Balancers and the routers before them.
#include <algorithm>
#include <cmath>

#include "lab/lab_engine.h"
#include "src/core/hash.h"

namespace medlargauge::lab::detail {

void World::BalancerGets(LabBalancer* balancer, const LabPacket& packet) {
  if (!balancer->running) {
    return;
  }
  // The bytes stand for the packet: the request that its data carries.
  const uint8_t raw[1] = {0};
  Act(balancer,
      balancer->director->OnCallerPacket(Now(), packet.head,
                                         ByteView(raw, sizeof(raw))),
      packet);
}

void World::Act(LabBalancer* balancer,
                const DirectorDecision& decision,
                const LabPacket& packet) {
  if (decision.kind == DirectorDecision::Kind::kReset) {
    for (auto& agent : m_agents) {
      const LabServer& server = agent->server;
      const bool held = server.running && !server.dark &&
                        server.flows.count(packet.head.flow) > 0;
      m_result.wrong_resets += held ? 1 : 0;
    }
    LabPacket reset;
    reset.head.flow = packet.head.flow;
    reset.head.rst = true;
    Travel(kCallerDelay, [this, reset] { CallerGets(reset); });
  }
  if (decision.kind != DirectorDecision::Kind::kForward || balancer->cut) {
    return;
  }
  const MemberEntry* entry = balancer->roster->Find(decision.agent);
  LabAgent* agent = AgentAt(entry->member.ip);
  const ForwardHeader header = decision.header;
  Travel(kInsideDelay, [this, agent, balancer, header, packet] {
    AgentGets(agent, balancer, header, packet);
  });
}

void World::RunBalancerTimers(LabBalancer* balancer) {
  const uint64_t start = balancer->starts;
  m_queue.After(Milliseconds(20), [this, balancer, start] {
    if (!balancer->running || balancer->starts != start) {
      return;
    }
    for (const OpeningResend& resend : balancer->director->OnTick(Now())) {
      LabPacket packet;
      packet.head.flow = resend.flow;
      packet.head.syn = true;
      packet.head.sequence = static_cast<uint32_t>(HashFlow(resend.flow));
      Act(balancer, resend.decision, packet);
    }
    SendPointers(balancer);
    RunBalancerTimers(balancer);
  });
}

void World::SendPointers(LabBalancer* balancer) {
  for (const OwnerPointer& pointer : balancer->director->TakePointers()) {
    const MemberEntry* home = balancer->roster->Find(pointer.home);
    if (home == nullptr || balancer->cut) {
      continue;
    }
    LabAgent* agent = AgentAt(home->member.ip);
    Travel(kInsideDelay, [this, agent, pointer] {
      if (agent->gate != nullptr) {
        agent->gate->OnPointer(Now(), pointer.flow, pointer.owner);
      }
    });
  }
}

void World::CheckBalancers() {
  for (auto& balancer : m_balancers) {
    const bool ready = balancer->running && balancer->ready &&
                       balancer->director->CanServe(Now());
    // Two misses take a balancer out; one good answer puts it back.
    if (ready) {
      balancer->in_rotation = true;
      balancer->ready = true;
    } else {
      LabBalancer* missed = balancer.get();
      m_queue.After(kCheckInterval, [this, missed] {
        const bool still = !missed->running || !missed->ready ||
                           !missed->director->CanServe(Now());
        missed->in_rotation = missed->in_rotation && !still;
      });
    }
  }
}

}  // namespace medlargauge::lab::detail

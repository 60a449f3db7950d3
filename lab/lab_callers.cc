// @file lab_callers.cc Callers, their flows, copies and tries.
#include <algorithm>
#include <cmath>

#include "lab/lab_engine.h"
#include "src/core/hash.h"

namespace medlargauge::lab::detail {

void World::ScheduleArrival(size_t class_index) {
  const ClassModel& model = m_scenario.classes[class_index];
  const double mean = 1.0 / (model.per_second * m_burst);
  const double wait = std::exponential_distribution<>(1.0 / mean)(m_arrivals);
  m_queue.After(Duration(static_cast<int64_t>(wait * 1e9)),
                [this, class_index] {
                  if (Now() - m_start < m_scenario.length) {
                    Ask(class_index);
                    ScheduleArrival(class_index);
                  }
                });
}

void World::Ask(size_t class_index) {
  const ClassModel& model = m_scenario.classes[class_index];
  const uint64_t number = m_next_request++;
  LabRequest& request = m_requests[number];
  request.class_index = class_index;
  request.domain = m_arrivals(m_scenario.domains);
  request.asked = Now();
  ClassResult& result = m_result.classes[model.name];
  ++result.asked;
  result.owed += model.worth;
  ClassResult& window = Window(Now());
  ++window.asked;
  window.owed += model.worth;
  Attempt(number);
  m_queue.After(model.limit, [this, number] { Finish(number, false); });
}

void World::Attempt(uint64_t number) {
  LabRequest& request = m_requests[number];
  ++request.attempts;
  std::deque<uint64_t>& idle = m_idle[request.class_index];
  while (!idle.empty()) {
    const uint64_t flow = idle.front();
    idle.pop_front();
    if (!m_flows[flow].ended && m_flows[flow].request == 0) {
      m_flows[flow].request = number;
      SendRequest(flow, number, 1);
      return;
    }
  }
  OpenFlow(number);
}

void World::OpenFlow(uint64_t request) {
  const uint64_t number = m_next_flow++;
  LabFlow& flow = m_flows[number];
  const LabRequest& asked = m_requests[request];
  flow.class_index = asked.class_index;
  flow.domain = asked.domain;
  flow.key.caller = {kCallerNet + static_cast<uint32_t>(number >> 14U) + 1,
                     static_cast<uint16_t>(1024 + (number & 0x3FFFU))};
  flow.key.route = {kRouteNet + static_cast<uint32_t>(asked.class_index) + 1,
                    kRoutePort};
  flow.syn_sequence = static_cast<uint32_t>(HashFlow(flow.key));
  flow.next = flow.syn_sequence + 1;
  flow.request = request;
  m_flow_of[flow.key] = number;
  SendOpening(number, 0);
  m_queue.After(kFirstCopy, [this, number] { SendOpening(number, 1); });
  m_queue.After(kSecondCopy, [this, number] { SendOpening(number, 2); });
  m_queue.After(kOpeningLimit, [this, number] {
    LabFlow& waiting = m_flows[number];
    if (!waiting.open && !waiting.ended) {
      const uint64_t asked_by = waiting.request;
      EndFlow(number, false);
      FailAttempt(asked_by, false);
    }
  });
}

void World::SendOpening(uint64_t number, uint32_t copy) {
  const LabFlow& flow = m_flows[number];
  if (flow.open || flow.ended) {
    return;
  }
  LabPacket packet;
  packet.head.flow = flow.key;
  packet.head.syn = true;
  packet.head.sequence = flow.syn_sequence;
  packet.head.acknowledged = copy;
  SendToRouter(packet, flow.domain);
}

void World::SendRequest(uint64_t number, uint64_t request, uint32_t sent) {
  LabFlow& flow = m_flows[number];
  if (flow.ended || flow.request != request || m_requests[request].done) {
    return;
  }
  constexpr uint16_t kRequestBytes = 300;
  if (sent == 1) {
    flow.next += kRequestBytes;
  }
  LabPacket packet;
  packet.head.flow = flow.key;
  packet.head.ack = true;
  packet.head.sequence = flow.next - kRequestBytes;
  packet.head.acknowledged = flow.server_next;
  packet.head.data_length = kRequestBytes;
  packet.request = request;
  SendToRouter(packet, flow.domain);
  const Duration wait =
      std::min(kResendFirst * (1U << std::min(sent - 1, 3U)), kResendLimit);
  m_queue.After(wait, [this, number, request, sent] {
    SendRequest(number, request, sent + 1);
  });
}

void World::CallerGets(const LabPacket& packet) {
  const auto found = m_flow_of.find(packet.head.flow);
  if (found == m_flow_of.end()) {
    return;
  }
  const uint64_t number = found->second;
  LabFlow& flow = m_flows[number];
  if (flow.ended) {
    return;
  }
  if (packet.head.rst) {
    const bool was_open = flow.open;
    const uint64_t request = flow.request;
    EndFlow(number, false);
    FailAttempt(request, was_open);
    return;
  }
  if (packet.head.syn_ack) {
    if (!flow.open) {
      flow.open = true;
      flow.server_next = packet.head.sequence + 1;
      SendRequest(number, flow.request, 1);
    }
    return;
  }
  if (packet.request == 0 || packet.request != flow.request) {
    return;
  }
  flow.server_next += packet.head.data_length;
  const uint64_t request = flow.request;
  flow.request = 0;
  const ClassModel& model = m_scenario.classes[flow.class_index];
  const bool stays = model.long_flows && !packet.head.fin;
  if (stays) {
    m_queue.After(kPause, [this, number] {
      if (!m_flows[number].ended) {
        m_idle[m_flows[number].class_index].push_back(number);
      }
    });
  } else {
    EndFlow(number, true);
  }
  if (packet.is_refusal || packet.head.answer == AnswerKind::kFailure) {
    FailAttempt(request, !packet.is_refusal);
  } else {
    Finish(request, true);
  }
}

void World::FailAttempt(uint64_t number, bool may_have_run) {
  if (number == 0) {
    return;  // The flow was idle.
  }
  LabRequest& request = m_requests[number];
  const ClassModel& model = m_scenario.classes[request.class_index];
  if (request.done) {
    return;
  }
  const bool again =
      request.attempts < kMaxAttempts && (model.repeatable || !may_have_run);
  if (!again) {
    Finish(number, false);
    return;
  }
  m_queue.After(kRetryPause * request.attempts, [this, number] {
    if (!m_requests[number].done) {
      Attempt(number);
    }
  });
}

void World::Finish(uint64_t number, bool answered) {
  LabRequest& request = m_requests[number];
  if (request.done) {
    return;
  }
  request.done = true;
  const ClassModel& model = m_scenario.classes[request.class_index];
  m_result.waited += answered ? Now() - request.asked : Duration();
  const bool in_aim = answered && Now() - request.asked <= model.aim;
  const double earned = in_aim     ? model.worth
                        : answered ? model.late_worth
                                   : 0.0;
  for (ClassResult* result :
       {&m_result.classes[model.name], &Window(request.asked)}) {
    result->in_aim += in_aim ? 1 : 0;
    result->late += answered && !in_aim ? 1 : 0;
    result->failed += answered ? 0 : 1;
    result->earned += earned;
  }
}

void World::EndFlow(uint64_t number, bool say_so) {
  LabFlow& flow = m_flows[number];
  flow.ended = true;
  m_flow_of.erase(flow.key);
  if (say_so) {
    LabPacket packet;
    packet.head.flow = flow.key;
    packet.head.ack = true;
    packet.head.fin = true;
    packet.head.sequence = flow.next;
    packet.head.acknowledged = flow.server_next;
    SendToRouter(packet, flow.domain);
  }
}

void World::SendToRouter(const LabPacket& packet, uint32_t domain) {
  // Rendezvous: only the flows of a balancer that leaves move.
  LabBalancer* chosen = nullptr;
  uint64_t best = 0;
  bool local = false;
  for (auto& balancer : m_balancers) {
    if (!balancer->in_rotation) {
      continue;
    }
    const bool here = balancer->domain == domain;
    const uint64_t rank = MixHash(HashFlow(packet.head.flow), balancer->ip);
    if (chosen == nullptr || (here && !local) ||
        (here == local && rank > best)) {
      chosen = balancer.get();
      best = rank;
      local = here;
    }
  }
  if (chosen != nullptr) {
    Travel(kCallerDelay,
           [this, chosen, packet] { BalancerGets(chosen, packet); });
  }
}

}  // namespace medlargauge::lab::detail

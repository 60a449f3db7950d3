// @file lab_callers.cc Callers: their requests, attempts and flows.
#include <algorithm>
#include <cmath>

#include "lab/lab_engine.h"
#include "src/core/hash.h"

namespace medlargauge::lab::detail {

double Simulation::ArrivalFactor() const {
  constexpr double kFullTurn = 6.283185307179586;
  const double periods =
      std::chrono::duration<double>(Now() - m_load_start).count() /
      std::chrono::duration<double>(m_scenario.load_period).count();
  return m_arrival_factor *
         (1 + m_scenario.load_amplitude * std::sin(kFullTurn * periods));
}

Duration Simulation::DrawWork(const ClassModel& model) {
  const double sigma = std::sqrt(
      std::log1p(model.work_time_variation * model.work_time_variation));
  double factor =
      std::lognormal_distribution<>(-sigma * sigma / 2, sigma)(m_work_random);
  if (model.tail_share > 0 &&
      std::bernoulli_distribution(model.tail_share)(m_work_random)) {
    factor *= model.tail_factor;
  }
  return Duration(static_cast<int64_t>(
      static_cast<double>(model.mean_work_time.count()) * factor));
}

void Simulation::ScheduleArrival(size_t class_index) {
  const ClassModel& model = m_scenario.classes[class_index];
  const double mean_interval_s =
      1.0 / (model.arrivals_per_second * ArrivalFactor());
  const double wait_s =
      std::exponential_distribution<>(1.0 / mean_interval_s)(m_arrival_random);
  m_queue.After(Duration(static_cast<int64_t>(wait_s * 1e9)),
                [this, class_index] {
                  if (Now() - m_load_start < m_scenario.load_duration) {
                    StartRequest(class_index);
                    ScheduleArrival(class_index);
                  }
                });
}

void Simulation::StartRequest(size_t class_index) {
  const ClassModel& model = m_scenario.classes[class_index];
  const uint64_t request_id = m_next_request_id++;
  SimRequest& request = m_requests[request_id];
  request.class_index = class_index;
  request.domain = m_arrival_random(m_scenario.domains);
  request.arrived_at = Now();
  request.work = DrawWork(model);
  m_result.arrivals.push_back(
      {Now() - m_load_start, class_index, request.work});
  ClassResult& result = m_result.classes[model.name];
  ++result.asked;
  result.possible_worth += model.worth;
  ClassResult& window = WindowAt(Now());
  ++window.asked;
  window.possible_worth += model.worth;
  StartAttempt(request_id);
  m_queue.After(model.caller_timeout, [this, request_id] {
    const SimRequest& unanswered = m_requests[request_id];
    if (!unanswered.has_ended) {
      RecordRefusal(unanswered);
      EndRequest(request_id, false);
    }
  });
}

void Simulation::StartAttempt(uint64_t request_id) {
  SimRequest& request = m_requests[request_id];
  ++request.attempts;
  request.attempted_at = Now();
  std::deque<uint64_t>& idle = m_idle_flows[request.class_index];
  while (!idle.empty()) {
    const uint64_t flow_id = idle.front();
    idle.pop_front();
    if (!m_flows[flow_id].is_closed && m_flows[flow_id].request_id == 0) {
      m_flows[flow_id].request_id = request_id;
      SendRequest(flow_id, request_id, 1);
      return;
    }
  }
  OpenFlow(request_id);
}

void Simulation::OpenFlow(uint64_t request_id) {
  const uint64_t flow_id = m_next_flow_id++;
  SimFlow& flow = m_flows[flow_id];
  const SimRequest& request = m_requests[request_id];
  flow.class_index = request.class_index;
  flow.domain = request.domain;
  flow.key.caller = {kCallerNetwork + static_cast<uint32_t>(flow_id >> 14U) + 1,
                     static_cast<uint16_t>(1024 + (flow_id & 0x3FFFU))};
  flow.key.route = {
      kRouteNetwork + static_cast<uint32_t>(request.class_index) + 1,
      kRoutePort};
  flow.syn_sequence = static_cast<uint32_t>(HashFlow(flow.key));
  flow.next_sequence = flow.syn_sequence + 1;
  flow.request_id = request_id;
  m_flow_ids[flow.key] = flow_id;
  SendOpening(flow_id, 0);
  m_queue.After(kFirstSynRetransmission,
                [this, flow_id] { SendOpening(flow_id, 1); });
  m_queue.After(kSecondSynRetransmission,
                [this, flow_id] { SendOpening(flow_id, 2); });
  m_queue.After(kOpeningTimeout, [this, flow_id] {
    SimFlow& opening = m_flows[flow_id];
    if (!opening.is_open && !opening.is_closed) {
      const uint64_t failed_id = opening.request_id;
      CloseFlow(flow_id, false);
      OnAttemptFailed(failed_id, false);
    }
  });
}

void Simulation::SendOpening(uint64_t flow_id, uint32_t retransmission) {
  const SimFlow& flow = m_flows[flow_id];
  if (flow.is_open || flow.is_closed) {
    return;
  }
  SimPacket packet;
  packet.header.flow = flow.key;
  packet.header.syn = true;
  packet.header.sequence = flow.syn_sequence;
  packet.header.acknowledged = retransmission;
  SendToBalancer(packet, flow.domain);
}

void Simulation::SendRequest(uint64_t flow_id,
                             uint64_t request_id,
                             uint32_t transmission) {
  SimFlow& flow = m_flows[flow_id];
  if (flow.is_closed || flow.request_id != request_id ||
      m_requests[request_id].has_ended) {
    return;
  }
  constexpr uint16_t kRequestBytes = 300;
  if (transmission == 1) {
    flow.next_sequence += kRequestBytes;
  }
  SimPacket packet;
  packet.header.flow = flow.key;
  packet.header.ack = true;
  packet.header.sequence = flow.next_sequence - kRequestBytes;
  packet.header.acknowledged = flow.next_server_sequence;
  packet.header.data_length = kRequestBytes;
  packet.request_id = request_id;
  SendToBalancer(packet, flow.domain);
  const Duration timeout = std::min(
      kMinRetransmissionTimeout * (1U << std::min(transmission - 1, 3U)),
      kMaxRetransmissionTimeout);
  m_queue.After(timeout, [this, flow_id, request_id, transmission] {
    SendRequest(flow_id, request_id, transmission + 1);
  });
}

void Simulation::OnPacketAtCaller(const SimPacket& packet) {
  const auto found = m_flow_ids.find(packet.header.flow);
  if (found == m_flow_ids.end()) {
    return;
  }
  const uint64_t flow_id = found->second;
  SimFlow& flow = m_flows[flow_id];
  if (flow.is_closed) {
    return;
  }
  if (packet.header.rst) {
    const bool was_open = flow.is_open;
    const uint64_t request_id = flow.request_id;
    CloseFlow(flow_id, false);
    OnAttemptFailed(request_id, was_open);
    return;
  }
  if (packet.header.syn_ack) {
    if (!flow.is_open) {
      flow.is_open = true;
      flow.next_server_sequence = packet.header.sequence + 1;
      SendRequest(flow_id, flow.request_id, 1);
    }
    return;
  }
  if (packet.request_id == 0 || packet.request_id != flow.request_id) {
    return;
  }
  flow.next_server_sequence += packet.header.data_length;
  const uint64_t request_id = flow.request_id;
  flow.request_id = 0;
  const ClassModel& model = m_scenario.classes[flow.class_index];
  const bool keeps_open = model.long_flows && !packet.header.fin;
  if (keeps_open) {
    m_queue.After(kLongFlowPause, [this, flow_id] {
      if (!m_flows[flow_id].is_closed) {
        m_idle_flows[m_flows[flow_id].class_index].push_back(flow_id);
      }
    });
  } else {
    CloseFlow(flow_id, true);
  }
  if (packet.is_refusal || packet.header.answer == AnswerKind::kFailure) {
    OnAttemptFailed(request_id, !packet.is_refusal);
  } else {
    EndRequest(request_id, true);
  }
}

void Simulation::OnAttemptFailed(uint64_t request_id, bool may_have_run) {
  if (request_id == 0) {
    return;  // The flow was idle.
  }
  SimRequest& request = m_requests[request_id];
  const ClassModel& model = m_scenario.classes[request.class_index];
  if (request.has_ended) {
    return;
  }
  if (!may_have_run) {
    RecordRefusal(request);
  }
  const bool can_retry =
      request.attempts < kMaxAttempts && (model.repeatable || !may_have_run);
  if (!can_retry) {
    EndRequest(request_id, false);
    return;
  }
  m_queue.After(kRetryDelay * request.attempts, [this, request_id] {
    if (!m_requests[request_id].has_ended) {
      StartAttempt(request_id);
    }
  });
}

void Simulation::RecordRefusal(const SimRequest& request) {
  m_result.classes[m_scenario.classes[request.class_index].name]
      .refusal_ms.push_back(
          std::chrono::duration<float, std::milli>(Now() - request.attempted_at)
              .count());
}

void Simulation::EndRequest(uint64_t request_id, bool answered) {
  SimRequest& request = m_requests[request_id];
  if (request.has_ended) {
    return;
  }
  request.has_ended = true;
  const ClassModel& model = m_scenario.classes[request.class_index];
  const Duration elapsed = Now() - request.arrived_at;
  m_result.total_response_time += answered ? elapsed : Duration();
  for (ClassResult* result :
       {&m_result.classes[model.name], &WindowAt(request.arrived_at)}) {
    result->RecordEnd(model,
                      answered ? std::make_optional(elapsed) : std::nullopt);
  }
}

void Simulation::CloseFlow(uint64_t flow_id, bool send_fin) {
  SimFlow& flow = m_flows[flow_id];
  flow.is_closed = true;
  m_flow_ids.erase(flow.key);
  if (send_fin) {
    SimPacket packet;
    packet.header.flow = flow.key;
    packet.header.ack = true;
    packet.header.fin = true;
    packet.header.sequence = flow.next_sequence;
    packet.header.acknowledged = flow.next_server_sequence;
    SendToBalancer(packet, flow.domain);
  }
}

void Simulation::SendToBalancer(const SimPacket& packet, uint32_t domain) {
  // Rendezvous hashing: if a balancer leaves, only its flows move.
  SimBalancer* chosen = nullptr;
  uint64_t best_rank = 0;
  bool chosen_is_local = false;
  for (auto& balancer : m_balancers) {
    if (!balancer->in_rotation) {
      continue;
    }
    const bool is_local = balancer->domain == domain;
    const uint64_t rank = MixHash(HashFlow(packet.header.flow), balancer->ip);
    if (chosen == nullptr || (is_local && !chosen_is_local) ||
        (is_local == chosen_is_local && rank > best_rank)) {
      chosen = balancer.get();
      best_rank = rank;
      chosen_is_local = is_local;
    }
  }
  if (chosen != nullptr) {
    SendPacket(kCallerNetworkDelay,
               [this, chosen, packet] { OnPacketAtBalancer(chosen, packet); });
  }
}

}  // namespace medlargauge::lab::detail

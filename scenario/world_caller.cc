// @file world_caller.cc Callers of the simulated world. They open flows, send
// requests, retransmit, close, and record failures.
#include <sstream>

#include "scenario/world.h"
#include "scenario/world_internal.h"
#include "src/packet/packet.h"

namespace medlargauge {
namespace {

constexpr uint32_t kFirstCallerAddress = 0x0A000000;  // 10.0.0.0
constexpr uint32_t kPortsPerCallerAddress = 50000;
constexpr uint16_t kFirstPort = 10000;
constexpr uint16_t kServicePort = 443;
constexpr int kOpeningAttempts = 6;
constexpr int kRequestAttempts = 12;
constexpr int kCloseAttempts = 12;
constexpr Duration kOpeningTimeout = Seconds(1);
constexpr Duration kRequestTimeout = Milliseconds(400);
constexpr Duration kMaxRequestTimeout = Seconds(3);

/// Returns the timeout of an attempt, which doubles with each attempt up to
/// `limit`. The first attempt is 0.
Duration Backoff(Duration first, int attempt, Duration limit) {
  const Duration timeout = first * (1 << attempt);
  return timeout < limit ? timeout : limit;
}

}  // namespace

World::CallerFlow* World::CreateFlow(const FlowPlan& plan,
                                     const FiveTuple& tuple) {
  auto flow = std::make_unique<CallerFlow>();
  flow->instance = m_flows.size();
  flow->plan = plan;
  flow->tuple = tuple;
  flow->flow = HashFlow(tuple);
  flow->initial_sequence = m_random();
  flow->first_request_id = flow->instance * kMaxRequestsPerFlow;
  m_flows.push_back(std::move(flow));
  ++m_counts.flows;
  ++m_open_flows;
  return m_flows.back().get();
}

void World::StartFlow(const FlowPlan& plan) {
  const ClassTarget* target = m_targets.Find(plan.class_name);
  FiveTuple tuple;
  tuple.source = ToMappedAddress(kFirstCallerAddress +
                                 m_next_port / kPortsPerCallerAddress);
  tuple.source_port =
      static_cast<uint16_t>(kFirstPort + m_next_port % kPortsPerCallerAddress);
  ++m_next_port;
  tuple.destination = target->address;
  tuple.destination_port = kServicePort;
  tuple.transport = plan.transport;
  SendOpening(CreateFlow(plan, tuple)->instance, 0);
}

void World::StartFlowOnReusedPorts(const FlowPlan& plan) {
  const auto reused = m_last_ended_tuples.find(plan.class_name);
  if (reused == m_last_ended_tuples.end()) {
    StartFlow(plan);
    return;
  }
  const FiveTuple tuple = reused->second;
  m_last_ended_tuples.erase(reused);
  FlowPlan same_transport = plan;
  same_transport.transport = tuple.transport;
  SendOpening(CreateFlow(same_transport, tuple)->instance, 0);
}

void World::SendOpening(uint64_t instance, int attempt) {
  CallerFlow& flow = *m_flows[instance];
  if (flow.state != CallerState::kOpening) {
    return;
  }
  if (flow.plan.transport == Transport::kUdp) {
    // The first datagram opens a UDP flow and is its first request.
    flow.end = m_events.Now() + flow.plan.lifetime;
    SendRequest(instance, 0, attempt);
    return;
  }
  if (attempt >= kOpeningAttempts) {
    ++m_counts.gave_up;
    EndFlow(&flow);
    return;
  }
  PacketInfo packet;
  packet.tuple = flow.tuple;
  packet.flow = flow.flow;
  packet.syn = true;
  packet.sequence = flow.initial_sequence;
  SprayPacket(packet, instance);
  m_events.After(
      Backoff(kOpeningTimeout, attempt, Seconds(60)),
      [this, instance, attempt] { SendOpening(instance, attempt + 1); });
}

void World::OnAccepted(CallerFlow* flow) {
  if (flow->state != CallerState::kOpening) {
    return;
  }
  flow->state = CallerState::kOpen;
  flow->end = m_events.Now() + flow->plan.lifetime;
  SendRequest(flow->instance, 0, 0);
}

void World::SendRequest(uint64_t instance, uint32_t number, int attempt) {
  CallerFlow& flow = *m_flows[instance];
  const bool is_udp = flow.plan.transport == Transport::kUdp;
  const bool is_due =
      flow.answered == number && flow.state != CallerState::kEnded &&
      (flow.state == CallerState::kOpen || (is_udp && number == 0));
  if (!is_due) {
    return;
  }
  if (attempt >= kRequestAttempts) {
    if (is_udp && number == 0) {
      ++m_counts.gave_up;
      EndFlow(&flow);
    } else {
      FailFlow(&flow, "no answer");
    }
    return;
  }
  PacketInfo packet;
  packet.tuple = flow.tuple;
  packet.flow = flow.flow;
  packet.ack = true;
  packet.sequence = flow.initial_sequence + 1 + number;
  packet.acknowledged = number;
  SprayPacket(packet, instance);
  m_events.After(Backoff(kRequestTimeout, attempt, kMaxRequestTimeout),
                 [this, instance, number, attempt] {
                   SendRequest(instance, number, attempt + 1);
                 });
}

void World::OnAnswered(CallerFlow* flow, uint32_t number) {
  const bool expected =
      flow->answered == number && (flow->state == CallerState::kOpen ||
                                   flow->state == CallerState::kOpening);
  if (!expected) {
    return;
  }
  flow->state = CallerState::kOpen;
  ++flow->answered;
  ++m_counts.requests;
  const uint64_t instance = flow->instance;
  const bool is_last = m_events.Now() + flow->plan.pause >= flow->end ||
                       flow->answered + 2 >= kMaxRequestsPerFlow;
  m_events.After(flow->plan.pause, [this, instance, is_last, number] {
    CallerFlow& current = *m_flows[instance];
    if (current.state != CallerState::kOpen) {
      return;
    }
    if (!is_last) {
      SendRequest(instance, number + 1, 0);
    } else if (current.plan.transport == Transport::kUdp) {
      EndFlow(&current);
    } else {
      current.state = CallerState::kClosing;
      SendClose(instance, 0);
    }
  });
}

void World::SendClose(uint64_t instance, int attempt) {
  CallerFlow& flow = *m_flows[instance];
  if (flow.state != CallerState::kClosing) {
    return;
  }
  if (attempt >= kCloseAttempts) {
    FailFlow(&flow, "close not acknowledged");
    return;
  }
  PacketInfo packet;
  packet.tuple = flow.tuple;
  packet.flow = flow.flow;
  packet.ack = true;
  packet.fin = true;
  packet.sequence = flow.initial_sequence + 1 + flow.answered;
  packet.acknowledged = flow.answered;
  SprayPacket(packet, instance);
  m_events.After(
      Backoff(kRequestTimeout, attempt, kMaxRequestTimeout),
      [this, instance, attempt] { SendClose(instance, attempt + 1); });
}

void World::OnReset(CallerFlow* flow) {
  switch (flow->state) {
    case CallerState::kOpening:
      flow->refused = true;
      ++m_counts.refused;
      if (!flow->accepted_by.empty()) {
        ++m_counts.untrue_refusals;
        RecordViolation("refused after acceptance", *flow, "caller");
      }
      EndFlow(flow);
      return;
    case CallerState::kOpen:
      FailFlow(flow, "reset");
      return;
    case CallerState::kClosing:
      // All answers have arrived. If the acknowledgement of the FIN was lost,
      // the server may not have the connection any more.
      EndFlow(flow);
      return;
    case CallerState::kEnded:
      return;
  }
}

void World::EndFlow(CallerFlow* flow) {
  if (flow->state == CallerState::kEnded) {
    return;
  }
  const bool is_complete = flow->answered > 0 && !flow->broken;
  flow->state = CallerState::kEnded;
  m_counts.completed += is_complete ? 1 : 0;
  --m_open_flows;
  m_last_ended_tuples[flow->plan.class_name] = flow->tuple;
  if (flow->plan.transport != Transport::kUdp) {
    return;
  }
  for (const auto& host : m_agents) {
    const auto connection = host->server.connections.find(flow->flow);
    const bool is_open = connection != host->server.connections.end() &&
                         connection->second.instance == flow->instance + 1 &&
                         !connection->second.closed;
    if (is_open) {
      connection->second.closed = true;
      --host->server.open;
      ReportConnection(flow->instance, *host, false);
    }
  }
}

void World::FailFlow(CallerFlow* flow, std::string_view why) {
  if (flow->broken) {
    return;
  }
  flow->broken = true;
  bool has_lost_server = !flow->accepted_by.empty();
  for (const AgentHost* host : flow->accepted_by) {
    const auto connection = host->server.connections.find(flow->flow);
    const bool is_connected = host->server.alive &&
                              connection != host->server.connections.end() &&
                              connection->second.instance == flow->instance + 1;
    has_lost_server = has_lost_server && !is_connected;
  }
  if (has_lost_server) {
    ++m_counts.lost_with_server;
  } else {
    ++m_counts.broken;
    RecordViolation("broken flow", *flow, why);
  }
  EndFlow(flow);
}

void World::RecordViolation(std::string_view what,
                            const CallerFlow& flow,
                            std::string_view where) {
  std::ostringstream line;
  line << "t=" << ToMilliseconds(m_events.Now().time_since_epoch())
       << "ms flow=" << flow.instance << " class=" << flow.plan.class_name
       << " what=\"" << what << "\" where=" << where << " accepted_by=";
  for (const auto& host : m_agents) {
    if (flow.accepted_by.count(host.get()) > 0) {
      line << host->name << ",";
    }
  }
  m_violations.push_back(line.str());
}

}  // namespace medlargauge

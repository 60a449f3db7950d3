// @file load_generator.cc Requests of callers, their attempts and flows.
#include "soak/load_generator.h"

#include <algorithm>

#include "platform/packet_header.h"
#include "platform/standin/packet_writer.h"

namespace medlargauge::soak {
namespace {

using platform::standin::Stream;
using platform::standin::TakeAnswer;
using platform::standin::WorkAnswer;

constexpr Duration kTickInterval = Milliseconds(2);
constexpr Duration kSynTransmissionTimes[] = {
    Milliseconds(0), Milliseconds(200), Milliseconds(600)};
constexpr int kMaxSynTransmissions = 3;
constexpr Duration kOpeningTimeout = Milliseconds(1400);
constexpr Duration kRetryDelay = Milliseconds(60);
constexpr int kMaxAttempts = 3;
constexpr uint32_t kFirstPort = 1024;
constexpr int kStatusServed = 200;
constexpr int kStatusNotExecuted = 503;

}  // namespace

LoadGenerator::LoadGenerator(EventLoop* loop,
                             RouterStandin* router,
                             InvariantChecker* checker,
                             const std::vector<RequestClass>* classes,
                             uint64_t seed)
    : m_loop(loop),
      m_router(router),
      m_checker(checker),
      m_classes(classes),
      m_random(seed) {
  loop->Every(kTickInterval, [this] { Tick(); });
}

bool LoadGenerator::AddCallerHost(uint32_t ip, Error* reason) {
  auto socket = std::make_unique<UdpSocket>();
  if (!socket->Bind({ip, kPacketPort}, reason)) {
    return false;
  }
  m_sockets.push_back(std::move(socket));
  m_ips.push_back(ip);
  return true;
}

void LoadGenerator::Start() {
  m_next_arrivals.assign(m_classes->size(), SteadyTime());
  for (size_t i = 0; i < m_classes->size(); ++i) {
    ScheduleArrival(i);
  }
}

void LoadGenerator::ScheduleArrival(size_t class_index) {
  const RequestClass& request_class = (*m_classes)[class_index];
  const double wait_s = std::exponential_distribution<>(
      request_class.arrivals_per_second)(m_random);
  m_next_arrivals[class_index] += Duration(static_cast<int64_t>(wait_s * 1e9));
  const Duration wait =
      std::max(Duration(), m_next_arrivals[class_index] - SteadyTime());
  m_loop->After(wait, [this, class_index] {
    if (!m_accepting_arrivals) {
      return;
    }
    const uint64_t request_id = m_next_request_id++;
    m_requests[request_id] = {class_index, SteadyTime(), 0, {}};
    StartAttempt(request_id);
    const Duration caller_timeout = (*m_classes)[class_index].caller_timeout;
    m_loop->After(caller_timeout,
                  [this, request_id] { EndRequest(request_id, false); });
    ScheduleArrival(class_index);
  });
}

void LoadGenerator::StartAttempt(uint64_t request_id) {
  Request& request = m_requests[request_id];
  ++request.attempts;
  const TimePoint now = SteadyTime();
  // Each further attempt uses a new flow.
  const auto idle =
      request.attempts > 1
          ? m_flows.end()
          : std::find_if(m_flows.begin(), m_flows.end(),
                         [&request, now](const FlowMap::value_type& entry) {
                           return IsIdle(entry.second, request.class_index,
                                         now);
                         });
  if (idle != m_flows.end()) {
    idle->second.request_id = request_id;
    request.last_flow = idle->first;
    SendRequest(&idle->second);
    return;
  }
  const size_t socket = m_random() % m_sockets.size();
  const FlowKey key = ChooseFlowKey(socket, request.class_index);
  request.last_flow = key;
  Flow& flow = m_flows[key];
  flow.class_index = request.class_index;
  flow.socket = socket;
  flow.initial_sequence = static_cast<uint32_t>(m_random());
  flow.opened_at = now;
  flow.request_id = request_id;
  SendOpening(key, &flow);
}

bool LoadGenerator::IsIdle(const Flow& flow,
                           size_t class_index,
                           TimePoint now) {
  return flow.class_index == class_index && flow.request_id == 0 &&
         flow.stream != nullptr && !flow.stream->HasPeerFinished() &&
         now >= flow.idle_until;
}

FlowKey LoadGenerator::ChooseFlowKey(size_t socket, size_t class_index) {
  FlowKey key{{m_ips[socket], 0}, (*m_classes)[class_index].route};
  do {
    m_next_port = m_next_port == UINT16_MAX ? kFirstPort : m_next_port + 1;
    key.caller.port = static_cast<uint16_t>(m_next_port);
  } while (m_flows.count(key) > 0);
  return key;
}

void LoadGenerator::SendOpening(const FlowKey& key, Flow* flow) {
  FlowPacket packet;
  packet.flow = key;
  packet.syn = true;
  packet.sequence = flow->initial_sequence;
  packet.acknowledged = flow->syn_transmissions;
  ++flow->syn_transmissions;
  Send(key, packet, {}, flow->socket);
}

void LoadGenerator::SendRequest(Flow* flow) {
  const RequestClass& request_class = (*m_classes)[flow->class_index];
  platform::standin::WorkRequest request;
  request.id = flow->request_id;
  request.answer_bytes = request_class.answer_bytes;
  flow->stream->Write(SteadyTime(), WriteRequest(request));
}

void LoadGenerator::Send(const FlowKey& key,
                         const FlowPacket& packet,
                         std::string_view data,
                         size_t socket) {
  const std::string bytes = platform::standin::WritePacket(packet, data);
  for (int i = m_router->DrawDeliveryCount(); i > 0; --i) {
    m_sockets[socket]->Send(
        m_router->SelectBalancer(key),
        {reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()});
  }
}

void LoadGenerator::OnDatagram(size_t socket,
                               SocketAddress4 from,
                               ByteSpan datagram) {
  const ByteView view(datagram.data, datagram.size);
  const std::optional<FlowPacket> packet = platform::ReadPacket(view, false);
  if (!packet.has_value()) {
    m_checker->ReportViolation("WHOLE a caller received a malformed packet");
    return;
  }
  const auto entry = m_flows.find(packet->flow);
  if (entry == m_flows.end() || m_router->DrawDeliveryCount() == 0) {
    return;
  }
  Flow& flow = entry->second;
  if (packet->rst) {
    if (flow.stream != nullptr &&
        !flow.stream->AcceptsReset(packet->sequence)) {
      return;
    }
    OnReset(entry, from, !platform::standin::HasValidChecksum(view));
    return;
  }
  if (!platform::standin::HasValidChecksum(view)) {
    m_checker->ReportViolation(
        "WHOLE a caller received a packet with a wrong checksum");
    return;
  }
  if (packet->syn_ack) {
    if (flow.stream == nullptr) {
      flow.stream = std::make_unique<Stream>(
          packet->flow, true, flow.initial_sequence + 1, packet->sequence + 1,
          [this, key = packet->flow, socket](const FlowPacket& out,
                                             std::string_view data) {
            Send(key, out, data, socket);
          });
      SendRequest(&flow);
    }
    return;
  }
  if (flow.stream == nullptr) {
    return;
  }
  const std::string_view data(reinterpret_cast<const char*>(datagram.data) +
                                  (datagram.size - packet->data_length),
                              packet->data_length);
  flow.received += flow.stream->OnPacket(SteadyTime(), *packet, data);
  const std::optional<WorkAnswer> answer = TakeAnswer(&flow.received);
  if (answer.has_value()) {
    OnAnswer(entry, *answer);
  } else if (flow.stream->HasPeerFinished() && flow.request_id == 0) {
    CloseFlow(entry);
  }
}

void LoadGenerator::OnReset(FlowMap::iterator entry,
                            SocketAddress4 from,
                            bool is_synthetic) {
  const uint64_t request_id = entry->second.request_id;
  const bool was_open = entry->second.stream != nullptr;
  if (was_open && is_synthetic) {
    m_checker->OnFlowReset(entry->first, from.ip);
  }
  m_checker->OnFlowEnded(entry->first);
  m_flows.erase(entry);
  OnAttemptFailed(request_id, was_open);
}

void LoadGenerator::OnAnswer(FlowMap::iterator entry,
                             const WorkAnswer& answer) {
  Flow& flow = entry->second;
  const uint64_t request_id = flow.request_id;
  const bool is_expected = answer.id == request_id && answer.is_body_intact;
  if (!is_expected && request_id != 0) {
    m_checker->OnWrongAnswer(entry->first, request_id);
  }
  flow.request_id = 0;
  const bool keeps_open = (*m_classes)[flow.class_index].long_flows &&
                          !flow.stream->HasPeerFinished();
  if (keeps_open) {
    flow.idle_until =
        SteadyTime() +
        Milliseconds(static_cast<int64_t>(100 + m_random() % 1500));
  } else {
    CloseFlow(entry);
  }
  if (answer.status == kStatusServed) {
    EndRequest(request_id, true);
  } else {
    OnAttemptFailed(request_id, answer.status != kStatusNotExecuted);
  }
}

void LoadGenerator::OnAttemptFailed(uint64_t request_id, bool may_have_run) {
  const auto entry = m_requests.find(request_id);
  if (entry == m_requests.end()) {
    return;
  }
  const bool repeatable = (*m_classes)[entry->second.class_index].repeatable;
  if (entry->second.attempts >= kMaxAttempts || (may_have_run && !repeatable)) {
    EndRequest(request_id, false);
    return;
  }
  m_loop->After(kRetryDelay, [this, request_id] {
    if (m_requests.count(request_id) > 0) {
      StartAttempt(request_id);
    }
  });
}

void LoadGenerator::EndRequest(uint64_t request_id, bool served) {
  const auto entry = m_requests.find(request_id);
  if (entry == m_requests.end()) {
    return;
  }
  m_checker->OnRequestEnded(entry->second.arrived_at, served, request_id,
                            entry->second.last_flow);
  m_requests.erase(entry);
}

void LoadGenerator::CloseFlow(FlowMap::iterator entry) {
  if (entry->second.stream != nullptr) {
    entry->second.stream->Finish(SteadyTime());
  }
  m_checker->OnFlowEnded(entry->first);
  m_flows.erase(entry);
}

void LoadGenerator::Tick() {
  for (size_t i = 0; i < m_sockets.size(); ++i) {
    m_sockets[i]->Receive([this, i](SocketAddress4 from, ByteSpan datagram) {
      OnDatagram(i, from, datagram);
    });
  }
  const TimePoint now = SteadyTime();
  for (auto it = m_flows.begin(); it != m_flows.end();) {
    const auto current = it++;
    Flow& flow = current->second;
    const bool is_abandoned =
        flow.request_id != 0 && m_requests.count(flow.request_id) == 0;
    if (is_abandoned) {
      CloseFlow(current);
    } else if (flow.stream != nullptr) {
      flow.stream->OnTick(now);
    } else if (now - flow.opened_at >= kOpeningTimeout) {
      const uint64_t request_id = flow.request_id;
      CloseFlow(current);
      OnAttemptFailed(request_id, false);
    } else if (flow.syn_transmissions < kMaxSynTransmissions &&
               now - flow.opened_at >=
                   kSynTransmissionTimes[flow.syn_transmissions]) {
      SendOpening(current->first, &flow);
    }
  }
}

}  // namespace medlargauge::soak

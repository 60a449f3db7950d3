// @file load_generator.cc Attempts, flows and their ends.
#include "soak/load_generator.h"

#include "platform/packet_header.h"
#include "platform/standin/packet_writer.h"

namespace medlargauge::soak {
namespace {

using platform::standin::Stream;
using platform::standin::TakeAnswer;
using platform::standin::WorkAnswer;

constexpr Duration kTick = Milliseconds(2);
constexpr Duration kCopies[] = {Milliseconds(0), Milliseconds(200),
                                Milliseconds(600)};
constexpr int kMaxCopies = 3;
constexpr Duration kOpeningLimit = Milliseconds(1400);
constexpr Duration kRetryPause = Milliseconds(60);
constexpr int kMaxAttempts = 3;
constexpr int kServed = 200;
constexpr int kNotRun = 503;

}  // namespace

Callers::Callers(EventLoop* loop,
                 Router* router,
                 Referee* referee,
                 const std::vector<WorkClass>* classes,
                 uint64_t seed)
    : m_loop(loop),
      m_router(router),
      m_referee(referee),
      m_classes(classes),
      m_random(seed) {
  loop->Every(kTick, [this] { Tick(); });
}

bool Callers::Add(uint32_t ip, Error* reason) {
  auto socket = std::make_unique<UdpSocket>();
  if (!socket->Bind({ip, kPacketPort}, reason)) {
    return false;
  }
  m_sockets.push_back(std::move(socket));
  m_ips.push_back(ip);
  return true;
}

void Callers::Start() {
  for (size_t i = 0; i < m_classes->size(); ++i) {
    ScheduleArrival(i);
  }
}

void Callers::ScheduleArrival(size_t class_index) {
  const WorkClass& work = (*m_classes)[class_index];
  const double wait =
      std::exponential_distribution<>(work.per_second)(m_random);
  m_loop->After(
      Duration(static_cast<int64_t>(wait * 1e9)), [this, class_index] {
        if (!m_asking) {
          return;
        }
        const uint64_t number = m_next_request++;
        m_requests[number] = {class_index, SteadyTime(), 0};
        Attempt(number);
        const Duration limit = (*m_classes)[class_index].limit;
        m_loop->After(limit, [this, number] { EndRequest(number, false); });
        ScheduleArrival(class_index);
      });
}

void Callers::Attempt(uint64_t number) {
  Request& request = m_requests[number];
  ++request.attempts;
  const TimePoint now = SteadyTime();
  for (auto& [key, flow] : m_flows) {
    const bool idle = flow.class_index == request.class_index &&
                      flow.request == 0 && flow.stream != nullptr &&
                      !flow.stream->HasPeerFinished() && now >= flow.idle_until;
    if (idle) {
      flow.request = number;
      SendRequest(&flow);
      return;
    }
  }
  const size_t socket = m_random() % m_sockets.size();
  m_next_port = m_next_port == UINT16_MAX ? 1024 : m_next_port + 1;
  const FlowKey key{{m_ips[socket], static_cast<uint16_t>(m_next_port)},
                    (*m_classes)[request.class_index].route};
  Flow& flow = m_flows[key];
  flow.class_index = request.class_index;
  flow.socket = socket;
  flow.first = static_cast<uint32_t>(m_random());
  flow.opened_at = now;
  flow.request = number;
  SendOpening(key, &flow);
}

void Callers::SendOpening(const FlowKey& key, Flow* flow) {
  FlowPacket packet;
  packet.flow = key;
  packet.syn = true;
  packet.sequence = flow->first;
  packet.acknowledged = flow->copies;
  ++flow->copies;
  Send(key, packet, {}, flow->socket);
}

void Callers::SendRequest(Flow* flow) {
  const WorkClass& work = (*m_classes)[flow->class_index];
  platform::standin::WorkRequest request;
  request.id = flow->request;
  request.answer_bytes = work.answer_bytes;
  flow->stream->Write(SteadyTime(), WriteRequest(request));
}

void Callers::Send(const FlowKey& key,
                   const FlowPacket& packet,
                   std::string_view data,
                   size_t socket) {
  const std::string bytes = platform::standin::WritePacket(packet, data);
  for (int i = m_router->Arrivals(); i > 0; --i) {
    m_sockets[socket]->Send(
        m_router->Choose(key),
        {reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()});
  }
}

void Callers::OnDatagram(size_t socket, ByteSpan datagram) {
  const ByteView view(datagram.data, datagram.size);
  const std::optional<FlowPacket> packet = platform::ReadPacket(view, false);
  if (!packet.has_value()) {
    m_referee->Report("WHOLE a caller got a packet that is none");
    return;
  }
  const auto found = m_flows.find(packet->flow);
  if (found == m_flows.end() || m_router->Arrivals() == 0) {
    return;
  }
  Flow& flow = found->second;
  if (packet->rst) {
    if (flow.stream != nullptr &&
        !flow.stream->AcceptsReset(packet->sequence)) {
      return;
    }
    OnReset(found, !platform::standin::HasValidChecksum(view));
    return;
  }
  if (!platform::standin::HasValidChecksum(view)) {
    m_referee->Report("WHOLE a packet was changed on its way");
    return;
  }
  if (packet->syn_ack) {
    if (flow.stream == nullptr) {
      flow.stream = std::make_unique<Stream>(
          packet->flow, true, flow.first + 1, packet->sequence + 1,
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
    OnAnswer(found, *answer);
  } else if (flow.stream->HasPeerFinished() && flow.request == 0) {
    EndFlow(found);
  }
}

void Callers::OnReset(FlowMap::iterator found, bool by_system) {
  const uint64_t request = found->second.request;
  const bool was_open = found->second.stream != nullptr;
  if (was_open && by_system) {
    m_referee->OnReset(found->first);
  }
  m_referee->OnFlowEnded(found->first);
  m_flows.erase(found);
  FailAttempt(request, was_open);
}

void Callers::OnAnswer(FlowMap::iterator found, const WorkAnswer& answer) {
  Flow& flow = found->second;
  const uint64_t request = flow.request;
  const bool fits = answer.id == request && answer.is_body_intact;
  if (!fits && request != 0) {
    m_referee->OnBadAnswer(found->first, request);
  }
  flow.request = 0;
  const bool stays = (*m_classes)[flow.class_index].long_flows &&
                     !flow.stream->HasPeerFinished();
  if (stays) {
    flow.idle_until =
        SteadyTime() +
        Milliseconds(static_cast<int64_t>(100 + m_random() % 1500));
  } else {
    EndFlow(found);
  }
  if (answer.status == kServed) {
    EndRequest(request, true);
  } else {
    FailAttempt(request, answer.status != kNotRun);
  }
}

void Callers::FailAttempt(uint64_t number, bool may_have_run) {
  const auto found = m_requests.find(number);
  if (found == m_requests.end()) {
    return;
  }
  const bool repeatable = (*m_classes)[found->second.class_index].repeatable;
  if (found->second.attempts >= kMaxAttempts || (may_have_run && !repeatable)) {
    EndRequest(number, false);
    return;
  }
  m_loop->After(kRetryPause, [this, number] {
    if (m_requests.count(number) > 0) {
      Attempt(number);
    }
  });
}

void Callers::EndRequest(uint64_t number, bool served) {
  const auto found = m_requests.find(number);
  if (found == m_requests.end()) {
    return;
  }
  m_referee->OnRequestEnded(found->second.asked, served);
  m_requests.erase(found);
}

void Callers::EndFlow(FlowMap::iterator found) {
  if (found->second.stream != nullptr) {
    found->second.stream->Finish(SteadyTime());
  }
  m_referee->OnFlowEnded(found->first);
  m_flows.erase(found);
}

void Callers::Tick() {
  for (size_t i = 0; i < m_sockets.size(); ++i) {
    m_sockets[i]->Receive([this, i](SocketAddress4, ByteSpan datagram) {
      OnDatagram(i, datagram);
    });
  }
  const TimePoint now = SteadyTime();
  for (auto it = m_flows.begin(); it != m_flows.end();) {
    const auto current = it++;
    Flow& flow = current->second;
    const bool given_up =
        flow.request != 0 && m_requests.count(flow.request) == 0;
    if (given_up) {
      EndFlow(current);
    } else if (flow.stream != nullptr) {
      flow.stream->OnTick(now);
    } else if (now - flow.opened_at >= kOpeningLimit) {
      const uint64_t request = flow.request;
      EndFlow(current);
      FailAttempt(request, false);
    } else if (flow.copies < kMaxCopies &&
               now - flow.opened_at >= kCopies[flow.copies]) {
      SendOpening(current->first, &flow);
    }
  }
}

}  // namespace medlargauge::soak

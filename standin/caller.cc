// @file caller.cc Many callers in one process; checks every answer.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <queue>
#include <unordered_map>

#include "src/core/hash.h"
#include "src/daemon/address.h"
#include "src/daemon/control_plane.h"
#include "src/packet/envelope.h"
#include "src/packet/packet.h"
#include "standin/datagram_socket.h"
#include "standin/standin.h"
#include "standin/stop_flag.h"
#include "standin/work_message.h"

namespace medlargauge {
namespace {

constexpr uint32_t kCallerNetwork = 0x0A000000;  // 10.0.0.0
constexpr uint32_t kPortsPerAddress = 50000;
constexpr uint16_t kFirstPort = 10000;
constexpr uint16_t kServicePort = 443;
constexpr Duration kFirstTimeout = Milliseconds(400);
constexpr Duration kMaxTimeout = Seconds(3);
constexpr int kMaxAttempts = 12;
/// Longest life of a flow, in mean lives, so that drains come to an end.
constexpr double kMaxLifetimes = 2.0;
constexpr Duration kLongestEnd = Seconds(60);

enum class FlowPhase : uint8_t { kOpening, kWaiting, kPausing, kClosing };

/// One flow of one caller.
struct CallerConnection {
  uint64_t number = 0;            ///< Unique.
  PacketInfo packet;              ///< Addresses; reused for each segment.
  uint32_t initial_sequence = 0;  ///< Of the SYN.
  uint32_t service = 0;           ///< Service it must reach.
  FlowPhase phase = FlowPhase::kOpening;  ///< See FlowPhase.
  TimePoint end;                          ///< Last request starts before this.
  uint32_t requests = 0;                  ///< Requests sent so far.
  uint64_t request_id = 0;                ///< Of the current request.
  std::vector<bool> parts;                ///< Received parts of the answer.
  int attempt = 0;                        ///< Of the current packet.
  uint64_t timer = 0;                     ///< Only the newest timer counts.
};

/// A class that callers use.
struct CalledClass {
  IpAddress address;     ///< Where packets go.
  uint32_t service = 0;  ///< Service that must answer.
};

/// What the callers count.
struct CallerCounts {
  uint64_t flows = 0;          ///< Started.
  uint64_t completed = 0;      ///< Ended with every answer whole.
  uint64_t broken_flows = 0;   ///< Cut or stuck after being established.
  uint64_t gave_up = 0;        ///< Never established.
  uint64_t refused = 0;        ///< Told "not run".
  uint64_t requests = 0;       ///< Answered whole.
  uint64_t wrong_answers = 0;  ///< Bytes differed, or of another request.
};

/// All callers.
class Callers {
 public:
  explicit Callers(const CallerOptions& options)
      : m_options(options), m_random(options.seed) {}

  int Run() {
    const std::optional<HostPort> fabric = ParseHostPort(m_options.fabric);
    if (!ParseClasses() || !fabric.has_value() ||
        !m_socket.Bind(m_options.listen)) {
      std::cerr << "caller: bad address or class\n";
      return 2;
    }
    m_fabric = ToSocketAddress(*fabric);
    m_now = SteadyNow();
    const TimePoint stop = m_now + Seconds(m_options.seconds);
    const TimePoint limit = stop + kLongestEnd;
    TimePoint next_flow = m_now;
    while (m_now < limit && (m_now < stop || !m_flows.empty())) {
      m_socket.Receive(1, [this](ByteView datagram) { OnDatagram(datagram); });
      m_now = SteadyNow();
      const bool stopping = IsStopRequested() || m_now >= stop;
      while (!stopping && m_flows.size() < m_options.flows &&
             next_flow <= m_now) {
        StartFlow();
        next_flow += Seconds(1) / m_options.rate;
      }
      next_flow = std::max(next_flow, m_now - Milliseconds(100));
      RunTimers();
    }
    m_counts.broken_flows += m_flows.size();
    Print();
    return 0;
  }

 private:
  struct Timer {
    TimePoint when;   ///< Due.
    uint64_t number;  ///< Flow.
    uint64_t timer;   ///< Must match the flow's.
    bool operator>(const Timer& other) const { return when > other.when; }
  };

  bool ParseClasses() {
    for (const std::string& entry : m_options.classes) {
      const size_t slash = entry.find('/');
      const std::optional<IpAddress> address =
          ParseIpv4(entry.substr(0, slash));
      if (slash == std::string::npos || !address.has_value()) {
        return false;
      }
      m_classes.push_back(
          {*address, ServiceIdOf(entry.substr(slash + 1)).value});
    }
    return !m_classes.empty();
  }

  double Uniform() { return std::ldexp(m_random(), -32); }

  void StartFlow() {
    auto flow = std::make_unique<CallerConnection>();
    const CalledClass& called = m_classes[m_random(m_classes.size())];
    flow->number = ++m_next_number;
    FiveTuple& tuple = flow->packet.tuple;
    tuple.source =
        ToMappedAddress(kCallerNetwork +
                        static_cast<uint32_t>(flow->number / kPortsPerAddress));
    tuple.source_port =
        static_cast<uint16_t>(kFirstPort + flow->number % kPortsPerAddress);
    tuple.destination = called.address;
    tuple.destination_port = kServicePort;
    tuple.transport =
        Uniform() < m_options.udp_share ? Transport::kUdp : Transport::kTcp;
    flow->service = called.service;
    flow->initial_sequence = m_random() | 1U;
    const double life = std::min(-std::log(1 - Uniform()), kMaxLifetimes) *
                        m_options.lifetime_ms;
    flow->end = m_now + Milliseconds(static_cast<int64_t>(life));
    ++m_counts.flows;
    CallerConnection* started = flow.get();
    m_by_flow[HashFlow(tuple).low] = started->number;
    m_flows[started->number] = std::move(flow);
    if (tuple.transport == Transport::kUdp) {
      StartRequest(started);
    } else {
      Transmit(started);
    }
  }

  void StartRequest(CallerConnection* flow) {
    flow->phase = FlowPhase::kWaiting;
    flow->request_id = ++m_next_request;
    ++flow->requests;
    flow->parts.assign((m_options.answer_bytes + kPart - 1) / kPart, false);
    flow->attempt = 0;
    Transmit(flow);
  }

  void Transmit(CallerConnection* flow) {
    PacketInfo packet;
    packet.tuple = flow->packet.tuple;
    std::vector<uint8_t> payload;
    switch (flow->phase) {
      case FlowPhase::kOpening:
        packet.syn = true;
        packet.sequence = flow->initial_sequence;
        break;
      case FlowPhase::kWaiting:
        payload = ToBytes(WorkRequest{flow->request_id, flow->service,
                                      m_options.answer_bytes});
        packet.ack = true;
        packet.sequence = flow->initial_sequence + flow->requests;
        break;
      case FlowPhase::kClosing:
        packet.ack = true;
        packet.fin = true;
        packet.sequence = flow->initial_sequence + flow->requests + 1;
        break;
      case FlowPhase::kPausing:
        return;
    }
    packet.payload = ByteView(payload.data(), payload.size());
    const std::vector<uint8_t> bytes = BuildPacket(packet);
    m_socket.SendPacket(m_fabric, {bytes.data(), bytes.size()});
    const Duration timeout = kFirstTimeout * (1 << std::min(flow->attempt, 4));
    SetTimer(flow, std::min<Duration>(timeout, kMaxTimeout));
  }

  void SetTimer(CallerConnection* flow, Duration delay) {
    flow->timer = ++m_next_timer;
    m_timers.push({m_now + delay, flow->number, flow->timer});
  }

  void RunTimers() {
    while (!m_timers.empty() && m_timers.top().when <= m_now) {
      const Timer timer = m_timers.top();
      m_timers.pop();
      const auto found = m_flows.find(timer.number);
      if (found != m_flows.end() && found->second->timer == timer.timer) {
        OnTimer(found->second.get());
      }
    }
  }

  void OnTimer(CallerConnection* flow) {
    if (flow->phase == FlowPhase::kPausing) {
      AfterPause(flow);
      return;
    }
    if (++flow->attempt < kMaxAttempts) {
      Transmit(flow);
      return;
    }
    const bool first_udp = IsUdp(*flow) && flow->requests == 1;
    if (flow->phase == FlowPhase::kOpening || first_udp) {
      ++m_counts.gave_up;
    } else {
      ++m_counts.broken_flows;
    }
    End(flow);
  }

  void AfterPause(CallerConnection* flow) {
    if (m_now < flow->end) {
      StartRequest(flow);
    } else if (IsUdp(*flow)) {
      ++m_counts.completed;
      End(flow);
    } else {
      flow->phase = FlowPhase::kClosing;
      flow->attempt = 0;
      Transmit(flow);
    }
  }

  void OnDatagram(ByteView datagram) {
    const std::optional<GueDatagram> gue = ParseGue(datagram, nullptr);
    if (!gue.has_value()) {
      return;
    }
    Error reason;
    const std::optional<PacketInfo> packet = ParsePacket(gue->packet, &reason);
    if (!packet.has_value()) {
      OnUnreachable(gue->packet);
      return;
    }
    FiveTuple tuple = packet->tuple;
    std::swap(tuple.source, tuple.destination);
    std::swap(tuple.source_port, tuple.destination_port);
    const auto number = m_by_flow.find(HashFlow(tuple).low);
    if (number != m_by_flow.end()) {
      OnPacket(m_flows[number->second].get(), *packet);
    }
  }

  void OnPacket(CallerConnection* flow, const PacketInfo& packet) {
    if (packet.rst) {
      OnReset(flow);
      return;
    }
    // The codec reports a SYN with ACK as `ack` alone.
    const bool syn_ack = flow->phase == FlowPhase::kOpening && packet.ack &&
                         packet.payload.empty() &&
                         packet.acknowledged == flow->initial_sequence + 1;
    if (syn_ack) {
      StartRequest(flow);
      return;
    }
    if (flow->phase == FlowPhase::kClosing && packet.fin) {
      ++m_counts.completed;
      End(flow);
      return;
    }
    if (!packet.payload.empty()) {
      OnAnswer(flow, packet);
    }
  }

  void OnAnswer(CallerConnection* flow, const PacketInfo& packet) {
    const auto part = FromBytes<WorkAnswer>(packet.payload);
    if (!part.has_value() || part->id > m_next_request) {
      ++m_counts.wrong_answers;
      return;
    }
    const bool current =
        flow->phase == FlowPhase::kWaiting && part->id == flow->request_id;
    if (!current) {
      return;  // A repeated answer to an earlier request of this flow.
    }
    const ByteView bytes = packet.payload.substr(sizeof(WorkAnswer));
    for (uint32_t i = 0; i < bytes.size(); ++i) {
      if (bytes[i] != AnswerByte(part->id, part->offset + i)) {
        ++m_counts.wrong_answers;
        return;
      }
    }
    const size_t index = part->offset / kPart;
    if (index < flow->parts.size()) {
      flow->parts[index] = true;
    }
    const bool whole = std::all_of(flow->parts.begin(), flow->parts.end(),
                                   [](bool received) { return received; });
    if (whole) {
      ++m_counts.requests;
      flow->phase = FlowPhase::kPausing;
      SetTimer(flow, Milliseconds(m_options.pause_ms));
    }
  }

  void OnReset(CallerConnection* flow) {
    if (flow->phase == FlowPhase::kOpening) {
      ++m_counts.refused;
    } else {
      ++m_counts.broken_flows;
    }
    End(flow);
  }

  void OnUnreachable(ByteView packet) {
    constexpr size_t kHeaders = 28;  // IPv4 and ICMP.
    if (packet.size() < kHeaders + kHeaders) {
      return;
    }
    // The quoted header tells the flow; its ports follow the IP header.
    const ByteView quoted = packet.substr(kHeaders);
    FiveTuple tuple;
    const auto word = [&quoted](size_t at) {
      return static_cast<uint32_t>(quoted[at]) << 24U |
             static_cast<uint32_t>(quoted[at + 1]) << 16U |
             static_cast<uint32_t>(quoted[at + 2]) << 8U | quoted[at + 3];
    };
    tuple.source = ToMappedAddress(word(12));
    tuple.destination = ToMappedAddress(word(16));
    tuple.source_port = static_cast<uint16_t>(word(20) >> 16U);
    tuple.destination_port = static_cast<uint16_t>(word(20));
    tuple.transport = Transport::kUdp;
    const auto number = m_by_flow.find(HashFlow(tuple).low);
    if (number != m_by_flow.end()) {
      ++m_counts.refused;
      End(m_flows[number->second].get());
    }
  }

  void End(CallerConnection* flow) {
    m_by_flow.erase(HashFlow(flow->packet.tuple).low);
    m_flows.erase(flow->number);
  }

  static bool IsUdp(const CallerConnection& flow) {
    return flow.packet.tuple.transport == Transport::kUdp;
  }

  void Print() const {
    const nlohmann::json result = {{"flows", m_counts.flows},
                                   {"completed", m_counts.completed},
                                   {"broken_flows", m_counts.broken_flows},
                                   {"gave_up", m_counts.gave_up},
                                   {"refused", m_counts.refused},
                                   {"requests", m_counts.requests},
                                   {"requests_sent", m_next_request},
                                   {"wrong_answers", m_counts.wrong_answers}};
    std::cout << result.dump() << std::endl;
  }

  static constexpr uint32_t kPart = 1000;

  CallerOptions m_options;             ///< As given.
  pcg32 m_random;                      ///< All randomness.
  DatagramSocket m_socket;             ///< Packets out, answers in.
  sockaddr_in m_fabric{};              ///< Where packets go.
  TimePoint m_now;                     ///< Of the current turn.
  std::vector<CalledClass> m_classes;  ///< To choose from.
  std::unordered_map<uint64_t, std::unique_ptr<CallerConnection>> m_flows;
  std::unordered_map<uint64_t, uint64_t> m_by_flow;  ///< Hash to number.
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
  uint64_t m_next_number = 0;   ///< Of the next flow.
  uint64_t m_next_request = 0;  ///< Of the next request.
  uint64_t m_next_timer = 0;    ///< Of the next timer.
  CallerCounts m_counts;        ///< Only grow.
};

}  // namespace

int RunCaller(const CallerOptions& options) {
  return Callers(options).Run();
}

}  // namespace medlargauge

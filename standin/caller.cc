// @file caller.cc Load generator: many callers in one process, which check
// every answer.
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
constexpr uint16_t kFirstCallerPort = 10000;
constexpr uint16_t kServicePort = 443;
constexpr Duration kInitialRetransmitTimeout = Milliseconds(400);
constexpr Duration kMaxRetransmitTimeout = Seconds(3);
constexpr int kMaxAttempts = 12;
/// Upper bound of a flow's lifetime, as a multiple of the mean lifetime.
/// Without a bound, a drain could wait for a few long flows.
constexpr double kMaxLifetimeInMeans = 2.0;
/// Time that flows have to end after the traffic; flows still open then count
/// as broken.
constexpr Duration kCompletionTimeout = Seconds(60);

/// What a flow is doing.
enum class FlowPhase : uint8_t {
  kOpening,         ///< Waits for the SYN-ACK; TCP only.
  kAwaitingAnswer,  ///< Waits for the answer to a request.
  kPaused,          ///< Waits before the next request or the end.
  kClosing          ///< Waits for the FIN of the server; TCP only.
};

/// One flow of one caller.
struct CallerFlow {
  uint64_t number = 0;            ///< Unique number of the flow.
  PacketInfo packet;              ///< Holds the five-tuple of the flow.
  uint32_t initial_sequence = 0;  ///< Sequence number of the SYN.
  uint32_t service = 0;           ///< Id of the service that it must reach.
  FlowPhase phase = FlowPhase::kOpening;  ///< Current phase.
  TimePoint last_request_before;     ///< No request starts at or after this.
  uint32_t requests_sent = 0;        ///< Requests so far, without retries.
  uint64_t request_id = 0;           ///< Id of the current request.
  std::vector<bool> received_parts;  ///< Parts of the answer received so far.
  int attempt = 0;                   ///< Retransmissions of the last packet.
  uint64_t timer_id = 0;             ///< Newest timer; older ones are ignored.
};

/// A class that callers send traffic to.
struct TrafficClass {
  IpAddress address;     ///< Destination address of its packets.
  uint32_t service = 0;  ///< Id of the service that must answer.
};

/// Counts of all callers since the start.
struct CallerCounts {
  uint64_t flows = 0;          ///< Started flows.
  uint64_t completed = 0;      ///< Flows that received every answer in full.
  uint64_t broken_flows = 0;   ///< Established flows that were reset or stuck.
  uint64_t gave_up = 0;        ///< Flows that were never established.
  uint64_t refused = 0;        ///< Flows refused by a reset or ICMP message.
  uint64_t requests = 0;       ///< Requests that were answered in full.
  uint64_t wrong_answers = 0;  ///< Parts with wrong bytes or request.
};

/// Generates the traffic of all callers and checks every answer. Not
/// thread-safe.
class CallerPool {
 public:
  explicit CallerPool(const CallerOptions& options)
      : m_options(options), m_random(options.seed) {}

  int Run() {
    const std::optional<HostPort> fabric_address =
        ParseHostPort(m_options.fabric);
    if (!ParseClasses() || !fabric_address.has_value() ||
        !m_socket.Bind(m_options.listen)) {
      std::cerr << "caller: invalid --fabric, --classes or --listen address\n";
      return 2;
    }
    m_fabric_address = ToSocketAddress(*fabric_address);
    m_now = SteadyNow();
    const TimePoint traffic_end = m_now + Seconds(m_options.seconds);
    const TimePoint run_deadline = traffic_end + kCompletionTimeout;
    TimePoint next_flow_time = m_now;
    while (m_now < run_deadline && (m_now < traffic_end || !m_flows.empty())) {
      m_socket.ReceiveBatch(
          1, [this](ByteView datagram) { OnDatagram(datagram); });
      m_now = SteadyNow();
      const bool is_stopping = IsStopRequested() || m_now >= traffic_end;
      while (!is_stopping && m_flows.size() < m_options.flows &&
             next_flow_time <= m_now) {
        StartFlow();
        next_flow_time += Seconds(1) / m_options.rate;
      }
      next_flow_time = std::max(next_flow_time, m_now - Milliseconds(100));
      RunDueTimers();
    }
    m_counts.broken_flows += m_flows.size();
    PrintCounts();
    return 0;
  }

 private:
  /// A scheduled timer of a flow. It is ignored unless it is the flow's newest.
  struct Timer {
    TimePoint due;         ///< When it fires.
    uint64_t flow_number;  ///< Number of the flow.
    uint64_t timer_id;     ///< Compared with the flow's timer_id.
    bool operator>(const Timer& other) const { return due > other.due; }
  };

  bool ParseClasses() {
    for (const std::string& entry : m_options.classes) {
      const size_t separator = entry.find('/');
      const std::optional<IpAddress> address =
          ParseIpv4(entry.substr(0, separator));
      if (separator == std::string::npos || !address.has_value()) {
        return false;
      }
      m_classes.push_back(
          {*address, ServiceIdOf(entry.substr(separator + 1)).value});
    }
    return !m_classes.empty();
  }

  /// Returns a uniform random number from 0 up to, but not including, 1.
  double DrawUniform() { return std::ldexp(m_random(), -32); }

  void StartFlow() {
    auto flow = std::make_unique<CallerFlow>();
    const TrafficClass& traffic_class = m_classes[m_random(m_classes.size())];
    flow->number = ++m_last_flow_number;
    FiveTuple& tuple = flow->packet.tuple;
    tuple.source =
        ToMappedAddress(kCallerNetwork +
                        static_cast<uint32_t>(flow->number / kPortsPerAddress));
    tuple.source_port = static_cast<uint16_t>(kFirstCallerPort +
                                              flow->number % kPortsPerAddress);
    tuple.destination = traffic_class.address;
    tuple.destination_port = kServicePort;
    tuple.transport =
        DrawUniform() < m_options.udp_share ? Transport::kUdp : Transport::kTcp;
    flow->service = traffic_class.service;
    flow->initial_sequence = m_random() | 1U;
    const double lifetime_ms =
        std::min(-std::log(1 - DrawUniform()), kMaxLifetimeInMeans) *
        m_options.lifetime_ms;
    flow->last_request_before =
        m_now + Milliseconds(static_cast<int64_t>(lifetime_ms));
    ++m_counts.flows;
    CallerFlow* new_flow = flow.get();
    m_flow_number_by_hash[HashFlow(tuple).low] = new_flow->number;
    m_flows[new_flow->number] = std::move(flow);
    if (tuple.transport == Transport::kUdp) {
      StartRequest(new_flow);
    } else {
      SendCurrentPacket(new_flow);
    }
  }

  void StartRequest(CallerFlow* flow) {
    flow->phase = FlowPhase::kAwaitingAnswer;
    flow->request_id = ++m_last_request_id;
    ++flow->requests_sent;
    flow->received_parts.assign(
        (m_options.answer_bytes + kAnswerPartBytes - 1) / kAnswerPartBytes,
        false);
    flow->attempt = 0;
    SendCurrentPacket(flow);
  }

  /// Sends the packet that the flow's phase calls for, and restarts the timer
  /// with exponential back-off.
  void SendCurrentPacket(CallerFlow* flow) {
    PacketInfo packet;
    packet.tuple = flow->packet.tuple;
    std::vector<uint8_t> payload;
    switch (flow->phase) {
      case FlowPhase::kOpening:
        packet.syn = true;
        packet.sequence = flow->initial_sequence;
        break;
      case FlowPhase::kAwaitingAnswer:
        payload = SerializeWorkMessage(WorkRequest{
            flow->request_id, flow->service, m_options.answer_bytes});
        packet.ack = true;
        packet.sequence = flow->initial_sequence + flow->requests_sent;
        break;
      case FlowPhase::kClosing:
        packet.ack = true;
        packet.fin = true;
        packet.sequence = flow->initial_sequence + flow->requests_sent + 1;
        break;
      case FlowPhase::kPaused:
        return;
    }
    packet.payload = ByteView(payload.data(), payload.size());
    const std::vector<uint8_t> bytes = BuildPacket(packet);
    m_socket.SendGuePacket(m_fabric_address, {bytes.data(), bytes.size()});
    const Duration retransmit_timeout =
        kInitialRetransmitTimeout * (1 << std::min(flow->attempt, 4));
    RestartTimer(flow,
                 std::min<Duration>(retransmit_timeout, kMaxRetransmitTimeout));
  }

  void RestartTimer(CallerFlow* flow, Duration delay) {
    flow->timer_id = ++m_last_timer_id;
    m_timers.push({m_now + delay, flow->number, flow->timer_id});
  }

  void RunDueTimers() {
    while (!m_timers.empty() && m_timers.top().due <= m_now) {
      const Timer timer = m_timers.top();
      m_timers.pop();
      const auto flow = m_flows.find(timer.flow_number);
      if (flow != m_flows.end() && flow->second->timer_id == timer.timer_id) {
        OnTimer(flow->second.get());
      }
    }
  }

  void OnTimer(CallerFlow* flow) {
    if (flow->phase == FlowPhase::kPaused) {
      OnPauseEnd(flow);
      return;
    }
    if (++flow->attempt < kMaxAttempts) {
      SendCurrentPacket(flow);
      return;
    }
    const bool is_first_udp_request = IsUdp(*flow) && flow->requests_sent == 1;
    if (flow->phase == FlowPhase::kOpening || is_first_udp_request) {
      ++m_counts.gave_up;
    } else {
      ++m_counts.broken_flows;
    }
    RemoveFlow(flow);
  }

  void OnPauseEnd(CallerFlow* flow) {
    if (m_now < flow->last_request_before) {
      StartRequest(flow);
    } else if (IsUdp(*flow)) {
      ++m_counts.completed;
      RemoveFlow(flow);
    } else {
      flow->phase = FlowPhase::kClosing;
      flow->attempt = 0;
      SendCurrentPacket(flow);
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
      OnPortUnreachable(gue->packet);
      return;
    }
    FiveTuple tuple = packet->tuple;
    std::swap(tuple.source, tuple.destination);
    std::swap(tuple.source_port, tuple.destination_port);
    const auto number = m_flow_number_by_hash.find(HashFlow(tuple).low);
    if (number != m_flow_number_by_hash.end()) {
      OnPacket(m_flows[number->second].get(), *packet);
    }
  }

  void OnPacket(CallerFlow* flow, const PacketInfo& packet) {
    if (packet.rst) {
      OnReset(flow);
      return;
    }
    // ParsePacket reports a SYN-ACK with `ack` set and `syn` not set.
    const bool syn_ack = flow->phase == FlowPhase::kOpening && packet.ack &&
                         packet.payload.empty() &&
                         packet.acknowledged == flow->initial_sequence + 1;
    if (syn_ack) {
      StartRequest(flow);
      return;
    }
    if (flow->phase == FlowPhase::kClosing && packet.fin) {
      ++m_counts.completed;
      RemoveFlow(flow);
      return;
    }
    if (!packet.payload.empty()) {
      OnAnswerPart(flow, packet);
    }
  }

  void OnAnswerPart(CallerFlow* flow, const PacketInfo& packet) {
    const auto header = ParseWorkMessage<WorkAnswerPart>(packet.payload);
    if (!header.has_value() || header->request_id > m_last_request_id) {
      ++m_counts.wrong_answers;
      return;
    }
    const bool is_current = flow->phase == FlowPhase::kAwaitingAnswer &&
                            header->request_id == flow->request_id;
    if (!is_current) {
      return;  // A duplicate answer to an earlier request of this flow.
    }
    const ByteView bytes = packet.payload.substr(sizeof(WorkAnswerPart));
    for (uint32_t i = 0; i < bytes.size(); ++i) {
      if (bytes[i] !=
          ComputeAnswerByte(header->request_id, header->offset + i)) {
        ++m_counts.wrong_answers;
        return;
      }
    }
    const size_t part_index = header->offset / kAnswerPartBytes;
    if (part_index < flow->received_parts.size()) {
      flow->received_parts[part_index] = true;
    }
    const bool is_complete =
        std::all_of(flow->received_parts.begin(), flow->received_parts.end(),
                    [](bool received) { return received; });
    if (is_complete) {
      ++m_counts.requests;
      flow->phase = FlowPhase::kPaused;
      RestartTimer(flow, Milliseconds(m_options.pause_ms));
    }
  }

  void OnReset(CallerFlow* flow) {
    if (flow->phase == FlowPhase::kOpening) {
      ++m_counts.refused;
    } else {
      ++m_counts.broken_flows;
    }
    RemoveFlow(flow);
  }

  /// Handles an ICMP "port unreachable" message, which refuses a UDP flow.
  void OnPortUnreachable(ByteView packet) {
    constexpr size_t kIpAndIcmpHeaderBytes = 28;  // 20 of IPv4, 8 of ICMP.
    if (packet.size() < kIpAndIcmpHeaderBytes + kIpAndIcmpHeaderBytes) {
      return;
    }
    // The message quotes the IP header and the UDP header of the refused
    // packet, which identify the flow.
    const ByteView quoted_packet = packet.substr(kIpAndIcmpHeaderBytes);
    FiveTuple tuple;
    const auto read_word = [&quoted_packet](size_t offset) {
      return static_cast<uint32_t>(quoted_packet[offset]) << 24U |
             static_cast<uint32_t>(quoted_packet[offset + 1]) << 16U |
             static_cast<uint32_t>(quoted_packet[offset + 2]) << 8U |
             quoted_packet[offset + 3];
    };
    tuple.source = ToMappedAddress(read_word(12));
    tuple.destination = ToMappedAddress(read_word(16));
    tuple.source_port = static_cast<uint16_t>(read_word(20) >> 16U);
    tuple.destination_port = static_cast<uint16_t>(read_word(20));
    tuple.transport = Transport::kUdp;
    const auto number = m_flow_number_by_hash.find(HashFlow(tuple).low);
    if (number != m_flow_number_by_hash.end()) {
      ++m_counts.refused;
      RemoveFlow(m_flows[number->second].get());
    }
  }

  void RemoveFlow(CallerFlow* flow) {
    m_flow_number_by_hash.erase(HashFlow(flow->packet.tuple).low);
    m_flows.erase(flow->number);
  }

  static bool IsUdp(const CallerFlow& flow) {
    return flow.packet.tuple.transport == Transport::kUdp;
  }

  void PrintCounts() const {
    const nlohmann::json counts = {{"flows", m_counts.flows},
                                   {"completed", m_counts.completed},
                                   {"broken_flows", m_counts.broken_flows},
                                   {"gave_up", m_counts.gave_up},
                                   {"refused", m_counts.refused},
                                   {"requests", m_counts.requests},
                                   {"requests_sent", m_last_request_id},
                                   {"wrong_answers", m_counts.wrong_answers}};
    std::cout << counts.dump() << std::endl;
  }

  static constexpr uint32_t kAnswerPartBytes = 1000;

  CallerOptions m_options;              ///< Options from the command line.
  pcg32 m_random;                       ///< Random number generator.
  DatagramSocket m_socket;              ///< Sends packets and receives answers.
  sockaddr_in m_fabric_address{};       ///< Destination of packets.
  TimePoint m_now;                      ///< Time of the current event.
  std::vector<TrafficClass> m_classes;  ///< Classes of new flows.
  /// Open flows by number.
  std::unordered_map<uint64_t, std::unique_ptr<CallerFlow>> m_flows;
  /// Numbers of open flows by the low half of the flow hash.
  std::unordered_map<uint64_t, uint64_t> m_flow_number_by_hash;
  /// Scheduled timers, the next one on top.
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
  uint64_t m_last_flow_number = 0;  ///< Number of the newest flow.
  uint64_t m_last_request_id = 0;   ///< Id of the newest request.
  uint64_t m_last_timer_id = 0;     ///< Id of the newest timer.
  CallerCounts m_counts;            ///< Counts since the start.
};

}  // namespace

int RunCallers(const CallerOptions& options) {
  return CallerPool(options).Run();
}

}  // namespace medlargauge

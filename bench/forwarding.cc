// @file forwarding.cc Packets per second of processor time of a balancer and an
// agent, compared with a bare recvmmsg/sendmmsg forwarder. The three take turns
// in one run.
#include <algorithm>
#include <atomic>
#include <functional>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <thread>
#include <unordered_map>
#include <vector>

#include "bench/bench.h"
#include "bench/measure.h"
#include "src/admission/admission.h"
#include "src/core/hash.h"
#include "src/daemon/address.h"
#include "src/daemon/control_plane.h"
#include "src/daemon/packet_path.h"
#include "src/packet/packet.h"

namespace medlargauge {
namespace {

constexpr const char* kForwarderAddress = "127.77.0.1:16080";
constexpr const char* kSinkAddress = "127.77.0.2:16080";
constexpr int kRounds = 7;
constexpr Duration kRoundLength = Milliseconds(600);
constexpr size_t kFlows = 4096;
constexpr size_t kPayloadBytes = 200;
constexpr int kAgentCount = 14;
constexpr size_t kMemoryTestFlows = 400000;

/// Makes a datagram for each of many flows.
/// @param with_envelope true for datagrams of a balancer, false for the fabric
std::vector<std::vector<uint8_t>> MakeDatagrams(bool with_envelope) {
  const std::vector<uint8_t> payload(kPayloadBytes, 7);
  std::vector<std::vector<uint8_t>> datagrams;
  for (size_t i = 0; i < kFlows; ++i) {
    PacketInfo info;
    info.tuple.source = ToMappedAddress(0x0A000001);
    info.tuple.destination = ToMappedAddress(0xCB007101);
    info.tuple.source_port = static_cast<uint16_t>(1024 + i);
    info.tuple.destination_port = 443;
    info.ack = true;
    info.payload = ByteView(payload.data(), payload.size());
    const std::vector<uint8_t> packet = BuildPacket(info);
    std::array<uint8_t, kMaxGueHeaderSize> header;
    const ByteSpan out{header.data(), header.size()};
    Envelope envelope;
    envelope.class_id = ClassIdOf("stock");
    const size_t size =
        with_envelope ? WriteEnvelope(envelope, out) : WriteGueHeader(out);
    std::vector<uint8_t> datagram(header.begin(), header.begin() + size);
    datagram.insert(datagram.end(), packet.begin(), packet.end());
    datagrams.push_back(std::move(datagram));
  }
  return datagrams;
}

/// Sends datagrams in a loop on a thread of its own until destruction. The
/// datagrams must outlive it.
class PacketGenerator {
 public:
  explicit PacketGenerator(const std::vector<std::vector<uint8_t>>& datagrams)
      : m_thread([this, &datagrams] {
          PacketIo io;
          Error reason;
          io.Bind("127.77.0.3:16080", &reason);
          const sockaddr_in destination =
              ToSocketAddress(*ParseHostPort(kForwarderAddress));
          size_t next_index = 0;
          while (!m_stop_requested) {
            const std::vector<uint8_t>& datagram = datagrams[next_index];
            io.SendNow(destination, ByteView(),
                       ByteView(datagram.data(), datagram.size()));
            next_index = (next_index + 1) % datagrams.size();
          }
        }) {}
  PacketGenerator(const PacketGenerator&) = delete;
  PacketGenerator& operator=(const PacketGenerator&) = delete;
  ~PacketGenerator() {
    m_stop_requested = true;
    m_thread.join();
  }

 private:
  std::atomic<bool> m_stop_requested{false};  ///< Makes the thread return.
  std::thread m_thread;                       ///< Sends the datagrams.
};

/// Returns the packets per second of processor time of one forwarder.
/// @param forward called for each received datagram
double MeasureRound(const std::vector<std::vector<uint8_t>>& datagrams,
                    PacketIo* io,
                    const PacketIo::DatagramHook& forward) {
  const PacketGenerator generator(datagrams);
  // The first batches are not measured: they warm the caches and fill the
  // receive queue of the socket.
  const TimePoint warm_up_end = SteadyNow() + kRoundLength / 4;
  while (SteadyNow() < warm_up_end) {
    io->RunBatch(Milliseconds(10), forward);
  }
  const TimePoint measure_end = SteadyNow() + kRoundLength;
  const double cpu_start = ThreadCpuSeconds();
  size_t packets = 0;
  while (SteadyNow() < measure_end) {
    packets += io->RunBatch(Milliseconds(10), forward);
  }
  return static_cast<double>(packets) / (ThreadCpuSeconds() - cpu_start);
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

std::vector<ClassTarget> MakeTargets() {
  ClassTarget target;
  target.name = "stock";
  target.service = "stock";
  target.address = ToMappedAddress(0xCB007101);
  target.revision = 1;
  return {target};
}

AgentFacts MakeReadyAgent(int number) {
  AgentFacts facts;
  facts.id = MemberIdOf("stock-" + std::to_string(number));
  facts.state = AgentState::kReady;
  facts.incarnation = 1;
  return facts;
}

/// Returns the size of a flow table with 400,000 flows, in bytes per flow.
double MeasureBytesPerFlow(uint64_t seed) {
  pcg64 random(seed);
  FlowTable table;
  for (size_t i = 0; i < kMemoryTestFlows; ++i) {
    table.Insert(FlowId{random(), random() | 1U});
  }
  return static_cast<double>(table.MemoryBytes()) /
         static_cast<double>(table.Size());
}

}  // namespace

nlohmann::json RunForwarding(const BenchOptions& options) {
  PacketIo io;
  PacketIo sink;
  Error reason;
  if (!io.Bind(kForwarderAddress, &reason) ||
      !sink.Bind(kSinkAddress, &reason)) {
    std::cerr << reason.detail << "\n";
    return {{"error", reason.detail}};
  }
  std::atomic<bool> stop{false};
  std::thread sink_thread([&] {
    while (!stop) {
      sink.RunBatch(Milliseconds(10), [](ByteView) {});
    }
  });
  const sockaddr_in destination = ToSocketAddress(*ParseHostPort(kSinkAddress));
  const MemberAddressHook find_address = [&destination](MemberId) {
    return &destination;
  };

  AgentFacts self;
  self.id = MemberIdOf("balancer-1");
  Balancer balancer(self, GroupTimeouts());
  balancer.SetTargets(MakeTargets());
  for (int i = 0; i < kAgentCount; ++i) {
    balancer.UpdateMember(SteadyNow(), ServiceIdOf("stock"), MakeReadyAgent(i));
  }
  const BalancerPacketPath balancer_path{&balancer, &io, find_address, {}};

  AgentConfig config;
  config.service = ServiceIdOf("stock");
  config.self = MakeReadyAgent(0);
  config.policy = PlaceWithinBound;
  config.start = StartKind::kPlannedRestart;
  config.limits.capacity = kFlows * 2;
  Agent agent(SteadyNow(), config);
  agent.SetSplits(SteadyNow(),
                  MakeVersionSplits(MakeTargets(), config.service));
  AgentSnapshot snapshot;
  for (const std::vector<uint8_t>& datagram : MakeDatagrams(false)) {
    const auto gue = ParseGue({datagram.data(), datagram.size()}, nullptr);
    FlowEntry entry;
    entry.flow = ParsePacket(gue->packet, nullptr)->flow;
    entry.class_id = ClassIdOf("stock");
    entry.expires = ToFlowDeadline(SteadyNow() + Seconds(600));
    snapshot.flows.push_back(entry);
  }
  agent.ImportSnapshot(SteadyNow(), snapshot);
  const AgentPacketPath agent_path{&agent,       &io, destination,
                                   find_address, {},  {}};

  const auto gue_datagrams = MakeDatagrams(false);
  const auto envelope_datagrams = MakeDatagrams(true);
  std::vector<double> bare_rates;
  std::vector<double> balancer_ratios;
  std::vector<double> agent_ratios;
  std::cout << "round   bare_pps  balancer_pps  agent_pps (per core)\n";
  for (int round = 0; round < kRounds; ++round) {
    const double bare_rate =
        MeasureRound(gue_datagrams, &io, [&](ByteView datagram) {
          io.Queue(destination, ByteView(), datagram);
        });
    const double balancer_rate =
        MeasureRound(gue_datagrams, &io, [&](ByteView datagram) {
          HandleBalancerDatagram(balancer_path, datagram);
        });
    const double agent_rate =
        MeasureRound(envelope_datagrams, &io, [&](ByteView datagram) {
          HandleAgentDatagram(agent_path, SteadyNow(), datagram);
        });
    bare_rates.push_back(bare_rate);
    balancer_ratios.push_back(balancer_rate / bare_rate);
    agent_ratios.push_back(agent_rate / bare_rate);
    std::cout << std::setw(5) << round << std::fixed << std::setprecision(0)
              << std::setw(11) << bare_rate << std::setw(14) << balancer_rate
              << std::setw(11) << agent_rate << "\n";
  }
  stop = true;
  sink_thread.join();
  return {{"ratio_balancer", Median(balancer_ratios)},
          {"ratio_agent", Median(agent_ratios)},
          {"bare_pps", Median(bare_rates)},
          {"bytes_per_flow", MeasureBytesPerFlow(options.seed)}};
}

}  // namespace medlargauge

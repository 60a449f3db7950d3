// @file forwarding.cc Packets a second of processor time, of a balancer and of
// an agent, beside a bare recvmmsg/sendmmsg forwarder, in turn in one run.
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
constexpr size_t kPayload = 200;
constexpr int kAgents = 14;
constexpr size_t kManyFlows = 400000;

/// Datagrams of many flows, as the fabric or a balancer sends them.
std::vector<std::vector<uint8_t>> MakeDatagrams(bool with_envelope) {
  const std::vector<uint8_t> payload(kPayload, 7);
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

/// Sends datagrams as fast as it can until told to stop.
class Generator {
 public:
  explicit Generator(const std::vector<std::vector<uint8_t>>& datagrams)
      : m_thread([this, &datagrams] {
          PacketIo io;
          Error reason;
          io.Bind("127.77.0.3:16080", &reason);
          const sockaddr_in to =
              ToSocketAddress(*ParseHostPort(kForwarderAddress));
          size_t next = 0;
          while (!m_stop) {
            const std::vector<uint8_t>& datagram = datagrams[next];
            io.SendNow(to, ByteView(),
                       ByteView(datagram.data(), datagram.size()));
            next = (next + 1) % datagrams.size();
          }
        }) {}
  Generator(const Generator&) = delete;
  Generator& operator=(const Generator&) = delete;
  ~Generator() {
    m_stop = true;
    m_thread.join();
  }

 private:
  std::atomic<bool> m_stop{false};  ///< Ends the thread.
  std::thread m_thread;             ///< Sends.
};

/// Returns packets a second of processor time of one forwarder.
double MeasureRound(const std::vector<std::vector<uint8_t>>& datagrams,
                    PacketIo* io,
                    const PacketIo::DatagramHook& forward) {
  const Generator generator(datagrams);
  // The first batches warm caches and fill the socket's queue.
  const TimePoint warm = SteadyNow() + kRoundLength / 4;
  while (SteadyNow() < warm) {
    io->RunBatch(Milliseconds(10), forward);
  }
  const TimePoint end = SteadyNow() + kRoundLength;
  const double start = ThreadSeconds();
  size_t packets = 0;
  while (SteadyNow() < end) {
    packets += io->RunBatch(Milliseconds(10), forward);
  }
  return static_cast<double>(packets) / (ThreadSeconds() - start);
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

std::vector<ClassTarget> OneTarget() {
  ClassTarget target;
  target.name = "stock";
  target.service = "stock";
  target.address = ToMappedAddress(0xCB007101);
  target.revision = 1;
  return {target};
}

AgentFacts ReadyAgent(int number) {
  AgentFacts facts;
  facts.id = MemberIdOf("stock-" + std::to_string(number));
  facts.state = AgentState::kReady;
  facts.incarnation = 1;
  return facts;
}

/// Bytes of flow table for each of 400,000 flows.
double MeasureBytesPerFlow(uint64_t seed) {
  pcg64 random(seed);
  FlowTable table;
  for (size_t i = 0; i < kManyFlows; ++i) {
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
  std::thread drain([&] {
    while (!stop) {
      sink.RunBatch(Milliseconds(10), [](ByteView) {});
    }
  });
  const sockaddr_in to = ToSocketAddress(*ParseHostPort(kSinkAddress));
  const MemberAddressHook address = [&to](MemberId) { return &to; };

  AgentFacts self;
  self.id = MemberIdOf("balancer-1");
  Balancer balancer(self, GroupTimeouts());
  balancer.SetTargets(OneTarget());
  for (int i = 0; i < kAgents; ++i) {
    balancer.UpdateMember(SteadyNow(), ServiceIdOf("stock"), ReadyAgent(i));
  }
  const BalancerPacketPath balancer_path{&balancer, &io, address, {}};

  AgentConfig config;
  config.service = ServiceIdOf("stock");
  config.self = ReadyAgent(0);
  config.policy = PlaceWithinBound;
  config.start = StartKind::kPlannedRestart;
  config.limits.capacity = kFlows * 2;
  Agent agent(SteadyNow(), config);
  agent.SetSplits(SteadyNow(), MakeVersionSplits(OneTarget(), config.service));
  AgentSnapshot known;
  for (const std::vector<uint8_t>& datagram : MakeDatagrams(false)) {
    const auto gue = ParseGue({datagram.data(), datagram.size()}, nullptr);
    FlowEntry entry;
    entry.flow = ParsePacket(gue->packet, nullptr)->flow;
    entry.class_id = ClassIdOf("stock");
    entry.expires = ToFlowDeadline(SteadyNow() + Seconds(600));
    known.flows.push_back(entry);
  }
  agent.ImportSnapshot(SteadyNow(), known);
  const AgentPacketPath agent_path{&agent, &io, to, address, {}, {}};

  const auto plain = MakeDatagrams(false);
  const auto wrapped = MakeDatagrams(true);
  std::vector<double> bare_rates;
  std::vector<double> balancer_ratios;
  std::vector<double> agent_ratios;
  std::cout << "round   bare_pps  balancer_pps  agent_pps (per core)\n";
  for (int round = 0; round < kRounds; ++round) {
    const double bare = MeasureRound(plain, &io, [&](ByteView datagram) {
      io.Queue(to, ByteView(), datagram);
    });
    const double as_balancer = MeasureRound(plain, &io, [&](ByteView datagram) {
      HandleBalancerDatagram(balancer_path, datagram);
    });
    const double as_agent = MeasureRound(wrapped, &io, [&](ByteView datagram) {
      HandleAgentDatagram(agent_path, SteadyNow(), datagram);
    });
    bare_rates.push_back(bare);
    balancer_ratios.push_back(as_balancer / bare);
    agent_ratios.push_back(as_agent / bare);
    std::cout << std::setw(5) << round << std::fixed << std::setprecision(0)
              << std::setw(11) << bare << std::setw(14) << as_balancer
              << std::setw(11) << as_agent << "\n";
  }
  stop = true;
  drain.join();
  return {{"ratio_balancer", Median(balancer_ratios)},
          {"ratio_agent", Median(agent_ratios)},
          {"bare_pps", Median(bare_rates)},
          {"bytes_per_flow", MeasureBytesPerFlow(options.seed)}};
}

}  // namespace medlargauge

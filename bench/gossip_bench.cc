// @file gossip_bench.cc Bytes, processor time and delay of dissemination at
// several sizes, update rates and ways of spreading.
#include <malloc.h>

#include <algorithm>
#include <deque>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include "bench/bench.h"
#include "bench/measure.h"
#include "src/core/hash.h"
#include "src/gossip/gossip.h"
#include "src/target/reader_choice.h"

namespace medlargauge {
namespace {

constexpr Duration kStep = Milliseconds(50);
constexpr int kWarmUpSteps = 240;
constexpr int kMeasuredSteps = 800;
/// Changes a second at the two-year size: 5,100 restarts with three changes
/// each, 22 failures and 970 changes of configuration a day.
constexpr double kChangesPerSecond = (5100 * 3 + 22 + 970) / 86400.0;
constexpr double kTargetMembers = 15800;
constexpr size_t kTargetClasses = 1000;
constexpr size_t kReaders = 2;
constexpr double kReadsPerSecond = 2;
constexpr size_t kRecordBytes = 110;

/// What one run showed.
struct GossipResult {
  double bytes_per_second = 0;  ///< Sent by one member, frames included.
  double largest_bytes = 0;     ///< By the member that sent most.
  double cpu_percent = 0;       ///< Of a core, for one member.
  int64_t converge_p99_ms = 0;  ///< Until every member has a change.
  double redundant = 0;         ///< Part of received items that was known.
  double state_bytes = 0;       ///< Memory for each member known.
  uint64_t unfinished = 0;      ///< Changes that did not reach everybody.
};

/// A fleet of gossip state machines in one process, in lock step.
class GossipFleet {
 public:
  GossipFleet(size_t size, SyncMode mode, double loss, uint64_t seed)
      : m_random(seed), m_loss(loss) {
    GossipOptions options;
    options.mode = mode;
    std::vector<MemberId> members;
    for (size_t i = 0; i < size; ++i) {
      members.push_back(MemberIdOf("member-" + std::to_string(i)));
      m_index[members.back()] = i;
    }
    m_ids = members;
    m_sent.resize(size);
    const size_t before = mallinfo2().uordblks;
    for (size_t i = 0; i < size; ++i) {
      m_nodes.push_back(std::make_unique<Gossip>(
          members[i], options,
          [this](const proto::GossipItem& item) { OnArrival(item); }));
      for (size_t j = 0; j < size; ++j) {
        m_nodes[i]->Put(MakeItem(j, 1));
      }
    }
    m_state_bytes =
        static_cast<double>(mallinfo2().uordblks - before) / size / size;
    for (size_t i = 0; i < size; ++i) {
      m_nodes[i]->SetMembers(members);
    }
  }

  GossipResult Run(double changes_per_second) {
    for (int step = 0; step < kWarmUpSteps; ++step) {
      Step();
    }
    std::fill(m_sent.begin(), m_sent.end(), 0);
    const double start = ThreadSeconds();
    double due = 0;
    for (int step = 0; step < kMeasuredSteps; ++step) {
      due += changes_per_second * static_cast<double>(kStep.count()) / 1e9;
      for (; due >= 1; due -= 1) {
        Change();
      }
      Step();
    }
    const double cpu = ThreadSeconds() - start;
    const std::vector<uint64_t> sent = m_sent;
    // Changes under way get their time; nothing is measured but their delay.
    for (int step = 0; step < kMeasuredSteps; ++step) {
      Step();
    }
    return Summarize(cpu, sent);
  }

  /// Bytes of one flush of the whole state, from a few members.
  double MeasureFullFlush() {
    m_now += Seconds(1);
    const size_t sampled = std::min<size_t>(m_nodes.size(), 10);
    uint64_t bytes = 0;
    for (size_t i = 0; i < sampled; ++i) {
      m_nodes[i]->OnTick(m_now);
      for (const OutgoingGossip& outgoing : m_nodes[i]->TakeOutgoing()) {
        bytes += outgoing.message.ByteSizeLong() + kFrameBytes;
      }
    }
    return static_cast<double>(bytes) / static_cast<double>(sampled);
  }

 private:
  /// A change on its way.
  struct Spreading {
    TimePoint start;     ///< When it was made.
    size_t missing = 0;  ///< Members without it.
  };

  proto::GossipItem MakeItem(size_t member, uint64_t version) const {
    proto::GossipItem item;
    item.set_key("member/member-" + std::to_string(member));
    item.set_version(version);
    item.set_value(std::string(kRecordBytes, 'x'));
    return item;
  }

  void Change() {
    const size_t member = m_random(static_cast<uint32_t>(m_nodes.size()));
    const std::string key = "member/member-" + std::to_string(member);
    const uint64_t version = ++m_next_version;
    m_spreading[{key, version}] = {m_now, m_nodes.size() - 1};
    m_nodes[member]->Put(MakeItem(member, version));
  }

  void OnArrival(const proto::GossipItem& item) {
    const auto change = m_spreading.find({item.key(), item.version()});
    if (change == m_spreading.end()) {
      return;
    }
    if (--change->second.missing == 0) {
      m_delays.push_back(ToMilliseconds(m_now - change->second.start));
      m_spreading.erase(change);
    }
  }

  /// Messages of one step arrive in the next one.
  void Step() {
    m_now += kStep;
    std::deque<std::pair<size_t, OutgoingGossip>> arriving;
    arriving.swap(m_in_flight);
    for (const auto& [from, outgoing] : arriving) {
      m_nodes[m_index[outgoing.to]]->OnMessage(m_now, m_ids[from],
                                               outgoing.message);
    }
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      m_nodes[i]->OnTick(m_now);
      for (OutgoingGossip& outgoing : m_nodes[i]->TakeOutgoing()) {
        m_sent[i] += outgoing.message.ByteSizeLong() + kFrameBytes;
        const bool lost =
            static_cast<double>(m_random(1000000)) < m_loss * 1000000;
        if (!lost) {
          m_in_flight.emplace_back(i, std::move(outgoing));
        }
      }
    }
  }

  GossipResult Summarize(double cpu, const std::vector<uint64_t>& sent) {
    const double seconds =
        kMeasuredSteps * static_cast<double>(kStep.count()) / 1e9;
    const auto count = static_cast<double>(m_nodes.size());
    GossipResult result;
    uint64_t bytes = 0;
    uint64_t largest = 0;
    for (const uint64_t one : sent) {
      bytes += one;
      largest = std::max(largest, one);
    }
    uint64_t received = 0;
    uint64_t redundant = 0;
    for (const auto& node : m_nodes) {
      received += node->Counters().items_received;
      redundant += node->Counters().items_redundant;
    }
    result.bytes_per_second = static_cast<double>(bytes) / count / seconds;
    result.largest_bytes = static_cast<double>(largest) / seconds;
    result.cpu_percent = cpu / count / seconds * 100;
    result.redundant = received == 0 ? 0
                                     : static_cast<double>(redundant) /
                                           static_cast<double>(received);
    std::sort(m_delays.begin(), m_delays.end());
    if (!m_delays.empty()) {
      result.converge_p99_ms = m_delays[(m_delays.size() * 99 + 99) / 100 - 1];
    }
    result.state_bytes = m_state_bytes;
    result.unfinished = m_spreading.size();
    return result;
  }

  pcg32 m_random;                                ///< All randomness.
  double m_loss;                                 ///< Chance to lose a message.
  TimePoint m_now{Seconds(100)};                 ///< Simulated time.
  std::vector<std::unique_ptr<Gossip>> m_nodes;  ///< The members.
  std::vector<MemberId> m_ids;                   ///< Their identifiers.
  std::map<MemberId, size_t> m_index;            ///< Position by identifier.
  std::vector<uint64_t> m_sent;                  ///< Bytes by member.
  std::deque<std::pair<size_t, OutgoingGossip>> m_in_flight;  ///< With sender.
  std::map<std::pair<std::string, uint64_t>, Spreading> m_spreading;  ///< Now.
  std::vector<int64_t> m_delays;  ///< Of finished changes, milliseconds.
  uint64_t m_next_version = 1;    ///< Of the next change.
  double m_state_bytes = 0;       ///< Memory by member known.
};

const char* NameOf(SyncMode mode) {
  switch (mode) {
    case SyncMode::kFullState:
      return "full state";
    case SyncMode::kDelta:
      return "delta";
    case SyncMode::kDeltaBp:
      return "delta bp";
    case SyncMode::kDeltaRr:
      return "delta rr";
    case SyncMode::kDeltaBpRr:
      return "delta bp+rr";
  }
  return "";
}

GossipResult RunOne(size_t size,
                    SyncMode mode,
                    double rate,
                    double loss,
                    uint64_t seed) {
  GossipFleet fleet(size, mode, loss, seed);
  const GossipResult result = fleet.Run(rate);
  std::cout << std::left << std::setw(13) << NameOf(mode) << std::right
            << std::setw(7) << size << std::fixed << std::setprecision(2)
            << std::setw(9) << rate << std::setw(7) << loss << std::setw(11)
            << result.bytes_per_second << std::setw(10) << result.largest_bytes
            << std::setprecision(4) << std::setw(9) << result.cpu_percent
            << std::setw(9) << result.converge_p99_ms << std::setprecision(2)
            << std::setw(9) << result.redundant << std::setw(8)
            << result.state_bytes << std::setw(7) << result.unfinished
            << std::endl;
  return result;
}

double StoreCalls(size_t fleet) {
  std::vector<MemberId> members;
  for (size_t i = 0; i < fleet; ++i) {
    members.push_back(MemberIdOf("balancer-" + std::to_string(i)));
  }
  return static_cast<double>(ChooseStoreReaders(members, kReaders).size()) *
         kReadsPerSecond;
}

}  // namespace

nlohmann::json RunGossip(const BenchOptions& options) {
  std::cout << "mode            size  changes   loss    bytes/s   largest    "
               "cpu%  p99_ms  redund  B/memb  unfin\n";
  const uint64_t seed = options.seed;
  // Ways of spreading side by side, at an ordinary and at a high rate.
  for (const SyncMode mode :
       {SyncMode::kFullState, SyncMode::kDelta, SyncMode::kDeltaBp,
        SyncMode::kDeltaRr, SyncMode::kDeltaBpRr}) {
    RunOne(64, mode, 2, 0, seed);
  }
  for (const SyncMode mode : {SyncMode::kDelta, SyncMode::kDeltaBp,
                              SyncMode::kDeltaRr, SyncMode::kDeltaBpRr}) {
    RunOne(256, mode, kChangesPerSecond * 10, 0, seed);
  }
  // Slopes over size, of the chosen way, at the two-year rate of changes.
  for (const size_t size : {16U, 64U, 256U, 1000U}) {
    RunOne(size, SyncMode::kDeltaBpRr, kChangesPerSecond, 0, seed);
  }
  // Slope over the rate, and loss.
  RunOne(256, SyncMode::kDeltaBpRr, kChangesPerSecond * 100, 0, seed);
  RunOne(256, SyncMode::kDeltaBpRr, kChangesPerSecond, 0.05, seed);
  const GossipResult delta =
      RunOne(2000, SyncMode::kDelta, kChangesPerSecond, 0, seed);
  const GossipResult chosen =
      RunOne(2000, SyncMode::kDeltaBpRr, kChangesPerSecond, 0, seed);
  GossipFleet full(500, SyncMode::kFullState, 0, seed);
  // Flushes of the whole state grow with the number of members.
  const double full_bytes = full.MeasureFullFlush() * 4 * 5;
  return {{"bytes_per_s_full", full_bytes},
          {"bytes_per_s_delta", delta.bytes_per_second},
          {"bytes_per_s_chosen", chosen.bytes_per_second},
          {"bytes_per_s_chosen_largest", chosen.largest_bytes},
          {"converge_p99_ms", chosen.converge_p99_ms},
          {"cpu_percent_of_core", chosen.cpu_percent},
          {"state_bytes_per_member", chosen.state_bytes},
          {"store_calls_per_s_small", StoreCalls(16)},
          {"store_calls_per_s_large", StoreCalls(1800)},
          {"members", 2000}};
}

}  // namespace medlargauge

// @file gossip_bench.cc Bytes, processor time and convergence time of gossip
// for several fleet sizes, rates of changes and synchronisation modes.
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
/// Changes per second at the two-year size of docs/CAPACITY.md: per day 5,100
/// restarts with three changes each, 22 failures and 970 configuration changes.
constexpr double kChangesPerSecond = (5100 * 3 + 22 + 970) / 86400.0;
/// Members and classes at the two-year size.
constexpr double kTwoYearMembers = 15800;
constexpr size_t kTwoYearClasses = 1000;
constexpr size_t kStoreReaders = 2;
constexpr double kReadsPerReaderPerSecond = 2;
constexpr size_t kItemValueBytes = 110;

/// Results of one run.
struct GossipResult {
  double bytes_per_second = 0;        ///< Mean over members, with overhead.
  double max_bytes_per_second = 0;    ///< Of the member that sent most.
  double cpu_percent = 0;             ///< Share of a core per member.
  int64_t converge_p99_ms = 0;        ///< Until all members have a change.
  double redundant_share = 0;         ///< Share of received items known before.
  double state_bytes_per_member = 0;  ///< Heap use per known member.
  uint64_t unfinished_changes = 0;    ///< Changes that some members lack.
};

/// A fleet of gossip state machines in one process. All run in the same steps
/// of simulated time. Not thread-safe.
class GossipFleet {
 public:
  GossipFleet(size_t size, SyncMode mode, double loss, uint64_t seed)
      : m_random(seed), m_loss(loss) {
    GossipOptions options;
    options.mode = mode;
    std::vector<MemberId> members;
    for (size_t i = 0; i < size; ++i) {
      members.push_back(MemberIdOf("member-" + std::to_string(i)));
      m_index_by_id[members.back()] = i;
    }
    m_member_ids = members;
    m_bytes_sent.resize(size);
    const size_t heap_before = mallinfo2().uordblks;
    for (size_t i = 0; i < size; ++i) {
      m_nodes.push_back(std::make_unique<Gossip>(
          members[i], options,
          [this](const proto::GossipItem& item) { OnArrival(item); }));
      for (size_t j = 0; j < size; ++j) {
        m_nodes[i]->Put(MakeItem(j, 1));
      }
    }
    m_state_bytes_per_member =
        static_cast<double>(mallinfo2().uordblks - heap_before) / size / size;
    for (size_t i = 0; i < size; ++i) {
      m_nodes[i]->SetMembers(members);
    }
  }

  /// Runs the fleet under changes at this rate and returns the measurements.
  GossipResult Run(double changes_per_second) {
    for (int step = 0; step < kWarmUpSteps; ++step) {
      AdvanceOneStep();
    }
    std::fill(m_bytes_sent.begin(), m_bytes_sent.end(), 0);
    const double cpu_start = ThreadCpuSeconds();
    double changes_due = 0;
    for (int step = 0; step < kMeasuredSteps; ++step) {
      changes_due +=
          changes_per_second * static_cast<double>(kStep.count()) / 1e9;
      for (; changes_due >= 1; changes_due -= 1) {
        StartChange();
      }
      AdvanceOneStep();
    }
    const double cpu_seconds = ThreadCpuSeconds() - cpu_start;
    const std::vector<uint64_t> sent = m_bytes_sent;
    // Changes that have not reached all members get time to do so. Only their
    // convergence time is measured here.
    for (int step = 0; step < kMeasuredSteps; ++step) {
      AdvanceOneStep();
    }
    return Summarize(cpu_seconds, sent);
  }

  /// Returns the mean number of bytes that a member sends in one flush of the
  /// whole state, sampled from at most ten members.
  double MeasureFullFlush() {
    m_now += Seconds(1);
    const size_t sampled_members = std::min<size_t>(m_nodes.size(), 10);
    uint64_t bytes = 0;
    for (size_t i = 0; i < sampled_members; ++i) {
      m_nodes[i]->OnTick(m_now);
      for (const OutgoingGossip& outgoing : m_nodes[i]->TakeOutgoing()) {
        bytes += outgoing.message.ByteSizeLong() + kMessageOverheadBytes;
      }
    }
    return static_cast<double>(bytes) / static_cast<double>(sampled_members);
  }

 private:
  /// A change that has not reached all members.
  struct PendingChange {
    TimePoint start;             ///< Time of the change.
    size_t missing_members = 0;  ///< Members that lack it.
  };

  proto::GossipItem MakeItem(size_t member, uint64_t version) const {
    proto::GossipItem item;
    item.set_key("member/member-" + std::to_string(member));
    item.set_version(version);
    item.set_value(std::string(kItemValueBytes, 'x'));
    return item;
  }

  void StartChange() {
    const size_t member = m_random(static_cast<uint32_t>(m_nodes.size()));
    const std::string key = "member/member-" + std::to_string(member);
    const uint64_t version = ++m_last_version;
    m_pending_changes[{key, version}] = {m_now, m_nodes.size() - 1};
    m_nodes[member]->Put(MakeItem(member, version));
  }

  void OnArrival(const proto::GossipItem& item) {
    const auto change = m_pending_changes.find({item.key(), item.version()});
    if (change == m_pending_changes.end()) {
      return;
    }
    if (--change->second.missing_members == 0) {
      m_convergence_ms.push_back(ToMilliseconds(m_now - change->second.start));
      m_pending_changes.erase(change);
    }
  }

  /// Advances the time by one step. Messages sent in a step arrive in the next.
  void AdvanceOneStep() {
    m_now += kStep;
    std::deque<std::pair<size_t, OutgoingGossip>> arriving_messages;
    arriving_messages.swap(m_messages_in_flight);
    for (const auto& [sender, outgoing] : arriving_messages) {
      m_nodes[m_index_by_id[outgoing.to]]->OnMessage(
          m_now, m_member_ids[sender], outgoing.message);
    }
    for (size_t i = 0; i < m_nodes.size(); ++i) {
      m_nodes[i]->OnTick(m_now);
      for (OutgoingGossip& outgoing : m_nodes[i]->TakeOutgoing()) {
        m_bytes_sent[i] +=
            outgoing.message.ByteSizeLong() + kMessageOverheadBytes;
        const bool is_lost =
            static_cast<double>(m_random(1000000)) < m_loss * 1000000;
        if (!is_lost) {
          m_messages_in_flight.emplace_back(i, std::move(outgoing));
        }
      }
    }
  }

  GossipResult Summarize(double cpu_seconds,
                         const std::vector<uint64_t>& sent) {
    const double seconds =
        kMeasuredSteps * static_cast<double>(kStep.count()) / 1e9;
    const auto count = static_cast<double>(m_nodes.size());
    GossipResult result;
    uint64_t bytes = 0;
    uint64_t max_bytes = 0;
    for (const uint64_t member_bytes : sent) {
      bytes += member_bytes;
      max_bytes = std::max(max_bytes, member_bytes);
    }
    uint64_t items_received = 0;
    uint64_t items_redundant = 0;
    for (const auto& node : m_nodes) {
      items_received += node->Counters().items_received;
      items_redundant += node->Counters().items_redundant;
    }
    result.bytes_per_second = static_cast<double>(bytes) / count / seconds;
    result.max_bytes_per_second = static_cast<double>(max_bytes) / seconds;
    result.cpu_percent = cpu_seconds / count / seconds * 100;
    result.redundant_share = items_received == 0
                                 ? 0
                                 : static_cast<double>(items_redundant) /
                                       static_cast<double>(items_received);
    std::sort(m_convergence_ms.begin(), m_convergence_ms.end());
    if (!m_convergence_ms.empty()) {
      result.converge_p99_ms =
          m_convergence_ms[(m_convergence_ms.size() * 99 + 99) / 100 - 1];
    }
    result.state_bytes_per_member = m_state_bytes_per_member;
    result.unfinished_changes = m_pending_changes.size();
    return result;
  }

  pcg32 m_random;                 ///< Random number generator.
  double m_loss;                  ///< Probability that a message is lost.
  TimePoint m_now{Seconds(100)};  ///< Simulated time.
  /// State machines of the members.
  std::vector<std::unique_ptr<Gossip>> m_nodes;
  std::vector<MemberId> m_member_ids;        ///< Ids, in the order of m_nodes.
  std::map<MemberId, size_t> m_index_by_id;  ///< Index in m_nodes by id.
  std::vector<uint64_t> m_bytes_sent;        ///< Bytes sent by each member.
  /// Messages that arrive in the next step, with the index of the sender.
  std::deque<std::pair<size_t, OutgoingGossip>> m_messages_in_flight;
  /// Changes that have not reached all members, by key and version.
  std::map<std::pair<std::string, uint64_t>, PendingChange> m_pending_changes;
  /// Convergence times of the finished changes, in milliseconds.
  std::vector<int64_t> m_convergence_ms;
  uint64_t m_last_version = 1;          ///< Version of the newest change.
  double m_state_bytes_per_member = 0;  ///< Heap use per known member.
};

const char* SyncModeName(SyncMode mode) {
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

GossipResult RunAndPrint(size_t size,
                         SyncMode mode,
                         double changes_per_second,
                         double loss,
                         uint64_t seed) {
  GossipFleet fleet(size, mode, loss, seed);
  const GossipResult result = fleet.Run(changes_per_second);
  std::cout << std::left << std::setw(13) << SyncModeName(mode) << std::right
            << std::setw(7) << size << std::fixed << std::setprecision(2)
            << std::setw(9) << changes_per_second << std::setw(7) << loss
            << std::setw(11) << result.bytes_per_second << std::setw(10)
            << result.max_bytes_per_second << std::setprecision(4)
            << std::setw(9) << result.cpu_percent << std::setw(9)
            << result.converge_p99_ms << std::setprecision(2) << std::setw(9)
            << result.redundant_share << std::setw(8)
            << result.state_bytes_per_member << std::setw(7)
            << result.unfinished_changes << std::endl;
  return result;
}

double StoreCallsPerSecond(size_t fleet_size) {
  std::vector<MemberId> members;
  for (size_t i = 0; i < fleet_size; ++i) {
    members.push_back(MemberIdOf("balancer-" + std::to_string(i)));
  }
  return static_cast<double>(
             ChooseStoreReaders(members, kStoreReaders).size()) *
         kReadsPerReaderPerSecond;
}

}  // namespace

nlohmann::json RunGossip(const BenchOptions& options) {
  std::cout << "mode            size  changes   loss    bytes/s   largest    "
               "cpu%  p99_ms  redund  B/memb  unfin\n";
  const uint64_t seed = options.seed;
  // All modes at 2 changes per second, then the delta modes at ten times the
  // rate of the two-year size.
  for (const SyncMode mode :
       {SyncMode::kFullState, SyncMode::kDelta, SyncMode::kDeltaBp,
        SyncMode::kDeltaRr, SyncMode::kDeltaBpRr}) {
    RunAndPrint(64, mode, 2, 0, seed);
  }
  for (const SyncMode mode : {SyncMode::kDelta, SyncMode::kDeltaBp,
                              SyncMode::kDeltaRr, SyncMode::kDeltaBpRr}) {
    RunAndPrint(256, mode, kChangesPerSecond * 10, 0, seed);
  }
  // The chosen mode at the rate of the two-year size, for several fleet sizes.
  for (const size_t size : {16U, 64U, 256U, 1000U}) {
    RunAndPrint(size, SyncMode::kDeltaBpRr, kChangesPerSecond, 0, seed);
  }
  // The chosen mode at a high rate, and with message loss.
  RunAndPrint(256, SyncMode::kDeltaBpRr, kChangesPerSecond * 100, 0, seed);
  RunAndPrint(256, SyncMode::kDeltaBpRr, kChangesPerSecond, 0.05, seed);
  const GossipResult delta =
      RunAndPrint(2000, SyncMode::kDelta, kChangesPerSecond, 0, seed);
  const GossipResult delta_bp_rr =
      RunAndPrint(2000, SyncMode::kDeltaBpRr, kChangesPerSecond, 0, seed);
  GossipFleet full(500, SyncMode::kFullState, 0, seed);
  // A flush of the whole state grows in proportion to the number of members, so
  // 500 members are measured and scaled to 2,000, with five flushes a second.
  const double full_bytes = full.MeasureFullFlush() * 4 * 5;
  return {{"bytes_per_s_full", full_bytes},
          {"bytes_per_s_delta", delta.bytes_per_second},
          {"bytes_per_s_chosen", delta_bp_rr.bytes_per_second},
          {"bytes_per_s_chosen_largest", delta_bp_rr.max_bytes_per_second},
          {"converge_p99_ms", delta_bp_rr.converge_p99_ms},
          {"cpu_percent_of_core", delta_bp_rr.cpu_percent},
          {"state_bytes_per_member", delta_bp_rr.state_bytes_per_member},
          {"store_calls_per_s_small", StoreCallsPerSecond(16)},
          {"store_calls_per_s_large", StoreCallsPerSecond(1800)},
          {"members", 2000}};
}

}  // namespace medlargauge

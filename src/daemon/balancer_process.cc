// @file balancer_process.cc Packets in, packets on.
#include "src/daemon/balancer_process.h"

#include <nlohmann/json.hpp>

#include "src/core/error.h"
#include "src/core/event_log.h"
#include "src/core/hash.h"
#include "src/daemon/daemon_process.h"
#include "src/daemon/packet_path.h"
#include "src/routing/balancer.h"

namespace medlargauge {
namespace {

constexpr Duration kBatchWait = Milliseconds(20);
constexpr Duration kMetricsInterval = Milliseconds(500);
/// The fabric must notice the failed health check before the socket closes.
constexpr Duration kQuietBeforeStop = Milliseconds(1000);
constexpr Duration kLongestStop = Seconds(10);
constexpr uint64_t kObserverSeed = 0x4F425345;
/// Balancers that observe the group of one service.
constexpr size_t kObserversPerService = 3;

/// One balancer process.
class BalancerProcess {
 public:
  explicit BalancerProcess(const Settings& settings)
      : m_process(settings),
        m_facts(ReadyFacts()),
        m_balancer(m_facts, GroupTimeoutsOf(settings)) {
    m_process.Control().SetHooks(MakeHooks());
    m_path.balancer = &m_balancer;
    m_path.io = &m_io;
    m_path.address = [this](MemberId id) {
      return m_process.Control().DataAddress(id);
    };
    m_path.trace = [this](const PacketInfo& packet, RouteVerdict* verdict) {
      Trace(packet, verdict);
    };
  }

  bool Start(Error* reason) {
    if (!m_io.Bind(m_process.Config().data_address, reason) ||
        !m_process.Bind(reason)) {
      return false;
    }
    AdminHooks hooks;
    hooks.status = [this] { return Status(); };
    if (!m_process.Start(std::move(hooks), reason)) {
      return false;
    }
    m_process.RunThread([this] { RunPackets(); });
    return true;
  }

  /// Leaves the fabric, serves until packets stop, tells the agents, ends.
  void Stop() {
    m_process.MarkUnhealthy();
    const TimePoint limit = SteadyNow() + kLongestStop;
    m_last_packet = SteadyNow();
    while (SteadyNow() < limit &&
           SteadyNow() < TimePoint(m_last_packet) + kQuietBeforeStop) {
      std::this_thread::sleep_for(kBatchWait);
    }
    {
      const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
      m_facts.state = AgentState::kGone;
      m_balancer.Leave(SteadyNow());
    }
    std::this_thread::sleep_for(Milliseconds(300));
    m_process.Stop();
  }

 private:
  AgentFacts ReadyFacts() {
    AgentFacts facts = m_process.Control().StartFacts();
    facts.state = AgentState::kReady;
    return facts;
  }

  RoleHooks MakeHooks() {
    RoleHooks hooks;
    hooks.on_member = [this](TimePoint now, const Member& member) {
      if (!IsBalancer(member)) {
        m_balancer.LearnMember(now, member.service, member.facts);
      }
      m_balancer.SetObserved(ObservedServices());
    };
    hooks.on_targets = [this](TimePoint) {
      m_balancer.SetTargets(m_process.Control().Targets().All());
    };
    hooks.on_group = [this](TimePoint now, const proto::GroupMessage& message) {
      m_balancer.OnMessage(now, message);
    };
    hooks.on_tick = [this](TimePoint now) { m_balancer.OnTick(now); };
    hooks.take_outgoing = [this] { return m_balancer.TakeOutgoing(); };
    hooks.self = [this] { return m_facts; };
    hooks.removed = [this] { return RemovedMembers(); };
    return hooks;
  }

  /// Services for which this balancer is among the chosen observers.
  std::set<ServiceId> ObservedServices() {
    std::set<ServiceId> services;
    for (const auto& [id, member] : m_process.Control().Members()) {
      if (member.service.IsSet()) {
        services.insert(member.service);
      }
    }
    std::set<ServiceId> observed;
    for (const ServiceId service : services) {
      const uint64_t own = ObserverRank(service, m_facts.id);
      size_t better = 0;
      for (const auto& [id, member] : m_process.Control().Members()) {
        const bool rival = IsBalancer(member) && id != m_facts.id &&
                           member.facts.state != AgentState::kGone;
        better += rival && ObserverRank(service, id) < own ? 1 : 0;
      }
      if (better < kObserversPerService) {
        observed.insert(service);
      }
    }
    return observed;
  }

  static uint64_t ObserverRank(ServiceId service, MemberId balancer) {
    return MixHash(MixHash(service.value, balancer.value), kObserverSeed);
  }

  std::vector<AgentFacts> RemovedMembers() {
    std::vector<AgentFacts> removed;
    for (const auto& [service, group] : m_balancer.Groups()) {
      for (const Peer& peer : group->Peers()) {
        if (peer.facts.state == AgentState::kGone) {
          removed.push_back(peer.facts);
        }
      }
    }
    return removed;
  }

  void RunPackets() {
    TimePoint metrics_due;
    while (!m_process.IsStopping()) {
      // The lock is taken once a batch, in the first datagram's turn.
      std::unique_lock<std::mutex> lock(m_process.Control().Mutex(),
                                        std::defer_lock);
      const size_t received =
          m_io.RunBatch(kBatchWait, [this, &lock](ByteView datagram) {
            if (!lock.owns_lock()) {
              lock.lock();
            }
            const ErrorKind kind = HandleBalancerDatagram(m_path, datagram);
            m_malformed[static_cast<size_t>(kind)] +=
                kind == ErrorKind::kNone ? 0 : 1;
          });
      if (lock.owns_lock()) {
        lock.unlock();
      }
      const TimePoint now = SteadyNow();
      if (received > 0) {
        m_received += received;
        m_last_packet = now;
      }
      if (now >= metrics_due) {
        metrics_due = now + kMetricsInterval;
        UpdateMetrics();
      }
    }
  }

  void Trace(const PacketInfo& packet, RouteVerdict* verdict) {
    const auto one_in = static_cast<uint64_t>(m_process.Config().trace_one_in);
    if (one_in == 0 || packet.flow.low % one_in != 0) {
      return;
    }
    TraceContext& trace = verdict->envelope.trace;
    trace.trace_high = packet.flow.high;
    trace.trace_low = packet.flow.low;
    trace.span = m_process.Spans().Write(trace, "balancer.route",
                                         NameOfMember(verdict->next));
  }

  std::string NameOfMember(MemberId id) {
    const auto& members = m_process.Control().Members();
    const auto member = members.find(id);
    return member == members.end() ? "" : member->second.record.name();
  }

  void UpdateMetrics() {
    m_process.UpdateCommonMetrics();
    const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
    Metrics& metrics = m_process.ProcessMetrics();
    metrics.Set(Metric::packets_received, m_received);
    metrics.Set(Metric::packets_forwarded, m_balancer.Counters().forwarded);
    for (size_t i = 0; i < kErrorKindCount; ++i) {
      metrics.SetRejected(static_cast<ErrorKind>(i),
                          m_balancer.Counters().rejected[i] + m_malformed[i]);
    }
  }

  std::string Status() {
    nlohmann::json status = m_process.MakeCommonStatus();
    const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
    status["packets_received"] = m_received;
    status["packets_forwarded"] = m_balancer.Counters().forwarded;
    return status.dump();
  }

  DaemonProcess m_process;    ///< Threads and servers.
  AgentFacts m_facts;         ///< Own facts.
  Balancer m_balancer;        ///< Decisions, under the node's mutex.
  PacketIo m_io;              ///< Data socket, used by the packet thread.
  BalancerPacketPath m_path;  ///< Ties the parts above together.
  uint64_t m_received = 0;    ///< Datagrams.
  std::array<uint64_t, kErrorKindCount> m_malformed{};  ///< By error kind.
  std::atomic<TimePoint> m_last_packet{TimePoint()};    ///< For the stop.
};

}  // namespace

bool RunBalancer(const Settings& settings, Error* reason) {
  BalancerProcess process(settings);
  if (!process.Start(reason)) {
    return false;
  }
  EventLine(Severity::kInfo, "started")
      .With("name", settings.name)
      .With("role", settings.role);
  WaitForStopSignal();
  process.Stop();
  EventLine(Severity::kInfo, "stopped").With("name", settings.name);
  return true;
}

}  // namespace medlargauge

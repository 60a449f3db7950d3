// @file balancer_process.cc Balancer process: packet loop, observed services
// and stop.
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

constexpr Duration kBatchTimeout = Milliseconds(20);
constexpr Duration kMetricsInterval = Milliseconds(500);
/// Time without packets before the socket closes. The fabric must have noticed
/// the failed health check by then.
constexpr Duration kIdleTimeBeforeStop = Milliseconds(1000);
constexpr Duration kMaxStopTime = Seconds(10);
constexpr uint64_t kObserverHashSeed = 0x4F425345;  // ASCII "OBSE".
/// Number of balancers that observe the group of each service.
constexpr size_t kObserversPerService = 3;

/// A daemon process in the role of a balancer. The balancer's state is
/// protected by the control plane's mutex.
class BalancerProcess {
 public:
  explicit BalancerProcess(const Settings& settings)
      : m_process(settings),
        m_facts(MakeReadyFacts()),
        m_balancer(m_facts, GroupTimeoutsOf(settings)) {
    m_process.Control().SetHooks(MakeHooks());
    m_path.balancer = &m_balancer;
    m_path.io = &m_io;
    m_path.address = [this](MemberId id) {
      return m_process.Control().DataAddress(id);
    };
    m_path.trace = [this](const PacketInfo& packet, RouteVerdict* verdict) {
      TracePacket(packet, verdict);
    };
  }

  /// Binds all sockets and starts all threads. @return false with a reason on
  /// failure
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
    m_process.RunThread([this] { RunPacketLoop(); });
    return true;
  }

  /// Makes the health check fail, forwards packets until none arrive for a
  /// while or a deadline passes, announces that the balancer leaves and
  /// stops all threads.
  void Stop() {
    m_process.MarkUnhealthy();
    const TimePoint deadline = SteadyNow() + kMaxStopTime;
    m_last_packet_time = SteadyNow();
    while (SteadyNow() < deadline &&
           SteadyNow() < TimePoint(m_last_packet_time) + kIdleTimeBeforeStop) {
      std::this_thread::sleep_for(kBatchTimeout);
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
  AgentFacts MakeReadyFacts() {
    AgentFacts facts = m_process.Control().StartFacts();
    facts.state = AgentState::kReady;
    return facts;
  }

  RoleHooks MakeHooks() {
    RoleHooks hooks;
    hooks.on_member = [this](TimePoint now, const Member& member) {
      if (!IsBalancer(member)) {
        m_balancer.UpdateMember(now, member.service, member.facts);
      }
      m_balancer.SetObservedServices(ChooseObservedServices());
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
    hooks.removed = [this] { return ListRemovedMembers(); };
    return hooks;
  }

  /// Returns the services whose groups this balancer observes: those for which
  /// it ranks among the first kObserversPerService balancers.
  std::set<ServiceId> ChooseObservedServices() {
    std::set<ServiceId> services;
    for (const auto& [id, member] : m_process.Control().Members()) {
      if (member.service.IsSet()) {
        services.insert(member.service);
      }
    }
    std::set<ServiceId> observed;
    for (const ServiceId service : services) {
      const uint64_t own_rank = ObserverRank(service, m_facts.id);
      size_t better_ranked = 0;
      for (const auto& [id, member] : m_process.Control().Members()) {
        const bool is_other_balancer = IsBalancer(member) && id != m_facts.id &&
                                       member.facts.state != AgentState::kGone;
        better_ranked +=
            is_other_balancer && ObserverRank(service, id) < own_rank ? 1 : 0;
      }
      if (better_ranked < kObserversPerService) {
        observed.insert(service);
      }
    }
    return observed;
  }

  /// Returns the rank of a balancer as observer of a service; the lowest ranks
  /// are chosen.
  static uint64_t ObserverRank(ServiceId service, MemberId balancer) {
    return MixHash(MixHash(service.value, balancer.value), kObserverHashSeed);
  }

  std::vector<AgentFacts> ListRemovedMembers() {
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

  /// Handles datagrams until the process stops. Locks the mutex at the first
  /// datagram of a batch and holds it until the batch is sent.
  void RunPacketLoop() {
    TimePoint next_metrics_update;
    while (!m_process.IsStopping()) {
      std::unique_lock<std::mutex> lock(m_process.Control().Mutex(),
                                        std::defer_lock);
      const size_t received =
          m_io.RunBatch(kBatchTimeout, [this, &lock](ByteView datagram) {
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
        m_packets_received += received;
        m_last_packet_time = now;
      }
      if (now >= next_metrics_update) {
        next_metrics_update = now + kMetricsInterval;
        UpdateMetrics();
      }
    }
  }

  /// Samples one flow in `trace_one_in` by its identifier and writes the
  /// span of each sampled packet.
  void TracePacket(const PacketInfo& packet, RouteVerdict* verdict) {
    const auto one_in = static_cast<uint64_t>(m_process.Config().trace_one_in);
    if (one_in == 0 || packet.flow.low % one_in != 0) {
      return;
    }
    TraceContext& trace = verdict->envelope.trace;
    trace.trace_high = packet.flow.high;
    trace.trace_low = packet.flow.low;
    trace.span = m_process.Spans().Write(trace, "balancer.route",
                                         MemberName(verdict->next));
  }

  std::string MemberName(MemberId id) {
    const auto& members = m_process.Control().Members();
    const auto member = members.find(id);
    return member == members.end() ? "" : member->second.record.name();
  }

  void UpdateMetrics() {
    m_process.UpdateCommonMetrics();
    const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
    Metrics& metrics = m_process.ProcessMetrics();
    metrics.Set(Metric::packets_received, m_packets_received);
    metrics.Set(Metric::packets_forwarded, m_balancer.Counters().forwarded);
    for (size_t i = 0; i < kErrorKindCount; ++i) {
      metrics.SetRejected(static_cast<ErrorKind>(i),
                          m_balancer.Counters().rejected[i] + m_malformed[i]);
    }
  }

  std::string Status() {
    nlohmann::json status = m_process.MakeCommonStatus();
    const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
    status["packets_received"] = m_packets_received;
    status["packets_forwarded"] = m_balancer.Counters().forwarded;
    return status.dump();
  }

  DaemonProcess m_process;          ///< Parts shared by both roles.
  AgentFacts m_facts;               ///< Facts of this process.
  Balancer m_balancer;              ///< Protected by the mutex.
  PacketIo m_io;                    ///< Data socket of the packet thread.
  BalancerPacketPath m_path;        ///< Objects on the packet path.
  uint64_t m_packets_received = 0;  ///< Received datagrams.
  /// Malformed datagrams by error kind.
  std::array<uint64_t, kErrorKindCount> m_malformed{};
  std::atomic<TimePoint> m_last_packet_time{TimePoint()};  ///< Read by Stop.
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

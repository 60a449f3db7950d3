// @file agent_process.cc Agent process: packet loop, load probe, drain and
// hand-over.
#include "src/daemon/agent_process.h"

#include <httplib.h>
#include <unistd.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "src/admission/admission.h"
#include "src/core/error.h"
#include "src/core/event_log.h"
#include "src/core/hash.h"
#include "src/daemon/address.h"
#include "src/daemon/agent_report.h"
#include "src/daemon/daemon_process.h"
#include "src/daemon/handover_codec.h"
#include "src/daemon/load_probe.h"
#include "src/daemon/packet_path.h"
#include "src/locate/agent.h"
#include "src/packet/packet.h"
#include "src/routing/balancer.h"

namespace medlargauge {
namespace {

constexpr Duration kBatchTimeout = Milliseconds(20);
constexpr Duration kMetricsInterval = Milliseconds(500);
constexpr Duration kProbeInterval = Milliseconds(500);
constexpr Duration kStopPollInterval = Milliseconds(50);
/// Time for the last control messages to be sent before the process stops.
constexpr Duration kFinalSendTime = Milliseconds(300);
constexpr Duration kBindTimeout = Seconds(5);
constexpr std::chrono::seconds kHandoverTimeout{5};

/// A daemon process in the role of an agent. The agent's state is protected by
/// the control plane's mutex.
class AgentProcess {
 public:
  AgentProcess(const Settings& settings,
               AgentSnapshot predecessor_snapshot,
               StartKind kind)
      : m_process(settings),
        m_predecessor_snapshot(std::move(predecessor_snapshot)),
        m_start_kind(kind),
        m_backend(ToSocketAddress(*ParseHostPort(settings.backend_address))) {
    const std::optional<HostPort> answer_address =
        ParseHostPort(settings.answer_address);
    m_has_answer_address = answer_address.has_value();
    if (m_has_answer_address) {
      m_answer_address = ToSocketAddress(*answer_address);
    }
    m_process.Control().SetHooks(MakeHooks());
    m_path.io = &m_io;
    m_path.backend = m_backend;
    m_path.address = [this](MemberId id) {
      return m_process.Control().DataAddress(id);
    };
    m_path.trace = [this](const Envelope& envelope, Verdict* verdict) {
      TracePacket(envelope, verdict);
    };
    m_path.reject = [this](const PacketInfo& packet, ByteView raw,
                           ErrorKind error) {
      AnswerCaller(packet, raw, error);
    };
  }

  /// Binds all sockets and starts all threads. @return false with a reason on
  /// failure
  bool Start(Error* reason) {
    if (!BindWithRetries(reason)) {
      return false;
    }
    AdminHooks hooks;
    hooks.status = [this] { return Status(); };
    hooks.hand_over = [this] { return HandOver(); };
    if (!m_process.Start(std::move(hooks), reason)) {
      return false;
    }
    m_process.RunThread([this] { RunPacketLoop(); });
    if (!m_process.Config().load_address.empty()) {
      m_process.RunThread([this] { RunLoadProbeLoop(); });
    }
    return true;
  }

  /// Drains the agent, waits for its last flow, announces that the agent leaves
  /// and stops all threads. After a hand-over it only stops the threads,
  /// because the successor process has taken over the flows.
  void Stop() {
    if (!m_handed_over) {
      StartDrain();
      while (!IsDrained() && !m_handed_over) {
        std::this_thread::sleep_for(kStopPollInterval);
      }
    }
    if (!m_handed_over) {
      const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
      if (m_agent != nullptr) {
        m_agent->Leave(SteadyNow());
      }
    }
    std::this_thread::sleep_for(kFinalSendTime);
    m_process.Stop();
  }

 private:
  /// Binds the sockets. A successor retries, because its predecessor may still
  /// use the ports for a short time.
  bool BindWithRetries(Error* reason) {
    const TimePoint deadline = SteadyNow() + kBindTimeout;
    while (!m_io.Bind(m_process.Config().data_address, reason) ||
           !m_process.Bind(reason)) {
      if (m_start_kind != StartKind::kPlannedRestart ||
          SteadyNow() > deadline) {
        return false;
      }
      std::this_thread::sleep_for(kStopPollInterval);
    }
    return true;
  }

  AgentConfig MakeConfig() {
    const Settings& settings = m_process.Config();
    AgentConfig config;
    config.service = ServiceIdOf(settings.service);
    config.self = m_process.Control().StartFacts();
    config.limits.capacity = static_cast<uint32_t>(settings.capacity);
    config.limits.ramp = Seconds(settings.ramp_s);
    config.limits.tcp_idle = Seconds(settings.tcp_idle_s);
    config.limits.udp_idle = Seconds(settings.udp_idle_s);
    config.limits.closing = Seconds(settings.closing_s);
    config.limits.join = Milliseconds(settings.join_ms);
    config.limits.backups_per_second =
        static_cast<uint32_t>(settings.backups_per_second);
    config.timeouts = GroupTimeoutsOf(settings);
    config.policy = PlaceWithinBound;
    config.start = m_start_kind;
    return config;
  }

  RoleHooks MakeHooks() {
    RoleHooks hooks;
    hooks.on_member = [this](TimePoint now, const Member& member) {
      if (m_agent != nullptr) {
        PassMemberToAgent(now, member);
      }
    };
    hooks.on_targets = [this](TimePoint now) { ApplyTargets(now); };
    hooks.on_group = [this](TimePoint now, const proto::GroupMessage& message) {
      const bool is_own_service =
          message.service() == ServiceIdOf(m_process.Config().service).value;
      if (m_agent != nullptr && is_own_service) {
        m_agent->OnMessage(now, message);
      }
    };
    hooks.on_tick = [this](TimePoint now) {
      CreateAgentAfterDiscovery(now);
      if (m_agent != nullptr) {
        m_agent->OnTick(now);
      }
    };
    hooks.take_outgoing = [this] {
      return m_agent == nullptr ? std::vector<OutgoingGroupMessage>()
                                : m_agent->TakeOutgoing();
    };
    hooks.self = [this] {
      return m_agent == nullptr ? m_process.Control().StartFacts()
                                : m_agent->ServiceGroup().Self();
    };
    hooks.removed = [this] { return ListRemovedMembers(); };
    return hooks;
  }

  /// Creates the agent once the discovery of peers is over. An agent that
  /// decided earlier could take itself for the only one of its service.
  void CreateAgentAfterDiscovery(TimePoint now) {
    const bool can_start = m_agent == nullptr && !m_handed_over &&
                           m_process.Control().IsDiscoveryDone(now);
    if (!can_start) {
      return;
    }
    m_agent = std::make_unique<Agent>(now, MakeConfig());
    m_agent->ImportSnapshot(now, m_predecessor_snapshot);
    m_predecessor_snapshot = AgentSnapshot();
    for (const auto& [id, member] : m_process.Control().Members()) {
      PassMemberToAgent(now, member);
    }
    ApplyTargets(now);
  }

  /// Passes a member to the agent if it is a balancer or an agent of the same
  /// service. Precondition: the agent exists.
  void PassMemberToAgent(TimePoint now, const Member& member) {
    const bool same_service =
        member.service == ServiceIdOf(m_process.Config().service);
    if (IsBalancer(member) || same_service) {
      m_agent->UpdateMember(now, member.facts, IsBalancer(member));
    }
  }

  void ApplyTargets(TimePoint now) {
    if (m_agent != nullptr) {
      m_agent->SetSplits(
          now, MakeVersionSplits(m_process.Control().Targets().All(),
                                 ServiceIdOf(m_process.Config().service)));
    }
  }

  std::vector<AgentFacts> ListRemovedMembers() {
    std::vector<AgentFacts> removed;
    if (m_agent == nullptr) {
      return removed;
    }
    for (const Peer& peer : m_agent->ServiceGroup().Peers()) {
      if (peer.facts.state == AgentState::kGone) {
        removed.push_back(peer.facts);
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
      m_io.RunBatch(kBatchTimeout, [this, &lock](ByteView datagram) {
        if (!lock.owns_lock()) {
          lock.lock();
          m_batch_time = SteadyNow();
        }
        OnDatagram(datagram);
      });
      if (lock.owns_lock()) {
        lock.unlock();
      }
      const TimePoint now = SteadyNow();
      if (now >= next_metrics_update) {
        next_metrics_update = now + kMetricsInterval;
        UpdateMetrics();
      }
    }
  }

  void OnDatagram(ByteView datagram) {
    ++m_packets_received;
    if (m_agent == nullptr) {
      return;
    }
    m_path.agent = m_agent.get();
    const ErrorKind kind = HandleAgentDatagram(m_path, m_batch_time, datagram);
    m_malformed[static_cast<size_t>(kind)] += kind == ErrorKind::kNone ? 0 : 1;
  }

  /// Sends the caller a TCP reset or an ICMP unreachable message if the error
  /// kind asks for it and an answer address is set.
  void AnswerCaller(const PacketInfo& packet, ByteView raw, ErrorKind error) {
    const PacketAnswer answer = Describe(error).answer;
    const bool should_answer =
        m_has_answer_address &&
        (answer == PacketAnswer::kReset || answer == PacketAnswer::kNotRun);
    if (!should_answer) {
      return;
    }
    const bool is_tcp = packet.tuple.transport == Transport::kTcp;
    const std::vector<uint8_t> bytes =
        is_tcp ? BuildReset(packet) : BuildPortUnreachable(packet, raw);
    std::array<uint8_t, kGueHeaderSize> header;
    WriteGueHeader({header.data(), header.size()});
    m_io.SendNow(m_answer_address, ByteView(header.data(), header.size()),
                 ByteView(bytes.data(), bytes.size()));
  }

  /// Writes the span of a sampled packet. Makes it the parent of the next span
  /// if the packet is forwarded.
  void TracePacket(const Envelope& envelope, Verdict* verdict) {
    if (!envelope.trace.IsSampled()) {
      return;
    }
    switch (verdict->kind) {
      case VerdictKind::kDeliver:
        m_process.Spans().Write(envelope.trace, "agent.deliver",
                                m_process.Config().backend_address);
        return;
      case VerdictKind::kForward: {
        const auto& members = m_process.Control().Members();
        const auto next = members.find(verdict->next);
        verdict->envelope.trace.span = m_process.Spans().Write(
            envelope.trace, "agent.forward",
            next == members.end() ? "" : next->second.record.name());
        return;
      }
      case VerdictKind::kReject:
        m_process.Spans().Write(envelope.trace, "agent.reject",
                                Describe(verdict->error).text);
        return;
    }
  }

  /// Probes the load of the backend server until the process stops.
  void RunLoadProbeLoop() {
    TimePoint next_probe;
    while (!m_process.IsStopping()) {
      std::this_thread::sleep_for(kStopPollInterval);
      if (SteadyNow() < next_probe) {
        continue;
      }
      next_probe = SteadyNow() + kProbeInterval;
      const std::optional<LoadReport> report =
          ProbeServerLoad(m_process.Config().load_address);
      if (report.has_value()) {
        ApplyLoadReport(*report);
      }
    }
  }

  /// Applies the backend server's state to the agent: whether it sheds load,
  /// and whether it wants to be drained.
  void ApplyLoadReport(const LoadReport& report) {
    bool starts_drain = false;
    {
      const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
      if (m_agent == nullptr) {
        return;
      }
      m_agent->SetShedding(report.shedding);
      starts_drain = report.draining &&
                     m_agent->ServiceGroup().Self().state == AgentState::kReady;
    }
    if (starts_drain) {
      StartDrain();
    }
  }

  void StartDrain() {
    const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
    if (m_agent == nullptr) {
      return;
    }
    const TimePoint now = SteadyNow();
    m_agent->StartDrain(now, now + Seconds(m_process.Config().drain_timeout_s));
    EventLine(Severity::kInfo, "drain_started")
        .With("name", m_process.Config().name)
        .With("open_flows", m_agent->OpenFlows());
  }

  bool IsDrained() {
    const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
    return m_agent == nullptr || m_agent->IsDrained(SteadyNow());
  }

  /// Destroys the agent, makes this process stop and returns the encoded state
  /// for the successor; returns an empty string if there is no agent.
  std::string HandOver() {
    std::string bytes;
    {
      const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
      if (m_agent == nullptr) {
        return bytes;
      }
      bytes = EncodeHandover(m_agent->ExportSnapshot(), SteadyNow());
      m_agent = nullptr;
      m_handed_over = true;
    }
    EventLine(Severity::kInfo, "handed_over")
        .With("name", m_process.Config().name)
        .With("bytes", bytes.size());
    kill(getpid(), SIGTERM);
    return bytes;
  }

  void UpdateMetrics() {
    m_process.UpdateCommonMetrics();
    const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
    if (m_agent == nullptr) {
      return;
    }
    SetAgentMetrics(*m_agent, m_malformed, &m_process.ProcessMetrics());
    m_process.ProcessMetrics().Set(Metric::packets_received,
                                   m_packets_received);
  }

  std::string Status() {
    nlohmann::json status = m_process.MakeCommonStatus();
    const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
    status["service"] = m_process.Config().service;
    status["packets_received"] = m_packets_received;
    if (m_agent == nullptr) {
      status["state"] = "discovering";
      return status.dump();
    }
    AddAgentStatus(*m_agent, &status);
    return status.dump();
  }

  DaemonProcess m_process;               ///< Parts shared by both roles.
  AgentSnapshot m_predecessor_snapshot;  ///< For m_agent to import.
  StartKind m_start_kind;                ///< How the process started.
  sockaddr_in m_backend;                 ///< Backend server's address.
  bool m_has_answer_address = false;     ///< Whether callers are answered.
  sockaddr_in m_answer_address{};        ///< For resets and refusals.
  /// Null during discovery and after a hand-over.
  std::unique_ptr<Agent> m_agent;
  PacketIo m_io;                    ///< Data socket of the packet thread.
  AgentPacketPath m_path;           ///< Objects on the packet path.
  TimePoint m_batch_time;           ///< Start of the current batch.
  uint64_t m_packets_received = 0;  ///< Received datagrams.
  /// Malformed datagrams by error kind.
  std::array<uint64_t, kErrorKindCount> m_malformed{};
  std::atomic<bool> m_handed_over{false};  ///< To a successor process.
};

/// Requests the state of the agent at the admin address `predecessor`. That
/// agent stops once it has handed over its state.
std::optional<AgentSnapshot> FetchHandover(const std::string& predecessor,
                                           Error* reason) {
  const std::optional<HostPort> address = ParseHostPort(predecessor);
  if (!address.has_value()) {
    Fail(reason, ErrorKind::kBadUsage,
         predecessor + ": --take_over_from must be IP:PORT");
    return std::nullopt;
  }
  httplib::Client client(address->host, address->port);
  client.set_connection_timeout(kHandoverTimeout);
  client.set_read_timeout(kHandoverTimeout);
  const httplib::Result result = client.Post("/handover");
  if (!result || result->status != 200) {
    Fail(reason, ErrorKind::kIo,
         predecessor + ": the predecessor did not hand over its state");
    return std::nullopt;
  }
  return DecodeHandover(result->body, SteadyNow(), reason);
}

}  // namespace

bool RunAgent(const Settings& settings,
              const std::string& predecessor,
              Error* reason) {
  AgentSnapshot predecessor_snapshot;
  StartKind kind = StartKind::kColdStart;
  if (!predecessor.empty()) {
    std::optional<AgentSnapshot> fetched = FetchHandover(predecessor, reason);
    if (!fetched.has_value()) {
      return false;
    }
    predecessor_snapshot = std::move(*fetched);
    kind = StartKind::kPlannedRestart;
  } else if (!settings.load_address.empty()) {
    const std::optional<LoadReport> report =
        ProbeServerLoad(settings.load_address);
    const bool is_recovering = report.has_value() && report->has_connections;
    kind = is_recovering ? StartKind::kUnplannedRestart : StartKind::kColdStart;
  }
  AgentProcess process(settings, std::move(predecessor_snapshot), kind);
  if (!process.Start(reason)) {
    return false;
  }
  EventLine(Severity::kInfo, "started")
      .With("name", settings.name)
      .With("role", settings.role)
      .With("start_kind", static_cast<int>(kind));
  WaitForStopSignal();
  process.Stop();
  EventLine(Severity::kInfo, "stopped").With("name", settings.name);
  return true;
}

}  // namespace medlargauge

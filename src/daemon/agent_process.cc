// @file agent_process.cc Packets to the backend server or to other agents.
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
#include "src/daemon/handover_codec.h"
#include "src/daemon/load_probe.h"
#include "src/daemon/packet_path.h"
#include "src/daemon/process.h"
#include "src/locate/agent.h"
#include "src/packet/packet.h"
#include "src/routing/balancer.h"

namespace medlargauge {
namespace {

constexpr Duration kBatchWait = Milliseconds(20);
constexpr Duration kMetricsInterval = Milliseconds(500);
constexpr Duration kProbeInterval = Milliseconds(500);
constexpr Duration kStopCheck = Milliseconds(50);
constexpr Duration kLastMessages = Milliseconds(300);
constexpr Duration kBindPatience = Seconds(5);
constexpr std::chrono::seconds kHandoverTimeout{5};

/// One agent process.
class AgentProcess {
 public:
  AgentProcess(const Settings& settings, HandoverState handover, StartKind kind)
      : m_process(settings),
        m_handover(std::move(handover)),
        m_kind(kind),
        m_backend(ToSocketAddress(*ParseHostPort(settings.backend_address))) {
    const std::optional<HostPort> answers =
        ParseHostPort(settings.answer_address);
    m_has_answers = answers.has_value();
    if (m_has_answers) {
      m_answers = ToSocketAddress(*answers);
    }
    m_process.Control().SetHooks(MakeHooks());
    m_path.io = &m_io;
    m_path.backend = m_backend;
    m_path.address = [this](MemberId id) {
      return m_process.Control().DataAddress(id);
    };
    m_path.trace = [this](const Envelope& envelope, Verdict* verdict) {
      Trace(envelope, verdict);
    };
    m_path.reject = [this](const PacketInfo& packet, ByteView raw,
                           ErrorKind error) {
      AnswerCaller(packet, raw, error);
    };
  }

  bool Start(Error* reason) {
    if (!BindPatiently(reason)) {
      return false;
    }
    AdminHooks hooks;
    hooks.status = [this] { return Status(); };
    hooks.hand_over = [this] { return HandOver(); };
    if (!m_process.Start(std::move(hooks), reason)) {
      return false;
    }
    m_process.RunThread([this] { RunPackets(); });
    if (!m_process.Config().load_address.empty()) {
      m_process.RunThread([this] { RunProbe(); });
    }
    return true;
  }

  /// Drains, waits for the last flow, tells the peers and ends. After a
  /// hand-over it just ends: the successor has the flows.
  void Stop() {
    if (!m_handed_over) {
      StartDrain();
      while (!IsDrained() && !m_handed_over) {
        std::this_thread::sleep_for(kStopCheck);
      }
    }
    if (!m_handed_over) {
      const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
      if (m_agent != nullptr) {
        m_agent->Leave(SteadyNow());
      }
    }
    std::this_thread::sleep_for(kLastMessages);
    m_process.Stop();
  }

 private:
  /// A predecessor may hold the ports for a moment.
  bool BindPatiently(Error* reason) {
    const TimePoint limit = SteadyNow() + kBindPatience;
    while (!m_io.Bind(m_process.Config().data_address, reason) ||
           !m_process.Bind(reason)) {
      if (m_kind != StartKind::kSuccessor || SteadyNow() > limit) {
        return false;
      }
      std::this_thread::sleep_for(kStopCheck);
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
    config.timeouts = TimeoutsOf(settings);
    config.policy = PlaceWithinBound;
    config.start = m_kind;
    return config;
  }

  RoleHooks MakeHooks() {
    RoleHooks hooks;
    hooks.on_member = [this](TimePoint now, const Member& member) {
      if (m_agent != nullptr) {
        Learn(now, member);
      }
    };
    hooks.on_targets = [this](TimePoint now) { ApplyTargets(now); };
    hooks.on_group = [this](TimePoint now, const proto::GroupMessage& message) {
      const bool ours =
          message.service() == ServiceIdOf(m_process.Config().service).value;
      if (m_agent != nullptr && ours) {
        m_agent->OnMessage(now, message);
      }
    };
    hooks.on_tick = [this](TimePoint now) {
      StartDecidingWhenDiscovered(now);
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
    hooks.removed = [this] { return RemovedMembers(); };
    return hooks;
  }

  /// Without any peer known, this agent could take itself for the only one.
  void StartDecidingWhenDiscovered(TimePoint now) {
    const bool ready = m_agent == nullptr && !m_handed_over &&
                       m_process.Control().HasDiscoveredPeersLocked(now);
    if (!ready) {
      return;
    }
    m_agent = std::make_unique<Agent>(now, MakeConfig());
    m_agent->TakeOver(now, m_handover);
    m_handover = HandoverState();
    for (const auto& [id, member] : m_process.Control().Members()) {
      Learn(now, member);
    }
    ApplyTargets(now);
  }

  void Learn(TimePoint now, const Member& member) {
    const bool same_service =
        member.service == ServiceIdOf(m_process.Config().service);
    if (IsBalancer(member) || same_service) {
      m_agent->LearnMember(now, member.facts, IsBalancer(member));
    }
  }

  void ApplyTargets(TimePoint now) {
    if (m_agent != nullptr) {
      m_agent->SetSplits(now,
                         SplitsOf(m_process.Control().Targets().All(),
                                  ServiceIdOf(m_process.Config().service)));
    }
  }

  std::vector<AgentFacts> RemovedMembers() {
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

  void RunPackets() {
    TimePoint metrics_due;
    while (!m_process.IsStopping()) {
      std::unique_lock<std::mutex> lock(m_process.Control().Mutex(),
                                        std::defer_lock);
      m_io.RunBatch(kBatchWait, [this, &lock](ByteView datagram) {
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
      if (now >= metrics_due) {
        metrics_due = now + kMetricsInterval;
        UpdateMetrics();
      }
    }
  }

  void OnDatagram(ByteView datagram) {
    ++m_received;
    if (m_agent == nullptr) {
      return;
    }
    m_path.agent = m_agent.get();
    const ErrorKind kind = PassThroughAgent(m_path, m_batch_time, datagram);
    m_malformed[static_cast<size_t>(kind)] += kind == ErrorKind::kNone ? 0 : 1;
  }

  void AnswerCaller(const PacketInfo& packet, ByteView raw, ErrorKind error) {
    const PacketAnswer answer = Describe(error).answer;
    const bool answers = m_has_answers && (answer == PacketAnswer::kReset ||
                                           answer == PacketAnswer::kNotRun);
    if (!answers) {
      return;
    }
    const bool is_tcp = packet.tuple.transport == Transport::kTcp;
    const std::vector<uint8_t> bytes =
        is_tcp ? BuildReset(packet) : BuildPortUnreachable(packet, raw);
    std::array<uint8_t, kGueHeaderSize> header;
    WriteGueHeader({header.data(), header.size()});
    m_io.SendNow(m_answers, ByteView(header.data(), header.size()),
                 ByteView(bytes.data(), bytes.size()));
  }

  void Trace(const Envelope& envelope, Verdict* verdict) {
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

  void RunProbe() {
    TimePoint next;
    while (!m_process.IsStopping()) {
      std::this_thread::sleep_for(kStopCheck);
      if (SteadyNow() < next) {
        continue;
      }
      next = SteadyNow() + kProbeInterval;
      const std::optional<ServerReport> report =
          ProbeServer(m_process.Config().load_address);
      if (report.has_value()) {
        TakeReport(*report);
      }
    }
  }

  void TakeReport(const ServerReport& report) {
    bool drains = false;
    {
      const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
      if (m_agent == nullptr) {
        return;
      }
      m_agent->SetShedding(report.shedding);
      drains = report.draining &&
               m_agent->ServiceGroup().Self().state == AgentState::kReady;
    }
    if (drains) {
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

  std::string HandOver() {
    std::string bytes;
    {
      const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
      if (m_agent == nullptr) {
        return bytes;
      }
      bytes = EncodeHandover(m_agent->MakeHandover(), SteadyNow());
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
    SetAgentMetrics(*m_agent, m_malformed, &m_process.Gauges());
    m_process.Gauges().Set(Metric::packets_received, m_received);
  }

  std::string Status() {
    nlohmann::json status = m_process.CommonStatus();
    const std::lock_guard<std::mutex> lock(m_process.Control().Mutex());
    status["service"] = m_process.Config().service;
    status["packets_received"] = m_received;
    if (m_agent == nullptr) {
      status["state"] = "discovering";
      return status.dump();
    }
    AddAgentStatus(*m_agent, &status);
    return status.dump();
  }

  Process m_process;               ///< Threads and servers.
  HandoverState m_handover;        ///< Taken over at the start.
  StartKind m_kind;                ///< How this process came to be.
  sockaddr_in m_backend;           ///< Backend server.
  bool m_has_answers = false;      ///< Resets and refusals can be sent.
  sockaddr_in m_answers{};         ///< Where they go.
  std::unique_ptr<Agent> m_agent;  ///< Decisions, under the node's mutex.
  PacketIo m_io;                   ///< Data socket, used by the packet thread.
  AgentPath m_path;                ///< Ties the parts above together.
  TimePoint m_batch_time;          ///< Time of the current batch.
  uint64_t m_received = 0;         ///< Datagrams.
  std::array<uint64_t, kErrorKindCount> m_malformed{};  ///< By error kind.
  std::atomic<bool> m_handed_over{false};  ///< The successor has the flows.
};

/// Fetches the state of the predecessor, which then ends.
std::optional<HandoverState> FetchHandover(const std::string& predecessor,
                                           Error* reason) {
  const std::optional<HostPort> address = ParseHostPort(predecessor);
  if (!address.has_value()) {
    Fail(reason, ErrorKind::kBadUsage, predecessor + ": not IP:PORT");
    return std::nullopt;
  }
  httplib::Client client(address->host, address->port);
  client.set_connection_timeout(kHandoverTimeout);
  client.set_read_timeout(kHandoverTimeout);
  const httplib::Result result = client.Post("/handover");
  if (!result || result->status != 200) {
    Fail(reason, ErrorKind::kIo, predecessor + ": no hand-over");
    return std::nullopt;
  }
  return DecodeHandover(result->body, SteadyNow(), reason);
}

}  // namespace

bool RunAgent(const Settings& settings,
              const std::string& predecessor,
              Error* reason) {
  HandoverState handover;
  StartKind kind = StartKind::kFresh;
  if (!predecessor.empty()) {
    std::optional<HandoverState> fetched = FetchHandover(predecessor, reason);
    if (!fetched.has_value()) {
      return false;
    }
    handover = std::move(*fetched);
    kind = StartKind::kSuccessor;
  } else if (!settings.load_address.empty()) {
    const std::optional<ServerReport> report =
        ProbeServer(settings.load_address);
    const bool running = report.has_value() && report->has_connections;
    kind = running ? StartKind::kRecovering : StartKind::kFresh;
  }
  AgentProcess process(settings, std::move(handover), kind);
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

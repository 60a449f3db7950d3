// @file daemon_process.cc Threads, stop signals and status of both roles.
#include "src/daemon/daemon_process.h"

#include <csignal>
#include <nlohmann/json.hpp>

#include "src/core/event_log.h"

namespace medlargauge {
namespace {

constexpr Duration kControlPollTimeout = Milliseconds(5);

/// Returns the milliseconds of the wall clock as incarnation. They grow with
/// each start of a process, and faster than a running process increments its
/// incarnation.
uint64_t WallClockIncarnation() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

DaemonProcess::DaemonProcess(const Settings& settings)
    : m_settings(settings),
      m_control_plane(settings, WallClockIncarnation()),
      m_spans(settings.trace_file, settings.name) {
  if (!settings.store_address.empty()) {
    m_reader =
        std::make_unique<StoreReader>(&m_control_plane, settings.store_address,
                                      Milliseconds(settings.store_poll_ms));
  }
}

DaemonProcess::~DaemonProcess() {
  Stop();
}

bool DaemonProcess::Bind(Error* reason) {
  if (!m_control_plane.Bind(reason)) {
    return false;
  }
  return m_settings.metrics_address.empty() ||
         m_metrics.Serve(m_settings.metrics_address, reason);
}

bool DaemonProcess::Start(AdminHooks hooks, Error* reason) {
  RunThread([this] {
    while (!m_stopping) {
      m_control_plane.RunControlOnce(kControlPollTimeout);
    }
  });
  if (m_reader != nullptr) {
    RunThread([this] { m_reader->Run(m_stopping); });
  }
  hooks.is_healthy = [this] { return m_healthy.load(); };
  m_admin = std::make_unique<AdminServer>(std::move(hooks));
  return m_admin->Serve(m_settings.admin_address, reason);
}

void DaemonProcess::RunThread(std::function<void()> body) {
  m_threads.emplace_back(std::move(body));
}

void DaemonProcess::Stop() {
  m_stopping = true;
  for (std::thread& thread : m_threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
  m_admin = nullptr;
}

nlohmann::json DaemonProcess::MakeCommonStatus() {
  const std::lock_guard<std::mutex> lock(m_control_plane.Mutex());
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [id, member] : m_control_plane.Members()) {
    members.push_back({{"name", member.record.name()},
                       {"role", member.record.role()},
                       {"service", member.record.service()},
                       {"version", member.record.version()},
                       {"failure_domain", member.record.domain()},
                       {"admin_address", member.record.admin_address()},
                       {"state", NameOf(member.facts.state)},
                       {"incarnation", member.facts.incarnation}});
  }
  nlohmann::json classes = nlohmann::json::object();
  for (const ClassTarget& target : m_control_plane.Targets().All()) {
    classes[target.name] = target.revision;
  }
  return {{"name", m_settings.name},
          {"role", m_settings.role},
          {"failure_domain", m_settings.failure_domain},
          {"revision", m_control_plane.Targets().HighestRevision()},
          {"classes", classes},
          {"members", members}};
}

void DaemonProcess::UpdateCommonMetrics() {
  const std::lock_guard<std::mutex> lock(m_control_plane.Mutex());
  const ChannelCounters& control = m_control_plane.ControlCounters();
  uint64_t alive = 0;
  for (const auto& [id, member] : m_control_plane.Members()) {
    alive += member.facts.state != AgentState::kGone ? 1 : 0;
  }
  m_metrics.Set(Metric::members_alive, alive);
  m_metrics.Set(Metric::target_revision,
                m_control_plane.Targets().HighestRevision());
  m_metrics.Set(Metric::control_bytes_sent, control.bytes_sent);
  m_metrics.Set(Metric::control_bytes_received, control.bytes_received);
  m_metrics.Set(Metric::control_dropped, control.dropped);
  m_metrics.Set(Metric::control_malformed,
                control.malformed + m_control_plane.MalformedItems());
  if (m_reader != nullptr) {
    m_metrics.Set(Metric::store_calls, m_reader->Calls());
  }
}

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
  EventLine(Severity::kInfo, "stop_requested").With("signal", received);
}

GroupTimeouts GroupTimeoutsOf(const Settings& settings) {
  GroupTimeouts timeouts;
  timeouts.heartbeat = Milliseconds(settings.heartbeat_ms);
  timeouts.removal = Milliseconds(settings.removal_ms);
  timeouts.fence = timeouts.removal / 2;
  return timeouts;
}

std::string_view NameOf(AgentState state) {
  switch (state) {
    case AgentState::kJoining:
      return "joining";
    case AgentState::kReady:
      return "ready";
    case AgentState::kDraining:
      return "draining";
    case AgentState::kGone:
      return "gone";
  }
  return "unknown";
}

}  // namespace medlargauge

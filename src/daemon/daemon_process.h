// @file daemon_process.h The threads and servers that both roles run.
#ifndef MEDLARGAUGE_DAEMON_DAEMON_PROCESS_H_
#define MEDLARGAUGE_DAEMON_DAEMON_PROCESS_H_

#include <atomic>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <thread>
#include <vector>

#include "src/daemon/admin.h"
#include "src/daemon/control_plane.h"
#include "src/daemon/metrics.h"
#include "src/daemon/packet_io.h"
#include "src/daemon/settings_type.h"
#include "src/daemon/span_log.h"
#include "src/daemon/store_reader.h"

namespace medlargauge {

/// Everything of a process that does not depend on its role. A role sets the
/// node's hooks, then starts the parts. Public members are shared by the role
/// and its threads under the node's mutex where they are not thread-safe.
class DaemonProcess {
 public:
  explicit DaemonProcess(const Settings& settings);
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;
  /// Stops and joins all threads.
  ~DaemonProcess();

  /// Binds the control and the metrics address. @return false with a reason
  bool Bind(Error* reason);

  /// Starts the control and the store thread, then the admin interface.
  bool Start(AdminHooks hooks, Error* reason);

  /// Runs `body` on a thread of its own until the process stops.
  void RunThread(std::function<void()> body);

  /// Tells the fabric and peers that this process is about to stop.
  void MarkUnhealthy() { m_healthy = false; }
  /// Ends all threads. Idempotent.
  void Stop();

  /// Returns whether the threads should end.
  bool IsStopping() const { return m_stopping; }

  /// Returns the part of the status that both roles have. Locks the mutex.
  nlohmann::json CommonStatus();

  /// Sets the metrics that both roles have. Locks the mutex.
  void UpdateCommonMetrics();

  const Settings& Config() const { return m_settings; }
  ControlPlane& Control() { return m_node; }
  Metrics& Gauges() { return m_metrics; }
  SpanLog& Spans() { return m_spans; }

 private:
  Settings m_settings;                          ///< As read.
  ControlPlane m_node;                          ///< Control side.
  Metrics m_metrics;                            ///< Prometheus endpoint.
  SpanLog m_spans;                              ///< Traces.
  std::unique_ptr<StoreReader> m_reader;        ///< Null without a store.
  std::unique_ptr<AdminServer> m_admin_server;  ///< HTTP interface.
  std::atomic<bool> m_healthy{true};            ///< As /healthz tells.
  std::atomic<bool> m_stopping{false};          ///< Threads should end.
  std::vector<std::thread> m_threads;           ///< Joined by Stop.
};

/// Waits for SIGTERM or SIGINT. Precondition: BlockStopSignals was called
/// before any thread was started.
void WaitForStopSignal();

/// Keeps SIGTERM and SIGINT for WaitForStopSignal.
void BlockStopSignals();

/// Returns the intervals of service groups. Thread-safe.
GroupTimeouts TimeoutsOf(const Settings& settings);

/// Returns the name of a state, for people and JSON. Thread-safe.
std::string_view NameOf(AgentState state);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_DAEMON_PROCESS_H_

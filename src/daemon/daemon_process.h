// @file daemon_process.h Threads and servers that both roles use.
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
/// control plane's hooks, then calls Bind and Start. Objects returned by the
/// accessors are shared by the role's threads; those that are not thread-safe
/// are protected by the control plane's mutex.
class DaemonProcess {
 public:
  explicit DaemonProcess(const Settings& settings);
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;
  /// Stops and joins all threads.
  ~DaemonProcess();

  /// Binds the control address and, if one is set, starts the metrics endpoint.
  /// @return false with a reason on failure
  bool Bind(Error* reason);

  /// Starts the threads of the control plane and of the store reader, then the
  /// admin server. Precondition: Bind succeeded.
  /// @param hooks callbacks of the role; is_healthy is set by this method
  /// @return false with a reason if the admin server could not start
  bool Start(AdminHooks hooks, Error* reason);

  /// Runs `body` on a thread of its own until the process stops.
  /// Precondition: `body` returns soon after IsStopping becomes true.
  void RunThread(std::function<void()> body);

  /// Makes the health check fail, so that the fabric stops sending packets.
  void MarkUnhealthy() { m_healthy = false; }
  /// Stops and joins all threads, then stops the admin server. Idempotent.
  void Stop();

  /// Returns whether the threads should return. Thread-safe.
  bool IsStopping() const { return m_stopping; }

  /// Returns the status fields that both roles share. Locks the control plane's
  /// mutex.
  nlohmann::json MakeCommonStatus();

  /// Sets the metrics that both roles share. Locks the control plane's mutex.
  void UpdateCommonMetrics();

  /// Returns the settings of this process.
  const Settings& Config() const { return m_settings; }
  /// Returns the control plane.
  ControlPlane& Control() { return m_control_plane; }
  /// Returns the metrics; their setters are thread-safe.
  Metrics& ProcessMetrics() { return m_metrics; }
  /// Returns the log of trace spans; thread-safe.
  SpanLog& Spans() { return m_spans; }

 private:
  Settings m_settings;                    ///< Settings of this process.
  ControlPlane m_control_plane;           ///< Membership and targets.
  Metrics m_metrics;                      ///< Metrics and their endpoint.
  SpanLog m_spans;                        ///< Traces.
  std::unique_ptr<StoreReader> m_reader;  ///< Null without a store.
  std::unique_ptr<AdminServer> m_admin;   ///< Null before Start.
  std::atomic<bool> m_healthy{true};      ///< Answer to /healthz.
  std::atomic<bool> m_stopping{false};    ///< Threads should return.
  std::vector<std::thread> m_threads;     ///< Joined by Stop.
};

/// Blocks until SIGTERM or SIGINT arrives. Precondition: BlockStopSignals was
/// called before any thread was started.
void WaitForStopSignal();

/// Blocks SIGTERM and SIGINT in this thread and in threads that it starts
/// later, so that only WaitForStopSignal receives them.
void BlockStopSignals();

/// Returns the timeouts of the group protocol from the settings; the fencing
/// timeout is half of the removal timeout. Thread-safe.
GroupTimeouts GroupTimeoutsOf(const Settings& settings);

/// Returns the name of a state as used in the status. Thread-safe.
std::string_view NameOf(AgentState state);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_DAEMON_PROCESS_H_

// @file balancer_runtime.h The balancer process: event handlers around
// FlowDirector.
#ifndef MEDLARGAUGE_RUNTIME_BALANCER_RUNTIME_H_
#define MEDLARGAUGE_RUNTIME_BALANCER_RUNTIME_H_

#include <array>

#include "src/forwarding/flow_director.h"
#include "src/runtime/fleet_node.h"
#include "src/runtime/flow_log.h"
#include "src/runtime/host_probe.h"

namespace medlargauge {

/// Connects FlowDirector, which takes all decisions about packets, to the event
/// loop: it owns the sockets, timers and HTTP server of a balancer. Not
/// thread-safe.
class BalancerRuntime {
 public:
  /// @param loop, platform owned by the caller; must live longer
  /// Precondition: the addresses in `settings` are valid.
  BalancerRuntime(EventLoop* loop,
                  const Settings& settings,
                  const PlatformHooks* platform);

  /// Binds all sockets and starts the timers.
  /// @return false if a socket cannot be bound; `reason` then says which
  bool Start(Error* reason);

  /// Begins a planned stop. The event loop ends when the routers no longer send
  /// packets here, or shortly before the grace period ends.
  void Stop();

  /// Applies the settings that may change at run time: the grace period of a
  /// stop and the seeds.
  void Reload(const Settings& settings);

 private:
  /// Handles a packet of a caller.
  void OnCallerDatagram(TimePoint now, ByteSpan datagram);
  /// Handles a datagram of an agent other than a status.
  void OnPeerFrame(TimePoint now, SocketAddress4 from, const PeerFrame& frame);
  /// Forwards, resets or drops a packet as decided. @param raw its bytes
  void ExecuteDecision(TimePoint now,
                       const DirectorDecision& decision,
                       const FlowPacket& packet,
                       ByteView raw);
  /// Logs a decision, subject to sampling and the rate limit.
  void LogDecision(TimePoint now,
                   const DirectorDecision& decision,
                   const FlowPacket& packet);
  /// Logs once that the search of a flow has become long.
  void LogLongSearch(TimePoint now,
                     const DirectorDecision& decision,
                     const FlowPacket& packet);
  /// Executes deferred decisions and sends flow pointers.
  void OnTimer();
  /// Tells the director what to expect while no targets are in force.
  void UpdateTargetOutlook(TimePoint now);
  /// Executes the decisions about stored packets that are due.
  void ExecuteDeferredDecisions(TimePoint now);
  /// Executes these decisions.
  void ExecuteDecisions(TimePoint now,
                        const std::vector<DeferredDecision>& decisions);
  /// Sends the queries that FlowDirector has started.
  void SendQueries();
  /// Starts the probes of silent agents that are due.
  void ProbeSilentAgents();
  /// Records and counts the outcome of a probe.
  void OnProbe(MemberId agent, ProbeOutcome outcome);
  /// Sends the flow pointers that FlowDirector has queued.
  void SendPointers();
  /// Schedules OnTimer for the next deadline of FlowDirector, unless it is
  /// already scheduled.
  void ArmTimer();
  /// Ends the event loop if a planned stop can finish; otherwise checks again
  /// later.
  void FinishStopIfIdle();
  void FillStats(Stats* stats) const;
  /// Answers the readiness check, and logs when the answer changes.
  HttpResponse HandleReadinessCheck(const HttpRequest& request);

  EventLoop* m_loop;                  ///< Dispatches all callbacks.
  Settings m_settings;                ///< Current settings.
  const PlatformHooks* m_platform;    ///< Parsers and packet builders.
  FleetNode m_fleet_node;             ///< Membership in the fleet; targets.
  FlowDirector m_director;            ///< Takes all decisions about packets.
  UdpSocket m_caller_socket;          ///< Packets from and to callers.
  HttpServer m_admin_server;          ///< Readiness check.
  FlowLog m_flow_log;                 ///< Limits log lines about flows.
  bool m_timer_armed = false;         ///< OnTimer is scheduled.
  bool m_reported_ready = false;      ///< Last answer to the readiness check.
  bool m_stopping = false;            ///< A planned stop has begun.
  TimePoint m_stop_earliest;          ///< Routers may send packets until then.
  TimePoint m_stop_deadline;          ///< Stops then even if packets arrive.
  TimePoint m_last_caller_packet_at;  ///< When one last arrived.
  HostProber m_host_prober;           ///< Probes silent agents.
  /// Probes that have ended, by ProbeOutcome.
  std::array<uint64_t, kProbeOutcomeCount> m_probe_counts{};
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_BALANCER_RUNTIME_H_

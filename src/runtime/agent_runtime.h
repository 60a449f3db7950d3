// @file agent_runtime.h The agent process: event handlers around
// AgentForwarder.
#ifndef MEDLARGAUGE_RUNTIME_AGENT_RUNTIME_H_
#define MEDLARGAUGE_RUNTIME_AGENT_RUNTIME_H_

#include "src/forwarding/agent_forwarder.h"
#include "src/runtime/fleet_node.h"
#include "src/runtime/flow_log.h"

namespace medlargauge {

/// Connects AgentForwarder, which takes all decisions about flows, to the event
/// loop: it owns the sockets, timers and HTTP servers of an agent. Not
/// thread-safe.
class AgentRuntime {
 public:
  /// @param loop, platform owned by the caller; must live longer
  /// Precondition: the addresses in `settings` are valid.
  AgentRuntime(EventLoop* loop,
               const Settings& settings,
               const PlatformHooks* platform);
  AgentRuntime(const AgentRuntime&) = delete;
  AgentRuntime& operator=(const AgentRuntime&) = delete;
  ~AgentRuntime();

  /// Binds all sockets and starts the timers.
  /// @return false if a socket cannot be bound; `reason` then says which
  bool Start(Error* reason);

  /// Begins a planned stop. The event loop ends when no request is active, or
  /// shortly before the grace period ends.
  void Stop();

  /// Applies the settings that may change at run time: the grace period of a
  /// stop and the seeds.
  void Reload(const Settings& settings);

 private:
  /// Handles a datagram of a balancer other than a status.
  void OnPeerFrame(TimePoint now, SocketAddress4 from, const PeerFrame& frame);
  /// Answers a FlowQuery of a balancer.
  void AnswerQuery(TimePoint now, uint32_t balancer_ip, ByteView message);
  /// Handles a packet that the backend server has sent.
  void OnServerDatagram(TimePoint now, ByteSpan datagram);
  /// Tells the balancer that the flow is held, if the decision says so.
  void ConfirmFlow(TimePoint now,
                   const ForwarderDecision& decision,
                   const FlowKey& flow);
  /// Logs a request that the backend server failed or refused.
  void LogFailedRequest(TimePoint now,
                        const FlowPacket& packet,
                        const ForwarderDecision& decision);
  /// Sends a packet back to the balancer, with the reason and the load.
  void ReturnToBalancer(TimePoint now,
                        const ForwarderDecision& decision,
                        const FlowPacket& packet,
                        ByteSpan datagram);
  /// Tells the forwarder whether the own failure domain may get new flows.
  void UpdateDomainAdmission(TimePoint now);
  void Tick();
  /// Runs the check by TCP connection whether anything listens at the address
  /// of the backend server.
  void ProbeServer(TimePoint now);
  /// Resets the flows of a backend server that no longer listens.
  void OnServerDown(TimePoint now);
  /// Broadcasts a status if the state of the backend server has changed.
  void AnnounceStateChange(TimePoint now);
  /// Ends the event loop if a planned stop can finish; otherwise checks again
  /// later.
  void FinishStopIfIdle();
  /// Logs that the restriction of the backend server has begun or ended.
  void LogRestriction(TimePoint now);
  void FillStats(Stats* stats) const;
  /// Handles a heartbeat or deregistration of the backend server.
  HttpResponse HandleServerReport(const HttpRequest& request);
  /// Answers the readiness check with 200, or 503 once a planned stop has
  /// begun.
  HttpResponse HandleReadinessCheck(const HttpRequest& request) const;

  EventLoop* m_loop;                ///< Dispatches all callbacks.
  Settings m_settings;              ///< Current settings.
  const PlatformHooks* m_platform;  ///< Parsers and packet builders.
  SocketAddress4 m_server_address;  ///< Address of the backend server.
  uint16_t m_caller_port;           ///< Port at which callers get packets.
  AgentForwarder m_forwarder;       ///< Takes all decisions about flows.
  FleetNode m_fleet_node;           ///< Membership in the fleet.
  UdpSocket m_outbound_socket;      ///< To and from the backend server.
  HttpServer m_report_server;       ///< Heartbeats of the backend server.
  HttpServer m_admin_server;        ///< Readiness check.
  FlowLog m_flow_log;               ///< Limits log lines about flows.
  /// State in the last status.
  AgentState m_announced_state = AgentState::kJoining;
  bool m_was_restricted = false;  ///< The server was, at the last tick.
  int m_probe_fd = -1;            ///< Socket of the current probe; -1 if none.
  TimePoint m_next_probe;         ///< Earliest time of the next probe.
  /// End of the time in which new flows are refused because no process has
  /// told whether the own failure domain is evacuated.
  TimePoint m_unknown_until;
  bool m_stopping = false;    ///< A planned stop has begun.
  TimePoint m_stop_deadline;  ///< Stops then even if requests are active.
  TimePoint m_stop_earliest;  ///< Balancers know of the stop by then.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_AGENT_RUNTIME_H_

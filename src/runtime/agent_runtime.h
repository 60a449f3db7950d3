// @file agent_runtime.h An agent on the operators' platform.
#ifndef MEDLARGAUGE_RUNTIME_AGENT_RUNTIME_H_
#define MEDLARGAUGE_RUNTIME_AGENT_RUNTIME_H_

#include "src/runtime/fleet.h"
#include "src/runtime/flow_log.h"
#include "src/steer/server_gate.h"

namespace medlargauge {

/// Sockets and timers around ServerGate. Not thread-safe.
class AgentRuntime {
 public:
  AgentRuntime(EventLoop* loop,
               const Settings& settings,
               const PlatformHooks* platform);
  AgentRuntime(const AgentRuntime&) = delete;
  AgentRuntime& operator=(const AgentRuntime&) = delete;
  ~AgentRuntime();

  /// Binds everything. @return false with a reason
  bool Start(Error* reason);

  /// Begins a planned stop; ends the loop when the running work is done.
  void Stop();

  /// Takes over what may change while running.
  void Reload(const Settings& settings);

 private:
  void OnFrame(TimePoint now, SocketAddress4 from, const PeerFrame& frame);
  void OnServerDatagram(TimePoint now, ByteSpan datagram);
  void Confirm(TimePoint now,
               const GateDecision& decision,
               const FlowKey& flow);
  void LogAnswer(TimePoint now,
                 const FlowPacket& packet,
                 const GateDecision& decision);
  void SendBack(TimePoint now,
                const GateDecision& decision,
                const FlowPacket& packet,
                ByteSpan datagram);
  void Tick();
  void CheckServer(TimePoint now);
  void OnServerDown(TimePoint now);
  void AnnounceChange(TimePoint now);
  void EndIfIdle();
  void Measure(Stats* stats) const;
  HttpResponse AnswerServer(const HttpRequest& request);
  HttpResponse AnswerCheck(const HttpRequest& request) const;

  EventLoop* m_loop;                ///< Runs everything.
  Settings m_settings;              ///< As read.
  const PlatformHooks* m_platform;  ///< Formats and calls.
  SocketAddress4 m_server;          ///< The backend server.
  uint16_t m_caller_port;           ///< Where callers get their packets.
  ServerGate m_gate;                ///< Decisions.
  FleetNode m_fleet;                ///< Membership.
  UdpSocket m_outbound;             ///< Packets of the backend server.
  HttpServer m_reports;             ///< Heartbeats of the backend server.
  HttpServer m_admin;               ///< Readiness.
  FlowLog m_log;                    ///< Limits lines about flows.
  AgentState m_told = AgentState::kJoining;  ///< State in the last status.
  int m_check_fd = -1;         ///< Connection attempt to the server.
  TimePoint m_check_deadline;  ///< Next attempt.
  bool m_stopping = false;     ///< A planned stop has begun.
  TimePoint m_stop_latest;     ///< Ends at the latest then.
  TimePoint m_stop_earliest;   ///< Balancers have heard of the stop.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_AGENT_RUNTIME_H_

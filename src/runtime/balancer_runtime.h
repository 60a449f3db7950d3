// @file balancer_runtime.h A balancer on the operators' platform.
#ifndef MEDLARGAUGE_RUNTIME_BALANCER_RUNTIME_H_
#define MEDLARGAUGE_RUNTIME_BALANCER_RUNTIME_H_

#include "src/runtime/fleet.h"
#include "src/runtime/flow_log.h"
#include "src/steer/flow_director.h"

namespace medlargauge {

/// Sockets and timers around FlowDirector. Not thread-safe.
class BalancerRuntime {
 public:
  BalancerRuntime(EventLoop* loop,
                  const Settings& settings,
                  const PlatformHooks* platform);

  /// Binds everything. @return false with a reason
  bool Start(Error* reason);

  /// Begins a planned stop; ends the loop when callers have moved on.
  void Stop();

  /// Takes over what may change while running.
  void Reload(const Settings& settings);

 private:
  void OnCallerDatagram(TimePoint now, ByteSpan datagram);
  void OnFrame(TimePoint now, SocketAddress4 from, const PeerFrame& frame);
  void Act(TimePoint now,
           const SteerDecision& decision,
           const FlowPacket& packet,
           ByteView raw);
  void LogDecision(TimePoint now,
                   const SteerDecision& decision,
                   const FlowPacket& packet);
  void RunTimers();
  void SendPointers();
  void ArmTimer();
  void EndIfIdle();
  void Measure(Stats* stats) const;
  HttpResponse AnswerCheck(const HttpRequest& request);

  EventLoop* m_loop;                ///< Runs everything.
  Settings m_settings;              ///< As read.
  const PlatformHooks* m_platform;  ///< Formats and calls.
  FleetNode m_fleet;                ///< Membership and targets.
  FlowDirector m_director;          ///< Decisions.
  UdpSocket m_callers;              ///< Packets of callers.
  HttpServer m_admin;               ///< Readiness.
  FlowLog m_log;                    ///< Limits lines about flows.
  bool m_timer_armed = false;       ///< RunTimers is due.
  bool m_ready = false;             ///< As last told, for the log.
  bool m_stopping = false;          ///< A planned stop has begun.
  TimePoint m_stop_earliest;        ///< Not before: routers still send.
  TimePoint m_stop_latest;          ///< Ends at the latest then.
  TimePoint m_last_packet;          ///< Of a caller.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_BALANCER_RUNTIME_H_

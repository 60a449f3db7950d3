// @file lab_engine.h Discrete-event simulation of one run.
#ifndef MEDLARGAUGE_LAB_LAB_ENGINE_H_
#define MEDLARGAUGE_LAB_LAB_ENGINE_H_

#include <pcg_random.hpp>
#include <random>

#include "lab/lab_state.h"

namespace medlargauge::lab::detail {

/// One-way delay between callers and hosts.
inline constexpr Duration kCallerNetworkDelay = Milliseconds(1);
/// One-way delay between hosts.
inline constexpr Duration kHostNetworkDelay = std::chrono::microseconds(500);
/// Times after its first transmission at which a SYN is sent again.
inline constexpr Duration kFirstSynRetransmission = Milliseconds(200);
inline constexpr Duration kSecondSynRetransmission = Milliseconds(600);
inline constexpr Duration kOpeningTimeout = Milliseconds(1400);
inline constexpr Duration kRetryDelay = Milliseconds(50);
/// Retransmission timeout of other packets; doubles up to the maximum.
inline constexpr Duration kMinRetransmissionTimeout = Milliseconds(200);
inline constexpr Duration kMaxRetransmissionTimeout = Milliseconds(1600);
inline constexpr uint32_t kMaxSynAckTransmissions = 8;
/// A flow counts as astray if at least this many packets, for at least this
/// time, reach only servers that do not have it open.
inline constexpr uint32_t kMisroutedPackets = 3;
inline constexpr Duration kMisroutingBound = Milliseconds(1000);
/// Pause between the requests of a long flow.
inline constexpr Duration kLongFlowPause = Milliseconds(400);
inline constexpr Duration kHeartbeatInterval = Milliseconds(1000);
inline constexpr Duration kReadinessInterval = Milliseconds(500);
/// A draining server serves for at least this long before it deregisters.
inline constexpr Duration kDrainTime = Milliseconds(3000);
/// Time before the load starts.
inline constexpr Duration kSettlingTime = Seconds(3);
/// A draining server may get new flows for this long.
inline constexpr Duration kDrainBound = Seconds(3);
inline constexpr uint32_t kMaxAttempts = 3;
inline constexpr uint16_t kRoutePort = 443;
inline constexpr uint16_t kServerPort = 8000;
inline constexpr uint32_t kBalancerNetwork = 0x0A010000;  ///< 10.1.0.0
inline constexpr uint32_t kAgentNetwork = 0x0A020000;     ///< 10.2.0.0
inline constexpr uint32_t kRouteNetwork = 0xC6120000;     ///< 198.18.0.0
inline constexpr uint32_t kCallerNetwork = 0x64400000;    ///< 100.64.0.0

/// One run. Everything happens in events of one queue, so that a run is
/// deterministic. Not thread-safe.
class Simulation {
 public:
  /// @param scenario, policy owned by the caller; must outlive this object
  Simulation(const Scenario& scenario, const Policy& policy, uint64_t seed)
      : m_scenario(scenario),
        m_policy(policy),
        m_arrival_random(seed),
        m_work_random(seed + 1),
        m_network_random(seed + 2),
        m_fault_random(seed + 3) {}

  /// Simulates the scenario. Call once.
  Result Run() {
    BuildDeployment();
    m_queue.RunUntil(m_queue.Now() + kSettlingTime);
    m_load_start = m_queue.Now();
    ScheduleFaults();
    for (size_t i = 0; i < m_scenario.classes.size(); ++i) {
      m_result.classes[m_scenario.classes[i].name];
      ScheduleArrival(i);
    }
    m_queue.RunUntil(m_load_start + m_scenario.load_duration + Seconds(10));
    return std::move(m_result);
  }

 private:
  // Deployment, in lab_simulation.cc.
  void BuildDeployment();
  void StartBalancer(SimBalancer* balancer);
  void StartAgent(SimAgent* agent);
  RouteTable MakeRouteTable() const;
  /// Runs `action` after each `period` until the run ends.
  void RunEvery(Duration period, const std::function<void()>& action);

  // Faults, in lab_faults.cc.
  void ScheduleFaults();
  void InjectFault(const Fault& fault);
  /// Choose at most as many agents or balancers at random as the fault hits.
  std::vector<SimAgent*> ChooseAgents(const Fault& fault);
  std::vector<SimBalancer*> ChooseBalancers(const Fault& fault);
  /// End a process or server at once and start it again after `downtime`.
  void RestartAgent(SimAgent* agent, Duration downtime);
  void RestartBalancer(SimBalancer* balancer, Duration downtime);
  void RestartServer(SimAgent* agent, Duration downtime);

  // Callers, in lab_callers.cc.
  /// Returns the arrival rate of a class, relative to its mean.
  double ArrivalFactor() const;
  /// Draws the work of a request, without regard to its server.
  Duration DrawWork(const ClassModel& model);
  void ScheduleArrival(size_t class_index);
  void StartRequest(size_t class_index);
  /// Sends a request on an idle flow of its class, or opens a new flow.
  void StartAttempt(uint64_t request_id);
  void OpenFlow(uint64_t request_id);
  void SendOpening(uint64_t flow_id, uint32_t retransmission);
  /// Sends a request and schedules its retransmission.
  void SendRequest(uint64_t flow_id,
                   uint64_t request_id,
                   uint32_t transmission);
  void OnPacketAtCaller(const SimPacket& packet);
  /// Retries a request after a pause, or ends it if it has no attempts left or
  /// must not be repeated.
  /// @param may_have_run whether a server may have executed the request
  void OnAttemptFailed(uint64_t request_id, bool may_have_run);
  /// Notes that an attempt was refused, or that its caller gave up.
  void RecordRefusal(const SimRequest& request);
  void EndRequest(uint64_t request_id, bool answered);
  void CloseFlow(uint64_t flow_id, bool send_fin);
  /// Sends a packet to the balancer that the routers choose, preferably in the
  /// failure domain of the caller.
  void SendToBalancer(const SimPacket& packet, uint32_t domain);

  // Balancers, in lab_balancers.cc.
  void OnPacketAtBalancer(SimBalancer* balancer, const SimPacket& packet);
  void ApplyDecision(SimBalancer* balancer,
                     const DirectorDecision& decision,
                     const SimPacket& packet);
  void ScheduleBalancerTick(SimBalancer* balancer);
  void SendPointers(SimBalancer* balancer);
  /// Updates which balancers are in rotation.
  void CheckReadiness();

  // Agents and servers, in lab_servers.cc.
  /// Sends a status to all balancers.
  void SendStatus(SimAgent* agent);
  void SendStatusTo(SimAgent* agent, SimBalancer* balancer);
  /// Sends a status to one balancer after the other, each at the interval that
  /// the agents of such a fleet use.
  void ScheduleStatus(SimAgent* agent, size_t balancer_index);
  /// Sends a heartbeat from the server of an agent.
  void SendHeartbeat(SimAgent* agent);
  void OnPacketAtAgent(SimAgent* agent,
                       SimBalancer* from,
                       const ForwardHeader& forward_header,
                       const SimPacket& packet);
  /// Tells the balancer that the server has accepted a flow, if `decision` says
  /// so.
  void SendConfirmation(SimAgent* agent,
                        const ForwarderDecision& decision,
                        const FlowKey& key);
  void ReturnPacket(SimAgent* agent,
                    const ForwarderDecision& decision,
                    const SimPacket& packet);
  /// Handles a packet at the server, unless it has restarted since
  /// `generation`.
  void OnPacketAtServer(SimAgent* agent,
                        const SimPacket& packet,
                        uint64_t generation);
  /// Sends the SYN-ACK of a half-open flow and schedules its retransmission.
  void SendSynAck(SimAgent* agent, const FlowKey& key, uint32_t transmission);
  /// Counts flows as astray whose packets reach only servers that do not have
  /// them open. `held` tells whether this server has the flow open.
  void TrackMisrouting(const SimAgent* agent, const FlowKey& key, bool held);
  void SendFromServer(SimAgent* agent, const SimPacket& packet);
  /// Resets a flow from the server.
  void ResetFromServer(SimAgent* agent, const FlowKey& key);
  /// Works on a request in a slot; then answers it and starts the next one.
  void StartWork(SimAgent* agent, const SimPacket& packet);
  void SendAnswer(SimAgent* agent,
                  const SimPacket& packet,
                  bool refused,
                  bool failed);
  SimAgent* AgentAt(uint32_t ip);
  SimBalancer* BalancerAt(uint32_t ip);

  /// Returns the packet as the bytes that a balancer stores.
  static ByteView BytesOf(const SimPacket& packet) {
    return {reinterpret_cast<const uint8_t*>(&packet), sizeof(packet)};
  }
  /// Draws whether the next packet is lost.
  bool DrawLoss() {
    return m_loss_probability > 0 &&
           std::bernoulli_distribution(m_loss_probability)(m_network_random);
  }
  /// Runs `on_arrival` when a packet arrives, unless it is lost.
  void SendPacket(Duration delay, std::function<void()> on_arrival) {
    if (!DrawLoss()) {
      m_queue.After(delay, std::move(on_arrival));
    }
  }
  TimePoint Now() const { return m_queue.Now(); }
  /// Returns the window of requests that arrived at a time.
  ClassResult& WindowAt(TimePoint arrived_at) {
    const auto index =
        static_cast<size_t>((arrived_at - m_load_start) / Seconds(2));
    if (m_result.windows.size() <= index) {
      m_result.windows.resize(index + 1);
    }
    return m_result.windows[index];
  }

  const Scenario& m_scenario;     ///< Scenario of the run.
  const Policy& m_policy;         ///< Policy of the run.
  pcg32 m_arrival_random;         ///< Arrivals; the same for every policy.
  pcg32 m_work_random;            ///< Work times; the same for every policy.
  pcg32 m_network_random;         ///< Packet loss and choices of faults.
  pcg32 m_fault_random;           ///< Which requests fail or are refused.
  EventQueue m_queue;             ///< Simulated time and pending events.
  TimePoint m_load_start;         ///< When the first requests may arrive.
  double m_loss_probability = 0;  ///< Probability that a packet is lost.
  double m_arrival_factor = 1;    ///< Factor on the arrival rates.
  std::vector<std::unique_ptr<SimBalancer>> m_balancers;  ///< By address.
  std::vector<std::unique_ptr<SimAgent>> m_agents;        ///< By address.
  std::map<uint64_t, SimRequest> m_requests;              ///< By id.
  std::map<uint64_t, SimFlow> m_flows;                    ///< By id.
  std::map<FlowKey, uint64_t> m_flow_ids;  ///< Flows that are not closed.
  /// Ids of flows without a request by class; may include closed flows.
  std::map<size_t, std::deque<uint64_t>> m_idle_flows;
  uint64_t m_next_request_id = 1;  ///< Id of the next request.
  uint64_t m_next_flow_id = 1;     ///< Id of the next flow.
  Result m_result;                 ///< Result so far.
};

}  // namespace medlargauge::lab::detail

#endif  // MEDLARGAUGE_LAB_LAB_ENGINE_H_

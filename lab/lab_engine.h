// @file lab_engine.h One run of the model; its parts are in files by duty.
#ifndef MEDLARGAUGE_LAB_LAB_ENGINE_H_
#define MEDLARGAUGE_LAB_LAB_ENGINE_H_

#include <pcg_random.hpp>
#include <random>

#include "lab/lab_parts.h"

namespace medlargauge::lab::detail {

inline constexpr Duration kCallerDelay = Milliseconds(1);
inline constexpr Duration kInsideDelay = std::chrono::microseconds(500);
inline constexpr Duration kFirstCopy = Milliseconds(200);
inline constexpr Duration kSecondCopy = Milliseconds(600);
inline constexpr Duration kOpeningLimit = Milliseconds(1400);
inline constexpr Duration kRetryPause = Milliseconds(50);
inline constexpr Duration kResendFirst = Milliseconds(200);
inline constexpr Duration kResendLimit = Milliseconds(1600);
inline constexpr uint32_t kServerResends = 8;  ///< Of an answer to an opening.
/// A flow is broken if this many packets in this time reach only others.
inline constexpr uint32_t kAstrayPackets = 3;
inline constexpr Duration kAstrayTime = Milliseconds(1000);
inline constexpr Duration kPause =
    Milliseconds(400);  ///< Between requests of a flow.
inline constexpr Duration kStatusInterval = Milliseconds(300);
inline constexpr Duration kReportInterval = Milliseconds(1000);
inline constexpr Duration kCheckInterval = Milliseconds(500);
inline constexpr Duration kDrainTime = Milliseconds(3000);
inline constexpr Duration kWarmup = Seconds(3);  ///< Before the load.
inline constexpr Duration kDrainBound = Seconds(3);
inline constexpr uint32_t kMaxAttempts = 3;
inline constexpr uint16_t kRoutePort = 443;
inline constexpr uint16_t kServerPort = 8000;
inline constexpr uint32_t kBalancerNet = 0x0A010000;
inline constexpr uint32_t kAgentNet = 0x0A020000;
inline constexpr uint32_t kRouteNet = 0xC6120000;
inline constexpr uint32_t kCallerNet = 0x64400000;

/// One run. All of it hangs on one event queue.
class World {
 public:
  World(const Scenario& scenario, const Policy& policy, uint64_t seed)
      : m_scenario(scenario),
        m_policy(policy),
        m_arrivals(seed),
        m_work(seed + 1),
        m_network(seed + 2) {}

  Result Run() {
    Build();
    m_queue.RunUntil(m_queue.Now() + kWarmup);
    m_start = m_queue.Now();
    ScheduleTroubles();
    for (size_t i = 0; i < m_scenario.classes.size(); ++i) {
      m_result.classes[m_scenario.classes[i].name];
      ScheduleArrival(i);
    }
    m_queue.RunUntil(m_start + m_scenario.length + Seconds(10));
    return std::move(m_result);
  }

 private:
  // Set-up.
  void Build();
  void StartBalancer(LabBalancer* balancer);
  void StartAgent(LabAgent* agent);
  RouteTable MakeTable() const;
  void Repeat(Duration period, const std::function<void()>& body);
  void ScheduleTroubles();
  void Begin(const Trouble& trouble);
  std::vector<LabAgent*> ChooseAgents(const Trouble& trouble);
  std::vector<LabBalancer*> ChooseBalancers(const Trouble& trouble);
  void RestartAgent(LabAgent* agent, Duration after);
  void RestartBalancer(LabBalancer* balancer, Duration after);
  void RestartServer(LabAgent* agent, Duration after);

  // Callers.
  void ScheduleArrival(size_t class_index);
  void Ask(size_t class_index);
  void Attempt(uint64_t request);
  void OpenFlow(uint64_t request);
  void SendOpening(uint64_t flow, uint32_t copy);
  void SendRequest(uint64_t flow, uint64_t request, uint32_t sent);
  void CallerGets(const LabPacket& packet);
  void FailAttempt(uint64_t request, bool may_have_run);
  void Finish(uint64_t request, bool answered);
  void EndFlow(uint64_t flow, bool say_so);
  void SendToRouter(const LabPacket& packet, uint32_t domain);

  // Balancers.
  void BalancerGets(LabBalancer* balancer, const LabPacket& packet);
  void Act(LabBalancer* balancer,
           const DirectorDecision& decision,
           const LabPacket& packet);
  void RunBalancerTimers(LabBalancer* balancer);
  void SendPointers(LabBalancer* balancer);
  void CheckBalancers();

  // Agents and servers.
  void SendStatus(LabAgent* agent);
  void Report(LabAgent* agent);
  void AgentGets(LabAgent* agent,
                 LabBalancer* from,
                 const ForwardHeader& header,
                 const LabPacket& packet);
  void Confirm(LabAgent* agent,
               const ForwarderDecision& decision,
               const FlowKey& key);
  void ReturnPacket(LabAgent* agent,
                    const ForwarderDecision& decision,
                    const LabPacket& packet);
  void ServerGets(LabAgent* agent,
                  const LabPacket& packet,
                  uint64_t generation);
  void ServerAccepts(LabAgent* agent, const FlowKey& key, uint32_t sent);
  void NoteArrival(const LabAgent* agent, const FlowKey& key, bool held);
  void ServerSends(LabAgent* agent, const LabPacket& packet);
  void ServerWorks(LabAgent* agent, const LabPacket& packet);
  void ServerAnswers(LabAgent* agent,
                     const LabPacket& packet,
                     bool refused,
                     bool failed);
  LabAgent* AgentAt(uint32_t ip);
  LabBalancer* BalancerAt(uint32_t ip);

  bool IsLost() {
    return m_loss > 0 && std::bernoulli_distribution(m_loss)(m_network);
  }
  /// Runs `action` after a packet's way, unless it is lost.
  void Travel(Duration delay, std::function<void()> action) {
    if (!IsLost()) {
      m_queue.After(delay, std::move(action));
    }
  }
  TimePoint Now() const { return m_queue.Now(); }
  ClassResult& Window(TimePoint asked) {
    const auto index = static_cast<size_t>((asked - m_start) / Seconds(2));
    if (m_result.windows.size() <= index) {
      m_result.windows.resize(index + 1);
    }
    return m_result.windows[index];
  }

  const Scenario& m_scenario;  ///< What to play.
  const Policy& m_policy;      ///< What decides.
  pcg32 m_arrivals;            ///< The same for every policy.
  pcg32 m_work;                ///< Work of each request.
  pcg32 m_network;             ///< Loss and choices of troubles.
  EventQueue m_queue;          ///< Time.
  TimePoint m_start;           ///< Of the load.
  double m_loss = 0;           ///< Probability of a lost packet.
  double m_burst = 1;          ///< Factor on the arrivals.
  std::vector<std::unique_ptr<LabBalancer>> m_balancers;  ///< Stable.
  std::vector<std::unique_ptr<LabAgent>> m_agents;        ///< Stable.
  std::map<uint64_t, LabRequest> m_requests;              ///< By number.
  std::map<uint64_t, LabFlow> m_flows;                    ///< By number.
  std::map<FlowKey, uint64_t> m_flow_of;                  ///< By ends.
  std::map<size_t, std::deque<uint64_t>> m_idle;  ///< Open flows by class.
  uint64_t m_next_request = 1;
  uint64_t m_next_flow = 1;
  Result m_result;
};

}  // namespace medlargauge::lab::detail

#endif  // MEDLARGAUGE_LAB_LAB_ENGINE_H_

// @file world.h Small fakes at the interfaces of the decisions: a spraying
// fabric, links with faults, backend servers and callers.
#ifndef MEDLARGAUGE_SCENARIO_WORLD_H_
#define MEDLARGAUGE_SCENARIO_WORLD_H_

#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "scenario/event_queue.h"
#include "scenario/world_type.h"
#include "src/locate/agent.h"
#include "src/routing/balancer.h"
#include "src/target/target_table.h"

namespace medlargauge {

/// Drives agents and balancers in simulated time. Equal options and calls give
/// equal runs on every machine. Not thread-safe.
class World {
 public:
  /// An agent with its backend server.
  struct AgentHost {
    std::string name;              ///< Unique name.
    std::string service;           ///< Its service.
    std::string version;           ///< Its version.
    std::string domain;            ///< Its failure domain.
    uint64_t incarnation = 0;      ///< Of the last start.
    uint64_t epoch = 0;            ///< Counts starts of the process.
    std::unique_ptr<Agent> agent;  ///< Null while crashed.
    TargetTable book;              ///< Targets in force at the agent.
    FakeServer server;             ///< Beside the agent.
    TimePoint paused_until;        ///< Processes nothing before this.
    std::vector<std::function<void()>> backlog;  ///< Arrived while paused.
    bool leave_when_drained = false;             ///< Stop after the drain.
    TimePoint drain_deadline;                    ///< Stops then at the latest.
    TimePoint drain_started;                     ///< For the check of new work.
    bool reports_no_load = false;  ///< Its reports to peers say 0.
    uint64_t admitted_here = 0;    ///< Connections ever accepted.
  };
  /// A balancer.
  struct BalancerHost {
    std::string name;                    ///< Unique name.
    uint64_t incarnation = 0;            ///< Of the last start.
    std::unique_ptr<Balancer> balancer;  ///< Null while stopped.
    TargetTable book;                    ///< Targets in force here.
    bool in_fabric = false;              ///< Gets packets.
    /// Baseline only: flow table of this balancer.
    std::map<FlowId, MemberId> local_table;
    /// Until when changes of an agent are hidden from this balancer.
    std::map<MemberId, TimePoint> hidden_until;
    std::map<MemberId, std::pair<uint64_t, uint32_t>> seen;  ///< Last facts.
  };

  explicit World(WorldOptions options);
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  ~World();

  /// Adds a balancer and starts it.
  void AddBalancer(std::string_view name);
  /// Stops a balancer at once; packets on their way to it are lost.
  void CrashBalancer(std::string_view name);
  /// Starts a stopped balancer with nothing but what peers tell it.
  void StartBalancer(std::string_view name);
  /// Takes a balancer out of the fabric, then stops it: a planned restart.
  void RestartBalancer(std::string_view name, Duration away);

  /// Adds a backend server with its agent and starts both.
  void AddServer(std::string_view name,
                 std::string_view service,
                 std::string_view version,
                 std::string_view domain);
  /// Drains a server; it leaves when its last flow ends.
  void Drain(std::string_view name, Duration deadline);
  /// Starts server and agent afresh. Precondition: it left or crashed.
  void StartServer(std::string_view name);
  /// Kills the agent; its backend server lives on.
  void CrashAgent(std::string_view name);
  /// Starts an agent beside its living backend server.
  void RecoverAgent(std::string_view name);
  /// Replaces the agent by a successor that takes over its flow table.
  void UpgradeAgent(std::string_view name, Duration away);
  /// Kills the whole host.
  void CrashServer(std::string_view name);
  /// Stops the agent's process for a while; packets wait in its sockets.
  void PauseAgent(std::string_view name, Duration length);
  /// Cuts the link in one direction, or heals it.
  void SetLinkCut(std::string_view from, std::string_view to, bool cut);
  /// Replaces the faults of the network.
  void SetFaults(const NetworkFaults& faults) { m_options.faults = faults; }
  /// Sets whether a backend server sheds load.
  void SetShedding(std::string_view name, bool shedding);

  /// Makes an agent report no open flows to its peers, or the truth again.
  void SetReportsNoLoad(std::string_view name, bool lies);

  /// Puts a target in force: every member learns it within `spread`.
  void SetTarget(const ClassTarget& target, Duration spread);

  /// Starts one flow now.
  void StartFlow(const FlowPlan& plan);
  /// Starts a flow that reuses the ports of the last ended flow of its class.
  void StartFlowOnUsedPort(const FlowPlan& plan);

  /// Runs for `length` of simulated time.
  void Run(Duration length);

  /// Returns the counts so far.
  const WorldCounts& Counts() const { return m_counts; }
  /// Returns the events, to schedule own ones.
  EventQueue& Events() { return m_events; }
  /// Returns the random generator of the world.
  pcg32& Random() { return m_random; }
  /// Returns the agents in the order they were added.
  const std::vector<std::unique_ptr<AgentHost>>& Agents() const {
    return m_agents;
  }
  /// Returns the balancers in the order they were added.
  const std::vector<std::unique_ptr<BalancerHost>>& Balancers() const {
    return m_balancers;
  }
  /// Returns an agent host. Precondition: it exists.
  AgentHost& FindAgent(std::string_view name);
  /// Returns the number of flows that have not ended.
  size_t OpenFlows() const;
  /// Returns lines about each violated promise, oldest first.
  const std::vector<std::string>& Trace() const { return m_trace; }
  /// Returns a uniform number below 1.
  double Uniform();
  /// Returns an exponential duration with this mean.
  Duration Exponential(Duration mean);
  /// Adds the delivered agents' counters. @return their sum
  AgentCounters SumCounters() const;

 private:
  struct CallerFlow;

  // Network.
  bool Chance(double probability);
  Duration Jittered(Duration delay);
  void Transmit(MemberId from, MemberId to, std::function<void()> arrival);
  bool IsCut(MemberId from, MemberId to) const;
  void SprayPacket(const PacketInfo& packet, uint64_t instance);
  void ArriveAtBalancer(BalancerHost* host,
                        const PacketInfo& packet,
                        uint64_t instance);
  RouteVerdict RouteByBaseline(BalancerHost* host, const PacketInfo& packet);
  Verdict DecideByBaseline(AgentHost* host,
                           const PacketInfo& packet,
                           const Envelope& envelope);
  void ArriveAtAgent(AgentHost* host,
                     const PacketInfo& packet,
                     uint64_t instance,
                     const Envelope& envelope);
  void WhenRunning(AgentHost* host, std::function<void()> action);
  void SendGroupMessages(MemberId from,
                         std::vector<OutgoingGroupMessage> messages);
  void ArriveGroupMessage(MemberId to, const proto::GroupMessage& message);
  bool IsHiddenFrom(BalancerHost* host, const proto::GroupMessage& message);

  // Members.
  void StartAgentProcess(AgentHost* host, StartKind kind);
  uint64_t NewIncarnation() const;
  void StopAgentProcess(AgentHost* host);
  void Announce(const AgentHost& host);
  void TickAgents();
  void TickBalancers();
  void ScheduleTick();
  void FinishDrains(AgentHost* host);
  void DeliverTarget(const ClassTarget& target, TargetTable* book);
  void ApplyTargets(AgentHost* host);
  bool IsRunning(const AgentHost& host) const;
  void NoteChange();
  AgentHost* AgentById(MemberId id);
  BalancerHost* BalancerById(MemberId id);
  BalancerHost& FindBalancer(std::string_view name);

  // Backend servers.
  void DeliverToServer(AgentHost* host,
                       const PacketInfo& packet,
                       uint64_t instance,
                       const Envelope& envelope);
  void NoteConnection(uint64_t instance, const AgentHost& host, bool open);
  void AcceptConnection(AgentHost* host,
                        const PacketInfo& packet,
                        uint64_t instance);
  void ExecuteRequest(AgentHost* host,
                      const PacketInfo& packet,
                      uint64_t instance);
  void AnswerCaller(uint64_t instance, std::function<void(CallerFlow*)> answer);

  // Callers.
  CallerFlow* NewFlow(const FlowPlan& plan, const FiveTuple& tuple);
  void SendOpening(uint64_t instance, int attempt);
  void SendRequest(uint64_t instance, uint32_t number, int attempt);
  void SendClose(uint64_t instance, int attempt);
  void OnAccepted(CallerFlow* flow);
  void OnAnswered(CallerFlow* flow, uint32_t number);
  void OnReset(CallerFlow* flow);
  void EndFlow(CallerFlow* flow);
  void Break(CallerFlow* flow, std::string_view why);
  void Violate(std::string_view what,
               const CallerFlow& flow,
               std::string_view where);

  WorldOptions m_options;  ///< As constructed, faults change.
  EventQueue m_events;     ///< Simulated time.
  pcg32 m_random;          ///< All randomness.
  std::vector<std::unique_ptr<AgentHost>> m_agents;        ///< In order.
  std::vector<std::unique_ptr<BalancerHost>> m_balancers;  ///< In order.
  std::map<MemberId, AgentHost*> m_agent_index;            ///< By id.
  std::map<MemberId, BalancerHost*> m_balancer_index;      ///< By id.
  std::set<std::pair<MemberId, MemberId>> m_cuts;          ///< One-way cuts.
  TargetTable m_targets;  ///< Accepted by the key-value service.
  std::vector<std::unique_ptr<CallerFlow>> m_flows;  ///< By instance.
  std::map<std::string, FiveTuple> m_last_ended;     ///< By class.
  uint32_t m_next_port = 0;          ///< Next unused caller port.
  size_t m_open_flows = 0;           ///< Flows that have not ended.
  uint64_t m_next_revision = 1;      ///< Of the next target.
  TimePoint m_change_until;          ///< Hops count as "change" before this.
  WorldCounts m_counts;              ///< Only grow.
  std::vector<std::string> m_trace;  ///< Violations.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_WORLD_H_

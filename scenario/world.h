// @file world.h Simulated world around the state machines of agents and
// balancers: a fabric that sprays packets over the balancers, links with
// faults, backend servers and callers.
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
/// equal runs on every host. Hosts are identified by their names, and except
/// where noted, methods that take a name require that the host exists.
/// Not thread-safe.
class World {
 public:
  /// A host with a backend server and its agent.
  struct AgentHost {
    std::string name;              ///< Unique name.
    std::string service;           ///< Service of the backend server.
    std::string version;           ///< Version of the backend server.
    std::string domain;            ///< Failure domain of the host.
    uint64_t incarnation = 0;      ///< Incarnation of the newest process.
    uint64_t process_epoch = 0;    ///< Increases at each start and stop.
    std::unique_ptr<Agent> agent;  ///< Null while it is stopped.
    TargetTable targets;           ///< Targets known to the agent.
    SimulatedServer server;        ///< Backend server of the host.
    TimePoint paused_until;        ///< The agent is paused until then.
    std::vector<std::function<void()>> backlog;  ///< Deferred while paused.
    bool leave_when_drained = false;             ///< Stops when the drain ends.
    TimePoint drain_deadline;      ///< The drain ends then at the latest.
    TimePoint drain_started;       ///< Zero if it has not been drained.
    bool reports_no_load = false;  ///< Its heartbeats report no open flows.
    uint64_t admitted_connections = 0;  ///< Accepted since it was added.
  };
  /// A host with a balancer.
  struct BalancerHost {
    std::string name;                    ///< Unique name.
    uint64_t incarnation = 0;            ///< Incarnation of the newest process.
    std::unique_ptr<Balancer> balancer;  ///< Null while stopped.
    TargetTable targets;                 ///< Targets known to the balancer.
    bool in_fabric = false;              ///< The fabric sends packets to it.
    /// Agent of each flow. Used by RoutingScheme::kLocalTable only.
    std::map<FlowId, MemberId> local_table;
    /// Heartbeats of an agent are hidden from the balancer until then, which
    /// simulates NetworkFaults::balancer_lag.
    std::map<MemberId, TimePoint> hidden_until;
    /// Incarnation and state in the last heartbeat of each agent.
    std::map<MemberId, std::pair<uint64_t, uint32_t>> seen_facts;
  };

  explicit World(WorldOptions options);
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  ~World();

  /// Adds a balancer and starts it. The fabric sends packets to it at once.
  /// Precondition: `name` is not in use.
  void AddBalancer(std::string_view name);
  /// Stops a balancer at once. Packets that are sent to it are lost until the
  /// fabric's health check removes it.
  void CrashBalancer(std::string_view name);
  /// Starts a balancer with the current targets and members, but without any
  /// other state of its earlier process. The fabric sends packets to it after a
  /// warm-up. Precondition: it is stopped.
  void StartBalancer(std::string_view name);
  /// Restarts a balancer as planned: takes it out of the fabric, stops it, and
  /// starts it again `away` after the call.
  void RestartBalancer(std::string_view name, Duration away);

  /// Adds a host with a backend server and its agent and starts both.
  /// Precondition: `name` is not in use.
  void AddServer(std::string_view name,
                 std::string_view service,
                 std::string_view version,
                 std::string_view domain);
  /// Drains a backend server. It leaves and stops when its last flow ends or
  /// `deadline` after the call, whichever comes first. No effect if
  /// its agent is stopped.
  void Drain(std::string_view name, Duration deadline);
  /// Starts a backend server without connections and its agent without flows.
  /// Precondition: both are stopped.
  void StartServer(std::string_view name);
  /// Stops an agent at once if it runs. Its backend server continues to run.
  void CrashAgent(std::string_view name);
  /// Starts an agent after a crash, without the flow table of the earlier
  /// process. No effect if the agent runs or its backend server is stopped.
  void RecoverAgent(std::string_view name);
  /// Stops an agent and starts a new process after `away`, which imports the
  /// flow table of the old one. Precondition: the agent runs.
  void UpgradeAgent(std::string_view name, Duration away);
  /// Stops a backend server and its agent at once.
  void CrashServer(std::string_view name);
  /// Pauses an agent's process for `length`. Packets and messages that arrive
  /// meanwhile are handled when it resumes.
  void PauseAgent(std::string_view name, Duration length);
  /// Cuts the link between two members in one direction if `cut` is set, and
  /// restores it otherwise.
  void SetLinkCut(std::string_view from, std::string_view to, bool cut);
  /// Replaces the faults of the network from now on.
  void SetFaults(const NetworkFaults& faults) { m_options.faults = faults; }
  /// Sets whether a backend server sheds load. No effect while its agent is
  /// stopped.
  void SetShedding(std::string_view name, bool shedding);

  /// Sets whether an agent's heartbeats report 0 open flows to its peers
  /// instead of the true number.
  void SetReportsNoLoad(std::string_view name, bool reports_no_load);

  /// Sets the target of a class, as the next revision. Every running member
  /// learns it after a random delay of up to `spread`.
  void SetTarget(const ClassTarget& target, Duration spread);

  /// Starts one flow now. Precondition: its class has a target.
  void StartFlow(const FlowPlan& plan);
  /// Starts a flow now that reuses the addresses, ports and transport of the
  /// flow of its class that ended last. Starts an ordinary flow if there is
  /// none whose ports have not been reused yet.
  void StartFlowOnReusedPorts(const FlowPlan& plan);

  /// Advances the simulated time by `length` and runs all events due by then.
  void Run(Duration length);

  /// Returns the counts since the construction.
  const WorldCounts& Counts() const { return m_counts; }
  /// Returns the event queue, to which the user may add events.
  EventQueue& Events() { return m_events; }
  /// Returns the random generator. Drawing from it changes the run.
  pcg32& Random() { return m_random; }
  /// Returns the hosts with agents in the order in which they were added.
  const std::vector<std::unique_ptr<AgentHost>>& Agents() const {
    return m_agents;
  }
  /// Returns the hosts with balancers in the order in which they were added.
  const std::vector<std::unique_ptr<BalancerHost>>& Balancers() const {
    return m_balancers;
  }
  /// Returns a host with an agent. Throws std::out_of_range if it is unknown.
  AgentHost& FindAgent(std::string_view name);
  /// Returns the number of flows that have not ended.
  size_t OpenFlows() const;
  /// Returns a line about each violation of an invariant, oldest first.
  /// Violations counted in WorldCounts::reverts have none.
  const std::vector<std::string>& ViolationLog() const { return m_violations; }
  /// Returns a random number, uniformly distributed from 0 to below 1.
  double Uniform();
  /// Returns a random duration, exponentially distributed with this mean.
  Duration Exponential(Duration mean);
  /// Returns the sum of the counters of all running agents. `flows_taken_back`
  /// and `backups_skipped` are left at 0.
  AgentCounters SumCounters() const;

 private:
  struct CallerFlow;

  // Network.
  /// Returns true with this probability.
  bool DrawBool(double probability);
  /// Varies a delay by up to a fifth and adds the delay of a reordered packet.
  Duration AddJitter(Duration delay);
  /// Schedules `arrival` after the delay between hosts, unless the link is cut
  /// or the packet is lost; twice if it is duplicated.
  void Transmit(MemberId from, MemberId to, std::function<void()> arrival);
  bool IsLinkCut(MemberId from, MemberId to) const;
  /// Sends a caller's packet to a random balancer in the fabric, twice if it is
  /// duplicated.
  void SprayPacket(const PacketInfo& packet, uint64_t instance);
  void HandlePacketAtBalancer(BalancerHost* host,
                              const PacketInfo& packet,
                              uint64_t instance);
  /// Returns the route of a packet under a baseline scheme.
  RouteVerdict RouteByBaseline(BalancerHost* host, const PacketInfo& packet);
  /// Returns an agent's verdict under a baseline scheme, without its flow
  /// table.
  Verdict DecideByBaseline(AgentHost* host,
                           const PacketInfo& packet,
                           const Envelope& envelope);
  void HandlePacketAtAgent(AgentHost* host,
                           const PacketInfo& packet,
                           uint64_t instance,
                           const Envelope& envelope);
  /// Calls `action` now, or when the agent resumes if it is paused. Drops it if
  /// the agent is stopped.
  void RunOrDefer(AgentHost* host, std::function<void()> action);
  void SendGroupMessages(MemberId from,
                         std::vector<OutgoingGroupMessage> messages);
  void HandleGroupMessage(MemberId to, const proto::GroupMessage& message);
  /// Returns whether a heartbeat is hidden from a lagging balancer. Starts a
  /// new lag if it is the first to report a change of its sender.
  bool IsHiddenByLag(BalancerHost* host, const proto::GroupMessage& message);

  // Members.
  void StartAgentProcess(AgentHost* host, StartKind kind);
  uint64_t NewIncarnation() const;
  void StopAgentProcess(AgentHost* host);
  /// Makes an agent and the other members known to each other, after the delay
  /// of gossip. The agent knows the balancers at once.
  void AnnounceAgent(const AgentHost& host);
  void TickAgents();
  void TickBalancers();
  void ScheduleTick();
  /// Lets an agent leave and stops it and its server if its drain has ended.
  void StopIfDrained(AgentHost* host);
  /// Merges a target and counts a revert if its revision decreases.
  void DeliverTarget(const ClassTarget& target, TargetTable* targets);
  void ApplyTargets(AgentHost* host);
  bool IsRunning(const AgentHost& host) const;
  /// Counts packets from now on as delivered soon after a change.
  void StartChangeWindow();
  AgentHost* FindAgentById(MemberId id);
  BalancerHost* FindBalancerById(MemberId id);
  BalancerHost& FindBalancer(std::string_view name);

  // Backend servers.
  void DeliverToServer(AgentHost* host,
                       const PacketInfo& packet,
                       uint64_t instance,
                       const Envelope& envelope);
  /// Calls WorldOptions::on_connection if it is set.
  void ReportConnection(uint64_t instance, const AgentHost& host, bool open);
  void AcceptConnection(AgentHost* host,
                        const PacketInfo& packet,
                        uint64_t instance);
  void ExecuteRequest(AgentHost* host,
                      const PacketInfo& packet,
                      uint64_t instance);
  /// Runs `answer` at the caller after the delay to callers, unless it is lost.
  void SendToCaller(uint64_t instance, std::function<void(CallerFlow*)> answer);

  // Callers.
  /// Adds a flow without sending anything yet.
  CallerFlow* CreateFlow(const FlowPlan& plan, const FiveTuple& tuple);
  void SendOpening(uint64_t instance, int attempt);
  void SendRequest(uint64_t instance, uint32_t number, int attempt);
  void SendClose(uint64_t instance, int attempt);
  void OnAccepted(CallerFlow* flow);
  void OnAnswered(CallerFlow* flow, uint32_t number);
  void OnReset(CallerFlow* flow);
  void EndFlow(CallerFlow* flow);
  /// Counts a flow as lost with its server or else as broken, and ends it.
  void FailFlow(CallerFlow* flow, std::string_view why);
  void RecordViolation(std::string_view what,
                       const CallerFlow& flow,
                       std::string_view where);

  WorldOptions m_options;  ///< `faults` is replaced by SetFaults.
  EventQueue m_events;     ///< Scheduled events and the time.
  pcg32 m_random;          ///< Source of all random numbers.
  std::vector<std::unique_ptr<AgentHost>> m_agents;  ///< In the order added.
  std::vector<std::unique_ptr<BalancerHost>> m_balancers;  ///< Same order.
  std::map<MemberId, AgentHost*> m_agent_index;            ///< By member id.
  std::map<MemberId, BalancerHost*> m_balancer_index;      ///< By member id.
  std::set<std::pair<MemberId, MemberId>> m_cut_links;     ///< From, to.
  TargetTable m_targets;  ///< Targets in the key-value service.
  std::vector<std::unique_ptr<CallerFlow>> m_flows;  ///< Indexed by instance.
  std::map<std::string, FiveTuple> m_last_ended_tuples;  ///< By class.
  uint32_t m_next_port = 0;       ///< Number of caller ports used so far.
  size_t m_open_flows = 0;        ///< Number of flows that have not ended.
  uint64_t m_next_revision = 1;   ///< Revision of the next target.
  TimePoint m_change_window_end;  ///< See kChangeWindow.
  WorldCounts m_counts;           ///< Counts since the construction.
  std::vector<std::string> m_violations;  ///< One line for each violation.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_WORLD_H_

// @file reset_world.h A small fleet with one flow, for the reset model.
#ifndef MEDLARGAUGE_LAB_RESET_WORLD_H_
#define MEDLARGAUGE_LAB_RESET_WORLD_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/forwarding/agent_forwarder.h"
#include "src/forwarding/fleet_discovery.h"
#include "src/forwarding/flow_director.h"

namespace medlargauge::lab {

/// How the flow opens.
enum class ModelOpening : uint8_t {
  kPlain,  ///< One server answers.
  /// The first server answers late, so that the balancer asks a second one. The
  /// caller accepts the first one.
  kRetryFirst,
  kRetrySecond,  ///< The same, and the caller accepts the second one.
  /// The same, as the first one's answer, which the balancer was told of, is
  /// lost on its way to the caller.
  kRetryCrossed,
  /// The first answer is lost on its way to the caller, which sends a copy of
  /// its packet through the other balancer and accepts the first server.
  kCopyFirst,
  kCopySecond,  ///< The same, and the caller accepts the second server.
  /// The first two answers are late. The balancer asks a second server, and the
  /// caller's copy reaches a third one. The caller accepts the first to answer.
  kThreeFirst,
  kThreeSecond,  ///< The same, with other delays.
};

/// What a model consists of.
struct ModelConfig {
  uint32_t agents = 3;  ///< Number of agents, each with a backend server.
  /// How many of the agents, the last ones, serve another service. The route
  /// can be moved to it and back.
  uint32_t other_agents = 0;
  uint32_t balancers = 2;  ///< Number of balancers.
  uint32_t seeds = 2;      ///< The first balancers, which processes join by.
  ModelOpening opening = ModelOpening::kPlain;  ///< How the flow opens.
  /// Difference between the initial sequence numbers of two servers.
  uint32_t initial_sequence_distance = 0x20000000;
  uint16_t caller_port = 40001;  ///< Varies the order of searches.
  /// Searches ask one agent and query the others; otherwise they ask one after
  /// the other, as in fleets below DirectorLimits::min_agents_to_query.
  bool use_queries = false;
  /// Names of the actions that may happen; empty: all.
  std::vector<std::string> actions;
};

/// What happens in a model. `first` and `second` are fields of ModelEvent.
enum class ModelAction : uint8_t {
  kKill,         ///< Process `first` ends.
  kLeave,        ///< It announces a planned stop; its end is planned then.
  kStart,        ///< It starts, without state.
  kRestart,      ///< It ends and starts at once.
  kCrashServer,  ///< The backend server of agent `first` ends.
  kBootServer,   ///< It starts, without flows.
  kCut,          ///< Processes `first` and `second` lose each other.
  kHeal,         ///< They reach each other again.
  kMoveCaller,   ///< Routers select another balancer for the flow.
  kRequest,      ///< The caller sends a request.
  /// Balancer `first`, which was suspended until now, handles a copy of the
  /// opening packet.
  kLateCopy,
  kLateReport,     ///< A heartbeat of an earlier start of the server arrives.
  kLateDeparture,  ///< A deregistration of an earlier start arrives.
  kForgetAgent,    ///< The store loses the registration of agent `first`.
  kForgetAgents,   ///< The store loses the registrations of all agents.
  kSilenceStore,   ///< The store answers no more calls.
  kRestoreStore,   ///< It answers again.
  kMoveRoute,      ///< The operators move the route to the other service.
  kWait,           ///< `first` milliseconds pass.
};

/// One event of a sequence.
struct ModelEvent {
  ModelAction action = ModelAction::kWait;
  uint32_t first = 0;   ///< Process index or milliseconds.
  uint32_t second = 0;  ///< Process index.
};

/// What a sequence of events shows.
enum class FindingKind : uint8_t {
  kReset,     ///< A flow was reset that its server holds.
  kAstray,    ///< Packets of a flow reached other servers only.
  kNotReset,  ///< A dead flow was not reset in time.
  kSilent,    ///< A held flow got no answer in time; breaks no promise.
};

/// Something that a sequence of events shows.
struct Finding {
  FindingKind kind = FindingKind::kReset;
  /// Processes and servers that were not in touch; empty: it counts.
  std::string out_of_touch;
  std::string detail;  ///< What happened, for people.
};

/// The fleet, its store, one caller and its flow. Drives the real decision
/// functions in simulated time. Not thread-safe; not copyable, because
/// directors point to membership tables.
class ResetWorld {
 public:
  struct State;
  /// A copy of the state.
  using Snapshot = std::shared_ptr<const State>;

  /// Starts the fleet and opens the flow.
  explicit ResetWorld(const ModelConfig& config);
  ResetWorld(const ResetWorld&) = delete;
  ResetWorld& operator=(const ResetWorld&) = delete;
  ~ResetWorld();

  /// Sets a function that receives each packet of the flow and each reset,
  /// with the time since the flow opened.
  void SetTrace(std::function<void(Duration, const std::string&)> trace) {
    m_trace = std::move(trace);
  }
  /// Returns whether the caller accepted a server when the world was made.
  bool IsOpen() const;
  /// Returns the number of servers that have answered the opening packet.
  uint32_t CountAnswers() const;
  /// Returns the agent whose server the caller accepted, as its name.
  std::string OwnerName() const;
  /// Returns whether the caller still uses the flow.
  bool HasFlow() const;
  /// Returns whether an event makes sense now.
  bool CanApply(const ModelEvent& event) const;
  /// Applies an event. Precondition: CanApply.
  void Apply(const ModelEvent& event);
  /// Ends all cuts, and lets the caller send requests until the flow has ended
  /// or proven to work.
  /// @return time that this took
  Duration Settle();
  /// Returns and clears what was found.
  std::vector<Finding> TakeFindings();

  /// Returns all events that may ever make sense, in a fixed order.
  std::vector<ModelEvent> AllEvents() const;
  /// Returns whether two events that follow each other without delay have the
  /// same effect in both orders.
  bool Commute(const ModelEvent& a, const ModelEvent& b) const;
  /// Returns the name of an event.
  std::string Name(const ModelEvent& event) const;
  /// Returns the event with a name; nullopt if there is none.
  std::optional<ModelEvent> FindEvent(std::string_view name) const;

  /// Returns a copy of the state.
  Snapshot Save() const;
  /// Returns to a state that this object saved.
  void Restore(const Snapshot& snapshot);

 private:
  struct Process;
  struct Server;
  struct Caller;
  struct Message;

  // Time.
  void Step();
  void RunFor(Duration duration);
  // Processes, as FleetNode of src/runtime runs them.
  void StartProcess(Process* process);
  void KillProcess(Process* process);
  void LeaveProcess(Process* process);
  void TickProcess(Process* process);
  void TickNode(Process* process);
  /// Probes silent agents, each with an immediate outcome.
  void ProbeSilentAgents(Process* balancer);
  /// Makes the call to the store that is due, which ends at once.
  void CallStore(Process* process);
  std::vector<uint32_t> Listed(MemberRole role) const;
  void SendContacts(Process* process,
                    const std::vector<MemberContact>& contacts);
  proto::PeerStatus MakeStatus(Process* process);
  std::vector<uint32_t> SeedsOf(const Process& process) const;
  void ScheduleStatuses(Process* process, const FleetMember& member);
  void SendDueStatuses(Process* process);
  void Broadcast(Process* process);
  void AnnounceState(Process* process);
  void OnStatus(Process* process,
                uint32_t from,
                const proto::PeerStatus& status);
  // Messages.
  void Send(Message message);
  void Deliver(const Message& message);
  Process* SelectedBalancer();
  void OnAgentAnswer(Process* balancer, const Message& message);
  void SendQueries(Process* balancer);
  void AnswerQuery(Process* agent, const Message& query);
  bool IsCut(uint32_t a, uint32_t b) const;
  void SendStatus(uint32_t from, uint32_t to, const proto::PeerStatus& status);
  // Flow.
  void ApplyDecision(Process* balancer,
                     const DirectorDecision& decision,
                     const FlowPacket& packet);
  void SendAgentDecision(Process* agent,
                         const ForwarderDecision& decision,
                         const FlowPacket& packet);
  void OnForwarded(Process* agent, const Message& message);
  void OnServerDown(Process* agent);
  void OnPacketAtServer(Process* agent, const FlowPacket& packet);
  void SendFromServer(Process* agent, const FlowPacket& packet);
  void OpenAtServer(uint32_t agent);
  void DeliverReport(Process* agent, uint64_t start, uint64_t sequence);
  void TickServer(Process* agent);
  void TickCaller();
  void OnPacketAtCaller(const Message& message);
  FlowPacket MakeCallerPacket() const;
  void SendFromCaller(const FlowPacket& packet);
  void SendRequest();
  void OpenFlow();
  // Checks.
  bool IsHeld() const;
  std::string OutOfTouch(const std::set<uint32_t>& processes) const;
  void TrackDelivery(uint32_t agent, uint32_t balancer, bool is_opening);
  void CheckReset(uint32_t sender);
  void Report(FindingKind kind,
              const std::set<uint32_t>& processes,
              std::string detail);
  std::string ProcessName(uint32_t index) const;
  /// Returns the service of an agent.
  std::string_view ServiceOf(const Process& agent) const;
  /// Returns the targets in force.
  RouteTable Targets() const;
  void MoveRoute();
  void Trace(const std::string& text) const;

  ModelConfig m_config;
  std::unique_ptr<State> m_state;
  TimePoint m_opened_at;  ///< When OpenFlow had ended.
  std::function<void(Duration, const std::string&)> m_trace;  ///< May be unset.
};

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_RESET_WORLD_H_

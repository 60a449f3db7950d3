// @file agent.h Decisions of one agent about packets and flows.
//
// The owner of a flow keeps its flow table entry, and the flow's home keeps a
// pointer to the owner. Only the home chooses the owner of a new flow, so that
// no flow is admitted twice.
#ifndef MEDLARGAUGE_LOCATE_AGENT_H_
#define MEDLARGAUGE_LOCATE_AGENT_H_

#include <map>
#include <vector>

#include "src/flow/flow_table.h"
#include "src/group/group.h"
#include "src/locate/agent_type.h"

namespace medlargauge {

/// Kind of the start of an agent process.
enum class StartKind : uint8_t {
  kColdStart,         ///< The backend server has just started as well.
  kPlannedRestart,    ///< Imports the flows of the previous process.
  kUnplannedRestart,  ///< The flow table is lost; the server still runs.
};

/// Configuration of an agent. After a restart beside a running backend server,
/// the agent announces itself as ready at once, so that the home of its flows
/// does not move.
struct AgentConfig {
  ServiceId service;       ///< Service of the backend server.
  AgentFacts self;         ///< Facts of this agent, in state kJoining.
  AgentLimits limits;      ///< Timeouts and capacity.
  GroupTimeouts timeouts;  ///< Intervals of the group protocol.
  AdmissionPolicy policy;  ///< Chooses the owner of a new flow.
  StartKind start = StartKind::kColdStart;  ///< Kind of this start.
  FaultInjection fault_injection;           ///< For tests only.
};

/// State that an agent passes to the next process at a planned restart.
struct AgentSnapshot {
  std::vector<Peer> peers;       ///< Indexed by the slots of the flows' owners.
  std::vector<FlowEntry> flows;  ///< All entries of the flow table.
};

/// State machine of one agent. It maps a time and an event to a verdict and to
/// messages, and reads neither a clock nor random numbers. Not thread-safe.
class Agent {
 public:
  /// @param now time of the start
  Agent(TimePoint now, AgentConfig config);

  /// Returns the verdict for one packet and updates the flow table.
  /// @param packet parsed packet; only its headers are used
  /// @param envelope envelope that the packet arrived with
  Verdict OnPacket(TimePoint now,
                   const PacketInfo& packet,
                   const Envelope& envelope);

  /// Handles a message of another member of the group.
  void OnMessage(TimePoint now, const proto::GroupMessage& message);

  /// Updates the membership table with facts from the fleet's membership.
  void UpdateMember(TimePoint now, const AgentFacts& facts, bool observer);

  /// Replaces the version splits in force.
  /// Precondition: sorted by class, classes of this service only.
  void SetSplits(TimePoint now, std::vector<VersionSplit> splits);

  /// Runs the timers. Must be called at least every 100 ms.
  void OnTick(TimePoint now);

  /// Stops accepting new flows. Idempotent.
  /// @param deadline when the drain ends even if flows are still open
  void StartDrain(TimePoint now, TimePoint deadline);

  /// Returns whether a drain has ended: this agent owns no flow, or the
  /// deadline has passed.
  bool IsDrained(TimePoint now) const;

  /// Announces to the peers that this agent leaves. Precondition: IsDrained.
  void Leave(TimePoint now);

  /// Sets whether the backend server sheds load at the moment.
  void SetShedding(bool shedding) { m_server_shedding = shedding; }

  /// Returns the state that the next process needs at a planned restart. The
  /// agent must handle no packet after this.
  AgentSnapshot ExportSnapshot() const;

  /// Imports the state of the previous process at a planned restart.
  void ImportSnapshot(TimePoint now, const AgentSnapshot& snapshot);

  /// Returns the queued messages and clears the queue.
  std::vector<OutgoingGroupMessage> TakeOutgoing();

  /// Returns the group. The reference is valid as long as the agent exists.
  const Group& ServiceGroup() const { return m_group; }
  /// Returns the flow table.
  const FlowTable& Flows() const { return m_flows; }
  /// Returns the counters.
  const AgentCounters& Counters() const { return m_counters; }
  /// Returns the share of the mean load that the backend server may carry at
  /// `now`, from 0.1 just after a cold start to 1.
  double Ramp(TimePoint now) const { return OwnRamp(now); }
  /// Returns the number of owned flows that are not closing.
  uint32_t OpenFlows() const { return m_open_flows; }

 private:
  struct Request;

  // Handlers of a packet by the state of its flow table entry, if it has one.

  Verdict OnOwnedFlow(const Request& request, FlowEntry* entry);
  Verdict OnPointerEntry(const Request& request, FlowEntry* entry);
  Verdict OnReservedFlow(const Request& request, FlowEntry* entry);
  Verdict OnRefusedFlow(const Request& request, FlowEntry* entry);
  Verdict OnUnknownFlow(const Request& request);

  // Handlers of a packet by the purpose of its envelope.

  Verdict OnHandover(const Request& request);
  Verdict OnConsult(const Request& request);
  Verdict OnSearch(const Request& request);

  /// Returns the packet's envelope. An agent in recovery that does not drain
  /// names itself in it as the possible owner, unless one is named already.
  Envelope EnvelopeWithPossibleOwner(const Request& request) const;
  /// Stores a pointer to the agent in `slot` and forwards the packet to it.
  /// @param possible_owner short id of the agent that may own the flow; 0 if
  ///     the agent in `slot` was chosen for a new flow
  Verdict HandOverFlow(const Request& request,
                       PeerSlot slot,
                       uint32_t possible_owner);
  /// Rejects a new flow that no agent may admit. A refusal for overload is
  /// remembered, so that retransmissions get the same answer.
  Verdict RefuseFlow(const Request& request);
  /// Forwards the packet to the home of its flow, or decides as the home.
  Verdict RouteToHome(const Request& request);
  /// Places a new flow, after a query if another agent may own it, or searches
  /// the owner of an established one.
  Verdict DecideAsHome(const Request& request, const VersionSplit& split);
  /// Sends the packet to the peers of a batch, one after the other, to ask
  /// whether they own its flow.
  /// @param skip_synced whether to skip peers that have registered all of their
  ///     flows with this agent
  /// @param query_batch number of the batch, from 0
  Verdict QueryPeers(const Request& request,
                     Purpose purpose,
                     bool skip_synced,
                     uint32_t query_batch);
  /// Queries the next batch of peers, or decides if all have been asked.
  Verdict QueryNextBatch(const Request& request, Purpose purpose);
  /// Chooses the owner of a new flow, and admits, hands over or refuses it.
  Verdict PlaceFlow(const Request& request, const VersionSplit& split);
  /// Decides about an established flow that all peers were asked about.
  Verdict FinishSearch(const Request& request);
  /// Stores the flow as owned and delivers the packet.
  Verdict AdmitFlow(const Request& request, Admission admission);
  /// Registers a flow with its backup agent, subject to a rate limit.
  void RegisterWithBackup(TimePoint now, const FlowEntry& entry);
  /// Returns the agent that becomes the flow's home if the current home leaves;
  /// nullopt if there is none or if it is this agent.
  std::optional<MemberId> BackupOf(const FlowEntry& entry) const;
  /// Returns the verdict to forward the packet, and counts it. Rejects the
  /// packet instead if it has reached the hop limit.
  Verdict Forward(const Request& request, MemberId next, Envelope envelope);
  /// Returns the verdict to reject the packet, and counts it by error kind.
  Verdict Reject(ErrorKind kind);
  /// Forwards a query to the next pending agent that is not gone. If there is
  /// none, returns it to the requester, which continues.
  Verdict ForwardQuery(const Request& request, Envelope envelope);
  /// Returns the peers of a batch, in the order in which all agents query.
  MemberList<kMaxPending> RankPeersToQuery(const Request& request,
                                           bool skip_synced,
                                           uint32_t query_batch) const;
  /// Returns whether this agent's own flow count permits it to admit the flow.
  bool IsWithinOwnLoadBound(const Request& request,
                            const VersionSplit& split) const;
  /// Returns the mean growth of the flow counts of all ready peers, per second.
  double MeanFlowGrowth() const;
  /// Estimates the flow count of a peer from its last report.
  /// @param growth growth per second since that report
  uint32_t EstimateOpenFlows(TimePoint now,
                             const Peer& peer,
                             double growth) const;
  AdmissionInput MakeAdmissionInput(const Request& request,
                                    const VersionSplit& split) const;
  /// Stores a reservation: only the requester may decide about the flow.
  void ReserveForRequester(const Request& request, PeerSlot requester);
  /// Registers an owned flow with the agent whose query the packet carries.
  void RegisterWithRequester(const Request& request);
  /// Updates the state and the expiry of an owned flow from a packet.
  void RefreshOwnedFlow(TimePoint now,
                        const PacketInfo& packet,
                        FlowEntry* entry);
  /// Returns whether the packet opens a new connection from the port of a known
  /// flow, rather than being a retransmission.
  bool IsNewConnection(const PacketInfo& packet, const FlowEntry& entry) const;
  /// Returns whether this agent may have owned unknown flows before an
  /// unplanned restart.
  bool IsRecovering(TimePoint now) const { return now < m_recovery_deadline; }
  /// Returns whether this agent may decide about new flows: it is not fenced,
  /// and the discovery of peers is over.
  bool MayDecide(TimePoint now) const;
  double OwnRamp(TimePoint now) const;
  OwnLoad CurrentLoad(TimePoint now) const;
  /// Handles flows that a peer registers or sends back.
  void OnRegistration(TimePoint now, const proto::GroupMessage& message);
  /// Stores a pointer to the owner of a flow that the owner has registered.
  void StorePointer(TimePoint now, const FlowEntry& registered);
  /// Stores an own flow that a peer has sent back, if this agent is recovering.
  void RestoreFlow(TimePoint now, const FlowEntry& returned);
  Duration IdleTimeout(Transport transport) const;
  /// Sends the entries for which `is_included` returns true, in batches.
  /// @param sync number of the synchronisation
  /// @param returned whether the receiver gets its own flows back
  /// @return number of entries sent
  uint32_t SendRegistrations(
      MemberId peer,
      uint32_t sync,
      bool returned,
      const std::function<bool(const FlowEntry&)>& is_included);
  /// Synchronises the peers that are due. While own flows are being restored,
  /// only recovering peers are.
  void SynchroniseDuePeers(TimePoint now);
  /// Registers all owned flows of which the peer is the home or the backup,
  /// sends a recovering peer its flows back, and reports the number of flows
  /// sent.
  void SynchronisePeer(MemberId peer);
  /// Announces a joining agent as ready once all peers have synchronised it.
  void BecomeReadyIfSynced(TimePoint now);
  /// Queues an ended flow to be reported to its home and its backup.
  void QueueEndedFlow(const FlowEntry& entry);
  /// Reports the queued flows if that is due.
  void SendEndedFlows(TimePoint now);
  /// Removes pointers to flows that a peer reports as ended.
  void OnEndedFlows(const proto::GroupMessage& message);
  /// Counts an entry in m_owned_flows and m_open_flows according to its state.
  void AddToFlowCounts(const FlowEntry& entry);
  /// Reverts AddToFlowCounts; no effect on an entry that was just inserted.
  void RemoveFromFlowCounts(const FlowEntry& entry);

  AgentConfig m_config;              ///< Given at construction.
  Group m_group;                     ///< Members of the service.
  FlowTable m_flows;                 ///< Owned flows, pointers, reservations.
  AgentCounters m_counters;          ///< Counters since the start.
  uint32_t m_open_flows = 0;         ///< Flows in state kOwned.
  uint32_t m_owned_flows = 0;        ///< Owned flows, including closing ones.
  uint32_t m_next_sync = 1;          ///< Number of the next synchronisation.
  TimePoint m_backup_window_end;     ///< End of the rate limit's window.
  uint32_t m_backups_in_window = 0;  ///< Backup registrations in that window.
  bool m_flows_restored = false;     ///< All peers have sent back its flows.
  bool m_server_shedding = false;    ///< Set by SetShedding.
  bool m_draining = false;           ///< Accepts no new flows.
  TimePoint m_drain_deadline;        ///< The drain ends then at the latest.
  TimePoint m_join_deadline;         ///< No decision on new flows before.
  TimePoint m_ramp_start;            ///< Start of the load ramp.
  TimePoint m_recovery_deadline;  ///< Unknown flows count as owned until then.
  /// Ended flows to be reported, by receiver.
  std::map<MemberId, std::vector<FlowEntry>> m_ended_flows;
  TimePoint m_next_ended_send;  ///< When ended flows are reported next.
  std::vector<OutgoingGroupMessage> m_outgoing;  ///< Messages to be sent.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_LOCATE_AGENT_H_

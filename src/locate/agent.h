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

  Verdict OnOwnedFlow(const Request& request, FlowEntry* entry);
  Verdict OnPointerEntry(const Request& request, FlowEntry* entry);
  Verdict OnReservedFlow(const Request& request, FlowEntry* entry);
  Verdict OnRefusedFlow(const Request& request, FlowEntry* entry);
  Verdict OnUnknownFlow(const Request& request);
  Verdict OnHandover(const Request& request);
  Verdict OnConsult(const Request& request);
  Verdict OnSearch(const Request& request);
  Envelope EnvelopeWithPossibleOwner(const Request& request) const;
  Verdict HandOverFlow(const Request& request,
                       PeerSlot slot,
                       uint32_t possible_owner);
  Verdict RefuseFlow(const Request& request);
  Verdict RouteToHome(const Request& request);
  Verdict DecideAsHome(const Request& request, const VersionSplit& split);
  Verdict QueryPeers(const Request& request,
                     Purpose purpose,
                     bool skip_synced,
                     uint32_t query_batch);
  Verdict QueryNextBatch(const Request& request, Purpose purpose);
  Verdict PlaceFlow(const Request& request, const VersionSplit& split);
  Verdict FinishSearch(const Request& request);
  Verdict AdmitFlow(const Request& request, Admission how);
  void RegisterWithBackup(TimePoint now, const FlowEntry& entry);
  std::optional<MemberId> BackupOf(const FlowEntry& entry) const;
  Verdict Forward(const Request& request, MemberId next, Envelope envelope);
  Verdict Reject(ErrorKind kind);
  Verdict ForwardQuery(const Request& request, Envelope envelope);
  MemberList<kMaxPending> RankPeersToQuery(const Request& request,
                                           bool skip_synced,
                                           uint32_t query_batch) const;
  bool IsWithinOwnLoadBound(const Request& request,
                            const VersionSplit& split) const;
  double MeanFlowGrowth() const;
  uint32_t EstimateOpenFlows(TimePoint now,
                             const Peer& peer,
                             double growth) const;
  AdmissionInput MakeAdmissionInput(const Request& request,
                                    const VersionSplit& split) const;
  void ReserveForRequester(const Request& request, PeerSlot requester);
  void RegisterWithRequester(const Request& request);
  void RefreshOwnedFlow(TimePoint now,
                        const PacketInfo& packet,
                        FlowEntry* entry);
  bool IsNewConnection(const PacketInfo& packet, const FlowEntry& entry) const;
  bool IsRecovering(TimePoint now) const { return now < m_recovery_deadline; }
  bool MayDecide(TimePoint now) const;
  double OwnRamp(TimePoint now) const;
  OwnLoad CurrentLoad(TimePoint now) const;
  void OnRegistration(TimePoint now, const proto::GroupMessage& message);
  void StorePointer(TimePoint now, const FlowEntry& registered);
  void RestoreFlow(TimePoint now, const FlowEntry& returned);
  Duration IdleTimeout(Transport transport) const;
  uint32_t SendRegistrations(
      MemberId peer,
      uint32_t sync,
      bool returned,
      const std::function<bool(const FlowEntry&)>& is_included);
  void SynchroniseDuePeers(TimePoint now);
  void SynchronisePeer(MemberId peer);
  void BecomeReadyIfSynced(TimePoint now);
  void QueueEndedFlow(const FlowEntry& entry);
  void SendEndedFlows(TimePoint now);
  void OnEndedFlows(const proto::GroupMessage& message);
  void AddToFlowCounts(const FlowEntry& entry);
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
  TimePoint m_join_deadline;         ///< Decides no new flows before.
  TimePoint m_ramp_start;            ///< Start of the load ramp.
  TimePoint m_recovery_deadline;  ///< Takes unknown flows as owned till then.
  /// Ended flows to be reported, by receiver.
  std::map<MemberId, std::vector<FlowEntry>> m_ended_flows;
  TimePoint m_next_ended_send;  ///< When ended flows are reported next.
  std::vector<OutgoingGroupMessage> m_outgoing;  ///< Messages to be sent.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_LOCATE_AGENT_H_

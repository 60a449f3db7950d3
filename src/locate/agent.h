// @file agent.h The decisions of one agent about packets and flows.
//
// The owner of a flow keeps its entry; the flow's home keeps a pointer to the
// owner. Only the home places a new flow, so one flow is never admitted twice.
#ifndef MEDLARGAUGE_LOCATE_AGENT_H_
#define MEDLARGAUGE_LOCATE_AGENT_H_

#include <map>
#include <vector>

#include "src/flow/flow_table.h"
#include "src/group/group.h"
#include "src/locate/agent_type.h"

namespace medlargauge {

/// How the process of an agent came to be.
enum class StartKind : uint8_t {
  kFresh,       ///< The backend server is new as well.
  kSuccessor,   ///< Planned restart: takes over the predecessor's flows.
  kRecovering,  ///< Unplanned restart beside a running backend server.
};

/// What an agent is made from. Beside a running backend server it announces
/// itself as ready at once, so that the home of its flows does not move.
struct AgentConfig {
  ServiceId service;                    ///< Service of the backend server.
  AgentFacts self;                      ///< Own facts, in state kJoining.
  AgentLimits limits;                   ///< Timeouts and capacity.
  GroupTimeouts timeouts;               ///< Intervals of the group protocol.
  AdmissionPolicy policy;               ///< Places new flows.
  StartKind start = StartKind::kFresh;  ///< How the process came to be.
  FaultyRules faulty;                   ///< Test only.
};

/// What an agent hands to its successor at a planned restart.
struct HandoverState {
  std::vector<Peer> peers;       ///< Slots that the flows refer to.
  std::vector<FlowEntry> flows;  ///< All entries.
};

/// State machine of one agent: (now, event) -> verdict and messages.
/// Reads no clock and no randomness. Not thread-safe.
class Agent {
 public:
  /// @param now time of the start
  Agent(TimePoint now, AgentConfig config);

  /// Decides about one packet.
  /// @param packet parsed packet; only its headers are looked at
  /// @param envelope envelope it came with
  Verdict OnPacket(TimePoint now,
                   const PacketInfo& packet,
                   const Envelope& envelope);

  /// Takes in a message of another member of the group.
  void OnMessage(TimePoint now, const proto::GroupMessage& message);

  /// Learns of a member from the fleet's membership.
  void LearnMember(TimePoint now, const AgentFacts& facts, bool observer);

  /// Puts targets in force. Precondition: sorted by class, this service only.
  void SetSplits(TimePoint now, std::vector<VersionSplit> splits);

  /// Runs timers; call at least every 100 ms.
  void OnTick(TimePoint now);

  /// Stops taking new flows from this instant on. Idempotent.
  /// @param deadline after this, IsDrained is true whatever is still open
  void StartDrain(TimePoint now, TimePoint deadline);

  /// Returns whether a drain has ended: no open flow, or past its deadline.
  bool IsDrained(TimePoint now) const;

  /// Tells the peers that this agent leaves. Precondition: IsDrained.
  void Leave(TimePoint now);

  /// Sets whether the backend server sheds load at the moment.
  void SetShedding(bool shedding) { m_server_shedding = shedding; }

  /// Returns what a successor needs after a planned restart. The agent must
  /// get no packet after this.
  HandoverState MakeHandover() const;

  /// Takes over the state of the predecessor of a planned restart.
  void TakeOver(TimePoint now, const HandoverState& state);

  /// Returns and clears messages to send.
  std::vector<OutgoingGroupMessage> TakeOutgoing();

  /// Returns the group. The reference lives as long as the agent.
  const Group& ServiceGroup() const { return m_group; }
  /// Returns the flow table.
  const FlowTable& Flows() const { return m_flows; }
  /// Returns the counters.
  const AgentCounters& Counters() const { return m_counters; }
  /// Returns the part of the mean that the server may carry by now.
  double Ramp(TimePoint now) const { return OwnRamp(now); }
  /// Returns the number of owned flows that are not closing.
  uint32_t OpenFlows() const { return m_open_flows; }

 private:
  struct Request;

  Verdict OnKnown(const Request& request, FlowEntry* entry);
  Verdict OnPointer(const Request& request, FlowEntry* entry);
  Verdict OnMark(const Request& request, FlowEntry* entry);
  Verdict OnRefused(const Request& request, FlowEntry* entry);
  Verdict OnUnknown(const Request& request);
  Verdict OnHandover(const Request& request);
  Verdict OnConsult(const Request& request);
  Verdict OnSearch(const Request& request);
  Envelope WithClaim(const Request& request) const;
  Verdict HandOver(const Request& request,
                   PeerSlot slot,
                   uint32_t possible_owner);
  Verdict Refuse(const Request& request);
  Verdict RouteToHome(const Request& request);
  Verdict DecideAsHome(const Request& request, const VersionSplit& split);
  Verdict Ask(const Request& request,
              Purpose purpose,
              bool skip_synced,
              uint32_t query_batch);
  Verdict AskNextLeg(const Request& request, Purpose purpose);
  Verdict Place(const Request& request, const VersionSplit& split);
  Verdict ConcludeSearch(const Request& request);
  Verdict Admit(const Request& request, Admission how);
  void RegisterWithBackup(TimePoint now, const FlowEntry& entry);
  std::optional<MemberId> BackupOf(const FlowEntry& entry) const;
  Verdict Forward(const Request& request, MemberId next, Envelope envelope);
  Verdict Reject(ErrorKind kind);
  Verdict PassAlong(const Request& request, Envelope envelope);
  MemberList<kMaxPending> RankedPending(const Request& request,
                                        bool skip_synced,
                                        uint32_t query_batch) const;
  bool IsWithinOwnBound(const Request& request,
                        const VersionSplit& split) const;
  double MeanGrowth() const;
  uint32_t EstimatedFlows(TimePoint now, const Peer& peer, double growth) const;
  AdmissionInput MakeInput(const Request& request,
                           const VersionSplit& split) const;
  void LeaveMark(const Request& request, PeerSlot requester);
  void ClaimFor(const Request& request);
  void RefreshOwned(TimePoint now, const PacketInfo& packet, FlowEntry* entry);
  bool IsNewConnection(const PacketInfo& packet, const FlowEntry& entry) const;
  bool IsRecovering(TimePoint now) const { return now < m_recovery_deadline; }
  bool MayDecide(TimePoint now) const;
  double OwnRamp(TimePoint now) const;
  OwnLoad Load(TimePoint now) const;
  void OnRegistration(TimePoint now, const proto::GroupMessage& message);
  void PointToOwner(TimePoint now, const FlowEntry& registered);
  void TakeBackFlow(TimePoint now, const FlowEntry& returned);
  Duration IdleTimeout(Transport transport) const;
  uint32_t SendRegistrations(
      MemberId peer,
      uint32_t sync,
      bool returned,
      const std::function<bool(const FlowEntry&)>& wanted);
  void SynchroniseDuePeers(TimePoint now);
  void Synchronise(MemberId peer);
  void BecomeReadyIfSynced(TimePoint now);
  void NoteEnded(const FlowEntry& entry);
  void SendEnded(TimePoint now);
  void OnEnded(const proto::GroupMessage& message);
  void CountOwned(const FlowEntry& entry);
  void ForgetOwned(const FlowEntry& entry);

  AgentConfig m_config;              ///< As constructed.
  Group m_group;                     ///< Peers of the service.
  FlowTable m_flows;                 ///< Owned flows, pointers and marks.
  AgentCounters m_counters;          ///< Only grow.
  uint32_t m_open_flows = 0;         ///< Owned and not closing.
  uint32_t m_owned_flows = 0;        ///< Owned, closing ones included.
  uint32_t m_next_sync = 1;          ///< Number of the next synchronisation.
  TimePoint m_backup_window_end;     ///< End of the second being counted.
  uint32_t m_backups_in_window = 0;  ///< Registrations in that second.
  bool m_recovered = false;          ///< Peers have returned the flows.
  bool m_server_shedding = false;    ///< As the backend server says.
  bool m_draining = false;           ///< Takes no new flows.
  TimePoint m_drain_deadline;        ///< Drained at the latest then.
  TimePoint m_join_deadline;         ///< Ready at the earliest then.
  TimePoint m_ramp_start;            ///< When new flows were first taken.
  TimePoint m_recovery_deadline;     ///< Claims unknown flows until then.
  std::map<MemberId, std::vector<FlowEntry>> m_ended;  ///< To be told.
  TimePoint m_ended_deadline;                          ///< When to tell.
  std::vector<OutgoingGroupMessage> m_outgoing;        ///< To be sent.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_LOCATE_AGENT_H_

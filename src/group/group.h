// @file group.h Membership of one service and agreement on flows' home agents.
//
// The view consists of the live agents and the version splits of the service.
// Every flow has one home agent, which is computed from the view and decides
// which agent gets the flow. Agents register the flows that they own with the
// flows' homes and backups; the registrations that a member has received form
// its index. The index is complete for a view once every other agent has
// switched to that view and has registered its flows. A home with a complete
// index decides alone; otherwise it asks its peers first. A fenced member,
// which may be cut off from the others, decides nothing.
#ifndef MEDLARGAUGE_GROUP_GROUP_H_
#define MEDLARGAUGE_GROUP_GROUP_H_

#include <optional>
#include <vector>

#include "src/group/group_type.h"
#include "src/packet/packet_type.h"
#include "src/routing/routing_type.h"

namespace medlargauge {

/// Load of this member, which its heartbeats report to the peers.
struct OwnLoad {
  uint32_t open_flows = 0;  ///< Owned flows that are not closing.
  uint32_t capacity = 0;    ///< New flows are refused at this many open flows.
  double ramp = 1.0;        ///< Share of the mean load it may carry, 0 to 1.
  bool shedding = false;    ///< Accepts no handed-over flows at the moment.
  bool recovering = false;  ///< Lost its flow table at a recent restart.
};

/// Membership, failure detection and synchronisation within one service.
/// A state machine that reads no clock and sends nothing by itself: callers
/// pass the time and send the messages of TakeOutgoing. Not thread-safe.
class Group {
 public:
  /// @param self facts of this member; its state must be kJoining or, for an
  ///     observer, kReady
  /// @param observer true for a balancer, which monitors but owns no flows
  Group(ServiceId service,
        AgentFacts self,
        bool observer,
        GroupTimeouts timeouts);

  /// Updates the membership table with facts of a peer. Facts that are not
  /// newer, by incarnation and then by state, are ignored. If the facts report
  /// this member itself as gone, it rejoins with a higher incarnation.
  void UpdateMember(TimePoint now, const AgentFacts& facts, bool observer);

  /// Replaces the splits of the classes of this service.
  /// Precondition: sorted by class.
  void SetSplits(std::vector<VersionSplit> splits);

  /// Changes the state of this member and sends heartbeats to all peers at
  /// once. Does nothing if the state is the same.
  void SetOwnState(TimePoint now, AgentState state, const OwnLoad& load);

  /// Handles a heartbeat. Precondition: UpdateFence was called for this `now`.
  void OnHeartbeat(TimePoint now, const proto::GroupMessage& message);

  /// Handles the end of a peer's synchronisation, which marks the peer as
  /// synced for its view. Ignored if any of its registrations were lost; the
  /// peer then repeats the synchronisation.
  /// @param recovering true if this member lost its flow table: then a
  ///     synchronisation that did not return its own flows is ignored too
  void OnSyncDone(MemberId from, const proto::SyncDone& done, bool recovering);

  /// Counts the registrations received in a peer's synchronisation.
  void OnRegistrations(MemberId from, const proto::Registration& registration);

  /// Fences this member if it has lost its quorum of echoes. Must run before
  /// any other event at `now`, so that a partition or a pause of the process
  /// takes effect before the event, even when no tick ran in between.
  void UpdateFence(TimePoint now);

  /// Lifts the fence if the quorum is back, rejoins while fenced, removes
  /// silent peers and sends due heartbeats.
  void OnTick(TimePoint now, const OwnLoad& load);

  /// Ends the discovery of peers after a start. Until then the index never
  /// counts as complete, since unknown peers may own flows.
  void FinishDiscovery();

  /// Returns whether the view has changed since the last call.
  bool TakeViewChange();

  /// Returns the peers whose synchronisation must be sent or repeated now, and
  /// schedules the next repetition for each.
  std::vector<MemberId> TakePeersDueForSync(TimePoint now);

  /// Schedules a synchronisation with every peer.
  void ScheduleFullSync();

  /// Returns whether this member may decide about a flow without asking peers:
  /// it was the flow's home in every view since its index was last complete.
  bool IsAuthoritativeHome(ClassId class_id, FlowId flow) const;

  /// Returns whether the home of a flow may have moved here because a member
  /// was removed for silence within the rejoin grace period: this member was
  /// neither the flow's home before nor the next one in rank. Then another
  /// member may still know the flow, although all are synchronised.
  bool HasHomeMovedByRemoval(TimePoint now,
                             ClassId class_id,
                             FlowId flow) const;

  /// Returns whether a peer has sent all registrations for the current view.
  bool IsSynced(const Peer& peer) const;

  /// Returns whether this member must not decide about new flows.
  bool IsFenced() const { return m_fenced; }
  /// Returns whether every other agent is synchronised for the current view.
  bool IsIndexComplete() const;
  /// Returns whether an unreachable agent may own flows: one has been silent
  /// for more than half of the removal timeout, or was removed for silence
  /// within the rejoin grace period.
  bool MayHaveUnreachableFlows(TimePoint now) const;

  /// Returns the current view. The next event may change the referenced view.
  const ServiceView& View() const { return m_view; }
  /// Returns the hash of the current view.
  ViewId CurrentViewId() const { return m_view_id; }
  /// Returns the facts of this member.
  const AgentFacts& Self() const { return m_self; }

  /// Returns the slot of a peer by its id; nullopt if unknown.
  std::optional<PeerSlot> FindSlot(MemberId id) const;
  /// Returns the slot of a peer by its short id; nullopt if unknown.
  std::optional<PeerSlot> FindSlotByShortId(uint32_t short_id) const;
  /// Returns a peer. Precondition: `slot` came from this object.
  Peer& PeerAt(PeerSlot slot) { return m_peers[slot.value]; }
  const Peer& PeerAt(PeerSlot slot) const { return m_peers[slot.value]; }
  /// Returns all peers that were ever known, in slot order.
  const std::vector<Peer>& Peers() const { return m_peers; }

  /// Returns a message with the sender and service filled in, without a body.
  proto::GroupMessage NewMessage() const;
  /// Returns the queued messages and clears the queue.
  std::vector<OutgoingGroupMessage> TakeOutgoing();

 private:
  /// Rejoins with a higher incarnation if `facts` report this live member as
  /// gone.
  void RefuteRemoval(const AgentFacts& facts);
  /// Takes a new incarnation, which has to synchronise with all peers again.
  void Rejoin(uint64_t incarnation);
  /// Returns the heartbeat interval for the present number of live peers.
  Duration HeartbeatInterval() const;
  /// Starts the rejoin grace period of a removed peer and keeps the views from
  /// before the removal until it ends.
  void RecordRemoval(TimePoint now, Peer* peer);
  /// Returns whether at least half of the live peers that have sent a heartbeat
  /// have returned an echo within the fence timeout.
  bool HasEchoQuorum(TimePoint now) const;
  /// Returns whether a peer's removal deadline has passed and more than half of
  /// the other live members that have sent a heartbeat, and this one, agree.
  bool MayRemove(TimePoint now, const Peer& peer) const;
  /// Recomputes the view and its hash. If the hash has changed, all peers
  /// become due for a synchronisation.
  void RebuildView();
  /// Queues a heartbeat for every live peer; observers skip other observers.
  void SendHeartbeats(TimePoint now, const OwnLoad& load);
  /// Marks the peers that may be removed as gone, unless this member is fenced.
  void RemoveSilentPeers(TimePoint now);
  /// Restarts m_views_since_complete at the current view if the index is
  /// complete, discovery has finished and this member is not fenced.
  void RecordCompleteView();

  ServiceId m_service;                 ///< Service of the group.
  AgentFacts m_self;                   ///< Facts of this member.
  bool m_observer;                     ///< True if this member is a balancer.
  GroupTimeouts m_timeouts;            ///< Intervals and timeouts.
  std::vector<Peer> m_peers;           ///< Membership table; slots are stable.
  std::vector<VersionSplit> m_splits;  ///< Splits in force, sorted by class.
  ServiceView m_view;                  ///< Current view.
  ViewId m_view_id;                    ///< Hash of the current view.
  bool m_view_changed = true;          ///< Set until TakeViewChange.
  bool m_discovery_finished = false;   ///< Set by FinishDiscovery.
  bool m_fenced = false;               ///< Must not decide about new flows.
  /// Views since the index was last complete, the complete one first. Empty if
  /// it has never been complete, also since the last fence, or if there were
  /// too many views to keep.
  std::vector<ServiceView> m_views_since_complete;
  /// Views before the removal of a silent member, kept until its rejoin grace
  /// period ends.
  struct RemovalView {
    MemberId removed;    ///< The removed member.
    TimePoint deadline;  ///< End of its rejoin grace period.
    /// m_views_since_complete at the time of the removal.
    std::vector<ServiceView> before;
  };
  std::vector<RemovalView> m_removal_views;  ///< Removals in grace periods.
  TimePoint m_next_rejoin;     ///< Next new incarnation while fenced.
  TimePoint m_last_tick;       ///< Time of the last tick, to detect pauses.
  TimePoint m_next_heartbeat;  ///< When the next heartbeats are due.
  std::vector<OutgoingGroupMessage> m_outgoing;  ///< Messages to be sent.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_GROUP_GROUP_H_

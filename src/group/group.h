// @file group.h Agreement among the agents of one service about who decides.
//
// Every flow has one home agent, computed from the view. A member treats its
// index as complete for a view once every other agent has registered the flows
// it owns and has switched to that view. A home with a complete index decides
// alone; otherwise it asks first. No member decides while it is fenced.
#ifndef MEDLARGAUGE_GROUP_GROUP_H_
#define MEDLARGAUGE_GROUP_GROUP_H_

#include <optional>
#include <vector>

#include "src/group/group_type.h"
#include "src/packet/packet_type.h"
#include "src/routing/routing_type.h"

namespace medlargauge {

/// Own figures that heartbeats carry to the peers.
struct OwnLoad {
  uint32_t open_flows = 0;  ///< Flows owned and not closing.
  uint32_t capacity = 0;    ///< Limit beyond which new flows are refused.
  double ramp = 1.0;        ///< Part of the mean that may be carried by now.
  bool shedding = false;    ///< Takes no handed-over flows just now.
  bool recovering = false;  ///< Lost its flow table a short while ago.
};

/// Membership, failure detection and synchronisation within one service.
/// A pure state machine: time comes in, messages go out. Not thread-safe.
class Group {
 public:
  /// @param self facts of this member; its state must be kJoining or, for an
  ///     observer, kReady
  /// @param observer true for a balancer, which watches but owns no flows
  Group(ServiceId service,
        AgentFacts self,
        bool observer,
        GroupTimeouts timeouts);

  /// Learns of a member from the fleet's membership. Older incarnations are
  /// ignored. Does nothing for this member itself.
  void UpdateMember(TimePoint now, const AgentFacts& facts, bool observer);

  /// Replaces the splits of the classes of this service.
  /// Precondition: sorted by class.
  void SetSplits(std::vector<VersionSplit> splits);

  /// Changes the own state and tells every peer at once.
  void SetOwnState(TimePoint now, AgentState state, const OwnLoad& load);

  /// Takes in a heartbeat. Must be preceded by UpdateFence for the same `now`.
  void OnHeartbeat(TimePoint now, const proto::GroupMessage& message);

  /// Takes in the end of a peer's synchronisation.
  /// @param recovering this member lost its table: a synchronisation that did
  ///     not return its flows does not count
  void OnSyncDone(MemberId from, const proto::SyncDone& done, bool recovering);

  /// Counts the registrations of a peer's synchronisation.
  void OnRegistrations(MemberId from, const proto::Registration& registration);

  /// Must run before any other event at `now`: notices that this member was
  /// cut off or paused, even when nothing ran in between.
  void UpdateFence(TimePoint now);

  /// Sends due heartbeats, removes silent members and rejoins after a fence.
  void OnTick(TimePoint now, const OwnLoad& load);

  /// Ends the time after a start in which peers are still being discovered.
  /// Before it, an index without registrations must not count as complete.
  void FinishDiscovery();

  /// Returns whether the view changed since the last call, and resets that.
  bool TakeViewChange();

  /// Returns peers whose synchronisation must be sent or repeated.
  std::vector<MemberId> TakePeersDueForSync(TimePoint now);

  /// Makes all peers due for a synchronisation.
  void ScheduleFullSync();

  /// Returns whether this member may decide about a flow without asking.
  bool IsAuthoritativeHome(ClassId class_id, FlowId flow) const;

  /// Returns whether a member was removed for silence a short while ago and
  /// this one was neither the flow's home before nor next in line for it: then
  /// another member may remember the flow, though all are synchronised.
  bool HasHomeMovedByRemoval(TimePoint now,
                             ClassId class_id,
                             FlowId flow) const;

  /// Returns whether a peer's registrations are complete for the own view.
  bool IsSynced(const Peer& peer) const;

  /// Returns whether this member must not decide about new flows now.
  bool IsFenced() const { return m_fenced; }
  /// Returns whether every other agent is synchronised to the own view.
  bool IsIndexComplete() const;
  /// Returns whether an agent that does not answer may still have flows: it is
  /// silent, or was removed for silence a short while ago.
  bool MayHaveUnreachableFlows(TimePoint now) const;

  /// Returns the current view. The reference changes with the next event.
  const ServiceView& View() const { return m_view; }
  /// Returns the hash of the current view.
  ViewId CurrentViewId() const { return m_view_id; }
  /// Returns the own facts.
  const AgentFacts& Self() const { return m_self; }

  /// Returns the slot of a peer; nullopt if unknown.
  std::optional<PeerSlot> FindSlot(MemberId id) const;
  /// Returns the slot of a peer by its short id; nullopt if unknown.
  std::optional<PeerSlot> FindSlotByShortId(uint32_t short_id) const;
  /// Returns a peer. Precondition: `slot` came from this object.
  Peer& PeerAt(PeerSlot slot) { return m_peers[slot.value]; }
  const Peer& PeerAt(PeerSlot slot) const { return m_peers[slot.value]; }
  /// Returns all peers ever known, in a fixed order.
  const std::vector<Peer>& Peers() const { return m_peers; }

  /// Starts a message from this member.
  proto::GroupMessage NewMessage() const;
  /// Returns and clears the messages to send.
  std::vector<OutgoingGroupMessage> TakeOutgoing();

 private:
  void RefuteRemoval(const AgentFacts& facts);
  void Rejoin(uint64_t incarnation);
  Duration HeartbeatInterval() const;
  void RecordRemoval(TimePoint now, Peer* peer);
  bool HasEchoQuorum(TimePoint now) const;
  bool MayRemove(TimePoint now, const Peer& peer) const;
  void RebuildView();
  void SendHeartbeats(TimePoint now, const OwnLoad& load);
  void RemoveSilentPeers(TimePoint now);
  void RecordCompleteView();

  ServiceId m_service;                 ///< Service of the group.
  AgentFacts m_self;                   ///< Own facts.
  bool m_observer;                     ///< This member is a balancer.
  GroupTimeouts m_timeouts;            ///< Intervals.
  std::vector<Peer> m_peers;           ///< Pool of peers; slots never move.
  std::vector<VersionSplit> m_splits;  ///< Targets in force here.
  ServiceView m_view;                  ///< Current view.
  ViewId m_view_id;                    ///< Its hash.
  bool m_view_changed = true;          ///< Not yet taken by the owner.
  bool m_discovery_finished = false;   ///< Had time to discover its peers.
  bool m_fenced = false;               ///< Must not decide now.
  /// Views since the index was last complete, the complete one first; empty
  /// when it never was or since a fence.
  std::vector<ServiceView> m_views_since_complete;
  /// Views just before removals for silence, until the members may no longer
  /// come back.
  struct RemovalView {
    MemberId removed;    ///< The removed member.
    TimePoint deadline;  ///< It may come back until then.
    /// Views since the index was last complete; empty if it never was.
    std::vector<ServiceView> before;
  };
  std::vector<RemovalView> m_removal_views;
  TimePoint m_rejoin_deadline;     ///< While fenced: next new incarnation.
  TimePoint m_last_tick;           ///< Tells whether the process was paused.
  TimePoint m_heartbeat_deadline;  ///< Next heartbeat.
  std::vector<OutgoingGroupMessage> m_outgoing;  ///< To be sent.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_GROUP_GROUP_H_

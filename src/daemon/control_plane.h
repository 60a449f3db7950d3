// @file control_plane.h Control plane that balancers and agents share:
// membership, targets and control messages.
#ifndef MEDLARGAUGE_DAEMON_CONTROL_PLANE_H_
#define MEDLARGAUGE_DAEMON_CONTROL_PLANE_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/daemon/control_channel.h"
#include "src/daemon/member_type.h"
#include "src/daemon/settings_type.h"
#include "src/gossip/gossip.h"
#include "src/group/group_type.h"
#include "src/target/target_table.h"

namespace medlargauge {

/// Callbacks of the process's role, balancer or agent. All hooks run with the
/// control plane's mutex held.
struct RoleHooks {
  /// Called when a member is new or its record has changed.
  std::function<void(TimePoint, const Member&)> on_member;
  /// Called when the targets in force have changed.
  std::function<void(TimePoint)> on_targets;
  /// Called for each received message of a service group.
  std::function<void(TimePoint, const proto::GroupMessage&)> on_group;
  /// Called at a fixed interval to run the role's timers.
  std::function<void(TimePoint)> on_tick;
  /// Returns the messages to send to service groups and clears them.
  std::function<std::vector<OutgoingGroupMessage>()> take_outgoing;
  /// Returns the own facts; their changes are published.
  std::function<AgentFacts()> self;
  /// Returns members that a service group has removed; they are published as
  /// gone.
  std::function<std::vector<AgentFacts>()> removed;
};

/// Returns the time on the process's monotonic clock. Thread-safe.
TimePoint SteadyNow();

/// Disseminates membership and targets between processes and passes the control
/// messages of the role. Public methods lock the mutex themselves unless their
/// comment says otherwise.
class ControlPlane {
 public:
  /// @param incarnation must grow with each start of the process, as the
  ///     milliseconds of the wall clock do
  ControlPlane(const Settings& settings, uint64_t incarnation);

  /// Sets the hooks of the role. Does not lock the mutex.
  /// Precondition: no other thread uses this object yet.
  void SetHooks(RoleHooks hooks) { m_hooks = std::move(hooks); }

  /// Binds the control address of the settings. Does not lock the mutex.
  /// @return false with a reason on failure
  bool Bind(Error* reason);

  /// Waits up to `max_wait` for control messages, handles those received, runs
  /// the timers that are due and sends pending messages. Always call it from
  /// the same thread.
  void RunControlOnce(Duration max_wait);

  /// Merges targets that were read from the store into the targets in force and
  /// disseminates the newer ones.
  void MergeTargets(const std::vector<ClassTarget>& targets);

  /// Returns whether this process is one of those that read the store.
  bool IsStoreReader();

  /// Returns the mutex that protects all state of this object and of the role.
  std::mutex& Mutex() { return m_mutex; }

  // Precondition of all methods below: the caller holds the mutex.

  /// Returns whether the discovery of peers is over: another member is known,
  /// no seeds are configured, or the time for discovery has passed.
  bool IsDiscoveryDone(TimePoint now) const;
  /// Returns the data address of a member, or null.
  const sockaddr_in* DataAddress(MemberId id) const;
  /// Returns the targets in force.
  const TargetTable& Targets() const { return m_targets; }
  /// Returns the membership table, which includes members that are gone,
  /// ordered by identifier.
  const std::map<MemberId, Member>& Members() const { return m_members; }
  /// Returns the identifier of this process. It never changes; no mutex needed.
  MemberId Self() const { return m_self; }
  /// Returns the facts of this process at its start, from the settings.
  AgentFacts StartFacts() const;
  /// Returns the counters of the control channel.
  const ChannelCounters& ControlCounters() const {
    return m_channel.Counters();
  }
  /// Returns the counters of gossip.
  const GossipCounters& DisseminationCounters() const {
    return m_gossip.Counters();
  }
  /// Returns the number of malformed gossip items received.
  uint64_t MalformedItems() const { return m_malformed_items; }

 private:
  void OnItem(const proto::GossipItem& item);
  /// Stores the record of a member. If it says that this process was removed,
  /// raises m_incarnation, so that the next own record refutes it.
  void OnMemberItem(const proto::GossipItem& item);
  void OnFrame(const proto::ControlFrame& frame);
  void Tick(TimePoint now);
  void PublishSelf();
  /// Publishes the members that service groups have removed as gone.
  void PublishRemovals();
  /// Asks the seeds for all gossip items while no other member is known.
  void ContactSeeds(TimePoint now);
  /// Passes the members that are not gone to gossip if the membership changed.
  void UpdateGossipMembers();
  void SendPendingMessages();
  /// Adds the sender to a frame and sends it; drops it if the member's control
  /// address is unknown.
  void SendFrame(MemberId to, proto::ControlFrame* frame);
  /// Returns the control address of a member, or an empty string.
  std::string ControlAddress(MemberId id) const;

  Settings m_settings;       ///< Settings of this process.
  MemberId m_self;           ///< Derived from the name.
  uint64_t m_incarnation;    ///< Of the own record; see OnMemberItem.
  RoleHooks m_hooks;         ///< Callbacks of the role.
  std::mutex m_mutex;        ///< Protects all below.
  ControlChannel m_channel;  ///< Used by the control thread only.
  Gossip m_gossip;           ///< Members and targets.
  TargetTable m_targets;     ///< In force at this process.
  std::map<MemberId, Member> m_members;  ///< Includes members that are gone.
  /// Addresses from which members without a record have sent frames.
  std::unordered_map<MemberId, std::string> m_reply_addresses;
  bool m_members_changed = true;   ///< Gossip must get the new members.
  bool m_targets_changed = false;  ///< The role must be notified.
  TimePoint m_next_tick;           ///< When timers are next due.
  TimePoint m_next_seed_contact;   ///< When the seeds are next contacted.
  TimePoint m_discovery_deadline;  ///< End of the wait for another member.
  uint64_t m_malformed_items = 0;  ///< Gossip items that were malformed.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_CONTROL_PLANE_H_

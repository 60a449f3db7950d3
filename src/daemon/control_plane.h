// @file control_plane.h What balancers and agents share: membership, targets,
// control.
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

/// What the role of a process adds. All hooks run with the node's mutex held.
struct RoleHooks {
  /// A member is new or has changed.
  std::function<void(TimePoint, const Member&)> on_member;
  /// The targets in force have changed.
  std::function<void(TimePoint)> on_targets;
  /// A message of a service group has arrived.
  std::function<void(TimePoint, const proto::GroupMessage&)> on_group;
  /// Runs timers.
  std::function<void(TimePoint)> on_tick;
  /// Returns messages to send to service groups.
  std::function<std::vector<OutgoingGroupMessage>()> take_outgoing;
  /// Returns the own facts; their changes are published.
  std::function<AgentFacts()> self;
  /// Returns members that a service group has removed.
  std::function<std::vector<AgentFacts>()> removed;
};

/// Returns the time on the process's monotonic clock. Thread-safe.
TimePoint SteadyNow();

/// The control side of a process. Public methods lock the mutex themselves
/// unless they say otherwise; RunControl belongs to one thread.
class ControlPlane {
 public:
  /// @param incarnation grows with each start: milliseconds of the wall clock
  ControlPlane(const Settings& settings, uint64_t incarnation);

  /// Sets what the role adds. Precondition: before any thread runs.
  void SetHooks(RoleHooks hooks) { m_hooks = std::move(hooks); }

  /// Binds the control address. @return false with a reason on failure
  bool Bind(Error* reason);

  /// Handles messages and timers for about `length`. One thread only.
  void RunControl(Duration length);

  /// Takes in targets read from the store and spreads them.
  void AddTargets(const std::vector<ClassTarget>& targets);

  /// Returns whether this process is one of the readers of the store.
  bool IsStoreReader();

  /// Returns the mutex of all state, the role's included.
  std::mutex& Mutex() { return m_mutex; }

  // The following need the mutex to be held by the caller.

  /// Returns whether any other process has answered, or none is configured, or
  /// the wait for one is over.
  bool HasDiscoveredPeersLocked(TimePoint now) const;
  /// Returns the data address of a member, or null.
  const sockaddr_in* DataAddress(MemberId id) const;
  /// Returns the targets in force.
  const TargetTable& Targets() const { return m_targets; }
  /// Returns the members in the order of their ids.
  const std::map<MemberId, Member>& Members() const { return m_members; }
  /// Returns the own identifier.
  MemberId Self() const { return m_self; }
  /// Returns the own facts at the start.
  AgentFacts StartFacts() const;
  /// Returns counters of the transport.
  const ChannelCounters& ControlCounters() const {
    return m_channel.Counters();
  }
  /// Returns counters of dissemination.
  const GossipCounters& Dissemination() const { return m_gossip.Counters(); }
  /// Returns the number of malformed values seen.
  uint64_t MalformedItems() const { return m_malformed_items; }

 private:
  void OnItem(const proto::GossipItem& item);
  void OnMemberItem(const proto::GossipItem& item);
  void OnFrame(const proto::ControlFrame& frame);
  void Tick(TimePoint now);
  void PublishSelf();
  void PublishRemoved();
  void ContactSeeds(TimePoint now);
  void RefreshNeighbours();
  void SendAll();
  void SendFrame(MemberId to, proto::ControlFrame* frame);
  std::string ControlAddress(MemberId id) const;

  Settings m_settings;                   ///< As read.
  MemberId m_self;                       ///< From the name.
  uint64_t m_incarnation;                ///< Of this start.
  RoleHooks m_hooks;                     ///< What the role adds.
  std::mutex m_mutex;                    ///< Protects all below.
  ControlChannel m_channel;              ///< Used by the control thread only.
  Gossip m_gossip;                       ///< Members and targets.
  TargetTable m_targets;                 ///< In force here.
  std::map<MemberId, Member> m_members;  ///< All, gone ones included.
  /// Where a member last sent from, until its record arrives.
  std::unordered_map<MemberId, std::string> m_heard_from;
  bool m_members_changed = true;   ///< Neighbours must be chosen anew.
  bool m_targets_changed = false;  ///< The role must be told.
  TimePoint m_tick_deadline;       ///< Next timers.
  TimePoint m_seed_deadline;       ///< Next contact of the seeds.
  TimePoint m_lonely_deadline;     ///< Stop waiting for a first peer then.
  uint64_t m_malformed_items = 0;  ///< Items that could not be read.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_CONTROL_PLANE_H_

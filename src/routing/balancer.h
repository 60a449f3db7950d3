// @file balancer.h Routing decisions of one balancer, which has no flow state.
#ifndef MEDLARGAUGE_ROUTING_BALANCER_H_
#define MEDLARGAUGE_ROUTING_BALANCER_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "src/group/group.h"
#include "src/packet/packet_type.h"
#include "src/routing/balancer_type.h"
#include "src/target/target_type.h"

namespace medlargauge {

/// Returns the version split that a target defines. Thread-safe.
VersionSplit MakeVersionSplit(const ClassTarget& target);

/// Returns the splits of a service's classes, sorted by class. Deleted targets
/// are left out. Thread-safe.
std::vector<VersionSplit> MakeVersionSplits(
    const std::vector<ClassTarget>& targets,
    ServiceId service);

/// State machine of one balancer, which sends every packet to the home of its
/// flow. It takes part in the services' groups as an observer, so that agents
/// can tell a crashed peer from a network partition. Not thread-safe.
class Balancer {
 public:
  /// @param self facts of this balancer, in state kReady
  Balancer(AgentFacts self, GroupTimeouts timeouts);

  /// Returns the route of one packet, or the reason why it is rejected.
  RouteVerdict OnPacket(const PacketInfo& packet);

  /// Updates the membership table of `service` with an agent's facts. Facts of
  /// another balancer, for which `service` is not set, are ignored.
  void UpdateMember(TimePoint now, ServiceId service, const AgentFacts& facts);

  /// Sets the services whose groups this balancer observes; by default all. For
  /// the other services, agents become known through UpdateMember alone.
  void SetObservedServices(std::set<ServiceId> services);

  /// Replaces the targets in force, and rebuilds the routes and the splits of
  /// all groups.
  void SetTargets(const std::vector<ClassTarget>& targets);

  /// Handles a message of an agent. Only heartbeats have an effect.
  void OnMessage(TimePoint now, const proto::GroupMessage& message);

  /// Runs timers; call at least every 100 ms.
  void OnTick(TimePoint now);

  /// Announces to the agents that this balancer leaves.
  void Leave(TimePoint now);

  /// Returns the queued messages and clears the queue.
  std::vector<OutgoingGroupMessage> TakeOutgoing();

  /// Returns this balancer's view of a service; null if it has no group for it.
  const ServiceView* ViewOf(ServiceId service) const;
  /// Returns the groups by service.
  const std::map<ServiceId, std::unique_ptr<Group>>& Groups() const {
    return m_groups;
  }
  /// Returns the counters.
  const BalancerCounters& Counters() const { return m_counters; }

 private:
  /// Route table entry: the class that an address belongs to.
  struct ClassRoute {
    ClassId class_id;        ///< Class of the address.
    ServiceId service;       ///< Service of the class.
    uint64_t revision = 0;   ///< Revision of the target in force.
    Group* group = nullptr;  ///< Group of the service.
  };

  /// Returns the group of a service; creates it on first use.
  Group& GroupOf(ServiceId service);
  /// Returns whether this balancer takes part in the group of a service.
  bool IsObserved(ServiceId service) const;
  /// Counts a rejected packet. @return verdict without a next agent
  RouteVerdict Reject(ErrorKind kind);

  AgentFacts m_self;         ///< Facts of this balancer.
  GroupTimeouts m_timeouts;  ///< Timeouts of all groups.
  std::map<ServiceId, std::unique_ptr<Group>> m_groups;  ///< By service.
  std::map<IpAddress, ClassRoute> m_routes;  ///< By the address of the class.
  std::vector<ClassTarget> m_targets;        ///< Targets in force.
  std::optional<std::set<ServiceId>> m_observed;  ///< All services if unset.
  BalancerCounters m_counters;                    ///< Counters since the start.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_ROUTING_BALANCER_H_

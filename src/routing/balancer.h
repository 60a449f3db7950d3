// @file balancer.h The decisions of one balancer. It keeps no flow state.
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

/// Returns what a target says about versions. Thread-safe.
VersionSplit MakeVersionSplit(const ClassTarget& target);

/// Returns the splits of one service's live classes, sorted. Thread-safe.
std::vector<VersionSplit> MakeVersionSplits(
    const std::vector<ClassTarget>& targets,
    ServiceId service);

/// State machine of one balancer: sends every packet to the home of its flow.
/// It observes the groups of the services, so that agents can tell a crashed
/// peer from a cut between them. Not thread-safe.
class Balancer {
 public:
  /// @param self facts of this balancer, in state kReady
  Balancer(AgentFacts self, GroupTimeouts timeouts);

  /// Decides about one packet.
  RouteVerdict OnPacket(const PacketInfo& packet);

  /// Learns of an agent of `service`, or of another balancer if `service` is
  /// not set.
  void UpdateMember(TimePoint now, ServiceId service, const AgentFacts& facts);

  /// Chooses the services whose groups this balancer observes; by default all.
  /// The agents of the others become known through membership alone.
  void SetObservedServices(std::set<ServiceId> services);

  /// Puts targets in force.
  void SetTargets(const std::vector<ClassTarget>& targets);

  /// Takes in a message of an agent.
  void OnMessage(TimePoint now, const proto::GroupMessage& message);

  /// Runs timers; call at least every 100 ms.
  void OnTick(TimePoint now);

  /// Tells the agents that this balancer leaves.
  void Leave(TimePoint now);

  /// Returns and clears messages to send.
  std::vector<OutgoingGroupMessage> TakeOutgoing();

  /// Returns the agents of a service as this balancer sees them, or null.
  const ServiceView* ViewOf(ServiceId service) const;
  /// Returns the groups by service.
  const std::map<ServiceId, std::unique_ptr<Group>>& Groups() const {
    return m_groups;
  }
  /// Returns the counters.
  const BalancerCounters& Counters() const { return m_counters; }

 private:
  /// A class as packets find it.
  struct ClassRoute {
    ClassId class_id;        ///< The class.
    ServiceId service;       ///< Its service.
    uint64_t revision = 0;   ///< Target revision in force here.
    Group* group = nullptr;  ///< Group of the service.
  };

  Group& GroupOf(ServiceId service);
  bool IsObserved(ServiceId service) const;
  RouteVerdict Reject(ErrorKind kind);

  AgentFacts m_self;                                     ///< Own facts.
  GroupTimeouts m_timeouts;                              ///< Intervals.
  std::map<ServiceId, std::unique_ptr<Group>> m_groups;  ///< By service.
  std::map<IpAddress, ClassRoute> m_routes;  ///< By the address of a class.
  std::vector<ClassTarget> m_targets;        ///< In force here.
  std::optional<std::set<ServiceId>> m_observed;  ///< Unset: all services.
  BalancerCounters m_counters;                    ///< Only grow.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_ROUTING_BALANCER_H_

// @file fleet_discovery.h How a process finds the other members of the fleet.
#ifndef MEDLARGAUGE_FORWARDING_FLEET_DISCOVERY_H_
#define MEDLARGAUGE_FORWARDING_FLEET_DISCOVERY_H_

#include <vector>

#include "src/forwarding/membership_table.h"
#include "src/forwarding/target_reader.h"

namespace medlargauge {

/// After the start the seeds have this long to answer before the store is asked
/// for balancers.
inline constexpr Duration kBalancerListDelay = Milliseconds(60);

/// A status that is due to one member.
struct MemberContact {
  uint32_t ip = 0;              ///< Receiver.
  bool wants_members = false;   ///< Asks for a list of members.
  bool not_registered = false;  ///< The store's list lacks the receiver.
};

/// A call to the store that is due.
enum class MemberCall : uint8_t {
  kNone,
  kListBalancers,  ///< List the balancers to join through.
  kListAgents,     ///< List the registered agents.
  kRegister,       ///< Add this process to the list of its role.
};

/// State machine that schedules how a process joins the fleet, introduces
/// itself to members that can't know it, and registers in the store.
/// Deterministic: it maps (now, event) to messages and calls, and uses neither
/// a clock nor random numbers. Not thread-safe.
class FleetDiscovery {
 public:
  /// @param now start time of the process
  /// @param self this process; its id, role and address are used
  /// @param members owned by the caller; must outlive this object
  FleetDiscovery(TimePoint now,
                 const FleetMember& self,
                 MembershipTable* members);

  /// Call if the whole fleet starts for the first time. No flows of earlier
  /// processes exist then, so the registered agents are not listed.
  void OnFirstStart() { m_is_first_start = true; }

  /// Replaces the addresses of the processes to join through.
  void SetSeeds(std::vector<uint32_t> seeds) { m_seeds = std::move(seeds); }

  /// Returns the statuses that are due. Call about every 100 ms.
  std::vector<MemberContact> TakeContacts(TimePoint now);

  /// Returns the call to the store that is due. The caller carries it out and
  /// passes on its result; it makes one call at a time.
  /// @param leaving whether the process has begun a planned stop
  MemberCall NextCall(TimePoint now, bool leaving);

  /// Handles the result of kListBalancers.
  /// @param reached whether the store has answered
  /// @return the statuses to send
  std::vector<MemberContact> OnBalancersListed(
      TimePoint now,
      bool reached,
      const std::vector<uint32_t>& ips);
  /// Handles the result of kListAgents.
  /// @return the statuses to send
  std::vector<MemberContact> OnAgentsListed(TimePoint now,
                                            StoreResult result,
                                            const std::vector<uint32_t>& ips);
  /// Handles the result of kRegister.
  void OnRegistered(TimePoint now, StoreResult result);

  /// Returns whether the other balancers have to be told of an agent that was
  /// heard: this balancer has just started, as others may have, and the list of
  /// registered agents, which they rely on, lacks the agent.
  /// @param was_known whether the agent was heard or mentioned before
  bool MustTellBalancers(TimePoint now,
                         const FleetMember& agent,
                         bool was_known) const {
    return m_role == MemberRole::kBalancer && !was_known &&
           now < m_introductions_end && m_members->IsUnlistedAgent(agent);
  }
  /// Records a status of a balancer. After a long silence, balancers may have
  /// removed this process from the store.
  void OnBalancerHeard(TimePoint now);
  /// Registers again, as a balancer has not found this process in the list.
  void OnNotRegistered(TimePoint now);
  /// Registers again at this time.
  void RegisterAt(TimePoint time) { m_next_registration = time; }
  /// Makes a list of agents obsolete that was requested before this time, when
  /// all members have registered in the store's era.
  void OnRegistrationsCompleteAt(TimePoint complete_at);

  /// Stops registering, as the server of this agent has left.
  void Leave() { m_has_left = true; }
  /// Registers again if Leave was called.
  void Rejoin(TimePoint now);
  /// Returns whether Leave was called.
  bool HasLeft() const { return m_has_left; }
  /// Returns whether a complete list of the registered agents is known.
  bool IsListComplete() const { return m_is_list_complete; }

 private:
  /// Requests a member list from seeds and agents if no balancer is heard,
  /// otherwise from one of the balancers.
  void RequestMembers(TimePoint now, std::vector<MemberContact>* contacts);
  /// Contacts registered agents that were not heard yet: at first all of them,
  /// later some at a time. An agent answers the first status of a balancer.
  void ContactAgents(TimePoint now, std::vector<MemberContact>* contacts);
  /// Contacts the seeds that are not heard, so that two parts of a fleet that
  /// started apart find each other. Only balancers do so.
  void ContactSeeds(TimePoint now, std::vector<MemberContact>* contacts) const;
  /// Returns the addresses of the reachable members of a role.
  std::vector<uint32_t> ReachableIps(TimePoint now, MemberRole role) const;
  bool NeedsBalancers(TimePoint now) const;
  bool NeedsAgentList(TimePoint now);
  /// Returns the delay before the agents are listed again, doubled with each
  /// list that failed or was incomplete.
  Duration AgentListDelay(Duration first_delay) const;
  /// Returns whether this process has to be listed in the store. A few
  /// balancers are enough to join through.
  bool IsListed(TimePoint now) const;

  MemberId m_self;                  ///< Id of this process.
  MemberRole m_role;                ///< Its role.
  uint32_t m_ip;                    ///< Its address.
  MembershipTable* m_members;       ///< All other members.
  std::vector<uint32_t> m_seeds;    ///< Addresses to join through.
  TimePoint m_next_request;         ///< When RequestMembers is due.
  uint64_t m_requests = 0;          ///< Requests for members so far.
  uint32_t m_join_attempts = 0;     ///< Of these in a row without a balancer.
  TimePoint m_introductions_end;    ///< Until then introductions are frequent.
  TimePoint m_next_contact;         ///< When they are due after that.
  uint32_t m_last_contacted = 0;    ///< Last agent that was contacted.
  TimePoint m_balancer_heard_at;    ///< Last status of a balancer.
  TimePoint m_next_balancer_list;   ///< When kListBalancers may be due.
  TimePoint m_next_agent_list;      ///< When kListAgents may be due.
  TimePoint m_list_requested_at;    ///< Last kListAgents.
  TimePoint m_listed_at;            ///< When the last list was requested.
  bool m_is_list_complete = false;  ///< See IsListComplete.
  uint32_t m_useless_lists = 0;     ///< Failed or incomplete ones in a row.
  bool m_is_first_start = false;    ///< See OnFirstStart.
  TimePoint m_registered_at;        ///< Last successful registration.
  TimePoint m_next_registration;    ///< When kRegister is due.
  bool m_has_left = false;          ///< See HasLeft.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_FLEET_DISCOVERY_H_

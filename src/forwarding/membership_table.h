// @file membership_table.h Fleet members and their liveness.
#ifndef MEDLARGAUGE_FORWARDING_MEMBERSHIP_TABLE_H_
#define MEDLARGAUGE_FORWARDING_MEMBERSHIP_TABLE_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "src/forwarding/compatibility/protocol.h"
#include "src/forwarding/cost/fleet_costs.h"
#include "src/forwarding/forwarding_type.h"
#include "src/forwarding/peer.pb.h"

namespace medlargauge {

/// Silence after which a member changes its liveness state. These values hold
/// for a small fleet: the status interval grows with the fleet, and all
/// timeouts except `contact_loss` grow with it.
struct MembershipTimeouts {
  /// Silence of all members at once: this host itself was disconnected.
  Duration contact_loss = Milliseconds(900);
  /// Unreachable; spans three status intervals of an agent.
  Duration unreachable = Milliseconds(900);
  /// Delay allowed on top of two status intervals.
  Duration status_delay = Milliseconds(200);
  /// Suspected to have failed. An unplanned restart of an agent takes less than
  /// this; after it, a repeatable request has better chances at another agent.
  Duration suspected = Milliseconds(1300);
  /// Presumed dead, so that its flows are reset. Longer than the planned
  /// restart of an agent and than an outage that a host may have.
  Duration presumed_dead = Milliseconds(5000);
  /// The same for an agent that announced a planned stop while its server ran,
  /// and whose host refuses probes: the grace period and a start.
  Duration planned_restart = Seconds(15);
  /// Removed from the table; the longest lifetime of a flow.
  Duration removal = Seconds(60);
  /// Between two probes of a silent agent.
  Duration probe_interval = Seconds(1);
};

/// Outcome of an attempt to connect to the control address of a silent member.
enum class ProbeOutcome : uint8_t {
  kAccepted,  ///< The member's process exists; it is slow or suspended.
  kRefused,   ///< The host answers, but no process listens there.
  kNoAnswer,  ///< No answer in time: the host is down or cut off.
};
inline constexpr size_t kProbeOutcomeCount = 3;

/// Probes of a member since it was last heard.
struct ProbeState {
  bool requested = false;               ///< The first probe is due or running.
  std::optional<ProbeOutcome> outcome;  ///< Of the latest probe, if any ended.
  TimePoint accepted;                   ///< Last kAccepted; zero: none.
  TimePoint started;                    ///< Start of the latest probe.
  /// Start of the first of the probes that failed in a row; zero: none did.
  TimePoint failing_since;
  TimePoint next;  ///< When another probe is due.

  /// Ends the probes, as the member was heard. The time of the next one stays,
  /// so that packets left unanswered don't cause more of them.
  void End() {
    const TimePoint next_probe = next;
    *this = ProbeState();
    next = next_probe;
  }
};

/// What this process knows of another member.
struct MemberEntry {
  FleetMember member;  ///< Latest known state.
  /// Of its build; valid once it has sent a status.
  ProtocolVersion protocol = kFirstProtocol;
  TimePoint heard;          ///< Last message from the member; zero: none yet.
  TimePoint status_at;      ///< Last status of this incarnation; zero: none.
  TimePoint discovered_at;  ///< First status, or first mention by a peer.
  TimePoint avoid_until;    ///< Other agents are preferred until then, as this
                            ///< one left an opening packet unanswered.
  uint32_t sequence = 0;    ///< Sequence number of its latest status.
  uint32_t pending = 0;     ///< Flows placed there since its last load report.
  ServerSlowness slowness;  ///< Agents only: speed of the server.
  uint32_t fleet_size = 0;  ///< Number of other members that it counts.
  uint32_t agents_heard = 0;  ///< Number of agents that it reports as heard.
  /// Which of them may hold flows, see ServingDigest; 0: not stated.
  uint64_t serving_digest = 0;
  uint64_t store_era = 0;  ///< Newest era of the store that it knows.
  /// Agents only: since when it no longer counts as live; zero: it does.
  TimePoint ended_at;
  bool leaving = false;  ///< The member has announced a planned stop.
  /// Not heard yet: another process reached the member when it passed on the
  /// state in `member`.
  bool mentioned_as_reachable = false;
  /// Time as of which it knows that its targets and evacuations are the newest
  /// ones in the store; zero: unknown, or its build does not prove it.
  TimePoint current_as_of;
  bool store_failing = false;  ///< It says that its last such call failed.
  ProbeState probe;            ///< Reset whenever the member is heard.
};

/// Membership table of the fleet with a timeout-based failure detector. Not
/// thread-safe.
class MembershipTable {
 public:
  /// @param self id of this process, which never gets an entry
  MembershipTable(MemberId self, MembershipTimeouts timeouts)
      : m_self(self), m_timeouts(timeouts) {}

  /// Updates a member from its own status. Removes another member with the same
  /// address and role if that one started earlier or is unreachable, because
  /// its host was replaced.
  /// @return whether the member is new or has restarted
  bool OnStatus(TimePoint now, const proto::PeerStatus& status);

  /// Adds a member that another process mentioned. Ignores members that are
  /// known and members at the address of a known one.
  /// @param sender version of that process, which decides what a mention shows
  /// @return whether it was added
  bool Learn(TimePoint now, const FleetMember& member, ProtocolVersion sender);

  /// Updates the load of a known agent from its load report.
  void OnLoad(TimePoint now, MemberId id, const ServerLoad& load);

  /// Records that the server of an agent does not run, until the agent's next
  /// status.
  void OnServerDown(MemberId id);

  /// Records that an agent has left a packet unanswered. It is probed at once,
  /// because the next status of a dead agent is missed much later in a large
  /// fleet.
  void OnUnanswered(MemberId id);

  /// Returns agents that have become unreachable, or left a packet unanswered,
  /// and whose probe is due, those that have waited longest first. Until the
  /// first probe of an agent has ended, its silence does not count.
  /// Precondition: the caller probes each one and passes the outcome to
  /// OnProbe.
  /// @param limit largest number of agents to return
  std::vector<MemberId> TakeDueProbes(TimePoint now, size_t limit);

  /// Records how a probe has ended. Ignored if the member was heard meanwhile.
  /// @return whether it is the first outcome of this silence, or another one
  ///     than before
  bool OnProbe(TimePoint now, MemberId id, ProbeOutcome outcome);

  /// Removes members that have been silent for the removal timeout, even if
  /// their host accepts probes.
  /// @return the removed members
  std::vector<FleetMember> OnTick(TimePoint now);

  /// Returns the entry of a member, or null.
  MemberEntry* Find(MemberId id);
  const MemberEntry* Find(MemberId id) const;
  /// Returns the entry with this address and role, or null.
  MemberEntry* FindByAddress(uint32_t ip, MemberRole role);

  /// Returns the members that a joining member of this role needs to know:
  /// those that sent a message and are not presumed dead; for an agent only
  /// balancers, because agents do not talk to each other. Agents without a
  /// server are listed only while they are reachable.
  std::vector<const FleetMember*> KnownPeersFor(TimePoint now,
                                                MemberRole role) const;

  /// Returns whether the member was heard within the unreachable timeout, and
  /// no probe has failed since.
  bool IsReachable(TimePoint now, const MemberEntry& entry) const;
  /// Returns whether the member has been silent for longer than an unplanned
  /// restart takes, although others were heard and it had announced no stop. A
  /// member that was only mentioned may not know this process, so only failed
  /// probes count there.
  /// An accepted probe ends a silence, here and in IsPresumedDead; probes that
  /// fail for as long as the timeout of a small fleet show the same.
  bool IsSuspected(TimePoint now, const MemberEntry& entry) const;
  /// Returns whether the member has been silent for so long, although others
  /// were heard, that its flows have to be given up.
  bool IsPresumedDead(TimePoint now, const MemberEntry& entry) const;
  /// Returns whether the agent's server had stopped when the agent was last
  /// heard, and the agent leaves as well, so that no flow remains there. Of an
  /// agent that was only mentioned, probes have to show that it has left.
  bool HasLeftStopped(TimePoint now, const MemberEntry& entry) const {
    const bool has_left = entry.heard != TimePoint()
                              ? entry.leaving || !IsReachable(now, entry)
                              : entry.mentioned_as_reachable &&
                                    entry.probe.failing_since != TimePoint();
    return has_left && entry.member.state == AgentState::kGone;
  }
  /// Returns the number of reachable members whose build has another protocol
  /// version than this one, and the lowest version among them.
  std::pair<size_t, ProtocolVersion> CountOtherProtocols(TimePoint now) const;
  /// Returns the number of reachable members of a role.
  size_t CountReachable(TimePoint now, MemberRole role) const;

  /// Returns the number of other members in the fleet. A balancer counts its
  /// entries; an agent, which knows only balancers, takes the largest count
  /// that a balancer reports.
  size_t FleetSize(MemberRole own_role) const;
  /// Returns the largest number of other members that a reachable balancer
  /// counts; 0 if none is reachable.
  size_t LargestReportedSize(TimePoint now) const;
  /// Returns the number of agents that are heard, those that are presumed dead
  /// or have left excluded.
  uint32_t CountLiveAgents(TimePoint now) const;
  /// Returns the largest number of agents that a reachable member reports as
  /// heard; 0 if none does. Agents that have ended since the report was made
  /// don't count, as this process knows better by now.
  uint32_t LargestReportedAgents(TimePoint now) const;
  /// Returns whether a reachable member may hear an agent with flows that is
  /// not heard here: it reports more agents, and not the same ones with a
  /// server. Those without one hold no flow, and some processes notice later
  /// than others that they have left.
  bool MayMissAgents(TimePoint now) const;
  /// Identifies the live agents that have not stated that no server runs, by
  /// id and incarnation. Never 0.
  uint64_t ServingDigest(TimePoint now) const;
  /// Returns the digest that belongs to LargestReportedAgents of an agent,
  /// which passes on what balancers have reported; 0 if none has stated one.
  uint64_t LargestReportedDigest(TimePoint now) const;

  /// Records that this process has met the fleet: it has heard another
  /// balancer, or no other process exists to join through.
  void OnFleetMet() { m_has_met_fleet = true; }
  /// Returns whether OnFleetMet was called, a balancer was heard, or the list
  /// of registered agents is known. A process that has not met the fleet knows
  /// only the members that happen to know it.
  bool HasMetFleet() const {
    return m_has_met_fleet || m_has_registered_agents;
  }

  /// Sets the addresses of the registered agents.
  /// @return false if the list is evidently incomplete, because it is empty or
  ///     lacks an agent that is heard; it is then not taken for complete
  bool SetRegisteredAgents(TimePoint now, const std::vector<uint32_t>& ips);
  /// Makes the registered agents unknown until SetRegisteredAgents is called
  /// again, because the store may have lost registrations.
  void WithdrawRegisteredAgents() { m_has_registered_agents = false; }
  /// Returns the addresses of reachable agents that the list of registered
  /// agents lacks.
  std::vector<uint32_t> UnlistedAgents(TimePoint now) const;
  /// Returns whether the list of registered agents is known and lacks this
  /// agent.
  bool IsUnlistedAgent(const FleetMember& member) const {
    return m_has_registered_agents && member.role == MemberRole::kAgent &&
           m_listed_agents.count(member.ip) == 0;
  }
  /// Returns the registered agents that have not been heard yet.
  const std::set<uint32_t>& UnheardRegisteredAgents() const {
    return m_unheard_agents;
  }
  /// Returns whether a registered agent was never heard, but may still be
  /// alive.
  bool IsRegisteredAgentMissing(TimePoint now) const {
    return !m_unheard_agents.empty() &&
           now - m_registered_at <= m_timeouts.presumed_dead;
  }
  /// Returns whether the registered agents are known and each has been heard,
  /// and no other agent is heard.
  bool HasHeardRegisteredAgents(TimePoint now) const {
    return m_has_registered_agents && m_unheard_agents.empty() &&
           UnlistedAgents(now).empty();
  }
  /// Returns the interval at which the member sends statuses.
  static Duration StatusIntervalOf(const MemberEntry& entry);

  /// Returns when a message from any member last arrived; zero if none has.
  TimePoint LastContact() const { return m_last_contact; }

  /// Returns when the most recent agent was discovered; zero if none was.
  TimePoint LastAgentDiscovery() const { return m_last_agent_discovery; }

  /// Returns all entries, ordered by member id.
  const std::map<MemberId, MemberEntry>& Entries() const { return m_entries; }

 private:
  using Address = std::pair<uint32_t, MemberRole>;

  /// Assigns the member's address to it and removes the member that had it.
  /// @return false if a reachable member with a later start has the address
  bool ClaimAddress(TimePoint now, const FleetMember& member);
  /// Returns whether an agent was heard, is not presumed dead and has not left.
  bool IsLiveAgent(TimePoint now, const MemberEntry& entry) const;
  /// Updates MemberEntry::ended_at.
  void UpdateEnd(TimePoint now, MemberEntry* entry) const;
  /// Returns the reachable member with the largest report that has to be
  /// compared with the own count, and that count; null if there is none.
  /// @param own_digest reports with this digest are left out; 0: none is
  std::pair<const MemberEntry*, uint32_t> LargestReport(
      TimePoint now,
      uint64_t own_digest) const;
  /// Returns a time before which the number of agents that the member reports
  /// was counted by nobody.
  TimePoint AgentsCountedAfter(const MemberEntry& entry) const;
  /// Returns the silence after which the member is unreachable.
  Duration ReachabilityTimeout(const MemberEntry& entry) const;
  /// Returns for how long the member has shown no sign of life. If all members
  /// fell silent at once, this host itself was disconnected; that time does not
  /// count. Zero while the outcome of the first probe is awaited.
  Duration CountedSilence(TimePoint now, const MemberEntry& entry) const;
  /// Returns for how long all probes of the member have failed. If all members
  /// fell silent at once, that time does not count.
  Duration ProbedSilence(TimePoint now, const MemberEntry& entry) const;
  /// Returns whether the silence of an agent has to be verified by probes.
  bool NeedsProbes(TimePoint now, const MemberEntry& entry) const;
  void RecordDiscovery(TimePoint now, const FleetMember& member);
  void RecordContact(TimePoint now);

  MemberId m_self;                            ///< Id of this process.
  MembershipTimeouts m_timeouts;              ///< Values for a small fleet.
  std::map<MemberId, MemberEntry> m_entries;  ///< Other members.
  std::map<Address, MemberId> m_by_address;   ///< Current owner of an address.
  TimePoint m_last_contact;                   ///< See LastContact.
  TimePoint m_contact_since;                  ///< Start of unbroken contact.
  TimePoint m_last_agent_discovery;           ///< See LastAgentDiscovery.
  bool m_has_met_fleet = false;               ///< See OnFleetMet.
  bool m_has_registered_agents = false;       ///< A complete list is known.
  TimePoint m_registered_at;                  ///< When it was set.
  std::set<uint32_t> m_listed_agents;         ///< Addresses in the last list.
  std::set<uint32_t> m_unheard_agents;  ///< Registered, but not heard yet.
};

/// Converts a member to its wire message. Thread-safe.
proto::PeerMember EncodeMember(TimePoint now, const FleetMember& member);
/// Converts a wire message to a member; the id is 0 if the message is
/// malformed. Thread-safe.
FleetMember DecodeMember(TimePoint now, const proto::PeerMember& message);
/// Distributes members over statuses, as a datagram has room for a limited
/// number of them. Thread-safe if `make_status` is.
/// @param per_status largest number of members of a status; at least one
/// @return one status at least
std::vector<proto::PeerStatus> MakeMemberLists(
    TimePoint now,
    const std::vector<const FleetMember*>& members,
    int per_status,
    const std::function<proto::PeerStatus()>& make_status);
/// Converts a load to its wire message. Thread-safe.
proto::PeerLoad EncodeLoad(TimePoint now, const ServerLoad& load);
/// Converts a wire message to a load; limits values that are out of range.
/// Thread-safe.
ServerLoad DecodeLoad(TimePoint now, const proto::PeerLoad& message);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_MEMBERSHIP_TABLE_H_

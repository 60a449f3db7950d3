// @file flow_director.h Forwarding decisions of a balancer.
//
// The balancer remembers which agent each flow went to, but correctness does
// not depend on it: a backend server returns packets of flows that it does not
// hold. The owner of a flow that this balancer does not know is therefore found
// by forwarding the packet to one agent after the other.
#ifndef MEDLARGAUGE_FORWARDING_FLOW_DIRECTOR_H_
#define MEDLARGAUGE_FORWARDING_FLOW_DIRECTOR_H_

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/core/error_type.h"
#include "src/forwarding/active_routes.h"
#include "src/forwarding/evacuation/evacuations.h"
#include "src/forwarding/held_packets.h"
#include "src/forwarding/membership_table.h"
#include "src/forwarding/opening_queue.h"
#include "src/forwarding/owner_queries.h"
#include "src/forwarding/placement.h"
#include "src/forwarding/target_outlook.h"

namespace medlargauge {

/// Timeouts and limits of a balancer's flow table.
struct DirectorLimits {
  /// An opening packet that the agent has not confirmed by then goes to another
  /// agent, before the caller retransmits it after 200 ms.
  Duration opening_retry_delay = Milliseconds(90);
  /// Lifetime of an opening flow; callers give up after 1.4 s.
  Duration opening = Seconds(2);
  /// Lifetime after FIN or RST, for the last acknowledgements.
  Duration closing = Seconds(3);
  /// Lifetime of an idle flow until the targets state a value.
  Duration idle = Seconds(30);
  /// A search that lasts longer is reported. Packets of an open flow may reach
  /// other servers for 2 s.
  Duration long_search = Seconds(1);
  /// During a search, an agent that has not answered by then is skipped.
  Duration search_timeout = Milliseconds(120);
  /// Flows that are older get a pointer at their home agent.
  Duration pointer_min_age = Milliseconds(500);
  /// A balancer that has heard no member for this long considers itself
  /// isolated and leaves the rotation. Agents send a status every 300 ms and a
  /// note for each flow.
  Duration isolation_timeout = Milliseconds(350);
  /// After a start, some members may not have been discovered before this time.
  Duration startup_discovery_time = Milliseconds(1500);
  /// After the discovery of an agent, more may follow within this time.
  Duration discovery_quiet_time = Milliseconds(1000);
  /// After this many agents returned an opening packet as busy, it goes to the
  /// one of them with the shortest queue, as the last candidate.
  uint32_t max_busy_returns = 5;
  /// Limit of how often an unconfirmed opening packet is sent to another agent.
  uint32_t max_opening_retries = 3;
  size_t max_flows = 200000;  ///< Table entries of about 120 bytes each.
  /// A new flow that waits for a server is reset after this time, counted from
  /// its first opening packet; its caller gives up after 1.4 s.
  Duration max_opening_wait = Milliseconds(1200);
  /// A balancer without targets resets new flows at once when the store has
  /// been silent for longer. Callers give up all their tries within 8 s, and a
  /// reset uses up a try.
  Duration store_patience = Seconds(10);
  /// A packet of a flow whose owner is unknown is kept for at most this long.
  Duration max_packet_hold = Seconds(2);
  size_t max_held_bytes = 4'000'000;  ///< Limit of each buffer of packets.
  /// A search that has as many agents left to ask joins a query.
  size_t min_agents_to_query = 8;
};

/// Why a balancer takes the agents that it knows for all agents of the fleet.
enum class DiscoveryBasis : uint8_t {
  kIncomplete,  ///< It does not: more agents may exist.
  kQuiet,       ///< No agent was discovered for some time after the start.
  kRegistered,  ///< All agents that the store listed were heard.
  kCounted,     ///< No other member counts more members.
};

/// What the reset of an open flow rests on, for the log.
struct ResetEvidence {
  DiscoveryBasis discovery = DiscoveryBasis::kIncomplete;
  uint32_t denials = 0;   ///< Agents that returned a packet of the flow.
  uint32_t agents = 0;    ///< Agents that the balancer knows.
  TimePoint owner_heard;  ///< Last message of a silent owner; zero: none.
  /// Outcome of the latest probe of a silent owner, if any ended.
  std::optional<ProbeOutcome> owner_probe;
};

/// What to do with a packet.
struct DirectorDecision {
  /// kHold: the director keeps the packet; OnTick decides about it later.
  enum class Kind : uint8_t { kDrop, kForward, kReset, kHold };
  Kind kind = Kind::kDrop;             ///< Action.
  MemberId agent;                      ///< kForward: destination.
  ForwardHeader header;                ///< kForward: header to send with it.
  ErrorKind error = ErrorKind::kNone;  ///< Other kinds: reason.
  bool long_search = false;  ///< The search of the flow has become long.
  ResetEvidence evidence;    ///< kReset of an open flow.
};

/// What to do with a packet that the director stored when it arrived.
struct DeferredDecision {
  FlowPacket packet;          ///< Parsed header.
  std::string raw;            ///< Bytes as received from the caller.
  DirectorDecision decision;  ///< Forwards, drops or resets.
  bool unanswered = false;    ///< An agent did not confirm the packet in time.
};

/// Forwarding pointer: tells the home agent of a flow, which a search asks
/// first, which agent owns the flow.
struct OwnerPointer {
  MemberId home;   ///< Agent that a search asks first.
  FlowKey flow;    ///< Flow that the pointer is for.
  MemberId owner;  ///< Agent whose backend server holds the flow.
};

/// Monotonic counters.
struct DirectorCounters {
  uint64_t opened = 0;           ///< New flows placed on an agent.
  uint64_t forwarded = 0;        ///< Packets sent to agents.
  uint64_t searches = 0;         ///< Searches started for the owner of a flow.
  uint64_t search_steps = 0;     ///< Agents asked in searches.
  uint64_t long_searches = 0;    ///< Searches that took long.
  uint64_t double_openings = 0;  ///< New flows that two servers accepted.
  uint64_t silence_resets = 0;   ///< Open flows reset for a silent owner.
  uint64_t late_openings = 0;    ///< Unconfirmed opening packets sent again.
  uint64_t busy_returns = 0;     ///< Opening packets returned by busy agents.
  uint64_t queued = 0;           ///< New flows that had to wait for a server.
  uint64_t held = 0;             ///< Other packets that had to wait.
  uint64_t target_resets = 0;    ///< New flows reset for lack of targets.
  uint64_t queries = 0;          ///< Queries sent, one for each receiver.
  uint64_t queried_flows = 0;    ///< Flows whose search joined a query.
  std::array<uint64_t, kErrorKindCount> rejected{};  ///< By ErrorKind.
};

/// State machine of a balancer. Deterministic: it maps (now, event) to a
/// decision and uses neither a clock nor random numbers. Not thread-safe.
class FlowDirector {
 public:
  /// @param now start time of the balancer
  /// @param domain failure domain of the balancer
  /// @param members, routes owned by the caller; must outlive this object
  /// @param policy places new flows
  FlowDirector(TimePoint now,
               DomainId domain,
               MembershipTable* members,
               const ActiveRoutes* routes,
               DirectorLimits limits,
               PlacementPolicy policy);

  /// Decides what to do with a packet from a caller.
  /// @param raw bytes of the packet, copied if it opens a flow
  DirectorDecision OnCallerPacket(TimePoint now,
                                  const FlowPacket& packet,
                                  ByteView raw);

  /// Decides what to do with a packet that an agent returned.
  /// @param from agent that returned the packet
  /// @param owner agent that owns the flow, if `reason` is kMoved
  /// @param raw bytes of the packet, copied if it has to wait
  DirectorDecision OnReturned(TimePoint now,
                              MemberId from,
                              ReturnReason reason,
                              MemberId owner,
                              const FlowPacket& packet,
                              ByteView raw);

  /// Records that the backend server of an agent has accepted a flow.
  /// @param proven whether the caller is known to have accepted that server
  ///     too; if not, it may have accepted another server instead
  void OnFlowConfirmed(TimePoint now,
                       MemberId from,
                       const FlowKey& flow,
                       bool proven);

  /// Handles the answer of an agent to a query.
  /// @param knows_all, held see OwnerQueries::OnAnswer
  /// @return decisions about the packets that waited for it
  std::vector<DeferredDecision> OnQueryAnswer(
      TimePoint now,
      MemberId from,
      uint64_t id,
      bool knows_all,
      const std::vector<uint32_t>& held);

  /// Returns and clears the queries to send.
  std::vector<OwnerQuery> TakeQueries();

  /// Runs timers. Call at least every 20 ms while flows are opening or packets
  /// are held.
  /// @return decisions about stored packets
  std::vector<DeferredDecision> OnTick(TimePoint now);

  /// Sets what is known about getting the first targets. Without it they are
  /// expected at any time.
  void SetTargetOutlook(const TargetOutlook& outlook) {
    m_target_outlook = outlook;
  }

  /// Sets the failure domains that get no new flows; open flows stay there.
  void SetEvacuatedDomains(DomainSet domains) {
    m_evacuated_domains = std::move(domains);
  }

  /// Returns and clears the queued pointers. Short-lived flows get none.
  std::vector<OwnerPointer> TakePointers();

  /// Queues pointers for all flows that have none yet. Call when this balancer
  /// stops.
  void QueueAllPointers(TimePoint now);

  /// Returns when OnTick has to run next; nullopt if no packet is stored.
  std::optional<TimePoint> NextDeadline(TimePoint now) const;

  /// Returns whether this balancer has targets, is not isolated and reaches an
  /// agent, so that it may get new flows.
  bool CanServe(TimePoint now) const;

  /// Returns the counters.
  const DirectorCounters& Counters() const { return m_counters; }
  /// Returns the number of entries in the flow table.
  size_t FlowCount() const { return m_flows.size(); }
  /// Returns the number of packets that wait for a decision.
  size_t HeldCount() const;

 private:
  /// kOpening: waits for an agent to confirm the flow; kOwnerKnown: packets go
  /// to the owner; kSearching: the owner is being looked for.
  enum class Phase : uint8_t { kOpening, kOwnerKnown, kSearching };

  /// Entry of the flow table.
  struct Flow {
    Phase phase = Phase::kOpening;
    bool use_pointer = true;       ///< Search: no pointer was followed yet.
    bool pointer_handled = false;  ///< A pointer is queued or not needed.
    bool last_candidate = false;   ///< See ForwardHeader::last_candidate.
    bool found_full = false;       ///< Opening: an agent had no room for it.
    bool all_restricted = false;   ///< See ForwardHeader::all_restricted.
    /// Opening: in the queue of its service; waits there while `agent` is
    /// unset.
    bool is_queued = false;
    /// The caller is known to have accepted the server of `agent`.
    bool owner_proven = false;
    uint8_t opening_retries = 0;  ///< Opening packets left unconfirmed.
    /// Search: how often only silent agents were left; they are given more time
    /// each time.
    uint8_t silent_rounds = 0;
    /// Sequence number of the SYN; a SYN with another one opens a new flow.
    uint32_t syn_sequence = 0;
    MemberId agent;     ///< Destination of packets.
    ServiceId service;  ///< Service requested from the agent.
    /// Search: returned the packet because their server did not run.
    std::vector<MemberId> server_down;
    /// Agents that returned the packet or did not confirm it.
    std::vector<MemberId> tried;
    std::vector<MemberId> busy;           ///< Returned the packet as kBusy.
    std::vector<MemberId> likely_owners;  ///< Were sent or confirmed the flow.
    std::vector<MemberId> unresponsive;   ///< Search: timed out.
    bool is_queried = false;   ///< Search: waits for the end of a query.
    bool was_queried = false;  ///< Search: a query has ended.
    TimePoint queried_at;      ///< When the flow joined the query.
    /// Search: agents that denied the flow in a query.
    std::shared_ptr<const MemberSet> deniers;
    TimePoint search_report_at;  ///< Search: when it is reported; zero: done.
    TimePoint asked_at;          ///< Search: when `agent` was asked.
    TimePoint owner_since;       ///< When the owner became known.
    uint64_t owner_incarnation = 0;  ///< Of its agent at that time.
    TimePoint used_since;  ///< First later packet sent to the owner; or zero.
    std::string syn;       ///< Opening packet, until the owner is known.
    TimePoint answer_deadline;  ///< Opening: when to try another agent.
    TimePoint wait_deadline;    ///< Opening: when to give up waiting.
    /// Opening: when an answer becomes late; zero: the route has no goal.
    TimePoint goal_deadline;
    /// Opening: when its caller gives up the request; zero: not known.
    TimePoint request_deadline;
    bool is_late = false;  ///< Opening: can't be answered within its goal.
    /// Opening: when the caller has given up if it has not sent the opening
    /// packet again by then; zero: it sends it no more.
    TimePoint copy_deadline;
    TimePoint expires;  ///< When the entry is removed.
  };
  using FlowMap = std::unordered_map<FlowKey, Flow, FlowKeyHash>;

  /// Handles a packet to an address that has no route.
  DirectorDecision OnUnroutedPacket(TimePoint now,
                                    const FlowPacket& packet,
                                    ByteView raw);
  /// Handles a SYN. @param arrived when the balancer received it
  DirectorDecision OnOpeningPacket(TimePoint now,
                                   TimePoint arrived,
                                   const ServiceRoute& route,
                                   const FlowPacket& packet,
                                   ByteView raw);
  /// Handles a packet other than a SYN.
  DirectorDecision OnLaterPacket(TimePoint now,
                                 const ServiceRoute& route,
                                 const FlowPacket& packet,
                                 ByteView raw);
  /// Handles a SYN that an agent returned.
  DirectorDecision OnReturnedOpening(TimePoint now,
                                     const ServiceRoute& route,
                                     MemberId from,
                                     ReturnReason reason,
                                     FlowMap::iterator found);
  /// Chooses an agent for a new flow among those not tried yet, or the last
  /// candidate among the busy ones.
  DirectorDecision PlaceFlow(TimePoint now,
                             const ServiceRoute& route,
                             const FlowKey& key,
                             Flow* flow);
  /// Puts a flow into phase kSearching, because its owner is unknown.
  void BeginSearch(TimePoint now, const FlowKey& key, Flow* flow);
  /// Returns when the agent that the search asks now counts as silent.
  TimePoint SearchDeadline(const Flow& flow) const;
  /// Makes `agent` the one that the search asks now.
  void SetSearchTarget(TimePoint now, MemberId agent, Flow* flow);
  /// Lets the search wait for a query of all agents, if so many of them are
  /// left that this is cheaper than to ask one after the other.
  /// @return whether it waits
  bool JoinQuery(TimePoint now, const FlowKey& key, Flow* flow);
  /// Starts the queries that are due.
  void StartQueries(TimePoint now);
  /// Goes on with the searches that waited for a query.
  void OnQueryResults(TimePoint now,
                      const std::vector<QueriedFlow>& results,
                      std::vector<DeferredDecision>* decisions);
  /// Skips the agent that the search asks now, and has it probed.
  void OnSearchTimeout(Flow* flow);
  /// Forwards to the next agent of the search, or ends the search.
  DirectorDecision ContinueSearch(TimePoint now,
                                  const FlowKey& key,
                                  Flow* flow);
  /// Resets a flow that no agent is left to ask for, and removes it.
  DirectorDecision ResetUnknownFlow(TimePoint now,
                                    const FlowKey& key,
                                    const Flow& flow);
  /// Returns whether all agents that may still own the flow are suspected, so
  /// that its caller has better chances with a new flow, as where a suspected
  /// agent is known to own it.
  bool MayGiveUpSilentAgents(TimePoint now,
                             const FlowKey& key,
                             const Flow& flow) const;
  /// Returns whether a member is an agent, of any service, that has not denied
  /// the flow.
  bool MayOwnFlow(TimePoint now,
                  const Flow& flow,
                  const MemberEntry& entry) const;
  /// Returns the agent to ask next; nullopt if all were asked.
  std::optional<MemberId> NextSearchCandidate(TimePoint now,
                                              const FlowKey& key,
                                              const Flow& flow) const;
  /// Returns the agents that may get a new flow of the service.
  std::vector<PlacementCandidate> Candidates(
      TimePoint now,
      ServiceId service,
      const std::vector<MemberId>& excluded) const;
  /// Returns the servers of a service if all are restricted, as none of them is
  /// better than another then; otherwise, or the second time, nothing.
  std::vector<PlacementCandidate> RestrictedCandidates(TimePoint now,
                                                       ServiceId service,
                                                       Flow* flow) const;
  /// Learns from the load that an agent has sent with a message about a route.
  void LearnCost(TimePoint now, MemberId from, SocketAddress4 route);
  /// Returns a decision to forward to the agent of the flow, and counts it.
  DirectorDecision Forward(TimePoint now,
                           const ServiceRoute& route,
                           const Flow& flow);
  /// Returns whether not even the fastest candidate can answer a new flow
  /// within its goal.
  static bool IsLate(TimePoint now,
                     const Flow& flow,
                     const std::vector<PlacementCandidate>& candidates);
  /// Returns the time that is left for the answer to a new flow: up to its goal
  /// or, if it is late, until its caller gives up. 0: no limit.
  static uint32_t ResponseLimitMs(TimePoint now, const Flow& flow);
  /// Sets the deadlines of a new flow. @param arrived arrival of its opening
  /// packet
  void SetOpeningDeadlines(TimePoint arrived,
                           const ServiceRoute& route,
                           const FlowPacket& packet,
                           Flow* flow) const;
  /// Returns whether the agent that confirmed the opening of the flow has
  /// restarted since. The new process doesn't know its server's answer, so it
  /// would deliver packets that accept another server.
  static bool HasOwnerRestarted(const Flow& flow, const MemberEntry& owner) {
    return owner.member.incarnation != flow.owner_incarnation;
  }
  /// Returns whether the caller is known to have accepted the owner: the same
  /// process was heard after it had got a packet that it would have returned
  /// otherwise.
  bool IsOwnerProven(const Flow& flow, const MemberEntry& owner) const {
    return flow.owner_proven ||
           (!HasOwnerRestarted(flow, owner) && flow.used_since != TimePoint() &&
            owner.status_at - flow.used_since >= m_limits.search_timeout);
  }
  /// Lets a new flow that no server takes now wait, or rejects it.
  DirectorDecision QueueFlow(TimePoint now,
                             const ServiceRoute& route,
                             const FlowKey& key,
                             Flow* flow);
  /// Returns whether an agent of the service waits for its server.
  bool HasJoiningAgent(TimePoint now, ServiceId service) const;
  /// Returns whether a failure domain gets no new flows.
  bool IsEvacuated(DomainId domain) const {
    return std::binary_search(m_evacuated_domains.begin(),
                              m_evacuated_domains.end(), domain);
  }
  /// Returns whether a member could get new flows of the service if its failure
  /// domain were not evacuated.
  bool AcceptsFlows(TimePoint now,
                    ServiceId service,
                    const MemberEntry& entry) const;
  /// Returns whether servers of the service that are not presumed dead, heard
  /// or not, are outside and in evacuated domains.
  std::pair<bool, bool> KnownServers(TimePoint now, ServiceId service) const;
  /// Returns whether all servers of the service that could get new flows are in
  /// evacuated domains.
  bool IsServiceEvacuated(TimePoint now, ServiceId service) const;
  /// Returns when to give up a new flow that waits for a server. The caller
  /// keeps time for another try. @param arrived arrival of its opening packet
  TimePoint OpeningDeadline(TimePoint arrived,
                            uint32_t timeout_ms,
                            const FlowPacket& packet) const;
  /// Returns when the next copy of an opening packet is overdue; zero if it was
  /// the last one. @param arrived arrival of the packet
  static TimePoint CopyDeadline(TimePoint arrived, const FlowPacket& packet);
  /// Handles a packet that came before the first targets: keeps it if it may be
  /// of use. A new flow that no targets are expected for in time is reset.
  DirectorDecision HoldUnrouted(TimePoint now,
                                const FlowPacket& packet,
                                ByteView raw);
  /// Returns whether a new flow has to be given up for lack of targets.
  bool IsUnservable(TimePoint now, TimePoint wait_deadline) const {
    return now >= UnroutedDeadline(m_target_outlook, wait_deadline,
                                   m_limits.store_patience);
  }
  /// Keeps a packet while the owner of its flow is searched.
  void HoldForSearch(TimePoint now, const FlowPacket& packet, ByteView raw);
  /// Returns whether every agent that may hold flows is known by now, and why.
  DiscoveryBasis Discovery(TimePoint now) const;
  bool IsDiscoveryComplete(TimePoint now) const {
    return Discovery(now) != DiscoveryBasis::kIncomplete;
  }
  /// Returns whether a search has become long; true once a search.
  bool ReportLongSearch(TimePoint now, Flow* flow);
  /// Returns the number of agents in the membership table.
  uint32_t CountAgents() const;
  /// Removes a flow with all that is stored for it.
  void RemoveFlow(const FlowKey& key);
  // Parts of OnTick; each appends to `decisions`.
  void ResendUnansweredOpenings(TimePoint now,
                                std::vector<DeferredDecision>* decisions);
  void RejectExpiredFlows(TimePoint now,
                          std::vector<DeferredDecision>* decisions);
  void ReleaseQueuedFlows(TimePoint now,
                          std::vector<DeferredDecision>* decisions);
  void RouteHeldPackets(TimePoint now,
                        std::vector<DeferredDecision>* decisions);
  void RejectUnservableFlows(TimePoint now,
                             std::vector<DeferredDecision>* decisions);
  void ContinueSearches(TimePoint now,
                        std::vector<DeferredDecision>* decisions);
  /// Returns a decision to drop, hold or reset, and counts it by error.
  DirectorDecision Reject(DirectorDecision::Kind kind, ErrorKind error);
  /// Returns the lifetime of an idle flow.
  Duration IdleTimeout() const;
  /// Queues a pointer unless the home agent is the owner.
  void QueuePointer(TimePoint now, const FlowKey& key, Flow* flow);
  /// Removes expired flows and queues pointers of long-lived ones.
  void SweepFlows(TimePoint now);

  TimePoint m_started_at;        ///< Start time of the balancer.
  DomainId m_domain;             ///< Failure domain of the balancer.
  MembershipTable* m_members;    ///< Members and their load reports.
  const ActiveRoutes* m_routes;  ///< Routes in force.
  DirectorLimits m_limits;       ///< Timeouts and limits.
  PlacementPolicy m_policy;      ///< Places new flows.
  FleetCosts m_costs;            ///< Work of each kind of request.
  FlowMap m_flows;               ///< Flow table.
  /// Deadlines of opening flows, earliest first.
  std::deque<std::pair<TimePoint, FlowKey>> m_opening_deadlines;
  std::map<ServiceId, OpeningQueue> m_opening_queues;  ///< By service.
  DomainSet m_evacuated_domains;   ///< See SetEvacuatedDomains.
  HeldPackets m_unrouted_packets;  ///< Received before the first targets.
  TargetOutlook m_target_outlook;  ///< See SetTargetOutlook.
  HeldPackets m_search_packets;    ///< Of flows in phase kSearching.
  OwnerQueries m_owner_queries;    ///< For searches with many agents left.
  std::vector<OwnerQuery> m_queries_to_send;  ///< For TakeQueries.
  TimePoint m_next_hold_check;  ///< When waiting packets are next checked.
  TimePoint m_discovery_seen;   ///< Last discovery that searches considered.
  bool m_discovery_was_complete = false;  ///< At the last ContinueSearches.
  std::vector<OwnerPointer> m_pointers;   ///< Queued for TakePointers.
  TimePoint m_sweep_deadline;             ///< Next run of SweepFlows.
  DirectorCounters m_counters;            ///< See Counters.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_FLOW_DIRECTOR_H_

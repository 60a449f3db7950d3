// @file fleet_node.h One process's membership in the fleet and its view of the
// targets.
#ifndef MEDLARGAUGE_RUNTIME_FLEET_NODE_H_
#define MEDLARGAUGE_RUNTIME_FLEET_NODE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/daemon/settings_type.h"
#include "src/forwarding/active_routes.h"
#include "src/forwarding/byte_budget.h"
#include "src/forwarding/era_tracker.h"
#include "src/forwarding/evacuation/evacuations.h"
#include "src/forwarding/fleet_discovery.h"
#include "src/forwarding/membership_table.h"
#include "src/forwarding/status_schedule.h"
#include "src/forwarding/target_keeper.h"
#include "src/forwarding/target_outlook.h"
#include "src/forwarding/target_reader.h"
#include "src/runtime/event_loop.h"
#include "src/runtime/http.h"
#include "src/runtime/peer_wire.h"
#include "src/runtime/platform_hooks.h"
#include "src/runtime/stats.h"
#include "src/runtime/udp_socket.h"

namespace medlargauge {

/// Callbacks through which the role of a process, balancer or agent, extends
/// its FleetNode.
struct FleetNodeHooks {
  /// Updates state and load of the own member; called before each status.
  std::function<void(TimePoint now, FleetMember* self)> update_self;
  /// Handles a received datagram of any kind other than kStatus.
  std::function<void(TimePoint now, SocketAddress4 from, const PeerFrame&)>
      on_frame;
  /// Sets the metrics that belong to the role.
  std::function<void(TimePoint now, Stats* stats)> fill_stats;
  /// Handles a change of the evacuated domains; optional.
  std::function<void(const Evacuations&)> on_evacuations;
};

/// The part of a process that balancers and agents have in common: it exchanges
/// heartbeats (statuses) with the other processes, discovers them through seeds
/// and the store, keeps the route targets up to date and owns the socket for
/// datagrams between processes. Not thread-safe.
class FleetNode {
 public:
  /// @param loop, platform owned by the caller; must live longer
  FleetNode(EventLoop* loop,
            const Settings& settings,
            MemberRole role,
            const PlatformHooks* platform,
            FleetNodeHooks hooks);

  /// Binds the sockets and starts the timers.
  /// @return false if a socket cannot be bound; `reason` then says which
  bool Start(Error* reason);

  /// Sends a status now to every member that uses it; agents need none of other
  /// agents.
  void BroadcastStatus();

  /// Sends a status now to a balancer, from which this agent has just refused a
  /// flow because of an evacuation. At most one per 20 ms is sent.
  void SendEvacuations(TimePoint now, uint32_t ip);

  /// Begins a planned stop: broadcasts a status, which like all later ones says
  /// that this process is leaving.
  void StartLeaving();

  /// Removes this process from the store, as its server has left.
  void LeaveStore();
  /// Adds this process to the store again if LeaveStore has removed it.
  void RejoinStore();

  /// Replaces the bounds within which changes of the operators have to be in
  /// force.
  void SetBounds(const Settings& settings);

  /// Replaces the addresses of the processes to join through. Invalid addresses
  /// and the own one are ignored.
  void SetSeeds(const std::vector<std::string>& seeds);

  /// Sends a datagram to the process at this address.
  void Send(uint32_t ip, ByteView datagram);

  /// Returns the membership table.
  MembershipTable& Members() { return m_members; }
  /// Returns the routes in force; agents have none.
  const ActiveRoutes& Routes() const { return m_routes; }
  /// Returns a writer for datagrams to pass to Send.
  PeerFrameWriter& Writer() { return m_frame_writer; }
  /// Returns the evacuated failure domains.
  const Evacuations& EvacuatedDomains() const { return m_evacuations; }
  /// Returns the state of reading targets from the store.
  const TargetReader& Reader() const { return m_target_reader; }
  /// Returns what is known about getting the first targets.
  TargetOutlook Outlook(TimePoint now) const;
  /// Returns the own member as of the last status.
  const FleetMember& Self() const { return m_self; }

 private:
  /// URL path at which other members fetch the newest targets.
  static constexpr std::string_view kTargetsPath = "/targets";
  /// Header of that document: the era of its revision; missing for era 0.
  static constexpr char kTargetsEraHeader[] = "Targets-Era";

  void OnDatagram(SocketAddress4 from, ByteSpan datagram);
  void OnStatus(TimePoint now, SocketAddress4 from, ByteView message);
  /// Discards what may be outdated if this process did not run for a while
  /// until just now. Call it before what has arrived meanwhile is handled.
  void CheckForStall(TimePoint now);
  /// Returns a new status of this process, with the next sequence number.
  proto::PeerStatus MakeStatus(TimePoint now);
  /// Sends a status, split over several datagrams if necessary, with the
  /// members that a process of `role` has to know if `with_members` is set.
  void SendMemberList(TimePoint now,
                      uint32_t ip,
                      MemberRole role,
                      bool with_members);
  void SendStatus(uint32_t ip, const proto::PeerStatus& status);
  /// Returns whether a member gets this process's statuses; agents send none to
  /// each other.
  bool IsStatusReceiver(const FleetMember& member) const {
    return m_self.role == MemberRole::kBalancer ||
           member.role == MemberRole::kBalancer;
  }
  /// Sends a status now to the other balancers.
  void BroadcastStatusToBalancers();
  /// Gives a member that was heard or mentioned its turn in the schedule.
  void ScheduleStatuses(TimePoint now, const FleetMember& member);
  /// Sends a status to each member whose turn it is.
  void SendDueStatuses(TimePoint now);
  /// Tells the other balancers of agents that the store's list lacks. Balancers
  /// that have just started rely on that list.
  void TellOfUnlistedAgents(TimePoint now);
  void Tick();
  /// Logs when members of other builds appear, and when none is left.
  void LogOtherBuilds(TimePoint now);
  /// Sends a status to each of these members.
  void SendContacts(TimePoint now, const std::vector<MemberContact>& contacts);
  /// Makes the call to the store's lists of members that is due, if any.
  void CallStoreForMembers(TimePoint now);
  /// Counts a call to the lists of members; there is one at a time.
  void BeginMemberCall();
  /// Handles the end of such a call. @return its result
  StoreResult EndMemberCall(const StoreReply& reply, std::string_view call);
  /// Handles the store's list of agents.
  void OnAgentsListed(StoreResult result, const std::vector<uint32_t>& ips);
  /// Removes members that the membership table has forgotten from the store.
  /// Only one of the remaining balancers, chosen by hash, does so.
  void DeregisterForgottenMembers(TimePoint now,
                                  const std::vector<FleetMember>& forgotten);
  /// Starts the read or watch of the targets that is due, if any.
  void ReadTargets(TimePoint now);
  /// Logs when this process begins or ceases to rely on others for the targets.
  /// @param before state when the last line was written
  void LogReadingRole(TimePoint now, const ReadingState& before);
  /// Puts targets in force if they are valid and newer, and broadcasts that.
  /// @param source where they come from, for the log
  /// @return false if they cannot be read
  bool ApplyTargets(const StoredTargets& targets, std::string_view source);
  /// Keeps targets for balancers that start, without putting them in force, if
  /// this agent is one of those that do so.
  void KeepTargets(TimePoint now);
  /// Replaces the kept targets if these are valid and newer.
  void StoreTargets(const StoredTargets& targets);
  /// Identifies the targets in force or, at an agent, those that it keeps.
  const TargetIdentity& StoredIdentity() const;
  /// Requests newer targets again if an earlier request has failed.
  void RetryTargetFetch(TimePoint now);
  /// Requests the targets from another member unless a request is in flight.
  void FetchTargetsFromPeer(uint32_t ip);
  /// Checks the era in an answer of the store, and starts a new one if it rose.
  /// @return the result of the call; kRefused if the era makes the answer
  ///     unusable
  StoreResult CheckEra(const StoreReply& reply, std::string_view call);
  /// Starts a new era if another process knows of one.
  void OnPeerEra(TimePoint now, const proto::PeerStatus& status);
  /// Reads the targets from the start and registers again, because the store
  /// was restored from an older copy.
  /// @param source who reported the era, for the log
  void StartEra(TimePoint now, std::string_view source);
  /// Handles what a read or a watch says about evacuations.
  void OnStoredEvacuations(TimePoint now, const StoredEvacuations& stored);
  /// Handles what another process says about evacuations, and tells it of newer
  /// ones.
  void OnPeerEvacuations(TimePoint now,
                         const MemberEntry& sender,
                         const proto::PeerStatus& status);
  /// Writes the state of evacuations into a status.
  void EncodeEvacuations(proto::PeerEvacuations* message) const;
  /// Logs the domains that have begun or ceased to be evacuated, and passes
  /// them to the role.
  /// @param source who reported the change, for the log
  void OnEvacuationsChanged(std::string_view source);
  /// Runs the timers of evacuations.
  void TickEvacuations(TimePoint now);
  /// Sends a status at once to a few members, chosen by hash, so that a change
  /// also reaches those that the broadcast of a reader does not reach.
  void RelayStatus(TimePoint now);
  /// Returns the number of processes in a domain, with this one.
  size_t CountMembersIn(DomainId domain) const;
  /// Logs when the store becomes unreachable or reachable again.
  void LogStoreTransition(StoreResult result, std::string_view call);
  /// Serves the metrics, and the targets for other members.
  HttpResponse HandleHttpRequest(const HttpRequest& request);
  std::string RenderStats();

  EventLoop* m_loop;                 ///< Dispatches all callbacks.
  const PlatformHooks* m_platform;   ///< Parsers and calls to the store.
  FleetNodeHooks m_hooks;            ///< Callbacks of the role.
  FleetMember m_self;                ///< The own member.
  SocketAddress4 m_peer_address;     ///< Own address for other processes.
  MembershipTable m_members;         ///< All other members.
  FleetDiscovery m_discovery;        ///< How this process finds them.
  StatusSchedule m_status_schedule;  ///< When to send the own status.
  std::vector<MemberId> m_unlisted_agents;  ///< For TellOfUnlistedAgents.
  ActiveRoutes m_routes;                    ///< Routes in force.
  /// Targets of a peer that were fetched and did not replace those in force.
  TargetVersion m_useless_version;
  TargetIdentity m_kept_identity;  ///< Agents: identifies m_stored_targets.
  /// Newest targets in encoded form, for peers; those in force at a balancer.
  StoredTargets m_stored_targets;
  ByteBudget m_serving_budget;     ///< Limits what HandleHttpRequest serves.
  TimePoint m_next_target_fetch;   ///< When RetryTargetFetch may fetch.
  TargetKeeper m_target_keeper;    ///< Agents: when to fetch the targets.
  TargetReader m_target_reader;    ///< Decides when to read the targets.
  UdpSocket m_peer_socket;         ///< Datagrams between processes.
  PeerFrameWriter m_frame_writer;  ///< Builds datagrams.
  HttpServer m_http_server;        ///< Serves metrics and targets.
  /// Fetches the targets from the peer that was asked last; null before.
  std::unique_ptr<HttpClient> m_target_client;
  uint32_t m_status_sequence = 0;  ///< Sequence number of the last status.
  bool m_leaving = false;          ///< A planned stop has begun.
  bool m_builds_differ = false;    ///< At the last line of LogOtherBuilds.
  /// A call to the store that lists or changes members is in flight.
  bool m_member_call_pending = false;
  EraTracker m_era;                    ///< Era of the store.
  Evacuations m_evacuations;           ///< Evacuated failure domains.
  DomainSet m_logged_evacuations;      ///< In force at the last log line.
  TimePoint m_next_evacuation_reply;   ///< When SendEvacuations may send next.
  ChangeRepeats m_evacuation_repeats;  ///< When to broadcast them again.
  /// Names of domains from the store, for logs.
  std::map<DomainId, std::string> m_domain_names;
  /// Answers of the store that CheckEra has refused.
  uint64_t m_unusable_store_answers = 0;
  TimePoint m_next_era_warning;      ///< When CheckEra may next log one.
  bool m_store_unreachable = false;  ///< The last call to the store failed.
  LatencyHistogram m_store_latency;  ///< Of reads, not of watches.
  uint64_t m_store_calls = 0;        ///< Calls to the store since the start.
  uint64_t m_target_fetches = 0;     ///< Requests for targets since the start.
  uint64_t m_targets_served = 0;     ///< Answers with targets since the start.
  Duration m_last_suspended_time{};  ///< SuspendedTime at m_last_run.
  TimePoint m_last_run;              ///< Time of the last CheckForStall.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_FLEET_NODE_H_

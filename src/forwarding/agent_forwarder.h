// @file agent_forwarder.h Forwarding decisions of an agent.
//
// The backend server knows its flows and returns packets of flows that it does
// not hold. The agent's flow table only serves to measure the load of the
// server and to reset its flows when it dies, so an agent that restarts has no
// state to recover.
#ifndef MEDLARGAUGE_FORWARDING_AGENT_FORWARDER_H_
#define MEDLARGAUGE_FORWARDING_AGENT_FORWARDER_H_

#include <array>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/core/error_type.h"
#include "src/forwarding/cost/remaining_work.h"
#include "src/forwarding/cost/server_health.h"
#include "src/forwarding/evacuation/evacuations.h"
#include "src/forwarding/forwarding_type.h"
#include "src/forwarding/held_flows.h"
#include "src/forwarding/latency_histogram.h"
#include "src/forwarding/overload/feasibility.h"
#include "src/forwarding/placement.h"
#include "src/forwarding/round_trip_estimator.h"
#include "src/forwarding/warmup/cold_rate.h"

namespace medlargauge {

/// Heartbeat of a backend server.
struct ServerReport {
  std::string id;           ///< Instance id; may be reused after a restart.
  uint64_t started_ms = 0;  ///< Wall-clock start time; 0: not stated.
  uint64_t sequence = 0;    ///< Increases with each heartbeat of an instance.
  std::string service;      ///< Name of the service that it runs.
  SocketAddress4 address;   ///< Address that it listens on.
  std::string version;      ///< Software version.
  uint32_t slots = 1;       ///< Requests that it runs concurrently.
  bool draining = false;    ///< About to stop: accepts no new flows.
  uint32_t warmup_ms = 0;   ///< Remaining warm-up time.
  bool is_first = false;    ///< No heartbeat of this instance came before.
};

/// Timeouts and limits of an agent.
struct ForwarderLimits {
  /// Lifetime of an opening flow; callers give up after 1.4 s.
  Duration opening = Seconds(2);
  /// A new flow counts as an active request until its request arrives, but at
  /// most for as long as requests usually take to arrive, within these limits.
  Duration min_reserve = Milliseconds(20);
  Duration max_reserve = Milliseconds(400);
  /// A request counts as active for at most this long; callers give up earlier.
  Duration request_timeout = Seconds(10);
  /// Lifetime after FIN, for the last acknowledgements.
  Duration closing = Seconds(3);
  /// Lifetime of an idle flow; the longest lifetime of a flow.
  Duration idle = Seconds(60);
  /// A server is unresponsive if it leaves an opening packet unanswered for
  /// this long and sends nothing else meanwhile. Before its first heartbeat,
  /// the same holds for any packet.
  Duration server_response_timeout = Milliseconds(70);
  /// After the start, a server without a heartbeat is probed. Servers that
  /// start together with the agent send their first heartbeat at once.
  Duration first_report_time = Milliseconds(100);
  /// How long the load at which the server refused a request is remembered as
  /// its limit.
  Duration refusal_memory = Seconds(5);
  /// Half-life of the failure rate. Without requests it decays, so that the
  /// server gets requests again.
  Duration failing_half_life = Milliseconds(1000);
  HealthLimits health;       ///< When a failing server is restricted.
  size_t max_flows = 50000;  ///< Table entries of about 120 bytes each.
};

/// What to do with a packet at the agent.
struct ForwarderDecision {
  enum class Kind : uint8_t { kDrop, kDeliver, kToCaller, kReturn };
  Kind kind = Kind::kDrop;                    ///< Action.
  ReturnReason reason = ReturnReason::kNone;  ///< kReturn: reason.
  std::string request_id;    ///< kToCaller: id of a request that failed.
  bool foreign_ack = false;  ///< kReturn: the packet accepts another server.
  bool confirm = false;      ///< Also send the balancer a confirmation.
  bool proven = false;       ///< confirm: the caller accepted this server too.
  uint32_t balancer_ip = 0;  ///< kReturn, confirm: destination.
  MemberId owner;            ///< kReturn with kMoved: owner of the flow.
  ErrorKind error = ErrorKind::kNone;  ///< kDrop: reason.
};

/// A flow of a dead server whose caller must get a reset.
struct FlowReset {
  FlowKey flow;            ///< Flow to reset.
  std::string request_id;  ///< Id of the request in progress; may be empty.
  /// Last acknowledgement number of the caller; 0 if it may belong to the
  /// answer of another server.
  uint32_t acknowledged = 0;
};

/// Result of processing a heartbeat.
enum class ReportOutcome : uint8_t {
  kApplied,      ///< In force; may be acknowledged.
  kStale,        ///< Older than the current state.
  kWrongServer,  ///< The service or the address is not that of this agent.
};

/// Monotonic counters and latency histograms.
struct ForwarderCounters {
  uint64_t opened = 0;            ///< Flows that the server accepted.
  uint64_t delivered = 0;         ///< Packets delivered to the server.
  uint64_t answers = 0;           ///< Requests whose answer has begun.
  uint64_t failed = 0;            ///< Answers that report a failure.
  uint64_t refused = 0;           ///< Answers that refuse the request.
  uint64_t unanswered = 0;        ///< Requests that the server left unanswered.
  LatencyHistogram opening;       ///< From SYN to the server's first packet.
  LatencyHistogram first_answer;  ///< From request to the first answer byte.
  uint64_t resets = 0;            ///< Flows reset because the server died.
  uint64_t foreign_acks = 0;      ///< Packets that accept another server.
  std::array<uint64_t, 9> returned{};  ///< By ReturnReason.
  uint64_t returned_cold = 0;  ///< Opening packets beyond the cold rate.
};

/// State machine of an agent. Deterministic: it maps (now, event) to a decision
/// and uses neither a clock nor random numbers. Not thread-safe.
class AgentForwarder {
 public:
  /// @param service, address of the backend server on the agent's host
  AgentForwarder(std::string service,
                 SocketAddress4 address,
                 ForwarderLimits limits);

  /// Decides what to do with a packet that a balancer forwarded.
  ForwarderDecision OnForwarded(TimePoint now,
                                uint32_t balancer_ip,
                                const ForwardHeader& header,
                                const FlowPacket& packet);

  /// Stores a pointer to the owner of a flow, for balancers that search the
  /// flow and ask this agent first.
  void OnPointer(TimePoint now, const FlowKey& flow, MemberId owner);

  /// Decides what to do with a packet that the backend server sent.
  ForwarderDecision OnServerPacket(TimePoint now, const FlowPacket& packet);

  /// Processes a heartbeat of the backend server.
  ReportOutcome OnReport(TimePoint now, const ServerReport& report);

  /// Handles the deregistration of the backend server, which gets no new flow
  /// from now on. Its flows end when a probe shows that it has stopped.
  /// @return false if the known server has another id, or none is known; the
  ///     server then has to be probed
  bool OnDeregister(std::string_view id);

  /// Call when nothing listens at the server's address.
  /// @return flows whose callers must get a reset
  std::vector<FlowReset> OnServerDown(TimePoint now);

  /// Sets whether the failure domain of this agent may get new flows; it may
  /// unless this is called.
  /// @param unknown_until with kUnknown: new flows are returned until then
  void SetDomainAdmission(DomainAdmission admission, TimePoint unknown_until) {
    m_domain_admission = admission;
    m_unknown_until = unknown_until;
  }

  /// Sets how far new flows of a cold server may exceed the rate that it bears.
  void SetColdRateBounds(ColdRateBounds bounds) {
    m_cold_rate = ColdRate(bounds);
  }

  /// Call when the process starts: an earlier one may have delivered flows.
  void OnStart(TimePoint now) {
    m_cold_rate.OnUnknownPast(now);
    m_first_report_deadline = now + m_limits.first_report_time;
  }

  /// Returns new flows to the balancer from now on, as this agent is stopping.
  void StartLeaving() { m_leaving = true; }

  /// Runs timers. Call about every 100 ms.
  void OnTick(TimePoint now);

  /// Returns whether the server has been silent for so long that its port
  /// should be probed. A host may start without a server; balancers then wait
  /// for its agent in searches unless it states that no server runs.
  bool NeedsServerProbe(TimePoint now) const;

  /// Records that something listens at the server's address.
  void OnServerListens() { m_first_report_deadline = TimePoint(); }

  /// Returns the state to announce to other members.
  AgentState State(TimePoint now) const;
  /// Returns the load to announce to other members.
  ServerLoad Load(TimePoint now) const;
  /// Returns the load for a message about a flow of a route.
  ServerLoad LoadFor(TimePoint now, SocketAddress4 route) const;
  /// Returns the expected response time of a request of a route that would
  /// arrive now; not measured until the server has answered one.
  ResponseEstimate EstimateResponse(TimePoint now, SocketAddress4 route) const;
  /// Returns whether each flow that the server holds is recorded here. While no
  /// server runs there are none.
  bool KnowsAllFlows(TimePoint now) const {
    return m_held_flows.IsComplete(now);
  }
  /// Returns the indices of the flows, given by their hashes, that the server
  /// may hold. It holds none of the others if KnowsAllFlows returns true.
  std::vector<uint32_t> FindHeldFlows(
      const std::vector<uint64_t>& flow_hashes) const;
  /// Returns the number of requests at the server, including those expected on
  /// new flows.
  uint32_t ActiveRequests() const { return m_active; }
  /// Returns whether a server has deregistered and a probe has yet to show that
  /// it stopped.
  bool IsDepartureUnconfirmed() const { return m_departure_unconfirmed; }
  /// Returns whether this agent is stopping.
  bool IsLeaving() const { return m_leaving; }
  /// Returns the number of entries in the flow table.
  size_t FlowCount() const { return m_flows.size(); }
  /// Returns the counters.
  const ForwarderCounters& Counters() const { return m_counters; }

 private:
  /// kUnverified: the server has not shown that it holds the flow; kOpening: a
  /// SYN was delivered; kAccepted: the server sent a SYN-ACK, but the caller
  /// may have accepted another server's; kEstablished: both sides use the flow.
  enum class Stage : uint8_t { kUnverified, kOpening, kAccepted, kEstablished };

  /// Entry of the flow table.
  struct Flow {
    Stage stage = Stage::kUnverified;  ///< Progress of the flow.
    bool is_active = false;            ///< Counted in m_active.
    bool request_pending = false;  ///< A request arrived and has no answer yet.
    bool confirm_opening = false;  ///< The balancer waits for kAccepted.
    bool confirm_search = false;   ///< The balancer waits for kEstablished.
    bool is_trial = false;       ///< A trial of a restricted server; no result.
    bool is_answered = false;    ///< The server has answered a request.
    bool caller_left = false;    ///< The caller sent FIN.
    bool server_left = false;    ///< The server sent FIN.
    bool former_server = false;  ///< Opened at an earlier server.
    /// kAccepted: sequence number of the server's SYN-ACK.
    uint32_t server_initial_sequence = 0;
    bool knows_server_sequence = false;  ///< The next one is valid.
    uint32_t server_next_sequence = 0;   ///< End of the server's data so far.
    uint32_t balancer_ip = 0;            ///< Balancer of the last packet.
    bool accepted_once = false;     ///< kAccepted: the server sent one SYN-ACK.
    TimePoint accepted_at;          ///< kAccepted: when it sent the first one.
    uint32_t opening_sequence = 0;  ///< Sequence number of the SYN.
    uint32_t caller_next_sequence = 0;  ///< End of the caller's data so far.
    uint32_t acknowledged = 0;  ///< Last acknowledgement number of the caller.
    std::string request_id;     ///< Request in progress; empty if unknown.
    uint32_t requests_ahead = 0;  ///< Unanswered when this one arrived.
    uint64_t hash = 0;            ///< Names the request in m_work.
    SocketAddress4 kind;          ///< Kind of the request: its route.
    TimePoint started_at;         ///< Arrival of the SYN, later of the request.
    TimePoint active_until;       ///< Not counted in m_active after this.
    TimePoint expires;            ///< When the entry is removed.
  };

  /// Pointer to the owner of a flow that balancers search here first.
  struct Pointer {
    MemberId owner;     ///< Agent that owns the flow.
    TimePoint expires;  ///< When the pointer is removed.
  };

  /// Handles a SYN that a balancer forwarded.
  ForwarderDecision OnOpeningPacket(TimePoint now,
                                    uint32_t balancer_ip,
                                    const ForwardHeader& header,
                                    const FlowPacket& packet);
  /// Updates a flow from a packet of its caller.
  /// @param counts whether a request in it counts as active
  void TrackCallerPacket(TimePoint now,
                         const FlowPacket& packet,
                         bool counts,
                         Flow* flow);
  /// Returns whether the packet acknowledges data of another server, whose
  /// SYN-ACK the caller accepted instead.
  static bool AcknowledgesOtherServer(const FlowPacket& packet,
                                      const Flow& flow);
  /// Updates the stage of a flow from a packet of the server.
  void UpdateStage(TimePoint now, const FlowPacket& packet, Flow* flow);
  /// Counts the flow in m_active until `until`.
  void MarkActive(TimePoint until, Flow* flow);
  /// Ends the request of the flow, if it has one, and stops counting the flow
  /// in m_active and m_pending.
  /// @return how long the request occupied a slot, if known
  std::optional<Duration> EndRequest(TimePoint now, Flow* flow);
  void EraseFlow(TimePoint now, const FlowKey& key);
  /// Returns the number of slots of the server.
  uint32_t Slots() const;
  /// Returns how long a new request is expected to wait for a slot.
  Duration ExpectedWait(TimePoint now) const;
  /// Returns whether the server is warming up.
  bool IsCold(TimePoint now) const;
  /// Updates counters, service time and failure rate from an answer.
  void RecordResponse(TimePoint now, AnswerKind answer, Flow* flow);
  /// Returns whether a server that may be restricted takes a new flow.
  bool MayTakeFlow(TimePoint now, const ForwardHeader& header) const;
  /// Counts a packet of the server that ends a flow, FIN or RST, against the
  /// server if that leaves a request without an answer.
  /// @param is_verified the server has shown before that it holds the flow
  void RecordClose(TimePoint now,
                   const FlowPacket& packet,
                   bool is_verified,
                   Flow* flow);
  /// Counts a request or a new flow as left without an answer.
  void RecordUnanswered(TimePoint now, UnansweredKind kind, Flow* flow);
  /// Updates the failure rate. @param sample 1 for a failure, otherwise 0
  void UpdateFailureRate(TimePoint now, double sample);
  /// Forgets what was observed at the previous server at this address.
  void ForgetServer();
  /// Returns the failure rate, 0 to 1, decayed to the given time.
  double FailureRate(TimePoint now) const;
  /// Expects the server to send something soon.
  void AwaitServer(TimePoint now);
  /// Returns whether it is unknown if new flows may be accepted here.
  bool IsAdmissionUnknown(TimePoint now) const {
    return m_domain_admission == DomainAdmission::kUnknown &&
           now < m_unknown_until;
  }
  /// Returns whether the server has left a packet unanswered for too long.
  bool IsServerUnresponsive(TimePoint now) const;
  /// Returns a decision to return the packet, and counts it by reason.
  ForwarderDecision Return(uint32_t balancer_ip, ReturnReason reason);

  std::string m_service;                 ///< Service of the backend server.
  ServiceId m_service_id;                ///< Identifier of m_service.
  SocketAddress4 m_address;              ///< Address of the backend server.
  ForwarderLimits m_limits;              ///< Timeouts and limits.
  std::optional<ServerReport> m_report;  ///< Latest heartbeat.
  uint64_t m_departed_start_ms = 0;  ///< Start of the last deregistered server.
  std::string m_departed_id;         ///< Id of the last deregistered server.
  uint64_t m_departed_sequence = 0;  ///< Its last heartbeat before that.
  TimePoint m_report_at;             ///< Arrival of m_report.
  TimePoint m_server_seen_at;        ///< Last packet or heartbeat.
  TimePoint m_unanswered_since;      ///< Oldest unanswered packet.
  bool m_awaiting_server = false;    ///< m_unanswered_since is valid.
  bool m_down = false;               ///< Nothing listens at m_address.
  TimePoint m_down_at;               ///< When OnServerDown found that.
  /// A server has deregistered; a probe has yet to show that it stopped.
  bool m_departure_unconfirmed = false;
  /// A server without a heartbeat by then is probed; zero: not needed.
  TimePoint m_first_report_deadline;
  bool m_leaving = false;  ///< This agent is stopping.
  /// See SetDomainAdmission.
  DomainAdmission m_domain_admission = DomainAdmission::kOpen;
  TimePoint m_unknown_until;    ///< See SetDomainAdmission.
  uint32_t m_active = 0;        ///< Number of active flows.
  uint32_t m_pending = 0;       ///< Of these: a request has arrived.
  double m_failure_rate = 0;    ///< Failure rate at m_failure_rate_at.
  TimePoint m_failure_rate_at;  ///< Last update of m_failure_rate.
  ServerHealth m_health;        ///< Whether the server answers.
  CostModel m_costs;            ///< Service times by route.
  RemainingWork m_work;         ///< Requests in progress.
  /// Last new flow whose requests may be repeated; zero: none.
  TimePoint m_repeatable_seen_at;
  /// Number of active requests when the server last refused one, at least the
  /// number of its slots. New flows are returned at this load.
  uint32_t m_refused_load = 0;
  TimePoint m_refused_load_expires;  ///< m_refused_load is valid until then.
  uint64_t m_service_us = 0;         ///< Moving average of the service time.
  /// From the server's SYN-ACK to the next packet of the caller.
  RoundTripEstimator m_caller_round_trip;
  std::unordered_map<FlowKey, Flow, FlowKeyHash> m_flows;  ///< Flow table.
  HeldFlows m_held_flows;                  ///< What the server may hold.
  ColdRate m_cold_rate{ColdRateBounds()};  ///< Limits flows of a cold server.
  /// Pointers to owners of flows that are searched here first.
  std::unordered_map<FlowKey, Pointer, FlowKeyHash> m_pointers;
  ForwarderCounters m_counters;  ///< See Counters.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_AGENT_FORWARDER_H_

// @file agent_forwarder.h An agent's decisions about its backend server's
// flows.
//
// The backend server knows its flows itself and returns what it does not hold.
// What the gate remembers only tells how busy the server is and which flows to
// reset when it dies, so an agent that starts anew needs nothing recovered.
#ifndef MEDLARGAUGE_STEER_AGENT_FORWARDER_H_
#define MEDLARGAUGE_STEER_AGENT_FORWARDER_H_

#include <array>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/core/error_type.h"
#include "src/steer/latency_histogram.h"
#include "src/steer/placement.h"
#include "src/steer/steer_type.h"

namespace medlargauge {

/// What a backend server says of itself in a heartbeat.
struct ServerReport {
  std::string id;           ///< Of one start, or reused after a restart.
  uint64_t started_ms = 0;  ///< Wall clock of its start; 0: not said.
  uint64_t sequence = 0;    ///< Grows with each report of one start.
  std::string service;      ///< Service it runs.
  SocketAddress4 address;   ///< Where it listens.
  std::string version;      ///< Version of its software.
  uint32_t slots = 1;       ///< Requests it works on at once.
  bool draining = false;    ///< About to leave: takes no new work.
  uint32_t warmup_ms = 0;   ///< Still slow for this long.
};

/// Timeouts of an agent.
struct ForwarderLimits {
  Duration opening = Seconds(2);  ///< Callers give up opening after 1.4 s.
  /// An opened flow counts as a request to come for this long.
  Duration reserve = Milliseconds(400);
  Duration work = Seconds(10);    ///< Callers give up before.
  Duration closing = Seconds(3);  ///< Last acknowledgements.
  Duration idle = Seconds(60);    ///< Longest life of a flow.
  /// A server that leaves an opening packet unanswered this long and sends
  /// nothing else meanwhile does not answer.
  Duration quiet = Milliseconds(70);
  /// A new flow is refused if its answer is expected beyond this part of its
  /// aim.
  uint32_t aim_percent = 100;

  /// A refusal by the server shows where it is full, for this long.
  Duration full_memory = Seconds(5);
  /// Without requests the part that failed halves in this time, so that the
  /// server is tried again.
  Duration failing_half_life = Milliseconds(1000);
  size_t max_flows = 50000;  ///< Entries kept; about 120 bytes each.
};

/// What happens to a packet at the agent.
struct ForwarderDecision {
  enum class Kind : uint8_t { kDrop, kDeliver, kToCaller, kReturn };
  Kind kind = Kind::kDrop;                    ///< What to do.
  ReturnReason reason = ReturnReason::kNone;  ///< kReturn: why.
  std::string request_id;    ///< kToCaller: of a request that ended badly.
  bool confirm = false;      ///< Also tell the balancer that it is held.
  bool proven = false;       ///< confirm: the caller has accepted it, too.
  uint32_t balancer_ip = 0;  ///< kReturn, confirm: receiver.
  MemberId owner;            ///< kMoved: who has the flow.
  ErrorKind error = ErrorKind::kNone;  ///< kDrop: why.
};

/// A flow that the dead server held and its caller must be told about.
struct FlowReset {
  FlowKey flow;               ///< The flow.
  std::string request_id;     ///< Of its request under way, if known.
  uint32_t acknowledged = 0;  ///< The caller's last; 0 if it may be another's.
};

/// Answer to a heartbeat.
enum class ReportOutcome : uint8_t {
  kApplied,      ///< In force; may be acknowledged.
  kStale,        ///< Older than what is known.
  kWrongServer,  ///< Another service or address than this agent's server.
};

/// Counters that only grow.
struct ForwarderCounters {
  uint64_t opened = 0;            ///< Flows that the server accepted.
  uint64_t delivered = 0;         ///< Packets given to the server.
  uint64_t answers = 0;           ///< Requests whose answer began.
  uint64_t failed = 0;            ///< Of these: the server failed.
  uint64_t refused = 0;           ///< Of these: the server did not run them.
  LatencyHistogram opening;       ///< Opening packet to the server's answer.
  LatencyHistogram first_answer;  ///< Request to the first answer byte.
  uint64_t resets = 0;            ///< Flows reset because the server died.
  std::array<uint64_t, 9> returned{};  ///< By ReturnReason.
};

/// State machine of an agent: (now, event) -> decision. Reads no clock, no
/// randomness. Not thread-safe.
class AgentForwarder {
 public:
  /// @param service, address of the backend server beside this agent
  AgentForwarder(std::string service,
                 SocketAddress4 address,
                 ForwarderLimits limits);

  /// Decides about a packet that a balancer forwarded.
  ForwarderDecision OnForwarded(TimePoint now,
                                uint32_t balancer_ip,
                                const ForwardHeader& header,
                                const FlowPacket& packet);

  /// Remembers who has a flow, for balancers that will look for it here first.
  void OnPointer(TimePoint now, const FlowKey& flow, MemberId owner);

  /// Decides about a packet that the backend server sent.
  ForwarderDecision OnServerPacket(TimePoint now, const FlowPacket& packet);

  /// Takes in a heartbeat.
  ReportOutcome OnReport(TimePoint now, const ServerReport& report);

  /// The backend server says that it is leaving now.
  /// @return false if it is another one than the one known
  bool OnDeregister(TimePoint now, std::string_view id);

  /// Nothing listens at the server's address. @return flows to reset
  std::vector<FlowReset> OnServerDown(TimePoint now);

  /// Takes no new flows from now on: this agent stops.
  void StartLeaving() { m_leaving = true; }

  /// Runs timers; call about every 100 ms.
  void OnTick(TimePoint now);

  /// Returns whether it should be checked that the server still listens.
  bool NeedsServerProbe(TimePoint now) const;

  /// Returns the state that other members should go by.
  AgentState State(TimePoint now) const;
  /// Returns the load that other members should go by.
  ServerLoad Load(TimePoint now) const;
  /// Returns the number of requests at the server.
  uint32_t ActiveRequests() const { return m_active; }
  /// Returns whether this agent is stopping.
  bool IsLeaving() const { return m_leaving; }
  /// Returns the number of remembered flows.
  size_t FlowCount() const { return m_flows.size(); }
  /// Returns the counters.
  const ForwarderCounters& Counters() const { return m_counters; }

 private:
  /// kUnsure: the server has not shown the flow; kAccepted: it has accepted it,
  /// and the caller may have accepted another one's answer.
  enum class Stage : uint8_t { kUnsure, kOpening, kAccepted, kHeld };

  /// What is remembered of one flow.
  struct Flow {
    Stage stage = Stage::kUnsure;   ///< See there.
    bool counted = false;           ///< Part of m_active.
    bool working = false;           ///< A request has come, no answer yet.
    bool confirm_opening = false;   ///< The balancer waits for kAccepted.
    bool confirm_search = false;    ///< The balancer waits for kHeld.
    uint32_t server_first = 0;      ///< kAccepted: the server's first number.
    uint32_t balancer_ip = 0;       ///< Last balancer.
    uint32_t opening_sequence = 0;  ///< Of the SYN.
    uint32_t caller_next = 0;       ///< End of the caller's data so far.
    uint32_t acknowledged = 0;      ///< The caller's last acknowledgement.
    std::string request_id;         ///< Of the request under way, if known.
    uint32_t ahead = 0;             ///< Requests there when this one came.
    TimePoint work_began;           ///< When the request came.
    TimePoint counted_until;        ///< Not counted after this.
    TimePoint expires;              ///< Forgotten then.
  };

  /// Who has a flow that is looked for here first.
  struct Pointer {
    MemberId owner;     ///< The agent.
    TimePoint expires;  ///< Forgotten then.
  };

  ForwarderDecision OnOpening(TimePoint now,
                              uint32_t balancer_ip,
                              const ForwardHeader& header,
                              const FlowPacket& packet);
  void TrackCaller(TimePoint now, const FlowPacket& packet, Flow* flow);
  static bool AcceptedAnother(const FlowPacket& packet, const Flow& flow);
  void NoteServerStage(TimePoint now, const FlowPacket& packet, Flow* flow);
  void Count(TimePoint until, Flow* flow);
  void Uncount(Flow* flow);
  void Erase(const FlowKey& key);
  void NoteAnswer(TimePoint now, AnswerKind answer, Flow* flow);
  double Failing(TimePoint now) const;
  bool IsQuiet(TimePoint now) const;
  ForwarderDecision Return(uint32_t balancer_ip, ReturnReason reason);

  std::string m_service;                 ///< Name of the service.
  ServiceId m_service_id;                ///< Its identifier.
  SocketAddress4 m_address;              ///< Of the backend server.
  ForwarderLimits m_limits;              ///< Timeouts.
  std::optional<ServerReport> m_report;  ///< Newest heartbeat.
  uint64_t m_ended_start = 0;            ///< Start of the last one that left.
  std::string m_ended_id;                ///< Its identifier.
  TimePoint m_reported_at;               ///< When the heartbeat came.
  TimePoint m_server_seen;               ///< Last packet or heartbeat.
  TimePoint m_unanswered_since;          ///< Oldest unanswered opening packet.
  bool m_awaits_answer = false;          ///< m_unanswered_since is valid.
  bool m_down = false;                   ///< Nothing listens there.
  bool m_leaving = false;                ///< This agent stops.
  uint32_t m_active = 0;                 ///< Counted flows.
  double m_failing = 0;                  ///< Part that failed, at m_failing_at.
  TimePoint m_failing_at;                ///< See m_failing.
  uint32_t m_refused_above = 0;          ///< The server refused beyond that.
  TimePoint m_refused_until;             ///< Believed until then.
  uint64_t m_service_us = 0;             ///< Moving mean.
  std::unordered_map<FlowKey, Flow, FlowKeyHash> m_flows;  ///< Remembered.
  std::unordered_map<FlowKey, Pointer, FlowKeyHash> m_pointers;
  ForwarderCounters m_counters;  ///< Only grow.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STEER_AGENT_FORWARDER_H_

// @file flow_director.h A balancer's decisions about callers' packets.
//
// The balancer remembers where it sent a flow, but nothing depends on that: a
// backend server returns what it does not hold, so a flow that this balancer
// does not know is found by asking one server after the other.
#ifndef MEDLARGAUGE_STEER_FLOW_DIRECTOR_H_
#define MEDLARGAUGE_STEER_FLOW_DIRECTOR_H_

#include <array>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/core/error_type.h"
#include "src/steer/active_routes.h"
#include "src/steer/membership_table.h"
#include "src/steer/placement.h"

namespace medlargauge {

/// Timeouts of a balancer's table.
struct DirectorLimits {
  /// Without a word from the agent by then, another one gets the opening
  /// packet: before the caller's first copy after 200 ms.
  Duration opening_retry_delay = Milliseconds(90);
  Duration opening = Seconds(2);  ///< Callers give up opening after 1.4 s.
  Duration closing = Seconds(3);  ///< Last acknowledgements.
  Duration idle = Seconds(30);    ///< Until the operators' value is known.
  /// While searching, an agent without an answer for so long is passed over.
  Duration search_answer = Milliseconds(120);
  /// Flows that last longer get a pointer at their home.
  Duration lasting = Milliseconds(500);
  /// A balancer that hears nobody for so long is cut off and leaves the
  /// rotation. Agents send a status every 300 ms, and a note for each flow.
  Duration isolated = Milliseconds(350);
  Duration settle = Milliseconds(1500);  ///< Members are not all known before.
  Duration quiet_news = Milliseconds(1000);  ///< The same, after a new agent.
  uint32_t busy_tries = 5;    ///< Busy servers asked for a free slot.
  uint32_t late_tries = 3;    ///< Opening packets sent elsewhere.
  size_t max_flows = 200000;  ///< Entries kept; about 120 bytes each.
};

/// What happens to a packet.
struct SteerDecision {
  enum class Kind : uint8_t { kDrop, kForward, kReset };
  Kind kind = Kind::kDrop;             ///< What to do.
  MemberId agent;                      ///< kForward: receiver.
  ForwardHeader header;                ///< kForward: sent along.
  ErrorKind error = ErrorKind::kNone;  ///< kDrop, kReset: why.
};

/// A kept opening packet that goes to another agent.
struct SteerResend {
  FlowKey flow;            ///< The flow.
  std::string packet;      ///< Bytes as the caller sent them.
  SteerDecision decision;  ///< kForward or kReset.
};

/// Where a flow is, for the agent that is asked first when it is searched.
struct SteerPointer {
  MemberId home;   ///< Asked first.
  FlowKey flow;    ///< The flow.
  MemberId owner;  ///< Has it.
};

/// Counters that only grow.
struct DirectorCounters {
  uint64_t opened = 0;         ///< New flows placed.
  uint64_t forwarded = 0;      ///< Packets sent to agents.
  uint64_t searches = 0;       ///< Flows that had to be found.
  uint64_t search_steps = 0;   ///< Packets passed on while searching.
  uint64_t late_openings = 0;  ///< Opening packets sent elsewhere, unanswered.
  uint64_t busy_returns = 0;   ///< Opening packets returned by busy agents.
  std::array<uint64_t, kErrorKindCount> rejected{};  ///< By error kind.
};

/// State machine of a balancer: (now, event) -> decision. Reads no clock, no
/// randomness. Not thread-safe.
class FlowDirector {
 public:
  /// @param now time of the start
  /// @param roster, routes owned by the caller; must live longer
  FlowDirector(TimePoint now,
               DomainId domain,
               MembershipTable* roster,
               const ActiveRoutes* routes,
               DirectorLimits limits,
               PlacementPolicy policy);

  /// Decides about a packet of a caller.
  /// @param raw its bytes; kept for a while if it opens a flow
  SteerDecision OnCallerPacket(TimePoint now,
                               const FlowPacket& packet,
                               ByteView raw);

  /// Decides about a packet that an agent returned.
  /// @param owner who has the flow, if `reason` is kMoved
  SteerDecision OnReturned(TimePoint now,
                           MemberId from,
                           ReturnReason reason,
                           MemberId owner,
                           const FlowPacket& packet);

  /// Learns that an agent's backend server has accepted a flow.
  /// @param proven it has done more: the caller accepted it, too
  void OnFlowConfirmed(TimePoint now,
                       MemberId from,
                       const FlowKey& flow,
                       bool proven);

  /// Runs timers; call at least every 20 ms while flows are opening.
  /// @return opening packets to send again
  std::vector<SteerResend> OnTick(TimePoint now);

  /// Returns and clears what homes are to be told. Flows that end soon are
  /// left out.
  std::vector<SteerPointer> TakePointers();

  /// This balancer stops: makes pointers for all flows that have none yet.
  void QueueAllPointers(TimePoint now);

  /// Returns the earliest time at which OnTick has something to do.
  std::optional<TimePoint> NextDeadline() const;

  /// Returns whether new flows can be served here at all.
  bool CanServe(TimePoint now) const;

  /// Returns the counters.
  const DirectorCounters& Counters() const { return m_counters; }
  /// Returns the number of remembered flows.
  size_t FlowCount() const { return m_flows.size(); }

 private:
  enum class Phase : uint8_t { kOpening, kHeld, kSearching };

  /// What is remembered of one flow.
  struct Flow {
    Phase phase = Phase::kOpening;
    bool use_pointer = true;       ///< Searching: no pointer was followed yet.
    bool pointed = false;          ///< Its home was told, or needs not be.
    bool last_candidate = false;   ///< The agent was told to take it.
    uint8_t late = 0;              ///< Opening packets that went unanswered.
    uint32_t syn_sequence = 0;     ///< Tells copies from a new flow.
    MemberId agent;                ///< Where packets go.
    ServiceId service;             ///< What must be served there.
    std::vector<MemberId> tried;   ///< Returned or left the packet unanswered.
    std::vector<MemberId> busy;    ///< Had no free slot.
    std::vector<MemberId> likely;  ///< Were given it or said they hold it.
    std::vector<MemberId> mute;    ///< Searching: have not answered.
    TimePoint asked_at;            ///< Searching: when `agent` was asked.
    TimePoint held_since;          ///< Held: since when.
    std::string syn;               ///< Kept until an agent holds the flow.
    TimePoint answer_deadline;     ///< Opening: try another agent then.
    TimePoint expires;             ///< Forgotten then.
  };
  using FlowMap = std::unordered_map<FlowKey, Flow, FlowKeyHash>;

  SteerDecision OnUnrouted(const FlowPacket& packet);
  SteerDecision OnOpening(TimePoint now,
                          const SteerRoute& route,
                          const FlowPacket& packet,
                          ByteView raw);
  SteerDecision OnLater(TimePoint now,
                        const SteerRoute& route,
                        const FlowPacket& packet);
  SteerDecision OnReturnedOpening(TimePoint now,
                                  const SteerRoute& route,
                                  MemberId from,
                                  ReturnReason reason,
                                  FlowMap::iterator found);
  SteerDecision Place(TimePoint now,
                      const SteerRoute& route,
                      const FlowKey& key,
                      Flow* flow);
  void BeginSearch(Flow* flow);
  void Ask(TimePoint now, MemberId agent, Flow* flow);
  SteerDecision SearchNext(TimePoint now, const FlowKey& key, Flow* flow);
  std::optional<MemberId> NextToAsk(TimePoint now,
                                    const FlowKey& key,
                                    const Flow& flow) const;
  std::vector<PlacementCandidate> Candidates(
      TimePoint now,
      ServiceId service,
      const std::vector<MemberId>& excluded) const;
  SteerDecision Forward(const SteerRoute& route, const Flow& flow);
  SteerDecision Reject(SteerDecision::Kind kind, ErrorKind error);
  Duration IdleTimeout() const;
  void PointTo(TimePoint now, const FlowKey& key, Flow* flow);
  void Sweep(TimePoint now);

  TimePoint m_started;           ///< Start of the process.
  DomainId m_domain;             ///< Own failure domain.
  MembershipTable* m_roster;     ///< Members; load reports are kept there.
  const ActiveRoutes* m_routes;  ///< Targets in force.
  DirectorLimits m_limits;       ///< Timeouts.
  PlacementPolicy m_policy;      ///< Places new flows.
  FlowMap m_flows;               ///< Remembered flows.
  std::deque<std::pair<TimePoint, FlowKey>> m_opening;  ///< By deadline.
  std::vector<SteerPointer> m_pointers;                 ///< To be sent.
  TimePoint m_sweep_deadline;   ///< Next look for old entries.
  DirectorCounters m_counters;  ///< Only grow.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STEER_FLOW_DIRECTOR_H_

// @file owner_queries.h Questions for the owners of many flows at once.
#ifndef MEDLARGAUGE_FORWARDING_OWNER_QUERIES_H_
#define MEDLARGAUGE_FORWARDING_OWNER_QUERIES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "src/forwarding/forwarding_type.h"

namespace medlargauge {

/// Members in ascending order of their ids.
using MemberSet = std::vector<MemberId>;

/// A question to agents whether their servers hold some flows.
struct OwnerQuery {
  uint64_t id = 0;                    ///< Returned in the answers.
  MemberSet agents;                   ///< Receivers.
  std::vector<uint64_t> flow_hashes;  ///< By HashFlow.
};

/// What a query showed about one flow.
struct QueriedFlow {
  FlowKey flow;
  TimePoint sent_at;  ///< Says nothing about a flow that opened later.
  /// Agents whose servers hold none of the flows of the query except those for
  /// which `possible_owners` names them.
  std::shared_ptr<const MemberSet> deniers;
  /// Agents that left the query unanswered.
  std::shared_ptr<const MemberSet> silent_agents;
  MemberSet possible_owners;  ///< Deniers that may hold this flow.
};

/// Collects flows whose owner is unknown and asks all agents once for all of
/// them. Load that it answers: a fleet that has lost its servers, and with them
/// thousands of flows, each of which would otherwise be sent to every agent.
/// A denial is valid because the packet of the flow arrived before the query
/// was sent, so that its owner had taken the flow before it answered. Not
/// thread-safe.
class OwnerQueries {
 public:
  /// Adds a flow to the next query.
  void Add(const FlowKey& flow) { m_waiting.push_back(flow); }

  /// Starts queries for the flows that wait, unless the last ones were started
  /// a moment ago.
  /// @param agents returns the agents that may answer, in ascending order
  std::vector<OwnerQuery> Start(TimePoint now,
                                const std::function<MemberSet()>& agents);

  /// Handles an answer. Ignores those that are late, repeated or not asked for.
  /// @param knows_all whether the agent knows each flow that its server holds;
  ///     otherwise it denies nothing
  /// @param held indices of the flows in the query that its server may hold;
  ///     those out of range are ignored
  /// @return the results, if it was the last answer of the query
  std::vector<QueriedFlow> OnAnswer(MemberId from,
                                    uint64_t id,
                                    bool knows_all,
                                    const std::vector<uint32_t>& held);
  /// Ends the queries that have waited long enough.
  /// @return their results
  std::vector<QueriedFlow> TakeExpired(TimePoint now);

  /// Returns whether no flow waits for a query to start or to end.
  bool IsIdle() const { return m_waiting.empty() && m_running.empty(); }

 private:
  /// A query without some of its answers.
  struct Running {
    std::vector<FlowKey> flows;
    MemberSet unanswered;
    MemberSet deniers;
    std::map<uint32_t, MemberSet> possible_owners;  ///< By index of the flow.
    TimePoint sent_at;
    TimePoint deadline;
  };

  static std::vector<QueriedFlow> End(Running* running);

  std::vector<FlowKey> m_waiting;         ///< For the next query.
  std::map<uint64_t, Running> m_running;  ///< By id.
  uint64_t m_last_id = 0;                 ///< Of the last query.
  TimePoint m_next_start;                 ///< Earliest start of more queries.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_OWNER_QUERIES_H_

// @file invariant_checker.h Checks the promised invariants while a soak runs.
#ifndef MEDLARGAUGE_SOAK_INVARIANT_CHECKER_H_
#define MEDLARGAUGE_SOAK_INVARIANT_CHECKER_H_

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "platform/standin/server_standin.h"
#include "soak/process_supervisor.h"
#include "soak/soak_type.h"

namespace medlargauge::soak {

using platform::standin::ServerStandin;

/// Numbers of requests by how they ended.
struct RequestCounts {
  uint64_t asked = 0;         ///< Requests that ended.
  uint64_t served = 0;        ///< Requests with a successful answer.
  uint64_t failed = 0;        ///< Requests without one.
  std::string first_failure;  ///< Describes the first of the latter.
};

/// Receives the events of a run and records violations of the invariants that
/// the platform promises. Not thread-safe.
class InvariantChecker {
 public:
  /// @param classes, processes owned by the caller; must outlive this object
  /// @param clock returns the current time
  InvariantChecker(const std::vector<RequestClass>* classes,
                   ProcessSupervisor* processes,
                   std::function<TimePoint()> clock = &SteadyTime)
      : m_classes(classes),
        m_processes(processes),
        m_clock(std::move(clock)),
        m_started_at(m_clock()) {}

  /// Records a violation. `text` begins with the name of the invariant.
  void ReportViolation(const std::string& text);

  /// An opening packet of a new flow reached a server. `left` is as in
  /// ServerHooks.
  void OnFlowAccepted(const ServerStandin& server,
                      const FlowKey& flow,
                      bool left);
  /// A packet of a caller reached a server. `held` tells whether the server has
  /// the flow open, `balancer_ip` is the balancer that forwarded it.
  void OnCallerPacket(ServerStandin* server,
                      const FlowKey& flow,
                      bool held,
                      uint32_t balancer_ip);
  /// A server has begun to work on a request.
  void OnRequestStarted(const ServerStandin& server,
                        const FlowKey& flow,
                        uint64_t request_id);

  /// A caller received a reset of an open flow that no server sent, but the
  /// process at `sender_ip`.
  void OnFlowReset(const FlowKey& flow, uint32_t sender_ip);
  /// A caller has closed or abandoned a flow.
  void OnFlowEnded(const FlowKey& flow);
  /// A caller received an answer that does not match its request.
  void OnWrongAnswer(const FlowKey& flow, uint64_t request_id);
  /// A request that arrived at `arrived_at` has ended. `flow` is that of its
  /// last attempt.
  void OnRequestEnded(TimePoint arrived_at,
                      bool served,
                      uint64_t request_id,
                      const FlowKey& flow);

  /// The store has accepted a new target of the operators.
  void OnTargetWritten(TimePoint now, uint64_t revision);
  /// The store has accepted the evacuation of a failure domain, or its end.
  void OnEvacuation(TimePoint now, const std::string& domain, bool evacuated);
  /// The store's fault mode has changed. `healthy` tells whether the store
  /// answers correctly and in time now.
  void OnStoreHealthChanged(TimePoint now, bool healthy);
  /// A balancer reports the target revision that it has in force.
  void OnTargetInForce(TimePoint now,
                       const Daemon& balancer,
                       uint64_t revision,
                       bool in_rotation);

  /// Notes for a server whether a fault excuses the loss of its flows now.
  void SampleExcuse(const ServerStandin& server);
  /// Returns the share of the samples that were excused, in percent: the larger
  /// it is, the less the run has checked.
  uint64_t ExcusedPercent() const {
    return m_samples == 0 ? 0 : m_excused_samples * 100 / m_samples;
  }
  /// Returns how many resets of open flows a fault has excused.
  uint64_t ExcusedResets() const { return m_excused_resets; }
  /// Returns the counts of the requests that arrived from `begin` to before
  /// `end`, in steps of one second.
  RequestCounts CountRequests(TimePoint begin, TimePoint end) const;
  /// Returns descriptions of the first violations.
  const std::vector<std::string>& Violations() const { return m_violations; }
  /// Returns the number of all violations.
  size_t ViolationCount() const { return m_violation_count; }

 private:
  struct Flow {
    ServerStandin* owner = nullptr;  ///< Server that last had the flow open.
    uint32_t misrouted_packets = 0;  ///< Packets at others since the owner's.
    TimePoint misrouted_since;       ///< Arrival of the first of them.
    TimePoint misrouted_until;       ///< Arrival of the last of them.
    uint32_t misrouted_by = 0;       ///< Balancer that forwarded that one.
    /// Server that the last of them reached.
    const ServerStandin* last_misrouted_to = nullptr;
  };

  /// Returns whether a fault of the agent, or a state change of its server, is
  /// recent enough to excuse the loss of flows. A planned stop of the agent is
  /// no excuse.
  bool IsExcusedByFault(TimePoint now, const ServerStandin& server) const;
  /// Returns whether a fault of all links of a process is recent enough to
  /// excuse what it did to flows. Other faults of a balancer are no excuse.
  bool IsExcusedByIsolation(TimePoint now, uint32_t ip) const;
  /// Returns whether each process in touch knows that the domain is evacuated.
  bool IsEvacuated(TimePoint now, const std::string& domain) const;
  /// Records a violation if too many packets of a flow have reached only other
  /// servers for too long until `now`.
  /// @param excused_at when a fault must have been recent enough to excuse it
  void CheckMisrouting(TimePoint now,
                       TimePoint excused_at,
                       const FlowKey& flow,
                       Flow* flow_state);
  /// Erases flows that their owners do not have open, when there are many.
  void PruneEndedFlows();

  const std::vector<RequestClass>* m_classes;  ///< Classes of the run.
  ProcessSupervisor* m_processes;      ///< Tells when faults of agents end.
  std::function<TimePoint()> m_clock;  ///< See the constructor.
  TimePoint m_started_at;              ///< Start of the run.
  std::unordered_map<FlowKey, Flow, FlowKeyHash> m_flows;  ///< Accepted flows.
  size_t m_prune_size = 0;  ///< Number of flows at which ended ones are erased.
  /// Executions of recent requests that must not be repeated, by request id.
  std::map<uint64_t, uint32_t> m_executions;
  std::map<int64_t, RequestCounts> m_counts;  ///< By second of arrival.
  uint64_t m_target_revision = 0;             ///< Newest in the store.
  TimePoint m_target_deadline;  ///< When that must be in force everywhere.
  /// Since when failure domains are evacuated.
  std::map<std::string, TimePoint> m_evacuated_at;
  bool m_store_healthy = true;            ///< See OnStoreHealthChanged.
  TimePoint m_store_health_changed_at;    ///< Last change of m_store_healthy.
  uint64_t m_highest_revision = 0;        ///< Newest in force at any balancer.
  TimePoint m_highest_revision_deadline;  ///< When that must be everywhere.
  /// Last revision in force, by address and start count of the balancer.
  std::map<std::pair<uint32_t, uint64_t>, uint64_t> m_in_force;
  std::vector<std::string> m_violations;  ///< See Violations.
  size_t m_violation_count = 0;           ///< See ViolationCount.
  uint64_t m_samples = 0;                 ///< Calls of SampleExcuse.
  uint64_t m_excused_samples = 0;         ///< Those with an excuse.
  uint64_t m_excused_resets = 0;          ///< See ExcusedResets.
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_INVARIANT_CHECKER_H_

// @file world_type.h Settings and counters of the simulated world.
#ifndef MEDLARGAUGE_SCENARIO_WORLD_TYPE_H_
#define MEDLARGAUGE_SCENARIO_WORLD_TYPE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/locate/agent_type.h"
#include "src/packet/packet_type.h"
#include "src/target/target_type.h"

namespace medlargauge {

/// How packets are routed to a backend server: by the design under test or by a
/// baseline to compare it with.
enum class RoutingScheme : uint8_t {
  kHome,          ///< Design under test: agents decide, each flow has a home.
  kLocalTable,    ///< Consistent hashing with a flow table in each balancer.
  kSecondChance,  ///< An agent may pass packets on to one alternative.
};

/// Faults of the simulated network.
struct NetworkFaults {
  double loss = 0;       ///< Probability that a packet is lost.
  double duplicate = 0;  ///< Probability that a packet is duplicated.
  double reorder = 0;    ///< Probability of an extra delay.
  Duration reorder_delay = Milliseconds(200);  ///< Maximum extra delay.
  double control_loss = 0;  ///< Probability that a control message is lost.
  /// Maximum delay until a balancer learns about a change of an agent.
  Duration balancer_lag{0};
};

/// Called after each decision of an agent, for example to trace one flow.
/// `instance` is the index of the flow.
using VerdictHook = std::function<void(TimePoint now,
                                       std::string_view agent,
                                       uint64_t instance,
                                       const Envelope& envelope,
                                       const Verdict& verdict)>;

/// Called when a backend server opens or closes a connection. `instance` is the
/// index of the flow, `server` the name of the backend server's host.
using ConnectionHook =
    std::function<void(uint64_t instance, std::string_view server, bool open)>;

/// Settings of a world.
struct WorldOptions {
  uint64_t seed = 1;                          ///< Seed of the random generator.
  RoutingScheme path = RoutingScheme::kHome;  ///< Routing of packets.
  Duration agent_delay = Milliseconds(1);     ///< Mean one way between hosts.
  Duration caller_delay = Milliseconds(3);    ///< Mean one way to callers.
  NetworkFaults faults;            ///< Initial faults; see SetFaults.
  AgentLimits limits;              ///< Limits of every agent.
  GroupTimeouts timeouts;          ///< Timeouts of every member.
  AdmissionPolicy policy;          ///< PlaceWithinBound if empty.
  VerdictHook on_verdict;          ///< Called unless empty.
  ConnectionHook on_connection;    ///< Called unless empty.
  FaultInjection fault_injection;  ///< For tests only.
};

/// Behaviour of one flow of a caller.
struct FlowPlan {
  std::string class_name;                 ///< Class that the flow belongs to.
  Transport transport = Transport::kTcp;  ///< TCP or UDP.
  Duration lifetime = Seconds(10);  ///< From acceptance to the last request.
  Duration pause = Seconds(2);      ///< From an answer to the next request.
};

/// Counts of flows, requests, packets and violated invariants.
struct WorldCounts {
  uint64_t flows = 0;      ///< Flows started.
  uint64_t completed = 0;  ///< Flows that ended with every request answered.
  uint64_t refused = 0;    ///< Flows that were reset while opening.
  uint64_t gave_up = 0;    ///< Flows whose opening packet was never answered.
  uint64_t broken = 0;     ///< Established flows that were cut or stuck.
  uint64_t lost_with_server = 0;   ///< Flows cut by a crash of their server.
  uint64_t requests = 0;           ///< Requests answered.
  uint64_t double_admissions = 0;  ///< Acceptances by a second backend server.
  uint64_t cross_service = 0;      ///< Packets delivered to another service.
  uint64_t duplicate_executions = 0;  ///< Repeats by a second server.
  uint64_t untrue_refusals = 0;       ///< Flows both refused and accepted.
  uint64_t work_while_draining = 0;   ///< Flows accepted by a draining server.
  uint64_t reverts = 0;         ///< Targets replaced by an older revision.
  uint64_t packets_steady = 0;  ///< Packets delivered without a recent change.
  uint64_t hops_steady = 0;     ///< Hops of these packets between agents.
  uint64_t packets_change = 0;  ///< Packets delivered soon after a change.
  uint64_t hops_change = 0;     ///< Hops of these packets between agents.

  /// Returns the number of violations of the invariants.
  uint64_t Violations() const {
    return broken + double_admissions + cross_service + duplicate_executions +
           untrue_refusals + work_while_draining + reverts;
  }
};

/// A simulated backend server. It survives a crash of the agent on its host.
struct SimulatedServer {
  /// One accepted connection.
  struct Connection {
    uint32_t initial_sequence = 0;  ///< Sequence number of the SYN.
    uint64_t instance = 0;          ///< Index of its flow plus 1; 0 if unset.
    bool closed = false;            ///< The caller has closed it.
  };
  std::string service;  ///< Service that it runs.
  bool alive = true;    ///< False after a crash or a planned stop.
  uint32_t open = 0;    ///< Number of connections that aren't closed.
  std::map<FlowId, Connection> connections;  ///< The newest of each flow.
  std::set<uint64_t> executed;  ///< Ids of the requests that it has run.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_WORLD_TYPE_H_

// @file world_type.h Settings and counts of the fakes around the decisions.
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

/// How packets find a backend server: this design or a baseline.
enum class RoutingScheme : uint8_t {
  kHome,          ///< This design.
  kLocalTable,    ///< Consistent hashing, flow table in each balancer.
  kSecondChance,  ///< The first agent may pass on to one alternative.
};

/// Faults of the network between all fakes.
struct NetworkFaults {
  double loss = 0;                             ///< Chance to lose a packet.
  double duplicate = 0;                        ///< Chance to double a packet.
  double reorder = 0;                          ///< Chance of an extra delay.
  Duration reorder_delay = Milliseconds(200);  ///< That delay at most.
  double control_loss = 0;                     ///< Chance to lose a message.
  Duration balancer_lag{0};  ///< A balancer learns changes up to so late.
};

/// Called for each decision of an agent, to trace one flow while debugging.
using VerdictHook = std::function<void(TimePoint now,
                                       std::string_view agent,
                                       uint64_t instance,
                                       const Envelope& envelope,
                                       const Verdict& verdict)>;

/// Called when a backend server opens or closes a connection.
using ConnectionHook =
    std::function<void(uint64_t instance, std::string_view server, bool open)>;

/// Settings of a world.
struct WorldOptions {
  uint64_t seed = 1;                          ///< Of all randomness.
  RoutingScheme path = RoutingScheme::kHome;  ///< Decisions under test.
  Duration agent_delay = Milliseconds(1);     ///< One way between hosts.
  Duration caller_delay = Milliseconds(3);    ///< One way to callers.
  NetworkFaults faults;                       ///< Faults from the start.
  AgentLimits limits;                         ///< Of every agent.
  GroupTimeouts timeouts;                     ///< Of every member.
  AdmissionPolicy policy;                     ///< Of every agent.
  VerdictHook on_verdict;                     ///< May be empty.
  ConnectionHook on_connection;               ///< May be empty.
  FaultInjection fault_injection;             ///< Test only.
};

/// How a caller's flow behaves.
struct FlowPlan {
  std::string class_name;                 ///< Class it belongs to.
  Transport transport = Transport::kTcp;  ///< TCP or UDP.
  Duration lifetime = Seconds(10);        ///< From answer to last request.
  Duration pause = Seconds(2);            ///< Between requests.
};

/// What became of flows and requests.
struct WorldCounts {
  uint64_t flows = 0;                 ///< Started.
  uint64_t completed = 0;             ///< Got every answer.
  uint64_t refused = 0;               ///< Told "not run".
  uint64_t gave_up = 0;               ///< No answer to the opening packet.
  uint64_t broken = 0;                ///< Established, then cut or stuck.
  uint64_t lost_with_server = 0;      ///< Cut because their server crashed.
  uint64_t requests = 0;              ///< Answered requests.
  uint64_t double_admissions = 0;     ///< Accepted by two backend servers.
  uint64_t cross_service = 0;         ///< Delivered to another service.
  uint64_t duplicate_executions = 0;  ///< Request ran more than once.
  uint64_t untrue_refusals = 0;       ///< Refused, yet a server had accepted.
  uint64_t work_while_draining = 0;   ///< New flow at a draining server.
  uint64_t reverts = 0;               ///< A member went back to an old target.
  uint64_t packets_steady = 0;        ///< Delivered, no recent change.
  uint64_t hops_steady = 0;           ///< Extra hops of those.
  uint64_t packets_change = 0;        ///< Delivered near a change.
  uint64_t hops_change = 0;           ///< Extra hops of those.

  /// Returns the number of violated promises.
  uint64_t Violations() const {
    return broken + double_admissions + cross_service + duplicate_executions +
           untrue_refusals + work_while_draining + reverts;
  }
};

/// A backend server beside an agent; it outlives a crash of the agent.
struct FakeServer {
  /// One accepted connection.
  struct Connection {
    uint32_t initial_sequence = 0;  ///< Identifies the connection.
    uint64_t instance = 0;          ///< Flow instance that opened it.
    bool closed = false;            ///< The caller has ended it.
  };
  std::string service;                       ///< Service it runs.
  bool alive = true;                         ///< Answers packets.
  uint32_t open = 0;                         ///< Connections not closed.
  std::map<FlowId, Connection> connections;  ///< By flow.
  std::set<uint64_t> executed;               ///< Requests it has run.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_WORLD_TYPE_H_

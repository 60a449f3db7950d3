// @file lab_state.h State of the simulated processes, servers and callers.
#ifndef MEDLARGAUGE_LAB_LAB_STATE_H_
#define MEDLARGAUGE_LAB_LAB_STATE_H_

#include <deque>
#include <memory>
#include <set>

#include "lab/lab_type.h"
#include "scenario/event_queue.h"

namespace medlargauge::lab {

/// A simulated packet.
struct SimPacket {
  FlowPacket header;        ///< Header fields that decisions depend on.
  uint64_t request_id = 0;  ///< Request that the data belongs to; 0: no data.
  bool is_refusal = false;  ///< An answer that the request was not executed.
};

/// A flow as its caller sees it.
struct SimFlow {
  FlowKey key;                 ///< Addresses of both ends.
  size_t class_index = 0;      ///< Class of its requests.
  uint32_t domain = 0;         ///< Failure domain of the caller.
  uint32_t syn_sequence = 0;   ///< Sequence number of the opening packet.
  uint32_t next_sequence = 0;  ///< Next sequence number of the caller.
  uint32_t next_server_sequence = 0;  ///< Next sequence number of the server.
  bool is_open = false;               ///< The caller received a SYN-ACK.
  bool is_closed = false;             ///< The caller sends no more packets.
  uint64_t request_id = 0;            ///< Request in progress; 0: idle.
  uint32_t transmissions = 0;         ///< Transmissions of that request.
  uint32_t owner_ip = 0;              ///< Agent whose server has it open; or 0.
  uint32_t misrouted_packets = 0;     ///< Packets at others since the owner's.
  TimePoint misrouted_since;          ///< Arrival of the first of them.
};

/// A request over all its attempts.
struct SimRequest {
  size_t class_index = 0;   ///< Index of its class.
  uint32_t domain = 0;      ///< Failure domain of the caller.
  TimePoint arrived_at;     ///< Start of the first attempt.
  TimePoint attempted_at;   ///< Start of the latest attempt.
  Duration work{};          ///< Time in a slot at speed 1.
  uint32_t attempts = 0;    ///< Attempts so far.
  bool has_ended = false;   ///< Was answered or has failed.
  uint32_t executions = 0;  ///< How often a server began to work on it.
};

/// A simulated backend server.
struct SimServer {
  size_t service_index = 0;     ///< Index of its service.
  std::string id;               ///< Identifier in heartbeats.
  SocketAddress4 address;       ///< Address in heartbeats.
  bool running = true;          ///< Receives packets.
  bool unresponsive = false;    ///< Neither sends nor receives packets.
  bool draining = false;        ///< Has announced that it will leave.
  TimePoint drain_reported_at;  ///< When its agent learned that; zero: never.
  TimePoint started_at;         ///< Last start; the warm-up begins then.
  uint64_t generation = 0;      ///< Number of restarts.
  uint64_t heartbeat_sequence = 0;  ///< Number of the last heartbeat.
  double failure_probability = 0;   ///< Probability that a request fails.
  double refusal_probability = 0;   ///< Probability that one is refused.
  bool resets_requests = false;     ///< Resets each flow with a request.
  double speed = 1;                 ///< Work times are divided by it.
  double work_time_factor = 1;      ///< Factor on the work times.
  uint32_t busy_slots = 0;          ///< Requests being worked on.
  uint32_t accepted_flows = 1;      ///< Varies initial sequence numbers.
  std::deque<SimPacket> queue;      ///< Requests that wait for a slot.
  /// Half-open flows, with the server's initial sequence number.
  std::map<FlowKey, uint32_t> half_open;
  /// Open flows, with the id of the last request.
  std::map<FlowKey, uint64_t> open_flows;
  /// Closed flows. Their late packets are dropped, not returned.
  std::set<FlowKey> closed_flows;
};

/// A simulated agent process.
struct SimAgent {
  uint32_t ip = 0;                            ///< Address of its host.
  uint32_t domain = 0;                        ///< Index of its failure domain.
  std::unique_ptr<AgentForwarder> forwarder;  ///< Null while not running.
  uint64_t incarnation = 0;                   ///< Number of starts.
  uint32_t status_sequence = 0;  ///< Sequence number of its last status.
  bool leaving = false;          ///< A planned stop has begun.
  bool loses_output = false;     ///< Packets that it sends are lost.
  SimServer server;              ///< Backend server on its host.
};

/// A simulated balancer process.
struct SimBalancer {
  uint32_t ip = 0;                           ///< Address of its host.
  uint32_t domain = 0;                       ///< Index of its failure domain.
  bool running = false;                      ///< Receives packets.
  bool isolated = false;                     ///< Reaches no agent.
  bool in_rotation = true;                   ///< Routers send packets to it.
  bool ready = true;                         ///< No planned stop has begun.
  uint64_t start_count = 0;                  ///< Number of starts.
  std::unique_ptr<MembershipTable> members;  ///< Replaced at each start.
  std::unique_ptr<ActiveRoutes> routes;      ///< Replaced at each start.
  std::unique_ptr<FlowDirector> director;    ///< Replaced at each start.
};

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_LAB_STATE_H_

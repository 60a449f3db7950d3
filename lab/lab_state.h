// @file lab_state.h Hosts, servers and callers of the model.
#ifndef MEDLARGAUGE_LAB_LAB_STATE_H_
#define MEDLARGAUGE_LAB_LAB_STATE_H_

#include <deque>
#include <memory>
#include <set>

#include "lab/lab_type.h"
#include "scenario/event_queue.h"

namespace medlargauge::lab {

/// A packet of the model with what its data means.
struct LabPacket {
  FlowPacket head;          ///< As the decisions see it.
  uint64_t request = 0;     ///< Request or answer that the data carries.
  bool is_refusal = false;  ///< The answer says that it was not run.
};

/// One attempt of a caller: a flow, kept open or not.
struct LabFlow {
  FlowKey key;                ///< Ends.
  size_t class_index = 0;     ///< Kind of request.
  uint32_t domain = 0;        ///< Of the caller.
  uint32_t syn_sequence = 0;  ///< Of the opening packet.
  uint32_t next = 0;          ///< Caller's next sequence number.
  uint32_t server_next = 0;   ///< Next number expected from the server.
  bool open = false;          ///< The caller has the server's answer to it.
  bool ended = false;         ///< No more packets from the caller.
  uint64_t request = 0;       ///< Being asked; 0: idle.
  uint32_t sent = 0;          ///< Times that the request was sent.
  uint32_t owner = 0;         ///< Agent beside the server that has it; or 0.
  uint32_t astray = 0;        ///< Packets that reached only other servers.
  TimePoint astray_since;     ///< When the first of them did.
};

/// One request over all its attempts.
struct LabRequest {
  size_t class_index = 0;  ///< Kind.
  uint32_t domain = 0;     ///< Of the caller.
  TimePoint asked;         ///< First attempt.
  uint32_t attempts = 0;   ///< So far.
  bool done = false;       ///< Counted.
  uint32_t runs = 0;       ///< Times that a server began it.
};

/// A modelled backend server.
struct LabServer {
  size_t service = 0;             ///< Index of the service.
  std::string id;                 ///< Reported identifier.
  SocketAddress4 address;         ///< Reported address.
  bool running = true;            ///< Takes packets.
  bool dark = false;              ///< Sends nothing and hears nothing.
  bool draining = false;          ///< Leaves soon.
  TimePoint left_at;              ///< Its agent knows since; zero: it stays.
  TimePoint started;              ///< For the cold start.
  uint64_t generation = 0;        ///< Grows with each start.
  uint64_t reports = 0;           ///< Sequence of heartbeats.
  double failing = 0;             ///< Probability of a failed answer.
  double slow = 1;                ///< Factor on the work.
  uint32_t working = 0;           ///< Slots taken.
  uint32_t next_sequence = 1;     ///< Of the next flow.
  std::deque<LabPacket> waiting;  ///< Requests without a slot.
  std::map<FlowKey, uint32_t> half_open;  ///< Own sequence number by flow.
  std::map<FlowKey, uint64_t> flows;      ///< Open, with the last request.
  std::set<FlowKey> ended;                ///< Closed; late packets are ignored.
};

/// A modelled agent process.
struct LabAgent {
  uint32_t ip = 0;                       ///< Of its host.
  uint32_t domain = 0;                   ///< Failure domain.
  std::unique_ptr<AgentForwarder> gate;  ///< Null while not running.
  uint64_t incarnation = 0;              ///< Grows with each start.
  uint32_t sequence = 0;                 ///< Of its statuses.
  bool leaving = false;                  ///< A planned stop has begun.
  bool mute = false;                     ///< What it sends is lost.
  LabServer server;                      ///< Beside it.
};

/// A modelled balancer process.
struct LabBalancer {
  uint32_t ip = 0;          ///< Of its host.
  uint32_t domain = 0;      ///< Failure domain.
  bool running = false;     ///< Handles packets.
  bool cut = false;         ///< Reaches no agent.
  bool in_rotation = true;  ///< Routers send to it.
  bool ready = true;        ///< Last answer to the routers' check.
  uint64_t starts = 0;      ///< Tells timers of earlier starts.
  std::unique_ptr<MembershipTable> roster;  ///< Fresh with each start.
  std::unique_ptr<ActiveRoutes> routes;     ///< Fresh with each start.
  std::unique_ptr<FlowDirector> director;   ///< Fresh with each start.
};

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_LAB_STATE_H_

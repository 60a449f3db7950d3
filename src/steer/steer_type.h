// @file steer_type.h Packets, members and loads as the decisions see them.
#ifndef MEDLARGAUGE_STEER_STEER_TYPE_H_
#define MEDLARGAUGE_STEER_STEER_TYPE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "src/core/hash.h"
#include "src/core/ids_type.h"
#include "src/core/time_type.h"
#include "src/packet/packet_type.h"
#include "src/routing/routing_type.h"

namespace medlargauge {

/// An IPv4 address with a port, both in host byte order.
struct SocketAddress4 {
  uint32_t ip = 0;    ///< Address; 0 means "none".
  uint16_t port = 0;  ///< Port.

  friend bool operator==(SocketAddress4 a, SocketAddress4 b) {
    return a.ip == b.ip && a.port == b.port;
  }
  friend bool operator!=(SocketAddress4 a, SocketAddress4 b) {
    return !(a == b);
  }
  friend bool operator<(SocketAddress4 a, SocketAddress4 b) {
    return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
  }
};

/// The two ends of a flow, whichever way a packet travels.
struct FlowKey {
  SocketAddress4 caller;  ///< End that opened the flow.
  SocketAddress4 route;   ///< Address of the class of work.

  friend bool operator==(const FlowKey& a, const FlowKey& b) {
    return a.caller == b.caller && a.route == b.route;
  }
  friend bool operator<(const FlowKey& a, const FlowKey& b) {
    return a.caller != b.caller ? a.caller < b.caller : a.route < b.route;
  }
};

/// Returns the hash that stands for a flow in every process. Thread-safe.
inline uint64_t HashFlow(const FlowKey& key) {
  const uint64_t addresses =
      (static_cast<uint64_t>(key.caller.ip) << 32U) | key.route.ip;
  const uint64_t ports =
      (static_cast<uint64_t>(key.caller.port) << 16U) | key.route.port;
  return MixHash(addresses, ports);
}

/// Hash functor for unordered containers. Thread-safe.
struct FlowKeyHash {
  size_t operator()(const FlowKey& key) const { return HashFlow(key); }
};

/// What the first bytes of an answer say of the request.
enum class AnswerKind : uint8_t {
  kUnknown = 0,  ///< Not the start of an answer, or not readable.
  kSuccess,      ///< Served.
  kFailure,      ///< The server failed at it.
  kRefused,      ///< The server did not run it.
};

/// One packet of a flow; its bytes are kept by the owner of the buffer.
struct FlowPacket {
  FlowKey flow;                 ///< Ends of the flow.
  bool from_caller = true;      ///< Direction.
  bool syn = false;             ///< Opens the flow.
  bool syn_ack = false;         ///< The server's answer to the opening packet.
  bool ack = false;             ///< Acknowledges data.
  bool fin = false;             ///< Sender has sent everything.
  bool rst = false;             ///< Sender gives the flow up.
  bool bounced = false;         ///< Returned by a backend server.
  uint32_t sequence = 0;        ///< Number of the first data byte.
  uint32_t acknowledged = 0;    ///< Next byte expected; in a SYN: copy number.
  uint16_t data_length = 0;     ///< Bytes after the head.
  std::string_view request_id;  ///< In the packet's bytes, for logs; or empty.
  AnswerKind answer = AnswerKind::kUnknown;  ///< From a server: see there.
  uint32_t tag = 0;  ///< Ours on the way in, returned in a bounce.
};

/// What a process does for the fleet.
enum class MemberRole : uint8_t { kBalancer = 0, kAgent = 1 };

/// What an agent knows of its backend server right now.
struct ServerLoad {
  uint32_t active = 0;       ///< Requests being worked on or waiting there.
  uint32_t slots = 1;        ///< Requests that it works on at once.
  uint32_t service_us = 0;   ///< Mean time to the first answer byte.
  uint32_t failing = 0;      ///< Failed of the latest requests, in a thousand.
  TimePoint warmup_ends_at;  ///< Slow until then.
};

/// One process of the fleet.
struct SteerMember {
  MemberId id;                              ///< From the process's name.
  MemberRole role = MemberRole::kBalancer;  ///< Its role.
  uint32_t ip = 0;                          ///< Address, host byte order.
  uint64_t incarnation = 0;                 ///< Differs with each start.
  ServiceId service;                        ///< Agent: service it serves.
  DomainId domain;                          ///< Failure domain.
  AgentState state = AgentState::kJoining;  ///< kJoining: server unknown yet.
  ServerLoad load;                          ///< Agent: newest known load.
  uint64_t revision = 0;                    ///< Targets in force there.
};

/// Why an agent sends a packet back to the balancer.
enum class ReturnReason : uint8_t {
  kNone = 0,
  kBounced,       ///< The backend server does not hold or cannot take it.
  kBusy,          ///< All slots taken; another server may be free.
  kFull,          ///< Would wait too long to be of use.
  kDraining,      ///< Takes no new flows.
  kWrongService,  ///< The host serves another service.
  kServerDown,    ///< No backend server is running.
  kMoved,         ///< Another agent has the flow.
};

/// What a balancer tells the agent along with a packet.
struct ForwardHeader {
  ServiceId service;            ///< Service that must serve the flow.
  bool search = false;          ///< The owner is unknown: confirm if held.
  bool use_pointer = true;      ///< While searching: name the owner if known.
  bool last_candidate = false;  ///< Take it unless that is useless.
  uint32_t response_limit_ms =
      0;                  ///< A new request is useless if later than this.
  uint64_t revision = 0;  ///< Targets that the balancer went by.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STEER_STEER_TYPE_H_

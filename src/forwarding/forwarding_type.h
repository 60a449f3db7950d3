// @file forwarding_type.h Packets, fleet members and load reports that
// forwarding decisions use.
#ifndef MEDLARGAUGE_FORWARDING_FORWARDING_TYPE_H_
#define MEDLARGAUGE_FORWARDING_FORWARDING_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/hash.h"
#include "src/core/ids_type.h"
#include "src/core/time_type.h"
#include "src/forwarding/target_version.h"
#include "src/packet/packet_type.h"
#include "src/routing/routing_type.h"

namespace medlargauge {

/// An IPv4 address with a port, both in host byte order.
struct SocketAddress4 {
  uint32_t ip = 0;    ///< Address; 0 if unset.
  uint16_t port = 0;  ///< Port number.

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

/// The two endpoints of a flow, the same for packets in both directions.
struct FlowKey {
  SocketAddress4 caller;  ///< Endpoint that opened the flow.
  SocketAddress4 route;   ///< Service address that the caller connected to.

  friend bool operator==(const FlowKey& a, const FlowKey& b) {
    return a.caller == b.caller && a.route == b.route;
  }
  friend bool operator<(const FlowKey& a, const FlowKey& b) {
    return a.caller != b.caller ? a.caller < b.caller : a.route < b.route;
  }
};

/// Returns the hash of a flow, equal in every process of the fleet.
/// Thread-safe.
inline uint64_t HashFlow(const FlowKey& key) {
  const uint64_t addresses =
      (static_cast<uint64_t>(key.caller.ip) << 32U) | key.route.ip;
  const uint64_t ports =
      (static_cast<uint64_t>(key.caller.port) << 16U) | key.route.port;
  return MixHash(addresses, ports);
}

/// Hash function object for unordered containers. Thread-safe.
struct FlowKeyHash {
  size_t operator()(const FlowKey& key) const { return HashFlow(key); }
};

/// Outcome of a request, read from the first bytes of the answer.
enum class AnswerKind : uint8_t {
  kUnknown = 0,  ///< Not the start of an answer, or not parseable.
  kSuccess,      ///< The server handled the request.
  kFailure,      ///< The server ran the request and failed.
  kRefused,      ///< The server rejected the request without running it.
};

/// Parsed header of one packet of a flow. `request_id` points into the packet
/// buffer, which the caller of the parser owns and must keep alive.
struct FlowPacket {
  FlowKey flow;             ///< Flow that the packet belongs to.
  bool from_caller = true;  ///< Sent by the caller, not by the server.
  bool syn = false;         ///< SYN: the caller opens the flow.
  bool syn_ack = false;     ///< SYN-ACK: the server accepts the flow.
  bool ack = false;         ///< The acknowledgement number is valid.
  bool fin = false;         ///< FIN: the sender has no more data.
  bool rst = false;         ///< RST: the sender aborts the flow.
  bool bounced = false;   ///< Returned by a backend server that lacks the flow.
  uint32_t sequence = 0;  ///< Sequence number of the first data byte.
  /// Sequence number expected next from the peer; in a SYN: the number of the
  /// retransmission.
  uint32_t acknowledged = 0;
  uint16_t data_length = 0;     ///< Payload length in bytes.
  std::string_view request_id;  ///< For logs; empty if the packet has none.
  AnswerKind answer = AnswerKind::kUnknown;  ///< Only in packets from a server.
  /// Address of the balancer: set by the agent on delivery, echoed by the
  /// server in a bounced packet.
  uint32_t tag = 0;
};

/// Role of a process in the fleet.
enum class MemberRole : uint8_t { kBalancer = 0, kAgent = 1 };

/// Current load of a backend server as its agent measures it.
struct ServerLoad {
  uint32_t active = 0;      ///< Requests in progress or queued at the server.
  uint32_t slots = 1;       ///< Requests that the server runs concurrently.
  uint32_t service_us = 0;  ///< Mean time to the first answer byte; 0: unknown.
  /// Recent failure rate in thousandths; kRestrictedFailing: the server leaves
  /// requests without an answer and gets trial flows only.
  uint32_t failing = 0;
  uint32_t trials = 0;  ///< Restricted: trial flows that it would take now.
  /// Expected time until a new request gets a slot, in microseconds.
  uint32_t wait_us = 0;
  /// Usual time in a slot of a request of the kind that the message is about,
  /// in microseconds; 0: not measured, or about no kind.
  uint32_t cost_us = 0;
  /// Service time of any request relative to what is usual at this server, in
  /// thousandths; 0: not stated.
  uint32_t slowness = 0;
  TimePoint warmup_ends_at;  ///< The server is slower before this time.
};

/// Value of ServerLoad::failing for a restricted server. Processes that don't
/// know restrictions take it for the highest failure rate.
inline constexpr uint32_t kRestrictedFailing = 1000;

/// Returns whether a server gets trial flows only. Thread-safe.
inline bool IsRestricted(const ServerLoad& load) {
  return load.failing >= kRestrictedFailing;
}

/// One process of the fleet.
struct FleetMember {
  MemberId id;                              ///< Derived from the process name.
  MemberRole role = MemberRole::kBalancer;  ///< Balancer or agent.
  uint32_t ip = 0;                          ///< IPv4 address, host byte order.
  uint64_t incarnation = 0;                 ///< Changes with each start.
  ServiceId service;  ///< Agents only: service of the backend server.
  DomainId domain;    ///< Failure domain of the host.
  /// Agents only; kJoining while the agent does not know its server's state.
  AgentState state = AgentState::kJoining;
  ServerLoad load;         ///< Agents only: latest load report.
  TargetIdentity targets;  ///< Targets in force at the member.
};

/// Why an agent sends a packet back to the balancer.
enum class ReturnReason : uint8_t {
  kNone = 0,
  kBounced,       ///< The backend server lacks the flow or cannot accept it.
  kBusy,          ///< All slots are in use; another server may have a free one.
  kFull,          ///< The queueing delay would exceed the response limit.
  kDraining,      ///< The server or the agent accepts no new flows.
  kWrongService,  ///< The host serves another service.
  kServerDown,    ///< No backend server is running.
  kMoved,         ///< Another agent owns the flow.
  kEvacuated,     ///< The failure domain of the server gets no new flows.
};

/// Instructions that a balancer sends to the agent with each packet.
struct ForwardHeader {
  ServiceId service;    ///< Service that must serve the flow.
  bool search = false;  ///< The owner is unknown: confirm the flow if held.
  /// During a search: return the packet with the owner if a pointer names it.
  bool use_pointer = true;
  /// Accept the flow even without a free slot, unless it would answer too late.
  bool last_candidate = false;
  /// Callers may send a request of the flow again.
  bool repeatable = false;
  /// Accept the flow even if the server is restricted, because all servers of
  /// the service are.
  bool all_restricted = false;
  uint32_t response_limit_ms = 0;  ///< A later answer is useless; 0: no limit.
  uint64_t revision = 0;           ///< Targets revision used by the balancer.
  /// New flows per second that a cold server of the service bears; 0: no limit;
  /// nullopt: the balancer has a version that does not state it.
  std::optional<uint32_t> warmup_per_second;
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_FORWARDING_TYPE_H_

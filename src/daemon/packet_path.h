// @file packet_path.h Packet path of balancers and agents: parsing, decision
// and forwarding of one datagram.
#ifndef MEDLARGAUGE_DAEMON_PACKET_PATH_H_
#define MEDLARGAUGE_DAEMON_PACKET_PATH_H_

#include <functional>

#include "src/daemon/packet_io.h"
#include "src/locate/agent.h"
#include "src/routing/balancer.h"

namespace medlargauge {

/// Returns the data address of a member, or null.
using MemberAddressHook = std::function<const sockaddr_in*(MemberId)>;
/// Called for each packet that a balancer forwards. May sample the packet for
/// tracing by changing the envelope of the verdict.
using BalancerTraceHook = std::function<void(const PacketInfo&, RouteVerdict*)>;
/// Called for each packet that an agent has decided about. May write a span and
/// change the envelope of the verdict.
using AgentTraceHook = std::function<void(const Envelope&, Verdict*)>;
/// Answers a packet that an agent rejected with `error`.
/// @param raw bytes of the packet
using RejectHook = std::function<
    void(const PacketInfo& packet, ByteView raw, ErrorKind error)>;

/// The objects on the packet path of a balancer.
struct BalancerPacketPath {
  Balancer* balancer = nullptr;  ///< Decides about each packet.
  PacketIo* io = nullptr;        ///< Data socket.
  MemberAddressHook address;     ///< Looks up data addresses.
  BalancerTraceHook trace;       ///< May be empty.
};

/// The objects on the packet path of an agent.
struct AgentPacketPath {
  Agent* agent = nullptr;     ///< Decides about each packet.
  PacketIo* io = nullptr;     ///< Data socket.
  sockaddr_in backend{};      ///< Address of the backend server.
  MemberAddressHook address;  ///< Looks up data addresses.
  AgentTraceHook trace;       ///< May be empty.
  RejectHook reject;          ///< May be empty.
};

/// Handles a datagram from the fabric: queues its packet for the agent that the
/// balancer chooses, or drops it.
/// Precondition: called from the hook of `path.io`'s RunBatch.
/// @return kNone, or why the datagram was malformed
ErrorKind HandleBalancerDatagram(const BalancerPacketPath& path,
                                 ByteView datagram);

/// Handles a datagram from a balancer or an agent: queues its packet for the
/// backend server or another agent, or rejects it.
/// Precondition: called from the hook of `path.io`'s RunBatch.
/// @return kNone, or why the datagram was malformed
ErrorKind HandleAgentDatagram(const AgentPacketPath& path,
                              TimePoint now,
                              ByteView datagram);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_PACKET_PATH_H_

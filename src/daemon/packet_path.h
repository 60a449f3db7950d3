// @file packet_path.h One datagram from socket to socket, for both roles.
#ifndef MEDLARGAUGE_DAEMON_PACKET_PATH_H_
#define MEDLARGAUGE_DAEMON_PACKET_PATH_H_

#include <functional>

#include "src/daemon/packet_io.h"
#include "src/locate/agent.h"
#include "src/routing/balancer.h"

namespace medlargauge {

/// Returns the data address of a member, or null.
using MemberAddressHook = std::function<const sockaddr_in*(MemberId)>;
/// May sample the packet by changing the envelope of the verdict.
using BalancerTraceHook = std::function<void(const PacketInfo&, RouteVerdict*)>;
/// May write a span and change the envelope of the verdict.
using AgentTraceHook = std::function<void(const Envelope&, Verdict*)>;
/// Answers a packet that was rejected with `error`.
using RejectHook = std::function<
    void(const PacketInfo& packet, ByteView raw, ErrorKind error)>;

/// What a balancer's packets need besides its decisions.
struct BalancerPacketPath {
  Balancer* balancer = nullptr;  ///< Decides.
  PacketIo* io = nullptr;        ///< Sends.
  MemberAddressHook address;     ///< Resolves members.
  BalancerTraceHook trace;       ///< May be empty.
};

/// What an agent's packets need besides its decisions.
struct AgentPacketPath {
  Agent* agent = nullptr;     ///< Decides.
  PacketIo* io = nullptr;     ///< Sends.
  sockaddr_in backend{};      ///< Backend server.
  MemberAddressHook address;  ///< Resolves members.
  AgentTraceHook trace;       ///< May be empty.
  RejectHook reject;          ///< May be empty.
};

/// Passes one datagram of the fabric to an agent.
/// Precondition: called from the hook of RunBatch of `path.io`.
/// @return kNone, or why the datagram was malformed
ErrorKind HandleBalancerDatagram(const BalancerPacketPath& path,
                                 ByteView datagram);

/// Passes one datagram of a balancer or an agent to the backend server or to
/// another agent. Precondition: called from the hook of RunBatch of `path.io`.
/// @return kNone, or why the datagram was malformed
ErrorKind HandleAgentDatagram(const AgentPacketPath& path,
                              TimePoint now,
                              ByteView datagram);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_PACKET_PATH_H_

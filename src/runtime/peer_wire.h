// @file peer_wire.h Wire format of the datagrams between balancers and agents.
#ifndef MEDLARGAUGE_RUNTIME_PEER_WIRE_H_
#define MEDLARGAUGE_RUNTIME_PEER_WIRE_H_

#include <optional>
#include <string>

#include "src/forwarding/forwarding_type.h"
#include "src/forwarding/membership_table.h"

namespace medlargauge {

/// Kinds of datagrams between processes; the byte after the magic byte.
enum class PeerMessageKind : uint8_t {
  kForward = 1,  ///< Balancer to agent: a packet of a caller.
  kReturn = 2,   ///< Agent to balancer: a forwarded packet, handed back.
  kNote = 3,     ///< Agent to balancer: FlowNote, confirms a flow.
  kStatus = 4,   ///< Between any two processes: PeerStatus, a heartbeat.
  kPointer = 5,  ///< Balancer to agent: FlowPointer, names the owner of a flow.
  kQuery = 6,    ///< Balancer to agent: FlowQuery, asks for many flows.
  kAnswer = 7,   ///< Agent to balancer: FlowAnswer.
};

/// A parsed datagram. Each kind uses only some of the fields; `packet` and
/// `message` point into the bytes of the datagram.
struct PeerFrame {
  PeerMessageKind kind = PeerMessageKind::kStatus;
  ForwardHeader header;                       ///< kForward.
  ReturnReason reason = ReturnReason::kNone;  ///< kReturn.
  ServerLoad load;                            ///< kReturn.
  MemberId owner;    ///< kReturn with kMoved: owner of the flow.
  ByteSpan packet;   ///< kForward, kReturn.
  ByteView message;  ///< All other kinds: encoded protobuf message.
};

/// Builds datagrams in a buffer that it reuses. Each method returns a view that
/// is valid until the next call. Not thread-safe.
class PeerFrameWriter {
 public:
  /// Builds a kForward datagram around a packet.
  ByteView Forward(const ForwardHeader& header, ByteView packet);
  /// Builds a kReturn datagram around a packet.
  /// @param now converts the end of the warm-up in `load` to a remaining time
  /// @param owner owner of the flow if `reason` is kMoved
  ByteView Return(TimePoint now,
                  ReturnReason reason,
                  MemberId owner,
                  const ServerLoad& load,
                  ByteView packet);
  /// Builds a datagram of one of the kinds that carry a protobuf message.
  ByteView Message(PeerMessageKind kind,
                   const google::protobuf::MessageLite& message);

 private:
  ByteView BufferView() const;

  std::string m_buffer;  ///< The last datagram.
};

/// Parses a datagram; the protobuf message is not decoded. Thread-safe.
/// @param now converts the remaining warm-up time of a load to a time point
/// @return nullopt if the datagram is malformed or not of this protocol
std::optional<PeerFrame> ParsePeerFrame(TimePoint now, ByteSpan datagram);

/// Returns the flow that a FlowNote or FlowPointer refers to. Thread-safe.
template <typename Message>
FlowKey FlowOf(const Message& message) {
  return {{message.caller_ip(), static_cast<uint16_t>(message.caller_port())},
          {message.route_ip(), static_cast<uint16_t>(message.route_port())}};
}

/// Sets the flow that a FlowNote or FlowPointer refers to. Thread-safe for
/// distinct messages.
template <typename Message>
void SetFlow(const FlowKey& flow, Message* message) {
  message->set_caller_ip(flow.caller.ip);
  message->set_caller_port(flow.caller.port);
  message->set_route_ip(flow.route.ip);
  message->set_route_port(flow.route.port);
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_PEER_WIRE_H_

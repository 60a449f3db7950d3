// @file peer_wire.h Datagrams between balancers and agents.
#ifndef MEDLARGAUGE_RUNTIME_PEER_WIRE_H_
#define MEDLARGAUGE_RUNTIME_PEER_WIRE_H_

#include <optional>
#include <string>

#include "src/steer/roster.h"
#include "src/steer/steer_type.h"

namespace medlargauge {

/// Kinds of datagrams between processes; the first byte after the magic one.
enum class PeerKind : uint8_t {
  kForward = 1,  ///< Balancer to agent: a caller's packet.
  kReturn = 2,   ///< Agent to balancer: a packet that it did not keep.
  kNote = 3,     ///< Agent to balancer: the flow is held.
  kStatus = 4,   ///< Anybody to anybody.
  kPointer = 5,  ///< Balancer to agent: who has a flow.
};

/// A datagram taken apart; views point into its bytes.
struct PeerFrame {
  PeerKind kind = PeerKind::kStatus;
  ForwardHeader header;                       ///< kForward.
  ReturnReason reason = ReturnReason::kNone;  ///< kReturn.
  ServerLoad load;                            ///< kReturn.
  MemberId owner;                             ///< kReturn, kMoved: who has it.
  ByteSpan packet;                            ///< kForward, kReturn.
  ByteView message;                           ///< The others: protobuf.
};

/// Builds datagrams in a buffer of its own. Not thread-safe.
class PeerFrameWriter {
 public:
  /// Each returns a view that is valid until the next call.
  ByteView Forward(const ForwardHeader& header, ByteView packet);
  ByteView Return(TimePoint now,
                  ReturnReason reason,
                  MemberId owner,
                  const ServerLoad& load,
                  ByteView packet);
  ByteView Message(PeerKind kind, const google::protobuf::MessageLite& message);

 private:
  ByteView View() const;

  std::string m_buffer;  ///< Reused.
};

/// Takes a datagram apart; nullopt if it is malformed. Thread-safe.
std::optional<PeerFrame> ParsePeerFrame(TimePoint now, ByteSpan datagram);

/// Returns the flow that a note or pointer is about. Thread-safe.
template <typename Message>
FlowKey FlowOf(const Message& message) {
  return {{message.caller_ip(), static_cast<uint16_t>(message.caller_port())},
          {message.route_ip(), static_cast<uint16_t>(message.route_port())}};
}

/// Makes a note or pointer be about this flow.
template <typename Message>
void SetFlow(const FlowKey& flow, Message* message) {
  message->set_caller_ip(flow.caller.ip);
  message->set_caller_port(flow.caller.port);
  message->set_route_ip(flow.route.ip);
  message->set_route_port(flow.route.port);
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_PEER_WIRE_H_

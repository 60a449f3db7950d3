// @file packet_path.cc Parsing, decision and encapsulation of packets.
#include "src/daemon/packet_path.h"

#include "src/packet/packet.h"

namespace medlargauge {

ErrorKind HandleBalancerDatagram(const BalancerPacketPath& path,
                                 ByteView datagram) {
  Error reason;
  const std::optional<GueDatagram> gue = ParseGue(datagram, &reason);
  const std::optional<PacketInfo> packet =
      gue.has_value() ? ParsePacket(gue->packet, &reason) : std::nullopt;
  if (!packet.has_value()) {
    return reason.kind;
  }
  RouteVerdict verdict = path.balancer->OnPacket(*packet);
  const sockaddr_in* next =
      verdict.next.IsSet() ? path.address(verdict.next) : nullptr;
  if (next == nullptr) {
    return ErrorKind::kNone;
  }
  if (path.trace) {
    path.trace(*packet, &verdict);
  }
  std::array<uint8_t, kMaxGueHeaderSize> header;
  const size_t size =
      WriteEnvelope(verdict.envelope, {header.data(), header.size()});
  path.io->Queue(*next, ByteView(header.data(), size), gue->packet);
  return ErrorKind::kNone;
}

ErrorKind HandleAgentDatagram(const AgentPacketPath& path,
                              TimePoint now,
                              ByteView datagram) {
  Error reason;
  const std::optional<GueDatagram> gue = ParseGue(datagram, &reason);
  const std::optional<Envelope> envelope =
      gue.has_value() ? ParseEnvelope(gue->private_data, &reason)
                      : std::nullopt;
  const std::optional<PacketInfo> packet =
      envelope.has_value() ? ParsePacket(gue->packet, &reason) : std::nullopt;
  if (!packet.has_value()) {
    return reason.kind;
  }
  Verdict verdict = path.agent->OnPacket(now, *packet, *envelope);
  if (path.trace) {
    path.trace(*envelope, &verdict);
  }
  std::array<uint8_t, kMaxGueHeaderSize> header;
  const ByteSpan out{header.data(), header.size()};
  if (verdict.kind == VerdictKind::kDeliver) {
    const size_t size = WriteGueHeader(out);
    path.io->Queue(path.backend, ByteView(header.data(), size), gue->packet);
  } else if (verdict.kind == VerdictKind::kForward) {
    const sockaddr_in* next = path.address(verdict.next);
    if (next != nullptr) {
      const size_t size = WriteEnvelope(verdict.envelope, out);
      path.io->Queue(*next, ByteView(header.data(), size), gue->packet);
    }
  } else if (path.reject) {
    path.reject(*packet, gue->packet, verdict.error);
  }
  return ErrorKind::kNone;
}

}  // namespace medlargauge

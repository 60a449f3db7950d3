// @file peer_wire.cc Fixed headers in front of packets, protobuf for all other
// messages.
#include "src/runtime/peer_wire.h"

#include <algorithm>
#include <cstring>

namespace medlargauge {
namespace {

/// First byte of each datagram; distinguishes this protocol from others.
constexpr uint8_t kProtocolMagic = 0xB7;
// Bits of ForwardWireHeader::flags.
constexpr uint8_t kSearchFlag = 1;
constexpr uint8_t kLastCandidateFlag = 2;
constexpr uint8_t kUsePointerFlag = 4;
constexpr uint8_t kRepeatableFlag = 8;
constexpr uint8_t kAllRestrictedFlag = 16;

/// Names kEvacuated in ReturnWireHeader::owner. The reason next to it is
/// kDraining, as old processes drop returned packets with an unknown reason.
constexpr uint64_t kEvacuatedMark = 1;

/// Precedes a forwarded packet. In host byte order, because all hosts have the
/// same architecture.
struct ForwardWireHeader {
  uint8_t magic;
  uint8_t kind;
  uint8_t flags;
  uint8_t reserved;
  uint32_t service;
  uint32_t response_limit_ms;
  /// 1 + new flows per second that a cold server bears; 0: not stated.
  uint32_t warmup_plus_one;
  uint64_t revision;
};
static_assert(sizeof(ForwardWireHeader) == 24);

/// Precedes a returned packet; also in host byte order.
struct ReturnWireHeader {
  uint8_t magic;
  uint8_t kind;
  uint8_t reason;
  uint8_t trials;  ///< Old processes send 0 and ignore it.
  uint32_t active;
  uint32_t slots;
  uint32_t service_us;
  uint32_t warmup_ms;
  uint32_t failing;
  /// Owner of the flow for kMoved. Otherwise wait_us in the low and cost_us in
  /// the high half; old processes send 0 and ignore it.
  uint64_t owner;
};
static_assert(sizeof(ReturnWireHeader) == 32);

/// Returns the times of a load that take the place of the owner.
uint64_t PackTimes(const ServerLoad& load) {
  return load.wait_us | static_cast<uint64_t>(load.cost_us) << 32U;
}

void UnpackTimes(uint64_t times, proto::PeerLoad* load) {
  load->set_wait_us(static_cast<uint32_t>(times));
  load->set_cost_us(static_cast<uint32_t>(times >> 32U));
}

}  // namespace

ByteView PeerFrameWriter::BufferView() const {
  return {reinterpret_cast<const uint8_t*>(m_buffer.data()), m_buffer.size()};
}

ByteView PeerFrameWriter::Forward(const ForwardHeader& header,
                                  ByteView packet) {
  ForwardWireHeader wire_header{};
  wire_header.magic = kProtocolMagic;
  wire_header.kind = static_cast<uint8_t>(PeerMessageKind::kForward);
  wire_header.flags = (header.search ? kSearchFlag : 0) |
                      (header.last_candidate ? kLastCandidateFlag : 0) |
                      (header.use_pointer ? kUsePointerFlag : 0) |
                      (header.repeatable ? kRepeatableFlag : 0) |
                      (header.all_restricted ? kAllRestrictedFlag : 0);
  wire_header.service = header.service.value;
  wire_header.response_limit_ms = header.response_limit_ms;
  if (header.warmup_per_second.has_value()) {
    wire_header.warmup_plus_one =
        std::min(*header.warmup_per_second, UINT32_MAX - 1) + 1;
  }
  wire_header.revision = header.revision;
  m_buffer.assign(reinterpret_cast<const char*>(&wire_header),
                  sizeof(wire_header));
  m_buffer.append(reinterpret_cast<const char*>(packet.data()), packet.size());
  return BufferView();
}

ByteView PeerFrameWriter::Return(TimePoint now,
                                 ReturnReason reason,
                                 MemberId owner,
                                 const ServerLoad& load,
                                 ByteView packet) {
  ReturnWireHeader wire_header{};
  wire_header.magic = kProtocolMagic;
  wire_header.kind = static_cast<uint8_t>(PeerMessageKind::kReturn);
  const bool is_evacuated = reason == ReturnReason::kEvacuated;
  wire_header.reason =
      static_cast<uint8_t>(is_evacuated ? ReturnReason::kDraining : reason);
  wire_header.owner = is_evacuated                        ? kEvacuatedMark
                      : reason == ReturnReason::kMoved    ? owner.value
                      : reason == ReturnReason::kDraining ? 0
                                                          : PackTimes(load);
  wire_header.active = load.active;
  wire_header.slots = load.slots;
  wire_header.service_us = load.service_us;
  wire_header.failing = load.failing;
  wire_header.trials =
      static_cast<uint8_t>(std::min<uint32_t>(load.trials, UINT8_MAX));
  wire_header.warmup_ms =
      load.warmup_ends_at > now
          ? static_cast<uint32_t>(ToMilliseconds(load.warmup_ends_at - now))
          : 0;
  m_buffer.assign(reinterpret_cast<const char*>(&wire_header),
                  sizeof(wire_header));
  m_buffer.append(reinterpret_cast<const char*>(packet.data()), packet.size());
  return BufferView();
}

ByteView PeerFrameWriter::Message(
    PeerMessageKind kind,
    const google::protobuf::MessageLite& message) {
  const char wire_header[] = {static_cast<char>(kProtocolMagic),
                              static_cast<char>(kind)};
  m_buffer.assign(wire_header, sizeof(wire_header));
  message.AppendToString(&m_buffer);
  return BufferView();
}

std::optional<PeerFrame> ParsePeerFrame(TimePoint now, ByteSpan datagram) {
  if (datagram.size < 2 || datagram.data[0] != kProtocolMagic) {
    return std::nullopt;
  }
  PeerFrame frame;
  frame.kind = static_cast<PeerMessageKind>(datagram.data[1]);
  switch (frame.kind) {
    case PeerMessageKind::kForward: {
      ForwardWireHeader wire_header{};
      if (datagram.size < sizeof(wire_header)) {
        return std::nullopt;
      }
      std::memcpy(&wire_header, datagram.data, sizeof(wire_header));
      frame.header.service.value = wire_header.service;
      frame.header.search = (wire_header.flags & kSearchFlag) != 0;
      frame.header.last_candidate =
          (wire_header.flags & kLastCandidateFlag) != 0;
      frame.header.use_pointer = (wire_header.flags & kUsePointerFlag) != 0;
      frame.header.repeatable = (wire_header.flags & kRepeatableFlag) != 0;
      frame.header.all_restricted =
          (wire_header.flags & kAllRestrictedFlag) != 0;
      frame.header.response_limit_ms = wire_header.response_limit_ms;
      frame.header.revision = wire_header.revision;
      if (wire_header.warmup_plus_one != 0) {
        frame.header.warmup_per_second = wire_header.warmup_plus_one - 1;
      }
      frame.packet = {datagram.data + sizeof(wire_header),
                      datagram.size - sizeof(wire_header)};
      return frame;
    }
    case PeerMessageKind::kReturn: {
      ReturnWireHeader wire_header{};
      if (datagram.size < sizeof(wire_header)) {
        return std::nullopt;
      }
      std::memcpy(&wire_header, datagram.data, sizeof(wire_header));
      if (wire_header.reason > static_cast<uint8_t>(ReturnReason::kMoved)) {
        return std::nullopt;
      }
      frame.reason = static_cast<ReturnReason>(wire_header.reason);
      proto::PeerLoad load;
      if (frame.reason == ReturnReason::kMoved) {
        frame.owner.value = wire_header.owner;
      } else if (frame.reason == ReturnReason::kDraining) {
        frame.reason = wire_header.owner == kEvacuatedMark
                           ? ReturnReason::kEvacuated
                           : ReturnReason::kDraining;
      } else {
        UnpackTimes(wire_header.owner, &load);
      }
      load.set_active(wire_header.active);
      load.set_slots(wire_header.slots);
      load.set_service_us(wire_header.service_us);
      load.set_failing(wire_header.failing);
      load.set_trials(wire_header.trials);
      load.set_warmup_ms(wire_header.warmup_ms);
      frame.load = DecodeLoad(now, load);
      frame.packet = {datagram.data + sizeof(wire_header),
                      datagram.size - sizeof(wire_header)};
      return frame;
    }
    case PeerMessageKind::kNote:
    case PeerMessageKind::kStatus:
    case PeerMessageKind::kPointer:
    case PeerMessageKind::kQuery:
    case PeerMessageKind::kAnswer:
      frame.message = {datagram.data + 2, datagram.size - 2};
      return frame;
  }
  return std::nullopt;
}

}  // namespace medlargauge

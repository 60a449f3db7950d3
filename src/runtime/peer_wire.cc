// @file peer_wire.cc Fixed heads before packets, protobuf for the rest.
#include "src/runtime/peer_wire.h"

#include <cstring>

namespace medlargauge {
namespace {

constexpr uint8_t kMagic = 0xB7;  ///< Tells our datagrams from strays.
constexpr uint8_t kSearchBit = 1;
constexpr uint8_t kLastChoiceBit = 2;
constexpr uint8_t kUsePointerBit = 4;

/// Before a forwarded packet, in host byte order: all hosts are alike.
struct ForwardHead {
  uint8_t magic;
  uint8_t kind;
  uint8_t bits;
  uint8_t unused;
  uint32_t service;
  uint32_t patience_ms;
  uint32_t unused_too;
  uint64_t revision;
};
static_assert(sizeof(ForwardHead) == 24);

/// Before a returned packet.
struct ReturnHead {
  uint8_t magic;
  uint8_t kind;
  uint8_t reason;
  uint8_t unused;
  uint32_t active;
  uint32_t slots;
  uint32_t service_us;
  uint32_t warmup_ms;
  uint32_t failing;
  uint64_t owner;
};
static_assert(sizeof(ReturnHead) == 32);

}  // namespace

ByteView PeerFrameWriter::View() const {
  return {reinterpret_cast<const uint8_t*>(m_buffer.data()), m_buffer.size()};
}

ByteView PeerFrameWriter::Forward(const ForwardHeader& header,
                                  ByteView packet) {
  ForwardHead head{};
  head.magic = kMagic;
  head.kind = static_cast<uint8_t>(PeerKind::kForward);
  head.bits = (header.search ? kSearchBit : 0) |
              (header.last_choice ? kLastChoiceBit : 0) |
              (header.use_pointer ? kUsePointerBit : 0);
  head.service = header.service.value;
  head.patience_ms = header.patience_ms;
  head.revision = header.revision;
  m_buffer.assign(reinterpret_cast<const char*>(&head), sizeof(head));
  m_buffer.append(reinterpret_cast<const char*>(packet.data()), packet.size());
  return View();
}

ByteView PeerFrameWriter::Return(TimePoint now,
                                 ReturnReason reason,
                                 MemberId owner,
                                 const ServerLoad& load,
                                 ByteView packet) {
  ReturnHead head{};
  head.magic = kMagic;
  head.kind = static_cast<uint8_t>(PeerKind::kReturn);
  head.reason = static_cast<uint8_t>(reason);
  head.owner = owner.value;
  head.active = load.active;
  head.slots = load.slots;
  head.service_us = load.service_us;
  head.failing = load.failing;
  head.warmup_ms =
      load.warm_at > now
          ? static_cast<uint32_t>(ToMilliseconds(load.warm_at - now))
          : 0;
  m_buffer.assign(reinterpret_cast<const char*>(&head), sizeof(head));
  m_buffer.append(reinterpret_cast<const char*>(packet.data()), packet.size());
  return View();
}

ByteView PeerFrameWriter::Message(
    PeerKind kind,
    const google::protobuf::MessageLite& message) {
  const char head[] = {static_cast<char>(kMagic), static_cast<char>(kind)};
  m_buffer.assign(head, sizeof(head));
  message.AppendToString(&m_buffer);
  return View();
}

std::optional<PeerFrame> ParsePeerFrame(TimePoint now, ByteSpan datagram) {
  if (datagram.size < 2 || datagram.data[0] != kMagic) {
    return std::nullopt;
  }
  PeerFrame frame;
  frame.kind = static_cast<PeerKind>(datagram.data[1]);
  switch (frame.kind) {
    case PeerKind::kForward: {
      ForwardHead head{};
      if (datagram.size < sizeof(head)) {
        return std::nullopt;
      }
      std::memcpy(&head, datagram.data, sizeof(head));
      frame.header.service.value = head.service;
      frame.header.search = (head.bits & kSearchBit) != 0;
      frame.header.last_choice = (head.bits & kLastChoiceBit) != 0;
      frame.header.use_pointer = (head.bits & kUsePointerBit) != 0;
      frame.header.patience_ms = head.patience_ms;
      frame.header.revision = head.revision;
      frame.packet = {datagram.data + sizeof(head),
                      datagram.size - sizeof(head)};
      return frame;
    }
    case PeerKind::kReturn: {
      ReturnHead head{};
      if (datagram.size < sizeof(head)) {
        return std::nullopt;
      }
      std::memcpy(&head, datagram.data, sizeof(head));
      if (head.reason > static_cast<uint8_t>(ReturnReason::kMoved)) {
        return std::nullopt;
      }
      frame.reason = static_cast<ReturnReason>(head.reason);
      frame.owner.value = head.owner;
      proto::PeerLoad load;
      load.set_active(head.active);
      load.set_slots(head.slots);
      load.set_service_us(head.service_us);
      load.set_failing(head.failing);
      load.set_warmup_ms(head.warmup_ms);
      frame.load = DecodeLoad(now, load);
      frame.packet = {datagram.data + sizeof(head),
                      datagram.size - sizeof(head)};
      return frame;
    }
    case PeerKind::kNote:
    case PeerKind::kStatus:
    case PeerKind::kPointer:
      frame.message = {datagram.data + 2, datagram.size - 2};
      return frame;
  }
  return std::nullopt;
}

}  // namespace medlargauge

// @file envelope.cc Fixed layout in network byte order.
#include "src/packet/envelope.h"

#include <arpa/inet.h>
#include <endian.h>

#include <cstring>

#include "src/core/error.h"

namespace medlargauge {
namespace {

constexpr uint8_t kIpv4InGue = 4;
constexpr uint8_t kVersionAndControlBits = 0xE0;
constexpr uint8_t kLengthBits = 0x1F;
constexpr size_t kFixedSize = 32;
constexpr size_t kTraceSize = 24;
constexpr uint8_t kTraceFlag = 0x80;
constexpr uint8_t kVouchedFlag = 0x40;
constexpr uint8_t kFreshFlag = 0x20;
constexpr uint8_t kPurposeBits = 0x1F;

/// Appends values in network byte order.
class Writer {
 public:
  explicit Writer(uint8_t* out) : m_start(out), m_cursor(out) {}
  void Byte(uint8_t value) { *m_cursor++ = value; }
  void Word(uint32_t value) {
    value = htonl(value);
    std::memcpy(m_cursor, &value, sizeof(value));
    m_cursor += sizeof(value);
  }
  void Long(uint64_t value) {
    value = htobe64(value);
    std::memcpy(m_cursor, &value, sizeof(value));
    m_cursor += sizeof(value);
  }
  size_t Size() const { return m_cursor - m_start; }

 private:
  uint8_t* m_start;   ///< First byte.
  uint8_t* m_cursor;  ///< Next byte.
};

/// Reads values in network byte order; the caller has checked the size.
class Reader {
 public:
  explicit Reader(ByteView bytes) : m_cursor(bytes.data()) {}
  uint8_t Byte() { return *m_cursor++; }
  uint32_t Word() {
    uint32_t value = 0;
    std::memcpy(&value, m_cursor, sizeof(value));
    m_cursor += sizeof(value);
    return ntohl(value);
  }
  uint64_t Long() {
    uint64_t value = 0;
    std::memcpy(&value, m_cursor, sizeof(value));
    m_cursor += sizeof(value);
    return be64toh(value);
  }

 private:
  const uint8_t* m_cursor;  ///< Next byte.
};

}  // namespace

std::optional<GueDatagram> ParseGue(ByteView datagram, Error* reason) {
  if (datagram.size() < kGueHeaderSize) {
    Fail(reason, ErrorKind::kTruncatedPacket, "gue header");
    return std::nullopt;
  }
  const bool plain_data = (datagram[0] & kVersionAndControlBits) == 0;
  const bool no_flags = datagram[2] == 0 && datagram[3] == 0;
  if (!plain_data || !no_flags || datagram[1] != kIpv4InGue) {
    Fail(reason, ErrorKind::kBadEnvelope, "gue version, flags or protocol");
    return std::nullopt;
  }
  const size_t length = static_cast<size_t>(datagram[0] & kLengthBits) * 4;
  if (kGueHeaderSize + length > datagram.size()) {
    Fail(reason, ErrorKind::kTruncatedPacket, "gue private data");
    return std::nullopt;
  }
  return GueDatagram{datagram.substr(kGueHeaderSize, length),
                     datagram.substr(kGueHeaderSize + length)};
}

size_t WriteGueHeader(ByteSpan out) {
  out.data[0] = 0;
  out.data[1] = kIpv4InGue;
  out.data[2] = 0;
  out.data[3] = 0;
  return kGueHeaderSize;
}

std::optional<Envelope> ParseEnvelope(ByteView private_data, Error* reason) {
  if (private_data.size() < kFixedSize) {
    Fail(reason, ErrorKind::kBadEnvelope, "too short");
    return std::nullopt;
  }
  Reader reader(private_data);
  Envelope envelope;
  const uint8_t purpose = reader.Byte();
  envelope.hops = reader.Byte();
  envelope.visited.count = reader.Byte();
  envelope.pending.count = reader.Byte();
  const bool traced = (purpose & kTraceFlag) != 0;
  const uint8_t bare_purpose = purpose & kPurposeBits;
  envelope.fresh = (purpose & kFreshFlag) != 0;
  envelope.confirmed_by_peer = (purpose & kVouchedFlag) != 0;
  const size_t expected =
      kFixedSize + (traced ? kTraceSize : 0) +
      (static_cast<size_t>(envelope.visited.count) + envelope.pending.count) *
          4;
  const bool valid =
      bare_purpose < kPurposeCount && envelope.visited.count <= kMaxVisited &&
      envelope.pending.count <= kMaxPending && private_data.size() == expected;
  if (!valid) {
    Fail(reason, ErrorKind::kBadEnvelope, "purpose, counts or size");
    return std::nullopt;
  }
  envelope.purpose = static_cast<Purpose>(bare_purpose);
  envelope.class_id.value = reader.Word();
  envelope.revision = reader.Long();
  envelope.view.value = reader.Word();
  envelope.requester = reader.Word();
  envelope.query_batch = reader.Word();
  envelope.possible_owner = reader.Word();
  if (traced) {
    envelope.trace.trace_high = reader.Long();
    envelope.trace.trace_low = reader.Long();
    envelope.trace.span = reader.Long();
  }
  for (uint8_t i = 0; i < envelope.visited.count; ++i) {
    envelope.visited.ids[i] = reader.Word();
  }
  for (uint8_t i = 0; i < envelope.pending.count; ++i) {
    envelope.pending.ids[i] = reader.Word();
  }
  return envelope;
}

size_t WriteEnvelope(const Envelope& envelope, ByteSpan out) {
  WriteGueHeader(out);
  Writer writer(out.data + kGueHeaderSize);
  const bool traced = envelope.trace.IsSampled();
  writer.Byte(static_cast<uint8_t>(envelope.purpose) |
              (traced ? kTraceFlag : 0) |
              (envelope.confirmed_by_peer ? kVouchedFlag : 0) |
              (envelope.fresh ? kFreshFlag : 0));
  writer.Byte(envelope.hops);
  writer.Byte(envelope.visited.count);
  writer.Byte(envelope.pending.count);
  writer.Word(envelope.class_id.value);
  writer.Long(envelope.revision);
  writer.Word(envelope.view.value);
  writer.Word(envelope.requester);
  writer.Word(envelope.query_batch);
  writer.Word(envelope.possible_owner);
  if (traced) {
    writer.Long(envelope.trace.trace_high);
    writer.Long(envelope.trace.trace_low);
    writer.Long(envelope.trace.span);
  }
  for (uint8_t i = 0; i < envelope.visited.count; ++i) {
    writer.Word(envelope.visited.ids[i]);
  }
  for (uint8_t i = 0; i < envelope.pending.count; ++i) {
    writer.Word(envelope.pending.ids[i]);
  }
  out.data[0] = static_cast<uint8_t>(writer.Size() / 4);
  return kGueHeaderSize + writer.Size();
}

}  // namespace medlargauge

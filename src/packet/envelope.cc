// @file envelope.cc Encodes and decodes envelopes in network byte order.
#include "src/packet/envelope.h"

#include <arpa/inet.h>
#include <endian.h>

#include <cstring>

#include "src/core/error.h"

namespace medlargauge {
namespace {

constexpr uint8_t kGueProtocolIpv4 = 4;
constexpr uint8_t kVersionAndControlMask = 0xE0;
constexpr uint8_t kHeaderLengthMask = 0x1F;
constexpr size_t kEnvelopeFixedSize = 32;
constexpr size_t kTraceContextSize = 24;
constexpr uint8_t kTraceFlag = 0x80;
constexpr uint8_t kConfirmedFlag = 0x40;
constexpr uint8_t kFreshFlag = 0x20;
constexpr uint8_t kPurposeMask = 0x1F;

/// Appends integers in network byte order; the caller provides the space.
class ByteWriter {
 public:
  explicit ByteWriter(uint8_t* out) : m_start(out), m_cursor(out) {}
  void WriteUint8(uint8_t value) { *m_cursor++ = value; }
  void WriteUint32(uint32_t value) {
    value = htonl(value);
    std::memcpy(m_cursor, &value, sizeof(value));
    m_cursor += sizeof(value);
  }
  void WriteUint64(uint64_t value) {
    value = htobe64(value);
    std::memcpy(m_cursor, &value, sizeof(value));
    m_cursor += sizeof(value);
  }
  size_t Size() const { return m_cursor - m_start; }

 private:
  uint8_t* m_start;   ///< First byte of the output.
  uint8_t* m_cursor;  ///< Next byte to write.
};

/// Reads integers in network byte order; the caller has checked the size.
class ByteReader {
 public:
  explicit ByteReader(ByteView bytes) : m_cursor(bytes.data()) {}
  uint8_t ReadUint8() { return *m_cursor++; }
  uint32_t ReadUint32() {
    uint32_t value = 0;
    std::memcpy(&value, m_cursor, sizeof(value));
    m_cursor += sizeof(value);
    return ntohl(value);
  }
  uint64_t ReadUint64() {
    uint64_t value = 0;
    std::memcpy(&value, m_cursor, sizeof(value));
    m_cursor += sizeof(value);
    return be64toh(value);
  }

 private:
  const uint8_t* m_cursor;  ///< Next byte to read.
};

}  // namespace

std::optional<GueDatagram> ParseGue(ByteView datagram, Error* reason) {
  if (datagram.size() < kGueHeaderSize) {
    Fail(reason, ErrorKind::kTruncatedPacket,
         "datagram is shorter than a GUE header");
    return std::nullopt;
  }
  const bool is_data_message = (datagram[0] & kVersionAndControlMask) == 0;
  const bool has_no_flags = datagram[2] == 0 && datagram[3] == 0;
  if (!is_data_message || !has_no_flags || datagram[1] != kGueProtocolIpv4) {
    Fail(reason, ErrorKind::kBadEnvelope,
         "GUE version, control bit, flags or protocol is not supported");
    return std::nullopt;
  }
  const size_t length =
      static_cast<size_t>(datagram[0] & kHeaderLengthMask) * 4;
  if (kGueHeaderSize + length > datagram.size()) {
    Fail(reason, ErrorKind::kTruncatedPacket,
         "GUE header length exceeds the datagram");
    return std::nullopt;
  }
  return GueDatagram{datagram.substr(kGueHeaderSize, length),
                     datagram.substr(kGueHeaderSize + length)};
}

size_t WriteGueHeader(ByteSpan out) {
  out.data[0] = 0;
  out.data[1] = kGueProtocolIpv4;
  out.data[2] = 0;
  out.data[3] = 0;
  return kGueHeaderSize;
}

std::optional<Envelope> ParseEnvelope(ByteView private_data, Error* reason) {
  if (private_data.size() < kEnvelopeFixedSize) {
    Fail(reason, ErrorKind::kBadEnvelope,
         "envelope is shorter than its fixed part");
    return std::nullopt;
  }
  ByteReader reader(private_data);
  Envelope envelope;
  const uint8_t purpose_and_flags = reader.ReadUint8();
  envelope.hops = reader.ReadUint8();
  envelope.visited.count = reader.ReadUint8();
  envelope.pending.count = reader.ReadUint8();
  const bool has_trace = (purpose_and_flags & kTraceFlag) != 0;
  const uint8_t purpose_value = purpose_and_flags & kPurposeMask;
  envelope.fresh = (purpose_and_flags & kFreshFlag) != 0;
  envelope.confirmed_by_peer = (purpose_and_flags & kConfirmedFlag) != 0;
  const size_t expected =
      kEnvelopeFixedSize + (has_trace ? kTraceContextSize : 0) +
      (static_cast<size_t>(envelope.visited.count) + envelope.pending.count) *
          4;
  const bool is_valid =
      purpose_value < kPurposeCount && envelope.visited.count <= kMaxVisited &&
      envelope.pending.count <= kMaxPending && private_data.size() == expected;
  if (!is_valid) {
    Fail(reason, ErrorKind::kBadEnvelope,
         "envelope has an invalid purpose, list length or size");
    return std::nullopt;
  }
  envelope.purpose = static_cast<Purpose>(purpose_value);
  envelope.class_id.value = reader.ReadUint32();
  envelope.revision = reader.ReadUint64();
  envelope.view.value = reader.ReadUint32();
  envelope.requester = reader.ReadUint32();
  envelope.query_batch = reader.ReadUint32();
  envelope.possible_owner = reader.ReadUint32();
  if (has_trace) {
    envelope.trace.trace_high = reader.ReadUint64();
    envelope.trace.trace_low = reader.ReadUint64();
    envelope.trace.span = reader.ReadUint64();
  }
  for (uint8_t i = 0; i < envelope.visited.count; ++i) {
    envelope.visited.ids[i] = reader.ReadUint32();
  }
  for (uint8_t i = 0; i < envelope.pending.count; ++i) {
    envelope.pending.ids[i] = reader.ReadUint32();
  }
  return envelope;
}

size_t WriteEnvelope(const Envelope& envelope, ByteSpan out) {
  WriteGueHeader(out);
  ByteWriter writer(out.data + kGueHeaderSize);
  const bool has_trace = envelope.trace.IsSampled();
  writer.WriteUint8(static_cast<uint8_t>(envelope.purpose) |
                    (has_trace ? kTraceFlag : 0) |
                    (envelope.confirmed_by_peer ? kConfirmedFlag : 0) |
                    (envelope.fresh ? kFreshFlag : 0));
  writer.WriteUint8(envelope.hops);
  writer.WriteUint8(envelope.visited.count);
  writer.WriteUint8(envelope.pending.count);
  writer.WriteUint32(envelope.class_id.value);
  writer.WriteUint64(envelope.revision);
  writer.WriteUint32(envelope.view.value);
  writer.WriteUint32(envelope.requester);
  writer.WriteUint32(envelope.query_batch);
  writer.WriteUint32(envelope.possible_owner);
  if (has_trace) {
    writer.WriteUint64(envelope.trace.trace_high);
    writer.WriteUint64(envelope.trace.trace_low);
    writer.WriteUint64(envelope.trace.span);
  }
  for (uint8_t i = 0; i < envelope.visited.count; ++i) {
    writer.WriteUint32(envelope.visited.ids[i]);
  }
  for (uint8_t i = 0; i < envelope.pending.count; ++i) {
    writer.WriteUint32(envelope.pending.ids[i]);
  }
  out.data[0] = static_cast<uint8_t>(writer.Size() / 4);
  return kGueHeaderSize + writer.Size();
}

}  // namespace medlargauge

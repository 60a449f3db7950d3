// @file envelope.h GUE headers, with or without an envelope as private data.
#ifndef MEDLARGAUGE_PACKET_ENVELOPE_H_
#define MEDLARGAUGE_PACKET_ENVELOPE_H_

#include <optional>

#include "src/core/error_type.h"
#include "src/packet/envelope_type.h"
#include "src/packet/packet_type.h"

namespace medlargauge {

/// Size of a GUE header without private data, in bytes.
constexpr size_t kGueHeaderSize = 4;
/// Largest GUE header, in bytes: 31 words of private data.
constexpr size_t kMaxGueHeaderSize = kGueHeaderSize + 31 * 4;

/// The parts of a GUE datagram.
struct GueDatagram {
  ByteView private_data;  ///< Bytes between the base header and the packet.
  ByteView packet;        ///< Encapsulated IP packet.
};

/// Splits a GUE datagram into private data and packet. Thread-safe.
/// @param datagram UDP payload; must outlive the result
/// @param reason kTruncatedPacket or kBadEnvelope when there is no result
std::optional<GueDatagram> ParseGue(ByteView datagram, Error* reason);

/// Writes a GUE header without private data. Precondition: `out` has at least
/// kGueHeaderSize bytes. Thread-safe. @return bytes written
size_t WriteGueHeader(ByteSpan out);

/// Parses the envelope in the private data of a GUE header. Thread-safe.
/// @param reason kBadEnvelope when there is no result
std::optional<Envelope> ParseEnvelope(ByteView private_data, Error* reason);

/// Writes a GUE header that carries `envelope`. Precondition: `out` has at
/// least kMaxGueHeaderSize bytes. Thread-safe. @return bytes written
size_t WriteEnvelope(const Envelope& envelope, ByteSpan out);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_PACKET_ENVELOPE_H_

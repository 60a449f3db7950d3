// @file envelope.h GUE headers, plain and with an envelope as private data.
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

/// A GUE datagram taken apart.
struct GueDatagram {
  ByteView private_data;  ///< Bytes between header and packet.
  ByteView packet;        ///< The IP packet inside.
};

/// Splits a GUE datagram. Thread-safe.
/// @param datagram UDP payload; must outlive the result
/// @param reason filled when there is no result
std::optional<GueDatagram> ParseGue(ByteView datagram, Error* reason);

/// Writes a GUE header without private data. Precondition: `out` has at least
/// kGueHeaderSize bytes. Thread-safe. @return bytes written
size_t WriteGueHeader(ByteSpan out);

/// Reads an envelope from the private data of a GUE header. Thread-safe.
std::optional<Envelope> ParseEnvelope(ByteView private_data, Error* reason);

/// Writes a GUE header that carries `envelope`. Precondition: `out` has at
/// least kMaxGueHeaderSize bytes. Thread-safe. @return bytes written
size_t WriteEnvelope(const Envelope& envelope, ByteSpan out);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_PACKET_ENVELOPE_H_

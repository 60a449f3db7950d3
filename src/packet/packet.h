// @file packet.h Parsing and building of IPv4 packets with TCP or UDP.
#ifndef MEDLARGAUGE_PACKET_PACKET_H_
#define MEDLARGAUGE_PACKET_PACKET_H_

#include <optional>
#include <string>
#include <vector>

#include "src/core/error_type.h"
#include "src/packet/packet_type.h"

namespace medlargauge {

/// Parses one packet and checks its lengths and checksums. Fragments and
/// protocols other than TCP and UDP are rejected. Thread-safe.
/// @param packet starts at the IP header; must outlive the result's payload
/// @param reason error kind and cause when there is no result
std::optional<PacketInfo> ParsePacket(ByteView packet, Error* reason);

/// Returns the seeded hash that identifies a five-tuple. Thread-safe.
FlowId HashFlow(const FiveTuple& tuple);

/// Parses an IPv4 address in dotted decimal notation. Thread-safe.
std::optional<IpAddress> ParseIpv4(std::string_view text);

/// Formats a mapped IPv4 address in dotted decimal notation. Thread-safe.
std::string FormatIp(const IpAddress& address);

/// Returns an IPv4 address in host byte order. Precondition: `address` is a
/// mapped IPv4 address. Thread-safe.
uint32_t ToIpv4Value(const IpAddress& address);

/// Returns the mapped form of an IPv4 address. Thread-safe.
/// @param value IPv4 address in host byte order
IpAddress ToMappedAddress(uint32_t value);

/// Builds a packet from `info` with correct lengths and checksums.
/// Precondition: both addresses are IPv4, the payload fits 65,495 bytes.
/// Thread-safe.
std::vector<uint8_t> BuildPacket(const PacketInfo& info);

/// Builds the TCP reset in reply to `info`. Precondition: both addresses are
/// IPv4. Thread-safe.
std::vector<uint8_t> BuildReset(const PacketInfo& info);

/// Builds the ICMP "port unreachable" message in reply to `packet`.
/// Precondition: `packet` is the whole packet that `info` was parsed from.
/// Thread-safe.
std::vector<uint8_t> BuildPortUnreachable(const PacketInfo& info,
                                          ByteView packet);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_PACKET_PACKET_H_

// @file packet.h Parsing and building of IPv4 packets with TCP or UDP.
#ifndef MEDLARGAUGE_PACKET_PACKET_H_
#define MEDLARGAUGE_PACKET_PACKET_H_

#include <optional>
#include <string>
#include <vector>

#include "src/core/error_type.h"
#include "src/packet/packet_type.h"

namespace medlargauge {

/// Parses and checks one packet: lengths, checksums, fragments, protocol.
/// Thread-safe.
/// @param packet starts at the IP header; must outlive the result's payload
/// @param reason filled when there is no result
std::optional<PacketInfo> ParsePacket(ByteView packet, Error* reason);

/// Returns the seeded hash of a five-tuple. Thread-safe.
FlowId HashFlow(const FiveTuple& tuple);

/// Parses a dotted IPv4 address. Thread-safe.
std::optional<IpAddress> ParseIpv4(std::string_view text);

/// Formats an address. Thread-safe.
std::string FormatIp(const IpAddress& address);

/// Returns the IPv4 address in host byte order; the address must be mapped.
/// Thread-safe.
uint32_t ToIpv4Value(const IpAddress& address);

/// Returns the mapped form of an IPv4 address in host order. Thread-safe.
IpAddress ToMappedAddress(uint32_t value);

/// Builds a packet from `info` with correct lengths and checksums.
/// Precondition: both addresses are IPv4, the payload fits 65,495 bytes.
/// Thread-safe.
std::vector<uint8_t> BuildPacket(const PacketInfo& info);

/// Builds the TCP reset that answers `info`. Thread-safe.
std::vector<uint8_t> BuildReset(const PacketInfo& info);

/// Builds the ICMP "port unreachable" that answers `packet`.
/// Precondition: `packet` is the whole packet that `info` was parsed from.
/// Thread-safe.
std::vector<uint8_t> BuildPortUnreachable(const PacketInfo& info,
                                          ByteView packet);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_PACKET_PACKET_H_

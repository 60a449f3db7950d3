// @file packet_type.h Byte views, addresses and parsed packets of callers.
#ifndef MEDLARGAUGE_PACKET_PACKET_TYPE_H_
#define MEDLARGAUGE_PACKET_PACKET_TYPE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace medlargauge {

/// A read-only view of bytes, which must outlive the view.
using ByteView = std::basic_string_view<uint8_t>;

/// A writable view of bytes, which must outlive the view.
struct ByteSpan {
  uint8_t* data = nullptr;  ///< First byte.
  size_t size = 0;          ///< Number of bytes.
};

/// An IPv6 address; IPv4 addresses are stored in their IPv4-mapped form.
struct IpAddress {
  std::array<uint8_t, 16> bytes{};  ///< Network byte order.

  friend bool operator==(const IpAddress& a, const IpAddress& b) {
    return a.bytes == b.bytes;
  }
  friend bool operator<(const IpAddress& a, const IpAddress& b) {
    return a.bytes < b.bytes;
  }
};

/// Transport protocols that are balanced, by IP protocol number.
enum class Transport : uint8_t { kTcp = 6, kUdp = 17 };

/// Addresses and ports of one flow.
struct FiveTuple {
  IpAddress source;                       ///< Address of the caller.
  IpAddress destination;                  ///< Address of the class.
  uint16_t source_port = 0;               ///< Host byte order.
  uint16_t destination_port = 0;          ///< Host byte order.
  Transport transport = Transport::kTcp;  ///< TCP or UDP.
};

/// The seeded 128-bit hash of a five-tuple; identifies a flow in all processes.
struct FlowId {
  uint64_t high = 0;  ///< Selects the hash bucket and so the version.
  uint64_t low = 0;   ///< Selects the home agent.

  friend bool operator==(FlowId a, FlowId b) {
    return a.high == b.high && a.low == b.low;
  }
  friend bool operator<(FlowId a, FlowId b) {
    return a.high != b.high ? a.high < b.high : a.low < b.low;
  }
};

/// The header fields of one packet that decisions about its flow depend on.
struct PacketInfo {
  FiveTuple tuple;            ///< Addresses, ports and protocol.
  FlowId flow;                ///< Hash of `tuple`.
  bool syn = false;           ///< TCP SYN without ACK.
  bool ack = false;           ///< TCP ACK flag.
  bool fin = false;           ///< TCP FIN flag.
  bool rst = false;           ///< TCP RST flag.
  uint32_t sequence = 0;      ///< TCP sequence number.
  uint32_t acknowledged = 0;  ///< TCP acknowledgement number.
  ByteView payload;           ///< Bytes after the transport header.

  /// Returns whether this packet may open a flow. Every UDP datagram may,
  /// because only an agent with an entry for the flow can tell whether it is
  /// already open. Thread-safe.
  bool MayOpenFlow() const { return tuple.transport == Transport::kUdp || syn; }
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_PACKET_PACKET_TYPE_H_

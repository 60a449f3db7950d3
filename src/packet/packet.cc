// @file packet.cc Uses the header types of the C library for IPv4, TCP and UDP.
#include "src/packet/packet.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>

#include "src/core/error.h"

namespace medlargauge {
namespace {

constexpr uint64_t kFlowHashSeed = 0x6d65646c61726765;
constexpr size_t kMappedPrefixSize = 12;
constexpr uint16_t kFragmentMask = IP_MF | IP_OFFMASK;
constexpr uint8_t kTimeToLive = 64;

/// Adds the 16-bit words of `bytes` to a one's complement sum. Adds 32 bits at
/// a time, which gives the same checksum after folding.
uint64_t AddToSum(ByteView bytes, uint64_t sum) {
  const uint8_t* cursor = bytes.data();
  size_t remaining = bytes.size();
  while (remaining >= 4) {
    uint32_t word = 0;
    std::memcpy(&word, cursor, sizeof(word));
    sum += word;
    cursor += 4;
    remaining -= 4;
  }
  if (remaining >= 2) {
    uint16_t word = 0;
    std::memcpy(&word, cursor, sizeof(word));
    sum += word;
    cursor += 2;
    remaining -= 2;
  }
  if (remaining == 1) {
    sum += *cursor;
  }
  return sum;
}

/// Folds a one's complement sum into the value of a checksum field.
uint16_t FoldToChecksum(uint64_t sum) {
  while ((sum >> 16U) != 0) {
    sum = (sum & 0xFFFFU) + (sum >> 16U);
  }
  return static_cast<uint16_t>(~sum);
}

/// Returns the sum of the pseudo header that TCP and UDP checksums cover.
uint64_t SumPseudoHeader(const iphdr& ip, size_t length) {
  uint64_t sum = 0;
  sum = AddToSum({reinterpret_cast<const uint8_t*>(&ip.saddr), 8}, sum);
  sum += htons(ip.protocol);
  sum += htons(static_cast<uint16_t>(length));
  return sum;
}

/// Fills the TCP part of `info`. @return false with `reason` if invalid
bool ParseTcp(const iphdr& ip,
              ByteView segment,
              PacketInfo* info,
              Error* reason) {
  tcphdr tcp{};
  if (segment.size() < sizeof(tcp)) {
    return Fail(reason, ErrorKind::kTruncatedPacket,
                "packet is shorter than a TCP header");
  }
  std::memcpy(&tcp, segment.data(), sizeof(tcp));
  const size_t header_size = static_cast<size_t>(tcp.doff) * 4;
  if (header_size < sizeof(tcp) || header_size > segment.size()) {
    return Fail(reason, ErrorKind::kMalformedPacket,
                "TCP data offset lies outside the segment");
  }
  if (FoldToChecksum(AddToSum(segment, SumPseudoHeader(ip, segment.size()))) !=
      0) {
    return Fail(reason, ErrorKind::kBadChecksum, "TCP checksum does not match");
  }
  const bool has_contradictory_flags = tcp.syn && (tcp.fin || tcp.rst);
  if (has_contradictory_flags) {
    return Fail(reason, ErrorKind::kMalformedPacket,
                "TCP SYN is combined with FIN or RST");
  }
  info->tuple.transport = Transport::kTcp;
  info->tuple.source_port = ntohs(tcp.source);
  info->tuple.destination_port = ntohs(tcp.dest);
  info->syn = tcp.syn && !tcp.ack;
  info->ack = tcp.ack;
  info->fin = tcp.fin;
  info->rst = tcp.rst;
  info->sequence = ntohl(tcp.seq);
  info->acknowledged = ntohl(tcp.ack_seq);
  info->payload = segment.substr(header_size);
  return true;
}

/// Fills the UDP part of `info`. @return false with `reason` if invalid
bool ParseUdp(const iphdr& ip,
              ByteView datagram,
              PacketInfo* info,
              Error* reason) {
  udphdr udp{};
  if (datagram.size() < sizeof(udp)) {
    return Fail(reason, ErrorKind::kTruncatedPacket,
                "packet is shorter than a UDP header");
  }
  std::memcpy(&udp, datagram.data(), sizeof(udp));
  if (ntohs(udp.len) != datagram.size()) {
    return Fail(reason, ErrorKind::kMalformedPacket,
                "UDP length differs from the IP payload length");
  }
  const bool has_bad_checksum =
      udp.check != 0 &&
      FoldToChecksum(
          AddToSum(datagram, SumPseudoHeader(ip, datagram.size()))) != 0;
  if (has_bad_checksum) {
    return Fail(reason, ErrorKind::kBadChecksum, "UDP checksum does not match");
  }
  info->tuple.transport = Transport::kUdp;
  info->tuple.source_port = ntohs(udp.source);
  info->tuple.destination_port = ntohs(udp.dest);
  info->payload = datagram.substr(sizeof(udp));
  return true;
}

/// Writes an IPv4 header in front of a payload of `length` bytes.
void WriteIpHeader(const IpAddress& source,
                   const IpAddress& destination,
                   uint8_t protocol,
                   size_t length,
                   uint8_t* out) {
  iphdr ip{};
  ip.version = 4;
  ip.ihl = sizeof(ip) / 4;
  ip.tot_len = htons(static_cast<uint16_t>(sizeof(ip) + length));
  ip.ttl = kTimeToLive;
  ip.protocol = protocol;
  ip.saddr = htonl(ToIpv4Value(source));
  ip.daddr = htonl(ToIpv4Value(destination));
  ip.check = FoldToChecksum(
      AddToSum({reinterpret_cast<uint8_t*>(&ip), sizeof(ip)}, 0));
  std::memcpy(out, &ip, sizeof(ip));
}

/// Computes the TCP or UDP checksum of `packet`, whose checksum field is still
/// zero, and writes it.
/// @param offset offset of the checksum field in the transport header
void WriteTransportChecksum(std::vector<uint8_t>* packet, size_t offset) {
  iphdr ip{};
  std::memcpy(&ip, packet->data(), sizeof(ip));
  const ByteView segment(packet->data() + sizeof(ip),
                         packet->size() - sizeof(ip));
  const uint16_t checksum =
      FoldToChecksum(AddToSum(segment, SumPseudoHeader(ip, segment.size())));
  std::memcpy(packet->data() + sizeof(ip) + offset, &checksum,
              sizeof(checksum));
}

}  // namespace

std::optional<PacketInfo> ParsePacket(ByteView packet, Error* reason) {
  iphdr ip{};
  if (packet.size() < sizeof(ip)) {
    Fail(reason, ErrorKind::kTruncatedPacket,
         "packet is shorter than an IP header");
    return std::nullopt;
  }
  std::memcpy(&ip, packet.data(), sizeof(ip));
  const size_t header_size = static_cast<size_t>(ip.ihl) * 4;
  if (ip.version != 4 || header_size < sizeof(ip)) {
    Fail(reason, ErrorKind::kMalformedPacket,
         "IP version is not 4 or the header length is too small");
    return std::nullopt;
  }
  const size_t total_length = ntohs(ip.tot_len);
  if (total_length > packet.size() || header_size > total_length) {
    Fail(reason, ErrorKind::kTruncatedPacket,
         "IP total length exceeds the packet or is below the header length");
    return std::nullopt;
  }
  if (FoldToChecksum(AddToSum(packet.substr(0, header_size), 0)) != 0) {
    Fail(reason, ErrorKind::kBadChecksum, "IP header checksum does not match");
    return std::nullopt;
  }
  if ((ntohs(ip.frag_off) & kFragmentMask) != 0) {
    Fail(reason, ErrorKind::kFragment, "packet is an IP fragment");
    return std::nullopt;
  }
  PacketInfo info;
  info.tuple.source = ToMappedAddress(ntohl(ip.saddr));
  info.tuple.destination = ToMappedAddress(ntohl(ip.daddr));
  const ByteView segment =
      packet.substr(header_size, total_length - header_size);
  bool parsed = false;
  if (ip.protocol == IPPROTO_TCP) {
    parsed = ParseTcp(ip, segment, &info, reason);
  } else if (ip.protocol == IPPROTO_UDP) {
    parsed = ParseUdp(ip, segment, &info, reason);
  } else {
    Fail(reason, ErrorKind::kForeignProtocol,
         "transport protocol is neither TCP nor UDP");
  }
  if (!parsed) {
    return std::nullopt;
  }
  info.flow = HashFlow(info.tuple);
  return info;
}

FlowId HashFlow(const FiveTuple& tuple) {
  std::array<uint8_t, 37> bytes{};
  std::copy(tuple.source.bytes.begin(), tuple.source.bytes.end(),
            bytes.begin());
  std::copy(tuple.destination.bytes.begin(), tuple.destination.bytes.end(),
            bytes.begin() + 16);
  bytes[32] = static_cast<uint8_t>(tuple.source_port >> 8U);
  bytes[33] = static_cast<uint8_t>(tuple.source_port);
  bytes[34] = static_cast<uint8_t>(tuple.destination_port >> 8U);
  bytes[35] = static_cast<uint8_t>(tuple.destination_port);
  bytes[36] = static_cast<uint8_t>(tuple.transport);
  const XXH128_hash_t hash =
      XXH3_128bits_withSeed(bytes.data(), bytes.size(), kFlowHashSeed);
  // The all-zero value marks an empty slot in flow tables.
  const bool is_zero = hash.high64 == 0 && hash.low64 == 0;
  return FlowId{hash.high64, is_zero ? 1 : hash.low64};
}

std::optional<IpAddress> ParseIpv4(std::string_view text) {
  in_addr address{};
  if (inet_pton(AF_INET, std::string(text).c_str(), &address) != 1) {
    return std::nullopt;
  }
  return ToMappedAddress(ntohl(address.s_addr));
}

std::string FormatIp(const IpAddress& address) {
  const in_addr raw{htonl(ToIpv4Value(address))};
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &raw, text.data(), text.size());
  return text.data();
}

uint32_t ToIpv4Value(const IpAddress& address) {
  uint32_t value = 0;
  std::memcpy(&value, address.bytes.data() + kMappedPrefixSize, sizeof(value));
  return ntohl(value);
}

IpAddress ToMappedAddress(uint32_t value) {
  IpAddress address;
  address.bytes[10] = 0xFF;
  address.bytes[11] = 0xFF;
  const uint32_t raw = htonl(value);
  std::memcpy(address.bytes.data() + kMappedPrefixSize, &raw, sizeof(raw));
  return address;
}

std::vector<uint8_t> BuildPacket(const PacketInfo& info) {
  const bool is_tcp = info.tuple.transport == Transport::kTcp;
  const size_t header_size = is_tcp ? sizeof(tcphdr) : sizeof(udphdr);
  const size_t length = header_size + info.payload.size();
  std::vector<uint8_t> packet(sizeof(iphdr) + length);
  WriteIpHeader(info.tuple.source, info.tuple.destination,
                static_cast<uint8_t>(info.tuple.transport), length,
                packet.data());
  if (is_tcp) {
    tcphdr tcp{};
    tcp.source = htons(info.tuple.source_port);
    tcp.dest = htons(info.tuple.destination_port);
    tcp.seq = htonl(info.sequence);
    tcp.ack_seq = htonl(info.acknowledged);
    tcp.doff = sizeof(tcp) / 4;
    tcp.syn = info.syn;
    tcp.ack = info.ack;
    tcp.fin = info.fin;
    tcp.rst = info.rst;
    tcp.window = htons(0xFFFF);
    std::memcpy(packet.data() + sizeof(iphdr), &tcp, sizeof(tcp));
  } else {
    udphdr udp{};
    udp.source = htons(info.tuple.source_port);
    udp.dest = htons(info.tuple.destination_port);
    udp.len = htons(static_cast<uint16_t>(length));
    std::memcpy(packet.data() + sizeof(iphdr), &udp, sizeof(udp));
  }
  std::copy(info.payload.begin(), info.payload.end(),
            packet.begin() + sizeof(iphdr) + header_size);
  WriteTransportChecksum(
      &packet, is_tcp ? offsetof(tcphdr, check) : offsetof(udphdr, check));
  return packet;
}

std::vector<uint8_t> BuildReset(const PacketInfo& info) {
  PacketInfo reset;
  reset.tuple = info.tuple;
  std::swap(reset.tuple.source, reset.tuple.destination);
  std::swap(reset.tuple.source_port, reset.tuple.destination_port);
  reset.rst = true;
  // RFC 9293, 3.5.2: a reset takes its sequence number from the ACK field of
  // the segment that it answers, if there is one.
  if (info.ack) {
    reset.sequence = info.acknowledged;
  } else {
    reset.ack = true;
    reset.acknowledged = info.sequence +
                         static_cast<uint32_t>(info.payload.size()) +
                         (info.syn ? 1 : 0) + (info.fin ? 1 : 0);
  }
  return BuildPacket(reset);
}

std::vector<uint8_t> BuildPortUnreachable(const PacketInfo& info,
                                          ByteView packet) {
  const size_t quoted_size =
      std::min<size_t>(packet.size(), sizeof(iphdr) + sizeof(udphdr));
  const size_t length = sizeof(icmphdr) + quoted_size;
  std::vector<uint8_t> unreachable(sizeof(iphdr) + length);
  WriteIpHeader(info.tuple.destination, info.tuple.source, IPPROTO_ICMP, length,
                unreachable.data());
  icmphdr icmp{};
  icmp.type = ICMP_DEST_UNREACH;
  icmp.code = ICMP_PORT_UNREACH;
  uint8_t* icmp_part = unreachable.data() + sizeof(iphdr);
  std::memcpy(icmp_part, &icmp, sizeof(icmp));
  std::memcpy(icmp_part + sizeof(icmp), packet.data(), quoted_size);
  icmp.checksum = FoldToChecksum(AddToSum({icmp_part, length}, 0));
  std::memcpy(icmp_part, &icmp, sizeof(icmp));
  return unreachable;
}

}  // namespace medlargauge

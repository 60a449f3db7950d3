// @file packet.cc IPv4, TCP and UDP on the C library's own header types.
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

constexpr uint64_t kFlowSeed = 0x6d65646c61726765;
constexpr size_t kMappedPrefix = 12;
constexpr uint16_t kFragmentBits = IP_MF | IP_OFFMASK;
constexpr uint8_t kTimeToLive = 64;

/// Adds 16-bit words to a one's complement sum.
uint64_t SumWords(ByteView bytes, uint64_t sum) {
  const uint8_t* cursor = bytes.data();
  size_t left = bytes.size();
  while (left >= 4) {
    uint32_t word = 0;
    std::memcpy(&word, cursor, sizeof(word));
    sum += word;
    cursor += 4;
    left -= 4;
  }
  if (left >= 2) {
    uint16_t word = 0;
    std::memcpy(&word, cursor, sizeof(word));
    sum += word;
    cursor += 2;
    left -= 2;
  }
  if (left == 1) {
    sum += *cursor;
  }
  return sum;
}

/// Folds a sum into the checksum field's value.
uint16_t FoldSum(uint64_t sum) {
  while ((sum >> 16U) != 0) {
    sum = (sum & 0xFFFFU) + (sum >> 16U);
  }
  return static_cast<uint16_t>(~sum);
}

/// Sums the pseudo header that TCP and UDP checksums cover.
uint64_t SumPseudoHeader(const iphdr& ip, size_t length) {
  uint64_t sum = 0;
  sum = SumWords({reinterpret_cast<const uint8_t*>(&ip.saddr), 8}, sum);
  sum += htons(ip.protocol);
  sum += htons(static_cast<uint16_t>(length));
  return sum;
}

/// Fills the TCP part of `info`; returns false with a reason.
bool ParseTcp(const iphdr& ip,
              ByteView segment,
              PacketInfo* info,
              Error* reason) {
  tcphdr tcp{};
  if (segment.size() < sizeof(tcp)) {
    return Fail(reason, ErrorKind::kTruncatedPacket, "tcp header");
  }
  std::memcpy(&tcp, segment.data(), sizeof(tcp));
  const size_t header = static_cast<size_t>(tcp.doff) * 4;
  if (header < sizeof(tcp) || header > segment.size()) {
    return Fail(reason, ErrorKind::kMalformedPacket, "tcp data offset");
  }
  if (FoldSum(SumWords(segment, SumPseudoHeader(ip, segment.size()))) != 0) {
    return Fail(reason, ErrorKind::kBadChecksum, "tcp");
  }
  const bool contradictory = tcp.syn && (tcp.fin || tcp.rst);
  if (contradictory) {
    return Fail(reason, ErrorKind::kMalformedPacket, "tcp flags");
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
  info->payload = segment.substr(header);
  return true;
}

/// Fills the UDP part of `info`; returns false with a reason.
bool ParseUdp(const iphdr& ip,
              ByteView datagram,
              PacketInfo* info,
              Error* reason) {
  udphdr udp{};
  if (datagram.size() < sizeof(udp)) {
    return Fail(reason, ErrorKind::kTruncatedPacket, "udp header");
  }
  std::memcpy(&udp, datagram.data(), sizeof(udp));
  if (ntohs(udp.len) != datagram.size()) {
    return Fail(reason, ErrorKind::kMalformedPacket, "udp length");
  }
  const bool bad_sum =
      udp.check != 0 &&
      FoldSum(SumWords(datagram, SumPseudoHeader(ip, datagram.size()))) != 0;
  if (bad_sum) {
    return Fail(reason, ErrorKind::kBadChecksum, "udp");
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
  ip.check =
      FoldSum(SumWords({reinterpret_cast<uint8_t*>(&ip), sizeof(ip)}, 0));
  std::memcpy(out, &ip, sizeof(ip));
}

/// Writes the checksum of the transport part at `offset` within it.
void WriteTransportSum(std::vector<uint8_t>* packet, size_t offset) {
  iphdr ip{};
  std::memcpy(&ip, packet->data(), sizeof(ip));
  const ByteView part(packet->data() + sizeof(ip), packet->size() - sizeof(ip));
  const uint16_t sum =
      FoldSum(SumWords(part, SumPseudoHeader(ip, part.size())));
  std::memcpy(packet->data() + sizeof(ip) + offset, &sum, sizeof(sum));
}

}  // namespace

std::optional<PacketInfo> ParsePacket(ByteView packet, Error* reason) {
  iphdr ip{};
  if (packet.size() < sizeof(ip)) {
    Fail(reason, ErrorKind::kTruncatedPacket, "ip header");
    return std::nullopt;
  }
  std::memcpy(&ip, packet.data(), sizeof(ip));
  const size_t header = static_cast<size_t>(ip.ihl) * 4;
  if (ip.version != 4 || header < sizeof(ip)) {
    Fail(reason, ErrorKind::kMalformedPacket, "ip version or header length");
    return std::nullopt;
  }
  const size_t total = ntohs(ip.tot_len);
  if (total > packet.size() || header > total) {
    Fail(reason, ErrorKind::kTruncatedPacket, "ip total length");
    return std::nullopt;
  }
  if (FoldSum(SumWords(packet.substr(0, header), 0)) != 0) {
    Fail(reason, ErrorKind::kBadChecksum, "ip");
    return std::nullopt;
  }
  if ((ntohs(ip.frag_off) & kFragmentBits) != 0) {
    Fail(reason, ErrorKind::kFragment, "ip fragment");
    return std::nullopt;
  }
  PacketInfo info;
  info.tuple.source = ToMappedAddress(ntohl(ip.saddr));
  info.tuple.destination = ToMappedAddress(ntohl(ip.daddr));
  const ByteView part = packet.substr(header, total - header);
  bool parsed = false;
  if (ip.protocol == IPPROTO_TCP) {
    parsed = ParseTcp(ip, part, &info, reason);
  } else if (ip.protocol == IPPROTO_UDP) {
    parsed = ParseUdp(ip, part, &info, reason);
  } else {
    Fail(reason, ErrorKind::kForeignProtocol, "neither tcp nor udp");
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
      XXH3_128bits_withSeed(bytes.data(), bytes.size(), kFlowSeed);
  // The all-zero value marks an empty slot in flow tables.
  const bool zero = hash.high64 == 0 && hash.low64 == 0;
  return FlowId{hash.high64, zero ? 1 : hash.low64};
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
  std::memcpy(&value, address.bytes.data() + kMappedPrefix, sizeof(value));
  return ntohl(value);
}

IpAddress ToMappedAddress(uint32_t value) {
  IpAddress address;
  address.bytes[10] = 0xFF;
  address.bytes[11] = 0xFF;
  const uint32_t raw = htonl(value);
  std::memcpy(address.bytes.data() + kMappedPrefix, &raw, sizeof(raw));
  return address;
}

std::vector<uint8_t> BuildPacket(const PacketInfo& info) {
  const bool is_tcp = info.tuple.transport == Transport::kTcp;
  const size_t header = is_tcp ? sizeof(tcphdr) : sizeof(udphdr);
  const size_t length = header + info.payload.size();
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
            packet.begin() + sizeof(iphdr) + header);
  WriteTransportSum(&packet,
                    is_tcp ? offsetof(tcphdr, check) : offsetof(udphdr, check));
  return packet;
}

std::vector<uint8_t> BuildReset(const PacketInfo& info) {
  PacketInfo reset;
  reset.tuple = info.tuple;
  std::swap(reset.tuple.source, reset.tuple.destination);
  std::swap(reset.tuple.source_port, reset.tuple.destination_port);
  reset.rst = true;
  // As RFC 9293 asks: take the peer's acknowledgement if it sent one.
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
  const size_t quoted =
      std::min<size_t>(packet.size(), sizeof(iphdr) + sizeof(udphdr));
  const size_t length = sizeof(icmphdr) + quoted;
  std::vector<uint8_t> answer(sizeof(iphdr) + length);
  WriteIpHeader(info.tuple.destination, info.tuple.source, IPPROTO_ICMP, length,
                answer.data());
  icmphdr icmp{};
  icmp.type = ICMP_DEST_UNREACH;
  icmp.code = ICMP_PORT_UNREACH;
  uint8_t* part = answer.data() + sizeof(iphdr);
  std::memcpy(part, &icmp, sizeof(icmp));
  std::memcpy(part + sizeof(icmp), packet.data(), quoted);
  icmp.checksum = FoldSum(SumWords({part, length}, 0));
  std::memcpy(part, &icmp, sizeof(icmp));
  return answer;
}

}  // namespace medlargauge

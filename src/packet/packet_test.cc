// @file packet_test.cc Tests of packet and envelope codecs.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "src/packet/envelope.h"
#include "src/packet/packet.h"

namespace medlargauge {
namespace {

PacketInfo ExamplePacket(Transport transport) {
  PacketInfo info;
  info.tuple.source = *ParseIpv4("10.0.0.1");
  info.tuple.destination = *ParseIpv4("203.0.113.7");
  info.tuple.source_port = 4242;
  info.tuple.destination_port = 443;
  info.tuple.transport = transport;
  return info;
}

ErrorKind ParseErrorOf(std::vector<uint8_t> bytes) {
  Error reason;
  const auto parsed = ParsePacket({bytes.data(), bytes.size()}, &reason);
  return parsed.has_value() ? ErrorKind::kNone : reason.kind;
}

}  // namespace

TEST_CASE("parsing a built packet returns its fields") {
  const std::vector<uint8_t> payload = {1, 2, 3, 4, 5};
  for (const Transport transport : {Transport::kTcp, Transport::kUdp}) {
    PacketInfo info = ExamplePacket(transport);
    info.syn = transport == Transport::kTcp;
    info.sequence = transport == Transport::kTcp ? 77 : 0;
    info.payload = ByteView(payload.data(), payload.size());
    const std::vector<uint8_t> bytes = BuildPacket(info);
    const auto parsed = ParsePacket({bytes.data(), bytes.size()}, nullptr);
    REQUIRE(parsed.has_value());
    CHECK(parsed->tuple.source == info.tuple.source);
    CHECK(parsed->tuple.destination_port == 443);
    CHECK(parsed->syn == info.syn);
    CHECK(parsed->sequence == info.sequence);
    CHECK(parsed->payload == info.payload);
    CHECK(parsed->flow == HashFlow(info.tuple));
  }
}

TEST_CASE("malformed packets are rejected with the matching error kind") {
  const std::vector<uint8_t> valid =
      BuildPacket(ExamplePacket(Transport::kTcp));
  CHECK(ParseErrorOf(valid) == ErrorKind::kNone);
  CHECK(ParseErrorOf({}) == ErrorKind::kTruncatedPacket);
  CHECK(ParseErrorOf({valid.begin(), valid.end() - 1}) ==
        ErrorKind::kTruncatedPacket);
  std::vector<uint8_t> wrong_version = valid;
  wrong_version[0] = 0x65;
  CHECK(ParseErrorOf(wrong_version) == ErrorKind::kMalformedPacket);
  std::vector<uint8_t> wrong_header_checksum = valid;
  wrong_header_checksum[8] ^= 1;
  CHECK(ParseErrorOf(wrong_header_checksum) == ErrorKind::kBadChecksum);
  std::vector<uint8_t> wrong_transport_checksum = valid;
  wrong_transport_checksum[24] ^= 1;
  CHECK(ParseErrorOf(wrong_transport_checksum) == ErrorKind::kBadChecksum);
}

TEST_CASE("fragments and protocols other than TCP and UDP are rejected") {
  std::vector<uint8_t> fragment = BuildPacket(ExamplePacket(Transport::kUdp));
  fragment[6] = 0x20;  // Sets the "more fragments" flag.
  // Corrects the header checksum: the flags word has grown by 0x2000.
  const uint32_t sum = (fragment[10] << 8U | fragment[11]) + 0xFFFFU - 0x2000U;
  const uint32_t folded = (sum & 0xFFFFU) + (sum >> 16U);
  fragment[10] = static_cast<uint8_t>(folded >> 8U);
  fragment[11] = static_cast<uint8_t>(folded);
  CHECK(ParseErrorOf(fragment) == ErrorKind::kFragment);
  const PacketInfo info = ExamplePacket(Transport::kUdp);
  const std::vector<uint8_t> udp = BuildPacket(info);
  CHECK(ParseErrorOf(BuildPortUnreachable(info, {udp.data(), udp.size()})) ==
        ErrorKind::kForeignProtocol);
}

TEST_CASE("a reset carries the sequence number that its receiver expects") {
  PacketInfo segment = ExamplePacket(Transport::kTcp);
  segment.ack = true;
  segment.acknowledged = 9000;
  const std::vector<uint8_t> bytes = BuildReset(segment);
  const auto reset = ParsePacket({bytes.data(), bytes.size()}, nullptr);
  REQUIRE(reset.has_value());
  CHECK(reset->rst);
  CHECK(reset->sequence == 9000);
  CHECK(reset->tuple.destination == segment.tuple.source);
}

TEST_CASE("parsing a written envelope returns its fields") {
  Envelope envelope;
  envelope.purpose = Purpose::kConsult;
  envelope.hops = 3;
  envelope.class_id.value = 17;
  envelope.revision = 1ULL << 40U;
  envelope.view.value = 5;
  envelope.requester = 6;
  envelope.query_batch = 2;
  envelope.possible_owner = 8;
  envelope.confirmed_by_peer = true;
  envelope.trace = {1, 2, 3};
  for (uint32_t i = 0; i < kMaxVisited; ++i) {
    envelope.visited.Add(100 + i);
  }
  for (uint32_t i = 0; i < kMaxPending; ++i) {
    envelope.pending.Add(200 + i);
  }
  std::array<uint8_t, kMaxGueHeaderSize> out;
  const size_t size = WriteEnvelope(envelope, {out.data(), out.size()});
  CHECK(size == kMaxGueHeaderSize);
  const auto gue = ParseGue({out.data(), size}, nullptr);
  REQUIRE(gue.has_value());
  const auto parsed = ParseEnvelope(gue->private_data, nullptr);
  REQUIRE(parsed.has_value());
  CHECK(parsed->purpose == Purpose::kConsult);
  CHECK(parsed->revision == envelope.revision);
  CHECK(parsed->query_batch == 2);
  CHECK(parsed->possible_owner == 8);
  CHECK(parsed->confirmed_by_peer);
  CHECK(parsed->trace.span == 3);
  CHECK(parsed->visited.ids == envelope.visited.ids);
  CHECK(parsed->pending.ids == envelope.pending.ids);
}

TEST_CASE("a truncated envelope is rejected at every length") {
  std::array<uint8_t, kMaxGueHeaderSize> out;
  const size_t size = WriteEnvelope(Envelope(), {out.data(), out.size()});
  for (size_t length = 0; length < size; ++length) {
    const auto gue = ParseGue({out.data(), length}, nullptr);
    CHECK_FALSE(gue.has_value());
  }
  CHECK_FALSE(ParseEnvelope({out.data(), 5}, nullptr).has_value());
}

TEST_CASE("parsing the fuzzing corpus does not crash") {
  size_t files = 0;
  const std::string directory = std::string(SOURCE_DIR) + "/src/packet/corpus";
  for (const auto& entry : std::filesystem::directory_iterator(directory)) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::vector<uint8_t> bytes{std::istreambuf_iterator<char>(file), {}};
    const auto gue = ParseGue({bytes.data(), bytes.size()}, nullptr);
    if (gue.has_value()) {
      ParseEnvelope(gue->private_data, nullptr);
      ParsePacket(gue->packet, nullptr);
    }
    ++files;
  }
  CHECK(files >= 8);
}

}  // namespace medlargauge

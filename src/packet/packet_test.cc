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

ErrorKind KindOf(std::vector<uint8_t> bytes) {
  Error reason;
  const auto parsed = ParsePacket({bytes.data(), bytes.size()}, &reason);
  return parsed.has_value() ? ErrorKind::kNone : reason.kind;
}

}  // namespace

TEST_CASE("a built packet parses back") {
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

TEST_CASE("faulty packets are told apart by kind") {
  const std::vector<uint8_t> good = BuildPacket(ExamplePacket(Transport::kTcp));
  CHECK(KindOf(good) == ErrorKind::kNone);
  CHECK(KindOf({}) == ErrorKind::kTruncatedPacket);
  CHECK(KindOf({good.begin(), good.end() - 1}) == ErrorKind::kTruncatedPacket);
  std::vector<uint8_t> version = good;
  version[0] = 0x65;
  CHECK(KindOf(version) == ErrorKind::kMalformedPacket);
  std::vector<uint8_t> header_sum = good;
  header_sum[8] ^= 1;
  CHECK(KindOf(header_sum) == ErrorKind::kBadChecksum);
  std::vector<uint8_t> transport_sum = good;
  transport_sum[24] ^= 1;
  CHECK(KindOf(transport_sum) == ErrorKind::kBadChecksum);
}

TEST_CASE("fragments and foreign protocols are not forwarded") {
  std::vector<uint8_t> fragment = BuildPacket(ExamplePacket(Transport::kUdp));
  fragment[6] = 0x20;  // More fragments.
  // Keep the header sum right: the flag word grew by 0x2000.
  const uint32_t sum = (fragment[10] << 8U | fragment[11]) + 0xFFFFU - 0x2000U;
  const uint32_t folded = (sum & 0xFFFFU) + (sum >> 16U);
  fragment[10] = static_cast<uint8_t>(folded >> 8U);
  fragment[11] = static_cast<uint8_t>(folded);
  CHECK(KindOf(fragment) == ErrorKind::kFragment);
  const PacketInfo info = ExamplePacket(Transport::kUdp);
  const std::vector<uint8_t> udp = BuildPacket(info);
  CHECK(KindOf(BuildPortUnreachable(info, {udp.data(), udp.size()})) ==
        ErrorKind::kForeignProtocol);
}

TEST_CASE("a reset answers with the sequence that its receiver expects") {
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

TEST_CASE("an envelope survives the wire") {
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

TEST_CASE("a truncated envelope is refused at every length") {
  std::array<uint8_t, kMaxGueHeaderSize> out;
  const size_t size = WriteEnvelope(Envelope(), {out.data(), out.size()});
  for (size_t length = 0; length < size; ++length) {
    const auto gue = ParseGue({out.data(), length}, nullptr);
    CHECK_FALSE(gue.has_value());
  }
  CHECK_FALSE(ParseEnvelope({out.data(), 5}, nullptr).has_value());
}

TEST_CASE("the fuzzing corpus parses without a crash") {
  size_t files = 0;
  const std::string folder = std::string(SOURCE_DIR) + "/src/packet/corpus";
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
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

// @file held_packets_test.cc Tests of the buffer of packets that wait.
#include "src/forwarding/held_packets.h"

#include <doctest/doctest.h>

namespace medlargauge {
namespace {

constexpr TimePoint kNow{Seconds(100)};

FlowPacket MakePacket(uint16_t port) {
  FlowPacket packet;
  packet.flow = {{0x64400007, port}, {0xC6120001, 443}};
  return packet;
}

ByteView ViewOf(const std::string& text) {
  return {reinterpret_cast<const uint8_t*>(text.data()), text.size()};
}

TEST_CASE("the latest packet of a flow replaces the one before") {
  HeldPackets packets(10'000);
  CHECK(packets.Hold(kNow, MakePacket(1), ViewOf("a"), kNow + Seconds(1)));
  CHECK(packets.Hold(kNow, MakePacket(2), ViewOf("b"), kNow + Seconds(1)));
  CHECK(packets.Hold(kNow, MakePacket(1), ViewOf("c"), kNow + Seconds(2)));
  CHECK(packets.Count() == 2);
  CHECK(packets.Find(MakePacket(1).flow)->raw == "c");
  const std::vector<HeldPacket> all = packets.TakeAll();
  REQUIRE(all.size() == 2);
  CHECK(all[0].raw == "c");  // Its flow came first.
  CHECK(packets.IsEmpty());
}

TEST_CASE("the buffer stays within its limit and has room again after use") {
  HeldPackets packets(2'000);
  const std::string raw(300, 'x');
  uint16_t held = 0;
  for (uint16_t port = 1; port <= 100; ++port) {
    held += packets.Hold(kNow, MakePacket(port), ViewOf(raw),
                         kNow + Milliseconds(port))
                ? 1
                : 0;
  }
  CHECK(held > 1);
  CHECK(held * raw.size() <= 2'000);
  packets.EraseExpired(kNow + Milliseconds(held - 1));
  CHECK(packets.Count() == 1);
  packets.Erase(MakePacket(held).flow);
  CHECK(packets.IsEmpty());
  CHECK(packets.Hold(kNow, MakePacket(7), ViewOf(raw), kNow + Seconds(1)));
}

}  // namespace
}  // namespace medlargauge

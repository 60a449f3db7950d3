// @file gossip_test.cc Tests of propagation, repair and the overlay.
#include <doctest/doctest.h>

#include <set>

#include "src/core/hash.h"
#include "src/gossip/gossip.h"

namespace medlargauge {
namespace {

proto::GossipItem MakeItem(const std::string& key, uint64_t version) {
  proto::GossipItem item;
  item.set_key(key);
  item.set_version(version);
  item.set_value("value");
  return item;
}

/// An overlay of two members; all messages between them can be dropped.
struct TwoMembers {
  MemberId id_a = MemberIdOf("a");
  MemberId id_b = MemberIdOf("b");
  Gossip a{id_a, GossipOptions(), {}};
  Gossip b{id_b, GossipOptions(), {}};
  TimePoint now{Seconds(100)};

  TwoMembers() {
    a.SetMembers({id_a, id_b});
    b.SetMembers({id_a, id_b});
  }

  /// Runs both members for `length` of simulated time.
  void RunFor(Duration length, bool drop_messages) {
    for (const TimePoint end = now + length; now < end;
         now += Milliseconds(100)) {
      a.OnTick(now);
      b.OnTick(now);
      for (const OutgoingGossip& message : a.TakeOutgoing()) {
        if (!drop_messages) {
          b.OnMessage(now, id_a, message.message);
        }
      }
      for (const OutgoingGossip& message : b.TakeOutgoing()) {
        if (!drop_messages) {
          a.OnMessage(now, id_b, message.message);
        }
      }
    }
  }
};

}  // namespace

TEST_CASE("a change reaches the neighbour within 500 ms") {
  TwoMembers overlay;
  overlay.a.Put(MakeItem("k", 1));
  overlay.RunFor(Milliseconds(500), false);
  REQUIRE(overlay.b.Find("k") != nullptr);
}

TEST_CASE("an older version never replaces a newer one") {
  TwoMembers overlay;
  overlay.b.Put(MakeItem("k", 5));
  proto::GossipMessage message;
  *message.add_items() = MakeItem("k", 4);
  overlay.b.OnMessage(overlay.now, overlay.id_a, message);
  CHECK(overlay.b.Find("k")->version() == 5);
  CHECK_FALSE(overlay.b.Put(MakeItem("k", 5)));
}

TEST_CASE("digests repair lost changes in both directions") {
  TwoMembers overlay;
  overlay.a.Put(MakeItem("from-a", 1));
  overlay.b.Put(MakeItem("from-b", 2));
  overlay.RunFor(Seconds(2), true);
  CHECK(overlay.b.Find("from-a") == nullptr);
  overlay.RunFor(Seconds(25), false);
  CHECK(overlay.b.Find("from-a") != nullptr);
  CHECK(overlay.a.Find("from-b") != nullptr);
}

TEST_CASE("an item is not sent back to the neighbour that sent it") {
  TwoMembers overlay;
  overlay.a.Put(MakeItem("k", 1));
  overlay.RunFor(Seconds(1), false);
  CHECK(overlay.b.Counters().items_sent == 0);
}

TEST_CASE("the overlay is connected at every size") {
  for (const int size : {2, 3, 10, 100, 500}) {
    std::vector<MemberId> members;
    members.reserve(size);
    for (int i = 0; i < size; ++i) {
      members.push_back(MemberIdOf("m" + std::to_string(i)));
    }
    std::set<MemberId> reached{members[0]};
    std::vector<MemberId> unexplored{members[0]};
    while (!unexplored.empty()) {
      const MemberId from = unexplored.back();
      unexplored.pop_back();
      for (const MemberId next : ChooseNeighbours(from, members, 3)) {
        if (reached.insert(next).second) {
          unexplored.push_back(next);
        }
      }
    }
    CHECK(reached.size() == members.size());
  }
}

}  // namespace medlargauge

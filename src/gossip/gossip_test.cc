// @file gossip_test.cc Tests of dissemination and repair.
#include <doctest/doctest.h>

#include <set>

#include "src/core/hash.h"
#include "src/gossip/gossip.h"

namespace medlargauge {
namespace {

proto::GossipItem Item(const std::string& key, uint64_t version) {
  proto::GossipItem item;
  item.set_key(key);
  item.set_version(version);
  item.set_value("value");
  return item;
}

/// Two members; messages from one to the other can be dropped.
struct Pair {
  MemberId id_a = MemberIdOf("a");
  MemberId id_b = MemberIdOf("b");
  Gossip a{id_a, GossipOptions(), {}};
  Gossip b{id_b, GossipOptions(), {}};
  TimePoint now{Seconds(100)};

  Pair() {
    a.SetMembers({id_a, id_b});
    b.SetMembers({id_a, id_b});
  }

  void Run(Duration length, bool drop) {
    for (const TimePoint end = now + length; now < end;
         now += Milliseconds(100)) {
      a.OnTick(now);
      b.OnTick(now);
      for (const OutgoingGossip& message : a.TakeOutgoing()) {
        if (!drop) {
          b.OnMessage(now, id_a, message.message);
        }
      }
      for (const OutgoingGossip& message : b.TakeOutgoing()) {
        if (!drop) {
          a.OnMessage(now, id_b, message.message);
        }
      }
    }
  }
};

}  // namespace

TEST_CASE("a change reaches the neighbour within a flush") {
  Pair pair;
  pair.a.Put(Item("k", 1));
  pair.Run(Milliseconds(500), false);
  REQUIRE(pair.b.Find("k") != nullptr);
}

TEST_CASE("an older version never replaces a newer one") {
  Pair pair;
  pair.b.Put(Item("k", 5));
  proto::GossipMessage message;
  *message.add_items() = Item("k", 4);
  pair.b.OnMessage(pair.now, pair.id_a, message);
  CHECK(pair.b.Find("k")->version() == 5);
  CHECK_FALSE(pair.b.Put(Item("k", 5)));
}

TEST_CASE("digests repair what was lost, in both directions") {
  Pair pair;
  pair.a.Put(Item("from-a", 1));
  pair.b.Put(Item("from-b", 2));
  pair.Run(Seconds(2), true);
  CHECK(pair.b.Find("from-a") == nullptr);
  pair.Run(Seconds(25), false);
  CHECK(pair.b.Find("from-a") != nullptr);
  CHECK(pair.a.Find("from-b") != nullptr);
}

TEST_CASE("what a neighbour sent is not sent back to it") {
  Pair pair;
  pair.a.Put(Item("k", 1));
  pair.Run(Seconds(1), false);
  CHECK(pair.b.Counters().items_sent == 0);
}

TEST_CASE("the overlay is connected at every size") {
  for (const int size : {2, 3, 10, 100, 500}) {
    std::vector<MemberId> members;
    members.reserve(size);
    for (int i = 0; i < size; ++i) {
      members.push_back(MemberIdOf("m" + std::to_string(i)));
    }
    std::set<MemberId> reached{members[0]};
    std::vector<MemberId> open{members[0]};
    while (!open.empty()) {
      const MemberId from = open.back();
      open.pop_back();
      for (const MemberId next : ChooseNeighbours(from, members, 3)) {
        if (reached.insert(next).second) {
          open.push_back(next);
        }
      }
    }
    CHECK(reached.size() == members.size());
  }
}

}  // namespace medlargauge

// @file opening_queue_test.cc Tests of the queue of new flows.
#include "src/forwarding/opening_queue.h"

#include <doctest/doctest.h>

#include <limits>

namespace medlargauge {
namespace {

FlowKey MakeFlow(uint16_t port) {
  return {{0x64400007, port}, {0xC6120001, 443}};
}

/// A queue and the servers behind it, which take a flow whenever a slot is
/// free.
struct QueueFixture {
  TimePoint now{Seconds(100)};
  OpeningQueue queue;

  bool Add(uint16_t port,
           uint32_t priority = 1,
           Duration goal = Milliseconds(400)) {
    return queue.Add(now, MakeFlow(port), priority, now + goal,
                     now + Seconds(1));
  }
  /// Lets `slots` free slots take released flows; the others are put back.
  /// @return the ports that got a slot
  std::vector<uint16_t> Serve(size_t slots) {
    std::vector<uint16_t> served;
    std::vector<FlowKey> released = queue.Release(now);
    while (!released.empty()) {
      for (const FlowKey& flow : released) {
        if (served.size() < slots) {
          served.push_back(flow.caller.port);
          queue.OnAccepted(now, flow);
        } else {
          queue.PutBack(now, flow);
        }
      }
      released = queue.Release(now);
    }
    return served;
  }
};

TEST_CASE("urgent flows come first, then those that wait longest") {
  QueueFixture fixture;
  fixture.Add(1, 2);
  fixture.Add(2, 1);
  fixture.Add(3, 2);
  fixture.Add(4, 1);
  CHECK(fixture.Serve(4) == std::vector<uint16_t>{2, 4, 1, 3});
}

TEST_CASE("late flows wait behind those that can be answered in time") {
  // Guards against a backlog of late flows that makes all others late too.
  QueueFixture fixture;
  fixture.Add(1, 1, Milliseconds(100));
  fixture.Add(2, 2, Milliseconds(100));
  fixture.now += Milliseconds(150);
  fixture.Add(3, 2);
  CHECK(fixture.Serve(3) == std::vector<uint16_t>{3, 1, 2});
}

TEST_CASE("within a priority, the flow with the least time left comes first") {
  // Guards against flows that become late while others could have waited.
  QueueFixture fixture;
  fixture.Add(1, 1, Milliseconds(400));
  fixture.Add(2, 1, Milliseconds(200));
  fixture.Add(3, 0, Milliseconds(800));
  fixture.Add(4, std::numeric_limits<uint32_t>::max());
  CHECK(fixture.Serve(4) == std::vector<uint16_t>{3, 2, 1, 4});
}

TEST_CASE("a flow that was released when it became late is put back as late") {
  // Guards against late flows that keep the place of their goal.
  QueueFixture fixture;
  fixture.Add(1, 1, Milliseconds(100));
  const std::vector<FlowKey> released = fixture.queue.Release(fixture.now);
  REQUIRE(released.size() == 1);
  fixture.now += Milliseconds(150);
  fixture.queue.PutBack(fixture.now, released[0]);
  fixture.Add(2, 2);
  fixture.now += OpeningQueue::kProbeInterval;
  CHECK(fixture.Serve(1) == std::vector<uint16_t>{2});
}

TEST_CASE("a flow that found no slot keeps its place") {
  QueueFixture fixture;
  fixture.Add(1);
  fixture.Add(2);
  CHECK(fixture.Serve(0).empty());
  fixture.now += OpeningQueue::kProbeInterval;
  CHECK(fixture.Serve(1) == std::vector<uint16_t>{1});
}

TEST_CASE("while servers are full, one flow at a time is tried") {
  QueueFixture fixture;
  for (uint16_t port = 1; port <= 50; ++port) {
    fixture.Add(port);
  }
  CHECK(fixture.queue.Release(fixture.now).size() == 1);
  CHECK(fixture.queue.Release(fixture.now).empty());
  fixture.now += OpeningQueue::kProbeInterval;
  CHECK(fixture.queue.Release(fixture.now).size() == 1);
}

TEST_CASE("a wave of callers is served as fast as servers take it") {
  QueueFixture fixture;
  for (uint16_t port = 1; port <= 60; ++port) {
    CHECK(fixture.Add(port));
  }
  size_t served = 0;
  for (int i = 0; i < 20; ++i) {
    served += fixture.Serve(5).size();
    fixture.now += OpeningQueue::kProbeInterval;
  }
  CHECK(served == 60);
}

TEST_CASE("flows are given up at their deadline, waiting ones only") {
  QueueFixture fixture;
  fixture.Add(1);
  fixture.Add(2);
  REQUIRE(fixture.queue.Release(fixture.now).size() == 1);
  fixture.now += Seconds(1);
  CHECK(fixture.queue.TakeExpired(fixture.now) ==
        std::vector<FlowKey>{MakeFlow(2)});
  fixture.queue.PutBack(fixture.now, MakeFlow(1));
  CHECK(fixture.queue.TakeExpired(fixture.now).size() == 1);
  CHECK(fixture.queue.Count() == 0);
}

TEST_CASE("under lasting overload, flows that can't be served are refused") {
  QueueFixture fixture;
  uint16_t port = 1;
  size_t refused = 0;
  // 200 new flows a second meet 50 that servers take.
  for (int i = 0; i < 150; ++i) {
    for (int j = 0; j < 4; ++j) {
      refused += fixture.Add(port++) ? 0 : 1;
    }
    fixture.Serve(1);
    fixture.queue.TakeExpired(fixture.now);
    fixture.now += Milliseconds(20);
  }
  CHECK(refused > 200);
  CHECK(fixture.queue.Count() < 100);
}

}  // namespace
}  // namespace medlargauge

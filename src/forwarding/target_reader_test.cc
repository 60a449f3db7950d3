// @file target_reader_test.cc Tests of when the targets are read.
#include <doctest/doctest.h>

#include <algorithm>

#include "src/forwarding/member_fixture.h"
#include "src/forwarding/target_reader.h"

namespace medlargauge {
namespace {

using member_fixture::MakeStatus;

/// Targets in force at a balancer.
constexpr TargetIdentity kHeld{{0, 5}, 0};
constexpr TargetIdentity kNoTargets;

/// The target reader of a balancer that knows no other members.
struct ReaderFixture {
  TimePoint now{Seconds(100)};
  MembershipTable members{MemberId{1}, MembershipTimeouts()};
  TargetReader reader{now, 1, TargetReaderLimits()};
  uint32_t sequence = 0;

  /// Returns the id of one of six balancers that is not chosen as a reader; an
  /// unset id if there is none.
  MemberId FindNonReader() {
    const std::vector<MemberId> all{MemberId{1}, MemberId{2}, MemberId{3},
                                    MemberId{4}, MemberId{5}, MemberId{6}};
    for (const MemberId id : all) {
      MembershipTable others(id, MembershipTimeouts());
      for (const MemberId other : all) {
        others.OnStatus(
            now, MakeStatus(now, other.value, MemberRole::kBalancer, 1, 1));
      }
      TargetReader probe(now, 1, TargetReaderLimits());
      if (probe.Next(now, id, others, kHeld) == ReadAction::kNothing) {
        return id;
      }
    }
    return MemberId();
  }
};

TEST_CASE("balancers that are not readers do not read while the readers do") {
  ReaderFixture fixture;
  const MemberId self = fixture.FindNonReader();
  REQUIRE(self.IsSet());
  MembershipTable members(self, MembershipTimeouts());
  const auto receive_statuses = [&](uint32_t checked_ms) {
    for (uint64_t id = 1; id <= 6; ++id) {
      members.OnStatus(fixture.now,
                       MakeStatus(fixture.now, id, MemberRole::kBalancer,
                                  ++fixture.sequence, checked_ms));
    }
  };
  TargetReader reader(fixture.now, 1, TargetReaderLimits());
  receive_statuses(1);
  CHECK(reader.Next(fixture.now, self, members, kHeld) == ReadAction::kNothing);
  // The readers cannot reach the store: all balancers read.
  receive_statuses(0);
  fixture.now += Milliseconds(10);
  CHECK(reader.Next(fixture.now, self, members, kHeld) == ReadAction::kRead);
}

/// Ten balancers, five in each of two domains, that hear each other.
struct ReaderFleet {
  TimePoint now{Seconds(100)};
  uint32_t sequence = 0;

  static DomainId DomainOf(uint64_t id) { return DomainId{id <= 5 ? 1U : 2U}; }
  /// Returns those that read while the calls of `failing` fail.
  std::vector<uint64_t> Readers(const std::vector<uint64_t>& failing) {
    std::vector<uint64_t> readers;
    for (uint64_t self = 1; self <= 10; ++self) {
      MembershipTable members(MemberId{self}, MembershipTimeouts());
      for (uint64_t id = 1; id <= 10; ++id) {
        const bool fails =
            std::find(failing.begin(), failing.end(), id) != failing.end();
        proto::PeerStatus status = MakeStatus(now, id, MemberRole::kBalancer,
                                              ++sequence, fails ? 0 : 1);
        status.mutable_self()->set_domain(DomainOf(id).value);
        status.set_store_failing(fails);
        members.OnStatus(now, status);
      }
      TargetReader reader(now, self, TargetReaderLimits());
      reader.SetDomain(DomainOf(self));
      if (reader.Next(now, MemberId{self}, members, kHeld) !=
          ReadAction::kNothing) {
        readers.push_back(self);
      }
    }
    return readers;
  }
};

TEST_CASE("a domain that is cut off from the store has all readers") {
  ReaderFleet fleet;
  const std::vector<uint64_t> readers = fleet.Readers({});
  REQUIRE(readers.size() == 3);
  CHECK(ReaderFleet::DomainOf(readers.front()) !=
        ReaderFleet::DomainOf(readers.back()));
}

TEST_CASE("nobody reads while some readers have yet to find the store lost") {
  ReaderFleet fleet;
  const std::vector<uint64_t> readers = fleet.Readers({});
  REQUIRE(readers.size() == 3);
  // One more reads, not the whole fleet, and the next one if it fails too.
  std::vector<uint64_t> with_substitute = fleet.Readers({readers[0]});
  REQUIRE(with_substitute.size() == 4);
  const auto is_new = [&](uint64_t id) {
    return std::find(readers.begin(), readers.end(), id) == readers.end();
  };
  const uint64_t substitute =
      *std::find_if(with_substitute.begin(), with_substitute.end(), is_new);
  const std::vector<uint64_t> next = fleet.Readers({readers[0], substitute});
  CHECK(next.size() == 5);
}

TEST_CASE("a reader reads first, then watches, and reads again after any gap") {
  ReaderFixture fixture;
  const auto next = [&] {
    return fixture.reader.Next(fixture.now, MemberId{1}, fixture.members,
                               kHeld);
  };
  CHECK(next() == ReadAction::kRead);
  CHECK(next() == ReadAction::kNothing);
  fixture.reader.OnRead(fixture.now, StoreResult::kOk, 40);
  CHECK(next() == ReadAction::kWatch);
  fixture.reader.OnWatch(fixture.now, StoreResult::kOk, 44);
  CHECK(fixture.reader.Position() == 44);
  CHECK(next() == ReadAction::kWatch);
  fixture.reader.OnWatch(fixture.now, StoreResult::kHistoryCompacted, 0);
  CHECK(next() == ReadAction::kRead);
  fixture.reader.OnRead(fixture.now, StoreResult::kOk, 50);
  CHECK(next() == ReadAction::kWatch);
  fixture.reader.OnWatch(fixture.now, StoreResult::kNoAnswer, 0);
  CHECK(next() == ReadAction::kNothing);  // Backing off.
  fixture.now += Seconds(2);
  CHECK(next() == ReadAction::kRead);
  fixture.reader.OnRead(fixture.now, StoreResult::kOk, 51);
  fixture.reader.OnSuspended(fixture.now);
  CHECK(next() == ReadAction::kRead);
}

TEST_CASE("every balancer polled a store that has no targets yet") {
  ReaderFixture fixture;
  const MemberId self = fixture.FindNonReader();
  REQUIRE(self.IsSet());
  MembershipTable members(self, MembershipTimeouts());
  TargetReader reader(fixture.now, 1, TargetReaderLimits());
  uint32_t calls = 0;
  for (int i = 0; i < 100; ++i) {
    for (uint64_t id = 1; id <= 6; ++id) {
      members.OnStatus(fixture.now,
                       MakeStatus(fixture.now, id, MemberRole::kBalancer,
                                  ++fixture.sequence, 1));
    }
    if (reader.Next(fixture.now, self, members, kNoTargets) !=
        ReadAction::kNothing) {
      reader.OnRead(fixture.now, StoreResult::kNotFound, 30);
      ++calls;
    }
    fixture.now += Milliseconds(100);
  }
  CHECK(calls == 1);
  // A reader waits for the first targets; without a position it polls.
  CHECK(fixture.reader.Next(fixture.now, MemberId{1}, fixture.members,
                            kNoTargets) == ReadAction::kRead);
  fixture.reader.OnRead(fixture.now, StoreResult::kNotFound, 30);
  CHECK(fixture.reader.Next(fixture.now, MemberId{1}, fixture.members,
                            kNoTargets) == ReadAction::kWatch);
  CHECK(fixture.reader.Position() == 30);
  fixture.reader.OnWatch(fixture.now, StoreResult::kNoAnswer, 0);
  fixture.now += Seconds(2);
  CHECK(fixture.reader.Next(fixture.now, MemberId{1}, fixture.members,
                            kNoTargets) == ReadAction::kRead);
  fixture.reader.OnRead(fixture.now, StoreResult::kNotFound, 0);
  CHECK(fixture.reader.Next(fixture.now, MemberId{1}, fixture.members,
                            kNoTargets) == ReadAction::kNothing);
  fixture.now += Seconds(1);
  CHECK(fixture.reader.Next(fixture.now, MemberId{1}, fixture.members,
                            kNoTargets) == ReadAction::kRead);
}

TEST_CASE("a call that the store had not answered counted as contact") {
  ReaderFixture fixture;
  const auto next = [&] {
    return fixture.reader.Next(fixture.now, MemberId{1}, fixture.members,
                               kHeld);
  };
  const auto current_as_of = [&] {
    return fixture.reader.CurrentAsOf(fixture.members, kHeld);
  };
  const TimePoint read_at = fixture.now;
  REQUIRE(next() == ReadAction::kRead);
  fixture.now += Milliseconds(400);
  CHECK(current_as_of() == TimePoint());
  fixture.reader.OnRead(fixture.now, StoreResult::kOk, 40);
  // The store may have answered at any time since the call.
  CHECK(current_as_of() == read_at);
  const TimePoint watch_at = fixture.now;
  REQUIRE(next() == ReadAction::kWatch);
  fixture.now += fixture.reader.WatchTimeout() - Milliseconds(1);
  CHECK(current_as_of() == read_at);
  // The store answers no earlier than it was asked to if nothing has changed.
  fixture.now += Milliseconds(9);
  fixture.reader.OnWatch(fixture.now, StoreResult::kOk, 40);
  const TimePoint proven = watch_at + fixture.reader.WatchTimeout();
  CHECK(current_as_of() == proven);
  REQUIRE(next() == ReadAction::kWatch);
  fixture.now += Milliseconds(10);
  fixture.reader.OnWatch(fixture.now, StoreResult::kOk, 44);
  CHECK(current_as_of() == fixture.now - Milliseconds(10));
  REQUIRE(next() == ReadAction::kWatch);
  const TimePoint last = current_as_of();
  fixture.now += fixture.reader.WatchTimeout() + Milliseconds(600);
  fixture.reader.OnWatch(fixture.now, StoreResult::kNoAnswer, 0);
  CHECK(current_as_of() == last);
}

TEST_CASE("a reader whose watch is unanswered waits for it before it reads") {
  ReaderFixture fixture;
  const auto next = [&] {
    return fixture.reader.Next(fixture.now, MemberId{1}, fixture.members,
                               kHeld);
  };
  REQUIRE(next() == ReadAction::kRead);
  fixture.reader.OnRead(fixture.now, StoreResult::kOk, 40);
  REQUIRE(next() == ReadAction::kWatch);
  fixture.now += TargetReaderLimits().MaxTargetAge() + Milliseconds(1);
  CHECK(next() == ReadAction::kRead);
  fixture.reader.OnRead(fixture.now, StoreResult::kOk, 44);
  CHECK(next() == ReadAction::kNothing);
  // The late answer to the watch is older than that of the read.
  fixture.reader.OnWatch(fixture.now, StoreResult::kOk, 42);
  CHECK(fixture.reader.Position() == 44);
}

TEST_CASE("a peer with newer targets or an old build vouched for older ones") {
  ReaderFixture fixture;
  const auto current_as_of = [&] {
    return fixture.reader.CurrentAsOf(fixture.members, kHeld);
  };
  proto::PeerStatus status =
      MakeStatus(fixture.now, 2, MemberRole::kBalancer, 1, 101);
  status.mutable_self()->set_revision(kHeld.version.revision + 1);
  fixture.members.OnStatus(fixture.now, status);
  CHECK(current_as_of() == TimePoint());
  status.mutable_self()->set_revision(kHeld.version.revision - 1);
  status.set_sequence(2);
  fixture.members.OnStatus(fixture.now, status);
  CHECK(current_as_of() <= fixture.now - Milliseconds(100));
  CHECK(current_as_of() >= fixture.now - Milliseconds(200));
  status.set_protocol(2);
  status.set_sequence(3);
  fixture.members.OnStatus(fixture.now, status);
  CHECK(current_as_of() == TimePoint());
}

TEST_CASE("a process that was stopped took waiting messages for recent ones") {
  ReaderFixture fixture;
  fixture.reader.OnStalled(fixture.now);
  fixture.members.OnStatus(
      fixture.now, MakeStatus(fixture.now, 2, MemberRole::kBalancer, 1, 1));
  CHECK(fixture.reader.CurrentAsOf(fixture.members, kHeld) == TimePoint());
  fixture.now += Milliseconds(200);
  fixture.members.OnStatus(
      fixture.now, MakeStatus(fixture.now, 2, MemberRole::kBalancer, 2, 1));
  CHECK(fixture.reader.CurrentAsOf(fixture.members, kHeld) != TimePoint());
}

TEST_CASE("a watch from before a suspension or a restore proved the targets") {
  for (const bool is_suspended : {true, false}) {
    CAPTURE(is_suspended);
    ReaderFixture fixture;
    const auto next = [&] {
      return fixture.reader.Next(fixture.now, MemberId{1}, fixture.members,
                                 kHeld);
    };
    REQUIRE(next() == ReadAction::kRead);
    fixture.reader.OnRead(fixture.now, StoreResult::kOk, 40);
    REQUIRE(next() == ReadAction::kWatch);
    const TimePoint before = fixture.now;
    fixture.now += fixture.reader.WatchTimeout();
    is_suspended ? fixture.reader.OnSuspended(fixture.now)
                 : fixture.reader.OnNewEra(fixture.now);
    fixture.reader.OnWatch(fixture.now, StoreResult::kOk, 40);
    CHECK(fixture.reader.CurrentAsOf(fixture.members, kHeld) <= before);
    REQUIRE(next() == ReadAction::kRead);
    fixture.reader.OnRead(fixture.now, StoreResult::kOk, 40);
    CHECK(fixture.reader.CurrentAsOf(fixture.members, kHeld) == fixture.now);
  }
}

TEST_CASE("a process vouched for targets that it could not read") {
  ReaderFixture fixture;
  REQUIRE(fixture.reader.Next(fixture.now, MemberId{1}, fixture.members,
                              kHeld) == ReadAction::kRead);
  fixture.reader.OnTargetsUsable(false);
  fixture.reader.OnRead(fixture.now, StoreResult::kOk, 40);
  CHECK(fixture.reader.CurrentAsOf(fixture.members, kHeld) == TimePoint());
  // Another read would bring the same ones, so it goes on to watch.
  CHECK(fixture.reader.Next(fixture.now, MemberId{1}, fixture.members, kHeld) ==
        ReadAction::kWatch);
  fixture.reader.OnTargetsUsable(true);
  CHECK(fixture.reader.CurrentAsOf(fixture.members, kHeld) == fixture.now);
}

TEST_CASE("each of several quick changes reached all readers from the store") {
  constexpr uint64_t kChanges = 24;
  uint32_t calls = 0;
  for (const MemberId self : {MemberId{1}, MemberId{2}, MemberId{3}}) {
    TimePoint now{Seconds(100)};
    MembershipTable members(self, MembershipTimeouts());
    TargetReader reader(now, self.value, TargetReaderLimits());
    uint32_t sequence = 0;
    uint64_t store_revision = 40;
    bool is_watching = false;
    for (int ms = 0; ms < 8000; ms += 20, now += Milliseconds(20)) {
      if (ms % 100 == 0) {
        for (uint64_t id = 1; id <= 3; ++id) {
          members.OnStatus(
              now, MakeStatus(now, id, MemberRole::kBalancer, ++sequence, 1));
        }
      }
      store_revision += ms % 330 < 20 && ms > 330 ? 1 : 0;
      if (is_watching && store_revision > reader.Position()) {
        reader.OnWatch(now, StoreResult::kOk, store_revision);
        is_watching = false;
      }
      const ReadAction action = reader.Next(now, self, members, kHeld);
      calls += action == ReadAction::kNothing ? 0 : 1;
      if (action == ReadAction::kRead) {
        reader.OnRead(now, StoreResult::kOk, store_revision);
      }
      is_watching = is_watching || action == ReadAction::kWatch;
    }
    CHECK(reader.Position() + 2 >= store_revision);
  }
  CHECK(calls >= kChanges);
  CHECK(calls <= 2 * kChanges + 9);
}

TEST_CASE("a balancer does not rely on readers that know no eras") {
  ReaderFixture fixture;
  const MemberId self = fixture.FindNonReader();
  REQUIRE(self.IsSet());
  MembershipTable members(self, MembershipTimeouts());
  const auto receive_statuses = [&](uint64_t era) {
    for (uint64_t id = 1; id <= 6; ++id) {
      proto::PeerStatus status = MakeStatus(
          fixture.now, id, MemberRole::kBalancer, ++fixture.sequence, 1);
      status.set_store_era(era);
      members.OnStatus(fixture.now, status);
    }
  };
  TargetReader reader(fixture.now, 1, TargetReaderLimits());
  receive_statuses(0);
  CHECK(reader.Next(fixture.now, self, members, kHeld) == ReadAction::kNothing);
  reader.OnEraKnown();
  receive_statuses(4);
  CHECK(reader.Next(fixture.now, self, members, kHeld) == ReadAction::kNothing);
  receive_statuses(0);
  CHECK(reader.Next(fixture.now, self, members, kHeld) == ReadAction::kRead);
}

TEST_CASE("a reader does not watch across a restore of the store") {
  ReaderFixture fixture;
  const auto next = [&] {
    return fixture.reader.Next(fixture.now, MemberId{1}, fixture.members,
                               kHeld);
  };
  CHECK(next() == ReadAction::kRead);
  fixture.reader.OnRead(fixture.now, StoreResult::kOk, 40);
  CHECK(next() == ReadAction::kWatch);
  // The answer to the watch comes from the restored store.
  fixture.reader.OnNewEra(fixture.now);
  fixture.reader.OnWatch(fixture.now, StoreResult::kOk, 44);
  CHECK(next() == ReadAction::kRead);
  // A process that backs off reads at once.
  fixture.reader.OnRead(fixture.now, StoreResult::kNoAnswer, 0);
  CHECK(next() == ReadAction::kNothing);
  fixture.reader.OnNewEra(fixture.now);
  CHECK(next() == ReadAction::kRead);
}

TEST_CASE("calls to a failing store back off with jitter") {
  std::vector<Duration> first_delays;
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    TimePoint now{Seconds(100)};
    const MembershipTable members(MemberId{1}, MembershipTimeouts());
    TargetReader reader(now, seed, TargetReaderLimits());
    const TimePoint start = now;
    uint32_t calls = 0;
    while (now - start < Seconds(10)) {
      if (reader.Next(now, MemberId{1}, members, kNoTargets) !=
          ReadAction::kNothing) {
        reader.OnRead(now, StoreResult::kRefused, 0);
        ++calls;
        if (calls == 2) {
          first_delays.push_back(now - start);
        }
      }
      now += Milliseconds(1);
    }
    CHECK(calls <= 20);
    CHECK(calls >= 7);
  }
  std::sort(first_delays.begin(), first_delays.end());
  CHECK(first_delays.front() != first_delays.back());
}

TEST_CASE("a store without history does not cause reads in an endless loop") {
  TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  TargetReader reader(now, 7, TargetReaderLimits());
  uint32_t calls = 0;
  for (const TimePoint end = now + Seconds(10); now < end;
       now += Milliseconds(5)) {
    const ReadAction action = reader.Next(now, MemberId{1}, members, kHeld);
    calls += action == ReadAction::kNothing ? 0 : 1;
    if (action == ReadAction::kRead) {
      reader.OnRead(now, StoreResult::kOk, 50);
    } else if (action == ReadAction::kWatch) {
      reader.OnWatch(now, StoreResult::kHistoryCompacted, 0);
    }
  }
  CHECK(calls >= 10);  // Enough to keep the targets current.
  CHECK(calls <= 40);
  reader.OnWatch(now, StoreResult::kOk, 60);
  CHECK(reader.Next(now + Seconds(2), MemberId{1}, members, kHeld) !=
        ReadAction::kNothing);
}

}  // namespace
}  // namespace medlargauge

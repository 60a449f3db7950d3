// @file evacuations_test.cc Tests of which evacuations are in force.
#include "src/forwarding/evacuation/evacuations.h"

#include <doctest/doctest.h>

namespace medlargauge {
namespace {

constexpr DomainId kA{1};
constexpr DomainId kB{2};
constexpr DomainId kC{3};
constexpr TimePoint kStart{Seconds(100)};

/// Processes that read the store or hear each other.
struct EvacuationsFixture {
  TimePoint now = kStart;
  Evacuations reader;
  Evacuations other;

  bool Read(TargetVersion version, DomainSet domains) {
    return reader.OnRead(now, version, std::move(domains), Duration());
  }
  bool Tell() { return other.OnPeer(now, reader.State(), Duration()); }
};

TEST_CASE("a process accepts flows before it has learned of evacuations") {
  EvacuationsFixture fixture;
  CHECK_FALSE(fixture.other.IsKnown());
  CHECK(fixture.other.AdmissionOf(kA) == DomainAdmission::kUnknown);
  // A process that knows nothing tells nothing.
  CHECK_FALSE(fixture.Tell());
  CHECK(fixture.Read({1, 10}, {}));
  CHECK(fixture.Tell());
  CHECK(fixture.other.AdmissionOf(kA) == DomainAdmission::kOpen);
}

TEST_CASE("an older list replaces a newer one") {
  EvacuationsFixture fixture;
  CHECK(fixture.Read({1, 10}, {kA}));
  CHECK(fixture.Tell());
  CHECK(fixture.other.AdmissionOf(kA) == DomainAdmission::kEvacuated);
  CHECK(fixture.reader.OnChange({1, 12}, kB, false));
  CHECK(fixture.reader.InForce() == DomainSet{kA, kB});
  CHECK(fixture.reader.IsBehind(fixture.other.State()));
  CHECK_FALSE(fixture.other.IsBehind(fixture.reader.State()));
  // A status that was sent before the change.
  CHECK_FALSE(fixture.reader.OnPeer(fixture.now, fixture.other.State(), {}));
  CHECK_FALSE(fixture.Read({1, 11}, {}));
  CHECK_FALSE(fixture.reader.OnChange({1, 12}, kB, true));
  CHECK(fixture.reader.InForce() == DomainSet{kA, kB});
  // Revoked, learned by a watch; the other reader learns it from a read.
  CHECK(fixture.reader.OnChange({1, 13}, kA, true));
  CHECK(fixture.other.OnRead(fixture.now, {1, 14}, {kB}, {}));
  CHECK_FALSE(fixture.Tell());
  CHECK(fixture.other.InForce() == DomainSet{kB});
  CHECK(fixture.reader.InForce() == DomainSet{kB});
  // The version alone is no reason for a message.
  CHECK_FALSE(fixture.other.IsBehind(fixture.reader.State()));
}

TEST_CASE("an evacuation that a restored store has lost ends at once") {
  EvacuationsFixture fixture;
  fixture.Read({1, 50}, {kA, kB});
  fixture.Tell();
  CHECK_FALSE(fixture.Read({2, 20}, {}));
  CHECK(fixture.reader.InForce() == DomainSet{kA, kB});
  // A change of the new era is in force at once.
  CHECK(fixture.reader.OnChange({2, 21}, kC, false));
  CHECK(fixture.Tell());
  CHECK(fixture.other.InForce() == DomainSet{kA, kB, kC});
  // A process that starts now learns of both lists, in either order.
  Evacuations started;
  started.OnRead(fixture.now, {2, 21}, {kC}, std::nullopt);
  CHECK(started.OnPeer(fixture.now, fixture.reader.State(), std::nullopt));
  CHECK(started.InForce() == DomainSet{kA, kB, kC});
  // The operators write one of them again.
  fixture.now += Milliseconds(4900);
  CHECK_FALSE(fixture.reader.OnChange({2, 22}, kA, false));
  CHECK_FALSE(fixture.Tell());
  CHECK_FALSE(fixture.reader.OnTick(fixture.now));
  fixture.now = kStart + kEvacuationRewriteTime;
  CHECK(fixture.reader.OnTick(fixture.now));
  CHECK(fixture.other.OnTick(fixture.now));
  CHECK(fixture.reader.InForce() == DomainSet{kA, kC});
  CHECK(fixture.other.InForce() == DomainSet{kA, kC});
}

TEST_CASE("a process that missed a restore brings back an old evacuation") {
  EvacuationsFixture fixture;
  fixture.Read({1, 50}, {kA});
  fixture.Tell();
  fixture.Read({2, 20}, {});
  fixture.now += kEvacuationRewriteTime;
  CHECK(fixture.reader.OnTick(fixture.now));
  CHECK_FALSE(fixture.reader.OnPeer(fixture.now, fixture.other.State(), {}));
  // It was suspended, and learns how long ago the restore was.
  CHECK(fixture.other.OnPeer(fixture.now, fixture.reader.State(), Seconds(6)));
  CHECK(fixture.other.InForce().empty());
  // A process that knows the old era only counts within the time to rewrite.
  Evacuations started;
  started.OnRead(fixture.now, {2, 20}, {}, std::nullopt);
  const EvacuationState old_era{{1, 50}, {kA}, {}};
  CHECK(started.OnPeer(fixture.now, old_era, std::nullopt));
  fixture.now += kEvacuationRewriteTime;
  CHECK(started.OnTick(fixture.now));
  CHECK_FALSE(started.OnPeer(fixture.now, old_era, std::nullopt));
}

TEST_CASE("changes of another era are applied to the list of the known one") {
  EvacuationsFixture fixture;
  CHECK_FALSE(fixture.reader.OnChange({1, 9}, kA, false));
  fixture.Read({1, 10}, {kA});
  CHECK_FALSE(fixture.reader.OnChange({2, 12}, kA, true));
  CHECK(fixture.reader.InForce() == DomainSet{kA});
}

TEST_CASE("a lost broadcast of a change is repeated within 5 s, then no more") {
  ChangeRepeats repeats;
  CHECK_FALSE(repeats.TakeDue(kStart));
  repeats.OnBroadcast(kStart);
  int count = 0;
  for (TimePoint at = kStart; at < kStart + Seconds(20);
       at += Milliseconds(100)) {
    const bool is_due = repeats.TakeDue(at);
    CHECK((!is_due || at < kStart + Seconds(5)));
    count += is_due ? 1 : 0;
  }
  CHECK(count >= 3);
  CHECK(count <= 6);
}

}  // namespace
}  // namespace medlargauge

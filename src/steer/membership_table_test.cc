// @file membership_table_test.cc Tests of members, targets' readers and
// placing.
#include <doctest/doctest.h>

#include "src/steer/membership_table.h"
#include "src/steer/placement.h"
#include "src/steer/status_schedule.h"
#include "src/steer/target_reader.h"

namespace medlargauge {
namespace {

proto::PeerStatus StatusOf(TimePoint now,
                           uint64_t id,
                           MemberRole role,
                           uint32_t sequence,
                           uint32_t checked_ms = 0) {
  SteerMember member;
  member.id = MemberId{id};
  member.role = role;
  member.ip = static_cast<uint32_t>(id);
  member.incarnation = 1;
  member.state = AgentState::kReady;
  proto::PeerStatus status;
  *status.mutable_self() = EncodeMember(now, member);
  status.set_sequence(sequence);
  status.set_checked_ms(checked_ms);
  return status;
}

TEST_CASE("members are heard, silent, lost and forgotten in turn") {
  TimePoint now{Seconds(100)};
  MembershipTable roster(MemberId{1}, MembershipTimeouts());
  CHECK(roster.OnStatus(now, StatusOf(now, 2, MemberRole::kAgent, 1)));
  const MemberEntry* entry = roster.Find(MemberId{2});
  REQUIRE(entry != nullptr);
  CHECK(roster.IsReachable(now, *entry));
  now += Milliseconds(1000);
  CHECK_FALSE(roster.IsReachable(now, *entry));
  CHECK_FALSE(roster.IsLost(now, *entry));
  now += Seconds(5);
  CHECK(roster.IsLost(now, *entry));
  CHECK(roster.OnTick(now).empty());
  CHECK(roster.Find(MemberId{2}) != nullptr);
  now += Seconds(60);
  const std::vector<SteerMember> forgotten = roster.OnTick(now);
  REQUIRE(forgotten.size() == 1);
  CHECK(forgotten[0].id == MemberId{2});
  CHECK(roster.Find(MemberId{2}) == nullptr);
}

TEST_CASE("a member that starts at another one's address takes it over") {
  const TimePoint now{Seconds(100)};
  MembershipTable roster(MemberId{1}, MembershipTimeouts());
  const auto status = [now](uint64_t id, uint64_t incarnation) {
    proto::PeerStatus message = StatusOf(now, id, MemberRole::kAgent, 1);
    message.mutable_self()->set_ip(7);
    message.mutable_self()->set_incarnation(incarnation);
    return message;
  };
  roster.OnStatus(now, status(2, 10));
  CHECK(roster.OnStatus(now, status(3, 20)));
  CHECK(roster.Find(MemberId{2}) == nullptr);
  CHECK(roster.FindByAddress(7, MemberRole::kAgent) ==
        roster.Find(MemberId{3}));
  // News of the earlier one, direct or not, is late.
  CHECK_FALSE(roster.OnStatus(now, status(2, 10)));
  roster.Learn(now, DecodeMember(now, status(2, 10).self()));
  CHECK(roster.Find(MemberId{2}) == nullptr);
  CHECK(roster.FindByAddress(7, MemberRole::kAgent)->member.id == MemberId{3});
  CHECK(roster.FindByAddress(7, MemberRole::kBalancer) == nullptr);
  // A member that moves leaves its address to others.
  proto::PeerStatus moved = status(3, 30);
  moved.mutable_self()->set_ip(8);
  roster.OnStatus(now, moved);
  CHECK(roster.FindByAddress(7, MemberRole::kAgent) == nullptr);
  roster.OnStatus(now, status(4, 5));
  CHECK(roster.FindByAddress(8, MemberRole::kAgent)->member.id == MemberId{3});
  CHECK(roster.FindByAddress(7, MemberRole::kAgent)->member.id == MemberId{4});
}

TEST_CASE("a newcomer is told of those it will speak to") {
  const TimePoint now{Seconds(100)};
  MembershipTable roster(MemberId{1}, MembershipTimeouts());
  roster.OnStatus(now, StatusOf(now, 2, MemberRole::kAgent, 1));
  roster.OnStatus(now, StatusOf(now, 3, MemberRole::kBalancer, 1));
  roster.Learn(
      now,
      DecodeMember(now, StatusOf(now, 4, MemberRole::kBalancer, 1).self()));
  CHECK(roster.KnownPeersFor(now, MemberRole::kBalancer).size() == 2);
  const auto for_agent = roster.KnownPeersFor(now, MemberRole::kAgent);
  REQUIRE(for_agent.size() == 1);
  CHECK(for_agent[0]->id == MemberId{3});
  CHECK(roster.KnownPeersFor(now + Seconds(20), MemberRole::kBalancer).empty());
}

TEST_CASE("members that start together do not speak together") {
  for (const size_t members : {9, 82, 300}) {
    std::vector<StatusSchedule> paces;
    for (uint64_t id = 0; id < members; ++id) {
      paces.emplace_back(MemberRole::kAgent, Milliseconds(100),
                         MixHash(77, id));
    }
    const TimePoint start{Seconds(100)};
    const Duration interval = StatusInterval(MemberRole::kAgent, members);
    TimePoint last = start;
    Duration longest{};
    uint64_t sent = 0;
    for (TimePoint now = start; now < start + 20 * interval;
         now += Milliseconds(100)) {
      for (StatusSchedule& pace : paces) {
        if (pace.IsDue(now)) {
          // All are met after the first status only.
          pace.OnSent(now, now == start ? 0 : members);
          longest = now - start > 3 * interval ? std::max(longest, now - last)
                                               : Duration();
          last = now;
          ++sent;
        }
      }
    }
    CAPTURE(members);
    CHECK(longest <= Milliseconds(300));  // Balancers leave after 350 ms.
    // One an interval, which half a tick shortens, and two at the start.
    CHECK(sent <=
          (20 * interval / (interval - Milliseconds(50)) + 3) * members);
    CHECK(sent >= 17 * members);
  }
}

TEST_CASE("in a large fleet a member between two statuses is not silent") {
  TimePoint now{Seconds(100)};
  MembershipTable roster(MemberId{1}, MembershipTimeouts());
  const Duration interval = StatusInterval(MemberRole::kAgent, 1800);
  proto::PeerStatus rare = StatusOf(now, 2, MemberRole::kAgent, 1);
  rare.set_members(1800);
  roster.OnStatus(now, rare);
  uint32_t sequence = 1;
  for (const TimePoint end = now + 2 * interval; now < end;
       now += Milliseconds(100)) {
    roster.OnStatus(now, StatusOf(now, 3, MemberRole::kAgent, ++sequence));
    const MemberEntry& entry = *roster.Find(MemberId{2});
    CHECK(roster.IsReachable(now, entry));
    CHECK_FALSE(roster.IsMute(now, entry));
    CHECK_FALSE(roster.IsLost(now, entry));
  }
  CHECK_FALSE(roster.IsReachable(now + interval, *roster.Find(MemberId{2})));
  // Balancers count for themselves, agents are told.
  proto::PeerStatus balancer = StatusOf(now, 5, MemberRole::kBalancer, 1);
  balancer.set_members(700);
  roster.OnStatus(now, balancer);
  CHECK(roster.FleetSize(MemberRole::kAgent) == 700);
  CHECK(roster.FleetSize(MemberRole::kBalancer) == 3);
}

TEST_CASE("nobody is lost right after this host was cut off") {
  TimePoint now{Seconds(100)};
  MembershipTable roster(MemberId{1}, MembershipTimeouts());
  roster.OnStatus(now, StatusOf(now, 2, MemberRole::kAgent, 1));
  roster.OnStatus(now, StatusOf(now, 3, MemberRole::kAgent, 1));
  now += Seconds(8);  // Nobody is heard.
  roster.OnStatus(now, StatusOf(now, 3, MemberRole::kAgent, 2));
  CHECK_FALSE(roster.IsLost(now, *roster.Find(MemberId{2})));
  for (uint32_t i = 3; i < 12; ++i) {
    now += Milliseconds(600);
    roster.OnStatus(now, StatusOf(now, 3, MemberRole::kAgent, i));
  }
  CHECK(roster.IsLost(now, *roster.Find(MemberId{2})));
}

TEST_CASE("an overtaken status changes nothing but proves life") {
  TimePoint now{Seconds(100)};
  MembershipTable roster(MemberId{1}, MembershipTimeouts());
  roster.OnStatus(now, StatusOf(now, 2, MemberRole::kAgent, 5));
  proto::PeerStatus old = StatusOf(now, 2, MemberRole::kAgent, 4);
  old.mutable_self()->set_state(static_cast<uint32_t>(AgentState::kGone));
  roster.OnStatus(now, old);
  CHECK(roster.Find(MemberId{2})->member.state == AgentState::kReady);
}

TEST_CASE("hearsay adds members but does not change known ones") {
  const TimePoint now{Seconds(100)};
  MembershipTable roster(MemberId{1}, MembershipTimeouts());
  SteerMember member;
  member.id = MemberId{2};
  member.ip = 9;
  roster.Learn(now, member);
  CHECK_FALSE(roster.IsReachable(now, *roster.Find(MemberId{2})));
  roster.OnStatus(now, StatusOf(now, 2, MemberRole::kAgent, 1));
  roster.Learn(now, member);
  CHECK(roster.Find(MemberId{2})->member.ip == 2);
  member.id = MemberId{1};
  roster.Learn(now, member);
  CHECK(roster.Entries().size() == 1);
}

TEST_CASE("malformed members are left out") {
  const TimePoint now{Seconds(100)};
  MembershipTable roster(MemberId{1}, MembershipTimeouts());
  proto::PeerStatus status = StatusOf(now, 2, MemberRole::kAgent, 1);
  status.mutable_self()->set_role(9);
  CHECK_FALSE(roster.OnStatus(now, status));
  status = StatusOf(now, 2, MemberRole::kAgent, 1);
  status.mutable_self()->set_state(99);
  CHECK_FALSE(roster.OnStatus(now, status));
  status = StatusOf(now, 2, MemberRole::kAgent, 1);
  status.mutable_self()->set_ip(0);
  CHECK_FALSE(roster.OnStatus(now, status));
  CHECK(roster.Entries().empty());
}

/// Members of a fleet of balancers, of which three read the store.
struct ReaderBed {
  TimePoint now{Seconds(100)};
  MembershipTable roster{MemberId{1}, MembershipTimeouts()};
  TargetReader reader{now, 1, TargetReaderLimits()};
  uint32_t sequence = 0;

  /// Returns an id that is not chosen among the reading ones, as seen by it.
  MemberId Outsider() {
    const std::vector<MemberId> all{MemberId{1}, MemberId{2}, MemberId{3},
                                    MemberId{4}, MemberId{5}, MemberId{6}};
    for (const MemberId id : all) {
      MembershipTable others(id, MembershipTimeouts());
      for (const MemberId other : all) {
        others.OnStatus(
            now, StatusOf(now, other.value, MemberRole::kBalancer, 1, 1));
      }
      TargetReader probe(now, 1, TargetReaderLimits());
      if (probe.Next(now, id, others, 5) == ReadAction::kNothing) {
        return id;
      }
    }
    return MemberId();
  }
};

TEST_CASE("most balancers leave the store to the chosen readers") {
  ReaderBed bed;
  const MemberId self = bed.Outsider();
  REQUIRE(self.IsSet());
  MembershipTable roster(self, MembershipTimeouts());
  const auto hear = [&](uint32_t checked_ms) {
    for (uint64_t id = 1; id <= 6; ++id) {
      roster.OnStatus(bed.now, StatusOf(bed.now, id, MemberRole::kBalancer,
                                        ++bed.sequence, checked_ms));
    }
  };
  TargetReader reader(bed.now, 1, TargetReaderLimits());
  hear(1);
  CHECK(reader.Next(bed.now, self, roster, 5) == ReadAction::kNothing);
  // The readers have lost the store: everybody reads.
  hear(0);
  bed.now += Milliseconds(10);
  CHECK(reader.Next(bed.now, self, roster, 5) == ReadAction::kRead);
}

TEST_CASE("a reader reads first, then watches, and reads after any gap") {
  ReaderBed bed;
  const auto next = [&] {
    return bed.reader.Next(bed.now, MemberId{1}, bed.roster, 5);
  };
  CHECK(next() == ReadAction::kRead);
  CHECK(next() == ReadAction::kNothing);
  bed.reader.OnRead(bed.now, StoreResult::kOk, 40);
  CHECK(next() == ReadAction::kWatch);
  bed.reader.OnWatch(bed.now, StoreResult::kOk, 44);
  CHECK(bed.reader.Position() == 44);
  CHECK(next() == ReadAction::kWatch);
  bed.reader.OnWatch(bed.now, StoreResult::kCompacted, 0);
  CHECK(next() == ReadAction::kRead);
  bed.reader.OnRead(bed.now, StoreResult::kOk, 50);
  CHECK(next() == ReadAction::kWatch);
  bed.reader.OnWatch(bed.now, StoreResult::kNoAnswer, 0);
  CHECK(bed.reader.LastStoreContact() == TimePoint());
  CHECK(next() == ReadAction::kNothing);  // Backs off.
  bed.now += Seconds(2);
  CHECK(next() == ReadAction::kRead);
  bed.reader.OnRead(bed.now, StoreResult::kOk, 51);
  bed.reader.OnSuspended();
  CHECK(next() == ReadAction::kRead);
}

TEST_CASE("a failing store is asked ever less often, out of step") {
  std::vector<Duration> first_waits;
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    TimePoint now{Seconds(100)};
    const MembershipTable roster(MemberId{1}, MembershipTimeouts());
    TargetReader reader(now, seed, TargetReaderLimits());
    const TimePoint start = now;
    uint32_t calls = 0;
    while (now - start < Seconds(10)) {
      if (reader.Next(now, MemberId{1}, roster, 0) != ReadAction::kNothing) {
        reader.OnRead(now, StoreResult::kRefused, 0);
        ++calls;
        if (calls == 2) {
          first_waits.push_back(now - start);
        }
      }
      now += Milliseconds(1);
    }
    CHECK(calls <= 20);
    CHECK(calls >= 7);
  }
  std::sort(first_waits.begin(), first_waits.end());
  CHECK(first_waits.front() != first_waits.back());
}

TEST_CASE("the expected answer grows with the queue, the cold and the work") {
  const TimePoint now{Seconds(100)};
  ServerLoad load;
  load.slots = 5;
  load.service_us = 40000;
  CHECK(ExpectedAnswerUs(now, load, 0) == 40000);
  load.active = 5;
  CHECK(ExpectedAnswerUs(now, load, 0) == 48000);
  CHECK(ExpectedAnswerUs(now, load, 5) == 88000);
  load.warmup_ends_at = now + Seconds(1);
  CHECK(ExpectedAnswerUs(now, load, 0) == 76800);
}

TEST_CASE("equal servers share new flows, a slower one gets fewer") {
  const TimePoint now{Seconds(100)};
  std::vector<PlacementCandidate> candidates(3);
  for (size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].id = MemberId{i + 1};
    candidates[i].load.slots = 5;
    candidates[i].load.service_us = 40000;
  }
  std::vector<int> counts(3);
  for (uint64_t flow = 0; flow < 3000; ++flow) {
    ++counts[*PlaceByResponseTime(now, MixHash(flow, 7), candidates)];
  }
  for (const int count : counts) {
    CHECK(count == doctest::Approx(1000).epsilon(0.15));
  }
  candidates[0].load.service_us = 200000;
  for (uint64_t flow = 0; flow < 100; ++flow) {
    CHECK(*PlaceByResponseTime(now, MixHash(flow, 7), candidates) != 0);
  }
  CHECK_FALSE(PlaceByResponseTime(now, 1, {}).has_value());
}

TEST_CASE(
    "a sample of servers is the same for copies, and certain ones first") {
  const TimePoint now{Seconds(100)};
  std::vector<PlacementCandidate> candidates(20);
  for (size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].id = MemberId{i + 1};
    candidates[i].load.slots = 2;
    candidates[i].load.service_us = 40000;
    candidates[i].certain = i < 2;
  }
  std::vector<int> counts(candidates.size());
  for (uint64_t flow = 0; flow < 500; ++flow) {
    const uint64_t hash = MixHash(flow, 3);
    const size_t chosen = *PlaceBySample(now, hash, candidates);
    CHECK(chosen == *PlaceBySample(now, hash, candidates));
    CHECK(chosen < 2);
  }
  for (PlacementCandidate& candidate : candidates) {
    candidate.certain = true;
  }
  candidates[4].load.active = 9;
  for (uint64_t flow = 0; flow < 4000; ++flow) {
    ++counts[*PlaceBySample(now, MixHash(flow, 3), candidates)];
  }
  // One idle server does not draw everything, a busy one gets nothing.
  CHECK(counts[4] == 0);
  for (size_t i = 0; i < counts.size(); ++i) {
    CHECK(counts[i] < 400);
  }
  CHECK_FALSE(PlaceBySample(now, 1, {}).has_value());
}

TEST_CASE("a store that forgets its history is not asked in a circle") {
  TimePoint now{Seconds(100)};
  MembershipTable roster(MemberId{1}, MembershipTimeouts());
  TargetReader reader(now, 7, TargetReaderLimits());
  uint32_t calls = 0;
  for (const TimePoint end = now + Seconds(10); now < end;
       now += Milliseconds(5)) {
    const ReadAction action = reader.Next(now, MemberId{1}, roster, 1);
    calls += action == ReadAction::kNothing ? 0 : 1;
    if (action == ReadAction::kRead) {
      reader.OnRead(now, StoreResult::kOk, 50);
    } else if (action == ReadAction::kWatch) {
      reader.OnWatch(now, StoreResult::kCompacted, 0);
    }
  }
  CHECK(calls >= 10);  // Targets stay in force within their bound.
  CHECK(calls <= 40);
  reader.OnWatch(now, StoreResult::kOk, 60);
  CHECK(reader.Next(now + Seconds(2), MemberId{1}, roster, 1) !=
        ReadAction::kNothing);
}

}  // namespace
}  // namespace medlargauge

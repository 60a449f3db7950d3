// @file membership_table_test.cc Tests of membership, target reading and
// placement.
#include <doctest/doctest.h>

#include "src/forwarding/membership_table.h"
#include "src/forwarding/placement.h"
#include "src/forwarding/status_schedule.h"
#include "src/forwarding/target_reader.h"

namespace medlargauge {
namespace {

proto::PeerStatus MakeStatus(TimePoint now,
                             uint64_t id,
                             MemberRole role,
                             uint32_t sequence,
                             uint32_t checked_ms = 0) {
  FleetMember member;
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

TEST_CASE("a silent member is unreachable, then presumed dead, then removed") {
  TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  CHECK(members.OnStatus(now, MakeStatus(now, 2, MemberRole::kAgent, 1)));
  const MemberEntry* entry = members.Find(MemberId{2});
  REQUIRE(entry != nullptr);
  CHECK(members.IsReachable(now, *entry));
  now += Milliseconds(1000);
  CHECK_FALSE(members.IsReachable(now, *entry));
  CHECK_FALSE(members.IsPresumedDead(now, *entry));
  now += Seconds(5);
  CHECK(members.IsPresumedDead(now, *entry));
  CHECK(members.OnTick(now).empty());
  CHECK(members.Find(MemberId{2}) != nullptr);
  now += Seconds(60);
  const std::vector<FleetMember> removed = members.OnTick(now);
  REQUIRE(removed.size() == 1);
  CHECK(removed[0].id == MemberId{2});
  CHECK(members.Find(MemberId{2}) == nullptr);
}

TEST_CASE("a member that starts at the address of another one replaces it") {
  const TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  const auto status = [now](uint64_t id, uint64_t incarnation) {
    proto::PeerStatus message = MakeStatus(now, id, MemberRole::kAgent, 1);
    message.mutable_self()->set_ip(7);
    message.mutable_self()->set_incarnation(incarnation);
    return message;
  };
  members.OnStatus(now, status(2, 10));
  CHECK(members.OnStatus(now, status(3, 20)));
  CHECK(members.Find(MemberId{2}) == nullptr);
  CHECK(members.FindByAddress(7, MemberRole::kAgent) ==
        members.Find(MemberId{3}));
  // Messages of or about the replaced member are outdated.
  CHECK_FALSE(members.OnStatus(now, status(2, 10)));
  members.Learn(now, DecodeMember(now, status(2, 10).self()));
  CHECK(members.Find(MemberId{2}) == nullptr);
  CHECK(members.FindByAddress(7, MemberRole::kAgent)->member.id == MemberId{3});
  CHECK(members.FindByAddress(7, MemberRole::kBalancer) == nullptr);
  // A member that changes its address releases the old one.
  proto::PeerStatus moved = status(3, 30);
  moved.mutable_self()->set_ip(8);
  members.OnStatus(now, moved);
  CHECK(members.FindByAddress(7, MemberRole::kAgent) == nullptr);
  members.OnStatus(now, status(4, 5));
  CHECK(members.FindByAddress(8, MemberRole::kAgent)->member.id == MemberId{3});
  CHECK(members.FindByAddress(7, MemberRole::kAgent)->member.id == MemberId{4});
}

TEST_CASE("a joining member is told of the members that it will talk to") {
  const TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  members.OnStatus(now, MakeStatus(now, 2, MemberRole::kAgent, 1));
  members.OnStatus(now, MakeStatus(now, 3, MemberRole::kBalancer, 1));
  members.Learn(
      now,
      DecodeMember(now, MakeStatus(now, 4, MemberRole::kBalancer, 1).self()));
  CHECK(members.KnownPeersFor(now, MemberRole::kBalancer).size() == 2);
  const auto for_agent = members.KnownPeersFor(now, MemberRole::kAgent);
  REQUIRE(for_agent.size() == 1);
  CHECK(for_agent[0]->id == MemberId{3});
  CHECK(
      members.KnownPeersFor(now + Seconds(20), MemberRole::kBalancer).empty());
}

TEST_CASE("members that start together do not send their statuses in step") {
  for (const size_t member_count : {9, 82, 300}) {
    std::vector<StatusSchedule> schedules;
    for (uint64_t id = 0; id < member_count; ++id) {
      schedules.emplace_back(MemberRole::kAgent, Milliseconds(100),
                             MixHash(77, id));
    }
    const TimePoint start{Seconds(100)};
    const Duration interval = StatusInterval(MemberRole::kAgent, member_count);
    TimePoint last = start;
    Duration longest_gap{};
    uint64_t sent = 0;
    for (TimePoint now = start; now < start + 20 * interval;
         now += Milliseconds(100)) {
      for (StatusSchedule& schedule : schedules) {
        if (schedule.IsDue(now)) {
          // The other members are discovered after the first status.
          schedule.OnSent(now, now == start ? 0 : member_count);
          longest_gap = now - start > 3 * interval
                            ? std::max(longest_gap, now - last)
                            : Duration();
          last = now;
          ++sent;
        }
      }
    }
    CAPTURE(member_count);
    // Below the isolation timeout of balancers, which is 350 ms.
    CHECK(longest_gap <= Milliseconds(300));
    // One status per interval, which half a tick shortens, and two extra ones
    // at the start.
    CHECK(sent <=
          (20 * interval / (interval - Milliseconds(50)) + 3) * member_count);
    CHECK(sent >= 17 * member_count);
  }
}

TEST_CASE("in a large fleet a member stays reachable between two statuses") {
  TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  const Duration interval = StatusInterval(MemberRole::kAgent, 1800);
  proto::PeerStatus large_fleet_status =
      MakeStatus(now, 2, MemberRole::kAgent, 1);
  large_fleet_status.set_members(1800);
  members.OnStatus(now, large_fleet_status);
  uint32_t sequence = 1;
  for (const TimePoint end = now + 2 * interval; now < end;
       now += Milliseconds(100)) {
    members.OnStatus(now, MakeStatus(now, 3, MemberRole::kAgent, ++sequence));
    const MemberEntry& entry = *members.Find(MemberId{2});
    CHECK(members.IsReachable(now, entry));
    CHECK_FALSE(members.IsSuspected(now, entry));
    CHECK_FALSE(members.IsPresumedDead(now, entry));
  }
  CHECK_FALSE(members.IsReachable(now + interval, *members.Find(MemberId{2})));
  // Agents use the count of a balancer; balancers count their own entries.
  proto::PeerStatus balancer = MakeStatus(now, 5, MemberRole::kBalancer, 1);
  balancer.set_members(700);
  members.OnStatus(now, balancer);
  CHECK(members.FleetSize(MemberRole::kAgent) == 700);
  CHECK(members.FleetSize(MemberRole::kBalancer) == 3);
}

TEST_CASE("no member is presumed dead right after this host was disconnected") {
  TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  members.OnStatus(now, MakeStatus(now, 2, MemberRole::kAgent, 1));
  members.OnStatus(now, MakeStatus(now, 3, MemberRole::kAgent, 1));
  now += Seconds(8);  // No member is heard.
  members.OnStatus(now, MakeStatus(now, 3, MemberRole::kAgent, 2));
  CHECK_FALSE(members.IsPresumedDead(now, *members.Find(MemberId{2})));
  for (uint32_t i = 3; i < 12; ++i) {
    now += Milliseconds(600);
    members.OnStatus(now, MakeStatus(now, 3, MemberRole::kAgent, i));
  }
  CHECK(members.IsPresumedDead(now, *members.Find(MemberId{2})));
}

/// A table that hears member 3 all the time, while agent 2 is silent.
struct SilentAgentFixture {
  TimePoint now{Seconds(100)};
  MembershipTable members{MemberId{1}, MembershipTimeouts()};
  uint32_t sequence = 1;

  SilentAgentFixture() {
    members.OnStatus(now, MakeStatus(now, 2, MemberRole::kAgent, 1));
  }
  /// Lets time pass. @param outcome of each probe that is due
  void RunFor(Duration duration, ProbeOutcome outcome) {
    for (const TimePoint end = now + duration; now < end;) {
      now += Milliseconds(100);
      members.OnStatus(now,
                       MakeStatus(now, 3, MemberRole::kBalancer, ++sequence));
      for (const MemberId id : members.TakeDueProbes(now, 4)) {
        members.OnProbe(now, id, outcome);
      }
    }
  }
  const MemberEntry& Agent() const { return *members.Find(MemberId{2}); }
  bool IsSuspected() const { return members.IsSuspected(now, Agent()); }
  bool IsPresumedDead() const { return members.IsPresumedDead(now, Agent()); }
};

TEST_CASE("a starved agent is not given up while its host accepts probes") {
  SilentAgentFixture fixture;
  fixture.RunFor(Seconds(20), ProbeOutcome::kAccepted);
  CHECK_FALSE(fixture.members.IsReachable(fixture.now, fixture.Agent()));
  CHECK_FALSE(fixture.IsSuspected());
  CHECK_FALSE(fixture.IsPresumedDead());
  fixture.RunFor(Milliseconds(2100), ProbeOutcome::kNoAnswer);
  CHECK(fixture.IsSuspected());
  CHECK_FALSE(fixture.IsPresumedDead());
  fixture.RunFor(Seconds(4), ProbeOutcome::kNoAnswer);
  CHECK(fixture.IsPresumedDead());
}

TEST_CASE("an agent that is suspended for good is removed despite probes") {
  SilentAgentFixture fixture;
  fixture.RunFor(MembershipTimeouts().removal, ProbeOutcome::kAccepted);
  CHECK(fixture.members.OnTick(fixture.now).empty());
  fixture.RunFor(Milliseconds(100), ProbeOutcome::kAccepted);
  CHECK(fixture.members.OnTick(fixture.now).size() == 1);
  CHECK(fixture.members.Find(MemberId{2}) == nullptr);
}

TEST_CASE("refused and unanswered probes delay no verdict about an agent") {
  for (const ProbeOutcome outcome :
       {ProbeOutcome::kRefused, ProbeOutcome::kNoAnswer}) {
    SilentAgentFixture fixture;
    fixture.RunFor(Milliseconds(1800), outcome);
    CHECK_FALSE(fixture.IsSuspected());
    fixture.RunFor(Milliseconds(100), outcome);
    CHECK(fixture.IsSuspected());
    fixture.RunFor(Milliseconds(3100), outcome);
    CHECK_FALSE(fixture.IsPresumedDead());
    fixture.RunFor(Milliseconds(100), outcome);
    CHECK(fixture.IsPresumedDead());
  }
}

TEST_CASE("silence does not count before the first probe has ended") {
  SilentAgentFixture fixture;
  for (int i = 0; i < 70; ++i) {
    fixture.now += Milliseconds(100);
    fixture.members.OnStatus(
        fixture.now, MakeStatus(fixture.now, 3, MemberRole::kBalancer, 2 + i));
    fixture.members.TakeDueProbes(fixture.now, 0);
  }
  CHECK_FALSE(fixture.IsSuspected());
  CHECK_FALSE(fixture.IsPresumedDead());
  fixture.members.OnProbe(fixture.now, MemberId{2}, ProbeOutcome::kNoAnswer);
  CHECK(fixture.IsSuspected());
  CHECK(fixture.IsPresumedDead());
}

TEST_CASE("one lost probe does not make a starved agent suspected") {
  SilentAgentFixture fixture;
  fixture.RunFor(Milliseconds(900), ProbeOutcome::kAccepted);
  fixture.now += Milliseconds(100);
  REQUIRE(fixture.members.TakeDueProbes(fixture.now, 4).size() == 1);
  fixture.now += Milliseconds(400);
  CHECK(fixture.members.OnProbe(fixture.now, MemberId{2},
                                ProbeOutcome::kNoAnswer));
  fixture.RunFor(Seconds(1), ProbeOutcome::kAccepted);
  CHECK_FALSE(fixture.IsSuspected());
}

TEST_CASE("an outcome that is older than the last status says nothing") {
  SilentAgentFixture fixture;
  fixture.RunFor(Seconds(1), ProbeOutcome::kRefused);
  fixture.members.OnStatus(fixture.now,
                           MakeStatus(fixture.now, 2, MemberRole::kAgent, 2));
  CHECK_FALSE(fixture.members.OnProbe(fixture.now, MemberId{2},
                                      ProbeOutcome::kNoAnswer));
  CHECK_FALSE(fixture.Agent().probe.outcome.has_value());
}

TEST_CASE("probes of many silent agents take turns") {
  TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  for (uint64_t id = 2; id < 8; ++id) {
    members.OnStatus(now, MakeStatus(now, id, MemberRole::kAgent, 1));
  }
  proto::PeerStatus stopped = MakeStatus(now, 8, MemberRole::kAgent, 1);
  stopped.mutable_self()->set_state(static_cast<uint32_t>(AgentState::kGone));
  members.OnStatus(now, stopped);
  members.OnStatus(now, MakeStatus(now, 9, MemberRole::kBalancer, 1));
  now += Milliseconds(900);
  CHECK(members.TakeDueProbes(now, 4).empty());
  now += Milliseconds(100);
  const std::vector<MemberId> first = members.TakeDueProbes(now, 4);
  const std::vector<MemberId> second = members.TakeDueProbes(now, 4);
  CHECK(first == std::vector<MemberId>{{2}, {3}, {4}, {5}});
  CHECK(second == std::vector<MemberId>{{6}, {7}});
  CHECK(members.TakeDueProbes(now + Milliseconds(900), 4).empty());
  CHECK(members.TakeDueProbes(now + Seconds(1), 4).size() == 4);
}

TEST_CASE("a reordered status does not change the state of the member") {
  TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  members.OnStatus(now, MakeStatus(now, 2, MemberRole::kAgent, 5));
  proto::PeerStatus reordered = MakeStatus(now, 2, MemberRole::kAgent, 4);
  reordered.mutable_self()->set_state(static_cast<uint32_t>(AgentState::kGone));
  members.OnStatus(now, reordered);
  CHECK(members.Find(MemberId{2})->member.state == AgentState::kReady);
}

TEST_CASE("a mention by a peer adds members but does not change known ones") {
  const TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  FleetMember member;
  member.id = MemberId{2};
  member.ip = 9;
  members.Learn(now, member);
  CHECK_FALSE(members.IsReachable(now, *members.Find(MemberId{2})));
  members.OnStatus(now, MakeStatus(now, 2, MemberRole::kAgent, 1));
  members.Learn(now, member);
  CHECK(members.Find(MemberId{2})->member.ip == 2);
  member.id = MemberId{1};
  members.Learn(now, member);
  CHECK(members.Entries().size() == 1);
}

TEST_CASE("malformed members are ignored") {
  const TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  proto::PeerStatus status = MakeStatus(now, 2, MemberRole::kAgent, 1);
  status.mutable_self()->set_role(9);
  CHECK_FALSE(members.OnStatus(now, status));
  status = MakeStatus(now, 2, MemberRole::kAgent, 1);
  status.mutable_self()->set_state(99);
  CHECK_FALSE(members.OnStatus(now, status));
  status = MakeStatus(now, 2, MemberRole::kAgent, 1);
  status.mutable_self()->set_ip(0);
  CHECK_FALSE(members.OnStatus(now, status));
  CHECK(members.Entries().empty());
}

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
      if (probe.Next(now, id, others, 5) == ReadAction::kNothing) {
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
  CHECK(reader.Next(fixture.now, self, members, 5) == ReadAction::kNothing);
  // The readers cannot reach the store: all balancers read.
  receive_statuses(0);
  fixture.now += Milliseconds(10);
  CHECK(reader.Next(fixture.now, self, members, 5) == ReadAction::kRead);
}

TEST_CASE("a reader reads first, then watches, and reads again after any gap") {
  ReaderFixture fixture;
  const auto next = [&] {
    return fixture.reader.Next(fixture.now, MemberId{1}, fixture.members, 5);
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
  CHECK(fixture.reader.LastStoreContact() == TimePoint());
  CHECK(next() == ReadAction::kNothing);  // Backing off.
  fixture.now += Seconds(2);
  CHECK(next() == ReadAction::kRead);
  fixture.reader.OnRead(fixture.now, StoreResult::kOk, 51);
  fixture.reader.OnSuspended();
  CHECK(next() == ReadAction::kRead);
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
  CHECK(reader.Next(fixture.now, self, members, 5) == ReadAction::kNothing);
  reader.OnEraKnown();
  receive_statuses(4);
  CHECK(reader.Next(fixture.now, self, members, 5) == ReadAction::kNothing);
  receive_statuses(0);
  CHECK(reader.Next(fixture.now, self, members, 5) == ReadAction::kRead);
}

TEST_CASE("a reader does not watch across a restore of the store") {
  ReaderFixture fixture;
  const auto next = [&] {
    return fixture.reader.Next(fixture.now, MemberId{1}, fixture.members, 5);
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

TEST_CASE("withdrawn registrations do not count until they are listed again") {
  const TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  FleetMember agent;
  agent.id = MemberId{11};
  agent.role = MemberRole::kAgent;
  agent.ip = 7;
  proto::PeerStatus status;
  *status.mutable_self() = EncodeMember(now, agent);
  members.OnStatus(now, status);
  CHECK(members.SetRegisteredAgents(now, {7}));
  CHECK(members.HasHeardRegisteredAgents(now));
  members.WithdrawRegisteredAgents();
  CHECK_FALSE(members.HasHeardRegisteredAgents(now));
  CHECK(members.SetRegisteredAgents(now, {7, 8}));
  CHECK_FALSE(members.HasHeardRegisteredAgents(now));
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
      if (reader.Next(now, MemberId{1}, members, 0) != ReadAction::kNothing) {
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

TEST_CASE("registered agents are unheard until each has sent a status") {
  const TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  const auto hear = [&](uint64_t id, uint32_t ip) {
    FleetMember member;
    member.id = MemberId{id};
    member.role = MemberRole::kAgent;
    member.ip = ip;
    member.incarnation = 1;
    proto::PeerStatus status;
    *status.mutable_self() = EncodeMember(now, member);
    status.set_sequence(1);
    members.OnStatus(now, status);
  };
  hear(11, 101);
  CHECK_FALSE(members.HasHeardRegisteredAgents(now));  // The list is missing.
  CHECK(members.SetRegisteredAgents(now, {101, 102}));
  CHECK(members.UnheardRegisteredAgents() == std::set<uint32_t>{102});
  CHECK_FALSE(members.HasHeardRegisteredAgents(now));
  FleetMember mentioned;
  mentioned.id = MemberId{12};
  mentioned.role = MemberRole::kAgent;
  mentioned.ip = 102;
  members.Learn(now, mentioned);
  CHECK_FALSE(members.HasHeardRegisteredAgents(now));
  hear(12, 102);
  CHECK(members.HasHeardRegisteredAgents(now));
}

TEST_CASE("a list of agents that lacks a heard one is not taken for complete") {
  const TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  CHECK_FALSE(members.SetRegisteredAgents(now, {}));
  CHECK_FALSE(members.HasHeardRegisteredAgents(now));
  FleetMember member;
  member.id = MemberId{11};
  member.role = MemberRole::kAgent;
  member.ip = 101;
  member.incarnation = 1;
  proto::PeerStatus status;
  *status.mutable_self() = EncodeMember(now, member);
  status.set_sequence(1);
  members.OnStatus(now, status);
  CHECK_FALSE(members.SetRegisteredAgents(now, {102}));
  CHECK(members.UnlistedAgents(now) == std::vector<uint32_t>{101});
  CHECK_FALSE(members.HasMetFleet());
  CHECK(members.SetRegisteredAgents(now, {101}));
  CHECK(members.HasMetFleet());
}

/// A table that hears agents at addresses equal to their ids.
struct ListFixture {
  TimePoint now{Seconds(100)};
  MembershipTable members{MemberId{1}, MembershipTimeouts()};
  uint32_t sequence = 0;

  void Hear(uint64_t id) {
    FleetMember member;
    member.id = MemberId{id};
    member.role = MemberRole::kAgent;
    member.ip = static_cast<uint32_t>(id);
    member.incarnation = 1;
    proto::PeerStatus status;
    *status.mutable_self() = EncodeMember(now, member);
    status.set_sequence(++sequence);
    members.OnStatus(now, status);
  }
};

TEST_CASE(
    "all agents of a large fleet are probed just after they are mentioned") {
  ListFixture fixture;
  for (uint64_t id = 2; id < 1402; ++id) {
    FleetMember member;
    member.id = MemberId{id};
    member.role = MemberRole::kAgent;
    member.ip = static_cast<uint32_t>(id);
    fixture.members.Learn(fixture.now, member);
  }
  fixture.now += Seconds(1);
  CHECK(fixture.members.TakeDueProbes(fixture.now, 2000).empty());
  // An agent of such a fleet sends a status in less than 9 s.
  fixture.now += Seconds(20);
  CHECK(fixture.members.TakeDueProbes(fixture.now, 2000).size() == 1400);
}

TEST_CASE("an incomplete list keeps a dead agent missing for ever") {
  ListFixture fixture;
  for (int i = 0; i < 4; ++i) {
    fixture.Hear(12);
    fixture.Hear(13);
    CHECK_FALSE(fixture.members.SetRegisteredAgents(fixture.now, {12, 99}));
    fixture.now += Seconds(3);
  }
  CHECK_FALSE(fixture.members.IsRegisteredAgentMissing(fixture.now));
  fixture.Hear(12);
  fixture.Hear(13);
  CHECK(fixture.members.SetRegisteredAgents(fixture.now, {12, 13}));
  CHECK(fixture.members.HasHeardRegisteredAgents(fixture.now));
}

TEST_CASE("registered agents that were removed count as heard") {
  ListFixture fixture;
  fixture.Hear(11);
  fixture.Hear(12);
  CHECK(fixture.members.SetRegisteredAgents(fixture.now, {11, 12}));
  fixture.now += Seconds(61);
  CHECK(fixture.members.OnTick(fixture.now).size() == 2);
  fixture.Hear(11);
  CHECK_FALSE(fixture.members.HasHeardRegisteredAgents(fixture.now));
  fixture.Hear(12);
  CHECK(fixture.members.HasHeardRegisteredAgents(fixture.now));
}

TEST_CASE(
    "the expected response time grows with queue, warm-up and service time") {
  const TimePoint now{Seconds(100)};
  ServerLoad load;
  load.slots = 5;
  load.service_us = 40000;
  CHECK(ExpectedResponseTimeUs(now, load, 0) == 40000);
  load.active = 5;
  CHECK(ExpectedResponseTimeUs(now, load, 0) == 48000);
  CHECK(ExpectedResponseTimeUs(now, load, 5) == 88000);
  // A measured time includes the warm-up; without one, a default is adjusted.
  load.warmup_ends_at = now + Seconds(1);
  CHECK(ExpectedResponseTimeUs(now, load, 0) == 48000);
  load.service_us = 0;
  const uint64_t warming = ExpectedResponseTimeUs(now, load, 0);
  load.warmup_ends_at = now;
  CHECK(warming * 10 == ExpectedResponseTimeUs(now, load, 0) * 16);
}

TEST_CASE("equal servers share new flows evenly, a much slower one gets none") {
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
    "a retransmission gets the same sample, responsive servers go first") {
  const TimePoint now{Seconds(100)};
  std::vector<PlacementCandidate> candidates(20);
  for (size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].id = MemberId{i + 1};
    candidates[i].load.slots = 2;
    candidates[i].load.service_us = 40000;
    candidates[i].responsive = i < 2;
  }
  std::vector<int> counts(candidates.size());
  for (uint64_t flow = 0; flow < 500; ++flow) {
    const uint64_t hash = MixHash(flow, 3);
    const size_t chosen = *PlaceBySample(now, hash, candidates);
    CHECK(chosen == *PlaceBySample(now, hash, candidates));
    CHECK(chosen < 2);
  }
  for (PlacementCandidate& candidate : candidates) {
    candidate.responsive = true;
  }
  candidates[4].load.active = 9;
  for (uint64_t flow = 0; flow < 4000; ++flow) {
    ++counts[*PlaceBySample(now, MixHash(flow, 3), candidates)];
  }
  // No idle server gets an excessive share, and the busy one gets no flow.
  CHECK(counts[4] == 0);
  for (size_t i = 0; i < counts.size(); ++i) {
    CHECK(counts[i] < 400);
  }
  CHECK_FALSE(PlaceBySample(now, 1, {}).has_value());
}

TEST_CASE("a store without history does not cause reads in an endless loop") {
  TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  TargetReader reader(now, 7, TargetReaderLimits());
  uint32_t calls = 0;
  for (const TimePoint end = now + Seconds(10); now < end;
       now += Milliseconds(5)) {
    const ReadAction action = reader.Next(now, MemberId{1}, members, 1);
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
  CHECK(reader.Next(now + Seconds(2), MemberId{1}, members, 1) !=
        ReadAction::kNothing);
}

}  // namespace
}  // namespace medlargauge

// @file membership_table_test.cc Tests of members and their liveness.
#include <doctest/doctest.h>

#include <map>
#include <set>

#include "src/forwarding/member_fixture.h"
#include "src/forwarding/status_schedule.h"

namespace medlargauge {
namespace {

using member_fixture::MakeStatus;

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
  members.Learn(now, DecodeMember(now, status(2, 10).self()), kProtocolVersion);
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
      DecodeMember(now, MakeStatus(now, 4, MemberRole::kBalancer, 1).self()),
      kProtocolVersion);
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
    for (StatusSchedule& schedule : schedules) {
      schedule.Add(start, MemberId{1}, 0);
    }
    const Duration interval = StatusInterval(MemberRole::kAgent, member_count);
    TimePoint last = start;
    Duration longest_gap{};
    uint64_t sent = 0;
    for (TimePoint now = start; now < start + 20 * interval;
         now += Milliseconds(100)) {
      for (StatusSchedule& schedule : schedules) {
        // The other members are discovered after the first status.
        if (!schedule.TakeDue(now, now == start ? 0 : member_count).empty()) {
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

TEST_CASE("a member of a large fleet sends all its statuses at once") {
  const TimePoint start{Seconds(100)};
  constexpr size_t kReceivers = 90;
  constexpr Duration kTick = Milliseconds(100);
  StatusSchedule schedule(MemberRole::kAgent, kTick, 7);
  for (uint64_t id = 1; id <= kReceivers; ++id) {
    schedule.Add(start, MemberId{id}, 300);
  }
  const Duration interval = StatusInterval(MemberRole::kAgent, 300);
  std::map<MemberId, TimePoint> last;
  size_t most_at_once = 0;
  TimePoint last_of_any = start;
  Duration longest_gap{};
  for (TimePoint now = start; now < start + 10 * interval; now += kTick) {
    const std::vector<MemberId> due = schedule.TakeDue(now, 300);
    most_at_once = std::max(most_at_once, due.size());
    for (const MemberId id : due) {
      CHECK(now - last.try_emplace(id, start).first->second <=
            interval + kTick);
      last[id] = now;
      longest_gap = std::max(longest_gap, now - last_of_any);
      last_of_any = now;
    }
    if (now == start + 5 * interval) {
      schedule.OnSentToAll(now, 300);
    }
  }
  CHECK(last.size() == kReceivers);
  CHECK(most_at_once <= 20);
  // Some receiver hears the member within two intervals of a small fleet.
  CHECK(longest_gap <= Milliseconds(600));
  for (uint64_t id = 2; id <= kReceivers; ++id) {
    schedule.Remove(MemberId{id});
  }
  CHECK(schedule.TakeDue(start + 20 * interval, 300) ==
        std::vector<MemberId>{MemberId{1}});
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

/// A table that hears member 3, which has mentioned agent 2.
struct MentionedAgentFixture : SilentAgentFixture {
  MentionedAgentFixture(AgentState state, ProtocolVersion sender) {
    members = MembershipTable(MemberId{1}, MembershipTimeouts());
    proto::PeerStatus status = MakeStatus(now, 2, MemberRole::kAgent, 1);
    status.mutable_self()->set_state(static_cast<uint32_t>(state));
    members.OnStatus(now, MakeStatus(now, 3, MemberRole::kBalancer, 1));
    members.Learn(now, DecodeMember(now, status.self()), sender);
    members.OnUnanswered(MemberId{2});
  }
  bool HasLeftStopped() const { return members.HasLeftStopped(now, Agent()); }
};

// Searches waited for 5 s for hosts that others had met just before they went
// dark, and that a balancer that started later only knew by mention.
TEST_CASE("failed probes of a mentioned agent count like those of others") {
  MentionedAgentFixture fixture(AgentState::kReady, kProtocolVersion);
  // The first probe starts after 100 ms.
  fixture.RunFor(Milliseconds(1900), ProbeOutcome::kNoAnswer);
  CHECK_FALSE(fixture.IsSuspected());
  fixture.RunFor(Milliseconds(100), ProbeOutcome::kNoAnswer);
  CHECK_FALSE(fixture.HasLeftStopped());
  CHECK(fixture.IsSuspected());
  CHECK_FALSE(fixture.IsPresumedDead());
  // Without a failed probe, such an agent may just not know this process.
  MentionedAgentFixture slow(AgentState::kReady, kProtocolVersion);
  slow.RunFor(Seconds(3), ProbeOutcome::kAccepted);
  CHECK_FALSE(slow.IsSuspected());
}

TEST_CASE("a mentioned agent without a server is not awaited once it is gone") {
  MentionedAgentFixture fixture(AgentState::kGone, kProtocolVersion);
  CHECK_FALSE(fixture.HasLeftStopped());
  fixture.RunFor(Milliseconds(100), ProbeOutcome::kNoAnswer);
  CHECK(fixture.HasLeftStopped());
  // The states that older builds pass on may be out of date.
  MentionedAgentFixture old(AgentState::kGone, kEvacuationProtocol);
  old.RunFor(Milliseconds(100), ProbeOutcome::kNoAnswer);
  CHECK_FALSE(old.HasLeftStopped());
}

TEST_CASE("the state of a stopped agent is passed on only while it is heard") {
  SilentAgentFixture fixture;
  proto::PeerStatus status =
      MakeStatus(fixture.now, 2, MemberRole::kAgent, ++fixture.sequence);
  status.mutable_self()->set_state(static_cast<uint32_t>(AgentState::kGone));
  fixture.members.OnStatus(fixture.now, status);
  CHECK(fixture.members.KnownPeersFor(fixture.now, MemberRole::kBalancer)
            .size() == 1);
  fixture.RunFor(Seconds(1), ProbeOutcome::kNoAnswer);
  CHECK(fixture.members.KnownPeersFor(fixture.now, MemberRole::kBalancer)
            .size() == 1);  // Member 3 alone.
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

TEST_CASE(
    "a dead agent of a large fleet was given up only after many seconds") {
  TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  proto::PeerStatus status = MakeStatus(now, 2, MemberRole::kAgent, 1);
  status.set_members(1800);
  members.OnStatus(now, status);
  const MemberEntry& agent = *members.Find(MemberId{2});
  const auto run_for = [&](Duration duration) {
    for (const TimePoint end = now + duration; now < end;
         now += Milliseconds(100)) {
      members.OnStatus(
          now,
          MakeStatus(now, 3, MemberRole::kBalancer,
                     static_cast<uint32_t>(ToMilliseconds(now - TimePoint()))));
      for (const MemberId id : members.TakeDueProbes(now, 4)) {
        members.OnProbe(now + Milliseconds(50), id, ProbeOutcome::kNoAnswer);
      }
    }
  };
  run_for(Milliseconds(500));
  CHECK(members.IsReachable(now, agent));
  members.OnUnanswered(MemberId{2});
  run_for(Milliseconds(200));
  CHECK_FALSE(members.IsReachable(now, agent));
  CHECK_FALSE(members.IsSuspected(now, agent));
  run_for(Milliseconds(1700));
  CHECK(members.IsSuspected(now, agent));
  CHECK_FALSE(members.IsPresumedDead(now, agent));
  run_for(Milliseconds(3300));
  CHECK(members.IsPresumedDead(now, agent));
}

TEST_CASE("an unanswered packet makes no agent unreachable that is probed") {
  TimePoint now{Seconds(100)};
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  members.OnStatus(now, MakeStatus(now, 2, MemberRole::kAgent, 1));
  const MemberEntry& agent = *members.Find(MemberId{2});
  members.OnUnanswered(MemberId{2});
  REQUIRE(members.TakeDueProbes(now, 4).size() == 1);
  CHECK(members.IsReachable(now, agent));
  members.OnProbe(now, MemberId{2}, ProbeOutcome::kAccepted);
  CHECK(members.IsReachable(now, agent));
  // More unanswered packets cause one probe a second.
  members.OnUnanswered(MemberId{2});
  CHECK(members.TakeDueProbes(now + Milliseconds(800), 4).empty());
  members.OnStatus(now, MakeStatus(now, 2, MemberRole::kAgent, 2));
  members.OnUnanswered(MemberId{2});
  CHECK(members.TakeDueProbes(now + Milliseconds(800), 4).empty());
  CHECK(members.TakeDueProbes(now + Seconds(1), 4).size() == 1);
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
  members.Learn(now, member, kProtocolVersion);
  CHECK_FALSE(members.IsReachable(now, *members.Find(MemberId{2})));
  members.OnStatus(now, MakeStatus(now, 2, MemberRole::kAgent, 1));
  members.Learn(now, member, kProtocolVersion);
  CHECK(members.Find(MemberId{2})->member.ip == 2);
  member.id = MemberId{1};
  members.Learn(now, member, kProtocolVersion);
  CHECK(members.Entries().size() == 1);
}

// Agents beyond the first 24 that a balancer heard in 100 ms were not told to
// the others, which could take an incomplete list for complete.
TEST_CASE("members that do not fit one datagram are dropped") {
  const TimePoint now{Seconds(100)};
  std::vector<FleetMember> members(60);
  std::vector<const FleetMember*> listed;
  for (size_t i = 0; i < members.size(); ++i) {
    members[i].id = MemberId{i + 2};
    members[i].ip = static_cast<uint32_t>(i + 2);
    listed.push_back(&members[i]);
  }
  uint32_t sequence = 0;
  const auto make_status = [&] {
    proto::PeerStatus status;
    status.set_sequence(++sequence);
    return status;
  };
  const std::vector<proto::PeerStatus> statuses =
      MakeMemberLists(now, listed, 24, make_status);
  REQUIRE(statuses.size() == 3);
  std::set<uint64_t> told;
  for (const proto::PeerStatus& status : statuses) {
    CHECK(status.known_size() <= 24);
    for (const proto::PeerMember& member : status.known()) {
      told.insert(member.id());
    }
  }
  CHECK(told.size() == members.size());
  CHECK(statuses.back().sequence() == 3);
  CHECK(MakeMemberLists(now, {}, 24, make_status).size() == 1);
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

}  // namespace
}  // namespace medlargauge

// @file group_test.cc Tests of removal and fencing in a service group.
#include <doctest/doctest.h>

#include "src/core/hash.h"
#include "src/group/group.h"

namespace medlargauge {
namespace {

AgentFacts MakeFacts(const std::string& name) {
  AgentFacts facts;
  facts.id = MemberIdOf(name);
  facts.incarnation = 1;
  facts.state = AgentState::kReady;
  return facts;
}

/// Returns a heartbeat that lists silent members and echoes the receiver.
proto::GroupMessage MakeHeartbeat(const std::string& name,
                                  TimePoint sent,
                                  const std::vector<std::string>& silent) {
  proto::GroupMessage message;
  message.set_from(MemberIdOf(name).value);
  message.set_incarnation(1);
  proto::Heartbeat* heartbeat = message.mutable_heartbeat();
  heartbeat->mutable_facts()->set_id(MemberIdOf(name).value);
  heartbeat->mutable_facts()->set_incarnation(1);
  heartbeat->mutable_facts()->set_state(
      static_cast<uint32_t>(AgentState::kReady));
  heartbeat->set_sent_at(sent.time_since_epoch().count());
  heartbeat->set_echo(sent.time_since_epoch().count());
  heartbeat->set_echo_incarnation(1);
  for (const std::string& member : silent) {
    heartbeat->add_silent(MemberIdOf(member).value);
  }
  return message;
}

Group MakeGroup(TimePoint now) {
  Group group(ServiceIdOf("stock"), MakeFacts("self"), false, GroupTimeouts());
  for (const char* name : {"a", "b", "dead"}) {
    group.UpdateMember(now, MakeFacts(name), false);
    group.OnHeartbeat(now, MakeHeartbeat(name, now, {}));
  }
  group.OnTick(now, OwnLoad());
  return group;
}

/// Advances the time by `length`. Heartbeats arrive from `a` and `b`, none from
/// `dead`.
void RunGroup(Group* group,
              TimePoint* now,
              Duration length,
              const std::vector<std::string>& silent) {
  for (const TimePoint end = *now + length; *now < end;) {
    *now += Milliseconds(100);
    group->UpdateFence(*now);
    group->OnHeartbeat(*now, MakeHeartbeat("a", *now, silent));
    group->OnHeartbeat(*now, MakeHeartbeat("b", *now, silent));
    group->OnTick(*now, OwnLoad());
  }
}

AgentState StateOf(const Group& group, const std::string& name) {
  return group.PeerAt(*group.FindSlot(MemberIdOf(name))).facts.state;
}

}  // namespace

TEST_CASE(
    "a silent member is removed once more than half of the others agree") {
  TimePoint now(Seconds(100));
  Group group = MakeGroup(now);
  RunGroup(&group, &now, Seconds(8), {});
  CHECK(StateOf(group, "dead") == AgentState::kReady);
  RunGroup(&group, &now, Milliseconds(200), {"dead"});
  CHECK(StateOf(group, "dead") == AgentState::kGone);
  CHECK(group.MayHaveUnreachableFlows(now));
}

TEST_CASE("a member without echoes is fenced and removes no peer") {
  TimePoint now(Seconds(100));
  Group group = MakeGroup(now);
  const ViewId before = group.CurrentViewId();
  now += Seconds(10);
  group.UpdateFence(now);
  CHECK(group.IsFenced());
  group.OnTick(now, OwnLoad());
  CHECK(StateOf(group, "a") == AgentState::kReady);
  CHECK(group.Self().incarnation == 2);
  CHECK(group.CurrentViewId() != before);
}

TEST_CASE("a heartbeat queued during a pause does not delay a removal") {
  TimePoint now(Seconds(100));
  Group group = MakeGroup(now);
  RunGroup(&group, &now, Milliseconds(500), {});
  const TimePoint pause_start = now;
  // The last heartbeat of `dead` is queued while the process is paused for 3 s.
  now += Seconds(3);
  group.UpdateFence(now);
  group.OnHeartbeat(now, MakeHeartbeat("dead", pause_start, {}));
  RunGroup(&group, &now, Milliseconds(1600), {"dead"});
  CHECK(StateOf(group, "dead") == AgentState::kGone);
}

TEST_CASE("a member that is gone returns only with a higher incarnation") {
  TimePoint now(Seconds(100));
  Group group = MakeGroup(now);
  AgentFacts gone = MakeFacts("a");
  gone.state = AgentState::kGone;
  group.UpdateMember(now, gone, false);
  group.OnHeartbeat(now, MakeHeartbeat("a", now, {}));
  CHECK(StateOf(group, "a") == AgentState::kGone);
  AgentFacts restarted = MakeFacts("a");
  restarted.incarnation = 2;
  group.UpdateMember(now, restarted, false);
  CHECK(StateOf(group, "a") == AgentState::kReady);
}

}  // namespace medlargauge

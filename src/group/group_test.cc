// @file group_test.cc Removal, fencing and completeness of a service group.
#include <doctest/doctest.h>

#include "src/core/hash.h"
#include "src/group/group.h"

namespace medlargauge {
namespace {

AgentFacts Facts(const std::string& name) {
  AgentFacts facts;
  facts.id = MemberIdOf(name);
  facts.incarnation = 1;
  facts.state = AgentState::kReady;
  return facts;
}

/// A heartbeat that names silent members and echoes the receiver's own.
proto::GroupMessage HeartbeatOf(const std::string& name,
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
  for (const std::string& one : silent) {
    heartbeat->add_silent(MemberIdOf(one).value);
  }
  return message;
}

Group NewGroup(TimePoint now) {
  Group group(ServiceIdOf("stock"), Facts("self"), false, GroupTimeouts());
  for (const char* name : {"a", "b", "dead"}) {
    group.UpdateMember(now, Facts(name), false);
    group.OnHeartbeat(now, HeartbeatOf(name, now, {}));
  }
  group.OnTick(now, OwnLoad());
  return group;
}

/// Lets `a` and `b` live, and `dead` be silent, for `length`.
void Live(Group* group,
          TimePoint* now,
          Duration length,
          const std::vector<std::string>& silent) {
  for (const TimePoint end = *now + length; *now < end;) {
    *now += Milliseconds(100);
    group->UpdateFence(*now);
    group->OnHeartbeat(*now, HeartbeatOf("a", *now, silent));
    group->OnHeartbeat(*now, HeartbeatOf("b", *now, silent));
    group->OnTick(*now, OwnLoad());
  }
}

AgentState StateOf(const Group& group, const std::string& name) {
  return group.PeerAt(*group.FindSlot(MemberIdOf(name))).facts.state;
}

}  // namespace

TEST_CASE("a silent member is removed once more than half agree") {
  TimePoint now(Seconds(100));
  Group group = NewGroup(now);
  Live(&group, &now, Seconds(8), {});
  CHECK(StateOf(group, "dead") == AgentState::kReady);
  Live(&group, &now, Milliseconds(200), {"dead"});
  CHECK(StateOf(group, "dead") == AgentState::kGone);
  CHECK(group.MayHaveUnreachableFlows(now));
}

TEST_CASE("a member that nobody hears is fenced and removes nobody") {
  TimePoint now(Seconds(100));
  Group group = NewGroup(now);
  const ViewId before = group.CurrentViewId();
  now += Seconds(10);
  group.UpdateFence(now);
  CHECK(group.IsFenced());
  group.OnTick(now, OwnLoad());
  CHECK(StateOf(group, "a") == AgentState::kReady);
  CHECK(group.Self().incarnation == 2);
  CHECK(group.CurrentViewId() != before);
}

TEST_CASE("what waited in the sockets of a paused member is not news") {
  TimePoint now(Seconds(100));
  Group group = NewGroup(now);
  Live(&group, &now, Milliseconds(500), {});
  const TimePoint paused = now;
  // The last heartbeat of the dead member waits during a pause of 3 s.
  now += Seconds(3);
  group.UpdateFence(now);
  group.OnHeartbeat(now, HeartbeatOf("dead", paused, {}));
  Live(&group, &now, Milliseconds(1600), {"dead"});
  CHECK(StateOf(group, "dead") == AgentState::kGone);
}

TEST_CASE("a departed member does not come back with the same incarnation") {
  TimePoint now(Seconds(100));
  Group group = NewGroup(now);
  AgentFacts left = Facts("a");
  left.state = AgentState::kGone;
  group.UpdateMember(now, left, false);
  group.OnHeartbeat(now, HeartbeatOf("a", now, {}));
  CHECK(StateOf(group, "a") == AgentState::kGone);
  AgentFacts again = Facts("a");
  again.incarnation = 2;
  group.UpdateMember(now, again, false);
  CHECK(StateOf(group, "a") == AgentState::kReady);
}

}  // namespace medlargauge

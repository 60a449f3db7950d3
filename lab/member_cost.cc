// @file member_cost.cc Measurement of the membership's processor time.
#include "lab/member_cost.h"

#include <chrono>
#include <functional>

#include "src/forwarding/membership_table.h"
#include "src/forwarding/status_schedule.h"

namespace medlargauge::lab {
namespace {

constexpr int kCalls = 200;
constexpr Duration kTick = Milliseconds(100);

/// Returns the mean time of a call in microseconds.
double MeasureCall(const std::function<void()>& call) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kCalls; ++i) {
    call();
  }
  const std::chrono::duration<double, std::micro> time =
      std::chrono::steady_clock::now() - start;
  return time.count() / kCalls;
}

}  // namespace

MemberCost MeasureMemberCost(size_t members) {
  TimePoint now{Seconds(100)};
  MembershipTable table(MemberId{1}, MembershipTimeouts());
  StatusSchedule schedule(MemberRole::kBalancer, kTick, 7);
  for (size_t i = 0; i < members; ++i) {
    FleetMember member;
    member.id = MemberId{i + 2};
    member.role =
        i * 10 < members * 7 ? MemberRole::kAgent : MemberRole::kBalancer;
    member.ip = static_cast<uint32_t>(i + 2);
    member.state = AgentState::kReady;
    proto::PeerStatus status;
    *status.mutable_self() = EncodeMember(now, member);
    status.set_sequence(1);
    status.set_members(static_cast<uint32_t>(members));
    table.OnStatus(now, status);
    schedule.Add(now, member.id, members);
  }
  MemberCost cost;
  cost.members = members;
  size_t sent = 0;
  cost.tick_us = MeasureCall([&] { table.OnTick(now); });
  cost.count_us = MeasureCall([&] { table.CountLiveAgents(now); });
  cost.reported_us = MeasureCall([&] { table.LargestReportedAgents(now); });
  cost.schedule_us = MeasureCall([&] {
    now += kTick;
    sent += schedule.TakeDue(now, members).size();
  });
  cost.statuses_per_s = static_cast<double>(sent) * 10 / kCalls;
  return cost;
}

}  // namespace medlargauge::lab

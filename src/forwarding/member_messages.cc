// @file member_messages.cc Wire messages of members.
#include <algorithm>

#include "src/forwarding/membership_table.h"

namespace medlargauge {
namespace {

constexpr uint32_t kMaxWarmupMs = 60000;  ///< Limit of reported durations.

}  // namespace

proto::PeerLoad EncodeLoad(TimePoint now, const ServerLoad& load) {
  proto::PeerLoad message;
  message.set_active(load.active);
  message.set_slots(load.slots);
  message.set_service_us(load.service_us);
  message.set_failing(load.failing);
  message.set_trials(load.trials);
  message.set_wait_us(load.wait_us);
  message.set_cost_us(load.cost_us);
  message.set_slowness(load.slowness);
  if (load.warmup_ends_at > now) {
    message.set_warmup_ms(
        static_cast<uint32_t>(ToMilliseconds(load.warmup_ends_at - now)));
  }
  return message;
}

ServerLoad DecodeLoad(TimePoint now, const proto::PeerLoad& message) {
  ServerLoad load;
  load.active = message.active();
  load.slots = std::max(message.slots(), 1U);
  load.service_us = message.service_us();
  load.failing = std::min(message.failing(), kRestrictedFailing);
  load.trials = message.trials();
  load.wait_us = message.wait_us();
  load.cost_us = message.cost_us();
  load.slowness = message.slowness();
  load.warmup_ends_at =
      now + Milliseconds(std::min(message.warmup_ms(), kMaxWarmupMs));
  return load;
}

proto::PeerMember EncodeMember(TimePoint now, const FleetMember& member) {
  proto::PeerMember message;
  message.set_id(member.id.value);
  message.set_role(static_cast<uint32_t>(member.role));
  message.set_ip(member.ip);
  message.set_incarnation(member.incarnation);
  message.set_service(member.service.value);
  message.set_domain(member.domain.value);
  message.set_state(static_cast<uint32_t>(member.state));
  message.set_revision(member.targets.version.revision);
  message.set_era(member.targets.version.era);
  message.set_operators_version(member.targets.operators_version);
  if (member.role == MemberRole::kAgent) {
    *message.mutable_load() = EncodeLoad(now, member.load);
  }
  return message;
}

std::vector<proto::PeerStatus> MakeMemberLists(
    TimePoint now,
    const std::vector<const FleetMember*>& members,
    int per_status,
    const std::function<proto::PeerStatus()>& make_status) {
  std::vector<proto::PeerStatus> statuses{make_status()};
  for (const FleetMember* member : members) {
    if (statuses.back().known_size() == per_status) {
      statuses.push_back(make_status());
    }
    *statuses.back().add_known() = EncodeMember(now, *member);
  }
  return statuses;
}

FleetMember DecodeMember(TimePoint now, const proto::PeerMember& message) {
  FleetMember member;
  const bool usable =
      message.ip() != 0 && message.role() <= 1 &&
      message.state() <= static_cast<uint32_t>(AgentState::kGone);
  if (!usable) {
    return member;
  }
  member.id.value = message.id();
  member.role = static_cast<MemberRole>(message.role());
  member.ip = message.ip();
  member.incarnation = message.incarnation();
  member.service.value = message.service();
  member.domain.value = message.domain();
  member.state = static_cast<AgentState>(message.state());
  member.targets.version = {message.era(), message.revision()};
  member.targets.operators_version = message.operators_version();
  member.load = DecodeLoad(now, message.load());
  return member;
}

}  // namespace medlargauge

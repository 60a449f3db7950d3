// @file member_fixture.h Test helper: statuses of members.
#ifndef MEDLARGAUGE_FORWARDING_MEMBER_FIXTURE_H_
#define MEDLARGAUGE_FORWARDING_MEMBER_FIXTURE_H_

#include "src/forwarding/membership_table.h"

namespace medlargauge::member_fixture {

/// Returns a status of a member whose address equals its id.
inline proto::PeerStatus MakeStatus(TimePoint now,
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
  status.set_protocol(kProtocolVersion);
  status.set_checked_ms(checked_ms);
  return status;
}

}  // namespace medlargauge::member_fixture

#endif  // MEDLARGAUGE_FORWARDING_MEMBER_FIXTURE_H_

// @file peer_exercise.h Feeds bytes of any kind to the parsers of datagrams.
#ifndef MEDLARGAUGE_RUNTIME_PEER_EXERCISE_H_
#define MEDLARGAUGE_RUNTIME_PEER_EXERCISE_H_

#include <string>

#include "src/runtime/peer_wire.h"

namespace medlargauge {

/// Parses the bytes as a datagram, and decodes a status in it into a membership
/// table. Thread-safe.
/// @return whether the results keep what the parsers promise
inline bool ExercisePeerFrame(std::string bytes) {
  const TimePoint now{Seconds(100)};
  const std::optional<PeerFrame> frame = ParsePeerFrame(
      now, {reinterpret_cast<uint8_t*>(bytes.data()), bytes.size()});
  if (!frame.has_value()) {
    return true;
  }
  if (frame->packet.size > bytes.size() ||
      frame->message.size() > bytes.size()) {
    return false;
  }
  proto::PeerStatus status;
  if (frame->kind != PeerMessageKind::kStatus ||
      !status.ParseFromArray(frame->message.data(),
                             static_cast<int>(frame->message.size()))) {
    return frame->load.slots > 0;
  }
  MembershipTable members(MemberId{1}, MembershipTimeouts());
  members.OnStatus(now, status);
  for (const proto::PeerMember& known : status.known()) {
    members.Learn(now, DecodeMember(now, known), kProtocolVersion);
  }
  for (const auto& [id, entry] : members.Entries()) {
    const bool is_valid = id.IsSet() && entry.member.ip != 0 &&
                          entry.member.load.slots > 0 &&
                          entry.member.state <= AgentState::kGone;
    if (!is_valid) {
      return false;
    }
  }
  members.OnTick(now + Seconds(100));
  return true;
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_PEER_EXERCISE_H_

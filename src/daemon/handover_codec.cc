// @file handover_codec.cc Protobuf encoding of an agent's hand-over state.
#include "src/daemon/handover_codec.h"

#include <algorithm>

#include "src/core/error.h"
#include "src/daemon/control.pb.h"

namespace medlargauge {
namespace {

TimePoint ToTimePoint(FlowDeadline deadline) {
  return TimePoint(kFlowTick * deadline.ticks);
}

/// Returns whether a decoded flow has an identifier, a class and, if it belongs
/// to a peer, an owner among the decoded peers.
bool IsValidFlow(const AgentSnapshot& snapshot, const FlowEntry& entry) {
  const bool names_owner =
      !entry.IsOwned() && entry.state != FlowState::kRefused;
  return !(entry.flow == FlowId{}) && entry.class_id.IsSet() &&
         (!names_owner || entry.owner.value < snapshot.peers.size());
}

}  // namespace

std::string EncodeHandover(const AgentSnapshot& snapshot, TimePoint now) {
  proto::Handover handover;
  for (const Peer& peer : snapshot.peers) {
    proto::HandoverPeer* encoded = handover.add_peers();
    encoded->set_id(peer.facts.id.value);
    encoded->set_incarnation(peer.facts.incarnation);
    encoded->set_state(static_cast<uint32_t>(peer.facts.state));
    encoded->set_version(peer.facts.version.value);
    encoded->set_domain(peer.facts.domain.value);
    encoded->set_observer(peer.observer);
  }
  for (const FlowEntry& entry : snapshot.flows) {
    const int64_t remaining_ms =
        ToMilliseconds(ToTimePoint(entry.expires) - now);
    if (remaining_ms <= 0) {
      continue;
    }
    proto::HandoverFlow* encoded = handover.add_flows();
    encoded->set_flow_high(entry.flow.high);
    encoded->set_flow_low(entry.flow.low);
    encoded->set_class_id(entry.class_id.value);
    encoded->set_initial_sequence(entry.initial_sequence);
    encoded->set_owner(entry.owner.value);
    encoded->set_state(static_cast<uint32_t>(entry.state));
    encoded->set_udp(entry.transport == Transport::kUdp);
    encoded->set_remaining_ms(static_cast<uint32_t>(remaining_ms));
  }
  return handover.SerializeAsString();
}

std::optional<AgentSnapshot> DecodeHandover(std::string_view bytes,
                                            TimePoint now,
                                            Error* reason) {
  proto::Handover handover;
  if (!handover.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    Fail(reason, ErrorKind::kMalformedValue,
         "hand-over state is not a valid protobuf message");
    return std::nullopt;
  }
  AgentSnapshot snapshot;
  for (const proto::HandoverPeer& encoded : handover.peers()) {
    Peer peer;
    peer.facts.id.value = encoded.id();
    peer.facts.incarnation = encoded.incarnation();
    peer.facts.state = static_cast<AgentState>(std::min<uint32_t>(
        encoded.state(), static_cast<uint32_t>(AgentState::kGone)));
    peer.facts.version.value = encoded.version();
    peer.facts.domain.value = encoded.domain();
    peer.observer = encoded.observer();
    snapshot.peers.push_back(peer);
  }
  for (const proto::HandoverFlow& encoded : handover.flows()) {
    FlowEntry entry;
    entry.flow = FlowId{encoded.flow_high(), encoded.flow_low()};
    entry.class_id.value = encoded.class_id();
    entry.initial_sequence = encoded.initial_sequence();
    entry.owner.value = static_cast<uint16_t>(encoded.owner());
    entry.state = static_cast<FlowState>(std::min<uint32_t>(
        encoded.state(), static_cast<uint32_t>(FlowState::kRefused)));
    entry.transport = encoded.udp() ? Transport::kUdp : Transport::kTcp;
    entry.expires = ToFlowDeadline(now + Milliseconds(encoded.remaining_ms()));
    if (IsValidFlow(snapshot, entry)) {
      snapshot.flows.push_back(entry);
    }
  }
  return snapshot;
}

}  // namespace medlargauge

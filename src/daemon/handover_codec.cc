// @file handover_codec.cc Protobuf form of a hand-over.
#include "src/daemon/handover_codec.h"

#include <algorithm>

#include "src/core/error.h"
#include "src/daemon/control.pb.h"

namespace medlargauge {
namespace {

TimePoint ToTime(FlowDeadline deadline) {
  return TimePoint(kFlowTick * deadline.ticks);
}

bool IsUsable(const AgentSnapshot& state, const FlowEntry& entry) {
  const bool refers = !entry.IsOwned() && entry.state != FlowState::kRefused;
  return !(entry.flow == FlowId{}) && entry.class_id.IsSet() &&
         (!refers || entry.owner.value < state.peers.size());
}

}  // namespace

std::string EncodeHandover(const AgentSnapshot& state, TimePoint now) {
  proto::Handover handover;
  for (const Peer& peer : state.peers) {
    proto::HandoverPeer* out = handover.add_peers();
    out->set_id(peer.facts.id.value);
    out->set_incarnation(peer.facts.incarnation);
    out->set_state(static_cast<uint32_t>(peer.facts.state));
    out->set_version(peer.facts.version.value);
    out->set_domain(peer.facts.domain.value);
    out->set_observer(peer.observer);
  }
  for (const FlowEntry& entry : state.flows) {
    const int64_t left = ToMilliseconds(ToTime(entry.expires) - now);
    if (left <= 0) {
      continue;
    }
    proto::HandoverFlow* out = handover.add_flows();
    out->set_flow_high(entry.flow.high);
    out->set_flow_low(entry.flow.low);
    out->set_class_id(entry.class_id.value);
    out->set_initial_sequence(entry.initial_sequence);
    out->set_owner(entry.owner.value);
    out->set_state(static_cast<uint32_t>(entry.state));
    out->set_udp(entry.transport == Transport::kUdp);
    out->set_remaining_ms(static_cast<uint32_t>(left));
  }
  return handover.SerializeAsString();
}

std::optional<AgentSnapshot> DecodeHandover(std::string_view bytes,
                                            TimePoint now,
                                            Error* reason) {
  proto::Handover handover;
  if (!handover.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    Fail(reason, ErrorKind::kMalformedValue, "hand-over");
    return std::nullopt;
  }
  AgentSnapshot state;
  for (const proto::HandoverPeer& in : handover.peers()) {
    Peer peer;
    peer.facts.id.value = in.id();
    peer.facts.incarnation = in.incarnation();
    peer.facts.state = static_cast<AgentState>(std::min<uint32_t>(
        in.state(), static_cast<uint32_t>(AgentState::kGone)));
    peer.facts.version.value = in.version();
    peer.facts.domain.value = in.domain();
    peer.observer = in.observer();
    state.peers.push_back(peer);
  }
  for (const proto::HandoverFlow& in : handover.flows()) {
    FlowEntry entry;
    entry.flow = FlowId{in.flow_high(), in.flow_low()};
    entry.class_id.value = in.class_id();
    entry.initial_sequence = in.initial_sequence();
    entry.owner.value = static_cast<uint16_t>(in.owner());
    entry.state = static_cast<FlowState>(std::min<uint32_t>(
        in.state(), static_cast<uint32_t>(FlowState::kRefused)));
    entry.transport = in.udp() ? Transport::kUdp : Transport::kTcp;
    entry.expires = ToFlowDeadline(now + Milliseconds(in.remaining_ms()));
    if (IsUsable(state, entry)) {
      state.flows.push_back(entry);
    }
  }
  return state;
}

}  // namespace medlargauge

// @file held_packets.cc Bounded buffer with the latest packet of each flow.
#include "src/forwarding/held_packets.h"

#include <algorithm>
#include <utility>

namespace medlargauge {
namespace {

/// Memory of a table entry besides the bytes of the packet.
constexpr size_t kEntryBytes = 200;

}  // namespace

size_t HeldPackets::SizeOf(const HeldPacket& held) {
  return kEntryBytes + held.raw.size();
}

bool HeldPackets::Hold(TimePoint now,
                       const FlowPacket& packet,
                       ByteView raw,
                       TimePoint expires) {
  const auto found = m_packets.find(packet.flow);
  const size_t freed = found == m_packets.end() ? 0 : SizeOf(found->second);
  if (m_bytes - freed + kEntryBytes + raw.size() > m_max_bytes) {
    return false;
  }
  HeldPacket held;
  held.packet = packet;
  held.packet.request_id = {};
  held.raw.assign(reinterpret_cast<const char*>(raw.data()), raw.size());
  held.arrived = now;
  held.expires = expires;
  held.order = found == m_packets.end() ? ++m_orders : found->second.order;
  m_bytes = m_bytes - freed + SizeOf(held);
  m_packets[packet.flow] = std::move(held);
  return true;
}

const HeldPacket* HeldPackets::Find(const FlowKey& flow) const {
  const auto found = m_packets.find(flow);
  return found == m_packets.end() ? nullptr : &found->second;
}

void HeldPackets::Erase(const FlowKey& flow) {
  const auto found = m_packets.find(flow);
  if (found != m_packets.end()) {
    m_bytes -= SizeOf(found->second);
    m_packets.erase(found);
  }
}

void HeldPackets::EraseExpired(TimePoint now) {
  for (auto it = m_packets.begin(); it != m_packets.end();) {
    if (it->second.expires > now) {
      ++it;
      continue;
    }
    m_bytes -= SizeOf(it->second);
    it = m_packets.erase(it);
  }
}

std::vector<FlowKey> HeldPackets::Flows() const {
  std::vector<std::pair<uint64_t, FlowKey>> ordered;
  ordered.reserve(m_packets.size());
  for (const auto& [flow, held] : m_packets) {
    ordered.emplace_back(held.order, flow);
  }
  std::sort(ordered.begin(), ordered.end());
  std::vector<FlowKey> flows;
  flows.reserve(ordered.size());
  for (const auto& [order, flow] : ordered) {
    flows.push_back(flow);
  }
  return flows;
}

std::vector<HeldPacket> HeldPackets::TakeAll() {
  return TakeIf([](const HeldPacket&) { return true; });
}

std::vector<HeldPacket> HeldPackets::TakeIf(
    const std::function<bool(const HeldPacket&)>& is_taken) {
  std::vector<HeldPacket> packets;
  for (auto it = m_packets.begin(); it != m_packets.end();) {
    if (!is_taken(it->second)) {
      ++it;
      continue;
    }
    m_bytes -= SizeOf(it->second);
    packets.push_back(std::move(it->second));
    it = m_packets.erase(it);
  }
  std::sort(packets.begin(), packets.end(),
            [](const HeldPacket& a, const HeldPacket& b) {
              return a.order < b.order;
            });
  return packets;
}

}  // namespace medlargauge

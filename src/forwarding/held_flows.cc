// @file held_flows.cc The set of flows that a server may hold.
#include "src/forwarding/held_flows.h"

#include <iterator>

namespace medlargauge {
namespace {

constexpr Duration kExpiryInterval = Seconds(1);

}  // namespace

void HeldFlows::OnPacket(TimePoint now, uint64_t flow_hash) {
  const auto found = m_last_packets.find(flow_hash);
  if (found != m_last_packets.end()) {
    found->second = now;
  } else if (m_last_packets.size() < m_max_flows) {
    m_last_packets.emplace(flow_hash, now);
  } else {
    m_is_overflown = true;
  }
}

void HeldFlows::OnServerDown(TimePoint now) {
  m_last_packets.clear();
  m_is_overflown = false;
  m_complete_at = now;
}

void HeldFlows::OnTick(TimePoint now) {
  if (!m_is_started) {
    m_is_started = true;
    m_started_at = now;
    if (m_complete_at == TimePoint()) {
      m_complete_at = now + m_lifetime;
    }
  }
  if (now < m_next_expiry) {
    return;
  }
  m_next_expiry = now + kExpiryInterval;
  for (auto it = m_last_packets.begin(); it != m_last_packets.end();) {
    it = now - it->second > m_lifetime ? m_last_packets.erase(it)
                                       : std::next(it);
  }
}

}  // namespace medlargauge

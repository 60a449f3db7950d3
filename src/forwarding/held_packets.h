// @file held_packets.h Caller packets that wait until they can be forwarded or
// rejected.
#ifndef MEDLARGAUGE_FORWARDING_HELD_PACKETS_H_
#define MEDLARGAUGE_FORWARDING_HELD_PACKETS_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/forwarding/forwarding_type.h"

namespace medlargauge {

/// A stored packet.
struct HeldPacket {
  FlowPacket packet;   ///< Parsed header; `request_id` is empty.
  std::string raw;     ///< Bytes as received from the caller.
  TimePoint arrived;   ///< When the balancer received it.
  TimePoint expires;   ///< When it is of no more use to the caller.
  uint64_t order = 0;  ///< Increases in order of the flows' first packets.
};

/// Bounded buffer with the latest packet of each flow. Load that it answers:
/// callers that send to a fleet which has lost its state. They retransmit ever
/// more rarely, so a balancer that dropped their packets while it learns the
/// targets or the owners of flows would often get no other one in time. Not
/// thread-safe.
class HeldPackets {
 public:
  /// @param max_bytes limit of the memory in use, in bytes
  explicit HeldPackets(size_t max_bytes) : m_max_bytes(max_bytes) {}

  /// Stores a packet in place of the one of the same flow, if any. Ignores the
  /// packet if it would exceed the memory limit.
  /// @return whether the packet is stored
  bool Hold(TimePoint now,
            const FlowPacket& packet,
            ByteView raw,
            TimePoint expires);

  /// Returns the packet of a flow, or null.
  const HeldPacket* Find(const FlowKey& flow) const;
  /// Removes the packet of a flow, if any.
  void Erase(const FlowKey& flow);
  /// Removes the packets that have expired.
  void EraseExpired(TimePoint now);

  /// Returns and removes the packets for which `is_taken` holds, in order of
  /// the flows' first ones.
  std::vector<HeldPacket> TakeIf(
      const std::function<bool(const HeldPacket&)>& is_taken);

  /// Returns the flows that have a packet, in order of their first one.
  std::vector<FlowKey> Flows() const;
  /// Returns and removes all packets, in order of the flows' first ones.
  std::vector<HeldPacket> TakeAll();

  /// Returns whether no packet is stored.
  bool IsEmpty() const { return m_packets.empty(); }
  /// Returns the number of stored packets.
  size_t Count() const { return m_packets.size(); }

 private:
  /// Returns the memory that a stored packet takes, in bytes.
  static size_t SizeOf(const HeldPacket& held);

  size_t m_max_bytes;     ///< Limit of m_bytes.
  size_t m_bytes = 0;     ///< Memory in use.
  uint64_t m_orders = 0;  ///< Last assigned order.
  std::unordered_map<FlowKey, HeldPacket, FlowKeyHash> m_packets;
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_HELD_PACKETS_H_

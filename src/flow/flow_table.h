// @file flow_table.h Open-addressing table of flows with fixed order.
#ifndef MEDLARGAUGE_FLOW_FLOW_TABLE_H_
#define MEDLARGAUGE_FLOW_FLOW_TABLE_H_

#include <functional>
#include <vector>

#include "src/flow/flow_type.h"

namespace medlargauge {

/// Maps flows to entries. Iteration follows the slots, so equal histories give
/// equal orders. Not thread-safe.
class FlowTable {
 public:
  /// Makes an empty table.
  FlowTable();

  /// Returns the entry of `flow`, or null. The pointer is valid until the next
  /// Insert, Erase or Sweep.
  FlowEntry* Find(FlowId flow);

  /// Returns the entry of `flow`, a fresh one if it was missing.
  /// Precondition: `flow` is not all zero.
  FlowEntry& Insert(FlowId flow);

  /// Removes `flow` if present.
  void Erase(FlowId flow);

  /// Examines the next `budget` slots and removes expired entries.
  /// @param now entries whose deadline is before this are removed
  /// @param on_expired called for each entry before its removal
  void Sweep(FlowDeadline now,
             size_t budget,
             const std::function<void(const FlowEntry&)>& on_expired);

  /// Calls `visit` for every entry, in slot order.
  void ForEach(const std::function<void(const FlowEntry&)>& visit) const;

  /// Returns the number of entries.
  size_t Size() const { return m_size; }
  /// Returns the bytes of memory held for entries.
  size_t MemoryBytes() const { return m_slots.capacity() * sizeof(FlowEntry); }

 private:
  size_t HomeSlot(FlowId flow) const;
  size_t NextSlot(size_t slot) const;
  bool IsEmpty(size_t slot) const;
  void Grow();
  void EraseSlot(size_t slot);

  std::vector<FlowEntry> m_slots;  ///< Power-of-two number of slots.
  size_t m_size = 0;               ///< Used slots.
  size_t m_cursor = 0;             ///< Next slot of the sweep.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FLOW_FLOW_TABLE_H_

// @file flow_table.h Open-addressing hash table of flows.
#ifndef MEDLARGAUGE_FLOW_FLOW_TABLE_H_
#define MEDLARGAUGE_FLOW_FLOW_TABLE_H_

#include <functional>
#include <vector>

#include "src/flow/flow_type.h"

namespace medlargauge {

/// Maps flows to entries. Iteration follows the slots, so the same sequence of
/// operations always gives the same order. Not thread-safe.
class FlowTable {
 public:
  /// Creates an empty table.
  FlowTable();

  /// Returns the entry of `flow`, or null. The pointer is valid until the next
  /// Insert, Erase or Sweep.
  FlowEntry* Find(FlowId flow);

  /// Returns the entry of `flow`; adds a default one if it is missing.
  /// The reference is valid until the next Insert, Erase or Sweep.
  /// Precondition: `flow` is not all zero.
  FlowEntry& Insert(FlowId flow);

  /// Removes the entry of `flow`, if there is one.
  void Erase(FlowId flow);

  /// Examines the next `max_slots` slots and removes expired entries.
  /// @param now entries whose deadline is before this are removed
  /// @param on_expired called for each entry before its removal
  void Sweep(FlowDeadline now,
             size_t max_slots,
             const std::function<void(const FlowEntry&)>& on_expired);

  /// Calls `visit` for every entry, in slot order.
  void ForEach(const std::function<void(const FlowEntry&)>& visit) const;

  /// Returns the number of entries.
  size_t Size() const { return m_size; }
  /// Returns the memory allocated for slots, in bytes.
  size_t MemoryBytes() const { return m_slots.capacity() * sizeof(FlowEntry); }

 private:
  /// Returns the slot at which the probe sequence of `flow` starts.
  size_t HomeSlot(FlowId flow) const;
  /// Returns the slot after `slot`; the first one follows the last one.
  size_t NextSlot(size_t slot) const;
  bool IsEmpty(size_t slot) const;
  /// Doubles the number of slots and inserts all entries again. The sweep
  /// starts over at the first slot.
  void DoubleSlots();
  /// Empties `slot` and moves later entries of the probe sequence up, so that
  /// Find still reaches them.
  void EraseSlot(size_t slot);

  std::vector<FlowEntry> m_slots;  ///< Its size is a power of two.
  size_t m_size = 0;               ///< Number of occupied slots.
  size_t m_cursor = 0;             ///< Slot that the next sweep starts at.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FLOW_FLOW_TABLE_H_

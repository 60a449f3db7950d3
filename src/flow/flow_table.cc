// @file flow_table.cc Hash table with linear probing, backward-shift deletion.
#include "src/flow/flow_table.h"

#include <utility>

namespace medlargauge {
namespace {

constexpr size_t kInitialSlots = 64;
constexpr size_t kMaxLoadNumerator = 4;
constexpr size_t kMaxLoadDenominator = 5;

}  // namespace

FlowTable::FlowTable() : m_slots(kInitialSlots) {}

FlowEntry* FlowTable::Find(FlowId flow) {
  size_t slot = HomeSlot(flow);
  while (!IsEmpty(slot)) {
    if (m_slots[slot].flow == flow) {
      return &m_slots[slot];
    }
    slot = NextSlot(slot);
  }
  return nullptr;
}

FlowEntry& FlowTable::Insert(FlowId flow) {
  if ((m_size + 1) * kMaxLoadDenominator > m_slots.size() * kMaxLoadNumerator) {
    DoubleSlots();
  }
  size_t slot = HomeSlot(flow);
  while (!IsEmpty(slot)) {
    if (m_slots[slot].flow == flow) {
      return m_slots[slot];
    }
    slot = NextSlot(slot);
  }
  m_slots[slot].flow = flow;
  ++m_size;
  return m_slots[slot];
}

void FlowTable::Erase(FlowId flow) {
  FlowEntry* entry = Find(flow);
  if (entry != nullptr) {
    EraseSlot(entry - m_slots.data());
  }
}

void FlowTable::Sweep(FlowDeadline now,
                      size_t max_slots,
                      const std::function<void(const FlowEntry&)>& on_expired) {
  for (size_t i = 0; i < max_slots && m_size > 0; ++i) {
    if (m_cursor >= m_slots.size()) {
      m_cursor = 0;
    }
    const FlowEntry& entry = m_slots[m_cursor];
    const bool expired = !IsEmpty(m_cursor) && entry.expires < now;
    if (!expired) {
      ++m_cursor;
      continue;
    }
    on_expired(entry);
    // The erasure may shift a later entry into this slot, so the cursor stays.
    EraseSlot(m_cursor);
  }
}

void FlowTable::ForEach(
    const std::function<void(const FlowEntry&)>& visit) const {
  for (size_t slot = 0; slot < m_slots.size(); ++slot) {
    if (!IsEmpty(slot)) {
      visit(m_slots[slot]);
    }
  }
}

size_t FlowTable::HomeSlot(FlowId flow) const {
  return (flow.low ^ (flow.high >> 17U)) & (m_slots.size() - 1);
}

size_t FlowTable::NextSlot(size_t slot) const {
  return (slot + 1) & (m_slots.size() - 1);
}

bool FlowTable::IsEmpty(size_t slot) const {
  return m_slots[slot].flow == FlowId{};
}

void FlowTable::DoubleSlots() {
  std::vector<FlowEntry> old_slots(m_slots.size() * 2);
  old_slots.swap(m_slots);
  m_size = 0;
  m_cursor = 0;
  for (const FlowEntry& entry : old_slots) {
    if (!(entry.flow == FlowId{})) {
      Insert(entry.flow) = entry;
    }
  }
}

void FlowTable::EraseSlot(size_t slot) {
  size_t free_slot = slot;
  size_t next = NextSlot(slot);
  while (!IsEmpty(next)) {
    const size_t home = HomeSlot(m_slots[next].flow);
    const size_t mask = m_slots.size() - 1;
    // An entry may move to the freed slot only if the slot lies on the probe
    // sequence between the entry's home slot and its present slot.
    if (((next - home) & mask) >= ((next - free_slot) & mask)) {
      m_slots[free_slot] = m_slots[next];
      free_slot = next;
    }
    next = NextSlot(next);
  }
  m_slots[free_slot] = FlowEntry{};
  --m_size;
}

}  // namespace medlargauge

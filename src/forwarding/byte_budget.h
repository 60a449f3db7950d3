// @file byte_budget.h Limit of the rate at which bytes are sent.
#ifndef MEDLARGAUGE_FORWARDING_BYTE_BUDGET_H_
#define MEDLARGAUGE_FORWARDING_BYTE_BUDGET_H_

#include <algorithm>
#include <cstdint>

#include "src/core/time_type.h"

namespace medlargauge {

/// Token bucket that holds the bytes of one second. An item larger than what is
/// left is sent, and delays later ones. Deterministic: reads no clock. Not
/// thread-safe.
class ByteBudget {
 public:
  /// @param bytes_per_second the limit. Precondition: not 0
  explicit ByteBudget(uint64_t bytes_per_second)
      : m_bytes_per_second(bytes_per_second) {}

  /// Takes the bytes of one item if the budget is not used up.
  /// @return whether the item may be sent
  bool Take(TimePoint now, uint64_t bytes) {
    if (m_used_until - now > kBurst) {
      return false;
    }
    m_used_until = std::max(m_used_until, now) +
                   Seconds(1) * static_cast<int64_t>(bytes) /
                       static_cast<int64_t>(m_bytes_per_second);
    return true;
  }

 private:
  static constexpr Duration kBurst = Seconds(1);

  uint64_t m_bytes_per_second;  ///< The limit.
  TimePoint m_used_until;       ///< When the bytes taken so far are paid for.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_BYTE_BUDGET_H_

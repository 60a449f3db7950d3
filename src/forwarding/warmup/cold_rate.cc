// @file cold_rate.cc Sliding window of new flows.
#include "src/forwarding/warmup/cold_rate.h"

#include <algorithm>
#include <cmath>

namespace medlargauge {
namespace {

/// Flows in a window that are counted; no cold server bears as many.
constexpr size_t kMaxCounted = 100'000;
/// Targets with a lower revision are believed after this time, as a restored
/// store gives out revisions again.
constexpr Duration kRevisionMemory = Seconds(5);

}  // namespace

void ColdRate::OnStated(TimePoint now,
                        uint64_t revision,
                        std::optional<uint32_t> per_second) {
  const bool is_older =
      revision < m_revision && now - m_stated_at < kRevisionMemory;
  if (!per_second.has_value() || is_older) {
    return;
  }
  m_per_second = *per_second;
  m_revision = revision;
  m_stated_at = now;
}

void ColdRate::OnDelivered(TimePoint now) {
  while (!m_delivered.empty() && (m_delivered.front() + kWindow <= now ||
                                  m_delivered.size() >= kMaxCounted)) {
    m_delivered.pop_front();
  }
  m_delivered.push_back(now);
}

std::optional<uint64_t> ColdRate::Limit() const {
  if (m_per_second == 0) {
    return std::nullopt;
  }
  const double rate = m_per_second;
  const double bound =
      std::max(rate, rate * m_bounds.overshoot + m_bounds.slack);
  // Half of what the bound allows beyond the rate remains as a margin.
  return static_cast<uint64_t>(std::floor((rate + bound) / 2));
}

bool ColdRate::IsExhausted(TimePoint now) const {
  const std::optional<uint64_t> limit = Limit();
  if (!limit.has_value()) {
    return false;
  }
  if (now < m_unknown_until) {
    return true;
  }
  const auto first =
      std::upper_bound(m_delivered.begin(), m_delivered.end(), now - kWindow);
  return static_cast<uint64_t>(m_delivered.end() - first) >= *limit;
}

}  // namespace medlargauge

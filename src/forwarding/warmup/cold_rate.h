// @file cold_rate.h Limit of the new flows of a server that has just started.
#ifndef MEDLARGAUGE_FORWARDING_WARMUP_COLD_RATE_H_
#define MEDLARGAUGE_FORWARDING_WARMUP_COLD_RATE_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "src/core/time_type.h"

namespace medlargauge {

/// How far the new flows of a cold server may exceed the rate that it bears, in
/// any window of a second: rate * overshoot + slack. The values are those of
/// the deployment; without any, the rate itself is the bound.
struct ColdRateBounds {
  double overshoot = 1;  ///< Factor on the rate, at least 1.
  double slack = 0;      ///< Flows in addition, at least 0.
};

/// Counts the new flows of a server in a sliding window and tells when a cold
/// server may get no more. Balancers state the rate, which the operators set
/// for each service. Deterministic: it reads no clock. Not thread-safe.
class ColdRate {
 public:
  explicit ColdRate(ColdRateBounds bounds) : m_bounds(bounds) {}

  /// Takes over the rate that a balancer states.
  /// @param revision of the balancer's targets; older ones than known are
  ///     ignored for as long as the newer ones are stated now and then
  /// @param per_second new flows per second; 0: no limit; nullopt: the balancer
  ///     states none
  void OnStated(TimePoint now,
                uint64_t revision,
                std::optional<uint32_t> per_second);

  /// Counts a new flow that the server gets.
  void OnDelivered(TimePoint now);

  /// Takes the window for used up, as an earlier process of this agent may have
  /// delivered flows in it.
  void OnUnknownPast(TimePoint now) { m_unknown_until = now + kWindow; }
  /// Withdraws OnUnknownPast, because the server has just started.
  void OnServerStart() { m_unknown_until = TimePoint(); }

  /// Returns whether a cold server may get no new flow now.
  bool IsExhausted(TimePoint now) const;

  /// Returns the limit of new flows in a window; nullopt: no limit.
  std::optional<uint64_t> Limit() const;

  /// The window of the bound, and a margin for packets that reach the server
  /// later than others did.
  static constexpr Duration kWindow = Milliseconds(1050);

 private:
  ColdRateBounds m_bounds;
  uint32_t m_per_second = 0;          ///< Stated rate; 0: no limit.
  uint64_t m_revision = 0;            ///< Targets that state m_per_second.
  TimePoint m_stated_at;              ///< When they were last stated.
  TimePoint m_unknown_until;          ///< See OnUnknownPast.
  std::deque<TimePoint> m_delivered;  ///< New flows, oldest first.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_WARMUP_COLD_RATE_H_

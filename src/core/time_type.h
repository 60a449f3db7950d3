// @file time_type.h Monotonic time that the caller passes in.
#ifndef MEDLARGAUGE_CORE_TIME_TYPE_H_
#define MEDLARGAUGE_CORE_TIME_TYPE_H_

#include <chrono>
#include <cstdint>

namespace medlargauge {

/// A span of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Clock type of time points that the caller passes in. It has no `now()` on
/// purpose: decision logic must not read a clock, so that tests control time.
struct InjectedClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<InjectedClock>;
};

/// A point in monotonic time, also used for deadlines.
using TimePoint = InjectedClock::time_point;

/// Returns a duration of `count` milliseconds. Thread-safe.
constexpr Duration Milliseconds(int64_t count) {
  return std::chrono::milliseconds(count);
}

/// Returns a duration of `count` seconds. Thread-safe.
constexpr Duration Seconds(int64_t count) {
  return std::chrono::seconds(count);
}

/// Returns the whole milliseconds in a duration, rounded towards zero.
/// Thread-safe.
constexpr int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CORE_TIME_TYPE_H_

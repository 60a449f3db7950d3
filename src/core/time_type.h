// @file time_type.h Injected monotonic time.
#ifndef MEDLARGAUGE_CORE_TIME_TYPE_H_
#define MEDLARGAUGE_CORE_TIME_TYPE_H_

#include <chrono>
#include <cstdint>

namespace medlargauge {

using Duration = std::chrono::nanoseconds;

/// Clock tag for time that the caller passes in. It has no `now()` on purpose:
/// decision logic must not read a clock.
struct InjectedClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<InjectedClock>;
};

/// A point in monotonic time. Deadlines are stored as such points.
using TimePoint = InjectedClock::time_point;

/// Converts whole milliseconds to a duration. Thread-safe.
constexpr Duration Milliseconds(int64_t count) {
  return std::chrono::milliseconds(count);
}

/// Converts whole seconds to a duration. Thread-safe.
constexpr Duration Seconds(int64_t count) {
  return std::chrono::seconds(count);
}

/// Returns the milliseconds of a duration, rounded down. Thread-safe.
constexpr int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CORE_TIME_TYPE_H_

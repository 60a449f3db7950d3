// @file measure.h What several measurements count by.
#ifndef MEDLARGAUGE_BENCH_MEASURE_H_
#define MEDLARGAUGE_BENCH_MEASURE_H_

#include <cstddef>
#include <ctime>

namespace medlargauge {

/// Bytes around each control message: ZeroMQ, TCP, IP and options.
constexpr size_t kFrameBytes = 9 + 20 + 20 + 32;

/// Returns the processor time of the calling thread, in seconds. Thread-safe.
inline double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_BENCH_MEASURE_H_

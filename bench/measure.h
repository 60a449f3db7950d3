// @file measure.h Constants and clocks that several benchmarks share.
#ifndef MEDLARGAUGE_BENCH_MEASURE_H_
#define MEDLARGAUGE_BENCH_MEASURE_H_

#include <cstddef>
#include <ctime>

namespace medlargauge {

/// Overhead of each control message on the wire, in bytes: ZeroMQ frame, TCP
/// header, IP header, and options.
constexpr size_t kMessageOverheadBytes = 9 + 20 + 20 + 32;

/// Returns the processor time that the calling thread has used, in seconds.
/// Thread-safe.
inline double ThreadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_BENCH_MEASURE_H_

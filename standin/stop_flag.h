// @file stop_flag.h SIGTERM and SIGINT as a flag.
#ifndef MEDLARGAUGE_STANDIN_STOP_FLAG_H_
#define MEDLARGAUGE_STANDIN_STOP_FLAG_H_

namespace medlargauge {

/// Starts to listen for SIGTERM and SIGINT.
void InstallStopFlag();

/// Returns whether one of them has arrived. Thread-safe.
bool IsStopRequested();

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STANDIN_STOP_FLAG_H_

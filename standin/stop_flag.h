// @file stop_flag.h Process-wide flag that SIGTERM and SIGINT set.
#ifndef MEDLARGAUGE_STANDIN_STOP_FLAG_H_
#define MEDLARGAUGE_STANDIN_STOP_FLAG_H_

namespace medlargauge {

/// Installs handlers for SIGTERM and SIGINT that set the stop flag.
void InstallStopFlag();

/// Returns whether SIGTERM or SIGINT has arrived. Thread-safe.
bool IsStopRequested();

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STANDIN_STOP_FLAG_H_

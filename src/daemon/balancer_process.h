// @file balancer_process.h Daemon process in the role of a balancer.
#ifndef MEDLARGAUGE_DAEMON_BALANCER_PROCESS_H_
#define MEDLARGAUGE_DAEMON_BALANCER_PROCESS_H_

#include "src/core/error_type.h"
#include "src/daemon/settings_type.h"

namespace medlargauge {

/// Runs a balancer until SIGTERM or SIGINT, then stops it without losing
/// packets. Blocks until the balancer has stopped.
/// Precondition: BlockStopSignals was called.
/// @return false with a reason if the balancer could not start
bool RunBalancer(const Settings& settings, Error* reason);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_BALANCER_PROCESS_H_

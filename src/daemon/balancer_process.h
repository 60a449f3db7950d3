// @file balancer_process.h The daemon in the role of a balancer.
#ifndef MEDLARGAUGE_DAEMON_BALANCER_PROCESS_H_
#define MEDLARGAUGE_DAEMON_BALANCER_PROCESS_H_

#include "src/core/error_type.h"
#include "src/daemon/settings_type.h"

namespace medlargauge {

/// Runs a balancer until SIGTERM or SIGINT, then stops without losing packets.
/// Precondition: BlockStopSignals was called. @return false with a reason if
/// it could not start
bool RunBalancer(const Settings& settings, Error* reason);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_BALANCER_PROCESS_H_

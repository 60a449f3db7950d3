// @file agent_process.h Daemon process in the role of an agent.
#ifndef MEDLARGAUGE_DAEMON_AGENT_PROCESS_H_
#define MEDLARGAUGE_DAEMON_AGENT_PROCESS_H_

#include <string>

#include "src/core/error_type.h"
#include "src/daemon/settings_type.h"

namespace medlargauge {

/// Runs an agent until SIGTERM or SIGINT, then drains it and stops. Blocks
/// until the agent has stopped. Precondition: BlockStopSignals was called.
/// @param predecessor admin address of the agent to take over from; empty if
///     there is none
/// @return false with a reason if the agent could not start
bool RunAgent(const Settings& settings,
              const std::string& predecessor,
              Error* reason);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_AGENT_PROCESS_H_

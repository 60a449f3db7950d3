// @file fleet_commands.h Commands that ask the daemons.
#ifndef MEDLARGAUGE_CTL_FLEET_COMMANDS_H_
#define MEDLARGAUGE_CTL_FLEET_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/ctl/ctl_type.h"

namespace medlargauge {

/// Prints members as one daemon knows them. Thread-safe. @return exit status
int ShowMembers(const CtlOptions& options,
                const std::vector<std::string>& words);

/// Asks every member for its status and prints open flows, imbalance and
/// broken flows by service. Thread-safe. @return exit status
int ShowStatus(const CtlOptions& options,
               const std::vector<std::string>& words);

/// Prints the hops of one trace from span files. Thread-safe.
/// @return exit status
int ShowTrace(const CtlOptions& options, const std::vector<std::string>& words);

/// Waits until a revision is in force on every balancer. Thread-safe.
/// @return exit status
int WaitInForce(const CtlOptions& options,
                const std::string& class_name,
                uint64_t revision);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CTL_FLEET_COMMANDS_H_

// @file fleet_commands.h Commands for the state of the fleet.
#ifndef MEDLARGAUGE_CTL_FLEET_COMMANDS_H_
#define MEDLARGAUGE_CTL_FLEET_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/ctl/ctl_type.h"

namespace medlargauge {

/// Prints the membership table of the daemon at --daemon. Thread-safe.
/// @return exit status
int ShowMembers(const CtlOptions& options,
                const std::vector<std::string>& arguments);

/// Requests the status of every live member and prints open flows, imbalance
/// and suspected broken flows by service. Thread-safe. @return exit status
int ShowStatus(const CtlOptions& options,
               const std::vector<std::string>& arguments);

/// Prints the hops of the trace arguments[0] from the span files that follow
/// it. Thread-safe. @return exit status
int ShowTrace(const CtlOptions& options,
              const std::vector<std::string>& arguments);

/// Waits until a revision of a class's target or a later one is in force on
/// every live balancer, for at most options.wait_s seconds. Thread-safe.
/// @return exit status
int WaitUntilInForce(const CtlOptions& options,
                     const std::string& class_name,
                     uint64_t revision);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CTL_FLEET_COMMANDS_H_

// @file check_command.h Checks a file of targets without a fleet.
#ifndef MEDLARGAUGE_CTL_CHECK_COMMAND_H_
#define MEDLARGAUGE_CTL_CHECK_COMMAND_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/ctl/ctl_type.h"
#include "src/forwarding/active_routes.h"

namespace medlargauge {

/// Decodes the text of a file of targets.
/// @param reason kMalformedValue with the invalid field when there is no result
using TargetsDecoder =
    std::function<std::optional<RouteTable>(std::string text, Error* reason)>;

/// Prints what is wrong in the file arguments[0] and, with --against, what
/// differs from the version in force. Thread-safe.
/// @return 0 without errors, else the exit status of kRefused (errors),
///     kMalformedValue (a file cannot be decoded) or kIo (cannot be read)
int CheckTargets(const CtlOptions& options,
                 const std::vector<std::string>& arguments,
                 const TargetsDecoder& decode);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CTL_CHECK_COMMAND_H_

// @file script.h Scenario language: Lua scripts that drive a World.
#ifndef MEDLARGAUGE_SCENARIO_SCRIPT_H_
#define MEDLARGAUGE_SCENARIO_SCRIPT_H_

#include <optional>
#include <string>

#include "src/core/error_type.h"
#include "src/locate/agent_type.h"

namespace medlargauge {

/// Runs one scenario in simulated time. Thread-safe. Returns the output of the
/// script, with a line for its title and for each expectation; nullopt if the
/// script fails.
/// @param text Lua source; docs/DEVELOPING.md lists the functions
/// @param fault_injection disables rules, to show that expectations detect it
/// @param reason set if the script fails
std::optional<std::string> RunScript(const std::string& text,
                                     const FaultInjection& fault_injection,
                                     Error* reason);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_SCRIPT_H_

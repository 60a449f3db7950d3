// @file script.h The scenario language: Lua scripts that drive a world.
#ifndef MEDLARGAUGE_SCENARIO_SCRIPT_H_
#define MEDLARGAUGE_SCENARIO_SCRIPT_H_

#include <optional>
#include <string>

#include "src/core/error_type.h"
#include "src/locate/agent_type.h"

namespace medlargauge {

/// Runs one scenario in simulated time. Thread-safe.
/// @param text Lua source; docs/DEVELOPING.md lists the functions
/// @param fault_injection breaks central rules, to show that expectations
/// notice
/// @param reason filled when the script is not valid
/// @return its output: one line for each step and expectation
std::optional<std::string> RunScript(const std::string& text,
                                     const FaultInjection& fault_injection,
                                     Error* reason);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_SCENARIO_SCRIPT_H_

// @file lab_scenarios.h Built-in scenarios and policies.
#ifndef MEDLARGAUGE_LAB_LAB_SCENARIOS_H_
#define MEDLARGAUGE_LAB_LAB_SCENARIOS_H_

#include <optional>
#include <string_view>
#include <vector>

#include "lab/lab_type.h"

namespace medlargauge::lab {

/// Returns the names of all built-in scenarios. Thread-safe.
std::vector<std::string> ScenarioNames();

/// Returns a built-in scenario, or nullopt. Thread-safe.
std::optional<Scenario> FindScenario(std::string_view name);

/// Returns the names of all policies. Thread-safe.
std::vector<std::string> PolicyNames();

/// Returns a policy, or nullopt. Thread-safe.
std::optional<Policy> FindPolicy(std::string_view name);

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_LAB_SCENARIOS_H_

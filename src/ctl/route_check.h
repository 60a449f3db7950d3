// @file route_check.h Finds mistakes in routes before they are sent.
#ifndef MEDLARGAUGE_CTL_ROUTE_CHECK_H_
#define MEDLARGAUGE_CTL_ROUTE_CHECK_H_

#include <string>
#include <vector>

#include "src/forwarding/active_routes.h"

namespace medlargauge {

/// How much a finding matters.
enum class FindingLevel : uint8_t {
  kError,       ///< Must not be sent.
  kWarning,     ///< Has no effect, or is unusual.
  kDifference,  ///< Differs from the version in force.
};

/// One result of a check.
struct RouteFinding {
  FindingLevel level = FindingLevel::kError;  ///< How much it matters.
  std::string entry;   ///< Name of the route; empty: the whole table.
  std::string field;   ///< Setting that it is about.
  std::string reason;  ///< What is wrong or differs.

  friend bool operator==(const RouteFinding& a, const RouteFinding& b) {
    return a.level == b.level && a.entry == b.entry && a.field == b.field &&
           a.reason == b.reason;
  }
};

/// Returns the word for a level in the output of the tool. Thread-safe.
std::string_view LevelName(FindingLevel level);

/// Finds entries that can never match and settings that contradict each other.
/// Thread-safe.
std::vector<RouteFinding> CheckRoutes(const RouteTable& table);

/// Returns what differs between the table in force and a new one; routes are
/// matched by name. Thread-safe.
std::vector<RouteFinding> CompareRoutes(const RouteTable& in_force,
                                        const RouteTable& table);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CTL_ROUTE_CHECK_H_

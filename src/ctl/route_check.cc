// @file route_check.cc Finds mistakes in routes before they are sent.
#include "src/ctl/route_check.h"

#include <algorithm>
#include <map>

namespace medlargauge {
namespace {

using Findings = std::vector<RouteFinding>;

std::string FormatAddress(SocketAddress4 address) {
  std::string text;
  for (const uint32_t shift : {24U, 16U, 8U, 0U}) {
    text += std::to_string(address.ip >> shift & 0xFFU);
    text += shift == 0 ? ':' : '.';
  }
  return text + std::to_string(address.port);
}

void CheckShares(const ServiceRoute& route, Findings* findings) {
  const ServiceId no_service = ServiceIdOf("");
  uint64_t total = 0;
  for (const RouteShare& share : route.shares) {
    total += share.weight;
    if (share.service == no_service) {
      findings->push_back({FindingLevel::kError, route.name, "service",
                           route.priority > 0
                               ? "a route with a priority has no service"
                               : "is empty"});
    }
    if (share.weight == 0) {
      findings->push_back({FindingLevel::kWarning, route.name, "share",
                           "a share of 0 gets no new flow"});
    }
  }
  if (total == 0) {
    findings->push_back({FindingLevel::kError, route.name, "share",
                         "no service has a share above 0"});
  }
}

void CheckTimes(const ServiceRoute& route, Findings* findings) {
  const bool contradicts = route.goal_ms > 0 && route.timeout_ms > 0 &&
                           route.goal_ms > route.timeout_ms;
  if (contradicts) {
    findings->push_back({FindingLevel::kError, route.name, "time limit",
                         std::to_string(route.timeout_ms) +
                             " ms is below the goal of " +
                             std::to_string(route.goal_ms) + " ms"});
  }
}

/// A setting of a route that is compared as text.
struct ComparedSetting {
  const char* field;
  std::string (*text)(const ServiceRoute&);
};

constexpr ComparedSetting kSettings[] = {
    {"address",
     [](const ServiceRoute& route) { return FormatAddress(route.address); }},
    {"repeatable",
     [](const ServiceRoute& route) {
       return std::string(route.repeatable ? "yes" : "no");
     }},
    {"time limit",
     [](const ServiceRoute& route) {
       return std::to_string(route.timeout_ms) + " ms";
     }},
    {"goal",
     [](const ServiceRoute& route) {
       return std::to_string(route.goal_ms) + " ms";
     }},
    {"priority",
     [](const ServiceRoute& route) { return std::to_string(route.priority); }},
};

/// Returns the weights by service.
std::map<ServiceId, uint64_t> WeightsOf(const ServiceRoute& route) {
  std::map<ServiceId, uint64_t> weights;
  for (const RouteShare& share : route.shares) {
    weights[share.service] += share.weight;
  }
  return weights;
}

void CompareRoute(const ServiceRoute& in_force,
                  const ServiceRoute& route,
                  Findings* findings) {
  for (const ComparedSetting& setting : kSettings) {
    std::string change = setting.text(in_force);
    const std::string after = setting.text(route);
    if (change != after) {
      change.append(" becomes ").append(after);
      findings->push_back(
          {FindingLevel::kDifference, route.name, setting.field, change});
    }
  }
  if (WeightsOf(in_force) != WeightsOf(route)) {
    findings->push_back({FindingLevel::kDifference, route.name, "share",
                         "other services or shares"});
  }
}

const ServiceRoute* FindByName(const RouteTable& table,
                               const std::string& name) {
  const auto found =
      std::find_if(table.routes.begin(), table.routes.end(),
                   [&name](const ServiceRoute& r) { return r.name == name; });
  return found == table.routes.end() ? nullptr : &*found;
}

}  // namespace

std::string_view LevelName(FindingLevel level) {
  switch (level) {
    case FindingLevel::kError:
      return "error";
    case FindingLevel::kWarning:
      return "warning";
    case FindingLevel::kDifference:
      return "difference";
  }
  return "";
}

std::vector<RouteFinding> CheckRoutes(const RouteTable& table) {
  Findings findings;
  std::map<SocketAddress4, std::string> by_address;
  std::map<std::string, size_t> by_name;
  for (const ServiceRoute& route : table.routes) {
    const auto [other, is_new] =
        by_address.try_emplace(route.address, route.name);
    if (!is_new) {
      findings.push_back({FindingLevel::kError, route.name, "address",
                          FormatAddress(route.address) +
                              " is that of route \"" + other->second +
                              "\" too; only one can match"});
    }
    if (++by_name[route.name] == 2) {
      findings.push_back({FindingLevel::kWarning, route.name, "name",
                          "several routes have it"});
    }
    CheckShares(route, &findings);
    CheckTimes(route, &findings);
  }
  if (table.routes.empty()) {
    findings.push_back({FindingLevel::kWarning, "", "routes",
                        "there are none; every new flow would be reset"});
  }
  return findings;
}

std::vector<RouteFinding> CompareRoutes(const RouteTable& in_force,
                                        const RouteTable& table) {
  Findings findings;
  const uint64_t old_version = in_force.identity.operators_version;
  const uint64_t new_version = table.identity.operators_version;
  if (new_version <= old_version) {
    findings.push_back({FindingLevel::kWarning, "", "version",
                        std::to_string(new_version) +
                            " is not above that in force, " +
                            std::to_string(old_version)});
  }
  if (in_force.idle_timeout_ms != table.idle_timeout_ms) {
    findings.push_back({FindingLevel::kDifference, "", "idle timeout",
                        std::to_string(in_force.idle_timeout_ms) +
                            " ms becomes " +
                            std::to_string(table.idle_timeout_ms) + " ms"});
  }
  for (const ServiceRoute& route : table.routes) {
    const ServiceRoute* before = FindByName(in_force, route.name);
    if (before == nullptr) {
      findings.push_back(
          {FindingLevel::kDifference, route.name, "route", "is new"});
    } else {
      CompareRoute(*before, route, &findings);
    }
  }
  for (const ServiceRoute& route : in_force.routes) {
    if (FindByName(table, route.name) == nullptr) {
      findings.push_back(
          {FindingLevel::kDifference, route.name, "route", "is removed"});
    }
  }
  return findings;
}

}  // namespace medlargauge

// @file fleet_commands.cc Status of the fleet from the daemons' admin servers.
#include "src/ctl/fleet_commands.h"

#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "src/core/error.h"
#include "src/daemon/address.h"

namespace medlargauge {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kStatusTimeout{800};
constexpr std::chrono::milliseconds kStatusPollInterval{50};

/// Returns the status of the daemon at an admin address, or nullopt if it does
/// not answer with a JSON object.
std::optional<json> GetStatus(const std::string& address) {
  const std::optional<HostPort> parsed = ParseHostPort(address);
  if (!parsed.has_value()) {
    return std::nullopt;
  }
  httplib::Client client(parsed->host, parsed->port);
  client.set_connection_timeout(kStatusTimeout);
  client.set_read_timeout(kStatusTimeout);
  const httplib::Result result = client.Get("/status");
  if (!result || result->status != 200) {
    return std::nullopt;
  }
  json status = json::parse(result->body, nullptr, false);
  return status.is_object() ? std::make_optional(status) : std::nullopt;
}

/// Returns the members known to the daemon at --daemon; prints an error and
/// returns nullopt if it does not answer.
std::optional<json> GetMembers(const CtlOptions& options) {
  const std::optional<json> status = GetStatus(options.daemon);
  if (!status.has_value()) {
    ReportError(
        {ErrorKind::kIo, "no valid status from --daemon=" + options.daemon});
    return std::nullopt;
  }
  return status->value("members", json::array());
}

/// Statistics of the agents of one service.
struct ServiceLoad {
  uint64_t flows = 0;       ///< Open flows of the ready backend servers.
  uint64_t max_flows = 0;   ///< Most open flows of a ready backend server.
  uint64_t servers = 0;     ///< Number of ready backend servers.
  uint64_t suspicions = 0;  ///< Established flows that no agent knew.
  uint64_t violations = 0;  ///< Broken invariants.

  /// Returns the ratio of the most open flows to the mean; 1 without flows.
  double Imbalance() const {
    const double mean = servers == 0 ? 0 : static_cast<double>(flows) / servers;
    return mean == 0 ? 1 : static_cast<double>(max_flows) / mean;
  }
};

/// Adds the status of an agent to the statistics of its service.
void AddAgentToLoad(const json& status, ServiceLoad* load) {
  load->suspicions += status.value("broken_flow_suspicions", uint64_t{0});
  load->violations += status.value("invariant_violations", uint64_t{0});
  if (status.value("state", "") != "ready") {
    return;
  }
  const uint64_t open_flows = status.value("open_flows", uint64_t{0});
  load->flows += open_flows;
  load->max_flows = std::max(load->max_flows, open_flows);
  ++load->servers;
}

void PrintStatus(const CtlOptions& options,
                 const std::map<std::string, ServiceLoad>& services,
                 const std::map<std::string, uint64_t>& balancers,
                 uint64_t silent_members) {
  if (options.json) {
    json out = {{"services", json::object()},
                {"balancers", balancers},
                {"silent_members", silent_members}};
    for (const auto& [name, load] : services) {
      out["services"][name] = {{"open_flows", load.flows},
                               {"ready_servers", load.servers},
                               {"imbalance", load.Imbalance()},
                               {"broken_flow_suspicions", load.suspicions},
                               {"invariant_violations", load.violations}};
    }
    std::cout << out.dump() << "\n";
    return;
  }
  for (const auto& [name, load] : services) {
    std::cout << "service " << name << "  ready_servers=" << load.servers
              << " open_flows=" << load.flows
              << " imbalance=" << load.Imbalance()
              << " broken_flow_suspicions=" << load.suspicions
              << " invariant_violations=" << load.violations << "\n";
  }
  for (const auto& [name, revision] : balancers) {
    std::cout << "balancer " << name << "  revision=" << revision << "\n";
  }
  if (silent_members > 0) {
    std::cout << "members that did not answer: " << silent_members << "\n";
  }
}

/// Returns whether `revision` of a class's target or a later one is in force on
/// all live balancers, and sets the number of those where it is not. A balancer
/// that does not answer counts as one of those.
bool IsInForceEverywhere(const json& members,
                         const std::string& class_name,
                         uint64_t revision,
                         size_t* balancers_behind) {
  *balancers_behind = 0;
  for (const json& member : members) {
    const bool is_live_balancer = member.value("role", "") == "balancer" &&
                                  member.value("state", "") != "gone";
    if (!is_live_balancer) {
      continue;
    }
    const std::optional<json> status =
        GetStatus(member.value("admin_address", ""));
    const uint64_t revision_in_force =
        status.has_value() ? status->value("classes", json::object())
                                 .value(class_name, uint64_t{0})
                           : 0;
    *balancers_behind += revision_in_force >= revision ? 0 : 1;
  }
  return *balancers_behind == 0;
}

}  // namespace

int ShowMembers(const CtlOptions& options, const std::vector<std::string>&) {
  const std::optional<json> members = GetMembers(options);
  if (!members.has_value()) {
    return Describe(ErrorKind::kIo).exit_code;
  }
  for (const json& member : *members) {
    if (options.json) {
      std::cout << member.dump() << "\n";
      continue;
    }
    std::cout << member.value("name", "")
              << "  role=" << member.value("role", "")
              << " service=" << member.value("service", "")
              << " version=" << member.value("version", "")
              << " failure_domain=" << member.value("failure_domain", "")
              << " state=" << member.value("state", "") << "\n";
  }
  return 0;
}

int ShowStatus(const CtlOptions& options, const std::vector<std::string>&) {
  const std::optional<json> members = GetMembers(options);
  if (!members.has_value()) {
    return Describe(ErrorKind::kIo).exit_code;
  }
  std::map<std::string, ServiceLoad> services;
  std::map<std::string, uint64_t> balancers;
  uint64_t silent_members = 0;
  for (const json& member : *members) {
    if (member.value("state", "") == "gone") {
      continue;
    }
    const std::optional<json> status =
        GetStatus(member.value("admin_address", ""));
    if (!status.has_value()) {
      ++silent_members;
    } else if (member.value("role", "") == "balancer") {
      balancers[member.value("name", "")] =
          status->value("revision", uint64_t{0});
    } else {
      AddAgentToLoad(*status, &services[member.value("service", "")]);
    }
  }
  PrintStatus(options, services, balancers, silent_members);
  return 0;
}

int ShowTrace(const CtlOptions& options,
              const std::vector<std::string>& arguments) {
  bool found = false;
  for (size_t i = 1; i < arguments.size(); ++i) {
    std::ifstream file(arguments[i]);
    if (!file) {
      return ReportError(
          {ErrorKind::kIo, arguments[i] + ": cannot read the span file"});
    }
    std::string line;
    while (std::getline(file, line)) {
      if (line.find("\"" + arguments[0] + "\"") == std::string::npos) {
        continue;
      }
      found = true;
      const json span = json::parse(line, nullptr, false);
      if (options.json || span.is_discarded()) {
        std::cout << line << "\n";
        continue;
      }
      const json& resource = span["resourceSpans"][0];
      const json& hop = resource["scopeSpans"][0]["spans"][0];
      std::cout << hop.value("startTimeUnixNano", "") << "  "
                << resource["resource"]["attributes"][0]["value"].value(
                       "stringValue", "")
                << "  " << hop.value("name", "") << "  -> "
                << hop["attributes"][0]["value"].value("stringValue", "")
                << "\n";
    }
  }
  return found ? 0
               : ReportError({ErrorKind::kNotFound,
                              "no span of trace " + arguments[0]});
}

int WaitUntilInForce(const CtlOptions& options,
                     const std::string& class_name,
                     uint64_t revision) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(options.wait_s);
  size_t balancers_behind = 0;
  do {
    const std::optional<json> members = GetMembers(options);
    if (!members.has_value()) {
      return Describe(ErrorKind::kIo).exit_code;
    }
    if (IsInForceEverywhere(*members, class_name, revision,
                            &balancers_behind)) {
      return 0;
    }
    std::this_thread::sleep_for(kStatusPollInterval);
  } while (std::chrono::steady_clock::now() < deadline);
  return ReportError({ErrorKind::kNotInForce,
                      "accepted, but not yet in force on " +
                          std::to_string(balancers_behind) + " balancers"});
}

}  // namespace medlargauge

// @file fleet_commands.cc Status of the fleet over the admin interfaces.
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

constexpr std::chrono::milliseconds kTimeout{800};
constexpr std::chrono::milliseconds kWaitStep{50};

std::optional<json> GetStatus(const std::string& address) {
  const std::optional<HostPort> parsed = ParseHostPort(address);
  if (!parsed.has_value()) {
    return std::nullopt;
  }
  httplib::Client client(parsed->host, parsed->port);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  const httplib::Result result = client.Get("/status");
  if (!result || result->status != 200) {
    return std::nullopt;
  }
  json status = json::parse(result->body, nullptr, false);
  return status.is_object() ? std::make_optional(status) : std::nullopt;
}

std::optional<json> GetMembers(const CtlOptions& options) {
  const std::optional<json> status = GetStatus(options.daemon);
  if (!status.has_value()) {
    Report({ErrorKind::kIo, "no answer from --daemon=" + options.daemon});
    return std::nullopt;
  }
  return status->value("members", json::array());
}

/// Open flows of the ready backend servers of one service.
struct ServiceLoad {
  uint64_t flows = 0;       ///< Sum.
  uint64_t largest = 0;     ///< Of one backend server.
  uint64_t servers = 0;     ///< Ready ones.
  uint64_t suspicions = 0;  ///< Established flows that nobody knew.
  uint64_t violations = 0;  ///< Broken invariants.

  double Imbalance() const {
    const double mean = servers == 0 ? 0 : static_cast<double>(flows) / servers;
    return mean == 0 ? 1 : static_cast<double>(largest) / mean;
  }
};

void AddAgent(const json& status, ServiceLoad* load) {
  load->suspicions += status.value("broken_flow_suspicions", uint64_t{0});
  load->violations += status.value("invariant_violations", uint64_t{0});
  if (status.value("state", "") != "ready") {
    return;
  }
  const uint64_t open = status.value("open_flows", uint64_t{0});
  load->flows += open;
  load->largest = std::max(load->largest, open);
  ++load->servers;
}

void PrintStatus(const CtlOptions& options,
                 const std::map<std::string, ServiceLoad>& services,
                 const std::map<std::string, uint64_t>& balancers,
                 uint64_t silent) {
  if (options.json) {
    json out = {{"services", json::object()},
                {"balancers", balancers},
                {"silent_members", silent}};
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
  if (silent > 0) {
    std::cout << "members that did not answer: " << silent << "\n";
  }
}

/// Returns whether all live balancers have `revision` or a later one.
bool IsInForce(const json& members,
               const std::string& class_name,
               uint64_t revision,
               size_t* behind) {
  *behind = 0;
  for (const json& member : members) {
    const bool counts = member.value("role", "") == "balancer" &&
                        member.value("state", "") != "gone";
    if (!counts) {
      continue;
    }
    const std::optional<json> status =
        GetStatus(member.value("admin_address", ""));
    const uint64_t known = status.has_value()
                               ? status->value("classes", json::object())
                                     .value(class_name, uint64_t{0})
                               : 0;
    *behind += known >= revision ? 0 : 1;
  }
  return *behind == 0;
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
  uint64_t silent = 0;
  for (const json& member : *members) {
    if (member.value("state", "") == "gone") {
      continue;
    }
    const std::optional<json> status =
        GetStatus(member.value("admin_address", ""));
    if (!status.has_value()) {
      ++silent;
    } else if (member.value("role", "") == "balancer") {
      balancers[member.value("name", "")] =
          status->value("revision", uint64_t{0});
    } else {
      AddAgent(*status, &services[member.value("service", "")]);
    }
  }
  PrintStatus(options, services, balancers, silent);
  return 0;
}

int ShowTrace(const CtlOptions& options,
              const std::vector<std::string>& words) {
  bool found = false;
  for (size_t i = 1; i < words.size(); ++i) {
    std::ifstream file(words[i]);
    if (!file) {
      return Report({ErrorKind::kIo, words[i] + ": cannot be read"});
    }
    std::string line;
    while (std::getline(file, line)) {
      if (line.find("\"" + words[0] + "\"") == std::string::npos) {
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
  return found ? 0 : Report({ErrorKind::kNotFound, "trace " + words[0]});
}

int WaitInForce(const CtlOptions& options,
                const std::string& class_name,
                uint64_t revision) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(options.wait_s);
  size_t behind = 0;
  do {
    const std::optional<json> members = GetMembers(options);
    if (!members.has_value()) {
      return Describe(ErrorKind::kIo).exit_code;
    }
    if (IsInForce(*members, class_name, revision, &behind)) {
      return 0;
    }
    std::this_thread::sleep_for(kWaitStep);
  } while (std::chrono::steady_clock::now() < deadline);
  return Report({ErrorKind::kNotInForce, "accepted, but not yet in force on " +
                                             std::to_string(behind) +
                                             " balancers"});
}

}  // namespace medlargauge

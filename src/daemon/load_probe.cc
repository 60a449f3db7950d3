// @file load_probe.cc HTTP request and parsing of a backend server's load.
#include "src/daemon/load_probe.h"

#include <httplib.h>

#include <chrono>
#include <nlohmann/json.hpp>

#include "src/daemon/address.h"

namespace medlargauge {
namespace {

constexpr std::chrono::milliseconds kProbeTimeout{500};

}  // namespace

std::optional<LoadReport> ProbeServerLoad(const std::string& address) {
  const std::optional<HostPort> parsed = ParseHostPort(address);
  if (!parsed.has_value()) {
    return std::nullopt;
  }
  httplib::Client client(parsed->host, parsed->port);
  client.set_connection_timeout(kProbeTimeout);
  client.set_read_timeout(kProbeTimeout);
  const httplib::Result result = client.Get("/load");
  if (!result || result->status != 200) {
    return std::nullopt;
  }
  const nlohmann::json body =
      nlohmann::json::parse(result->body, nullptr, false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  LoadReport report;
  const auto open_connections = body.find("open");
  report.has_connections = open_connections != body.end() &&
                           open_connections->is_number() &&
                           open_connections->get<double>() > 0;
  const auto read_flag = [&body](const char* key) {
    const auto found = body.find(key);
    return found != body.end() && found->is_boolean() && found->get<bool>();
  };
  report.shedding = read_flag("shedding");
  report.draining = read_flag("draining");
  return report;
}

}  // namespace medlargauge

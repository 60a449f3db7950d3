// @file load_probe.cc GET /load.
#include "src/daemon/load_probe.h"

#include <httplib.h>

#include <chrono>
#include <nlohmann/json.hpp>

#include "src/daemon/address.h"

namespace medlargauge {
namespace {

constexpr std::chrono::milliseconds kTimeout{500};

}  // namespace

std::optional<ServerReport> ProbeServer(const std::string& address) {
  const std::optional<HostPort> parsed = ParseHostPort(address);
  if (!parsed.has_value()) {
    return std::nullopt;
  }
  httplib::Client client(parsed->host, parsed->port);
  client.set_connection_timeout(kTimeout);
  client.set_read_timeout(kTimeout);
  const httplib::Result result = client.Get("/load");
  if (!result || result->status != 200) {
    return std::nullopt;
  }
  const nlohmann::json body =
      nlohmann::json::parse(result->body, nullptr, false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  ServerReport report;
  const auto open = body.find("open");
  report.has_connections =
      open != body.end() && open->is_number() && open->get<double>() > 0;
  const auto flag = [&body](const char* key) {
    const auto found = body.find(key);
    return found != body.end() && found->is_boolean() && found->get<bool>();
  };
  report.shedding = flag("shedding");
  report.draining = flag("draining");
  return report;
}

}  // namespace medlargauge

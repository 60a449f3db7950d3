// @file admin.cc HTTP routes of the admin server.
#include "src/daemon/admin.h"

#include <httplib.h>

#include "src/core/error.h"
#include "src/daemon/address.h"

namespace medlargauge {
namespace {

constexpr int kStatusServiceUnavailable = 503;
constexpr int kStatusNotFound = 404;

}  // namespace

AdminServer::AdminServer(AdminHooks hooks)
    : m_hooks(std::move(hooks)),
      m_server(std::make_unique<httplib::Server>()) {}

AdminServer::~AdminServer() {
  m_server->stop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

bool AdminServer::Serve(const std::string& address, Error* reason) {
  const std::optional<HostPort> parsed = ParseHostPort(address);
  m_server->Get(
      "/healthz", [this](const httplib::Request&, httplib::Response& response) {
        const bool healthy = m_hooks.is_healthy();
        response.status = healthy ? 200 : kStatusServiceUnavailable;
        response.set_content(healthy ? "ok\n" : "stopping\n", "text/plain");
      });
  m_server->Get("/status",
                [this](const httplib::Request&, httplib::Response& response) {
                  response.set_content(m_hooks.status(), "application/json");
                });
  m_server->Post("/handover", [this](const httplib::Request&,
                                     httplib::Response& response) {
    if (!m_hooks.hand_over) {
      response.status = kStatusNotFound;
      return;
    }
    response.set_content(m_hooks.hand_over(), "application/octet-stream");
  });
  if (!parsed.has_value() ||
      !m_server->bind_to_port(parsed->host.c_str(), parsed->port)) {
    return Fail(reason, ErrorKind::kIo, "cannot bind admin_address " + address);
  }
  m_thread = std::thread([this] { m_server->listen_after_bind(); });
  return true;
}

}  // namespace medlargauge

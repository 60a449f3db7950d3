// @file admin.cc Routes of the admin interface.
#include "src/daemon/admin.h"

#include <httplib.h>

#include "src/core/error.h"
#include "src/daemon/address.h"

namespace medlargauge {
namespace {

constexpr int kUnavailable = 503;
constexpr int kNotFoundStatus = 404;

}  // namespace

Admin::Admin(AdminHooks hooks)
    : m_hooks(std::move(hooks)),
      m_server(std::make_unique<httplib::Server>()) {}

Admin::~Admin() {
  m_server->stop();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

bool Admin::Serve(const std::string& address, Error* reason) {
  const std::optional<HostPort> parsed = ParseHostPort(address);
  m_server->Get(
      "/healthz", [this](const httplib::Request&, httplib::Response& response) {
        const bool healthy = m_hooks.is_healthy();
        response.status = healthy ? 200 : kUnavailable;
        response.set_content(healthy ? "ok\n" : "stopping\n", "text/plain");
      });
  m_server->Get("/status",
                [this](const httplib::Request&, httplib::Response& response) {
                  response.set_content(m_hooks.status(), "application/json");
                });
  m_server->Post("/handover", [this](const httplib::Request&,
                                     httplib::Response& response) {
    if (!m_hooks.hand_over) {
      response.status = kNotFoundStatus;
      return;
    }
    response.set_content(m_hooks.hand_over(), "application/octet-stream");
  });
  if (!parsed.has_value() ||
      !m_server->bind_to_port(parsed->host.c_str(), parsed->port)) {
    return Fail(reason, ErrorKind::kIo, "bind " + address);
  }
  m_thread = std::thread([this] { m_server->listen_after_bind(); });
  return true;
}

}  // namespace medlargauge

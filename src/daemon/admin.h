// @file admin.h HTTP interface for health checks, status and hand-over.
#ifndef MEDLARGAUGE_DAEMON_ADMIN_H_
#define MEDLARGAUGE_DAEMON_ADMIN_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "src/core/error_type.h"

namespace httplib {
class Server;
}  // namespace httplib

namespace medlargauge {

/// What the admin interface serves. Hooks run on its own threads.
struct AdminHooks {
  /// Returns whether packets should be sent here.
  std::function<bool()> is_healthy;
  /// Returns the status as JSON.
  std::function<std::string()> status;
  /// Stops packet work and returns the state for a successor; empty if the
  /// role has none.
  std::function<std::string()> hand_over;
};

/// A small HTTP server on a thread of its own.
class Admin {
 public:
  explicit Admin(AdminHooks hooks);
  Admin(const Admin&) = delete;
  Admin& operator=(const Admin&) = delete;
  /// Stops the server and waits for its thread.
  ~Admin();

  /// Serves at "IP:PORT". @return false with a reason on failure
  bool Serve(const std::string& address, Error* reason);

 private:
  AdminHooks m_hooks;                         ///< What is served.
  std::unique_ptr<httplib::Server> m_server;  ///< HTTP server.
  std::thread m_thread;                       ///< Runs the server.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_ADMIN_H_

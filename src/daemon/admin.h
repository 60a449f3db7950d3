// @file admin.h Admin interface of a process over HTTP: health check, status
// and hand-over.
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

/// Callbacks of the admin server. They run on the server's threads.
struct AdminHooks {
  /// Returns whether this process should receive packets.
  std::function<bool()> is_healthy;
  /// Returns the status of this process as JSON.
  std::function<std::string()> status;
  /// Stops the handling of packets and returns the encoded state for the
  /// successor process; empty if the role supports no hand-over.
  std::function<std::string()> hand_over;
};

/// HTTP server of the admin interface; runs on its own thread.
class AdminServer {
 public:
  explicit AdminServer(AdminHooks hooks);
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  /// Stops the server and joins its thread.
  ~AdminServer();

  /// Starts the server at `address` ("IP:PORT"). @return false with a reason if
  /// the address is malformed or cannot be bound
  bool Serve(const std::string& address, Error* reason);

 private:
  AdminHooks m_hooks;                         ///< Content of the answers.
  std::unique_ptr<httplib::Server> m_server;  ///< HTTP server.
  std::thread m_thread;                       ///< Runs the server.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_ADMIN_H_

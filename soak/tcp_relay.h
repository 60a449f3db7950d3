// @file tcp_relay.h Relays the TCP connections to one address, and can break
// them.
#ifndef MEDLARGAUGE_SOAK_TCP_RELAY_H_
#define MEDLARGAUGE_SOAK_TCP_RELAY_H_

#include <list>

#include "src/core/error_type.h"
#include "src/forwarding/forwarding_type.h"
#include "src/runtime/event_loop.h"

struct bufferevent;
struct evconnlistener;

namespace medlargauge::soak {

/// What a relay does with its connections.
enum class TcpRelayMode : uint8_t {
  kForward,  ///< Forwards all bytes.
  kSilent,   ///< Accepts connections and keeps them, but forwards nothing.
  kReset,    ///< Resets all connections, old and new.
};

/// Accepts connections at one address and forwards their bytes to another.
/// Not thread-safe.
class TcpRelay {
 public:
  /// @param loop owned by the caller; must outlive this object
  TcpRelay(EventLoop* loop, SocketAddress4 target);
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;
  ~TcpRelay();

  /// Starts to listen. @return false with kIo and the address if that fails
  bool Listen(SocketAddress4 address, Error* reason);

  /// Sets what happens to the connections from now on. Bytes that wait while
  /// the relay is silent are forwarded after it.
  void SetMode(TcpRelayMode mode);

 private:
  struct Connection {
    TcpRelay* relay = nullptr;
    bufferevent* accepted = nullptr;  ///< Connection that the relay accepted.
    bufferevent* opened = nullptr;    ///< Its continuation to the target.
  };

  void OnAccepted(int fd);
  static void OnReadable(bufferevent* from, void* argument);
  static void OnDrained(bufferevent* to, void* argument);
  static void OnEvent(bufferevent* from, short what, void* argument);
  void Close(Connection* connection);

  EventLoop* m_loop;                             ///< Runs all sockets.
  SocketAddress4 m_target;                       ///< Where the connections go.
  evconnlistener* m_listener = nullptr;          ///< Owned; null before Listen.
  TcpRelayMode m_mode = TcpRelayMode::kForward;  ///< See SetMode.
  std::list<Connection> m_connections;           ///< All open connections.
};

}  // namespace medlargauge::soak

#endif  // MEDLARGAUGE_SOAK_TCP_RELAY_H_

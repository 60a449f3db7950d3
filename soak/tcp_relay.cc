// @file tcp_relay.cc Forwards bytes between pairs of connections.
#include "soak/tcp_relay.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "src/core/error.h"
#include "src/runtime/http.h"

namespace medlargauge::soak {
namespace {

constexpr int kListenBacklog = 64;

sockaddr_in ToSockaddr(SocketAddress4 address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip);
  result.sin_port = htons(address.port);
  return result;
}

/// Makes the system reset a connection when it is closed.
void ResetOnClose(int fd) {
  const linger option{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

}  // namespace

TcpRelay::TcpRelay(EventLoop* loop, SocketAddress4 target)
    : m_loop(loop), m_target(target) {}

TcpRelay::~TcpRelay() {
  while (!m_connections.empty()) {
    Close(&m_connections.front());
  }
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
  }
}

bool TcpRelay::Listen(SocketAddress4 address, Error* reason) {
  const sockaddr_in local = ToSockaddr(address);
  m_listener = evconnlistener_new_bind(
      m_loop->Base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* argument) {
        static_cast<TcpRelay*>(argument)->OnAccepted(fd);
      },
      this, LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      kListenBacklog, reinterpret_cast<const sockaddr*>(&local), sizeof(local));
  return m_listener != nullptr ||
         Fail(reason, ErrorKind::kIo, "cannot bind " + FormatAddress(address));
}

void TcpRelay::SetMode(TcpRelayMode mode) {
  m_mode = mode;
  if (mode == TcpRelayMode::kReset) {
    while (!m_connections.empty()) {
      Connection& connection = m_connections.front();
      ResetOnClose(bufferevent_getfd(connection.accepted));
      ResetOnClose(bufferevent_getfd(connection.opened));
      Close(&connection);
    }
  }
  for (Connection& connection : m_connections) {
    for (bufferevent* end : {connection.accepted, connection.opened}) {
      mode == TcpRelayMode::kForward
          ? bufferevent_enable(end, EV_READ | EV_WRITE)
          : bufferevent_disable(end, EV_READ | EV_WRITE);
    }
  }
}

void TcpRelay::OnAccepted(int fd) {
  if (m_mode == TcpRelayMode::kReset) {
    ResetOnClose(fd);
    close(fd);
    return;
  }
  const int opened_fd =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  Connection& connection = m_connections.emplace_back();
  connection.relay = this;
  connection.accepted =
      bufferevent_socket_new(m_loop->Base(), fd, BEV_OPT_CLOSE_ON_FREE);
  connection.opened =
      bufferevent_socket_new(m_loop->Base(), opened_fd, BEV_OPT_CLOSE_ON_FREE);
  for (bufferevent* end : {connection.accepted, connection.opened}) {
    bufferevent_setcb(end, &OnReadable, nullptr, &OnEvent, &connection);
    m_mode == TcpRelayMode::kForward
        ? bufferevent_enable(end, EV_READ | EV_WRITE)
        : bufferevent_disable(end, EV_READ | EV_WRITE);
  }
  const sockaddr_in target = ToSockaddr(m_target);
  const int result = bufferevent_socket_connect(
      connection.opened, reinterpret_cast<const sockaddr*>(&target),
      sizeof(target));
  if (result != 0) {
    Close(&connection);
  }
}

void TcpRelay::OnReadable(bufferevent* from, void* argument) {
  const auto* connection = static_cast<Connection*>(argument);
  bufferevent* to =
      from == connection->accepted ? connection->opened : connection->accepted;
  bufferevent_write_buffer(to, bufferevent_get_input(from));
}

void TcpRelay::OnDrained(bufferevent* /*to*/, void* argument) {
  auto* connection = static_cast<Connection*>(argument);
  connection->relay->Close(connection);
}

void TcpRelay::OnEvent(bufferevent* from, short what, void* argument) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
    return;
  }
  auto* connection = static_cast<Connection*>(argument);
  OnReadable(from, connection);
  bufferevent* to =
      from == connection->accepted ? connection->opened : connection->accepted;
  const bool has_unsent_bytes =
      evbuffer_get_length(bufferevent_get_output(to)) > 0;
  if (has_unsent_bytes && (what & BEV_EVENT_EOF) != 0) {
    bufferevent_setcb(to, nullptr, &OnDrained, &OnEvent, connection);
    bufferevent_disable(from, EV_READ);
    return;
  }
  connection->relay->Close(connection);
}

void TcpRelay::Close(Connection* connection) {
  bufferevent_free(connection->accepted);
  bufferevent_free(connection->opened);
  m_connections.remove_if(
      [connection](const Connection& other) { return &other == connection; });
}

}  // namespace medlargauge::soak

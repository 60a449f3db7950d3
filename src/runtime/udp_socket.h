// @file udp_socket.h Non-blocking UDP socket that receives in batches.
#ifndef MEDLARGAUGE_RUNTIME_UDP_SOCKET_H_
#define MEDLARGAUGE_RUNTIME_UDP_SOCKET_H_

#include <functional>

#include "src/core/error_type.h"
#include "src/forwarding/forwarding_type.h"

namespace medlargauge {

/// A UDP socket bound to one address. Not thread-safe.
class UdpSocket {
 public:
  /// Called for each datagram. The handler may modify its bytes, which are
  /// valid only during the call.
  using Handler = std::function<void(SocketAddress4 from, ByteSpan datagram)>;

  UdpSocket() = default;
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;
  ~UdpSocket();

  /// Opens the socket and binds it to `address`.
  /// @return false if that fails; `reason` is then kIo with the address
  bool Bind(SocketAddress4 address, Error* reason);

  /// Passes received datagrams to `handler`, at most 64 per call, so that other
  /// events are not delayed.
  void Receive(const Handler& handler);

  /// Sends one datagram. If the system refuses it, it is dropped and counted.
  void Send(SocketAddress4 to, ByteView datagram);

  /// Returns the file descriptor; -1 before Bind.
  int Descriptor() const { return m_fd; }
  /// Returns the number of datagrams that could not be sent.
  uint64_t SendFailures() const { return m_send_failures; }

 private:
  int m_fd = -1;                 ///< File descriptor, owned; -1 before Bind.
  uint64_t m_send_failures = 0;  ///< Since the start.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_UDP_SOCKET_H_

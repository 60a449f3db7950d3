// @file udp_socket.h Datagrams in batches.
#ifndef MEDLARGAUGE_RUNTIME_UDP_SOCKET_H_
#define MEDLARGAUGE_RUNTIME_UDP_SOCKET_H_

#include <functional>

#include "src/core/error_type.h"
#include "src/steer/steer_type.h"

namespace medlargauge {

/// A bound UDP socket. Not thread-safe.
class UdpSocket {
 public:
  /// Called for each datagram; the bytes may be changed in place.
  using Handler = std::function<void(SocketAddress4 from, ByteSpan datagram)>;

  UdpSocket() = default;
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;
  ~UdpSocket();

  /// Binds. @return false with kIo and the address if that fails
  bool Bind(SocketAddress4 address, Error* reason);

  /// Reads what has arrived, a bounded number of datagrams.
  void Receive(const Handler& handler);

  /// Sends one datagram; one that the network refuses is lost and counted.
  void Send(SocketAddress4 to, ByteView datagram);

  /// Returns the descriptor; -1 before Bind.
  int Descriptor() const { return m_fd; }
  /// Returns how many datagrams could not be sent.
  uint64_t SendFailures() const { return m_send_failures; }

 private:
  int m_fd = -1;                 ///< Owned.
  uint64_t m_send_failures = 0;  ///< Only grows.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_UDP_SOCKET_H_

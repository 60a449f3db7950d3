// @file datagram_socket.h UDP socket of the stand-ins.
#ifndef MEDLARGAUGE_STANDIN_DATAGRAM_SOCKET_H_
#define MEDLARGAUGE_STANDIN_DATAGRAM_SOCKET_H_

#include <netinet/in.h>

#include <functional>
#include <string>

#include "src/packet/packet_type.h"

namespace medlargauge {

/// UDP socket that sends and receives one datagram per system call. Not
/// thread-safe.
class DatagramSocket {
 public:
  DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;
  ~DatagramSocket();

  /// Binds the socket to an address. @param address as "IP:PORT"
  /// @return false if `address` is malformed or cannot be bound
  bool Bind(const std::string& address);
  /// Sends one datagram without blocking. Errors are ignored, as on a lossy
  /// network.
  void SendDatagram(const sockaddr_in& destination, ByteView datagram);
  /// Sends an IP packet behind a GUE header without private data. Drops packets
  /// that do not fit a datagram buffer of 2,048 bytes.
  void SendGuePacket(const sockaddr_in& destination, ByteView packet);
  /// Waits up to `timeout_ms` for a datagram, then calls `on_datagram` for each
  /// queued datagram, at most 512 times. The view is valid during the call.
  void ReceiveBatch(int timeout_ms,
                    const std::function<void(ByteView datagram)>& on_datagram);

 private:
  int m_descriptor = -1;  ///< UDP socket.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STANDIN_DATAGRAM_SOCKET_H_

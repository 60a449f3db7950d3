// @file datagram_socket.h A plain UDP socket for stand-ins.
#ifndef MEDLARGAUGE_STANDIN_DATAGRAM_SOCKET_H_
#define MEDLARGAUGE_STANDIN_DATAGRAM_SOCKET_H_

#include <netinet/in.h>

#include <functional>
#include <string>

#include "src/packet/packet_type.h"

namespace medlargauge {

/// Sends and receives single datagrams. Use from one thread.
class DatagramSocket {
 public:
  DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;
  ~DatagramSocket();

  /// Binds to "IP:PORT". @return false if that fails
  bool Bind(const std::string& address);
  /// Sends one datagram.
  void Send(const sockaddr_in& to, ByteView datagram);
  /// Sends an IP packet in plain GUE.
  void SendPacket(const sockaddr_in& to, ByteView packet);
  /// Waits up to `timeout_ms`, then handles all that wait.
  void Receive(int timeout_ms,
               const std::function<void(ByteView datagram)>& on_datagram);

 private:
  int m_socket = -1;  ///< UDP socket.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_STANDIN_DATAGRAM_SOCKET_H_

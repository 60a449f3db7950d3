// @file datagram_socket.cc UDP socket on top of the POSIX socket calls.
#include "standin/datagram_socket.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>

#include "src/daemon/address.h"
#include "src/packet/envelope.h"

namespace medlargauge {
namespace {

constexpr size_t kMaxDatagramBytes = 2048;
constexpr int kReceiveBufferBytes = 8 * 1024 * 1024;
constexpr int kMaxBatchDatagrams = 512;

}  // namespace

DatagramSocket::DatagramSocket()
    : m_descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
  setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
}

DatagramSocket::~DatagramSocket() {
  close(m_descriptor);
}

bool DatagramSocket::Bind(const std::string& address) {
  const std::optional<HostPort> host_port = ParseHostPort(address);
  if (!host_port.has_value()) {
    return false;
  }
  const sockaddr_in local_address = ToSocketAddress(*host_port);
  return bind(m_descriptor, reinterpret_cast<const sockaddr*>(&local_address),
              sizeof(local_address)) == 0;
}

void DatagramSocket::SendDatagram(const sockaddr_in& destination,
                                  ByteView datagram) {
  sendto(m_descriptor, datagram.data(), datagram.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&destination), sizeof(destination));
}

void DatagramSocket::SendGuePacket(const sockaddr_in& destination,
                                   ByteView packet) {
  std::array<uint8_t, kMaxDatagramBytes> datagram;
  const size_t header_size = WriteGueHeader({datagram.data(), datagram.size()});
  if (header_size + packet.size() > datagram.size()) {
    return;
  }
  std::memcpy(datagram.data() + header_size, packet.data(), packet.size());
  SendDatagram(destination,
               ByteView(datagram.data(), header_size + packet.size()));
}

void DatagramSocket::ReceiveBatch(
    int timeout_ms,
    const std::function<void(ByteView datagram)>& on_datagram) {
  pollfd poll_request{m_descriptor, POLLIN, 0};
  if (poll(&poll_request, 1, timeout_ms) <= 0) {
    return;
  }
  std::array<uint8_t, kMaxDatagramBytes> datagram;
  for (int i = 0; i < kMaxBatchDatagrams; ++i) {
    const ssize_t size =
        recv(m_descriptor, datagram.data(), datagram.size(), MSG_DONTWAIT);
    if (size <= 0) {
      return;
    }
    on_datagram(ByteView(datagram.data(), static_cast<size_t>(size)));
  }
}

}  // namespace medlargauge

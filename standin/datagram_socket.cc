// @file datagram_socket.cc Plain socket calls.
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

constexpr size_t kMaxDatagramSize = 2048;
constexpr int kBufferSize = 8 * 1024 * 1024;
constexpr int kBatch = 512;

}  // namespace

DatagramSocket::DatagramSocket()
    : m_socket(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
  setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &kBufferSize,
             sizeof(kBufferSize));
}

DatagramSocket::~DatagramSocket() {
  close(m_socket);
}

bool DatagramSocket::Bind(const std::string& address) {
  const std::optional<HostPort> parsed = ParseHostPort(address);
  if (!parsed.has_value()) {
    return false;
  }
  const sockaddr_in local = ToSocketAddress(*parsed);
  return bind(m_socket, reinterpret_cast<const sockaddr*>(&local),
              sizeof(local)) == 0;
}

void DatagramSocket::Send(const sockaddr_in& to, ByteView datagram) {
  sendto(m_socket, datagram.data(), datagram.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&to), sizeof(to));
}

void DatagramSocket::SendPacket(const sockaddr_in& to, ByteView packet) {
  std::array<uint8_t, kMaxDatagramSize> datagram;
  const size_t header = WriteGueHeader({datagram.data(), datagram.size()});
  if (header + packet.size() > datagram.size()) {
    return;
  }
  std::memcpy(datagram.data() + header, packet.data(), packet.size());
  Send(to, ByteView(datagram.data(), header + packet.size()));
}

void DatagramSocket::Receive(
    int timeout_ms,
    const std::function<void(ByteView datagram)>& on_datagram) {
  pollfd waiting{m_socket, POLLIN, 0};
  if (poll(&waiting, 1, timeout_ms) <= 0) {
    return;
  }
  std::array<uint8_t, kMaxDatagramSize> datagram;
  for (int i = 0; i < kBatch; ++i) {
    const ssize_t size =
        recv(m_socket, datagram.data(), datagram.size(), MSG_DONTWAIT);
    if (size <= 0) {
      return;
    }
    on_datagram(ByteView(datagram.data(), static_cast<size_t>(size)));
  }
}

}  // namespace medlargauge

// @file udp_socket.cc UDP socket over recvmmsg and sendto.
#include "src/runtime/udp_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "src/core/error.h"
#include "src/runtime/http.h"

namespace medlargauge {
namespace {

constexpr unsigned kBatchSize = 16;           ///< Datagrams per system call.
constexpr int kMaxBatchesPerCall = 4;         ///< Other events come next.
constexpr size_t kMaxDatagramBytes = 2048;    ///< Packet with its peer header.
constexpr int kReceiveBufferBytes = 1 << 20;  ///< Requested from the system.

sockaddr_in ToSockaddr(SocketAddress4 address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip);
  result.sin_port = htons(address.port);
  return result;
}

}  // namespace

UdpSocket::~UdpSocket() {
  if (m_fd >= 0) {
    close(m_fd);
  }
}

bool UdpSocket::Bind(SocketAddress4 address, Error* reason) {
  m_fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in local = ToSockaddr(address);
  const bool bound =
      m_fd >= 0 &&
      bind(m_fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) == 0;
  if (!bound) {
    return Fail(reason, ErrorKind::kIo,
                "cannot bind " + FormatAddress(address));
  }
  setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  return true;
}

void UdpSocket::Receive(const Handler& handler) {
  static thread_local std::array<std::array<uint8_t, kMaxDatagramBytes>,
                                 kBatchSize>
      buffers;
  std::array<mmsghdr, kBatchSize> headers{};
  std::array<iovec, kBatchSize> iovecs{};
  std::array<sockaddr_in, kBatchSize> sources{};
  for (int batch = 0; batch < kMaxBatchesPerCall; ++batch) {
    for (unsigned i = 0; i < kBatchSize; ++i) {
      iovecs[i] = {buffers[i].data(), buffers[i].size()};
      headers[i].msg_hdr = {};
      headers[i].msg_hdr.msg_name = &sources[i];
      headers[i].msg_hdr.msg_namelen = sizeof(sources[i]);
      headers[i].msg_hdr.msg_iov = &iovecs[i];
      headers[i].msg_hdr.msg_iovlen = 1;
    }
    const int count = recvmmsg(m_fd, headers.data(), kBatchSize, 0, nullptr);
    for (int i = 0; i < count; ++i) {
      const SocketAddress4 from{ntohl(sources[i].sin_addr.s_addr),
                                ntohs(sources[i].sin_port)};
      handler(from, ByteSpan{buffers[i].data(), headers[i].msg_len});
    }
    if (count < static_cast<int>(kBatchSize)) {
      return;
    }
  }
}

void UdpSocket::Send(SocketAddress4 to, ByteView datagram) {
  const sockaddr_in target = ToSockaddr(to);
  const ssize_t sent =
      sendto(m_fd, datagram.data(), datagram.size(), MSG_DONTWAIT,
             reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  m_send_failures += sent < 0 ? 1 : 0;
}

}  // namespace medlargauge

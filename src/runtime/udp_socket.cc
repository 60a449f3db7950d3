// @file udp_socket.cc recvmmsg and sendto.
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

constexpr unsigned kBatch = 16;          ///< Datagrams of one system call.
constexpr int kMaxBatches = 4;           ///< Before other events get a turn.
constexpr size_t kMaxDatagram = 2048;    ///< Head, data and our envelope.
constexpr int kReceiveBuffer = 1 << 20;  ///< Bytes that may wait.

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
  setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
             sizeof(kReceiveBuffer));
  return true;
}

void UdpSocket::Receive(const Handler& handler) {
  static thread_local std::array<std::array<uint8_t, kMaxDatagram>, kBatch>
      buffers;
  std::array<mmsghdr, kBatch> headers{};
  std::array<iovec, kBatch> vectors{};
  std::array<sockaddr_in, kBatch> sources{};
  for (int round = 0; round < kMaxBatches; ++round) {
    for (unsigned i = 0; i < kBatch; ++i) {
      vectors[i] = {buffers[i].data(), buffers[i].size()};
      headers[i].msg_hdr = {};
      headers[i].msg_hdr.msg_name = &sources[i];
      headers[i].msg_hdr.msg_namelen = sizeof(sources[i]);
      headers[i].msg_hdr.msg_iov = &vectors[i];
      headers[i].msg_hdr.msg_iovlen = 1;
    }
    const int count = recvmmsg(m_fd, headers.data(), kBatch, 0, nullptr);
    for (int i = 0; i < count; ++i) {
      const SocketAddress4 from{ntohl(sources[i].sin_addr.s_addr),
                                ntohs(sources[i].sin_port)};
      handler(from, ByteSpan{buffers[i].data(), headers[i].msg_len});
    }
    if (count < static_cast<int>(kBatch)) {
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

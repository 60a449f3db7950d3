// @file packet_io.cc Batched I/O with recvmmsg and sendmmsg.
#include "src/daemon/packet_io.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "src/core/error.h"
#include "src/daemon/address.h"

namespace medlargauge {
namespace {

constexpr int kSocketBufferSize = 8 * 1024 * 1024;  // Bytes, per direction.

}  // namespace

/// Buffers for one batch of received datagrams and one of queued datagrams.
struct PacketIo::Buffers {
  std::array<std::array<uint8_t, kMaxDatagram>, kPacketBatch> datagrams;
  std::array<std::array<uint8_t, kMaxGueHeaderSize>, kPacketBatch> headers;
  std::array<iovec, kPacketBatch> in_parts;       ///< For recvmmsg.
  std::array<mmsghdr, kPacketBatch> in_messages;  ///< For recvmmsg.
  /// Header and packet of each queued datagram, for sendmmsg.
  std::array<std::array<iovec, 2>, kPacketBatch> out_parts;
  std::array<sockaddr_in, kPacketBatch> out_addresses;  ///< For sendmmsg.
  std::array<mmsghdr, kPacketBatch> out_messages;       ///< For sendmmsg.
  size_t queued = 0;  ///< Number of queued datagrams.
};

PacketIo::PacketIo() : m_buffers(std::make_unique<Buffers>()) {
  Buffers& buffers = *m_buffers;
  for (size_t i = 0; i < kPacketBatch; ++i) {
    buffers.in_parts[i] = {buffers.datagrams[i].data(), kMaxDatagram};
    buffers.in_messages[i] = {};
    buffers.in_messages[i].msg_hdr.msg_iov = &buffers.in_parts[i];
    buffers.in_messages[i].msg_hdr.msg_iovlen = 1;
    buffers.out_messages[i] = {};
    buffers.out_messages[i].msg_hdr.msg_name = &buffers.out_addresses[i];
    buffers.out_messages[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    buffers.out_messages[i].msg_hdr.msg_iov = buffers.out_parts[i].data();
    buffers.out_messages[i].msg_hdr.msg_iovlen = 2;
  }
}

PacketIo::~PacketIo() {
  if (m_socket >= 0) {
    close(m_socket);
  }
}

bool PacketIo::Bind(const std::string& address, Error* reason) {
  const std::optional<HostPort> parsed = ParseHostPort(address);
  if (!parsed.has_value()) {
    return Fail(reason, ErrorKind::kIo,
                address + ": must be an IPv4 address and a port, as IP:PORT");
  }
  m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (m_socket < 0) {
    return Fail(reason, ErrorKind::kIo, std::strerror(errno));
  }
  setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &kSocketBufferSize,
             sizeof(kSocketBufferSize));
  setsockopt(m_socket, SOL_SOCKET, SO_SNDBUF, &kSocketBufferSize,
             sizeof(kSocketBufferSize));
  const sockaddr_in local = ToSocketAddress(*parsed);
  if (bind(m_socket, reinterpret_cast<const sockaddr*>(&local),
           sizeof(local)) != 0) {
    return Fail(
        reason, ErrorKind::kIo,
        "cannot bind UDP address " + address + ": " + std::strerror(errno));
  }
  return true;
}

size_t PacketIo::RunBatch(Duration timeout, const DatagramHook& on_datagram) {
  Buffers& buffers = *m_buffers;
  int received_count = recvmmsg(m_socket, buffers.in_messages.data(),
                                kPacketBatch, MSG_DONTWAIT, nullptr);
  if (received_count <= 0) {
    pollfd poll_item{m_socket, POLLIN, 0};
    if (poll(&poll_item, 1, static_cast<int>(ToMilliseconds(timeout))) <= 0) {
      return 0;
    }
    received_count = recvmmsg(m_socket, buffers.in_messages.data(),
                              kPacketBatch, MSG_DONTWAIT, nullptr);
  }
  for (int i = 0; i < received_count; ++i) {
    on_datagram(
        ByteView(buffers.datagrams[i].data(), buffers.in_messages[i].msg_len));
  }
  SendQueued();
  return received_count > 0 ? static_cast<size_t>(received_count) : 0;
}

void PacketIo::Queue(const sockaddr_in& to, ByteView header, ByteView packet) {
  Buffers& buffers = *m_buffers;
  const size_t slot = buffers.queued++;
  std::memcpy(buffers.headers[slot].data(), header.data(), header.size());
  buffers.out_addresses[slot] = to;
  buffers.out_parts[slot][0] = {buffers.headers[slot].data(), header.size()};
  buffers.out_parts[slot][1] = {const_cast<uint8_t*>(packet.data()),
                                packet.size()};
  if (buffers.queued == kPacketBatch) {
    SendQueued();
  }
}

void PacketIo::SendNow(const sockaddr_in& to,
                       ByteView header,
                       ByteView packet) {
  std::array<iovec, 2> parts = {
      iovec{const_cast<uint8_t*>(header.data()), header.size()},
      iovec{const_cast<uint8_t*>(packet.data()), packet.size()}};
  sockaddr_in address = to;
  msghdr message{};
  message.msg_name = &address;
  message.msg_namelen = sizeof(address);
  message.msg_iov = parts.data();
  message.msg_iovlen = parts.size();
  sendmsg(m_socket, &message, MSG_DONTWAIT);
}

void PacketIo::SendQueued() {
  Buffers& buffers = *m_buffers;
  size_t processed = 0;
  while (processed < buffers.queued) {
    const int sent_count = sendmmsg(
        m_socket, buffers.out_messages.data() + processed,
        static_cast<unsigned>(buffers.queued - processed), MSG_DONTWAIT);
    // A datagram that cannot be sent is dropped; the transport protocol of the
    // flow recovers from the loss.
    processed += sent_count > 0 ? static_cast<size_t>(sent_count) : 1;
  }
  buffers.queued = 0;
}

}  // namespace medlargauge

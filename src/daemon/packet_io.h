// @file packet_io.h UDP socket that receives and sends datagrams in batches.
#ifndef MEDLARGAUGE_DAEMON_PACKET_IO_H_
#define MEDLARGAUGE_DAEMON_PACKET_IO_H_

#include <netinet/in.h>

#include <array>
#include <functional>
#include <memory>
#include <string>

#include "src/core/error_type.h"
#include "src/core/time_type.h"
#include "src/packet/envelope.h"

namespace medlargauge {

/// Largest number of datagrams in a batch.
constexpr size_t kPacketBatch = 64;
/// Size of a receive buffer in bytes; longer datagrams are truncated.
constexpr size_t kMaxDatagram = 2048;

/// UDP socket that receives and sends datagrams in batches without allocating
/// memory. The packet in a received datagram is forwarded from the receive
/// buffer, with a new header in front. Not thread-safe: use from one thread.
class PacketIo {
 public:
  /// Handles one received datagram. The view is valid during the call. The hook
  /// may call Queue at most once.
  using DatagramHook = std::function<void(ByteView datagram)>;

  PacketIo();
  PacketIo(const PacketIo&) = delete;
  PacketIo& operator=(const PacketIo&) = delete;
  ~PacketIo();

  /// Opens the socket and binds it to `address` ("IP:PORT").
  /// @return false with a reason on failure
  bool Bind(const std::string& address, Error* reason);

  /// Receives up to one batch, after waiting up to `timeout` for a datagram.
  /// Calls `on_datagram` for each datagram, then sends the queued ones.
  /// @return number of datagrams received
  size_t RunBatch(Duration timeout, const DatagramHook& on_datagram);

  /// Queues a datagram of `header` and `packet` for sending. Copies the header,
  /// but not the packet. Preconditions: called from a DatagramHook; `packet`
  /// lies within the hook's datagram; `header` has at most kMaxGueHeaderSize
  /// bytes.
  void Queue(const sockaddr_in& to, ByteView header, ByteView packet);

  /// Sends a datagram of `header` and `packet` immediately. Errors are ignored.
  void SendNow(const sockaddr_in& to, ByteView header, ByteView packet);

 private:
  struct Buffers;

  /// Sends all queued datagrams and empties the queue.
  void SendQueued();

  int m_socket = -1;                   ///< Descriptor; -1 if closed.
  std::unique_ptr<Buffers> m_buffers;  ///< Buffers of one batch.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_PACKET_IO_H_

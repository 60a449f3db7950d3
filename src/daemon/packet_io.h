// @file packet_io.h Batches of UDP datagrams.
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

constexpr size_t kPacketBatch = 64;
constexpr size_t kMaxDatagram = 2048;

/// One UDP socket that receives and sends in batches without allocating.
/// Received datagrams stay where they are and only get a new header in front.
/// Use from one thread.
class PacketIo {
 public:
  /// Called for each datagram; the view is valid during the call. It may call
  /// Queue at most once for the datagram.
  using DatagramHook = std::function<void(ByteView datagram)>;

  PacketIo();
  PacketIo(const PacketIo&) = delete;
  PacketIo& operator=(const PacketIo&) = delete;
  ~PacketIo();

  /// Opens and binds the socket. @return false with a reason on failure
  bool Bind(const std::string& address, Error* reason);

  /// Receives up to one batch, calls `on_datagram` for each, then sends what
  /// was queued. @return number of datagrams received
  size_t RunBatch(Duration timeout, const DatagramHook& on_datagram);

  /// Queues the datagram of the running hook, with `header` in place of what
  /// stood before `packet`. Preconditions: called from the hook; `packet` lies
  /// within its datagram; at most kMaxGueHeaderSize header bytes.
  void Queue(const sockaddr_in& to, ByteView header, ByteView packet);

  /// Sends a datagram made elsewhere at once.
  void SendNow(const sockaddr_in& to, ByteView header, ByteView packet);

 private:
  struct Buffers;

  void SendQueued();

  int m_socket = -1;                   ///< UDP socket.
  std::unique_ptr<Buffers> m_buffers;  ///< Fixed memory of a batch.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_PACKET_IO_H_

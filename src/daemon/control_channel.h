// @file control_channel.h Transport of control messages over ZeroMQ.
#ifndef MEDLARGAUGE_DAEMON_CONTROL_CHANNEL_H_
#define MEDLARGAUGE_DAEMON_CONTROL_CHANNEL_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <zmq.hpp>

#include "src/core/error_type.h"
#include "src/core/time_type.h"
#include "src/daemon/control.pb.h"

namespace medlargauge {

/// Monotonic counters of a control channel.
struct ChannelCounters {
  uint64_t bytes_sent = 0;      ///< Payload bytes sent.
  uint64_t bytes_received = 0;  ///< Payload bytes received.
  uint64_t dropped = 0;         ///< Frames dropped because a queue was full.
  uint64_t malformed = 0;       ///< Messages received that are not frames.
};

/// Sends and receives control frames, with one receiving socket and a sending
/// socket for each peer. Queues are bounded: messages to a slow peer are
/// dropped, which all protocols on top of the channel tolerate. Not
/// thread-safe: use from one thread.
class ControlChannel {
 public:
  /// Handles one received frame.
  using FrameHook = std::function<void(const proto::ControlFrame&)>;

  ControlChannel();

  /// Binds the receiving socket to `address` ("IP:PORT").
  /// @return false with a reason on failure
  bool Bind(const std::string& address, Error* reason);

  /// Queues a frame for the peer at `address` ("IP:PORT"), which need not be
  /// connected yet. Drops the frame if the peer's queue is full.
  void Send(const std::string& address, const proto::ControlFrame& frame);

  /// Waits up to `timeout` for a frame, then passes all frames received so far,
  /// up to a limit, to `on_frame`.
  void Poll(Duration timeout, const FrameHook& on_frame);

  /// Returns the counters since the start.
  const ChannelCounters& Counters() const { return m_counters; }

 private:
  zmq::context_t m_context;  ///< Owns ZeroMQ's I/O thread.
  zmq::socket_t m_receiver;  ///< PULL socket.
  std::map<std::string, zmq::socket_t> m_senders;  ///< PUSH sockets by address.
  ChannelCounters m_counters;  ///< Counters since the start.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_CONTROL_CHANNEL_H_

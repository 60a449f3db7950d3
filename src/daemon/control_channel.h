// @file control_channel.h Control messages between processes over ZeroMQ.
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

/// Counters that only grow.
struct ChannelCounters {
  uint64_t bytes_sent = 0;      ///< Payload bytes.
  uint64_t bytes_received = 0;  ///< Payload bytes.
  uint64_t dropped = 0;         ///< Not sent because a queue was full.
  uint64_t malformed = 0;       ///< Received, but not a frame.
};

/// One receiving socket and one sending socket for each peer, with bounded
/// queues: a slow peer loses messages, which all protocols above allow.
/// Use from one thread.
class ControlChannel {
 public:
  using FrameHook = std::function<void(const proto::ControlFrame&)>;

  ControlChannel();

  /// Binds the receiving socket. @return false with a reason on failure
  bool Bind(const std::string& address, Error* reason);

  /// Sends a frame; drops it if the peer's queue is full.
  void Send(const std::string& address, const proto::ControlFrame& frame);

  /// Waits up to `timeout` for frames and passes all that wait to `on_frame`.
  void Poll(Duration timeout, const FrameHook& on_frame);

  /// Returns the counters.
  const ChannelCounters& Counters() const { return m_counters; }

 private:
  zmq::context_t m_context;                        ///< Owns the I/O thread.
  zmq::socket_t m_receiver;                        ///< PULL socket.
  std::map<std::string, zmq::socket_t> m_senders;  ///< PUSH by address.
  ChannelCounters m_counters;                      ///< Only grow.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_CONTROL_CHANNEL_H_

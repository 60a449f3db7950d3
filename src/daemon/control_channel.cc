// @file control_channel.cc ZeroMQ PUSH and PULL sockets with bounded queues.
#include "src/daemon/control_channel.h"

#include "src/core/error.h"

namespace medlargauge {
namespace {

constexpr int kMaxQueuedMessages = 2000;
constexpr int kReconnectMs = 100;
constexpr int kMaxReconnectMs = 2000;
/// Limit of frames per poll, so that a burst of messages does not delay timers.
constexpr int kMaxFramesPerPoll = 1000;

}  // namespace

ControlChannel::ControlChannel()
    : m_context(1), m_receiver(m_context, ZMQ_PULL) {}

bool ControlChannel::Bind(const std::string& address, Error* reason) {
  try {
    m_receiver.set(zmq::sockopt::rcvhwm, kMaxQueuedMessages);
    m_receiver.set(zmq::sockopt::linger, 0);
    m_receiver.bind("tcp://" + address);
    return true;
  } catch (const zmq::error_t& error) {
    return Fail(reason, ErrorKind::kIo,
                "cannot bind control_address " + address + ": " + error.what());
  }
}

void ControlChannel::Send(const std::string& address,
                          const proto::ControlFrame& frame) {
  auto sender = m_senders.find(address);
  if (sender == m_senders.end()) {
    zmq::socket_t socket(m_context, ZMQ_PUSH);
    socket.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
    // Messages that are still queued at shutdown, such as the one that
    // announces it, are sent for this long before they are discarded.
    socket.set(zmq::sockopt::linger, kReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
    socket.connect("tcp://" + address);
    sender = m_senders.emplace(address, std::move(socket)).first;
  }
  const std::string bytes = frame.SerializeAsString();
  const auto sent_bytes =
      sender->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  if (sent_bytes.has_value()) {
    m_counters.bytes_sent += bytes.size();
  } else {
    ++m_counters.dropped;
  }
}

void ControlChannel::Poll(Duration timeout, const FrameHook& on_frame) {
  zmq::pollitem_t poll_item{m_receiver.handle(), 0, ZMQ_POLLIN, 0};
  zmq::poll(&poll_item, 1, std::chrono::milliseconds(ToMilliseconds(timeout)));
  zmq::message_t message;
  for (int i = 0; i < kMaxFramesPerPoll; ++i) {
    if (!m_receiver.recv(message, zmq::recv_flags::dontwait).has_value()) {
      return;
    }
    m_counters.bytes_received += message.size();
    proto::ControlFrame frame;
    if (!frame.ParseFromArray(message.data(),
                              static_cast<int>(message.size()))) {
      ++m_counters.malformed;
      continue;
    }
    on_frame(frame);
  }
}

}  // namespace medlargauge

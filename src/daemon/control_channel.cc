// @file control_channel.cc PUSH and PULL sockets with bounded queues.
#include "src/daemon/control_channel.h"

#include "src/core/error.h"

namespace medlargauge {
namespace {

constexpr int kQueueLimit = 2000;
constexpr int kReconnectMs = 100;
constexpr int kMaxReconnectMs = 2000;
/// Frames handled before timers get a turn.
constexpr int kBatch = 1000;

}  // namespace

ControlChannel::ControlChannel()
    : m_context(1), m_receiver(m_context, ZMQ_PULL) {}

bool ControlChannel::Bind(const std::string& address, Error* reason) {
  try {
    m_receiver.set(zmq::sockopt::rcvhwm, kQueueLimit);
    m_receiver.set(zmq::sockopt::linger, 0);
    m_receiver.bind("tcp://" + address);
    return true;
  } catch (const zmq::error_t& error) {
    return Fail(reason, ErrorKind::kIo,
                "bind " + address + ": " + error.what());
  }
}

void ControlChannel::Send(const std::string& address,
                          const proto::ControlFrame& frame) {
  auto sender = m_senders.find(address);
  if (sender == m_senders.end()) {
    zmq::socket_t socket(m_context, ZMQ_PUSH);
    socket.set(zmq::sockopt::sndhwm, kQueueLimit);
    // What is queued at the end, such as the news of leaving, gets a moment.
    socket.set(zmq::sockopt::linger, kReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
    socket.connect("tcp://" + address);
    sender = m_senders.emplace(address, std::move(socket)).first;
  }
  const std::string bytes = frame.SerializeAsString();
  const auto sent =
      sender->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
  if (sent.has_value()) {
    m_counters.bytes_sent += bytes.size();
  } else {
    ++m_counters.dropped;
  }
}

void ControlChannel::Poll(Duration timeout, const FrameHook& on_frame) {
  zmq::pollitem_t item{m_receiver.handle(), 0, ZMQ_POLLIN, 0};
  zmq::poll(&item, 1, std::chrono::milliseconds(ToMilliseconds(timeout)));
  zmq::message_t message;
  for (int i = 0; i < kBatch; ++i) {
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

// @file host_probe.cc TCP probes over non-blocking connect and libevent.
#include "src/runtime/host_probe.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace medlargauge {
namespace {

/// Returns what the result of a connection attempt says about the host.
ProbeOutcome OutcomeOf(int error_code) {
  switch (error_code) {
    case 0:
      return ProbeOutcome::kAccepted;
    case ECONNREFUSED:
      return ProbeOutcome::kRefused;
    default:
      return ProbeOutcome::kNoAnswer;
  }
}

/// Returns the outcome of a connection attempt; kNoAnswer if it still runs.
ProbeOutcome ReadOutcome(int fd) {
  pollfd poll_entry{fd, POLLOUT, 0};
  int error_code = 0;
  socklen_t size = sizeof(error_code);
  const bool ended =
      poll(&poll_entry, 1, 0) == 1 &&
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error_code, &size) == 0;
  return ended ? OutcomeOf(error_code) : ProbeOutcome::kNoAnswer;
}

/// Opens a socket and starts to connect it.
/// @return 0 if the attempt is in progress, otherwise why it has failed
int StartConnecting(SocketAddress4 address, int* fd) {
  *fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (*fd < 0) {
    return errno;
  }
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_addr.s_addr = htonl(address.ip);
  target.sin_port = htons(address.port);
  const int result =
      connect(*fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  return result == 0 || errno == EINPROGRESS ? 0 : errno;
}

}  // namespace

/// A connection attempt in progress.
struct HostProber::Probe {
  HostProber* prober = nullptr;    ///< Owner of this probe.
  int fd = -1;                     ///< Socket, owned.
  event* connect_event = nullptr;  ///< Fires at the outcome or the deadline.
  Callback done;                   ///< Receives the outcome.

  Probe() = default;
  Probe(const Probe&) = delete;
  Probe& operator=(const Probe&) = delete;
  ~Probe() {
    if (connect_event != nullptr) {
      event_free(connect_event);
    }
    if (fd >= 0) {
      close(fd);
    }
  }

  /// Called by libevent. If this process was late, `what` may name only the
  /// deadline although the connection was accepted before it.
  static void OnEvent(evutil_socket_t fd, short /*what*/, void* argument) {
    auto* probe = static_cast<Probe*>(argument);
    const ProbeOutcome outcome = ReadOutcome(fd);
    const Callback done = std::move(probe->done);
    probe->prober->m_probes.remove_if(
        [probe](const std::unique_ptr<Probe>& other) {
          return other.get() == probe;
        });
    done(outcome);
  }
};

HostProber::HostProber(EventLoop* loop, size_t max_probes)
    : m_loop(loop), m_max_probes(max_probes) {}

HostProber::~HostProber() = default;

void HostProber::Start(SocketAddress4 address,
                       TimePoint deadline,
                       Callback done) {
  auto probe = std::make_unique<Probe>();
  const int error_code = StartConnecting(address, &probe->fd);
  if (error_code != 0) {
    probe = nullptr;
    done(OutcomeOf(error_code));
    return;
  }
  probe->prober = this;
  probe->done = std::move(done);
  probe->connect_event = event_new(m_loop->Base(), probe->fd, EV_WRITE,
                                   &Probe::OnEvent, probe.get());
  const int64_t remaining_us =
      std::max<int64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                            deadline - SteadyTime())
                            .count(),
                        0);
  const timeval remaining{static_cast<time_t>(remaining_us / 1000000),
                          static_cast<suseconds_t>(remaining_us % 1000000)};
  event_add(probe->connect_event, &remaining);
  m_probes.push_back(std::move(probe));
}

}  // namespace medlargauge

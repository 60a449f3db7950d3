// @file host_probe_test.cc Tests of probes against real sockets on loopback.
#include "src/runtime/host_probe.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <optional>
#include <vector>

#include "src/core/error.h"
#include "src/runtime/http.h"

namespace medlargauge {
namespace {

constexpr uint32_t kLoopback = 0x7FC90001;  ///< 127.201.0.1
constexpr Duration kTimeout = Milliseconds(300);

/// A TCP socket on a free port that listens and accepts nothing by itself.
class ListeningSocket {
 public:
  explicit ListeningSocket(int backlog)
      : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(kLoopback);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(m_fd, generic, size) == 0);
    REQUIRE(listen(m_fd, backlog) == 0);
    REQUIRE(getsockname(m_fd, generic, &size) == 0);
    m_port = ntohs(address.sin_port);
  }
  ListeningSocket(const ListeningSocket&) = delete;
  ListeningSocket& operator=(const ListeningSocket&) = delete;
  ~ListeningSocket() { Close(); }

  void Close() {
    if (m_fd >= 0) {
      close(m_fd);
      m_fd = -1;
    }
  }
  SocketAddress4 Address() const { return {kLoopback, m_port}; }

 private:
  int m_fd;
  uint16_t m_port = 0;
};

/// Probes an address and runs the loop until the outcome is known.
ProbeOutcome ProbeAndWait(EventLoop* loop,
                          HostProber* prober,
                          SocketAddress4 address) {
  std::optional<ProbeOutcome> outcome;
  prober->Start(address, SteadyTime() + kTimeout,
                [&outcome, loop](ProbeOutcome ended) {
                  outcome = ended;
                  loop->Stop();
                });
  if (!outcome.has_value()) {
    loop->Run();
  }
  REQUIRE(outcome.has_value());
  return *outcome;
}

size_t CountOpenFiles() {
  const std::filesystem::directory_iterator files("/proc/self/fd");
  return static_cast<size_t>(std::distance(begin(files), end(files)));
}

TEST_CASE("a process that never runs accepts a probe") {
  EventLoop loop;
  HostProber prober(&loop, 2);
  const ListeningSocket suspended(16);
  CHECK(ProbeAndWait(&loop, &prober, suspended.Address()) ==
        ProbeOutcome::kAccepted);
  CHECK(prober.FreeSlots() == 2);
}

TEST_CASE("a closed port refuses a probe") {
  EventLoop loop;
  HostProber prober(&loop, 2);
  ListeningSocket ended(16);
  ended.Close();
  CHECK(ProbeAndWait(&loop, &prober, ended.Address()) ==
        ProbeOutcome::kRefused);
  CHECK(prober.FreeSlots() == 2);
}

TEST_CASE("a probe without an answer ends at its deadline") {
  EventLoop loop;
  HostProber prober(&loop, 4);
  const ListeningSocket full(0);  // The kernel ignores more than one attempt.
  CHECK(ProbeAndWait(&loop, &prober, full.Address()) ==
        ProbeOutcome::kAccepted);
  const TimePoint start = SteadyTime();
  CHECK(ProbeAndWait(&loop, &prober, full.Address()) ==
        ProbeOutcome::kNoAnswer);
  CHECK(SteadyTime() - start >= kTimeout);
  CHECK(prober.FreeSlots() == 4);
}

TEST_CASE("an answer counts even if this process sees it after the deadline") {
  EventLoop loop;
  HostProber prober(&loop, 2);
  const ListeningSocket listening(16);
  std::optional<ProbeOutcome> outcome;
  prober.Start(listening.Address(), SteadyTime() + Milliseconds(5),
               [&](ProbeOutcome ended) {
                 outcome = ended;
                 loop.Stop();
               });
  usleep(20000);
  loop.Run();
  CHECK(outcome == ProbeOutcome::kAccepted);
}

TEST_CASE("a prober that is destroyed closes its sockets and stays silent") {
  EventLoop loop;
  const ListeningSocket listening(16);
  const size_t open_files = CountOpenFiles();
  int outcomes = 0;
  {
    HostProber prober(&loop, 2);
    prober.Start(listening.Address(), SteadyTime() + kTimeout,
                 [&outcomes](ProbeOutcome) { ++outcomes; });
    CHECK(prober.FreeSlots() == 1);
  }
  loop.After(Milliseconds(20), [&loop] { loop.Stop(); });
  loop.Run();
  CHECK(outcomes == 0);
  CHECK(CountOpenFiles() == open_files);
}

TEST_CASE("probes do not exhaust the backlog or the files of an HTTP server") {
  EventLoop loop;
  HostProber prober(&loop, 1);
  HttpServer server(&loop, [](const HttpRequest&) { return HttpResponse(); });
  SocketAddress4 address;
  {
    ListeningSocket free_port(1);
    address = free_port.Address();
  }
  Error reason;
  REQUIRE(server.Listen(address, &reason));
  const size_t open_files = CountOpenFiles();
  constexpr int kMoreThanTheBacklog = 400;
  int accepted = 0;
  for (int i = 0; i < kMoreThanTheBacklog; ++i) {
    accepted += ProbeAndWait(&loop, &prober, address) == ProbeOutcome::kAccepted
                    ? 1
                    : 0;
  }
  CHECK(accepted == kMoreThanTheBacklog);
  loop.After(Milliseconds(100), [&loop] { loop.Stop(); });
  loop.Run();
  CHECK(CountOpenFiles() == open_files);
}

}  // namespace
}  // namespace medlargauge

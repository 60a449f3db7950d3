// @file host_probe.h Probes by TCP whether a host and a process on it exist.
#ifndef MEDLARGAUGE_RUNTIME_HOST_PROBE_H_
#define MEDLARGAUGE_RUNTIME_HOST_PROBE_H_

#include <functional>
#include <list>
#include <memory>

#include "src/forwarding/forwarding_type.h"
#include "src/forwarding/membership_table.h"
#include "src/runtime/event_loop.h"

namespace medlargauge {

/// Attempts TCP connections and closes each one as soon as its outcome is
/// known. The kernel of the probed host accepts a connection even if the
/// process that listens is not scheduled. Not thread-safe.
class HostProber {
 public:
  /// Receives the outcome of a probe.
  using Callback = std::function<void(ProbeOutcome)>;

  /// @param loop owned by the caller; must live longer
  /// @param max_probes limit of the probes that run at a time
  HostProber(EventLoop* loop, size_t max_probes);
  HostProber(const HostProber&) = delete;
  HostProber& operator=(const HostProber&) = delete;
  ~HostProber();

  /// Probes `address`. `done` is called once, with kNoAnswer if there was no
  /// answer by `deadline`; it may be called before Start returns, and is not
  /// called once this prober is destroyed. Precondition: FreeSlots is not 0.
  void Start(SocketAddress4 address, TimePoint deadline, Callback done);

  /// Returns how many more probes may be started.
  size_t FreeSlots() const { return m_max_probes - m_probes.size(); }

 private:
  struct Probe;

  EventLoop* m_loop;                           ///< Runs the connections.
  size_t m_max_probes;                         ///< See the constructor.
  std::list<std::unique_ptr<Probe>> m_probes;  ///< Those that run.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_HOST_PROBE_H_

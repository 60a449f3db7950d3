// @file event_loop.h One thread's sockets, timers and signals, by libevent.
#ifndef MEDLARGAUGE_RUNTIME_EVENT_LOOP_H_
#define MEDLARGAUGE_RUNTIME_EVENT_LOOP_H_

#include <functional>
#include <list>
#include <memory>

#include "src/core/time_type.h"

struct event;
struct event_base;

namespace medlargauge {

/// Runs hooks on one thread. Not thread-safe.
class EventLoop {
 public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  /// Calls `hook` whenever `fd` can be read. The loop does not own `fd`.
  void OnReadable(int fd, std::function<void()> hook);

  /// Calls `hook` every `period` until the loop ends.
  void Every(Duration period, std::function<void()> hook);

  /// Calls `hook` once after `delay`.
  void After(Duration delay, std::function<void()> hook);

  /// Calls `hook` whenever the process gets `signal`.
  void OnSignal(int signal, std::function<void()> hook);

  /// Runs until Stop.
  void Run();

  /// Ends Run after the present hook.
  void Stop();

  /// Returns the base for libevent's HTTP parts.
  event_base* Base() { return m_base; }

 private:
  struct Watch;
  Watch* Add();

  event_base* m_base;                           ///< Owned.
  std::list<std::unique_ptr<Watch>> m_watches;  ///< Owned, stable addresses.
};

/// Returns the time of the steady clock. Thread-safe.
TimePoint SteadyTime();

/// Returns how long the host was suspended since its start. Thread-safe.
Duration SuspendedTime();

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_EVENT_LOOP_H_

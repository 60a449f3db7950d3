// @file event_loop.h Event loop of one thread over libevent: sockets, timers,
// signals.
#ifndef MEDLARGAUGE_RUNTIME_EVENT_LOOP_H_
#define MEDLARGAUGE_RUNTIME_EVENT_LOOP_H_

#include <functional>
#include <list>
#include <memory>

#include "src/core/time_type.h"

struct event;
struct event_base;

namespace medlargauge {

/// Calls callbacks for sockets, timers and signals, all on the thread that
/// calls Run. Not thread-safe.
class EventLoop {
 public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  /// Calls `callback` whenever `fd` is readable. The loop does not own `fd`.
  void OnReadable(int fd, std::function<void()> callback);

  /// Calls `callback` every `period` until the loop is destroyed.
  void Every(Duration period, std::function<void()> callback);

  /// Calls `callback` once after `delay`.
  void After(Duration delay, std::function<void()> callback);

  /// Calls `callback` whenever the process receives `signal`.
  void OnSignal(int signal, std::function<void()> callback);

  /// Dispatches events until Stop is called.
  void Run();

  /// Makes Run return after the current callback.
  void Stop();

  /// Returns the libevent base, which libevent's HTTP functions need.
  event_base* Base() { return m_base; }

 private:
  struct Registration;
  Registration* AddRegistration();

  event_base* m_base;  ///< Owned.
  /// A list, because libevent keeps the addresses.
  std::list<std::unique_ptr<Registration>> m_registrations;
};

/// Returns the current time of the monotonic clock, which stands still while
/// the host is suspended. Thread-safe.
TimePoint SteadyTime();

/// Returns for how long the host has been suspended in total since it booted.
/// Thread-safe.
Duration SuspendedTime();

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_EVENT_LOOP_H_

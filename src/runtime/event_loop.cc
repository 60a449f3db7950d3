// @file event_loop.cc Hooks behind libevent's callbacks.
#include "src/runtime/event_loop.h"

#include <event2/event.h>

#include <ctime>

namespace medlargauge {
namespace {

timeval ToTimeval(Duration duration) {
  const int64_t us =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return {static_cast<time_t>(us / 1000000),
          static_cast<suseconds_t>(us % 1000000)};
}

Duration ReadClock(clockid_t clock) {
  timespec time{};
  clock_gettime(clock, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace

/// One registered hook.
struct EventLoop::Watch {
  std::function<void()> hook;
  event* handle = nullptr;
  std::list<std::unique_ptr<Watch>>* owner = nullptr;  ///< Set if it runs once.

  Watch() = default;
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;
  ~Watch() {
    if (handle != nullptr) {
      event_free(handle);
    }
  }

  static void Call(evutil_socket_t /*fd*/, short /*what*/, void* argument) {
    auto* watch = static_cast<Watch*>(argument);
    if (watch->owner == nullptr) {
      watch->hook();
      return;
    }
    const std::function<void()> hook = std::move(watch->hook);
    watch->owner->remove_if(
        [watch](const std::unique_ptr<Watch>& w) { return w.get() == watch; });
    hook();
  }
};

EventLoop::EventLoop() : m_base(event_base_new()) {}

EventLoop::~EventLoop() {
  m_watches.clear();
  event_base_free(m_base);
}

EventLoop::Watch* EventLoop::Add() {
  m_watches.push_back(std::make_unique<Watch>());
  return m_watches.back().get();
}

void EventLoop::OnReadable(int fd, std::function<void()> hook) {
  Watch* watch = Add();
  watch->hook = std::move(hook);
  watch->handle =
      event_new(m_base, fd, EV_READ | EV_PERSIST, &Watch::Call, watch);
  event_add(watch->handle, nullptr);
}

void EventLoop::Every(Duration period, std::function<void()> hook) {
  Watch* watch = Add();
  watch->hook = std::move(hook);
  watch->handle = event_new(m_base, -1, EV_PERSIST, &Watch::Call, watch);
  const timeval interval = ToTimeval(period);
  event_add(watch->handle, &interval);
}

void EventLoop::After(Duration delay, std::function<void()> hook) {
  Watch* watch = Add();
  watch->hook = std::move(hook);
  watch->owner = &m_watches;
  watch->handle = evtimer_new(m_base, &Watch::Call, watch);
  const timeval interval = ToTimeval(delay);
  event_add(watch->handle, &interval);
}

void EventLoop::OnSignal(int signal, std::function<void()> hook) {
  Watch* watch = Add();
  watch->hook = std::move(hook);
  watch->handle =
      event_new(m_base, signal, EV_SIGNAL | EV_PERSIST, &Watch::Call, watch);
  event_add(watch->handle, nullptr);
}

void EventLoop::Run() {
  event_base_dispatch(m_base);
}

void EventLoop::Stop() {
  event_base_loopbreak(m_base);
}

TimePoint SteadyTime() {
  return TimePoint(ReadClock(CLOCK_MONOTONIC));
}

Duration SuspendedTime() {
  return ReadClock(CLOCK_BOOTTIME) - ReadClock(CLOCK_MONOTONIC);
}

}  // namespace medlargauge

// @file event_loop.cc Adapter from libevent's C callbacks to std::function.
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

/// A registered callback with its libevent event.
struct EventLoop::Registration {
  std::function<void()> callback;
  event* event_handle = nullptr;
  /// List to remove this registration from before its only call; null if it is
  /// called repeatedly.
  std::list<std::unique_ptr<Registration>>* one_shot_owner = nullptr;

  Registration() = default;
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;
  ~Registration() {
    if (event_handle != nullptr) {
      event_free(event_handle);
    }
  }

  static void OnEvent(evutil_socket_t /*fd*/, short /*what*/, void* argument) {
    auto* registration = static_cast<Registration*>(argument);
    if (registration->one_shot_owner == nullptr) {
      registration->callback();
      return;
    }
    const std::function<void()> callback = std::move(registration->callback);
    registration->one_shot_owner->remove_if(
        [registration](const std::unique_ptr<Registration>& other) {
          return other.get() == registration;
        });
    callback();
  }
};

EventLoop::EventLoop() : m_base(event_base_new()) {}

EventLoop::~EventLoop() {
  m_registrations.clear();
  event_base_free(m_base);
}

EventLoop::Registration* EventLoop::AddRegistration() {
  m_registrations.push_back(std::make_unique<Registration>());
  return m_registrations.back().get();
}

void EventLoop::OnReadable(int fd, std::function<void()> callback) {
  Registration* registration = AddRegistration();
  registration->callback = std::move(callback);
  registration->event_handle = event_new(m_base, fd, EV_READ | EV_PERSIST,
                                         &Registration::OnEvent, registration);
  event_add(registration->event_handle, nullptr);
}

void EventLoop::Every(Duration period, std::function<void()> callback) {
  Registration* registration = AddRegistration();
  registration->callback = std::move(callback);
  registration->event_handle =
      event_new(m_base, -1, EV_PERSIST, &Registration::OnEvent, registration);
  const timeval interval = ToTimeval(period);
  event_add(registration->event_handle, &interval);
}

void EventLoop::After(Duration delay, std::function<void()> callback) {
  Registration* registration = AddRegistration();
  registration->callback = std::move(callback);
  registration->one_shot_owner = &m_registrations;
  registration->event_handle =
      evtimer_new(m_base, &Registration::OnEvent, registration);
  const timeval interval = ToTimeval(delay);
  event_add(registration->event_handle, &interval);
}

void EventLoop::OnSignal(int signal, std::function<void()> callback) {
  Registration* registration = AddRegistration();
  registration->callback = std::move(callback);
  registration->event_handle = event_new(m_base, signal, EV_SIGNAL | EV_PERSIST,
                                         &Registration::OnEvent, registration);
  event_add(registration->event_handle, nullptr);
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

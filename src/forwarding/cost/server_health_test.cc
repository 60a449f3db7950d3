// @file server_health_test.cc Tests of the restriction of a failing server.
#include <doctest/doctest.h>

#include <algorithm>
#include <initializer_list>

#include "src/forwarding/cost/server_health.h"

namespace medlargauge {
namespace {

constexpr uint32_t kSlots = 4;

/// A server that has just been restricted.
struct RestrictedServer {
  TimePoint now{Seconds(100)};
  ServerHealth health{HealthLimits()};

  RestrictedServer() {
    for (int i = 0; i < 3; ++i) {
      health.OnUnanswered(now, UnansweredKind::kRequest, false);
    }
  }
  /// Runs the trial that is due, which fails.
  void FailTrial() {
    health.OnTrialStarted();
    health.OnUnanswered(now, UnansweredKind::kRequest, true);
  }
};

TEST_CASE("single failures between answers do not restrict a server") {
  const TimePoint now{Seconds(100)};
  ServerHealth health{HealthLimits()};
  for (int i = 0; i < 100; ++i) {
    health.OnUnanswered(now, UnansweredKind::kRequest, false);
    health.OnUnanswered(now, UnansweredKind::kRequest, false);
    health.OnAnswer(kSlots, false);
  }
  CHECK_FALSE(health.IsRestricted());
  CHECK(health.FreeTrials(now) == 0);
}

TEST_CASE("answers on open flows do not hide that no new flow is accepted") {
  ServerHealth health{HealthLimits()};
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(health.IsRestricted());
    health.OnUnanswered(TimePoint(), UnansweredKind::kOpening, false);
    health.OnAnswer(kSlots, false);
  }
  CHECK(health.IsRestricted());
}

TEST_CASE("trials run one at a time, after pauses that grow up to a second") {
  RestrictedServer server;
  CHECK(server.health.FreeTrials(server.now) == 0);
  Duration pause = Milliseconds(50);
  uint32_t trials = 0;
  uint32_t early_trials = 0;
  const TimePoint end = server.now + Seconds(6);
  while (server.now + pause < end) {
    CHECK(server.health.FreeTrials(server.now + pause - Milliseconds(1)) == 0);
    server.now += pause;
    REQUIRE(server.health.FreeTrials(server.now) == 1);
    server.health.OnTrialStarted();
    CHECK(server.health.FreeTrials(server.now) == 0);
    server.health.OnUnanswered(server.now, UnansweredKind::kRequest, true);
    ++trials;
    early_trials += end - server.now > Milliseconds(5700) ? 1 : 0;
    pause = std::min<Duration>(2 * pause, Seconds(1));
  }
  CHECK(early_trials == 2);
  CHECK(trials == 9);
}

TEST_CASE("each step of successful trials doubles them until all slots count") {
  RestrictedServer server;
  server.now += Milliseconds(50);
  for (const uint32_t step : {1, 2, 4}) {
    CHECK(server.health.IsRestricted());
    CHECK(server.health.FreeTrials(server.now) == step);
    for (uint32_t i = 0; i < step; ++i) {
      server.health.OnTrialStarted();
    }
    CHECK(server.health.FreeTrials(server.now) == 0);
    for (uint32_t i = 0; i < step; ++i) {
      server.health.OnAnswer(kSlots, true);
    }
  }
  CHECK_FALSE(server.health.IsRestricted());
}

TEST_CASE("a failed trial of a later step returns to the first one") {
  RestrictedServer server;
  server.now += Milliseconds(50);
  server.health.OnTrialStarted();
  server.health.OnAnswer(kSlots, true);
  CHECK(server.health.FreeTrials(server.now) == 2);
  server.health.OnTrialStarted();
  server.FailTrial();
  server.health.OnUnanswered(server.now, UnansweredKind::kRequest, true);
  CHECK(server.health.FreeTrials(server.now + Milliseconds(99)) == 0);
  // The failures of one step double the pause once.
  CHECK(server.health.FreeTrials(server.now + Milliseconds(100)) == 1);
}

TEST_CASE("a trial whose caller left leaves room for the next one") {
  RestrictedServer server;
  server.now += Milliseconds(50);
  server.health.OnTrialStarted();
  server.health.OnTrialAbandoned();
  CHECK(server.health.FreeTrials(server.now) == 1);
}

TEST_CASE("only trials end the restriction, and a new server starts without") {
  RestrictedServer server;
  for (int i = 0; i < 20; ++i) {
    server.health.OnAnswer(kSlots, false);
  }
  CHECK(server.health.IsRestricted());
  server.health.Reset();
  CHECK_FALSE(server.health.IsRestricted());
}

}  // namespace
}  // namespace medlargauge

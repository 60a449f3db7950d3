// @file cost_model_test.cc Tests of learned service times and remaining work.
#include <doctest/doctest.h>

#include <cmath>

#include "src/core/hash.h"
#include "src/forwarding/cost/remaining_work.h"

namespace medlargauge {
namespace {

constexpr SocketAddress4 kShort{0xC6120001, 443};
constexpr SocketAddress4 kLong{0xC6120002, 443};

/// A model that gets answers at a constant rate. Factors that vary by 30 %,
/// with 3 % of the times 7 times as long, have a mean of 1.15.
struct ModelFixture {
  TimePoint now{Seconds(100)};
  CostModel model;
  uint64_t draws = 0;
  Duration interval = Milliseconds(20);

  /// Returns a factor with a spread of 30 % and 3 % at 7 times.
  double Factor() {
    const auto draw = static_cast<double>(MixHash(++draws, 3) % 1000);
    return (draw < 30 ? 7.0 : 1.0) * (0.7 + 0.6 * draw / 1000);
  }
  /// Answers `count` requests of a kind.
  void Answer(int count,
              SocketAddress4 kind,
              double mean_ms,
              bool is_cold = false) {
    for (int i = 0; i < count; ++i) {
      now += interval;
      model.OnAnswer(now, kind,
                     Duration(static_cast<int64_t>(mean_ms * 1e6 * Factor())),
                     is_cold);
    }
  }
  double ExpectedMs(SocketAddress4 kind, bool is_cold = false) const {
    return static_cast<double>(
               model.ServiceTime(now, kind, is_cold).expected.count()) /
           1e6;
  }
};

TEST_CASE("a change of the mix of kinds does not look like a slower server") {
  ModelFixture fixture;
  CHECK_FALSE(
      fixture.model.ServiceTime(fixture.now, kShort, false).is_measured);
  for (int i = 0; i < 100; ++i) {
    fixture.Answer(1, kShort, 30);
    fixture.Answer(1, kLong, 90);
  }
  const double before = fixture.ExpectedMs(kShort);
  CHECK(before == doctest::Approx(30 * 1.18).epsilon(0.25));
  fixture.Answer(100, kLong, 90);
  CHECK(fixture.ExpectedMs(kShort) == doctest::Approx(before).epsilon(0.25));
  CHECK(fixture.ExpectedMs(kLong) == doctest::Approx(3 * before).epsilon(0.25));
}

TEST_CASE("a server that turns 5 times slower is known within a second") {
  ModelFixture fixture;
  fixture.Answer(200, kShort, 30);
  fixture.Answer(50, kLong, 60);
  const double before = fixture.ExpectedMs(kShort);
  const double other_before = fixture.ExpectedMs(kLong);
  fixture.now += Milliseconds(150);
  fixture.interval = Milliseconds(50);
  fixture.Answer(17, kShort, 150);  // What 3 slots answer until a second ends.
  CHECK(fixture.ExpectedMs(kShort) > 3 * before);
  // The other kind was not observed; it shares the slowness.
  CHECK(fixture.ExpectedMs(kLong) > 3 * other_before);
  fixture.interval = Milliseconds(30);
  fixture.Answer(33, kShort, 30);
  CHECK(fixture.ExpectedMs(kShort) < 1.4 * before);
}

TEST_CASE("a slow server that gets no requests is tried again") {
  ModelFixture fixture;
  fixture.Answer(200, kShort, 30);
  const double before = fixture.ExpectedMs(kShort);
  fixture.Answer(50, kShort, 150);
  fixture.now += Seconds(1);
  CHECK(fixture.ExpectedMs(kShort) < 2 * before);
}

TEST_CASE("answers of a cold server do not change the warm estimate") {
  ModelFixture fixture;
  fixture.Answer(200, kShort, 30);
  const double before = fixture.ExpectedMs(kShort);
  fixture.Answer(50, kShort, 48, true);
  CHECK(fixture.ExpectedMs(kShort, true) > 1.3 * before);
  CHECK(fixture.ExpectedMs(kShort) == doctest::Approx(before).epsilon(0.1));
  // A server that started cold: its first warm answer replaces all cold ones.
  fixture.model.Reset();
  fixture.Answer(50, kShort, 48, true);
  CHECK(fixture.ExpectedMs(kShort, true) > 45);
  fixture.Answer(50, kShort, 30);
  CHECK(fixture.ExpectedMs(kShort) == doctest::Approx(before).epsilon(0.25));
}

TEST_CASE("a request that has run for long is likely to run longer") {
  ModelFixture fixture;
  fixture.Answer(600, kShort, 30);
  const auto remaining_ms = [&](int64_t age_ms) {
    return ToMilliseconds(fixture.model.RemainingTime(
        fixture.now, kShort, Milliseconds(age_ms), false));
  };
  CHECK(remaining_ms(0) == doctest::Approx(35).epsilon(0.25));
  CHECK(remaining_ms(20) < remaining_ms(0));
  CHECK(remaining_ms(80) > 2 * remaining_ms(0));
  CHECK(remaining_ms(1000) >= 900);
}

TEST_CASE("the time in a slot excludes the time in the queue") {
  TimePoint now{Seconds(100)};
  RemainingWork work;
  for (const uint64_t id : {1, 2, 3}) {
    work.Start(now, id, kShort, 2);
  }
  now += Milliseconds(40);
  CHECK(work.End(now, 1, 2) == Milliseconds(40));
  now += Milliseconds(10);
  CHECK(work.End(now, 3, 2) == Milliseconds(10));
  work.Start(now, 4, kShort, 1);
  CHECK_FALSE(work.End(now, 4, 1).has_value());  // It had no slot.
  CHECK_FALSE(work.End(now, 9, 1).has_value());
  CHECK(work.Count() == 1);
}

TEST_CASE("remaining work sums running and waiting requests of each kind") {
  ModelFixture fixture;
  fixture.Answer(300, kShort, 30);
  fixture.Answer(300, kLong, 90);
  RemainingWork work;
  work.Start(fixture.now, 1, kLong, 1);
  work.Start(fixture.now, 2, kShort, 1);
  const double total_ms =
      static_cast<double>(
          work.Total(fixture.now, fixture.model, false).count()) /
      1e6;
  CHECK(total_ms ==
        doctest::Approx(fixture.ExpectedMs(kShort) + fixture.ExpectedMs(kLong))
            .epsilon(0.1));
  CHECK(work.WaitingTime(fixture.now, fixture.model, false, 3, 0) ==
        Duration());
  const double wait_ms =
      static_cast<double>(
          work.WaitingTime(fixture.now, fixture.model, false, 1, 0).count()) /
      1e6;
  CHECK(wait_ms == doctest::Approx(total_ms).epsilon(0.01));
  work.Clear();
  CHECK(work.Total(fixture.now, fixture.model, false) == Duration());
}

}  // namespace
}  // namespace medlargauge

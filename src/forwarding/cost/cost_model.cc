// @file cost_model.cc Learning and forgetting of service times.
#include "src/forwarding/cost/cost_model.h"

#include <algorithm>
#include <cmath>

namespace medlargauge {
namespace {

/// Weight of a new sample of the slowness: eight answers make most of a change,
/// which a server with 20 requests per second gives in less than half a second.
constexpr double kSlownessWeight = 1.0 / 8;
/// Limit of a sample of the logarithm of the slowness. A request that takes 7
/// times as long as usual counts like one of 2.7 times.
constexpr double kMaxLogStep = 1.0;
/// Lowest weight of a new sample of a kind. It averages over several seconds,
/// so that the slowness explains what changes faster.
constexpr double kKindWeight = 1.0 / 64;
/// Without answers a slowness holds for this time and then has this half-life,
/// so that the server is tried again: it gets its share within a second after
/// it has recovered. A server of three slots that takes 150 ms gives an answer
/// every 50 ms.
constexpr Duration kSlownessHoldTime = Milliseconds(200);
constexpr Duration kSlownessHalfLife = Milliseconds(400);
/// Times shorter than this are not distinguished; logarithms stay finite.
constexpr double kMinTimeUs = 50;
/// Decay of the counts of ratios with each answer: the last 500 answers count,
/// of which a tail of 3 % has 15.
constexpr double kRatioDecay = 1 - 1.0 / 500;
/// Upper bound of the first class of ratios.
constexpr double kFirstRatio = 0.125;

double Microseconds(Duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

Duration FromMicroseconds(double time_us) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::micro>(time_us));
}

size_t RatioClassOf(double ratio, size_t classes) {
  size_t index = 0;
  for (double bound = kFirstRatio; ratio > bound && index + 1 < classes;
       bound *= 2) {
    ++index;
  }
  return index;
}

}  // namespace

void CostModel::LearnKind(double time_us, Kind* kind) {
  ++kind->samples;
  const double weight = std::max(1 / kind->samples, kKindWeight);
  kind->deviation_us +=
      weight * (std::abs(time_us - kind->mean_us) - kind->deviation_us);
  kind->mean_us += weight * (time_us - kind->mean_us);
  kind->log_mean += weight * (std::log(time_us) - kind->log_mean);
}

double CostModel::Slowness(TimePoint now, bool is_cold) const {
  const SlownessState& slowness = m_slowness[is_cold ? 1 : 0];
  const SlownessState& warm = m_slowness[0];
  if (slowness.samples == 0) {
    return is_cold && warm.samples > 0 ? Slowness(now, false) : 1;
  }
  const Duration age =
      std::max(now - slowness.updated_at - kSlownessHoldTime, Duration());
  const double half_lives = static_cast<double>(age.count()) /
                            static_cast<double>(kSlownessHalfLife.count());
  // The cold server is not expected to return to the speed of the warm one.
  return std::exp(slowness.log * (is_cold ? 1 : std::exp2(-half_lives)));
}

void CostModel::CountRatio(double ratio) {
  for (size_t i = 0; i < kRatioClasses; ++i) {
    m_ratio_counts[i] *= kRatioDecay;
    m_ratio_sums[i] *= kRatioDecay;
  }
  const size_t index = RatioClassOf(ratio, kRatioClasses);
  m_ratio_counts[index] += 1;
  m_ratio_sums[index] += ratio;
}

void CostModel::OnAnswer(TimePoint now,
                         SocketAddress4 kind_address,
                         Duration time,
                         bool is_cold) {
  const double time_us = std::max(Microseconds(time), kMinTimeUs);
  Kind& kind = m_kinds[kind_address];
  const bool replaces_cold = kind.is_cold_only && !is_cold;
  if (replaces_cold) {
    kind = Kind();
  }
  SlownessState& slowness = m_slowness[is_cold ? 1 : 0];
  const double previous = Slowness(now, is_cold);
  // What lasts becomes part of the kinds. Without this the two could drift
  // apart, as only their product is observed.
  slowness.log = std::log(previous) * (1 - kKindWeight);
  if (kind.samples > 0 && !kind.is_cold_only) {
    const double step = std::log(time_us) - kind.log_mean - slowness.log;
    slowness.log +=
        kSlownessWeight * std::clamp(step, -kMaxLogStep, kMaxLogStep);
    CountRatio(time_us / (kind.mean_us * previous));
  }
  ++slowness.samples;
  slowness.updated_at = now;
  const bool learns_kind = !is_cold || kind.samples == 0 || kind.is_cold_only;
  if (learns_kind) {
    kind.is_cold_only = is_cold;
    LearnKind(is_cold ? time_us : time_us / std::exp(slowness.log), &kind);
    if (m_any_kind.is_cold_only && !is_cold) {
      m_any_kind = Kind();
    }
    m_any_kind.is_cold_only = is_cold;
    LearnKind(is_cold ? time_us : time_us / std::exp(slowness.log),
              &m_any_kind);
  }
}

ResponseEstimate CostModel::ServiceTime(TimePoint now,
                                        SocketAddress4 kind_address,
                                        bool is_cold) const {
  const auto found = m_kinds.find(kind_address);
  const Kind& kind = found == m_kinds.end() ? m_any_kind : found->second;
  ResponseEstimate estimate;
  if (kind.samples == 0) {
    return estimate;
  }
  // What a cold server took includes its slowness.
  const double slowness = kind.is_cold_only ? 1.0 : Slowness(now, is_cold);
  estimate.expected = FromMicroseconds(kind.mean_us * slowness);
  // The first sample tells nothing about the deviation.
  estimate.deviation = kind.samples < 2
                           ? estimate.expected
                           : FromMicroseconds(kind.deviation_us * slowness);
  // The times of a warm server tell little about a cold one.
  estimate.is_measured =
      !is_cold || kind.is_cold_only || m_slowness[1].samples > 0;
  return estimate;
}

Duration CostModel::RemainingTime(TimePoint now,
                                  SocketAddress4 kind,
                                  Duration age,
                                  bool is_cold) const {
  const Duration expected = ServiceTime(now, kind, is_cold).expected;
  if (expected <= Duration()) {
    return {};
  }
  const double ratio = Microseconds(age) / Microseconds(expected);
  // Of the class that the age falls into, the half above the age remains.
  const size_t first = RatioClassOf(ratio, kRatioClasses);
  double count = 0;
  double sum = 0;
  for (size_t i = first; i < kRatioClasses; ++i) {
    const double share = i == first && ratio > 0 ? 0.5 : 1.0;
    count += share * m_ratio_counts[i];
    sum += share * std::max(m_ratio_sums[i], ratio * m_ratio_counts[i]);
  }
  if (count < 0.5) {
    // Nothing took that long: it is as likely to be at its end as in its
    // middle.
    return std::max<Duration>(expected - age, age);
  }
  return FromMicroseconds(std::max(sum / count - ratio, 0.0) *
                          Microseconds(expected));
}

}  // namespace medlargauge

// @file era_tracker.cc Comparison of eras.
#include "src/forwarding/era_tracker.h"

#include <algorithm>

namespace medlargauge {

EraFinding EraTracker::OnAnswer(TimePoint now, const StatedEra& stated) {
  switch (stated.kind) {
    case StatedEra::Kind::kNoAnswer:
      return EraFinding::kUsable;
    case StatedEra::Kind::kInvalid:
      return EraFinding::kInvalid;
    case StatedEra::Kind::kMissing:
      m_has_learned = true;
      return m_era == 0 ? EraFinding::kUsable : EraFinding::kMissing;
    case StatedEra::Kind::kStated:
      break;
  }
  const EraFinding finding = Learn(now, stated.era, std::nullopt);
  m_has_learned = true;
  return finding;
}

EraFinding EraTracker::OnPeer(TimePoint now,
                              uint64_t era,
                              std::optional<Duration> age) {
  if (era == 0) {
    return EraFinding::kUsable;
  }
  const EraFinding finding = Learn(now, era, age);
  m_has_learned = true;
  if (finding == EraFinding::kOlder) {
    ExpectRegistrationsSince(now);  // The peer has yet to register again.
  } else if (age.has_value()) {
    ExpectRegistrationsSince(now - *age);
  }
  return finding;
}

std::optional<Duration> EraTracker::Age(TimePoint now) const {
  return m_rose_at == TimePoint() ? std::nullopt
                                  : std::make_optional(now - m_rose_at);
}

EraFinding EraTracker::Learn(TimePoint now,
                             uint64_t era,
                             std::optional<Duration> age) {
  if (era <= m_era) {
    return era == m_era ? EraFinding::kUsable : EraFinding::kOlder;
  }
  m_era = era;
  m_rose_at = TimePoint();
  const bool is_first = !m_has_learned;
  if (!is_first || age.has_value()) {
    m_rose_at = now - age.value_or(Duration());
    ExpectRegistrationsSince(m_rose_at);
  }
  return is_first ? EraFinding::kFirst : EraFinding::kRose;
}

void EraTracker::ExpectRegistrationsSince(TimePoint since) {
  m_complete_at = std::max(m_complete_at, since + kReregistrationTime);
}

}  // namespace medlargauge

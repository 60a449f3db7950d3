// @file era_tracker.cc Comparison of eras.
#include "src/forwarding/era_tracker.h"

namespace medlargauge {

EraFinding EraTracker::OnAnswer(const StatedEra& stated) {
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
  const bool is_first = !m_has_learned;
  m_has_learned = true;
  if (stated.era <= m_era) {
    return stated.era == m_era ? EraFinding::kUsable : EraFinding::kOlder;
  }
  m_era = stated.era;
  return is_first ? EraFinding::kFirst : EraFinding::kRose;
}

}  // namespace medlargauge

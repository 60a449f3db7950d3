// @file target_version.h Which targets of the operators are the newest.
#ifndef MEDLARGAUGE_FORWARDING_TARGET_VERSION_H_
#define MEDLARGAUGE_FORWARDING_TARGET_VERSION_H_

#include <cstdint>
#include <tuple>

namespace medlargauge {

/// Where the store wrote the targets. A store that comes back from an older
/// copy starts a new era and gives out revisions again, so the era is compared
/// first. Comparisons are thread-safe.
struct TargetVersion {
  uint64_t era = 0;       ///< 0: unknown.
  uint64_t revision = 0;  ///< Store revision; 0: no targets.

  friend bool operator==(const TargetVersion& a, const TargetVersion& b) {
    return a.era == b.era && a.revision == b.revision;
  }
  friend bool operator!=(const TargetVersion& a, const TargetVersion& b) {
    return !(a == b);
  }
  friend bool operator<(const TargetVersion& a, const TargetVersion& b) {
    return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
  }
};

/// Identifies the targets that a process has in force.
struct TargetIdentity {
  TargetVersion version;           ///< Where the store wrote them.
  uint64_t operators_version = 0;  ///< Number that the operators raise with
                                   ///< each change; 0: unknown.
};

/// Returns whether `candidate` replaces `current`. The operators' number
/// decides if both are known: a restored store serves older targets again, and
/// accepted targets must not revert. Otherwise the newer version replaces the
/// older one. Thread-safe.
inline bool Supersedes(const TargetIdentity& candidate,
                       const TargetIdentity& current) {
  const bool numbers_decide =
      candidate.operators_version != 0 && current.operators_version != 0 &&
      candidate.operators_version != current.operators_version;
  return numbers_decide
             ? candidate.operators_version > current.operators_version
             : current.version < candidate.version;
}

/// Returns whether the targets that a peer states should be fetched from it. A
/// peer that knows no eras states a bare revision, which may be newer; only its
/// document shows that. Thread-safe.
inline bool MayBeNewer(const TargetIdentity& stated,
                       const TargetIdentity& in_force) {
  const bool is_bare = stated.version.era == 0 && stated.operators_version == 0;
  return is_bare ? stated.version.revision > in_force.version.revision
                 : Supersedes(stated, in_force);
}

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_TARGET_VERSION_H_

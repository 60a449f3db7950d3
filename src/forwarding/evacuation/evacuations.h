// @file evacuations.h Failure domains that get no new flows.
#ifndef MEDLARGAUGE_FORWARDING_EVACUATION_EVACUATIONS_H_
#define MEDLARGAUGE_FORWARDING_EVACUATION_EVACUATIONS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "src/core/ids_type.h"
#include "src/core/time_type.h"
#include "src/forwarding/target_version.h"

namespace medlargauge {

/// Failure domains, sorted and without duplicates.
using DomainSet = std::vector<DomainId>;

/// Time after a restore of the store within which the operators write again
/// what it has lost.
constexpr Duration kEvacuationRewriteTime = Seconds(5);
/// A process that has just started refuses new flows for at most this long
/// because it does not know whether its domain is evacuated.
constexpr Duration kUnknownEvacuationTime = Seconds(5);

/// What a process knows of evacuations, as processes tell each other.
struct EvacuationState {
  TargetVersion version;  ///< Where the store stood; revision 0: unknown.
  DomainSet domains;      ///< Evacuated according to the store.
  /// Evacuated before the store was restored, and still in force.
  DomainSet held;
};

/// Whether a failure domain may get new flows.
enum class DomainAdmission : uint8_t {
  kOpen,       ///< It may.
  kEvacuated,  ///< It may not.
  kUnknown,    ///< This process has not yet learned of any list.
};

/// The evacuated failure domains. The list with the highest version wins,
/// whether it comes from the store or from another process. A restore of the
/// store starts a new era: what was in force then stays in force for
/// kEvacuationRewriteTime, in addition to the list of the new era.
/// Deterministic: it maps (now, event) to states and reads no clock. Methods
/// that return bool return whether IsKnown or InForce has changed. Not
/// thread-safe.
class Evacuations {
 public:
  /// Handles a complete list of the store.
  /// @param version store revision up to which the list is complete
  /// @param era_age how long the rise to this era has been known; nullopt if
  ///     none was seen
  bool OnRead(TimePoint now,
              TargetVersion version,
              DomainSet domains,
              std::optional<Duration> era_age);

  /// Handles a change that a watch of the store reports. Changes that the
  /// known list includes are ignored, and those of another era, which a read
  /// has to follow.
  /// @param ended the evacuation was revoked
  bool OnChange(TargetVersion version, DomainId domain, bool ended);

  /// Handles the state of another process.
  /// @param era_age see OnRead
  bool OnPeer(TimePoint now,
              const EvacuationState& stated,
              std::optional<Duration> era_age);

  /// Ends the evacuations that only a restore has kept, when they are due.
  bool OnTick(TimePoint now);

  /// Returns whether a list is known, which may be empty.
  bool IsKnown() const { return m_state.version.revision != 0; }
  /// Returns the domains that get no new flows.
  const DomainSet& InForce() const { return m_in_force; }
  /// Returns whether a domain may get new flows.
  DomainAdmission AdmissionOf(DomainId domain) const;
  /// Returns what to tell other processes.
  const EvacuationState& State() const { return m_state; }

  /// Returns whether another process, which stated this, lacks a list or has
  /// an older one with other domains.
  bool IsBehind(const EvacuationState& stated) const;

 private:
  /// Replaces the list by one of a higher version.
  void Adopt(TimePoint now,
             TargetVersion version,
             DomainSet domains,
             std::optional<Duration> era_age);
  /// Keeps domains in force until m_hold_until.
  void Hold(TimePoint now, const DomainSet& domains);
  /// Updates m_in_force. @return whether it or IsKnown differs from before
  bool Recompute(bool was_known);

  EvacuationState m_state;  ///< See State.
  DomainSet m_in_force;     ///< See InForce.
  TimePoint m_hold_until;   ///< End of the evacuations in m_state.held.
};

/// When to repeat the broadcast of a change. Receivers that have lost a
/// datagram would else learn of it from the next regular status, whose interval
/// grows with the fleet. Not thread-safe.
class ChangeRepeats {
 public:
  /// Starts the repetitions after a broadcast.
  void OnBroadcast(TimePoint now);
  /// Returns whether to broadcast again now.
  bool TakeDue(TimePoint now);

 private:
  TimePoint m_broadcast_at;  ///< The first broadcast.
  /// The next of the repetitions; behind the last one while none is due.
  size_t m_next = SIZE_MAX;
};

namespace detail {
/// Returns the union of two sets.
DomainSet Union(const DomainSet& a, const DomainSet& b);
/// Returns the domains of `a` that are not in `b`.
DomainSet Difference(const DomainSet& a, const DomainSet& b);
/// Sorts domains and removes duplicates.
DomainSet MakeDomainSet(std::vector<DomainId> domains);
}  // namespace detail

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_EVACUATION_EVACUATIONS_H_

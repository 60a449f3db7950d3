// @file evacuations.cc Which list of evacuated domains is in force.
#include "src/forwarding/evacuation/evacuations.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace medlargauge {
namespace {

/// Times of the repetitions after the first broadcast. All are over before an
/// evacuation has to be in force (5 s).
constexpr std::array<Duration, 4> kRepeatDelays = {
    Milliseconds(200), Milliseconds(600), Milliseconds(1400),
    Milliseconds(3000)};

}  // namespace

namespace detail {

DomainSet Union(const DomainSet& a, const DomainSet& b) {
  DomainSet result;
  std::set_union(a.begin(), a.end(), b.begin(), b.end(),
                 std::back_inserter(result));
  return result;
}

DomainSet Difference(const DomainSet& a, const DomainSet& b) {
  DomainSet result;
  std::set_difference(a.begin(), a.end(), b.begin(), b.end(),
                      std::back_inserter(result));
  return result;
}

DomainSet MakeDomainSet(std::vector<DomainId> domains) {
  std::sort(domains.begin(), domains.end());
  domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
  return domains;
}

}  // namespace detail

bool Evacuations::OnRead(TimePoint now,
                         TargetVersion version,
                         DomainSet domains,
                         std::optional<Duration> era_age) {
  const bool was_known = IsKnown();
  Adopt(now, version, std::move(domains), era_age);
  return Recompute(was_known);
}

bool Evacuations::OnChange(TargetVersion version, DomainId domain, bool ended) {
  const bool applies = IsKnown() && version.era == m_state.version.era &&
                       m_state.version < version;
  if (!applies) {
    return false;
  }
  m_state.version = version;
  m_state.domains = ended ? detail::Difference(m_state.domains, {domain})
                          : detail::Union(m_state.domains, {domain});
  return Recompute(true);
}

bool Evacuations::OnPeer(TimePoint now,
                         const EvacuationState& stated,
                         std::optional<Duration> era_age) {
  if (stated.version.revision == 0) {
    return false;
  }
  const bool was_known = IsKnown();
  if (was_known && stated.version.era < m_state.version.era) {
    // The process has not heard of the restore yet.
    Hold(now, detail::Union(stated.domains, stated.held));
  } else {
    Adopt(now, stated.version, stated.domains, era_age);
    Hold(now, stated.held);
  }
  return Recompute(was_known);
}

bool Evacuations::OnTick(TimePoint now) {
  if (now >= m_hold_until) {
    m_state.held.clear();
  }
  return Recompute(IsKnown());
}

DomainAdmission Evacuations::AdmissionOf(DomainId domain) const {
  if (!IsKnown()) {
    return DomainAdmission::kUnknown;
  }
  return std::binary_search(m_in_force.begin(), m_in_force.end(), domain)
             ? DomainAdmission::kEvacuated
             : DomainAdmission::kOpen;
}

bool Evacuations::IsBehind(const EvacuationState& stated) const {
  return stated.version < m_state.version &&
         (stated.version.revision == 0 || stated.domains != m_state.domains);
}

void Evacuations::Adopt(TimePoint now,
                        TargetVersion version,
                        DomainSet domains,
                        std::optional<Duration> era_age) {
  if (!(m_state.version < version) || version.revision == 0) {
    return;
  }
  if (!IsKnown() || m_state.version.era < version.era) {
    m_hold_until = now + kEvacuationRewriteTime - era_age.value_or(Duration());
    m_state.held = IsKnown() && now < m_hold_until ? m_in_force : DomainSet();
  }
  m_state.version = version;
  m_state.domains = std::move(domains);
}

void Evacuations::Hold(TimePoint now, const DomainSet& domains) {
  if (now < m_hold_until) {
    m_state.held = detail::Union(m_state.held, domains);
  }
}

bool Evacuations::Recompute(bool was_known) {
  DomainSet in_force = detail::Union(m_state.domains, m_state.held);
  const bool has_changed = in_force != m_in_force || was_known != IsKnown();
  m_in_force = std::move(in_force);
  return has_changed;
}

void ChangeRepeats::OnBroadcast(TimePoint now) {
  m_broadcast_at = now;
  m_next = 0;
}

bool ChangeRepeats::TakeDue(TimePoint now) {
  bool is_due = false;
  while (m_next < kRepeatDelays.size() &&
         now >= m_broadcast_at + kRepeatDelays[m_next]) {
    ++m_next;
    is_due = true;
  }
  return is_due;
}

}  // namespace medlargauge

// @file fleet_node_era.cc FleetNode's reaction to the store's era.
#include "src/core/event_log.h"
#include "src/runtime/fleet_node.h"

namespace medlargauge {
namespace {

constexpr Duration kEraWarningInterval = Seconds(10);
/// A fleet registers again over this time, so that the store is not flooded.
constexpr Duration kRegistrationSpread = Seconds(1);

std::string_view NameOf(EraFinding finding) {
  switch (finding) {
    case EraFinding::kOlder:
      return "older";
    case EraFinding::kMissing:
      return "missing";
    case EraFinding::kInvalid:
      return "invalid";
    default:
      return "usable";
  }
}

}  // namespace

StoreResult FleetNode::CheckEra(const StoreReply& reply,
                                std::string_view call) {
  const TimePoint now = SteadyTime();
  const EraFinding finding = m_era.OnAnswer(now, reply.era);
  if (finding == EraFinding::kRose) {
    StartEra(now, "store");
    BroadcastStatus();
  }
  if (m_era.Era() != 0) {
    m_target_reader.OnEraKnown();
  }
  if (IsUsable(finding)) {
    return reply.result;
  }
  ++m_unusable_store_answers;
  if (now >= m_next_era_warning) {
    m_next_era_warning = now + kEraWarningInterval;
    EventLine(Severity::kWarning, "store_answer_ignored")
        .With("call", call)
        .With("era", NameOf(finding))
        .With("stated", reply.era.era)
        .With("known", m_era.Era())
        .With("ignored", m_unusable_store_answers);
  }
  return StoreResult::kRefused;
}

void FleetNode::OnPeerEra(TimePoint now, const proto::PeerStatus& status) {
  std::optional<Duration> age;
  if (status.era_age_ms() != 0) {
    age = Milliseconds(status.era_age_ms() - 1);
  }
  if (m_era.OnPeer(now, status.store_era(), age) == EraFinding::kRose) {
    StartEra(now, "peer");
  }
  if (m_era.Era() != 0) {
    m_target_reader.OnEraKnown();
  }
  m_discovery.OnRegistrationsCompleteAt(m_era.RegistrationsCompleteAt());
}

void FleetNode::StartEra(TimePoint now, std::string_view source) {
  EventLine(Severity::kWarning, "store_restored")
      .With("era", m_era.Era())
      .With("source", source);
  m_target_reader.OnNewEra(now);
  m_discovery.OnRegistrationsCompleteAt(m_era.RegistrationsCompleteAt());
  if (m_discovery.HasLeft()) {
    LeaveStore();  // The copy may still list this process.
    return;
  }
  const auto spread_ms =
      static_cast<uint64_t>(ToMilliseconds(kRegistrationSpread));
  const uint64_t delay_ms = MixHash(m_self.id.value, m_era.Era()) % spread_ms;
  m_discovery.RegisterAt(now + Milliseconds(static_cast<int64_t>(delay_ms)));
}

}  // namespace medlargauge

// @file fleet_node_era.cc FleetNode's reaction to the store's era.
#include "src/core/event_log.h"
#include "src/runtime/fleet_node.h"

namespace medlargauge {
namespace {

constexpr Duration kEraWarningInterval = Seconds(10);

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
  const EraFinding finding = m_era.OnAnswer(reply.era);
  if (IsUsable(finding)) {
    return reply.result;
  }
  ++m_unusable_store_answers;
  const TimePoint now = SteadyTime();
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

}  // namespace medlargauge

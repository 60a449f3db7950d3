// @file flow_log.cc Rate limit and sampling of log lines about single flows.
#include "src/runtime/flow_log.h"

#include <cstdio>

namespace medlargauge {
namespace {

/// Limits of the classes, and their names in logs.
struct LineClassRow {
  uint32_t max_lines_per_second;
  std::string_view name;
};
constexpr std::array<LineClassRow, 2> kLineClasses = {
    {{50, "refusal"}, {200, "open_flow"}}};
/// The regular steps of one flow out of this many are logged.
constexpr uint64_t kFlowsPerSample = 64;

}  // namespace

std::string FlowName(const FlowKey& flow) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(HashFlow(flow)));
  return text;
}

std::string_view ReturnReasonName(ReturnReason reason) {
  switch (reason) {
    case ReturnReason::kNone:
      return "none";
    case ReturnReason::kBounced:
      return "bounced";
    case ReturnReason::kBusy:
      return "busy";
    case ReturnReason::kFull:
      return "full";
    case ReturnReason::kDraining:
      return "draining";
    case ReturnReason::kWrongService:
      return "wrong_service";
    case ReturnReason::kServerDown:
      return "server_down";
    case ReturnReason::kMoved:
      return "moved";
    case ReturnReason::kEvacuated:
      return "evacuated";
  }
  return "unknown";
}

bool FlowLog::AllowLine(TimePoint now, FlowLineClass line_class) {
  const LineClassRow& row = kLineClasses[static_cast<size_t>(line_class)];
  Budget& budget = m_budgets[static_cast<size_t>(line_class)];
  if (now >= budget.window_end) {
    if (budget.suppressed_lines > 0) {
      EventLine(Severity::kWarning, "lines_left_out")
          .With("count", budget.suppressed_lines)
          .With("class", row.name);
    }
    budget = Budget{now + Seconds(1)};
  }
  const bool allowed = budget.lines_written < row.max_lines_per_second;
  budget.lines_written += allowed ? 1 : 0;
  budget.suppressed_lines += allowed ? 0 : 1;
  return allowed;
}

bool FlowLog::IsSampled(const FlowKey& flow) {
  return HashFlow(flow) % kFlowsPerSample == 0;
}

}  // namespace medlargauge

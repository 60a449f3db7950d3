// @file flow_log.cc Rate limit and sampling of log lines about single flows.
#include "src/runtime/flow_log.h"

#include <cstdio>

namespace medlargauge {
namespace {

constexpr uint32_t kMaxLinesPerSecond = 50;  ///< Lines about unusual events.
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
  }
  return "unknown";
}

bool FlowLog::AllowLine(TimePoint now) {
  if (now >= m_window_end) {
    if (m_suppressed_lines > 0) {
      EventLine(Severity::kWarning, "lines_left_out")
          .With("count", m_suppressed_lines);
    }
    m_window_end = now + Seconds(1);
    m_lines_written = 0;
    m_suppressed_lines = 0;
  }
  const bool allowed = m_lines_written < kMaxLinesPerSecond;
  m_lines_written += allowed ? 1 : 0;
  m_suppressed_lines += allowed ? 0 : 1;
  return allowed;
}

bool FlowLog::IsSampled(const FlowKey& flow) {
  return HashFlow(flow) % kFlowsPerSample == 0;
}

}  // namespace medlargauge

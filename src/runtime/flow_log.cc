// @file flow_log.cc Sampling and the limit on lines.
#include "src/runtime/flow_log.h"

#include <cstdio>

namespace medlargauge {
namespace {

constexpr uint32_t kLinesPerSecond = 50;  ///< About unusual events.
constexpr uint64_t kSampleOneIn = 64;     ///< Flows whose ordinary steps show.

}  // namespace

std::string FlowName(const FlowKey& flow) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(HashFlow(flow)));
  return text;
}

std::string_view ReasonName(ReturnReason reason) {
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

bool FlowLog::MayReport(TimePoint now) {
  if (now >= m_window_end) {
    if (m_left_out > 0) {
      EventLine(Severity::kWarning, "lines_left_out").With("count", m_left_out);
    }
    m_window_end = now + Seconds(1);
    m_lines = 0;
    m_left_out = 0;
  }
  const bool may = m_lines < kLinesPerSecond;
  m_lines += may ? 1 : 0;
  m_left_out += may ? 0 : 1;
  return may;
}

bool FlowLog::IsSampled(const FlowKey& flow) {
  return HashFlow(flow) % kSampleOneIn == 0;
}

}  // namespace medlargauge

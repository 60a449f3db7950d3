// @file flow_log.h Rate limit and sampling of log lines about single flows.
#ifndef MEDLARGAUGE_RUNTIME_FLOW_LOG_H_
#define MEDLARGAUGE_RUNTIME_FLOW_LOG_H_

#include <array>
#include <string>

#include "src/core/event_log.h"
#include "src/forwarding/forwarding_type.h"

namespace medlargauge {

/// Returns the name of a flow in logs: 16 hexadecimal digits, the same in every
/// process. Thread-safe.
std::string FlowName(const FlowKey& flow);

/// Returns the name of a return reason in logs. Thread-safe.
std::string_view ReturnReasonName(ReturnReason reason);

/// Classes of log lines about flows. Each has a rate limit of its own, so that
/// a burst of refusals does not hide the reset of an open flow.
enum class FlowLineClass : uint8_t {
  kRefusal,   ///< A packet was returned, held, dropped or refused.
  kOpenFlow,  ///< An open flow was reset, or its owner is hard to find.
};

/// Limits the rate of log lines about flows. Not thread-safe.
class FlowLog {
 public:
  /// Returns whether a line about an unusual event may be written now, and
  /// counts it. The number of suppressed lines of the class is logged with the
  /// next allowed one.
  bool AllowLine(TimePoint now, FlowLineClass line_class);

  /// Returns whether the regular steps of this flow are logged. Every process
  /// samples the same flows, so that their whole path is in the logs.
  /// Thread-safe.
  static bool IsSampled(const FlowKey& flow);

 private:
  /// Budget of one class of lines.
  struct Budget {
    TimePoint window_end;           ///< End of the current second.
    uint32_t lines_written = 0;     ///< Lines allowed in this second.
    uint64_t suppressed_lines = 0;  ///< Since the last report of them.
  };
  std::array<Budget, 2> m_budgets;  ///< By FlowLineClass.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_FLOW_LOG_H_

// @file flow_log.h Rate limit and sampling of log lines about single flows.
#ifndef MEDLARGAUGE_RUNTIME_FLOW_LOG_H_
#define MEDLARGAUGE_RUNTIME_FLOW_LOG_H_

#include <string>

#include "src/core/event_log.h"
#include "src/forwarding/forwarding_type.h"

namespace medlargauge {

/// Returns the name of a flow in logs: 16 hexadecimal digits, the same in every
/// process. Thread-safe.
std::string FlowName(const FlowKey& flow);

/// Returns the name of a return reason in logs. Thread-safe.
std::string_view ReturnReasonName(ReturnReason reason);

/// Limits the rate of log lines about flows. Not thread-safe.
class FlowLog {
 public:
  /// Returns whether a line about an unusual event may be written now, and
  /// counts it. The number of suppressed lines is logged with the next allowed
  /// one.
  bool AllowLine(TimePoint now);

  /// Returns whether the regular steps of this flow are logged. Every process
  /// samples the same flows, so that their whole path is in the logs.
  /// Thread-safe.
  static bool IsSampled(const FlowKey& flow);

 private:
  TimePoint m_window_end;           ///< End of the current second.
  uint32_t m_lines_written = 0;     ///< Lines allowed in this second.
  uint64_t m_suppressed_lines = 0;  ///< Since the last report of them.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_FLOW_LOG_H_

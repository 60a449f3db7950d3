// @file flow_log.h Log lines about single flows, bounded in number.
#ifndef MEDLARGAUGE_RUNTIME_FLOW_LOG_H_
#define MEDLARGAUGE_RUNTIME_FLOW_LOG_H_

#include <string>

#include "src/core/event_log.h"
#include "src/steer/steer_type.h"

namespace medlargauge {

/// Returns the name of a flow in logs, the same in every process. Thread-safe.
std::string FlowName(const FlowKey& flow);

/// Returns the name of a reason in logs. Thread-safe.
std::string_view ReasonName(ReturnReason reason);

/// Limits how many lines about flows are written. Not thread-safe.
class FlowLog {
 public:
  /// Returns whether a line about something unusual may be written now.
  bool MayReport(TimePoint now);

  /// Returns whether ordinary steps of this flow are written: the same sample
  /// of flows in every process.
  static bool IsSampled(const FlowKey& flow);

 private:
  TimePoint m_window_end;   ///< End of the second being counted.
  uint32_t m_lines = 0;     ///< Written in it.
  uint64_t m_left_out = 0;  ///< Not written since the last report of that.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_FLOW_LOG_H_

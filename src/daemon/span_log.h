// @file span_log.h Spans of sampled packets in OTLP/JSON, one line a span.
#ifndef MEDLARGAUGE_DAEMON_SPAN_LOG_H_
#define MEDLARGAUGE_DAEMON_SPAN_LOG_H_

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

#include "src/packet/envelope_type.h"

namespace medlargauge {

/// Writes spans. Thread-safe.
class SpanLog {
 public:
  /// @param file to append to; empty for none
  /// @param process name of this process
  SpanLog(const std::string& file, std::string process);

  /// Writes one span of a hop.
  /// @param context sampled context; its span becomes the parent
  /// @param hop what this process did with the packet
  /// @param next name or address of where it went; may be empty
  /// @return the identifier of the new span, for the next hop's context
  uint64_t Write(const TraceContext& context,
                 std::string_view hop,
                 std::string_view next);

 private:
  std::mutex m_mutex;      ///< Protects the stream.
  std::ofstream m_stream;  ///< Closed if there is no file.
  std::string m_process;   ///< Name of this process.
  uint64_t m_count = 0;    ///< Spans written, for identifiers.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_SPAN_LOG_H_

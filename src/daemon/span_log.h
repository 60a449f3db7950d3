// @file span_log.h Trace spans of sampled packets in OTLP/JSON.
#ifndef MEDLARGAUGE_DAEMON_SPAN_LOG_H_
#define MEDLARGAUGE_DAEMON_SPAN_LOG_H_

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>

#include "src/packet/envelope_type.h"

namespace medlargauge {

/// Appends trace spans to a file, one OTLP/JSON document per line. Thread-safe.
class SpanLog {
 public:
  /// @param file file to append to; empty to write nothing
  /// @param process_name name of this process, the service name of its spans
  SpanLog(const std::string& file, std::string process_name);

  /// Writes the span of one hop of a packet.
  /// @param context trace context of the packet; its span becomes the parent
  /// @param hop name of the span: what this process did with the packet
  /// @param next name or address of the packet's next hop, or the reason for
  ///     its rejection; may be empty
  /// @return the identifier of the new span, for the next hop's context
  uint64_t Write(const TraceContext& context,
                 std::string_view hop,
                 std::string_view next);

 private:
  std::mutex m_mutex;          ///< Protects the stream and the count.
  std::ofstream m_stream;      ///< Not open if there is no file.
  std::string m_process_name;  ///< Name of this process.
  uint64_t m_span_count = 0;   ///< Number of spans; makes identifiers unique.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_DAEMON_SPAN_LOG_H_

// @file span_log.cc Writing of OTLP/JSON resource spans.
#include "src/daemon/span_log.h"

#include <chrono>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "src/core/hash.h"

namespace medlargauge {
namespace {

std::string FormatHex(uint64_t value) {
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(16) << value;
  return text.str();
}

std::string FormatUnixTimeNanos() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(
      std::chrono::duration_cast<std::chrono::nanoseconds>(now).count());
}

}  // namespace

SpanLog::SpanLog(const std::string& file, std::string process_name)
    : m_process_name(std::move(process_name)) {
  if (!file.empty()) {
    m_stream.open(file, std::ios::app);
  }
}

uint64_t SpanLog::Write(const TraceContext& context,
                        std::string_view hop,
                        std::string_view next) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_span_count;
  const uint64_t span =
      MixHash(HashName(m_process_name) ^ context.trace_low, m_span_count) | 1U;
  if (!m_stream.is_open()) {
    return span;
  }
  const std::string time = FormatUnixTimeNanos();
  nlohmann::json record = {
      {"traceId", FormatHex(context.trace_high) + FormatHex(context.trace_low)},
      {"spanId", FormatHex(span)},
      {"name", hop},
      {"kind", 1},
      {"startTimeUnixNano", time},
      {"endTimeUnixNano", time},
      {"attributes", {{{"key", "next"}, {"value", {{"stringValue", next}}}}}}};
  if (context.span != 0) {
    record["parentSpanId"] = FormatHex(context.span);
  }
  const nlohmann::json line = {
      {"resourceSpans",
       {{{"resource",
          {{"attributes",
            {{{"key", "service.name"},
              {"value", {{"stringValue", m_process_name}}}}}}}},
         {"scopeSpans",
          {{{"scope", {{"name", "medlargauge"}}}, {"spans", {record}}}}}}}}};
  m_stream << line.dump() << std::endl;
  return span;
}

}  // namespace medlargauge

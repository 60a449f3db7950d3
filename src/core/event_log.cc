// @file event_log.cc Structured lines and where they go.
#include "src/core/event_log.h"

#include <cstdio>

namespace medlargauge {
namespace {

constexpr size_t kUsualLine = 200;  ///< Bytes; longer ones grow.

/// Null while lines go to standard error.
EventSink& CurrentSink() {
  static EventSink sink;
  return sink;
}

bool IsPlainLogValue(std::string_view value) {
  return !value.empty() && value.find_first_of(" \"=\n\t") == value.npos;
}

}  // namespace

void SetEventSink(EventSink sink) {
  CurrentSink() = std::move(sink);
}

std::string QuoteLogValue(std::string_view value) {
  if (IsPlainLogValue(value)) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '\n') {
      quoted += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += c;
  }
  return quoted + '"';
}

EventLine::EventLine(Severity severity, std::string_view event)
    : m_severity(severity) {
  Append("event", event);
}

EventLine::~EventLine() {
  if (CurrentSink()) {
    CurrentSink()(m_severity, m_line);
  } else {
    std::fprintf(stderr, "%s\n", m_line.c_str());
  }
}

void EventLine::Append(std::string_view key, std::string_view value) {
  if (m_line.empty()) {
    m_line.reserve(kUsualLine);
  } else {
    m_line += ' ';
  }
  m_line += key;
  m_line += '=';
  if (IsPlainLogValue(value)) {
    m_line += value;
  } else {
    m_line += QuoteLogValue(value);
  }
}

}  // namespace medlargauge

// @file event_log.cc Formatting of log lines, and the sink that receives them.
#include "src/core/event_log.h"

#include <cstdio>

namespace medlargauge {
namespace {

/// Reserved for each line at first; longer lines reallocate.
constexpr size_t kTypicalLineBytes = 200;

/// Returns the sink of this process; empty while lines go to standard error.
EventSink& CurrentSink() {
  static EventSink sink;
  return sink;
}

/// Returns whether a value can be written without quotes.
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
  AppendPair("event", event);
}

EventLine::~EventLine() {
  if (CurrentSink()) {
    CurrentSink()(m_severity, m_line);
  } else {
    std::fprintf(stderr, "%s\n", m_line.c_str());
  }
}

void EventLine::AppendPair(std::string_view key, std::string_view value) {
  if (m_line.empty()) {
    m_line.reserve(kTypicalLineBytes);
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

// @file event_log.h Structured log: one line of key=value pairs per event.
#ifndef MEDLARGAUGE_CORE_EVENT_LOG_H_
#define MEDLARGAUGE_CORE_EVENT_LOG_H_

#include <array>
#include <charconv>
#include <cstdint>
#include <functional>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

#include "src/core/error_type.h"

namespace medlargauge {

/// Writes one complete line, which has no line break at its end.
using EventSink = std::function<void(Severity, std::string_view line)>;

/// Passes all lines of this process to `sink` from now on, or to standard error
/// if `sink` is empty. Precondition: no other thread writes lines meanwhile.
void SetEventSink(EventSink sink);

/// Builds one log line; the destructor passes it to the sink. Not thread-safe,
/// but different threads may build different lines at the same time.
class EventLine {
 public:
  /// Starts a line with the pair `event=...`.
  /// @param severity log level of the line
  /// @param event name of the event
  EventLine(Severity severity, std::string_view event);
  EventLine(const EventLine&) = delete;
  EventLine& operator=(const EventLine&) = delete;
  ~EventLine();

  /// Appends one pair; the value is quoted if it is empty or contains
  /// whitespace, quotes or equals signs.
  template <typename Value>
  EventLine& With(std::string_view key, const Value& value) {
    if constexpr (std::is_convertible_v<const Value&, std::string_view>) {
      AppendPair(key, value);
    } else if constexpr (std::is_integral_v<Value>) {
      // Avoids std::ostringstream, which would take longer than the rest of
      // the line together.
      std::array<char, 24> digits;
      const auto end =
          std::to_chars(
              digits.data(), digits.data() + digits.size(),
              static_cast<std::conditional_t<std::is_signed_v<Value>, int64_t,
                                             uint64_t>>(value))
              .ptr;
      AppendPair(key, std::string_view(digits.data(), end - digits.data()));
    } else {
      std::ostringstream text;
      text << value;
      AppendPair(key, text.str());
    }
    return *this;
  }

 private:
  void AppendPair(std::string_view key, std::string_view value);

  Severity m_severity;  ///< Log level of the line.
  std::string m_line;   ///< Pairs appended so far.
};

/// Returns `value` as it stands in a line of key=value pairs: in quotes, with
/// escaped quotes, backslashes and line breaks, if a parser could misread it.
/// Thread-safe.
std::string QuoteLogValue(std::string_view value);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CORE_EVENT_LOG_H_

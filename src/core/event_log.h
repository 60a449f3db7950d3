// @file event_log.h One line of key=value pairs for each event.
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

/// Writes a finished line.
using EventSink = std::function<void(Severity, std::string_view line)>;

/// Sends all lines of this process to `sink`; null goes back to standard error.
/// Precondition: no other thread writes lines yet.
void SetEventSink(EventSink sink);

/// Builds one log line; the destructor hands it to the sink.
/// Use from one thread; distinct lines may be written by distinct threads.
class EventLine {
 public:
  /// Starts a line. @param severity level @param event name of the event.
  EventLine(Severity severity, std::string_view event);
  EventLine(const EventLine&) = delete;
  EventLine& operator=(const EventLine&) = delete;
  ~EventLine();

  /// Appends one pair; values with spaces or quotes are quoted.
  template <typename Value>
  EventLine& With(std::string_view key, const Value& value) {
    if constexpr (std::is_convertible_v<const Value&, std::string_view>) {
      Append(key, value);
    } else if constexpr (std::is_integral_v<Value>) {
      // Streams would cost more than all else that a line needs.
      std::array<char, 24> digits;
      const auto end =
          std::to_chars(
              digits.data(), digits.data() + digits.size(),
              static_cast<std::conditional_t<std::is_signed_v<Value>, int64_t,
                                             uint64_t>>(value))
              .ptr;
      Append(key, std::string_view(digits.data(), end - digits.data()));
    } else {
      std::ostringstream text;
      text << value;
      Append(key, text.str());
    }
    return *this;
  }

 private:
  void Append(std::string_view key, std::string_view value);

  Severity m_severity;  ///< Level of the line.
  std::string m_line;   ///< Pairs so far.
};

/// Returns `value`, quoted where a reader of key=value pairs needs it.
/// Thread-safe.
std::string QuoteLogValue(std::string_view value);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CORE_EVENT_LOG_H_

// @file error_type.h The closed list of error kinds and their answers.
#ifndef MEDLARGAUGE_CORE_ERROR_TYPE_H_
#define MEDLARGAUGE_CORE_ERROR_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace medlargauge {

/// Every error that the programs can report.
enum class ErrorKind : uint8_t {
#define ERROR_KIND(name, text, exit_code, severity, answer) name,
#include "src/core/error_table.inc"
#undef ERROR_KIND
};

/// Number of error kinds, for tables indexed by kind.
constexpr size_t kErrorKindCount = 0
#define ERROR_KIND(name, text, exit_code, severity, answer) +1
#include "src/core/error_table.inc"
#undef ERROR_KIND
    ;

/// Log level of an error.
enum class Severity : uint8_t { kInfo, kWarning, kError };

/// What the sender of a packet gets back.
enum class PacketAnswer : uint8_t {
  kNoAnswer,    ///< The error does not concern a packet.
  kSilentDrop,  ///< Drop; the sender's transport retries.
  kReset,       ///< The flow is known nowhere: reset it.
  kNotRun,      ///< Refuse; nothing was delivered to a backend server.
};

/// The last reason of a function that returned no value.
struct Error {
  ErrorKind kind = ErrorKind::kNone;  ///< Kind from the closed list.
  std::string detail;                 ///< For people: file, key, reason.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CORE_ERROR_TYPE_H_

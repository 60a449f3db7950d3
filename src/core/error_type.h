// @file error_type.h Error kinds, and how they are reported.
#ifndef MEDLARGAUGE_CORE_ERROR_TYPE_H_
#define MEDLARGAUGE_CORE_ERROR_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <string>

namespace medlargauge {

/// Every error that the programs can report; the list is closed.
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

/// Log level of an error or event.
enum class Severity : uint8_t { kInfo, kWarning, kError };

/// What the sender of a packet gets back when the packet fails with an error.
enum class PacketAnswer : uint8_t {
  kNoAnswer,    ///< Not applicable: the error does not concern a packet.
  kSilentDrop,  ///< Drop silently; the sender's transport retransmits.
  kReset,       ///< Reset the flow, because no process knows it.
  kNotRun,      ///< Refuse; no backend server has received the request.
};

/// Why a function has failed; filled through an output parameter.
struct Error {
  ErrorKind kind = ErrorKind::kNone;  ///< Kind of the error.
  std::string detail;  ///< Details for an operator: file, key, cause.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CORE_ERROR_TYPE_H_

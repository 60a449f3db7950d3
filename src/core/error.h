// @file error.h Look-ups in the table of error kinds.
#ifndef MEDLARGAUGE_CORE_ERROR_H_
#define MEDLARGAUGE_CORE_ERROR_H_

#include <string_view>

#include "src/core/error_type.h"

namespace medlargauge {

/// The row of one error kind.
struct ErrorKindInfo {
  std::string_view text;  ///< Stable name for logs and metrics.
  int exit_code;          ///< Exit status of the command-line tool.
  Severity severity;      ///< Log level.
  PacketAnswer answer;    ///< What the packet's sender gets.
};

/// Returns the row of `kind`. Thread-safe.
const ErrorKindInfo& Describe(ErrorKind kind);

/// Fills `reason` unless it is null. Thread-safe for distinct reasons.
/// @return false, so that a failing check can return it.
bool Fail(Error* reason, ErrorKind kind, std::string_view detail);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CORE_ERROR_H_

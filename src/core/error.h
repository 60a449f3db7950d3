// @file error.h Properties of error kinds, and how to fill an Error.
#ifndef MEDLARGAUGE_CORE_ERROR_H_
#define MEDLARGAUGE_CORE_ERROR_H_

#include <string_view>

#include "src/core/error_type.h"

namespace medlargauge {

/// Properties of one error kind, from error_table.inc.
struct ErrorKindInfo {
  std::string_view text;  ///< Stable name in logs and metrics.
  int exit_code;          ///< Exit status of the command-line tool.
  Severity severity;      ///< Log level.
  PacketAnswer answer;    ///< What the sender of a failed packet gets back.
};

/// Returns the properties of `kind`. Thread-safe.
const ErrorKindInfo& Describe(ErrorKind kind);

/// Stores `kind` and `detail` in `reason` unless it is null. Thread-safe if no
/// two threads pass the same `reason`.
/// @return always false, so that a failing check can end with `return
/// Fail(...)`
bool Fail(Error* reason, ErrorKind kind, std::string_view detail);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CORE_ERROR_H_

// @file error.cc Properties of error kinds, from error_table.inc.
#include "src/core/error.h"

#include <array>

namespace medlargauge {
namespace {

constexpr std::array<ErrorKindInfo, kErrorKindCount> kErrorKindTable = {{
#define ERROR_KIND(name, text, exit_code, severity, answer) \
  {text, exit_code, Severity::severity, PacketAnswer::answer},
#include "src/core/error_table.inc"
#undef ERROR_KIND
}};

}  // namespace

const ErrorKindInfo& Describe(ErrorKind kind) {
  return kErrorKindTable[static_cast<size_t>(kind)];
}

bool Fail(Error* reason, ErrorKind kind, std::string_view detail) {
  if (reason != nullptr) {
    reason->kind = kind;
    reason->detail = std::string(detail);
  }
  return false;
}

}  // namespace medlargauge

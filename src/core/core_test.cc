// @file core_test.cc Tests of errors, names and log lines.
#include <doctest/doctest.h>

#include "src/core/error.h"
#include "src/core/event_log.h"
#include "src/core/hash.h"

namespace medlargauge {

TEST_CASE("each error kind that reaches an operator has its own exit code") {
  CHECK(Describe(ErrorKind::kConflict).exit_code !=
        Describe(ErrorKind::kUnknownOutcome).exit_code);
  CHECK(Describe(ErrorKind::kNone).exit_code == 0);
}

TEST_CASE("only an overload is answered with not run") {
  int refusing = 0;
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorKindInfo& row = Describe(static_cast<ErrorKind>(i));
    refusing += row.answer == PacketAnswer::kNotRun ? 1 : 0;
  }
  CHECK(refusing == 1);
  CHECK(Describe(ErrorKind::kOverloaded).answer == PacketAnswer::kNotRun);
}

TEST_CASE("log values are quoted where a reader needs it") {
  CHECK(QuoteLogValue("plain") == "plain");
  CHECK(QuoteLogValue("two words") == "\"two words\"");
  CHECK(QuoteLogValue("a\"b") == "\"a\\\"b\"");
  CHECK(QuoteLogValue("") == "\"\"");
}

TEST_CASE("an empty name has no identifier") {
  CHECK_FALSE(VersionIdOf("").IsSet());
  CHECK(VersionIdOf("v1").IsSet());
  CHECK(MemberIdOf("a") != MemberIdOf("b"));
}

}  // namespace medlargauge

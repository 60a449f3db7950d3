// @file core_test.cc Tests of error kinds, identifiers and quoted log values.
#include <doctest/doctest.h>

#include "src/core/error.h"
#include "src/core/event_log.h"
#include "src/core/hash.h"

namespace medlargauge {

TEST_CASE(
    "a conflict, an unknown outcome and success have different exit codes") {
  CHECK(Describe(ErrorKind::kConflict).exit_code !=
        Describe(ErrorKind::kUnknownOutcome).exit_code);
  CHECK(Describe(ErrorKind::kNone).exit_code == 0);
}

TEST_CASE("only an overload is answered as a request that was not run") {
  int refusing_kinds = 0;
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorKindInfo& info = Describe(static_cast<ErrorKind>(i));
    refusing_kinds += info.answer == PacketAnswer::kNotRun ? 1 : 0;
  }
  CHECK(refusing_kinds == 1);
  CHECK(Describe(ErrorKind::kOverloaded).answer == PacketAnswer::kNotRun);
}

TEST_CASE("log values are quoted if a parser could misread them") {
  CHECK(QuoteLogValue("plain") == "plain");
  CHECK(QuoteLogValue("two words") == "\"two words\"");
  CHECK(QuoteLogValue("a\"b") == "\"a\\\"b\"");
  CHECK(QuoteLogValue("") == "\"\"");
}

TEST_CASE("an empty name has the identifier for none") {
  CHECK_FALSE(VersionIdOf("").IsSet());
  CHECK(VersionIdOf("v1").IsSet());
  CHECK(MemberIdOf("a") != MemberIdOf("b"));
}

}  // namespace medlargauge

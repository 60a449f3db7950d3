// @file event_log_test.cc Tests of formatting log lines.
#include "src/core/event_log.h"

#include <doctest/doctest.h>

#include <limits>
#include <vector>

namespace medlargauge {
namespace {

TEST_CASE("each type of value is formatted so that a parser reads it back") {
  std::vector<std::string> lines;
  SetEventSink(
      [&lines](Severity, std::string_view line) { lines.emplace_back(line); });
  const std::string text = "two words";
  EventLine(Severity::kInfo, "kinds")
      .With("plain", "word")
      .With("text", text)
      .With("empty", std::string_view())
      .With("lowest", std::numeric_limits<int64_t>::min())
      .With("highest", std::numeric_limits<uint64_t>::max())
      .With("port", static_cast<uint16_t>(443))
      .With("yes", true)
      .With("part", 0.25)
      .With("quoted", "a=\"b\"\n");
  SetEventSink(nullptr);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0] ==
        "event=kinds plain=word text=\"two words\" empty=\"\" "
        "lowest=-9223372036854775808 highest=18446744073709551615 port=443 "
        "yes=1 part=0.25 quoted=\"a=\\\"b\\\"\\n\"");
}

}  // namespace
}  // namespace medlargauge

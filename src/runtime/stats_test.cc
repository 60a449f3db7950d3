// @file stats_test.cc Tests of the metrics text and of the limits on flow log
// lines.
#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include "src/runtime/flow_log.h"
#include "src/runtime/stats.h"

namespace medlargauge {
namespace {

TEST_CASE(
    "metrics are rendered with their type, and histograms are cumulative") {
  Stats stats;
  stats.Set(Stat::searches, 7);
  LatencyHistogram histogram;
  histogram.Add(Milliseconds(1));
  histogram.Add(Milliseconds(40));
  histogram.Add(Seconds(9));
  stats.Set(Latency::first_answer_ms, histogram);
  const std::string text = stats.Render();
  CHECK(text.find("# TYPE medlargauge_searches counter\n"
                  "medlargauge_searches 7\n") != std::string::npos);
  CHECK(text.find("medlargauge_first_answer_ms_bucket{le=\"1\"} 1\n") !=
        std::string::npos);
  CHECK(text.find("medlargauge_first_answer_ms_bucket{le=\"50\"} 2\n") !=
        std::string::npos);
  CHECK(text.find("medlargauge_first_answer_ms_bucket{le=\"+Inf\"} 3\n") !=
        std::string::npos);
  CHECK(text.find("medlargauge_first_answer_ms_sum 9041\n") !=
        std::string::npos);
}

TEST_CASE("docs/METRICS.md is up to date with the table of metrics") {
  std::ifstream file(SOURCE_DIR "/docs/METRICS.md");
  std::ostringstream text;
  text << file.rdbuf();
  CHECK(text.str() == DescribeStats());
}

TEST_CASE(
    "lines about flows are rate-limited, and suppressed lines are counted") {
  std::vector<std::string> lines;
  SetEventSink(
      [&lines](Severity, std::string_view line) { lines.emplace_back(line); });
  FlowLog log;
  TimePoint now{Seconds(10)};
  int written = 0;
  for (int i = 0; i < 80; ++i) {
    written += log.AllowLine(now, FlowLineClass::kRefusal) ? 1 : 0;
  }
  CHECK(written == 50);
  now += Seconds(1);
  CHECK(log.AllowLine(now, FlowLineClass::kRefusal));
  SetEventSink(nullptr);
  REQUIRE(lines.size() == 1);
  CHECK(lines[0] == "event=lines_left_out count=30 class=refusal");
}

TEST_CASE("a burst of refusals does not hide the reset of an open flow") {
  FlowLog log;
  const TimePoint now{Seconds(10)};
  while (log.AllowLine(now, FlowLineClass::kRefusal)) {
  }
  CHECK(log.AllowLine(now, FlowLineClass::kOpenFlow));
}

TEST_CASE("the name and the sampling of a flow depend only on its addresses") {
  const FlowKey flow{{0x64400007, 40001}, {0xC6120001, 443}};
  CHECK(FlowName(flow).size() == 16);
  CHECK(FlowName(flow) == FlowName(FlowKey{flow.caller, flow.route}));
  int sampled = 0;
  for (uint16_t port = 1000; port < 7400; ++port) {
    sampled += FlowLog::IsSampled({{0x64400007, port}, flow.route}) ? 1 : 0;
  }
  CHECK(sampled == doctest::Approx(100).epsilon(0.4));
}

}  // namespace
}  // namespace medlargauge

// @file stats.cc Rendering of the metrics and of their documentation.
#include "src/runtime/stats.h"

#include <sstream>

namespace medlargauge {
namespace {

constexpr char kPrefix[] = "medlargauge_";

void RenderHistogram(const char* name,
                     const char* meaning,
                     const LatencyHistogram& histogram,
                     std::ostringstream* text) {
  *text << "# HELP " << kPrefix << name << ' ' << meaning << "\n# TYPE "
        << kPrefix << name << " histogram\n";
  uint64_t cumulative = 0;
  for (size_t i = 0; i < histogram.Counts().size(); ++i) {
    cumulative += histogram.Counts()[i];
    *text << kPrefix << name << "_bucket{le=\"";
    if (i < LatencyHistogram::kBoundsMs.size()) {
      *text << LatencyHistogram::kBoundsMs[i];
    } else {
      *text << "+Inf";
    }
    *text << "\"} " << cumulative << '\n';
  }
  *text << kPrefix << name << "_sum " << ToMilliseconds(histogram.Sum()) << '\n'
        << kPrefix << name << "_count " << cumulative << '\n';
}

}  // namespace

std::string Stats::Render() const {
  std::ostringstream text;
#define STAT(name, kind, role, unit, meaning)                                  \
  text << "# HELP " << kPrefix << #name << ' ' << (meaning) << "\n# TYPE "     \
       << kPrefix << #name << " " #kind "\n"                                   \
       << kPrefix << #name << ' ' << m_values[static_cast<size_t>(Stat::name)] \
       << '\n';
#define LATENCY(name, role, meaning) \
  RenderHistogram(#name, meaning,    \
                  m_histograms[static_cast<size_t>(Latency::name)], &text);
#include "src/runtime/stats_table.inc"
#undef STAT
#undef LATENCY
  return text.str();
}

std::string DescribeStats() {
  std::ostringstream text;
  text << "# Metrics\n\nMade from src/runtime/stats_table.inc; do not edit. "
          "Served as `medlargauge_NAME`\nunder `/metrics` on the control "
          "address.\n\n"
          "| name | kind | role | unit | meaning |\n"
          "| --- | --- | --- | --- | --- |\n";
#define STAT(name, kind, role, unit, meaning)                           \
  text << "| `" #name "` | " #kind " | " #role " | " << (unit) << " | " \
       << (meaning) << " |\n";
#define LATENCY(name, role, meaning)                                   \
  text << "| `" #name "` | histogram | " #role " | ms | " << (meaning) \
       << " |\n";
#include "src/runtime/stats_table.inc"
#undef STAT
#undef LATENCY
  return text.str();
}

}  // namespace medlargauge

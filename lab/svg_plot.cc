// @file svg_plot.cc Line plots as SVG.
#include "lab/svg_plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <optional>

namespace medlargauge::lab {
namespace {

constexpr double kPanelWidth = 360;
constexpr double kPanelHeight = 260;
constexpr double kLeft = 60;      ///< Margin for the labels of the y axis.
constexpr double kTop = 30;       ///< Margin for the title.
constexpr double kRight = 15;     ///< Margin without labels.
constexpr double kBottom = 45;    ///< Margin for the x axis.
constexpr double kLegend = 24;    ///< Height of the legend.
constexpr int kTicks = 4;         ///< Intervals between labels of an axis.
constexpr double kCharWidth = 7;  ///< Of the legend's text, about.

/// Colours that remain distinct for colour-blind readers.
constexpr std::array<const char*, 7> kColours = {
    "#0072B2", "#D55E00", "#009E73", "#CC79A7",
    "#E69F00", "#56B4E9", "#000000"};

/// Values that an axis shows.
struct Range {
  double low = 0;
  double high = 1;
  bool is_log = false;

  /// Returns the position of a value, 0 to 1.
  double Position(double value) const {
    return is_log ? std::log(value / low) / std::log(high / low)
                  : (value - low) / (high - low);
  }
  /// Returns the value at a position.
  double ValueAt(double position) const {
    return is_log ? low * std::pow(high / low, position)
                  : low + (high - low) * position;
  }
};

/// Returns the values of all series, widened if they are all the same.
Range FindRange(const PlotPanel& panel, bool is_x) {
  std::optional<Range> range;
  for (const PlotSeries& series : panel.series) {
    for (const auto& [x, y] : series.points) {
      const double value = is_x ? x : y;
      if (!range.has_value()) {
        range = Range{value, value, false};
      }
      range->low = std::min(range->low, value);
      range->high = std::max(range->high, value);
    }
  }
  Range result = range.value_or(Range());
  result.is_log = !is_x && panel.log_y;
  if (result.low == result.high) {
    result.high = result.low == 0 ? 1 : result.low * 1.1;
  }
  return result;
}

std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    escaped += c == '<'   ? "&lt;"
               : c == '>' ? "&gt;"
               : c == '&' ? "&amp;"
                          : std::string(1, c);
  }
  return escaped;
}

std::string Number(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.4g", value);
  return text.data();
}

std::string Text(double x,
                 double y,
                 const std::string& anchor,
                 const std::string& text) {
  return "<text x=\"" + Number(x) + "\" y=\"" + Number(y) +
         "\" text-anchor=\"" + anchor + "\">" + Escape(text) + "</text>\n";
}

std::string Line(double x1, double y1, double x2, double y2) {
  return "<line x1=\"" + Number(x1) + "\" y1=\"" + Number(y1) + "\" x2=\"" +
         Number(x2) + "\" y2=\"" + Number(y2) + "\" stroke=\"#ccc\"/>\n";
}

std::string DrawPanel(const PlotPanel& panel, double left, double top) {
  const double width = kPanelWidth - kLeft - kRight;
  const double height = kPanelHeight - kTop - kBottom;
  const Range x_range = FindRange(panel, true);
  const Range y_range = FindRange(panel, false);
  const double x0 = left + kLeft;
  const double y0 = top + kTop + height;
  std::string svg = Text(x0 + width / 2, top + 18, "middle", panel.title) +
                    Text(x0 + width / 2, y0 + 36, "middle", panel.x_label);
  for (int i = 0; i <= kTicks; ++i) {
    const double position = static_cast<double>(i) / kTicks;
    const double y = y0 - position * height;
    const double x = x0 + position * width;
    svg += Line(x0, y, x0 + width, y) +
           Text(x0 - 5, y + 4, "end", Number(y_range.ValueAt(position))) +
           Text(x, y0 + 18, "middle", Number(x_range.ValueAt(position)));
  }
  for (size_t i = 0; i < panel.series.size(); ++i) {
    svg += std::string("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"") +
           kColours[i % kColours.size()] + "\" points=\"";
    for (const auto& [x, y] : panel.series[i].points) {
      svg += Number(x0 + x_range.Position(x) * width) + "," +
             Number(y0 - y_range.Position(y) * height) + " ";
    }
    svg += "\"/>\n";
  }
  return svg;
}

std::string DrawLegend(const std::vector<PlotSeries>& series) {
  std::string svg;
  double x = kLeft;
  for (size_t i = 0; i < series.size(); ++i) {
    svg += std::string("<g fill=\"") + kColours[i % kColours.size()] + "\">" +
           Text(x, 16, "start", series[i].name) + "</g>\n";
    x += kCharWidth * static_cast<double>(series[i].name.size() + 3);
  }
  return svg;
}

}  // namespace

std::string DrawPlot(const std::vector<PlotPanel>& panels, size_t columns) {
  const size_t rows = (panels.size() + columns - 1) / columns;
  const std::string width = Number(kPanelWidth * static_cast<double>(columns));
  const std::string height =
      Number(kPanelHeight * static_cast<double>(rows) + kLegend);
  std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                    width + "\" height=\"" + height +
                    "\" font-family=\"sans-serif\" font-size=\"12\">\n"
                    "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
  if (!panels.empty()) {
    svg += DrawLegend(panels[0].series);
  }
  for (size_t i = 0; i < panels.size(); ++i) {
    const size_t row = i / columns;
    svg += DrawPanel(panels[i], kPanelWidth * static_cast<double>(i % columns),
                     kLegend + kPanelHeight * static_cast<double>(row));
  }
  return svg + "</svg>\n";
}

}  // namespace medlargauge::lab

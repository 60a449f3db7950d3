// @file svg_plot.h Line plots as SVG.
#ifndef MEDLARGAUGE_LAB_SVG_PLOT_H_
#define MEDLARGAUGE_LAB_SVG_PLOT_H_

#include <string>
#include <utility>
#include <vector>

namespace medlargauge::lab {

/// One line of a plot.
struct PlotSeries {
  std::string name;                               ///< Shown in the legend.
  std::vector<std::pair<double, double>> points;  ///< In the order of x.
};

/// One pair of axes.
struct PlotPanel {
  std::string title;               ///< Shown above it.
  std::string x_label;             ///< Shown below it.
  bool log_y = false;              ///< The y axis is logarithmic.
  std::vector<PlotSeries> series;  ///< Without NaN; with log_y: y above 0.
};

/// Returns an SVG document with all panels, row by row. Each series has the
/// colour of its position, in every panel. Thread-safe.
/// @param columns number of panels side by side; at least 1
std::string DrawPlot(const std::vector<PlotPanel>& panels, size_t columns);

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_SVG_PLOT_H_

// @file lab_sweep.cc Policies at loads below and above the capacity.
#include "lab/lab_sweep.h"

#include <algorithm>

#include "lab/lab_hard_load.h"
#include "lab/lab_oracle.h"
#include "lab/lab_simulation.h"
#include "lab/svg_plot.h"

namespace medlargauge::lab {
namespace {

/// The classes that load the uneven servers.
constexpr const char* kSweptService = "stock";

/// Fleets have a balancer for about three agents, but no more than this.
constexpr uint32_t kMaxBalancers = 90;

void AddSwept(const Scenario& scenario,
              const Result& result,
              ClassResult* sum) {
  for (const ClassModel& model : scenario.classes) {
    if (model.service == kSweptService) {
      sum->Add(result.classes.at(model.name));
    }
  }
}

SweepPoint MakePoint(uint32_t agents,
                     double load,
                     std::string policy,
                     const ClassResult& sum) {
  SweepPoint point;
  point.agents = agents;
  point.load = load;
  point.policy = std::move(policy);
  point.mean_ms = Mean(sum.response_ms);
  point.p99_ms = Percentile(sum.response_ms, 0.99);
  point.in_goal = static_cast<double>(sum.in_aim) /
                  static_cast<double>(std::max<uint64_t>(sum.asked, 1));
  return point;
}

/// Returns a point for each policy, then that of the oracle.
std::vector<SweepPoint> MeasureLoad(const SweepOptions& options,
                                    uint32_t agents,
                                    double load) {
  Scenario scenario =
      MakeUneven("sweep", agents, std::min(agents / 3, kMaxBalancers), load);
  scenario.load_duration = options.load_duration;
  const uint32_t runs = std::max(1U, options.min_agents / agents);
  std::vector<SweepPoint> points;
  ClassResult oracle;
  for (const Policy& policy : options.policies) {
    ClassResult sum;
    for (uint32_t i = 0; i < runs; ++i) {
      const Result result = Simulate(scenario, policy, options.first_seed + i);
      AddSwept(scenario, result, &sum);
      if (points.empty()) {
        AddSwept(scenario, ServeByOracle(scenario, result.arrivals), &oracle);
      }
    }
    points.push_back(MakePoint(agents, load, policy.name, sum));
  }
  points.push_back(MakePoint(agents, load, "oracle", oracle));
  return points;
}

/// Adds a value to the series of its policy.
void AddToPanel(const SweepPoint& point, double value, PlotPanel* panel) {
  const auto found = std::find_if(panel->series.begin(), panel->series.end(),
                                  [&point](const PlotSeries& series) {
                                    return series.name == point.policy;
                                  });
  PlotSeries& series =
      found != panel->series.end() ? *found : panel->series.emplace_back();
  series.name = point.policy;
  series.points.emplace_back(point.load, value);
}

}  // namespace

std::vector<SweepPoint> SweepLoad(
    const SweepOptions& options,
    const std::function<void(const SweepPoint&)>& on_point) {
  std::vector<SweepPoint> all;
  for (const uint32_t agents : options.fleets) {
    for (const double load : options.loads) {
      for (const SweepPoint& point : MeasureLoad(options, agents, load)) {
        on_point(point);
        all.push_back(point);
      }
    }
  }
  return all;
}

std::string PlotSweep(const std::vector<SweepPoint>& points) {
  struct Measure {
    const char* title;
    double SweepPoint::*value;
    bool log_y;
  };
  constexpr Measure kMeasures[] = {
      {"mean ms", &SweepPoint::mean_ms, true},
      {"p99 ms", &SweepPoint::p99_ms, true},
      {"share within the goal", &SweepPoint::in_goal, false}};
  std::vector<uint32_t> fleets;
  for (const SweepPoint& point : points) {
    if (fleets.empty() || fleets.back() != point.agents) {
      fleets.push_back(point.agents);
    }
  }
  std::vector<PlotPanel> panels;
  for (const Measure& measure : kMeasures) {
    for (const uint32_t agents : fleets) {
      PlotPanel panel;
      panel.title = std::string(measure.title) + ", " + std::to_string(agents) +
                    " agents";
      panel.x_label = "load, relative to the capacity";
      panel.log_y = measure.log_y;
      for (const SweepPoint& point : points) {
        if (point.agents == agents) {
          AddToPanel(point, point.*measure.value, &panel);
        }
      }
      panels.push_back(std::move(panel));
    }
  }
  return DrawPlot(panels, std::max<size_t>(fleets.size(), 1));
}

}  // namespace medlargauge::lab

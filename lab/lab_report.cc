// @file lab_report.cc Prints the results of policies beside those of the
// oracle.
#include "lab/lab_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/lab_oracle.h"
#include "lab/lab_simulation.h"

namespace medlargauge::lab {
namespace {

/// A mean and half the width of its 95% confidence interval.
struct Estimate {
  double mean = 0;
  double half_width = 0;
};

Estimate EstimateMean(const std::vector<double>& values) {
  constexpr double kTwoSided95 = 1.96;
  Estimate estimate;
  for (const double value : values) {
    estimate.mean += value / static_cast<double>(values.size());
  }
  double sum_of_squares = 0;
  for (const double value : values) {
    sum_of_squares += (value - estimate.mean) * (value - estimate.mean);
  }
  if (values.size() > 1) {
    estimate.half_width =
        kTwoSided95 *
        std::sqrt(sum_of_squares /
                  static_cast<double>(values.size() * (values.size() - 1)));
  }
  return estimate;
}

/// All runs of one policy.
struct Summary {
  std::vector<double> worths;
  std::vector<double> worst_windows;
  Result sum;  ///< Counts and times of all runs; no arrivals, no windows.
};

void AddClasses(const Result& result, Result* sum) {
  for (const auto& [name, class_result] : result.classes) {
    sum->classes[name].Add(class_result);
  }
}

void AddRun(const Result& result, Summary* summary) {
  summary->worths.push_back(result.Worth());
  summary->worst_windows.push_back(result.WorstWindow());
  Result& sum = summary->sum;
  AddClasses(result, &sum);
  sum.total_response_time += result.total_response_time;
  sum.wrong_resets += result.wrong_resets;
  sum.astray += result.astray;
  sum.mixed_services += result.mixed_services;
  sum.ran_twice += result.ran_twice;
  sum.late_work += result.late_work;
  sum.connections += result.connections;
  sum.refused_by_server += result.refused_by_server;
}

double InGoal(const ClassResult& result) {
  return static_cast<double>(result.in_aim) /
         static_cast<double>(std::max<uint64_t>(result.asked, 1));
}

double Ratio(double value, double reference) {
  return reference > 0 ? value / reference : 0;
}

/// Returns the figures of a class or a priority, and the oracle's.
nlohmann::ordered_json Describe(const ClassResult& result,
                                const ClassResult& oracle) {
  const double p99 = Percentile(result.response_ms, 0.99);
  const double oracle_p99 = Percentile(oracle.response_ms, 0.99);
  return {{"asked", result.asked},
          {"mean_ms", Mean(result.response_ms)},
          {"p50_ms", Percentile(result.response_ms, 0.5)},
          {"p99_ms", p99},
          {"in_goal", InGoal(result)},
          {"late", result.late},
          {"failed", result.failed},
          {"told_p50_ms", Percentile(result.refusal_ms, 0.5)},
          {"told_p99_ms", Percentile(result.refusal_ms, 0.99)},
          {"oracle_mean_ms", Mean(oracle.response_ms)},
          {"oracle_p99_ms", oracle_p99},
          {"oracle_in_goal", InGoal(oracle)},
          {"p99_ratio", Ratio(p99, oracle_p99)},
          {"in_goal_ratio", Ratio(InGoal(result), InGoal(oracle))}};
}

void PrintDetails(const std::string& label,
                  const nlohmann::ordered_json& figures) {
  std::printf("  %-20s", label.c_str());
  for (const auto& [name, value] : figures.items()) {
    if (value.is_number_float()) {
      const bool is_time = name.find("_ms") != std::string::npos;
      std::printf(" %s=%.*f", name.c_str(), is_time ? 1 : 4,
                  value.get<double>());
    } else {
      std::printf(" %s=%llu", name.c_str(),
                  static_cast<unsigned long long>(value.get<uint64_t>()));
    }
  }
  std::printf("\n");
}

/// Returns the figures by class and by priority.
nlohmann::ordered_json DescribeAll(const Scenario& scenario,
                                   const Result& result,
                                   const Result& oracle) {
  nlohmann::ordered_json all;
  all["total"] = Describe(result.Total(), oracle.Total());
  for (const ClassModel& model : scenario.classes) {
    all["class " + model.name] =
        Describe(result.classes.at(model.name), oracle.classes.at(model.name));
  }
  const std::map<uint32_t, ClassResult> oracle_priorities =
      oracle.ByPriority(scenario);
  for (const auto& [priority, sum] : result.ByPriority(scenario)) {
    all["priority " + std::to_string(priority)] =
        Describe(sum, oracle_priorities.at(priority));
  }
  return all;
}

double MeanResponseMs(const Result& result) {
  const ClassResult totals = result.Total();
  return static_cast<double>(ToMilliseconds(result.total_response_time)) /
         static_cast<double>(
             std::max<uint64_t>(totals.in_aim + totals.late, 1));
}

void PrintJson(const Scenario& scenario,
               const Policy& policy,
               const Summary& summary,
               const Summary* oracle) {
  const Result& sum = summary.sum;
  const ClassResult totals = sum.Total();
  nlohmann::ordered_json line = {
      {"scenario", scenario.name},
      {"policy", policy.name},
      {"worth", EstimateMean(summary.worths).mean},
      {"worth_half", EstimateMean(summary.worths).half_width},
      {"worst_window", EstimateMean(summary.worst_windows).mean},
      {"mean_ms", MeanResponseMs(sum)},
      {"asked", totals.asked},
      {"in_aim", totals.in_aim},
      {"late", totals.late},
      {"failed", totals.failed},
      {"wrong_resets", sum.wrong_resets},
      {"astray", sum.astray},
      {"mixed_services", sum.mixed_services},
      {"ran_twice", sum.ran_twice},
      {"late_work", sum.late_work},
      {"connections", sum.connections},
      {"refused_by_server", sum.refused_by_server}};
  if (oracle != nullptr) {
    line["oracle_worth"] = EstimateMean(oracle->worths).mean;
    line["details"] = DescribeAll(scenario, sum, oracle->sum);
  }
  std::cout << line << '\n';
}

void PrintText(const Scenario& scenario,
               const Policy& policy,
               const Summary& summary,
               const Summary* oracle) {
  const Result& sum = summary.sum;
  const ClassResult totals = sum.Total();
  const Estimate worth = EstimateMean(summary.worths);
  std::printf(
      "%-16s %-14s worth %.4f +-%.4f worst %.3f mean %.1f ms asked %llu in aim "
      "%llu late "
      "%llu failed %llu shed %llu wrong %llu/%llu/%llu/%llu/%llu",
      scenario.name.c_str(), policy.name.c_str(), worth.mean, worth.half_width,
      EstimateMean(summary.worst_windows).mean, MeanResponseMs(sum),
      static_cast<unsigned long long>(totals.asked),
      static_cast<unsigned long long>(totals.in_aim),
      static_cast<unsigned long long>(totals.late),
      static_cast<unsigned long long>(totals.failed),
      static_cast<unsigned long long>(sum.refused_by_server),
      static_cast<unsigned long long>(sum.wrong_resets),
      static_cast<unsigned long long>(sum.astray),
      static_cast<unsigned long long>(sum.mixed_services),
      static_cast<unsigned long long>(sum.ran_twice),
      static_cast<unsigned long long>(sum.late_work));
  if (oracle == nullptr) {
    std::printf("\n");
    return;
  }
  const double oracle_worth = EstimateMean(oracle->worths).mean;
  std::printf(" oracle worth %.4f ratio %.4f\n", oracle_worth,
              Ratio(worth.mean, oracle_worth));
  const nlohmann::ordered_json all = DescribeAll(scenario, sum, oracle->sum);
  for (const auto& [label, figures] : all.items()) {
    PrintDetails(label, figures);
  }
}

}  // namespace

void ReportScenario(const Scenario& scenario, const ReportOptions& options) {
  std::optional<Summary> oracle;
  for (const Policy& policy : options.policies) {
    Summary summary;
    Summary oracle_summary;
    for (uint32_t i = 0; i < options.seeds; ++i) {
      const Result result = Simulate(scenario, policy, options.first_seed + i);
      AddRun(result, &summary);
      // The arrivals do not depend on the policy.
      if (options.with_details && !oracle.has_value()) {
        AddRun(ServeByOracle(scenario, result.arrivals), &oracle_summary);
      }
    }
    if (options.with_details && !oracle.has_value()) {
      oracle = std::move(oracle_summary);
    }
    (options.as_json ? PrintJson : PrintText)(
        scenario, policy, summary, oracle.has_value() ? &*oracle : nullptr);
  }
}

}  // namespace medlargauge::lab

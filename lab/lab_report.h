// @file lab_report.h Prints the results of policies beside those of the oracle.
#ifndef MEDLARGAUGE_LAB_LAB_REPORT_H_
#define MEDLARGAUGE_LAB_LAB_REPORT_H_

#include <vector>

#include "lab/lab_type.h"

namespace medlargauge::lab {

/// Which runs of a scenario are compared, and how they are printed.
struct ReportOptions {
  std::vector<Policy> policies;  ///< Each runs with the same seeds.
  uint32_t first_seed = 1;       ///< Seed of the first run.
  uint32_t seeds = 5;            ///< Number of runs of each policy.
  bool as_json = false;          ///< One object for each policy.
  bool with_details = true;      ///< Each class and priority, with the oracle.
};

/// Simulates a scenario with each policy and prints the results to the standard
/// output. Thread-safe, except for the order of the output.
void ReportScenario(const Scenario& scenario, const ReportOptions& options);

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_LAB_REPORT_H_

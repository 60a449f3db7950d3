// @file bench.h Measurements; each prints a table and returns one JSON object.
#ifndef MEDLARGAUGE_BENCH_BENCH_H_
#define MEDLARGAUGE_BENCH_BENCH_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace medlargauge {

/// What the command line asks for.
struct BenchOptions {
  uint64_t seed = 1;      ///< Of all randomness.
  uint32_t seconds = 60;  ///< Length of runs that take as long as asked.
  uint32_t faults = 0;    ///< Soak: faults a schedule; 0 for one to three.
};

/// One service of an example deployment.
struct BenchService {
  std::string name;   ///< Also the name of its class.
  int endpoints = 0;  ///< Backend servers.
};

/// One example deployment at its size of today.
struct BenchDeployment {
  std::string name;                    ///< Of the users.
  std::vector<std::string> domains;    ///< Failure domains.
  std::vector<BenchService> services;  ///< What they run.
  int agent_delay_us = 1000;           ///< One way between failure domains.
  int caller_delay_us = 1000;          ///< One way to callers.
};

/// Returns both example deployments. Thread-safe.
std::vector<BenchDeployment> ExampleDeployments();

nlohmann::json RunForwarding(const BenchOptions& options);
nlohmann::json RunSoak(const BenchOptions& options);
nlohmann::json RunChurn(const BenchOptions& options);
nlohmann::json RunImbalance(const BenchOptions& options);
nlohmann::json RunTrial(const BenchOptions& options);
nlohmann::json RunGossip(const BenchOptions& options);
nlohmann::json RunDetect(const BenchOptions& options);
nlohmann::json RunGroupCost(const BenchOptions& options);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_BENCH_BENCH_H_

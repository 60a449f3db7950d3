// @file bench.h Benchmarks. Each prints a table and returns one JSON object.
#ifndef MEDLARGAUGE_BENCH_BENCH_H_
#define MEDLARGAUGE_BENCH_BENCH_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace medlargauge {

/// Options from the command line.
struct BenchOptions {
  uint64_t seed = 1;      ///< Seed of the random number generators.
  uint32_t seconds = 60;  ///< Soak: duration of the run.
  uint32_t faults = 0;    ///< Soak: faults per schedule; 0 for one to three.
};

/// A service of an example deployment.
struct BenchService {
  std::string name;      ///< Name of the service and of its class.
  int server_count = 0;  ///< Number of backend servers.
};

/// An example deployment at its present size.
struct BenchDeployment {
  std::string name;                          ///< Name of the example.
  std::vector<std::string> failure_domains;  ///< Names of failure domains.
  std::vector<BenchService> services;        ///< Services that run in it.
  int agent_delay_us = 1000;   ///< One-way delay between failure domains.
  int caller_delay_us = 1000;  ///< One-way delay to callers.
};

/// Returns both example deployments. Thread-safe.
std::vector<BenchDeployment> ExampleDeployments();

/// Measures packets per second of processor time of a balancer and an agent,
/// relative to a forwarder that only receives and sends.
nlohmann::json RunForwarding(const BenchOptions& options);
/// Runs random schedules of faults and counts violated invariants.
nlohmann::json RunSoak(const BenchOptions& options);
/// Counts broken flows during rolling drains and restarts, also for consistent
/// hashing and for second-chance forwarding.
nlohmann::json RunChurn(const BenchOptions& options);
/// Measures how evenly the admission policies spread open flows over servers.
nlohmann::json RunImbalance(const BenchOptions& options);
/// Measures the share of new flows that reach a trial version.
nlohmann::json RunTrial(const BenchOptions& options);
/// Measures bytes, processor time and convergence time of gossip.
nlohmann::json RunGossip(const BenchOptions& options);
/// Measures the time to remove a crashed host, and counts false removals.
nlohmann::json RunDetect(const BenchOptions& options);
/// Measures control bytes and processor time of the agents of one service.
nlohmann::json RunGroupCost(const BenchOptions& options);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_BENCH_BENCH_H_

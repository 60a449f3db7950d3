// @file bench_main.cc Main function of medlargauge_bench.
#include <gflags/gflags.h>

#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "bench/bench.h"

DEFINE_uint64(seed, 1, "seed of the random number generators");
DEFINE_uint32(seconds, 60, "soak: duration of the run");
DEFINE_uint32(faults, 0, "soak: faults per schedule; 0 for one to three");

namespace medlargauge {

std::vector<BenchDeployment> ExampleDeployments() {
  return {{"tijolo",
           {"recife", "olinda", "caruaru", "joao-pessoa"},
           {{"stock", 7}, {"photos", 4}},
           500,
           3000},
          {"sundarban",
           {"kol-a", "kol-b", "kol-c"},
           {{"booking", 7}, {"media", 3}},
           1000,
           1000}};
}

}  // namespace medlargauge

int main(int argc, char** argv) {
  using namespace medlargauge;
  gflags::SetUsageMessage("medlargauge_bench NAME [--seed=N] [--seconds=S]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::map<std::string,
                 std::function<nlohmann::json(const BenchOptions&)>>
      benchmarks = {{"forwarding", RunForwarding}, {"soak", RunSoak},
                    {"churn", RunChurn},           {"imbalance", RunImbalance},
                    {"trial", RunTrial},           {"gossip", RunGossip},
                    {"detect", RunDetect},         {"group", RunGroupCost}};
  const auto benchmark =
      argc == 2 ? benchmarks.find(argv[1]) : benchmarks.end();
  if (benchmark == benchmarks.end()) {
    std::cerr << "usage: medlargauge_bench NAME; one of:";
    for (const auto& [name, run] : benchmarks) {
      std::cerr << " " << name;
    }
    std::cerr << "\n";
    return 2;
  }
  const nlohmann::json result =
      benchmark->second({FLAGS_seed, FLAGS_seconds, FLAGS_faults});
  std::cout << result.dump() << std::endl;
  return 0;
}

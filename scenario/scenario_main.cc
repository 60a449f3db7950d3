// @file scenario_main.cc Runs scenario scripts and compares the output of each
// with its .expected file.
#include <gflags/gflags.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

#include "scenario/script.h"

DEFINE_bool(write_expected,
            false,
            "overwrite the .expected files with the output of the scripts");

namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Runs one script and prints its result. Returns whether its output is the
/// expected one and no expectation of it has failed.
bool RunFile(const std::filesystem::path& path) {
  medlargauge::Error reason;
  const std::optional<std::string> output = medlargauge::RunScript(
      ReadFile(path), medlargauge::FaultInjection(), &reason);
  if (!output.has_value()) {
    std::cout << path.filename().string() << ": " << reason.detail << "\n";
    return false;
  }
  std::filesystem::path expected = path;
  expected.replace_extension(".expected");
  if (FLAGS_write_expected) {
    std::ofstream(expected) << *output;
  }
  const bool same = ReadFile(expected) == *output &&
                    output->find("FAIL") == std::string::npos;
  std::cout << (same ? "passed " : "failed ") << path.filename().string()
            << "\n";
  if (!same) {
    std::cout << *output;
  }
  return same;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("medlargauge_scenarios FOLDER|FILE...");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::vector<std::filesystem::path> paths;
  for (int i = 1; i < argc; ++i) {
    if (!std::filesystem::is_directory(argv[i])) {
      paths.emplace_back(argv[i]);
      continue;
    }
    for (const auto& entry : std::filesystem::directory_iterator(argv[i])) {
      if (entry.path().extension() == ".lua") {
        paths.push_back(entry.path());
      }
    }
  }
  std::sort(paths.begin(), paths.end());
  int failed = 0;
  for (const std::filesystem::path& path : paths) {
    failed += RunFile(path) ? 0 : 1;
  }
  std::cout << paths.size() - failed << " passed, " << failed << " failed\n";
  return failed == 0 && !paths.empty() ? 0 : 1;
}

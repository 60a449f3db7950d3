// @file check_command.cc Checks a file of targets without a fleet.
#include "src/ctl/check_command.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "src/core/error.h"
#include "src/ctl/route_check.h"

namespace medlargauge {
namespace {

std::optional<RouteTable> ReadFile(const std::string& path,
                                   const TargetsDecoder& decode,
                                   Error* reason) {
  std::ifstream file(path);
  if (!file) {
    Fail(reason, ErrorKind::kIo, path + ": cannot be read");
    return std::nullopt;
  }
  std::string text{std::istreambuf_iterator<char>(file), {}};
  std::optional<RouteTable> table = decode(std::move(text), reason);
  // A fleet leaves malformed entries out, which is no reason to send them.
  if (!table.has_value() || !table->unread.empty()) {
    reason->detail = path + ": " + reason->detail;
    return std::nullopt;
  }
  return table;
}

void Print(const CtlOptions& options, const RouteFinding& finding) {
  if (options.json) {
    const nlohmann::ordered_json line = {{"level", LevelName(finding.level)},
                                         {"entry", finding.entry},
                                         {"field", finding.field},
                                         {"reason", finding.reason}};
    std::cout << line.dump() << "\n";
    return;
  }
  std::cout << LevelName(finding.level) << ": "
            << (finding.entry.empty() ? "" : finding.entry + ": ")
            << finding.field << ": " << finding.reason << "\n";
}

}  // namespace

int CheckTargets(const CtlOptions& options,
                 const std::vector<std::string>& arguments,
                 const TargetsDecoder& decode) {
  Error reason;
  const std::optional<RouteTable> table =
      ReadFile(arguments[0], decode, &reason);
  if (!table.has_value()) {
    if (reason.kind == ErrorKind::kMalformedValue) {
      Print(options, {FindingLevel::kError, "", "file", reason.detail});
    }
    return ReportError(reason);
  }
  std::vector<RouteFinding> findings = CheckRoutes(*table);
  if (!options.against.empty()) {
    const std::optional<RouteTable> in_force =
        ReadFile(options.against, decode, &reason);
    if (!in_force.has_value()) {
      return ReportError(reason);
    }
    const std::vector<RouteFinding> differences =
        CompareRoutes(*in_force, *table);
    findings.insert(findings.end(), differences.begin(), differences.end());
  }
  size_t errors = 0;
  for (const RouteFinding& finding : findings) {
    Print(options, finding);
    errors += finding.level == FindingLevel::kError ? 1 : 0;
  }
  return errors == 0
             ? 0
             : ReportError({ErrorKind::kRefused, arguments[0] + ": errors: " +
                                                     std::to_string(errors)});
}

}  // namespace medlargauge

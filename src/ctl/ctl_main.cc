// @file ctl_main.cc Entry of medlargauge, the operators' tool.
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "src/core/error.h"
#include "src/ctl/ctl_type.h"

DEFINE_string(config, "", "JSON with comments: store, daemon, address_pool");
DEFINE_string(store, "", "key-value service, IP:PORT");
DEFINE_string(daemon, "", "admin address of any daemon, IP:PORT");
DEFINE_string(address_pool, "", "addresses for new classes, as CIDR");
DEFINE_string(service, "", "service of a new class");
DEFINE_string(baseline, "", "version in normal use");
DEFINE_string(trial, "", "version on trial");
DEFINE_string(trial_share, "", "largest share of the trial, such as 5%");
DEFINE_string(evenness, "", "allowed excess over the mean, such as 1%");
DEFINE_string(changed_by, "", "operator; by default the user of the shell");
DEFINE_bool(json, false, "print JSON");
DEFINE_bool(wait, false, "wait until in force on every balancer");
DEFINE_int32(wait_s, 10, "wait at most so many seconds");

namespace medlargauge {
namespace {

std::string Usage() {
  std::ostringstream text;
  text << "operate medlargauge: medlargauge COMMAND [WORDS] [FLAGS]\n\n";
  for (const Command& command : Commands()) {
    text << "  " << command.name << " " << command.usage << "\n      "
         << command.help << "\n";
  }
  text << "\nExamples:\n"
          "  medlargauge class create stock --service=stock --baseline=v1\n"
          "  medlargauge target set stock --trial=v2 --trial_share=5% --wait\n"
          "  medlargauge target set stock --trial_share=0%   (stop a trial)\n"
          "  medlargauge status --json\n\nExit status:\n  0 done\n";
  for (const ErrorKind kind :
       {ErrorKind::kBadUsage, ErrorKind::kConflict, ErrorKind::kRefused,
        ErrorKind::kUnknownOutcome, ErrorKind::kNotFound,
        ErrorKind::kStoreUnavailable, ErrorKind::kNotInForce,
        ErrorKind::kValueTooLarge, ErrorKind::kMalformedValue,
        ErrorKind::kIo}) {
    text << "  " << Describe(kind).exit_code << " " << Describe(kind).text
         << "\n";
  }
  return text.str();
}

/// Fills options that no flag gave from the configuration file.
bool ReadConfig(CtlOptions* options, Error* reason) {
  if (FLAGS_config.empty()) {
    return true;
  }
  std::ifstream file(FLAGS_config);
  const nlohmann::json config =
      file ? nlohmann::json::parse(file, nullptr, false, true)
           : nlohmann::json();
  if (!config.is_object()) {
    return Fail(reason, ErrorKind::kBadSettings,
                FLAGS_config + ": is not a JSON object");
  }
  for (const auto& [key, value] : config.items()) {
    std::string* option = key == "store"          ? &options->store
                          : key == "daemon"       ? &options->daemon
                          : key == "address_pool" ? &options->address_pool
                                                  : nullptr;
    if (option == nullptr || !value.is_string()) {
      std::string detail = FLAGS_config;
      detail.append(": ").append(key).append(": is not a setting");
      return Fail(reason, ErrorKind::kBadSettings, detail);
    }
    if (option->empty()) {
      *option = value.get<std::string>();
    }
  }
  return true;
}

CtlOptions OptionsFromFlags() {
  const char* user = getenv("USER");
  CtlOptions options;
  options.store = FLAGS_store;
  options.daemon = FLAGS_daemon;
  options.address_pool = FLAGS_address_pool;
  options.service = FLAGS_service;
  options.baseline = FLAGS_baseline;
  options.trial = FLAGS_trial;
  options.trial_share = FLAGS_trial_share;
  options.evenness = FLAGS_evenness;
  options.changed_by = !FLAGS_changed_by.empty() ? FLAGS_changed_by
                       : user != nullptr         ? user
                                                 : "unknown";
  options.json = FLAGS_json;
  options.wait = FLAGS_wait;
  options.wait_s = FLAGS_wait_s;
  return options;
}

int RunCommand(const std::vector<std::string>& words) {
  CtlOptions options = OptionsFromFlags();
  Error reason;
  if (!ReadConfig(&options, &reason)) {
    return Report(reason);
  }
  for (const Command& command : Commands()) {
    const size_t spaces = command.name.find(' ') == std::string_view::npos;
    const size_t length = spaces == 1 ? 1 : 2;
    std::string given;
    for (size_t i = 0; i < std::min(length, words.size()); ++i) {
      given += i == 0 ? "" : " ";
      given += words[i];
    }
    if (given != command.name) {
      continue;
    }
    const std::vector<std::string> rest(words.begin() + length, words.end());
    const bool variable = command.usage.find("...") != std::string_view::npos;
    const bool fits =
        variable ? rest.size() >= command.words : rest.size() == command.words;
    if (!fits) {
      return Report({ErrorKind::kBadUsage, "usage: medlargauge " +
                                               std::string(command.name) + " " +
                                               std::string(command.usage)});
    }
    return command.body(options, rest);
  }
  std::cerr << Usage();
  return Describe(ErrorKind::kBadUsage).exit_code;
}

}  // namespace
}  // namespace medlargauge

int main(int argc, char** argv) {
  gflags::SetUsageMessage(medlargauge::Usage());
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  std::string help;
  if (gflags::GetCommandLineOption("help", &help) && help == "true") {
    std::cout << medlargauge::Usage();
    return 0;
  }
  return medlargauge::RunCommand(
      std::vector<std::string>(argv + 1, argv + argc));
}

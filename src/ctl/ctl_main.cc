// @file ctl_main.cc Command line of medlargauge, the operators' tool.
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "src/core/error.h"
#include "src/ctl/ctl_type.h"

DEFINE_string(
    config,
    "",
    "file with defaults of --store, --daemon and --address_pool, JSON "
    "with comments");
DEFINE_string(store, "", "address of the key-value service, IP:PORT");
DEFINE_string(daemon, "", "admin address of any daemon, IP:PORT");
DEFINE_string(address_pool, "", "addresses for new classes, as CIDR");
DEFINE_string(service, "", "service of a new class");
DEFINE_string(baseline, "", "version in normal use");
DEFINE_string(trial, "", "version on trial");
DEFINE_string(trial_share,
              "",
              "largest share of new flows for the trial, such as 5%");
DEFINE_string(evenness,
              "",
              "allowed excess of open flows over the mean, such as 1%");
DEFINE_string(changed_by, "", "name of the operator; by default $USER");
DEFINE_string(against, "", "file with the targets in force, for check");
DEFINE_bool(json, false, "print JSON instead of text");
DEFINE_bool(wait, false, "wait until the change is in force on every balancer");
DEFINE_int32(wait_s, 10, "longest time to wait with --wait, in seconds");

namespace medlargauge {
namespace {

std::string Usage() {
  std::ostringstream text;
  text << "operate medlargauge: medlargauge COMMAND [ARGUMENTS] [FLAGS]\n\n";
  for (const Command& command : Commands()) {
    text << "  " << command.name << " " << command.usage << "\n      "
         << command.help << "\n";
  }
  text << "\nExamples:\n"
          "  medlargauge class create stock --service=stock --baseline=v1\n"
          "  medlargauge target set stock --trial=v2 --trial_share=5% --wait\n"
          "  medlargauge target set stock --trial_share=0%   (stop a trial)\n"
          "  medlargauge status --json\n\nExit status:\n  0 success\n";
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

/// Sets the options that no flag has set from the configuration file, if there
/// is one. @return false with a reason if the file is not valid
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
                FLAGS_config + ": cannot be read or is not a JSON object");
  }
  for (const auto& [key, value] : config.items()) {
    std::string* option = key == "store"          ? &options->store
                          : key == "daemon"       ? &options->daemon
                          : key == "address_pool" ? &options->address_pool
                                                  : nullptr;
    if (option == nullptr || !value.is_string()) {
      std::string detail = FLAGS_config;
      detail.append(": ").append(key).append(
          ": is not a setting or not a string");
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
  options.against = FLAGS_against;
  options.json = FLAGS_json;
  options.wait = FLAGS_wait;
  options.wait_s = FLAGS_wait_s;
  return options;
}

/// Runs the command that the first one or two arguments name.
/// @return exit status; prints the usage if there is no such command
int RunCommand(const std::vector<std::string>& arguments) {
  CtlOptions options = OptionsFromFlags();
  Error reason;
  if (!ReadConfig(&options, &reason)) {
    return ReportError(reason);
  }
  for (const Command& command : Commands()) {
    const size_t is_one_word = command.name.find(' ') == std::string_view::npos;
    const size_t name_word_count = is_one_word == 1 ? 1 : 2;
    std::string given_name;
    for (size_t i = 0; i < std::min(name_word_count, arguments.size()); ++i) {
      given_name += i == 0 ? "" : " ";
      given_name += arguments[i];
    }
    if (given_name != command.name) {
      continue;
    }
    const std::vector<std::string> command_arguments(
        arguments.begin() + name_word_count, arguments.end());
    const bool allows_more =
        command.usage.find("...") != std::string_view::npos;
    const bool has_valid_count =
        allows_more ? command_arguments.size() >= command.argument_count
                    : command_arguments.size() == command.argument_count;
    if (!has_valid_count) {
      return ReportError({ErrorKind::kBadUsage,
                          "usage: medlargauge " + std::string(command.name) +
                              " " + std::string(command.usage)});
    }
    return command.run(options, command_arguments);
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

// @file daemon_main.cc Command line of medlargauged.
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <iostream>

#include "src/core/error.h"
#include "src/daemon/agent_process.h"
#include "src/daemon/balancer_process.h"
#include "src/daemon/daemon_process.h"
#include "src/daemon/glog_sink.h"
#include "src/daemon/settings.h"

DEFINE_string(settings, "", "path of the settings file, JSON with comments");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_bool(print_settings_doc, false, "print docs/SETTINGS.md and exit");
DEFINE_string(take_over_from,
              "",
              "agent: admin address of the running process to take over from, "
              "IP:PORT");

namespace {

/// Prints an error to standard error. @return exit status of its kind
int ReportError(const medlargauge::Error& error) {
  const medlargauge::ErrorKindInfo& row = medlargauge::Describe(error.kind);
  std::cerr << "medlargauged: " << row.text << ": " << error.detail << "\n";
  return row.exit_code;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "daemon of the medlargauge load balancer: a balancer or an agent\n"
      "  medlargauged --settings=/etc/medlargauge/balancer.json\n"
      "  medlargauged --settings=FILE --check_settings");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  medlargauge::SendEventsToGlog();
  if (FLAGS_print_settings_doc) {
    std::cout << medlargauge::DescribeSettings();
    return 0;
  }
  medlargauge::Error error;
  const std::optional<medlargauge::Settings> settings =
      medlargauge::LoadSettings(FLAGS_settings, &error);
  if (!settings.has_value()) {
    return ReportError(error);
  }
  if (FLAGS_check_settings) {
    std::cout << FLAGS_settings << ": ok\n";
    return 0;
  }
  medlargauge::BlockStopSignals();
  const bool succeeded =
      settings->role == "agent"
          ? medlargauge::RunAgent(*settings, FLAGS_take_over_from, &error)
          : medlargauge::RunBalancer(*settings, &error);
  return succeeded ? 0 : ReportError(error);
}

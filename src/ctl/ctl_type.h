// @file ctl_type.h Options and commands of the operators' command-line tool.
#ifndef MEDLARGAUGE_CTL_CTL_TYPE_H_
#define MEDLARGAUGE_CTL_CTL_TYPE_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/error_type.h"

namespace medlargauge {

/// Options of a command, from flags and the configuration file.
struct CtlOptions {
  std::string store;         ///< Address of the key-value service, IP:PORT.
  std::string daemon;        ///< Admin address of any daemon, IP:PORT.
  std::string address_pool;  ///< Addresses for new classes, as CIDR.
  std::string service;       ///< Service of a new class.
  std::string baseline;      ///< Version in normal use.
  std::string trial;         ///< Version on trial.
  std::string trial_share;   ///< Largest share of the trial.
  std::string evenness;      ///< Allowed excess over the mean.
  std::string changed_by;    ///< Operator who makes a change.
  std::string against;       ///< File of the version in force, for check.
  bool json = false;         ///< Print JSON instead of text.
  bool wait = false;         ///< Wait until in force on every balancer.
  int wait_s = 10;           ///< Longest time to wait, in seconds.
};

/// Runs a command with the arguments after its name. @return exit status
using CommandFunction =
    std::function<int(const CtlOptions& options,
                      const std::vector<std::string>& arguments)>;

/// Row of the table of commands.
struct Command {
  std::string_view name;   ///< One or two words, such as "target set".
  size_t argument_count;   ///< Required number of arguments.
  std::string_view usage;  ///< Arguments and flags; "..." allows more.
  std::string_view help;   ///< Description for the usage text.
  CommandFunction run;     ///< Runs the command.
};

/// Returns the table of all commands. Thread-safe.
const std::vector<Command>& Commands();

/// Prints an error to standard error. @return exit status of its kind
int ReportError(const Error& error);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CTL_CTL_TYPE_H_

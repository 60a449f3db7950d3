// @file ctl_type.h Options and commands of the operators' tool.
#ifndef MEDLARGAUGE_CTL_CTL_TYPE_H_
#define MEDLARGAUGE_CTL_CTL_TYPE_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/error_type.h"

namespace medlargauge {

/// What the operator gave besides the command's words.
struct CtlOptions {
  std::string store;         ///< Key-value service, IP:PORT.
  std::string daemon;        ///< Admin address of any daemon, IP:PORT.
  std::string address_pool;  ///< Addresses for new classes, as CIDR.
  std::string service;       ///< Service of a new class.
  std::string baseline;      ///< Version in normal use.
  std::string trial;         ///< Version on trial.
  std::string trial_share;   ///< Largest share of the trial.
  std::string evenness;      ///< Allowed excess over the mean.
  std::string changed_by;    ///< Operator.
  bool json = false;         ///< Print JSON.
  bool wait = false;         ///< Wait until in force on every balancer.
  int wait_s = 10;           ///< At most so long.
};

/// One command: runs with the words after its name. @return exit status
using CommandBody = std::function<int(const CtlOptions& options,
                                      const std::vector<std::string>& words)>;

/// A row of the table of commands.
struct Command {
  std::string_view name;   ///< Such as "target set".
  size_t words;            ///< Words that must follow.
  std::string_view usage;  ///< Words and flags.
  std::string_view help;   ///< What it does.
  CommandBody body;        ///< Does it.
};

/// Returns all commands. Thread-safe.
const std::vector<Command>& Commands();

/// Prints an error to standard error. @return exit status of its kind
int Report(const Error& error);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CTL_CTL_TYPE_H_

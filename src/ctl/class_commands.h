// @file class_commands.h Commands on classes and their targets.
#ifndef MEDLARGAUGE_CTL_CLASS_COMMANDS_H_
#define MEDLARGAUGE_CTL_CLASS_COMMANDS_H_

#include <string>
#include <vector>

#include "src/ctl/ctl_type.h"

namespace medlargauge {

/// Each runs one command with as many words as the table of commands says, and
/// returns the exit status. Thread-safe.
int CreateClass(const CtlOptions& options,
                const std::vector<std::string>& words);
int ListClasses(const CtlOptions& options,
                const std::vector<std::string>& words);
int ShowClass(const CtlOptions& options, const std::vector<std::string>& words);
int DeleteClass(const CtlOptions& options,
                const std::vector<std::string>& words);
int SetTarget(const CtlOptions& options, const std::vector<std::string>& words);
int ShowHistory(const CtlOptions& options,
                const std::vector<std::string>& words);
int ShowOutcome(const CtlOptions& options,
                const std::vector<std::string>& words);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CTL_CLASS_COMMANDS_H_

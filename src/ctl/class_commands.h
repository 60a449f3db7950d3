// @file class_commands.h Commands for classes and their targets.
#ifndef MEDLARGAUGE_CTL_CLASS_COMMANDS_H_
#define MEDLARGAUGE_CTL_CLASS_COMMANDS_H_

#include <string>
#include <vector>

#include "src/ctl/ctl_type.h"

namespace medlargauge {

// Each function below runs one command and returns its exit status.
// Precondition: `arguments` holds as many arguments as the table of commands
// requires. Thread-safe.

/// Creates the class arguments[0] with an address of the pool.
int CreateClass(const CtlOptions& options,
                const std::vector<std::string>& arguments);
/// Prints the targets of all classes that are not deleted.
int ListClasses(const CtlOptions& options,
                const std::vector<std::string>& arguments);
/// Prints the target of the class arguments[0].
int ShowClass(const CtlOptions& options,
              const std::vector<std::string>& arguments);
/// Deletes the class arguments[0] by writing a tombstone.
int DeleteClass(const CtlOptions& options,
                const std::vector<std::string>& arguments);
/// Changes the target of the class arguments[0].
int SetTarget(const CtlOptions& options,
              const std::vector<std::string>& arguments);
/// Prints the changes of the target of the class arguments[0], newest first.
int ShowHistory(const CtlOptions& options,
                const std::vector<std::string>& arguments);
/// Prints whether the change arguments[1] of the target of the class
/// arguments[0] took effect.
int ShowOutcome(const CtlOptions& options,
                const std::vector<std::string>& arguments);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_CTL_CLASS_COMMANDS_H_

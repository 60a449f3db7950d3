// @file commands.cc Table of commands and error output.
#include <iostream>

#include "platform/documents.h"
#include "src/core/error.h"
#include "src/ctl/check_command.h"
#include "src/ctl/class_commands.h"
#include "src/ctl/ctl_type.h"
#include "src/ctl/fleet_commands.h"

namespace medlargauge {

const std::vector<Command>& Commands() {
  static const std::vector<Command>* const commands = new std::vector<Command>{
      {"class create", 1,
       "NAME --service=S [--baseline=V] [--evenness=1%] [--wait]",
       "create a class with a free address of the pool", CreateClass},
      {"class list", 0, "", "list all classes", ListClasses},
      {"class show", 1, "NAME", "show one class and its target", ShowClass},
      {"class delete", 1, "NAME [--wait]", "delete a class", DeleteClass},
      {"target set", 1,
       "NAME [--trial=V] [--trial_share=5%] [--baseline=V] [--evenness=1%] "
       "[--wait]",
       "change the target of a class", SetTarget},
      {"target show", 1, "NAME", "show the target of a class", ShowClass},
      {"target history", 1, "NAME",
       "show the changes of a target and their operators", ShowHistory},
      {"target outcome", 2, "NAME CHANGE_ID",
       "show whether a change took effect", ShowOutcome},
      {"status", 0, "",
       "show open flows, imbalance and broken flows by service", ShowStatus},
      {"members", 0, "",
       "show the members of the fleet as one daemon knows them", ShowMembers},
      {"check", 1, "FILE [--against=FILE] [--json]",
       "check the platform's targets in a file, without a fleet",
       [](const CtlOptions& options,
          const std::vector<std::string>& arguments) {
         return CheckTargets(
             options, arguments, [](std::string text, Error* reason) {
               return platform::ReadTargets({std::move(text), {}}, reason);
             });
       }},
      {"trace", 2, "TRACE_ID FILE...", "print the hops of a traced flow",
       ShowTrace},
  };
  return *commands;
}

int ReportError(const Error& error) {
  const ErrorKindInfo& row = Describe(error.kind);
  std::cerr << "medlargauge: " << row.text << ": " << error.detail << "\n";
  return row.exit_code;
}

}  // namespace medlargauge

// @file class_commands.cc Commands for classes and their targets.
#include "src/ctl/class_commands.h"

#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "src/core/error.h"
#include "src/ctl/fleet_commands.h"
#include "src/daemon/store_reader.h"
#include "src/packet/packet.h"
#include "src/target/target_store.h"

namespace medlargauge {
namespace {

using nlohmann::json;

constexpr Duration kStoreTimeout = Seconds(3);

TargetStore OpenStore(const CtlOptions& options) {
  return TargetStore(MakeHttpStoreTransport(options.store, kStoreTimeout));
}

std::string MakeChangeId() {
  std::random_device generator;
  std::ostringstream id;
  id << std::hex << std::setfill('0');
  for (int i = 0; i < 4; ++i) {
    id << std::setw(8) << generator();
  }
  return id.str();
}

std::string FormatUtcNow() {
  const std::time_t now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm utc{};
  gmtime_r(&now, &utc);
  std::ostringstream text;
  text << std::put_time(&utc, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

ChangeInfo MakeChangeInfo(const CtlOptions& options, std::string summary) {
  return {MakeChangeId(), options.changed_by, FormatUtcNow(),
          std::move(summary)};
}

json ToJson(const StoredTarget& stored) {
  const ClassTarget& target = stored.target;
  return {{"name", target.name},
          {"address", FormatIp(target.address)},
          {"service", target.service},
          {"baseline", target.baseline},
          {"trial", target.trial},
          {"trial_share", FormatShare(target.trial_share)},
          {"evenness", FormatShare(target.evenness)},
          {"deleted", target.deleted},
          {"revision", target.revision},
          {"change_id", target.change_id},
          {"changed_by", target.changed_by}};
}

void PrintTarget(const CtlOptions& options, const StoredTarget& stored) {
  if (options.json) {
    std::cout << ToJson(stored).dump() << "\n";
    return;
  }
  const ClassTarget& target = stored.target;
  std::cout << target.name << "  address=" << FormatIp(target.address)
            << " service=" << target.service << " baseline="
            << (target.baseline.empty() ? "any" : target.baseline)
            << " trial=" << (target.trial.empty() ? "none" : target.trial)
            << " trial_share=" << FormatShare(target.trial_share)
            << " evenness=" << FormatShare(target.evenness)
            << " revision=" << target.revision
            << (target.deleted ? " deleted" : "") << "\n";
}

/// Prints the outcome of a change and, with --wait, waits until it is in force.
/// @return exit status
int FinishChange(const CtlOptions& options,
                 const ChangeResult& result,
                 const ChangeInfo& change_info,
                 std::string_view name,
                 const Error& reason) {
  switch (result.outcome) {
    case ChangeOutcome::kAccepted:
      if (result.current.has_value()) {
        PrintTarget(options, *result.current);
      }
      if (options.wait && result.current.has_value()) {
        return WaitUntilInForce(options, std::string(name),
                                result.current->target.revision);
      }
      return 0;
    case ChangeOutcome::kConflict:
      if (result.current.has_value()) {
        std::cerr << "the target in the store: ";
        std::cerr << ToJson(*result.current).dump() << "\n";
      }
      return ReportError({ErrorKind::kConflict, reason.detail});
    case ChangeOutcome::kRefused:
      return ReportError(reason);
    case ChangeOutcome::kUnknown:
      return ReportError(
          {ErrorKind::kUnknownOutcome,
           "the change may or may not have taken effect; check with: "
           "medlargauge target outcome " +
               std::string(name) + " " + change_info.change_id});
  }
  return 1;
}

/// Sets a share from the text of a flag; an empty text changes nothing.
/// @return false with a reason if the text is not a share
bool ApplyShareOption(const std::string& text,
                      std::string_view flag,
                      uint32_t* share,
                      Error* reason) {
  if (text.empty()) {
    return true;
  }
  const std::optional<uint32_t> parsed = ParseShare(text);
  if (!parsed.has_value()) {
    return Fail(reason, ErrorKind::kBadUsage,
                std::string(flag) + "=" + text +
                    ": must be a share from 0% to 100%, such as 5% or 0.05");
  }
  *share = *parsed;
  return true;
}

/// Sets the fields of a target that are given by flags and checks the result.
/// @return false with a reason if the target is not valid
bool ApplyTargetOptions(const CtlOptions& options,
                        ClassTarget* target,
                        Error* reason) {
  if (!options.baseline.empty()) {
    target->baseline = options.baseline;
  }
  if (!options.trial.empty()) {
    target->trial = options.trial;
  }
  const bool parsed = ApplyShareOption(options.trial_share, "--trial_share",
                                       &target->trial_share, reason) &&
                      ApplyShareOption(options.evenness, "--evenness",
                                       &target->evenness, reason);
  if (!parsed) {
    return false;
  }
  if (target->trial_share > 0 && target->trial.empty()) {
    return Fail(reason, ErrorKind::kRefused,
                "a trial share above 0% needs a version on trial: --trial");
  }
  if (!target->trial.empty() && target->trial == target->baseline) {
    return Fail(reason, ErrorKind::kRefused,
                "--trial and --baseline must be different versions");
  }
  return true;
}

/// Returns the flags that change a target, as summary for its history.
std::string SummarizeChange(const CtlOptions& options) {
  std::string summary;
  const auto append = [&summary](std::string_view key,
                                 const std::string& value) {
    if (!value.empty()) {
      summary += summary.empty() ? "" : " ";
      summary += std::string(key) + "=" + value;
    }
  };
  append("service", options.service);
  append("baseline", options.baseline);
  append("trial", options.trial);
  append("trial_share", options.trial_share);
  append("evenness", options.evenness);
  return summary;
}

}  // namespace

int CreateClass(const CtlOptions& options,
                const std::vector<std::string>& arguments) {
  if (options.service.empty()) {
    return ReportError({ErrorKind::kBadUsage, "class create needs --service"});
  }
  const auto pool = ExpandPool(options.address_pool);
  if (!pool.has_value()) {
    return ReportError(
        {ErrorKind::kBadUsage, "--address_pool=" + options.address_pool +
                                   ": must be an IPv4 range from /16 to /30"});
  }
  ClassTarget target;
  target.name = arguments[0];
  target.service = options.service;
  Error reason;
  if (!ApplyTargetOptions(options, &target, &reason)) {
    return ReportError(reason);
  }
  const ChangeInfo change_info =
      MakeChangeInfo(options, "create " + SummarizeChange(options));
  const ChangeResult result =
      OpenStore(options).Create(target, *pool, change_info, &reason);
  return FinishChange(options, result, change_info, arguments[0], reason);
}

int ListClasses(const CtlOptions& options, const std::vector<std::string>&) {
  Error reason;
  const auto read = OpenStore(options).Read(0, &reason);
  if (!read.has_value()) {
    return ReportError(reason);
  }
  for (const StoredTarget& stored : read->targets) {
    if (!stored.target.deleted) {
      PrintTarget(options, stored);
    }
  }
  for (const std::string& key : read->malformed) {
    std::cerr
        << "medlargauge: malformed target in the key-value service ignored: "
        << key << "\n";
  }
  return 0;
}

int ShowClass(const CtlOptions& options,
              const std::vector<std::string>& arguments) {
  Error reason;
  const auto stored = OpenStore(options).ReadOne(arguments[0], &reason);
  if (!stored.has_value()) {
    return ReportError(reason);
  }
  PrintTarget(options, *stored);
  return 0;
}

int DeleteClass(const CtlOptions& options,
                const std::vector<std::string>& arguments) {
  const ChangeInfo change_info = MakeChangeInfo(options, "delete");
  Error reason;
  const auto mark_deleted = [](ClassTarget* target, Error*) {
    target->deleted = true;
    return true;
  };
  const ChangeResult result = OpenStore(options).Change(
      arguments[0], change_info, mark_deleted, &reason);
  return FinishChange(options, result, change_info, arguments[0], reason);
}

int SetTarget(const CtlOptions& options,
              const std::vector<std::string>& arguments) {
  const std::string summary = SummarizeChange(options);
  if (summary.empty()) {
    return ReportError(
        {ErrorKind::kBadUsage,
         "target set needs a flag that changes the target, such as --trial"});
  }
  const ChangeInfo change_info = MakeChangeInfo(options, summary);
  Error reason;
  const auto edit = [&options](ClassTarget* target, Error* edit_reason) {
    return ApplyTargetOptions(options, target, edit_reason);
  };
  const ChangeResult result =
      OpenStore(options).Change(arguments[0], change_info, edit, &reason);
  return FinishChange(options, result, change_info, arguments[0], reason);
}

int ShowHistory(const CtlOptions& options,
                const std::vector<std::string>& arguments) {
  Error reason;
  const auto stored = OpenStore(options).ReadOne(arguments[0], &reason);
  if (!stored.has_value()) {
    return ReportError(reason);
  }
  for (const TargetChange& change : stored->history) {
    if (options.json) {
      const json line = {{"change_id", change.change_id},
                         {"changed_by", change.changed_by},
                         {"changed_at", change.changed_at},
                         {"summary", change.summary}};
      std::cout << line.dump() << "\n";
    } else {
      std::cout << change.changed_at << "  " << change.changed_by << "  "
                << change.summary << "  " << change.change_id << "\n";
    }
  }
  return 0;
}

int ShowOutcome(const CtlOptions& options,
                const std::vector<std::string>& arguments) {
  Error reason;
  const ChangeOutcome outcome =
      OpenStore(options).FindOutcome(arguments[0], arguments[1], &reason);
  if (outcome == ChangeOutcome::kAccepted) {
    std::cout << "accepted\n";
    return 0;
  }
  if (reason.kind != ErrorKind::kNone) {
    return ReportError(reason);
  }
  return ReportError(
      {ErrorKind::kUnknownOutcome,
       "the target's history does not contain this change (yet)"});
}

}  // namespace medlargauge

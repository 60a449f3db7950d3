// @file class_commands.cc Commands on classes and their targets.
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

std::string NewChangeId() {
  std::random_device source;
  std::ostringstream id;
  id << std::hex << std::setfill('0');
  for (int i = 0; i < 4; ++i) {
    id << std::setw(8) << source();
  }
  return id.str();
}

std::string UtcNow() {
  const std::time_t now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  return text.str();
}

ChangeInfo NewAuthor(const CtlOptions& options, std::string summary) {
  return {NewChangeId(), options.changed_by, UtcNow(), std::move(summary)};
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

/// Prints how a change ended and waits for it if asked.
int Finish(const CtlOptions& options,
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
        return WaitInForce(options, std::string(name),
                           result.current->target.revision);
      }
      return 0;
    case ChangeOutcome::kConflict:
      if (result.current.has_value()) {
        std::cerr << "the value that won: ";
        std::cerr << ToJson(*result.current).dump() << "\n";
      }
      return Report({ErrorKind::kConflict, reason.detail});
    case ChangeOutcome::kRefused:
      return Report(reason);
    case ChangeOutcome::kUnknown:
      return Report({ErrorKind::kUnknownOutcome,
                     "the change may or may not take effect; ask with: "
                     "medlargauge target outcome " +
                         std::string(name) + " " + change_info.change_id});
  }
  return 1;
}

/// Sets a share from a flag; an empty flag changes nothing.
bool SetShare(const std::string& text,
              std::string_view flag,
              uint32_t* share,
              Error* reason) {
  if (text.empty()) {
    return true;
  }
  const std::optional<uint32_t> parsed = ParseShare(text);
  if (!parsed.has_value()) {
    return Fail(
        reason, ErrorKind::kBadUsage,
        std::string(flag) + "=" + text + ": not a share such as 5% or 0.05");
  }
  *share = *parsed;
  return true;
}

bool ApplyOptions(const CtlOptions& options,
                  ClassTarget* target,
                  Error* reason) {
  if (!options.baseline.empty()) {
    target->baseline = options.baseline;
  }
  if (!options.trial.empty()) {
    target->trial = options.trial;
  }
  const bool parsed =
      SetShare(options.trial_share, "--trial_share", &target->trial_share,
               reason) &&
      SetShare(options.evenness, "--evenness", &target->evenness, reason);
  if (!parsed) {
    return false;
  }
  if (target->trial_share > 0 && target->trial.empty()) {
    return Fail(reason, ErrorKind::kRefused,
                "a trial share needs --trial, the version on trial");
  }
  if (!target->trial.empty() && target->trial == target->baseline) {
    return Fail(reason, ErrorKind::kRefused,
                "trial and baseline are the same version");
  }
  return true;
}

std::string Summarize(const CtlOptions& options) {
  std::string summary;
  const auto add = [&summary](std::string_view key, const std::string& value) {
    if (!value.empty()) {
      summary += summary.empty() ? "" : " ";
      summary += std::string(key) + "=" + value;
    }
  };
  add("service", options.service);
  add("baseline", options.baseline);
  add("trial", options.trial);
  add("trial_share", options.trial_share);
  add("evenness", options.evenness);
  return summary;
}

}  // namespace

int CreateClass(const CtlOptions& options,
                const std::vector<std::string>& words) {
  if (options.service.empty()) {
    return Report({ErrorKind::kBadUsage, "class create needs --service"});
  }
  const auto pool = ExpandPool(options.address_pool);
  if (!pool.has_value()) {
    return Report(
        {ErrorKind::kBadUsage, "--address_pool=" + options.address_pool +
                                   ": not an IPv4 range from /16 to /30"});
  }
  ClassTarget target;
  target.name = words[0];
  target.service = options.service;
  Error reason;
  if (!ApplyOptions(options, &target, &reason)) {
    return Report(reason);
  }
  const ChangeInfo change_info =
      NewAuthor(options, "create " + Summarize(options));
  const ChangeResult result =
      OpenStore(options).Create(target, *pool, change_info, &reason);
  return Finish(options, result, change_info, words[0], reason);
}

int ListClasses(const CtlOptions& options, const std::vector<std::string>&) {
  Error reason;
  const auto read = OpenStore(options).Read(0, &reason);
  if (!read.has_value()) {
    return Report(reason);
  }
  for (const StoredTarget& stored : read->targets) {
    if (!stored.target.deleted) {
      PrintTarget(options, stored);
    }
  }
  for (const std::string& key : read->malformed) {
    std::cerr << "medlargauge: malformed value ignored: " << key << "\n";
  }
  return 0;
}

int ShowClass(const CtlOptions& options,
              const std::vector<std::string>& words) {
  Error reason;
  const auto stored = OpenStore(options).ReadOne(words[0], &reason);
  if (!stored.has_value()) {
    return Report(reason);
  }
  PrintTarget(options, *stored);
  return 0;
}

int DeleteClass(const CtlOptions& options,
                const std::vector<std::string>& words) {
  const ChangeInfo change_info = NewAuthor(options, "delete");
  Error reason;
  const auto remove = [](ClassTarget* target, Error*) {
    target->deleted = true;
    return true;
  };
  const ChangeResult result =
      OpenStore(options).Change(words[0], change_info, remove, &reason);
  return Finish(options, result, change_info, words[0], reason);
}

int SetTarget(const CtlOptions& options,
              const std::vector<std::string>& words) {
  const std::string summary = Summarize(options);
  if (summary.empty()) {
    return Report({ErrorKind::kBadUsage, "target set: nothing to change"});
  }
  const ChangeInfo change_info = NewAuthor(options, summary);
  Error reason;
  const auto edit = [&options](ClassTarget* target, Error* why) {
    return ApplyOptions(options, target, why);
  };
  const ChangeResult result =
      OpenStore(options).Change(words[0], change_info, edit, &reason);
  return Finish(options, result, change_info, words[0], reason);
}

int ShowHistory(const CtlOptions& options,
                const std::vector<std::string>& words) {
  Error reason;
  const auto stored = OpenStore(options).ReadOne(words[0], &reason);
  if (!stored.has_value()) {
    return Report(reason);
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
                const std::vector<std::string>& words) {
  Error reason;
  const ChangeOutcome outcome =
      OpenStore(options).FindOutcome(words[0], words[1], &reason);
  if (outcome == ChangeOutcome::kAccepted) {
    std::cout << "accepted\n";
    return 0;
  }
  if (reason.kind != ErrorKind::kNone) {
    return Report(reason);
  }
  return Report({ErrorKind::kUnknownOutcome,
                 "the history does not show this change (yet)"});
}

}  // namespace medlargauge

// @file target_codec.cc JSON and protobuf encodings of a target.
#include "src/target/target_codec.h"

#include <cmath>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "src/core/error.h"
#include "src/packet/packet.h"

namespace medlargauge {
namespace {

using nlohmann::json;

constexpr std::string_view kTargetPrefix = "target/";
constexpr size_t kMaxNameLength = 128;

/// Returns whether the fields of a decoded target are within their bounds.
bool IsValid(const ClassTarget& target) {
  return !target.name.empty() && target.name.size() <= kMaxNameLength &&
         !target.service.empty() && target.trial_share <= kWholeShare &&
         target.evenness <= kWholeShare;
}

}  // namespace

std::string EncodeTarget(const StoredTarget& stored) {
  const ClassTarget& target = stored.target;
  json history = json::array();
  for (const TargetChange& change : stored.history) {
    history.push_back({{"change_id", change.change_id},
                       {"changed_by", change.changed_by},
                       {"changed_at", change.changed_at},
                       {"summary", change.summary}});
  }
  const json value = {{"name", target.name},
                      {"address", FormatIp(target.address)},
                      {"service", target.service},
                      {"baseline", target.baseline},
                      {"trial", target.trial},
                      {"trial_share", target.trial_share},
                      {"evenness", target.evenness},
                      {"deleted", target.deleted},
                      {"change_id", target.change_id},
                      {"changed_by", target.changed_by},
                      {"history", history}};
  return value.dump();
}

std::optional<StoredTarget> DecodeTarget(std::string_view value,
                                         uint64_t revision,
                                         Error* reason) {
  if (value.size() > kMaxStoreValue) {
    Fail(reason, ErrorKind::kValueTooLarge, "value of a target exceeds 1 MiB");
    return std::nullopt;
  }
  try {
    const json parsed = json::parse(value);
    StoredTarget stored;
    ClassTarget& target = stored.target;
    target.name = parsed.at("name").get<std::string>();
    target.service = parsed.at("service").get<std::string>();
    target.baseline = parsed.value("baseline", "");
    target.trial = parsed.value("trial", "");
    target.trial_share = parsed.at("trial_share").get<uint32_t>();
    target.evenness = parsed.at("evenness").get<uint32_t>();
    target.deleted = parsed.value("deleted", false);
    target.change_id = parsed.value("change_id", "");
    target.changed_by = parsed.value("changed_by", "");
    target.revision = revision;
    const std::optional<IpAddress> address =
        ParseIpv4(parsed.at("address").get<std::string>());
    if (!address.has_value() || !IsValid(target)) {
      Fail(reason, ErrorKind::kMalformedValue,
           "target is invalid: address must be IPv4, name must have 1 to "
           "128 characters, service must not be empty, trial_share and "
           "evenness must be at most 10000");
      return std::nullopt;
    }
    target.address = *address;
    for (const json& change : parsed.value("history", json::array())) {
      stored.history.push_back(
          {change.value("change_id", ""), change.value("changed_by", ""),
           change.value("changed_at", ""), change.value("summary", "")});
    }
    return stored;
  } catch (const json::exception& error) {
    Fail(reason, ErrorKind::kMalformedValue, error.what());
    return std::nullopt;
  }
}

proto::GossipItem TargetToItem(const ClassTarget& target) {
  proto::TargetRecord record;
  record.set_name(target.name);
  record.set_address(FormatIp(target.address));
  record.set_service(target.service);
  record.set_baseline(target.baseline);
  record.set_trial(target.trial);
  record.set_trial_share(target.trial_share);
  record.set_evenness(target.evenness);
  record.set_deleted(target.deleted);
  record.set_change_id(target.change_id);
  record.set_changed_by(target.changed_by);
  record.set_revision(target.revision);
  proto::GossipItem item;
  item.set_key(std::string(kTargetPrefix) + target.name);
  item.set_version(target.revision);
  item.set_value(record.SerializeAsString());
  return item;
}

std::optional<ClassTarget> ItemToTarget(const proto::GossipItem& item) {
  proto::TargetRecord record;
  const bool parsed = item.key().rfind(kTargetPrefix, 0) == 0 &&
                      record.ParseFromString(item.value());
  const std::optional<IpAddress> address =
      parsed ? ParseIpv4(record.address()) : std::nullopt;
  if (!address.has_value()) {
    return std::nullopt;
  }
  ClassTarget target;
  target.name = record.name();
  target.address = *address;
  target.service = record.service();
  target.baseline = record.baseline();
  target.trial = record.trial();
  target.trial_share = record.trial_share();
  target.evenness = record.evenness();
  target.deleted = record.deleted();
  target.change_id = record.change_id();
  target.changed_by = record.changed_by();
  target.revision = record.revision();
  return IsValid(target) ? std::make_optional(target) : std::nullopt;
}

std::optional<uint32_t> ParseShare(std::string_view text) {
  const bool is_percent = !text.empty() && text.back() == '%';
  const std::string number(is_percent ? text.substr(0, text.size() - 1) : text);
  char* end = nullptr;
  const double value = std::strtod(number.c_str(), &end);
  const bool is_number = !number.empty() && *end == '\0';
  const double share = is_percent ? value / 100 : value;
  if (!is_number || !(share >= 0 && share <= 1)) {
    return std::nullopt;
  }
  return static_cast<uint32_t>(std::lround(share * kWholeShare));
}

std::string FormatShare(uint32_t share) {
  std::string text = std::to_string(share / 100);
  if (share % 100 != 0) {
    // The added 100 keeps the leading zero of the two decimals.
    const std::string decimals = std::to_string(100 + share % 100);
    text += "." + decimals.substr(1);
  }
  return text + "%";
}

}  // namespace medlargauge

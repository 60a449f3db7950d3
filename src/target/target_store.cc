// @file target_store.cc Changes of targets by compare-and-swap.
#include "src/target/target_store.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "src/core/error.h"
#include "src/packet/packet.h"

namespace medlargauge {
namespace {

using nlohmann::json;

constexpr std::string_view kClassPrefix = "medlargauge/class/";
constexpr std::string_view kAddressPrefix = "medlargauge/address/";
constexpr int kMaxSwapAttempts = 4;
constexpr size_t kMaxHistoryLength = 20;
constexpr size_t kMaxPoolSize = 65536;
constexpr int kHttpOk = 200;

std::string EncodeBase64(std::string_view bytes) {
  return absl::Base64Escape(absl::string_view(bytes.data(), bytes.size()));
}

std::optional<std::string> DecodeBase64(const std::string& text) {
  std::string bytes;
  if (!absl::Base64Unescape(text, &bytes)) {
    return std::nullopt;
  }
  return bytes;
}

/// Returns an unsigned integer of a JSON object; 0 if it is missing. The API's
/// JSON form carries 64-bit integers as strings.
uint64_t ReadUint64(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found == object.end()) {
    return 0;
  }
  if (found->is_string()) {
    return std::strtoull(found->get_ref<const std::string&>().c_str(), nullptr,
                         10);
  }
  return found->is_number_unsigned() ? found->get<uint64_t>() : 0;
}

/// Returns the exclusive end of the range of keys that start with `prefix`.
std::string PrefixRangeEnd(std::string_view prefix) {
  std::string end(prefix);
  ++end.back();
  return end;
}

/// Returns the store's key for the target of a class.
std::string ClassKey(std::string_view name) {
  return std::string(kClassPrefix) + std::string(name);
}

/// Parses the JSON document of a reply; nullopt with kStoreUnavailable if there
/// is no reply, its HTTP status is not 200 or it is not JSON.
std::optional<json> ParseReply(const StoreReply& reply, Error* reason) {
  if (!reply.answered || reply.status != kHttpOk) {
    Fail(reason, ErrorKind::kStoreUnavailable,
         reply.answered ? "the key-value service answered with HTTP status " +
                              std::to_string(reply.status)
                        : "the key-value service did not answer");
    return std::nullopt;
  }
  json parsed = json::parse(reply.body, nullptr, false);
  if (parsed.is_discarded()) {
    Fail(reason, ErrorKind::kStoreUnavailable,
         "the key-value service's answer is not JSON");
    return std::nullopt;
  }
  return parsed;
}

/// Adds a change to the front of a target's history and drops the oldest change
/// if the history grows too long.
void AddHistory(const ChangeInfo& change_info, StoredTarget* stored) {
  stored->target.change_id = change_info.change_id;
  stored->target.changed_by = change_info.changed_by;
  stored->history.insert(stored->history.begin(),
                         {change_info.change_id, change_info.changed_by,
                          change_info.changed_at, change_info.summary});
  if (stored->history.size() > kMaxHistoryLength) {
    stored->history.resize(kMaxHistoryLength);
  }
}

/// Returns whether the history of a target contains a change.
bool HistoryContains(const StoredTarget& stored, std::string_view change_id) {
  return std::any_of(stored.history.begin(), stored.history.end(),
                     [change_id](const TargetChange& change) {
                       return change.change_id == change_id;
                     });
}

}  // namespace

TargetStore::TargetStore(StoreTransport transport)
    : m_transport(std::move(transport)) {}

std::optional<TargetReadResult> TargetStore::Read(uint64_t min_revision,
                                                  Error* reason) const {
  json request = {{"key", EncodeBase64(kClassPrefix)},
                  {"range_end", EncodeBase64(PrefixRangeEnd(kClassPrefix))}};
  if (min_revision > 0) {
    request["min_mod_revision"] = std::to_string(min_revision);
  }
  const std::optional<json> reply =
      ParseReply(m_transport("/v3/kv/range", request.dump()), reason);
  if (!reply.has_value()) {
    return std::nullopt;
  }
  TargetReadResult read;
  read.store_revision =
      ReadUint64(reply->value("header", json::object()), "revision");
  for (const json& pair : reply->value("kvs", json::array())) {
    const std::optional<std::string> key = DecodeBase64(pair.value("key", ""));
    const std::optional<std::string> value =
        DecodeBase64(pair.value("value", ""));
    std::optional<StoredTarget> stored;
    if (key.has_value() && value.has_value()) {
      stored = DecodeTarget(*value, ReadUint64(pair, "mod_revision"), reason);
    }
    if (stored.has_value() && ClassKey(stored->target.name) == *key) {
      read.targets.push_back(std::move(*stored));
    } else {
      read.malformed.push_back(key.value_or("(key is not base64)"));
    }
  }
  return read;
}

std::optional<StoredTarget> TargetStore::ReadOne(std::string_view name,
                                                 Error* reason) const {
  const json request = {{"key", EncodeBase64(ClassKey(name))}};
  const std::optional<json> reply =
      ParseReply(m_transport("/v3/kv/range", request.dump()), reason);
  if (!reply.has_value()) {
    return std::nullopt;
  }
  const json pairs = reply->value("kvs", json::array());
  if (pairs.empty()) {
    Fail(reason, ErrorKind::kNotFound, std::string(name));
    return std::nullopt;
  }
  const std::optional<std::string> value =
      DecodeBase64(pairs[0].value("value", ""));
  if (!value.has_value()) {
    Fail(reason, ErrorKind::kMalformedValue, "value of a target is not base64");
    return std::nullopt;
  }
  return DecodeTarget(*value, ReadUint64(pairs[0], "mod_revision"), reason);
}

ChangeResult TargetStore::Change(std::string_view name,
                                 const ChangeInfo& change_info,
                                 const TargetEdit& edit,
                                 Error* reason) const {
  const std::optional<StoredTarget> current = ReadOne(name, reason);
  if (!current.has_value()) {
    // Nothing has been written yet, so the change certainly has no effect.
    return {ChangeOutcome::kRefused, std::nullopt};
  }
  if (current->target.deleted) {
    Fail(reason, ErrorKind::kNotFound,
         std::string(name) + ": the class has been deleted");
    return {ChangeOutcome::kRefused, current};
  }
  StoredTarget next = *current;
  if (!edit(&next.target, reason)) {
    return {ChangeOutcome::kRefused, current};
  }
  AddHistory(change_info, &next);
  return SwapUntilResolved(next, current->target.revision, false, reason);
}

ChangeResult TargetStore::Create(const ClassTarget& target,
                                 const std::vector<IpAddress>& pool,
                                 const ChangeInfo& change_info,
                                 Error* reason) const {
  for (int attempt = 0; attempt < kMaxSwapAttempts; ++attempt) {
    Error read_error;
    const std::optional<StoredTarget> existing =
        ReadOne(target.name, &read_error);
    if (existing.has_value() && !existing->target.deleted) {
      const bool is_own_change =
          HistoryContains(*existing, change_info.change_id);
      Fail(reason, is_own_change ? ErrorKind::kNone : ErrorKind::kConflict,
           target.name + ": the class exists already");
      return {
          is_own_change ? ChangeOutcome::kAccepted : ChangeOutcome::kConflict,
          existing};
    }
    if (!existing.has_value() && read_error.kind != ErrorKind::kNotFound) {
      Fail(reason, read_error.kind, read_error.detail);
      return {attempt == 0 ? ChangeOutcome::kRefused : ChangeOutcome::kUnknown,
              std::nullopt};
    }
    const std::optional<std::vector<IpAddress>> reserved =
        ReadReservedAddresses(reason);
    if (!reserved.has_value()) {
      return {attempt == 0 ? ChangeOutcome::kRefused : ChangeOutcome::kUnknown,
              std::nullopt};
    }
    const auto free = std::find_if(
        pool.begin(), pool.end(), [&reserved](const IpAddress& address) {
          return std::find(reserved->begin(), reserved->end(), address) ==
                 reserved->end();
        });
    if (free == pool.end()) {
      Fail(reason, ErrorKind::kRefused, "all addresses of the pool are in use");
      return {ChangeOutcome::kRefused, std::nullopt};
    }
    StoredTarget next;
    next.target = target;
    next.target.address = *free;
    if (existing.has_value()) {
      next.history = existing->history;
    }
    AddHistory(change_info, &next);
    const uint64_t expected =
        existing.has_value() ? existing->target.revision : 0;
    ChangeResult result = SwapUntilResolved(next, expected, true, reason);
    // If a concurrent creation reserved only the address, the class name is
    // still free, and the next attempt takes another address.
    const bool only_address_taken =
        result.outcome == ChangeOutcome::kConflict &&
        !result.current.has_value();
    if (!only_address_taken) {
      return result;
    }
  }
  Fail(reason, ErrorKind::kConflict,
       "each address tried was reserved by a concurrent creation; try again");
  return {ChangeOutcome::kConflict, std::nullopt};
}

ChangeOutcome TargetStore::FindOutcome(std::string_view name,
                                       std::string_view change_id,
                                       Error* reason) const {
  const std::optional<StoredTarget> stored = ReadOne(name, reason);
  const bool found = stored.has_value() && HistoryContains(*stored, change_id);
  return found ? ChangeOutcome::kAccepted : ChangeOutcome::kUnknown;
}

ChangeResult TargetStore::SwapUntilResolved(const StoredTarget& next,
                                            uint64_t expected_revision,
                                            bool claim_address,
                                            Error* reason) const {
  const std::string& name = next.target.name;
  for (int attempt = 0; attempt < kMaxSwapAttempts; ++attempt) {
    const SwapOutcome swap_outcome =
        Swap(next, expected_revision, claim_address, reason);
    if (swap_outcome == SwapOutcome::kTooLarge) {
      return {ChangeOutcome::kRefused, std::nullopt};
    }
    if (swap_outcome == SwapOutcome::kNoAnswer) {
      continue;
    }
    Error read_error;
    const std::optional<StoredTarget> current = ReadOne(name, &read_error);
    if (swap_outcome == SwapOutcome::kSwapped) {
      return {ChangeOutcome::kAccepted, current};
    }
    if (!current.has_value()) {
      if (read_error.kind == ErrorKind::kNotFound) {
        Fail(reason, ErrorKind::kConflict,
             "the address was reserved by a concurrent creation");
        return {ChangeOutcome::kConflict, std::nullopt};
      }
      continue;
    }
    // The comparison also fails if an earlier attempt of this change took
    // effect but its answer was lost.
    if (HistoryContains(*current, next.target.change_id)) {
      return {ChangeOutcome::kAccepted, current};
    }
    Fail(reason, ErrorKind::kConflict,
         "the target was changed meanwhile by " + current->target.changed_by);
    return {ChangeOutcome::kConflict, current};
  }
  Fail(reason, ErrorKind::kUnknownOutcome,
       "change " + next.target.change_id + " may or may not have taken effect");
  return {ChangeOutcome::kUnknown, std::nullopt};
}

TargetStore::SwapOutcome TargetStore::Swap(const StoredTarget& next,
                                           uint64_t expected_revision,
                                           bool claim_address,
                                           Error* reason) const {
  const std::string value = EncodeTarget(next);
  if (value.size() > kMaxStoreValue) {
    Fail(reason, ErrorKind::kValueTooLarge,
         "encoded target and history exceed 1 MiB");
    return SwapOutcome::kTooLarge;
  }
  const std::string key = EncodeBase64(ClassKey(next.target.name));
  json compare =
      json::array({{{"key", key},
                    {"target", "MOD"},
                    {"result", "EQUAL"},
                    {"mod_revision", std::to_string(expected_revision)}}});
  json success = json::array(
      {{{"request_put", {{"key", key}, {"value", EncodeBase64(value)}}}}});
  if (claim_address) {
    const std::string address_key = EncodeBase64(std::string(kAddressPrefix) +
                                                 FormatIp(next.target.address));
    compare.push_back({{"key", address_key},
                       {"target", "MOD"},
                       {"result", "EQUAL"},
                       {"mod_revision", "0"}});
    success.push_back(
        {{"request_put",
          {{"key", address_key}, {"value", EncodeBase64(next.target.name)}}}});
  }
  const json request = {{"compare", compare}, {"success", success}};
  const std::optional<json> reply =
      ParseReply(m_transport("/v3/kv/txn", request.dump()), reason);
  if (!reply.has_value()) {
    return SwapOutcome::kNoAnswer;
  }
  return reply->value("succeeded", false) ? SwapOutcome::kSwapped
                                          : SwapOutcome::kCompareFailed;
}

std::optional<std::vector<IpAddress>> TargetStore::ReadReservedAddresses(
    Error* reason) const {
  const json request = {
      {"key", EncodeBase64(kAddressPrefix)},
      {"range_end", EncodeBase64(PrefixRangeEnd(kAddressPrefix))},
      {"keys_only", true}};
  const std::optional<json> reply =
      ParseReply(m_transport("/v3/kv/range", request.dump()), reason);
  if (!reply.has_value()) {
    return std::nullopt;
  }
  std::vector<IpAddress> reserved;
  for (const json& pair : reply->value("kvs", json::array())) {
    const std::optional<std::string> key = DecodeBase64(pair.value("key", ""));
    const std::optional<IpAddress> address =
        key.has_value() && key->size() > kAddressPrefix.size()
            ? ParseIpv4(std::string_view(*key).substr(kAddressPrefix.size()))
            : std::nullopt;
    if (address.has_value()) {
      reserved.push_back(*address);
    }
  }
  return reserved;
}

std::optional<std::vector<IpAddress>> ExpandPool(std::string_view text) {
  const size_t slash = text.find('/');
  const std::optional<IpAddress> base = ParseIpv4(text.substr(0, slash));
  if (!base.has_value()) {
    return std::nullopt;
  }
  if (slash == std::string_view::npos) {
    return std::vector<IpAddress>{*base};
  }
  const int prefix = std::atoi(std::string(text.substr(slash + 1)).c_str());
  if (prefix < 16 || prefix > 30) {
    return std::nullopt;
  }
  const uint32_t size = 1U << static_cast<unsigned>(32 - prefix);
  const uint32_t network = ToIpv4Value(*base) & ~(size - 1);
  std::vector<IpAddress> pool;
  for (uint32_t i = 1; i + 1 < size && pool.size() < kMaxPoolSize; ++i) {
    pool.push_back(ToMappedAddress(network + i));
  }
  return pool;
}

}  // namespace medlargauge

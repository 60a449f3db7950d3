// @file target_store.cc Compare-and-swap with an exact outcome.
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
constexpr int kSwapAttempts = 4;
constexpr size_t kMaxHistory = 20;
constexpr size_t kMaxPool = 65536;
constexpr int kHttpOk = 200;

std::string Encode(std::string_view bytes) {
  return absl::Base64Escape(absl::string_view(bytes.data(), bytes.size()));
}

std::optional<std::string> Decode(const std::string& text) {
  std::string bytes;
  if (!absl::Base64Unescape(text, &bytes)) {
    return std::nullopt;
  }
  return bytes;
}

/// The JSON form carries 64-bit numbers as strings.
uint64_t ToNumber(const json& object, const char* key) {
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

/// Returns the end of the range of keys that start with `prefix`.
std::string RangeEnd(std::string_view prefix) {
  std::string end(prefix);
  ++end.back();
  return end;
}

std::string KeyOf(std::string_view name) {
  return std::string(kClassPrefix) + std::string(name);
}

/// Parses an answer; nullopt with kStoreUnavailable if there is none.
std::optional<json> ParseReply(const StoreReply& reply, Error* reason) {
  if (!reply.answered || reply.status != kHttpOk) {
    Fail(reason, ErrorKind::kStoreUnavailable,
         reply.answered ? "status " + std::to_string(reply.status)
                        : "no answer");
    return std::nullopt;
  }
  json parsed = json::parse(reply.body, nullptr, false);
  if (parsed.is_discarded()) {
    Fail(reason, ErrorKind::kStoreUnavailable, "answer is not JSON");
    return std::nullopt;
  }
  return parsed;
}

/// Adds a change to the front of a history.
void AddHistory(const ChangeAuthor& author, StoredTarget* stored) {
  stored->target.change_id = author.change_id;
  stored->target.changed_by = author.changed_by;
  stored->history.insert(
      stored->history.begin(),
      {author.change_id, author.changed_by, author.changed_at, author.summary});
  if (stored->history.size() > kMaxHistory) {
    stored->history.resize(kMaxHistory);
  }
}

/// Returns whether the history shows a change.
bool HasChange(const StoredTarget& stored, std::string_view change_id) {
  return std::any_of(stored.history.begin(), stored.history.end(),
                     [change_id](const TargetChange& change) {
                       return change.change_id == change_id;
                     });
}

}  // namespace

TargetStore::TargetStore(StoreCall call) : m_call(std::move(call)) {}

std::optional<TargetsRead> TargetStore::Read(uint64_t min_revision,
                                             Error* reason) const {
  json request = {{"key", Encode(kClassPrefix)},
                  {"range_end", Encode(RangeEnd(kClassPrefix))}};
  if (min_revision > 0) {
    request["min_mod_revision"] = std::to_string(min_revision);
  }
  const std::optional<json> reply =
      ParseReply(m_call("/v3/kv/range", request.dump()), reason);
  if (!reply.has_value()) {
    return std::nullopt;
  }
  TargetsRead read;
  read.store_revision =
      ToNumber(reply->value("header", json::object()), "revision");
  for (const json& pair : reply->value("kvs", json::array())) {
    const std::optional<std::string> key = Decode(pair.value("key", ""));
    const std::optional<std::string> value = Decode(pair.value("value", ""));
    std::optional<StoredTarget> stored;
    if (key.has_value() && value.has_value()) {
      stored = DecodeTarget(*value, ToNumber(pair, "mod_revision"), reason);
    }
    if (stored.has_value() && KeyOf(stored->target.name) == *key) {
      read.targets.push_back(std::move(*stored));
    } else {
      read.malformed.push_back(key.value_or("(key)"));
    }
  }
  return read;
}

std::optional<StoredTarget> TargetStore::ReadOne(std::string_view name,
                                                 Error* reason) const {
  const json request = {{"key", Encode(KeyOf(name))}};
  const std::optional<json> reply =
      ParseReply(m_call("/v3/kv/range", request.dump()), reason);
  if (!reply.has_value()) {
    return std::nullopt;
  }
  const json pairs = reply->value("kvs", json::array());
  if (pairs.empty()) {
    Fail(reason, ErrorKind::kNotFound, std::string(name));
    return std::nullopt;
  }
  const std::optional<std::string> value = Decode(pairs[0].value("value", ""));
  if (!value.has_value()) {
    Fail(reason, ErrorKind::kMalformedValue, "base64");
    return std::nullopt;
  }
  return DecodeTarget(*value, ToNumber(pairs[0], "mod_revision"), reason);
}

ChangeResult TargetStore::Change(std::string_view name,
                                 const ChangeAuthor& author,
                                 const TargetEdit& edit,
                                 Error* reason) const {
  const std::optional<StoredTarget> current = ReadOne(name, reason);
  if (!current.has_value()) {
    // Nothing was written yet, so there is no doubt about the effect.
    return {ChangeOutcome::kRefused, std::nullopt};
  }
  if (current->target.deleted) {
    Fail(reason, ErrorKind::kNotFound, std::string(name) + " was deleted");
    return {ChangeOutcome::kRefused, current};
  }
  StoredTarget next = *current;
  if (!edit(&next.target, reason)) {
    return {ChangeOutcome::kRefused, current};
  }
  AddHistory(author, &next);
  return Settle(next, current->target.revision, false, reason);
}

ChangeResult TargetStore::Create(const ClassTarget& target,
                                 const std::vector<IpAddress>& pool,
                                 const ChangeAuthor& author,
                                 Error* reason) const {
  for (int attempt = 0; attempt < kSwapAttempts; ++attempt) {
    Error missing;
    const std::optional<StoredTarget> present = ReadOne(target.name, &missing);
    if (present.has_value() && !present->target.deleted) {
      const bool own = HasChange(*present, author.change_id);
      Fail(reason, own ? ErrorKind::kNone : ErrorKind::kConflict,
           target.name + " exists");
      return {own ? ChangeOutcome::kAccepted : ChangeOutcome::kConflict,
              present};
    }
    if (!present.has_value() && missing.kind != ErrorKind::kNotFound) {
      Fail(reason, missing.kind, missing.detail);
      return {attempt == 0 ? ChangeOutcome::kRefused : ChangeOutcome::kUnknown,
              std::nullopt};
    }
    const std::optional<std::vector<IpAddress>> used = UsedAddresses(reason);
    if (!used.has_value()) {
      return {attempt == 0 ? ChangeOutcome::kRefused : ChangeOutcome::kUnknown,
              std::nullopt};
    }
    const auto free = std::find_if(
        pool.begin(), pool.end(), [&used](const IpAddress& address) {
          return std::find(used->begin(), used->end(), address) == used->end();
        });
    if (free == pool.end()) {
      Fail(reason, ErrorKind::kRefused, "no free address in the pool");
      return {ChangeOutcome::kRefused, std::nullopt};
    }
    StoredTarget next;
    next.target = target;
    next.target.address = *free;
    if (present.has_value()) {
      next.history = present->history;
    }
    AddHistory(author, &next);
    const uint64_t expected =
        present.has_value() ? present->target.revision : 0;
    ChangeResult result = Settle(next, expected, true, reason);
    // Somebody may have taken the address only; then another one is tried.
    const bool name_free = result.outcome == ChangeOutcome::kConflict &&
                           !result.current.has_value();
    if (!name_free) {
      return result;
    }
  }
  Fail(reason, ErrorKind::kConflict, "addresses are being taken by others");
  return {ChangeOutcome::kConflict, std::nullopt};
}

ChangeOutcome TargetStore::FindOutcome(std::string_view name,
                                       std::string_view change_id,
                                       Error* reason) const {
  const std::optional<StoredTarget> stored = ReadOne(name, reason);
  const bool found = stored.has_value() && HasChange(*stored, change_id);
  return found ? ChangeOutcome::kAccepted : ChangeOutcome::kUnknown;
}

ChangeResult TargetStore::Settle(const StoredTarget& next,
                                 uint64_t expected_revision,
                                 bool claim_address,
                                 Error* reason) const {
  const std::string& name = next.target.name;
  for (int attempt = 0; attempt < kSwapAttempts; ++attempt) {
    const SwapOutcome swapped =
        Swap(next, expected_revision, claim_address, reason);
    if (swapped == SwapOutcome::kBad) {
      return {ChangeOutcome::kRefused, std::nullopt};
    }
    if (swapped == SwapOutcome::kNoAnswer) {
      continue;
    }
    Error read_reason;
    const std::optional<StoredTarget> current = ReadOne(name, &read_reason);
    if (swapped == SwapOutcome::kSwapped) {
      return {ChangeOutcome::kAccepted, current};
    }
    if (!current.has_value()) {
      if (read_reason.kind == ErrorKind::kNotFound) {
        Fail(reason, ErrorKind::kConflict, "address taken");
        return {ChangeOutcome::kConflict, std::nullopt};
      }
      continue;
    }
    // The swap differs also if an earlier attempt took effect unanswered.
    if (HasChange(*current, next.target.change_id)) {
      return {ChangeOutcome::kAccepted, current};
    }
    Fail(reason, ErrorKind::kConflict,
         "changed by " + current->target.changed_by);
    return {ChangeOutcome::kConflict, current};
  }
  Fail(reason, ErrorKind::kUnknownOutcome,
       "change " + next.target.change_id + " may or may not be in force");
  return {ChangeOutcome::kUnknown, std::nullopt};
}

TargetStore::SwapOutcome TargetStore::Swap(const StoredTarget& next,
                                           uint64_t expected_revision,
                                           bool claim_address,
                                           Error* reason) const {
  const std::string value = EncodeTarget(next);
  if (value.size() > kMaxStoreValue) {
    Fail(reason, ErrorKind::kValueTooLarge, "target");
    return SwapOutcome::kBad;
  }
  const std::string key = Encode(KeyOf(next.target.name));
  json compare =
      json::array({{{"key", key},
                    {"target", "MOD"},
                    {"result", "EQUAL"},
                    {"mod_revision", std::to_string(expected_revision)}}});
  json success = json::array(
      {{{"request_put", {{"key", key}, {"value", Encode(value)}}}}});
  if (claim_address) {
    const std::string address_key =
        Encode(std::string(kAddressPrefix) + FormatIp(next.target.address));
    compare.push_back({{"key", address_key},
                       {"target", "MOD"},
                       {"result", "EQUAL"},
                       {"mod_revision", "0"}});
    success.push_back(
        {{"request_put",
          {{"key", address_key}, {"value", Encode(next.target.name)}}}});
  }
  const json request = {{"compare", compare}, {"success", success}};
  const std::optional<json> reply =
      ParseReply(m_call("/v3/kv/txn", request.dump()), reason);
  if (!reply.has_value()) {
    return SwapOutcome::kNoAnswer;
  }
  return reply->value("succeeded", false) ? SwapOutcome::kSwapped
                                          : SwapOutcome::kDiffers;
}

std::optional<std::vector<IpAddress>> TargetStore::UsedAddresses(
    Error* reason) const {
  const json request = {{"key", Encode(kAddressPrefix)},
                        {"range_end", Encode(RangeEnd(kAddressPrefix))},
                        {"keys_only", true}};
  const std::optional<json> reply =
      ParseReply(m_call("/v3/kv/range", request.dump()), reason);
  if (!reply.has_value()) {
    return std::nullopt;
  }
  std::vector<IpAddress> used;
  for (const json& pair : reply->value("kvs", json::array())) {
    const std::optional<std::string> key = Decode(pair.value("key", ""));
    const std::optional<IpAddress> address =
        key.has_value() && key->size() > kAddressPrefix.size()
            ? ParseIpv4(std::string_view(*key).substr(kAddressPrefix.size()))
            : std::nullopt;
    if (address.has_value()) {
      used.push_back(*address);
    }
  }
  return used;
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
  for (uint32_t i = 1; i + 1 < size && pool.size() < kMaxPool; ++i) {
    pool.push_back(ToMappedAddress(network + i));
  }
  return pool;
}

}  // namespace medlargauge

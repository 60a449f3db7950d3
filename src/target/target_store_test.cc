// @file target_store_test.cc Tests of target changes, also under store faults.
#include <absl/strings/escaping.h>
#include <doctest/doctest.h>

#include <map>
#include <nlohmann/json.hpp>

#include "src/packet/packet.h"
#include "src/target/target_store.h"
#include "src/target/target_table.h"

namespace medlargauge {
namespace {

using nlohmann::json;

/// In-memory key-value service that can lose requests and answers.
class FakeStore {
 public:
  /// Returns a transport to this store, which must outlive it.
  StoreTransport Transport() {
    return [this](std::string_view path, const std::string& request) {
      return HandleRequest(path, json::parse(request));
    };
  }

  int lose_answers = 0;   ///< Next writes that take effect without an answer.
  int lose_requests = 0;  ///< Next calls that do not reach the store.
  int calls = 0;          ///< Calls of any kind.
  std::function<void()> before_write;  ///< Runs once, before the next write.
  /// Value and revision by key.
  std::map<std::string, std::pair<std::string, int>> values;

 private:
  StoreReply HandleRequest(std::string_view path, const json& request) {
    ++calls;
    if (lose_requests > 0) {
      --lose_requests;
      return {};
    }
    StoreReply reply{true, 200, ""};
    if (path == "/v3/kv/range") {
      reply.body = ReadRange(request).dump();
      return reply;
    }
    if (before_write) {
      const std::function<void()> callback = before_write;
      before_write = nullptr;
      callback();
    }
    reply.body = CommitTransaction(request).dump();
    if (lose_answers > 0) {
      --lose_answers;
      return {};
    }
    return reply;
  }

  static std::string DecodeField(const json& object, const char* key) {
    std::string bytes;
    absl::Base64Unescape(object.value(key, ""), &bytes);
    return bytes;
  }

  json ReadRange(const json& request) {
    const std::string key = DecodeField(request, "key");
    const std::string end = DecodeField(request, "range_end");
    json pairs = json::array();
    for (const auto& [name, value] : values) {
      const bool in_range =
          end.empty() ? name == key : name >= key && name < end;
      if (in_range) {
        pairs.push_back({{"key", absl::Base64Escape(name)},
                         {"value", absl::Base64Escape(value.first)},
                         {"mod_revision", std::to_string(value.second)}});
      }
    }
    return {{"header", {{"revision", std::to_string(m_revision)}}},
            {"kvs", pairs}};
  }

  json CommitTransaction(const json& request) {
    for (const json& compare : request["compare"]) {
      const auto found = values.find(DecodeField(compare, "key"));
      const int current_revision =
          found == values.end() ? 0 : found->second.second;
      if (std::to_string(current_revision) !=
          compare["mod_revision"].get<std::string>()) {
        return {{"succeeded", false}};
      }
    }
    ++m_revision;
    for (const json& operation : request["success"]) {
      const json& put = operation["request_put"];
      values[DecodeField(put, "key")] = {DecodeField(put, "value"), m_revision};
    }
    return {{"succeeded", true}};
  }

  int m_revision = 1;  ///< Revision of the whole store.
};

ChangeInfo MakeChangeInfo(const std::string& id) {
  return {id, "operator-" + id, "2026-01-01T00:00:00Z", "test"};
}

ClassTarget MakeTarget(const std::string& name) {
  ClassTarget target;
  target.name = name;
  target.service = "stock";
  return target;
}

TargetEdit SetShare(uint32_t share) {
  return [share](ClassTarget* target, Error*) {
    target->trial_share = share;
    return true;
  };
}

ChangeResult CreateStockClass(const TargetStore& store) {
  Error reason;
  return store.Create(MakeTarget("stock"), *ExpandPool("203.0.113.0/29"),
                      MakeChangeInfo("create"), &reason);
}

}  // namespace

TEST_CASE("a change is accepted if only the answer to its write is lost") {
  FakeStore fake_store;
  const TargetStore store(fake_store.Transport());
  REQUIRE(CreateStockClass(store).outcome == ChangeOutcome::kAccepted);
  fake_store.lose_answers = 1;
  Error reason;
  const ChangeResult result =
      store.Change("stock", MakeChangeInfo("a"), SetShare(500), &reason);
  CHECK(result.outcome == ChangeOutcome::kAccepted);
  CHECK(result.current->target.trial_share == 500);
}

TEST_CASE("a change without any answer is unknown and can be looked up later") {
  FakeStore fake_store;
  const TargetStore store(fake_store.Transport());
  CreateStockClass(store);
  fake_store.lose_answers = 100;
  Error reason;
  const ChangeResult result =
      store.Change("stock", MakeChangeInfo("a"), SetShare(500), &reason);
  CHECK(result.outcome == ChangeOutcome::kUnknown);
  CHECK(reason.kind == ErrorKind::kUnknownOutcome);
  fake_store.lose_answers = 0;
  CHECK(store.FindOutcome("stock", "a", &reason) == ChangeOutcome::kAccepted);
  CHECK(store.FindOutcome("stock", "b", &reason) == ChangeOutcome::kUnknown);
}

TEST_CASE(
    "the later of two concurrent changes gets a conflict and the value in "
    "force") {
  FakeStore fake_store;
  const TargetStore store(fake_store.Transport());
  CreateStockClass(store);
  fake_store.before_write = [&store] {
    Error reason;
    store.Change("stock", MakeChangeInfo("winner"), SetShare(700), &reason);
  };
  Error reason;
  const ChangeResult result =
      store.Change("stock", MakeChangeInfo("loser"), SetShare(100), &reason);
  CHECK(result.outcome == ChangeOutcome::kConflict);
  CHECK(result.current->target.trial_share == 700);
  CHECK(result.current->target.changed_by == "operator-winner");
}

TEST_CASE(
    "a change is accepted if its answer is lost and another one follows") {
  FakeStore fake_store;
  const TargetStore store(fake_store.Transport());
  CreateStockClass(store);
  fake_store.lose_answers = 1;
  int writes = 0;
  fake_store.before_write = [&] {
    // Another operator's change lands before the swap is repeated, so that its
    // comparison fails although the first attempt took effect.
    fake_store.before_write = [&] {
      ++writes;
      Error other;
      store.Change("stock", MakeChangeInfo("second"), SetShare(900), &other);
    };
  };
  Error reason;
  const ChangeResult result =
      store.Change("stock", MakeChangeInfo("first"), SetShare(500), &reason);
  CHECK(writes == 1);
  CHECK(result.outcome == ChangeOutcome::kAccepted);
  CHECK(result.current->target.trial_share == 900);
}

TEST_CASE("classes that are created concurrently get different addresses") {
  FakeStore fake_store;
  const TargetStore store(fake_store.Transport());
  fake_store.before_write = [&store] {
    Error reason;
    store.Create(MakeTarget("photos"), *ExpandPool("203.0.113.0/29"),
                 MakeChangeInfo("other"), &reason);
  };
  REQUIRE(CreateStockClass(store).outcome == ChangeOutcome::kAccepted);
  Error reason;
  const auto read = store.Read(0, &reason);
  REQUIRE(read->targets.size() == 2);
  CHECK_FALSE(read->targets[0].target.address ==
              read->targets[1].target.address);
}

TEST_CASE("an existing class is a conflict and an empty pool is a refusal") {
  FakeStore fake_store;
  const TargetStore store(fake_store.Transport());
  CreateStockClass(store);
  Error reason;
  CHECK(store
            .Create(MakeTarget("stock"), *ExpandPool("203.0.113.0/29"),
                    MakeChangeInfo("again"), &reason)
            .outcome == ChangeOutcome::kConflict);
  CHECK(store.Create(MakeTarget("more"), {}, MakeChangeInfo("x"), &reason)
            .outcome == ChangeOutcome::kRefused);
}

TEST_CASE("a change is refused if the store cannot be read first") {
  FakeStore fake_store;
  const TargetStore store(fake_store.Transport());
  CreateStockClass(store);
  fake_store.lose_requests = 100;
  Error reason;
  CHECK(store.Change("stock", MakeChangeInfo("a"), SetShare(1), &reason)
            .outcome == ChangeOutcome::kRefused);
  CHECK(reason.kind == ErrorKind::kStoreUnavailable);
}

TEST_CASE("malformed and oversized values are reported, all others are read") {
  FakeStore fake_store;
  const TargetStore store(fake_store.Transport());
  CreateStockClass(store);
  fake_store.values["medlargauge/class/bad"] = {"not json", 9};
  fake_store.values["medlargauge/class/big"] = {
      std::string(kMaxStoreValue + 1, 'x'), 10};
  Error reason;
  const auto read = store.Read(0, &reason);
  REQUIRE(read.has_value());
  CHECK(read->targets.size() == 1);
  CHECK(read->malformed.size() == 2);
  CHECK_FALSE(store.ReadOne("big", &reason).has_value());
  CHECK(reason.kind == ErrorKind::kValueTooLarge);
}

TEST_CASE("merging targets in any order keeps the highest revision") {
  ClassTarget old_target = MakeTarget("stock");
  old_target.revision = 3;
  ClassTarget new_target = old_target;
  new_target.revision = 8;
  new_target.trial_share = 100;
  TargetTable targets;
  CHECK(targets.Merge(new_target));
  CHECK_FALSE(targets.Merge(old_target));
  CHECK_FALSE(targets.Merge(new_target));
  CHECK(targets.Find("stock")->trial_share == 100);
}

TEST_CASE("shares are parsed from percentages and fractions, and formatted") {
  CHECK(ParseShare("5%") == 500);
  CHECK(ParseShare("0.5%") == 50);
  CHECK(ParseShare("0.05") == 500);
  CHECK(ParseShare("1") == 10000);
  CHECK_FALSE(ParseShare("101%").has_value());
  CHECK_FALSE(ParseShare("-1%").has_value());
  CHECK_FALSE(ParseShare("many").has_value());
  CHECK(FormatShare(50) == "0.50%");
  CHECK(FormatShare(500) == "5%");
}

TEST_CASE("a target is unchanged after encoding and decoding as gossip item") {
  ClassTarget target = MakeTarget("stock");
  target.address = *ParseIpv4("203.0.113.9");
  target.trial = "v2";
  target.trial_share = 123;
  target.revision = 77;
  const auto decoded = ItemToTarget(TargetToItem(target));
  REQUIRE(decoded.has_value());
  CHECK(decoded->trial_share == 123);
  CHECK(decoded->address == target.address);
  proto::GossipItem malformed_item = TargetToItem(target);
  malformed_item.set_value("\xFF\xFF");
  CHECK_FALSE(ItemToTarget(malformed_item).has_value());
}

}  // namespace medlargauge

// @file target_store_test.cc Outcomes of changes under faults of the store.
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

/// A key-value service in memory whose answers can be lost.
class FakeStore {
 public:
  StoreCall Hook() {
    return [this](std::string_view path, const std::string& body) {
      return Answer(path, json::parse(body));
    };
  }

  int lose_answers = 0;                ///< Writes that take effect unanswered.
  int lose_requests = 0;               ///< Calls that never arrive.
  int calls = 0;                       ///< Calls of any kind.
  std::function<void()> before_write;  ///< Runs once, between read and write.
  std::map<std::string, std::pair<std::string, int>>
      values;  ///< With revision.

 private:
  StoreReply Answer(std::string_view path, const json& body) {
    ++calls;
    if (lose_requests > 0) {
      --lose_requests;
      return {};
    }
    StoreReply reply{true, 200, ""};
    if (path == "/v3/kv/range") {
      reply.body = Range(body).dump();
      return reply;
    }
    if (before_write) {
      const std::function<void()> hook = before_write;
      before_write = nullptr;
      hook();
    }
    reply.body = Transaction(body).dump();
    if (lose_answers > 0) {
      --lose_answers;
      return {};
    }
    return reply;
  }

  static std::string Raw(const json& object, const char* key) {
    std::string bytes;
    absl::Base64Unescape(object.value(key, ""), &bytes);
    return bytes;
  }

  json Range(const json& body) {
    const std::string key = Raw(body, "key");
    const std::string end = Raw(body, "range_end");
    json pairs = json::array();
    for (const auto& [name, value] : values) {
      const bool inside = end.empty() ? name == key : name >= key && name < end;
      if (inside) {
        pairs.push_back({{"key", absl::Base64Escape(name)},
                         {"value", absl::Base64Escape(value.first)},
                         {"mod_revision", std::to_string(value.second)}});
      }
    }
    return {{"header", {{"revision", std::to_string(m_revision)}}},
            {"kvs", pairs}};
  }

  json Transaction(const json& body) {
    for (const json& compare : body["compare"]) {
      const auto found = values.find(Raw(compare, "key"));
      const int present = found == values.end() ? 0 : found->second.second;
      if (std::to_string(present) !=
          compare["mod_revision"].get<std::string>()) {
        return {{"succeeded", false}};
      }
    }
    ++m_revision;
    for (const json& operation : body["success"]) {
      const json& put = operation["request_put"];
      values[Raw(put, "key")] = {Raw(put, "value"), m_revision};
    }
    return {{"succeeded", true}};
  }

  int m_revision = 1;  ///< Of the whole store.
};

ChangeAuthor Author(const std::string& id) {
  return {id, "operator-" + id, "2026-01-01T00:00:00Z", "test"};
}

ClassTarget Example(const std::string& name) {
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

ChangeResult CreateStock(const TargetStore& store) {
  Error reason;
  return store.Create(Example("stock"), *ExpandPool("203.0.113.0/29"),
                      Author("create"), &reason);
}

}  // namespace

TEST_CASE("a change whose answer is lost after the write is accepted") {
  FakeStore fake;
  const TargetStore store(fake.Hook());
  REQUIRE(CreateStock(store).outcome == ChangeOutcome::kAccepted);
  fake.lose_answers = 1;
  Error reason;
  const ChangeResult result =
      store.Change("stock", Author("a"), SetShare(500), &reason);
  CHECK(result.outcome == ChangeOutcome::kAccepted);
  CHECK(result.current->target.trial_share == 500);
}

TEST_CASE("a change without any answer is unknown, and can be found later") {
  FakeStore fake;
  const TargetStore store(fake.Hook());
  CreateStock(store);
  fake.lose_answers = 100;
  Error reason;
  const ChangeResult result =
      store.Change("stock", Author("a"), SetShare(500), &reason);
  CHECK(result.outcome == ChangeOutcome::kUnknown);
  CHECK(reason.kind == ErrorKind::kUnknownOutcome);
  fake.lose_answers = 0;
  CHECK(store.FindOutcome("stock", "a", &reason) == ChangeOutcome::kAccepted);
  CHECK(store.FindOutcome("stock", "b", &reason) == ChangeOutcome::kUnknown);
}

TEST_CASE("of two operators one wins and the other sees the winner's value") {
  FakeStore fake;
  const TargetStore store(fake.Hook());
  CreateStock(store);
  fake.before_write = [&store] {
    Error reason;
    store.Change("stock", Author("winner"), SetShare(700), &reason);
  };
  Error reason;
  const ChangeResult result =
      store.Change("stock", Author("loser"), SetShare(100), &reason);
  CHECK(result.outcome == ChangeOutcome::kConflict);
  CHECK(result.current->target.trial_share == 700);
  CHECK(result.current->target.changed_by == "operator-winner");
}

TEST_CASE("a lost answer followed by another change is still accepted") {
  FakeStore fake;
  const TargetStore store(fake.Hook());
  CreateStock(store);
  fake.lose_answers = 1;
  int writes = 0;
  fake.before_write = [&] {
    // The repeated swap finds another operator's change on top of its own.
    fake.before_write = [&] {
      ++writes;
      Error other;
      store.Change("stock", Author("second"), SetShare(900), &other);
    };
  };
  Error reason;
  const ChangeResult result =
      store.Change("stock", Author("first"), SetShare(500), &reason);
  CHECK(writes == 1);
  CHECK(result.outcome == ChangeOutcome::kAccepted);
  CHECK(result.current->target.trial_share == 900);
}

TEST_CASE("two tools that create classes at once never share an address") {
  FakeStore fake;
  const TargetStore store(fake.Hook());
  fake.before_write = [&store] {
    Error reason;
    store.Create(Example("photos"), *ExpandPool("203.0.113.0/29"),
                 Author("other"), &reason);
  };
  REQUIRE(CreateStock(store).outcome == ChangeOutcome::kAccepted);
  Error reason;
  const auto read = store.Read(0, &reason);
  REQUIRE(read->targets.size() == 2);
  CHECK_FALSE(read->targets[0].target.address ==
              read->targets[1].target.address);
}

TEST_CASE("creating a class twice is a conflict, an empty pool a refusal") {
  FakeStore fake;
  const TargetStore store(fake.Hook());
  CreateStock(store);
  Error reason;
  CHECK(store
            .Create(Example("stock"), *ExpandPool("203.0.113.0/29"),
                    Author("again"), &reason)
            .outcome == ChangeOutcome::kConflict);
  CHECK(store.Create(Example("more"), {}, Author("x"), &reason).outcome ==
        ChangeOutcome::kRefused);
}

TEST_CASE("a store that is away refuses before anything is written") {
  FakeStore fake;
  const TargetStore store(fake.Hook());
  CreateStock(store);
  fake.lose_requests = 100;
  Error reason;
  CHECK(store.Change("stock", Author("a"), SetShare(1), &reason).outcome ==
        ChangeOutcome::kRefused);
  CHECK(reason.kind == ErrorKind::kStoreUnavailable);
}

TEST_CASE("malformed and oversized values are refused, others are read") {
  FakeStore fake;
  const TargetStore store(fake.Hook());
  CreateStock(store);
  fake.values["medlargauge/class/bad"] = {"not json", 9};
  fake.values["medlargauge/class/big"] = {std::string(kMaxStoreValue + 1, 'x'),
                                          10};
  Error reason;
  const auto read = store.Read(0, &reason);
  REQUIRE(read.has_value());
  CHECK(read->targets.size() == 1);
  CHECK(read->malformed.size() == 2);
  CHECK_FALSE(store.ReadOne("big", &reason).has_value());
  CHECK(reason.kind == ErrorKind::kValueTooLarge);
}

TEST_CASE("targets merge in any order and never revert") {
  ClassTarget old_target = Example("stock");
  old_target.revision = 3;
  ClassTarget new_target = old_target;
  new_target.revision = 8;
  new_target.trial_share = 100;
  TargetTable book;
  CHECK(book.Merge(new_target));
  CHECK_FALSE(book.Merge(old_target));
  CHECK_FALSE(book.Merge(new_target));
  CHECK(book.Find("stock")->trial_share == 100);
}

TEST_CASE("shares are parsed as people write them") {
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

TEST_CASE("a target survives gossip") {
  ClassTarget target = Example("stock");
  target.address = *ParseIpv4("203.0.113.9");
  target.trial = "v2";
  target.trial_share = 123;
  target.revision = 77;
  const auto back = ItemToTarget(TargetToItem(target));
  REQUIRE(back.has_value());
  CHECK(back->trial_share == 123);
  CHECK(back->address == target.address);
  proto::GossipItem broken = TargetToItem(target);
  broken.set_value("\xFF\xFF");
  CHECK_FALSE(ItemToTarget(broken).has_value());
}

}  // namespace medlargauge

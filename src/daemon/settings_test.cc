// @file settings_test.cc Settings are refused with file, key and reason.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "src/daemon/handover_codec.h"
#include "src/daemon/settings.h"
#include "src/daemon/store_reader.h"

namespace medlargauge {
namespace {

constexpr const char* kGood = R"({
  // A comment.
  "name": "balancer-1", "role": "balancer", "failure_domain": "recife",
  "data_address": "127.0.0.1:6080", "control_address": "127.0.0.1:7400",
  "admin_address": "127.0.0.1:7401"
})";

std::string Refusal(const std::string& from, const std::string& to) {
  std::string text = kGood;
  text.replace(text.find(from), from.size(), to);
  Error reason;
  CHECK_FALSE(ParseSettings(text, "file.json", &reason).has_value());
  CHECK(reason.kind == ErrorKind::kBadSettings);
  return reason.detail;
}

}  // namespace

TEST_CASE("good settings are read, with comments and defaults") {
  Error reason;
  const auto settings = ParseSettings(kGood, "file.json", &reason);
  REQUIRE(settings.has_value());
  CHECK(settings->name == "balancer-1");
  CHECK(settings->heartbeat_ms == 500);
}

TEST_CASE("each kind of fault names file, key and reason") {
  CHECK(Refusal("\"name\"", "\"nmae\"").find("file.json: ") == 0);
  CHECK(Refusal("\"balancer\",", "\"router\",").find("role") !=
        std::string::npos);
  CHECK(Refusal("\"recife\"", "7").find("failure_domain: must be a string") !=
        std::string::npos);
  CHECK(Refusal("127.0.0.1:6080", "localhost").find("data_address") !=
        std::string::npos);
  CHECK(Refusal("\"failure_domain\"", "\"capacity\": 0, \"failure_domain\"")
            .find("capacity: must be between") != std::string::npos);
  CHECK(Refusal("\"failure_domain\"", "\"speed\": 1, \"failure_domain\"")
            .find("speed: is not a setting") != std::string::npos);
  CHECK(Refusal("\"failure_domain\"",
                "\"heartbeat_ms\": 2000, \"failure_domain\"")
            .find("removal_ms") != std::string::npos);
}

TEST_CASE("all example settings are valid") {
  size_t files = 0;
  const std::string folder = std::string(SOURCE_DIR) + "/examples";
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(folder)) {
    if (entry.path().extension() != ".json" ||
        entry.path().filename() == "ctl.json") {
      continue;
    }
    Error reason;
    INFO(reason.detail);
    CHECK(LoadSettings(entry.path().string(), &reason).has_value());
    ++files;
  }
  CHECK(files == 27);
}

TEST_CASE("the page of settings is the one made from the table") {
  std::ifstream file(std::string(SOURCE_DIR) + "/docs/SETTINGS.md");
  std::ostringstream text;
  text << file.rdbuf();
  CHECK(text.str() == DescribeSettings());
}

TEST_CASE("reads back off, up to a limit, and not all readers alike") {
  CHECK(ReadBackoff(Milliseconds(500), 0, 1) == Milliseconds(500));
  CHECK(ReadBackoff(Milliseconds(500), 20, 1) <= Seconds(5));
  CHECK(ReadBackoff(Milliseconds(500), 20, 1) >= Milliseconds(2500));
  CHECK(ReadBackoff(Milliseconds(500), 5, 1) !=
        ReadBackoff(Milliseconds(500), 5, 2));
}

TEST_CASE("a hand-over keeps flows, owners and remaining times") {
  AgentSnapshot state;
  state.peers.resize(2);
  state.peers[1].facts.id.value = 42;
  FlowEntry entry;
  entry.flow = FlowId{1, 2};
  entry.class_id.value = 3;
  entry.owner.value = 1;
  entry.state = FlowState::kPointer;
  const TimePoint then(Seconds(100));
  entry.expires = ToFlowDeadline(then + Seconds(30));
  state.flows = {entry};
  const TimePoint now(Seconds(5000));
  Error reason;
  const auto back = DecodeHandover(EncodeHandover(state, then), now, &reason);
  REQUIRE(back.has_value());
  REQUIRE(back->flows.size() == 1);
  CHECK(back->peers[1].facts.id.value == 42);
  CHECK(back->flows[0].flow == entry.flow);
  CHECK(back->flows[0].expires.ticks ==
        ToFlowDeadline(now + Seconds(30)).ticks);
  CHECK_FALSE(DecodeHandover("\xFF", now, &reason).has_value());
}

}  // namespace medlargauge

// @file settings_test.cc Tests of settings, back-off and hand-over codec.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "src/daemon/handover_codec.h"
#include "src/daemon/settings.h"
#include "src/daemon/store_reader.h"

namespace medlargauge {
namespace {

constexpr const char* kValidSettings = R"({
  // A comment.
  "name": "balancer-1", "role": "balancer", "failure_domain": "recife",
  "data_address": "127.0.0.1:6080", "control_address": "127.0.0.1:7400",
  "admin_address": "127.0.0.1:7401"
})";

/// Replaces text in valid settings, checks that they are rejected and returns
/// the error message.
std::string ParseWithFault(const std::string& original,
                           const std::string& replacement) {
  std::string text = kValidSettings;
  text.replace(text.find(original), original.size(), replacement);
  Error reason;
  CHECK_FALSE(ParseSettings(text, "file.json", &reason).has_value());
  CHECK(reason.kind == ErrorKind::kBadSettings);
  return reason.detail;
}

}  // namespace

TEST_CASE("valid settings with comments are parsed, with defaults") {
  Error reason;
  const auto settings = ParseSettings(kValidSettings, "file.json", &reason);
  REQUIRE(settings.has_value());
  CHECK(settings->name == "balancer-1");
  CHECK(settings->targets_in_force_ms == 3000);
  CHECK(settings->heartbeat_ms == 500);
}

TEST_CASE("the error for each kind of fault names file, key and rule") {
  CHECK(ParseWithFault("\"name\"", "\"nmae\"").find("file.json: ") == 0);
  CHECK(ParseWithFault("\"balancer\",", "\"router\",").find("role") !=
        std::string::npos);
  CHECK(ParseWithFault("\"recife\"", "7")
            .find("failure_domain: must be a string") != std::string::npos);
  CHECK(ParseWithFault("127.0.0.1:6080", "localhost").find("data_address") !=
        std::string::npos);
  CHECK(ParseWithFault("\"failure_domain\"",
                       "\"capacity\": 0, \"failure_domain\"")
            .find("capacity: must be between") != std::string::npos);
  CHECK(ParseWithFault("\"failure_domain\"", "\"speed\": 1, \"failure_domain\"")
            .find("speed: is not a setting") != std::string::npos);
  CHECK(ParseWithFault("\"failure_domain\"",
                       "\"placement\": \"best\", \"failure_domain\"")
            .find("placement: must be") != std::string::npos);
  CHECK(ParseWithFault("\"failure_domain\"",
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

TEST_CASE("docs/SETTINGS.md matches the table of settings") {
  std::ifstream file(std::string(SOURCE_DIR) + "/docs/SETTINGS.md");
  std::ostringstream text;
  text << file.rdbuf();
  CHECK(text.str() == DescribeSettings());
}

TEST_CASE("failed reads back off up to a limit, with jitter between readers") {
  CHECK(ReadBackoff(Milliseconds(500), 0, 1) == Milliseconds(500));
  CHECK(ReadBackoff(Milliseconds(500), 20, 1) <= Seconds(5));
  CHECK(ReadBackoff(Milliseconds(500), 20, 1) >= Milliseconds(2500));
  CHECK(ReadBackoff(Milliseconds(500), 5, 1) !=
        ReadBackoff(Milliseconds(500), 5, 2));
}

TEST_CASE("a hand-over keeps flows, owners and remaining lifetimes") {
  AgentSnapshot state;
  state.peers.resize(2);
  state.peers[1].facts.id.value = 42;
  FlowEntry entry;
  entry.flow = FlowId{1, 2};
  entry.class_id.value = 3;
  entry.owner.value = 1;
  entry.state = FlowState::kPointer;
  const TimePoint encode_time(Seconds(100));
  entry.expires = ToFlowDeadline(encode_time + Seconds(30));
  state.flows = {entry};
  const TimePoint decode_time(Seconds(5000));
  Error reason;
  const auto decoded =
      DecodeHandover(EncodeHandover(state, encode_time), decode_time, &reason);
  REQUIRE(decoded.has_value());
  REQUIRE(decoded->flows.size() == 1);
  CHECK(decoded->peers[1].facts.id.value == 42);
  CHECK(decoded->flows[0].flow == entry.flow);
  CHECK(decoded->flows[0].expires.ticks ==
        ToFlowDeadline(decode_time + Seconds(30)).ticks);
  CHECK_FALSE(DecodeHandover("\xFF", decode_time, &reason).has_value());
}

}  // namespace medlargauge

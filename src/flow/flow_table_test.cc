// @file flow_table_test.cc Tests of the flow table.
#include <doctest/doctest.h>

#include <map>
#include <pcg_random.hpp>

#include "src/flow/flow_table.h"

namespace medlargauge {

TEST_CASE("the table agrees with a plain map under random work") {
  pcg32 random(7);
  FlowTable table;
  std::map<FlowId, uint32_t> model;
  for (uint32_t i = 1; i < 50000; ++i) {
    const FlowId flow{random(500), 1 + random(4)};
    if (random(3) == 0) {
      table.Erase(flow);
      model.erase(flow);
    } else {
      table.Insert(flow).initial_sequence = i;
      model[flow] = i;
    }
  }
  CHECK(table.Size() == model.size());
  for (const auto& [flow, value] : model) {
    REQUIRE(table.Find(flow) != nullptr);
    CHECK(table.Find(flow)->initial_sequence == value);
  }
}

TEST_CASE("a sweep removes what has expired and nothing else") {
  FlowTable table;
  for (uint32_t i = 1; i <= 1000; ++i) {
    table.Insert(FlowId{i, i}).expires = FlowDeadline{i};
  }
  size_t expired = 0;
  table.Sweep(FlowDeadline{501}, 100000,
              [&expired](const FlowEntry&) { ++expired; });
  CHECK(expired == 500);
  CHECK(table.Size() == 500);
  CHECK(table.Find(FlowId{500, 500}) == nullptr);
  CHECK(table.Find(FlowId{501, 501}) != nullptr);
}

TEST_CASE("400,000 flows take at most 64 bytes each") {
  pcg64 random(3);
  FlowTable table;
  for (int i = 0; i < 400000; ++i) {
    table.Insert(FlowId{random(), random() | 1U});
  }
  CHECK(table.MemoryBytes() / table.Size() <= 64);
}

}  // namespace medlargauge

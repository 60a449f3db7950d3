// @file flow_table_test.cc Tests of lookup, expiry and memory of FlowTable.
#include <doctest/doctest.h>

#include <map>
#include <pcg_random.hpp>

#include "src/flow/flow_table.h"

namespace medlargauge {

TEST_CASE("random insertions and erasures give the same entries as std::map") {
  pcg32 random(7);
  FlowTable table;
  std::map<FlowId, uint32_t> expected;
  for (uint32_t i = 1; i < 50000; ++i) {
    const FlowId flow{random(500), 1 + random(4)};
    if (random(3) == 0) {
      table.Erase(flow);
      expected.erase(flow);
    } else {
      table.Insert(flow).initial_sequence = i;
      expected[flow] = i;
    }
  }
  CHECK(table.Size() == expected.size());
  for (const auto& [flow, value] : expected) {
    REQUIRE(table.Find(flow) != nullptr);
    CHECK(table.Find(flow)->initial_sequence == value);
  }
}

TEST_CASE("a sweep removes all expired entries and no others") {
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

TEST_CASE("400,000 flows use at most 64 bytes of memory each") {
  pcg64 random(3);
  FlowTable table;
  for (int i = 0; i < 400000; ++i) {
    table.Insert(FlowId{random(), random() | 1U});
  }
  CHECK(table.MemoryBytes() / table.Size() <= 64);
}

}  // namespace medlargauge

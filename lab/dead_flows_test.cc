// @file dead_flows_test.cc Tests of the cost of the resets after a loss of all
// processes and servers.
#include "lab/dead_flows.h"

#include <doctest/doctest.h>

namespace medlargauge::lab {
namespace {

TEST_CASE("dead flows: each is reset, and a query saves most messages") {
  DeadFlowsConfig config;
  config.agents = 100;
  config.balancers = 4;
  config.flows = 400;
  const DeadFlowsResult queries = ResetDeadFlows(config);
  config.use_queries = false;
  const DeadFlowsResult walk = ResetDeadFlows(config);
  CHECK(queries.resets == 400);
  CHECK(walk.resets == 400);
  CHECK(walk.messages == 400 * 2 * 100);
  CHECK(queries.messages * 4 < walk.messages);
  CHECK(queries.median <= Milliseconds(100));
}

TEST_CASE("dead flows: agents that started late are asked by themselves") {
  DeadFlowsConfig config;
  config.agents = 100;
  config.balancers = 4;
  config.flows = 100;
  config.late_agents_percent = 10;
  CHECK(ResetDeadFlows(config).resets == 100);
}

}  // namespace
}  // namespace medlargauge::lab

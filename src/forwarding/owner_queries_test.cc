// @file owner_queries_test.cc Tests of questions for many flows at once.
#include "src/forwarding/owner_queries.h"

#include <doctest/doctest.h>

#include "src/forwarding/agent_fixture.h"
#include "src/forwarding/director_fixture.h"

namespace medlargauge {
namespace {

constexpr MemberId kFirst{11};
constexpr MemberId kSecond{12};

FlowKey MakeKey(uint16_t port) {
  return director_fixture::MakeLaterPacket(port).flow;
}

/// Two flows that were asked for at two agents.
struct QueryFixture {
  TimePoint now{Seconds(100)};
  OwnerQueries queries;
  OwnerQuery query;

  QueryFixture() {
    queries.Add(MakeKey(1));
    queries.Add(MakeKey(2));
    query = queries.Start(now,
                          [] {
                            return MemberSet{kFirst, kSecond};
                          })
                .front();
  }
};

TEST_CASE("an answer denies all flows but those that the server may hold") {
  QueryFixture fixture;
  CHECK(fixture.query.flow_hashes ==
        std::vector<uint64_t>{HashFlow(MakeKey(1)), HashFlow(MakeKey(2))});
  CHECK(fixture.queries.OnAnswer(kSecond, fixture.query.id, true, {1}).empty());
  const std::vector<QueriedFlow> results =
      fixture.queries.OnAnswer(kFirst, fixture.query.id, true, {});
  REQUIRE(results.size() == 2);
  CHECK(*results[0].deniers == MemberSet{kFirst, kSecond});
  CHECK(results[0].possible_owners.empty());
  CHECK(results[1].possible_owners == MemberSet{kSecond});
  CHECK(fixture.queries.IsIdle());
}

TEST_CASE("an agent that has restarted beside its server denies nothing") {
  QueryFixture fixture;
  fixture.queries.OnAnswer(kFirst, fixture.query.id, false, {});
  const std::vector<QueriedFlow> results =
      fixture.queries.OnAnswer(kSecond, fixture.query.id, true, {});
  REQUIRE(results.size() == 2);
  CHECK(*results[0].deniers == MemberSet{kSecond});
}

TEST_CASE("an agent that does not answer denies nothing") {
  QueryFixture fixture;
  fixture.queries.OnAnswer(kFirst, fixture.query.id, true, {});
  CHECK(fixture.queries.TakeExpired(fixture.now + Milliseconds(100)).empty());
  const std::vector<QueriedFlow> results =
      fixture.queries.TakeExpired(fixture.now + Milliseconds(120));
  REQUIRE(results.size() == 2);
  CHECK(*results[0].deniers == MemberSet{kFirst});
  CHECK(*results[0].silent_agents == MemberSet{kSecond});
  CHECK(fixture.queries.OnAnswer(kSecond, fixture.query.id, true, {}).empty());
}

TEST_CASE("answers that were not asked for change nothing") {
  QueryFixture fixture;
  CHECK(fixture.queries.OnAnswer(kFirst, 99, true, {}).empty());
  CHECK(fixture.queries.OnAnswer(MemberId{13}, fixture.query.id, true, {})
            .empty());
  fixture.queries.OnAnswer(kFirst, fixture.query.id, false, {});
  // The second answer of an agent does not count.
  fixture.queries.OnAnswer(kFirst, fixture.query.id, true, {});
  const std::vector<QueriedFlow> results = fixture.queries.OnAnswer(
      kSecond, fixture.query.id, true, {0, 1'000'000'000});
  REQUIRE(results.size() == 2);
  CHECK(*results[0].deniers == MemberSet{kSecond});
  CHECK(results[0].possible_owners == MemberSet{kSecond});
  CHECK(results[1].possible_owners.empty());
}

TEST_CASE("many flows share a query, and queries keep a distance") {
  OwnerQueries queries;
  TimePoint now{Seconds(100)};
  for (uint16_t port = 1; port <= 200; ++port) {
    queries.Add(MakeKey(port));
  }
  const auto agents_of = [] { return MemberSet{kFirst}; };
  const std::vector<OwnerQuery> started = queries.Start(now, agents_of);
  REQUIRE(started.size() == 2);
  CHECK(started[0].flow_hashes.size() == 150);
  CHECK(started[1].flow_hashes.size() == 50);
  queries.Add(MakeKey(201));
  CHECK(queries.Start(now + Milliseconds(40), agents_of).empty());
  CHECK(queries.Start(now + Milliseconds(60), agents_of).size() == 1);
}

/// An agent whose process has just started.
struct StartedAgent {
  TimePoint now{Seconds(100)};
  AgentForwarder forwarder{"stock", agent_fixture::kServer, ForwarderLimits()};
  uint64_t hash = HashFlow(agent_fixture::MakePacket(1, false).flow);

  StartedAgent() { forwarder.OnTick(now); }

  void Report(const std::string& id,
              uint64_t sequence,
              uint64_t started_ms = 0) {
    ServerReport report;
    report.id = id;
    report.started_ms = started_ms;
    report.sequence = sequence;
    report.is_first = sequence == 1;
    report.service = "stock";
    report.address = agent_fixture::kServer;
    forwarder.OnReport(now, report);
  }
  void Forward(const FlowPacket& packet) {
    ForwardHeader header;
    header.service = ServiceIdOf("stock");
    header.last_candidate = true;
    forwarder.OnForwarded(now, 1, header, packet);
  }
  bool MayHold() const { return !forwarder.FindHeldFlows({hash}).empty(); }
};

TEST_CASE("an agent that starts beside its server does not deny its flows") {
  StartedAgent agent;
  agent.Report("i-1", 57);
  CHECK_FALSE(agent.forwarder.KnowsAllFlows(agent.now));
  // Other flows are idle for longer than a flow may be by then.
  agent.now += Seconds(59);
  agent.forwarder.OnTick(agent.now);
  CHECK_FALSE(agent.forwarder.KnowsAllFlows(agent.now));
  agent.now += Seconds(1);
  CHECK(agent.forwarder.KnowsAllFlows(agent.now));
}

TEST_CASE("an agent that gets the first call of its server knows its flows") {
  StartedAgent agent;
  agent.Report("i-1", 1);
  CHECK(agent.forwarder.KnowsAllFlows(agent.now));
  CHECK_FALSE(agent.MayHold());
  agent.Forward(agent_fixture::MakePacket(1, true));
  CHECK(agent.MayHold());
  // A server that takes calls again may have been there for longer.
  agent.Report("i-0", 12);
  CHECK_FALSE(agent.forwarder.KnowsAllFlows(agent.now));
}

// The first heartbeat of an earlier start came late, after the agent's own
// restart, and the agent denied all flows of the server that had the same id.
TEST_CASE("a first call vouches for no other start under the same id") {
  StartedAgent agent;
  agent.Report("i-1", 1, 5000);
  agent.Report("i-1", 57, 9000);
  CHECK_FALSE(agent.forwarder.KnowsAllFlows(agent.now));
  agent.Report("i-1", 1, 10'000);
  CHECK(agent.forwarder.KnowsAllFlows(agent.now));
}

TEST_CASE("an agent that saw its server down knows the flows of the next") {
  StartedAgent agent;
  agent.Report("i-1", 57);
  agent.Forward(agent_fixture::MakePacket(1, true));
  agent.forwarder.OnServerDown(agent.now);
  // Nothing listens, so no flow is left. Asked by packet, such agents took a
  // round trip each, one after the other.
  CHECK(agent.forwarder.KnowsAllFlows(agent.now));
  CHECK_FALSE(agent.MayHold());
  agent.now += Seconds(1);
  agent.Report("i-2", 1);
  CHECK(agent.forwarder.KnowsAllFlows(agent.now));
  CHECK_FALSE(agent.MayHold());
}

TEST_CASE("a flow that was closed, reset or answered late may still be held") {
  StartedAgent agent;
  agent.Report("i-1", 1);
  agent.Forward(agent_fixture::MakePacket(1, true));
  FlowPacket reset = agent_fixture::MakePacket(1, false);
  reset.rst = true;
  agent.Forward(reset);
  CHECK(agent.MayHold());
  agent.now += Seconds(30);
  agent.forwarder.OnTick(agent.now);
  CHECK(agent.MayHold());
  // A server that bounces a SYN may hold the flow of an earlier one.
  FlowPacket bounced = agent_fixture::MakePacket(1, true);
  bounced.bounced = true;
  agent.forwarder.OnServerPacket(agent.now, bounced);
  CHECK(agent.MayHold());
  bounced.syn = false;
  agent.forwarder.OnServerPacket(agent.now, bounced);
  CHECK_FALSE(agent.MayHold());
  // The server sends a packet of a flow that the agent had forgotten.
  FlowPacket answer = agent_fixture::MakePacket(1, false);
  answer.from_caller = false;
  agent.forwarder.OnServerPacket(agent.now, answer);
  CHECK(agent.MayHold());
}

}  // namespace
}  // namespace medlargauge

// @file agent_test.cc Tests of an agent's decisions, without a network.
#include <doctest/doctest.h>

#include "src/admission/admission.h"
#include "src/core/hash.h"
#include "src/locate/agent.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

constexpr Duration kTick = Milliseconds(100);

/// A ready agent with one ready peer.
class AgentFixture {
 public:
  explicit AgentFixture(FaultInjection fault_injection = FaultInjection(),
                        uint32_t capacity = 10)
      : m_agent(m_now, MakeConfig(fault_injection, capacity)) {
    VersionSplit split;
    split.class_id = ClassIdOf("stock");
    m_agent.SetSplits(m_now, {split});
    AgentFacts peer;
    peer.id = MemberIdOf("peer");
    peer.incarnation = 1;
    peer.state = AgentState::kReady;
    m_agent.UpdateMember(m_now, peer, false);
    for (int i = 0; i < 30; ++i) {
      m_now += kTick;
      SendPeerMessages();
      m_agent.OnTick(m_now);
    }
  }

  /// Returns a SYN whose home is this agent, or the peer if `own_home` is
  /// false.
  PacketInfo MakeSyn(bool own_home) {
    PacketInfo packet;
    packet.syn = true;
    do {
      packet.flow.low = ++m_next_flow * 0x9E3779B97F4A7C15U;
      packet.flow.high = packet.flow.low ^ 0x5555;
    } while (
        (HomeOf(m_agent.ServiceGroup().View(), ClassIdOf("stock"), packet.flow)
             ->id == MemberIdOf("self")) != own_home);
    packet.sequence = 7;
    return packet;
  }

  Envelope RouteEnvelope() {
    Envelope envelope;
    envelope.class_id = ClassIdOf("stock");
    return envelope;
  }

  Envelope HandoverEnvelope() {
    Envelope envelope = RouteEnvelope();
    envelope.purpose = Purpose::kHandover;
    envelope.requester = ShortId(MemberIdOf("peer"));
    envelope.view = m_agent.ServiceGroup().CurrentViewId();
    return envelope;
  }

  Verdict Send(const PacketInfo& packet, const Envelope& envelope) {
    return m_agent.OnPacket(m_now, packet, envelope);
  }

  Agent& TestedAgent() { return m_agent; }
  TimePoint Now() const { return m_now; }

 private:
  static AgentConfig MakeConfig(FaultInjection fault_injection,
                                uint32_t capacity) {
    AgentConfig config;
    config.service = ServiceIdOf("stock");
    config.self.id = MemberIdOf("self");
    config.self.incarnation = 1;
    config.limits.capacity = capacity;
    config.limits.ramp = Duration(0);
    config.policy = PlaceAtHome;
    config.fault_injection = fault_injection;
    return config;
  }

  /// Sends the agent a heartbeat and a synchronisation of the peer, which has
  /// the same view as the agent.
  void SendPeerMessages() {
    proto::GroupMessage message;
    message.set_from(MemberIdOf("peer").value);
    message.set_incarnation(1);
    proto::Heartbeat* heartbeat = message.mutable_heartbeat();
    heartbeat->mutable_facts()->set_id(MemberIdOf("peer").value);
    heartbeat->mutable_facts()->set_incarnation(1);
    heartbeat->mutable_facts()->set_state(
        static_cast<uint32_t>(AgentState::kReady));
    heartbeat->set_sent_at(m_now.time_since_epoch().count());
    heartbeat->set_echo((m_now - kTick).time_since_epoch().count());
    heartbeat->set_echo_incarnation(m_agent.ServiceGroup().Self().incarnation);
    heartbeat->set_indexed_view(m_agent.ServiceGroup().CurrentViewId().value);
    heartbeat->set_ramp(1000);
    m_agent.OnMessage(m_now, message);
    proto::GroupMessage done;
    done.set_from(MemberIdOf("peer").value);
    done.set_incarnation(1);
    done.mutable_done()->set_sync(++m_sync);
    done.mutable_done()->set_view(m_agent.ServiceGroup().CurrentViewId().value);
    m_agent.OnMessage(m_now, done);
  }

  TimePoint m_now{Seconds(100)};  ///< Simulated time.
  uint64_t m_next_flow = 0;       ///< Makes flows unique.
  uint32_t m_sync = 0;            ///< The peer's last synchronisation.
  Agent m_agent;                  ///< Agent under test.
};

}  // namespace

TEST_CASE("an authoritative home admits a flow and then owns it") {
  AgentFixture fixture;
  const PacketInfo syn = fixture.MakeSyn(true);
  const Verdict first = fixture.Send(syn, fixture.RouteEnvelope());
  CHECK(first.kind == VerdictKind::kDeliver);
  CHECK(first.admission == Admission::kHome);
  CHECK(fixture.Send(syn, fixture.RouteEnvelope()).admission ==
        Admission::kKnown);
  CHECK(fixture.TestedAgent().OpenFlows() == 1);
}

TEST_CASE("a flow with another home is forwarded to it, not admitted") {
  AgentFixture fixture;
  const Verdict verdict =
      fixture.Send(fixture.MakeSyn(false), fixture.RouteEnvelope());
  CHECK(verdict.kind == VerdictKind::kForward);
  CHECK(verdict.next == MemberIdOf("peer"));
}

TEST_CASE("a handover is accepted only if both agents have the same view") {
  AgentFixture fixture;
  CHECK(fixture.Send(fixture.MakeSyn(false), fixture.HandoverEnvelope()).kind ==
        VerdictKind::kDeliver);
  Envelope other = fixture.HandoverEnvelope();
  other.view.value ^= 1;
  CHECK(fixture.Send(fixture.MakeSyn(false), other).kind ==
        VerdictKind::kForward);
  FaultInjection fault_injection;
  fault_injection.skip_view_check = true;
  AgentFixture unchecked(fault_injection);
  Envelope other_view = unchecked.HandoverEnvelope();
  other_view.view.value ^= 1;
  CHECK(unchecked.Send(unchecked.MakeSyn(false), other_view).kind ==
        VerdictKind::kDeliver);
}

TEST_CASE("a declined handover stores a reservation for late copies") {
  AgentFixture fixture;
  const PacketInfo syn = fixture.MakeSyn(false);
  Envelope other = fixture.HandoverEnvelope();
  other.view.value ^= 1;
  fixture.Send(syn, other);
  // The late copy has the current view, but the peer may have decided by now.
  const Verdict late = fixture.Send(syn, fixture.HandoverEnvelope());
  CHECK(late.kind == VerdictKind::kForward);
  CHECK(late.next == MemberIdOf("peer"));
}

TEST_CASE("a draining agent keeps its flows and admits no new ones") {
  AgentFixture fixture;
  const PacketInfo syn = fixture.MakeSyn(true);
  fixture.Send(syn, fixture.RouteEnvelope());
  fixture.TestedAgent().StartDrain(fixture.Now(), fixture.Now() + Seconds(60));
  PacketInfo segment = syn;
  segment.syn = false;
  segment.ack = true;
  CHECK(fixture.Send(segment, fixture.RouteEnvelope()).kind ==
        VerdictKind::kDeliver);
  CHECK(fixture.Send(fixture.MakeSyn(false), fixture.HandoverEnvelope()).kind !=
        VerdictKind::kDeliver);
  CHECK(fixture.TestedAgent().Counters().admissions_while_draining == 0);
  CHECK_FALSE(fixture.TestedAgent().IsDrained(fixture.Now()));
  CHECK(fixture.TestedAgent().IsDrained(fixture.Now() + Seconds(60)));
}

TEST_CASE("a new connection from a reused port leaves a draining agent") {
  AgentFixture fixture;
  const PacketInfo syn = fixture.MakeSyn(true);
  fixture.Send(syn, fixture.RouteEnvelope());
  fixture.TestedAgent().StartDrain(fixture.Now(), fixture.Now() + Seconds(60));
  PacketInfo new_syn = syn;
  new_syn.sequence = 99999;
  CHECK(fixture.Send(new_syn, fixture.RouteEnvelope()).kind ==
        VerdictKind::kForward);
}

TEST_CASE("every copy of a refused packet is refused") {
  AgentFixture fixture(FaultInjection(), 0);
  const PacketInfo syn = fixture.MakeSyn(true);
  const Verdict refused = fixture.Send(syn, fixture.RouteEnvelope());
  CHECK(refused.error == ErrorKind::kOverloaded);
  CHECK(fixture.Send(syn, fixture.RouteEnvelope()).error ==
        ErrorKind::kOverloaded);
}

TEST_CASE("an established flow without an owner is searched, then reset") {
  AgentFixture fixture;
  PacketInfo segment = fixture.MakeSyn(true);
  segment.syn = false;
  segment.ack = true;
  const Verdict query = fixture.Send(segment, fixture.RouteEnvelope());
  REQUIRE(query.kind == VerdictKind::kForward);
  CHECK(query.envelope.purpose == Purpose::kSearch);
  Envelope answer = query.envelope;
  answer.pending = {};
  CHECK(fixture.Send(segment, answer).error == ErrorKind::kFlowUnknown);
}

TEST_CASE("a packet of another class is rejected") {
  AgentFixture fixture;
  const PacketInfo syn = fixture.MakeSyn(true);
  fixture.Send(syn, fixture.RouteEnvelope());
  Envelope other = fixture.RouteEnvelope();
  other.class_id = ClassIdOf("photos");
  CHECK(fixture.Send(syn, other).error == ErrorKind::kWrongService);
  CHECK(fixture.Send(fixture.MakeSyn(true), other).kind ==
        VerdictKind::kReject);
}

TEST_CASE("a fenced agent decides nothing") {
  AgentFixture fixture;
  const PacketInfo syn = fixture.MakeSyn(true);
  const TimePoint later = fixture.Now() + Seconds(5);
  const Verdict verdict =
      fixture.TestedAgent().OnPacket(later, syn, fixture.RouteEnvelope());
  CHECK(verdict.error == ErrorKind::kFenced);
}

}  // namespace medlargauge

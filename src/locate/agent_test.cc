// @file agent_test.cc Single rules of an agent, without a network.
#include <doctest/doctest.h>

#include "src/admission/admission.h"
#include "src/core/hash.h"
#include "src/locate/agent.h"
#include "src/routing/routing.h"

namespace medlargauge {
namespace {

constexpr Duration kTick = Milliseconds(100);

/// A ready agent that knows one ready peer.
class AgentFixture {
 public:
  explicit AgentFixture(FaultyRules faulty = FaultyRules(),
                        uint32_t capacity = 10)
      : m_agent(m_now, Config(faulty, capacity)) {
    VersionSplit split;
    split.class_id = ClassIdOf("stock");
    m_agent.SetSplits(m_now, {split});
    AgentFacts peer;
    peer.id = MemberIdOf("peer");
    peer.incarnation = 1;
    peer.state = AgentState::kReady;
    m_agent.LearnMember(m_now, peer, false);
    for (int i = 0; i < 30; ++i) {
      m_now += kTick;
      AnswerForPeer();
      m_agent.OnTick(m_now);
    }
  }

  /// A SYN whose home is this agent, or the peer.
  PacketInfo Syn(bool own_home) {
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

  Envelope Route() {
    Envelope envelope;
    envelope.class_id = ClassIdOf("stock");
    return envelope;
  }

  Envelope Handover() {
    Envelope envelope = Route();
    envelope.purpose = Purpose::kHandover;
    envelope.requester = ShortId(MemberIdOf("peer"));
    envelope.view = m_agent.ServiceGroup().CurrentView();
    return envelope;
  }

  Verdict Send(const PacketInfo& packet, const Envelope& envelope) {
    return m_agent.OnPacket(m_now, packet, envelope);
  }

  Agent& Subject() { return m_agent; }
  TimePoint Now() const { return m_now; }

 private:
  static AgentConfig Config(FaultyRules faulty, uint32_t capacity) {
    AgentConfig config;
    config.service = ServiceIdOf("stock");
    config.self.id = MemberIdOf("self");
    config.self.incarnation = 1;
    config.limits.capacity = capacity;
    config.limits.ramp = Duration(0);
    config.policy = PlaceAtHome;
    config.faulty = faulty;
    return config;
  }

  /// The peer agrees with whatever view the agent has, and echoes it.
  void AnswerForPeer() {
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
    heartbeat->set_indexed_view(m_agent.ServiceGroup().CurrentView().value);
    heartbeat->set_ramp(1000);
    m_agent.OnMessage(m_now, message);
    proto::GroupMessage done;
    done.set_from(MemberIdOf("peer").value);
    done.set_incarnation(1);
    done.mutable_done()->set_sync(++m_sync);
    done.mutable_done()->set_view(m_agent.ServiceGroup().CurrentView().value);
    m_agent.OnMessage(m_now, done);
  }

  TimePoint m_now{Seconds(100)};  ///< Simulated time.
  uint64_t m_next_flow = 0;       ///< To make flows.
  uint32_t m_sync = 0;            ///< Of the peer.
  Agent m_agent;                  ///< Under test.
};

}  // namespace

TEST_CASE("a clean home admits, and knows the flow from then on") {
  AgentFixture fixture;
  const PacketInfo syn = fixture.Syn(true);
  const Verdict first = fixture.Send(syn, fixture.Route());
  CHECK(first.kind == VerdictKind::kDeliver);
  CHECK(first.admission == Admission::kHome);
  CHECK(fixture.Send(syn, fixture.Route()).admission == Admission::kKnown);
  CHECK(fixture.Subject().OpenFlows() == 1);
}

TEST_CASE("a flow of another home is passed on, not admitted") {
  AgentFixture fixture;
  const Verdict verdict = fixture.Send(fixture.Syn(false), fixture.Route());
  CHECK(verdict.kind == VerdictKind::kForward);
  CHECK(verdict.next == MemberIdOf("peer"));
}

TEST_CASE("a handover is taken under the same view only") {
  AgentFixture fixture;
  CHECK(fixture.Send(fixture.Syn(false), fixture.Handover()).kind ==
        VerdictKind::kDeliver);
  Envelope other = fixture.Handover();
  other.view.value ^= 1;
  CHECK(fixture.Send(fixture.Syn(false), other).kind == VerdictKind::kForward);
  FaultyRules faulty;
  faulty.skip_view_check = true;
  AgentFixture broken(faulty);
  Envelope wrong = broken.Handover();
  wrong.view.value ^= 1;
  CHECK(broken.Send(broken.Syn(false), wrong).kind == VerdictKind::kDeliver);
}

TEST_CASE("a declined handover leaves a mark for late copies") {
  AgentFixture fixture;
  const PacketInfo syn = fixture.Syn(false);
  Envelope other = fixture.Handover();
  other.view.value ^= 1;
  fixture.Send(syn, other);
  // The late copy carries the present view, yet the peer has decided since.
  const Verdict late = fixture.Send(syn, fixture.Handover());
  CHECK(late.kind == VerdictKind::kForward);
  CHECK(late.next == MemberIdOf("peer"));
}

TEST_CASE("a draining agent keeps its flows and admits nothing") {
  AgentFixture fixture;
  const PacketInfo syn = fixture.Syn(true);
  fixture.Send(syn, fixture.Route());
  fixture.Subject().StartDrain(fixture.Now(), fixture.Now() + Seconds(60));
  PacketInfo segment = syn;
  segment.syn = false;
  segment.ack = true;
  CHECK(fixture.Send(segment, fixture.Route()).kind == VerdictKind::kDeliver);
  CHECK(fixture.Send(fixture.Syn(false), fixture.Handover()).kind !=
        VerdictKind::kDeliver);
  CHECK(fixture.Subject().Counters().admissions_while_draining == 0);
  CHECK_FALSE(fixture.Subject().IsDrained(fixture.Now()));
  CHECK(fixture.Subject().IsDrained(fixture.Now() + Seconds(60)));
}

TEST_CASE("a caller that reuses its port at a draining server goes elsewhere") {
  AgentFixture fixture;
  const PacketInfo syn = fixture.Syn(true);
  fixture.Send(syn, fixture.Route());
  fixture.Subject().StartDrain(fixture.Now(), fixture.Now() + Seconds(60));
  PacketInfo again = syn;
  again.sequence = 99999;
  CHECK(fixture.Send(again, fixture.Route()).kind == VerdictKind::kForward);
}

TEST_CASE("a refusal holds for every copy of the packet") {
  AgentFixture fixture(FaultyRules(), 0);
  const PacketInfo syn = fixture.Syn(true);
  const Verdict refused = fixture.Send(syn, fixture.Route());
  CHECK(refused.error == ErrorKind::kOverloaded);
  CHECK(fixture.Send(syn, fixture.Route()).error == ErrorKind::kOverloaded);
}

TEST_CASE("an established flow that nobody knows is searched, then reset") {
  AgentFixture fixture;
  PacketInfo segment = fixture.Syn(true);
  segment.syn = false;
  segment.ack = true;
  const Verdict asked = fixture.Send(segment, fixture.Route());
  REQUIRE(asked.kind == VerdictKind::kForward);
  CHECK(asked.envelope.purpose == Purpose::kSearch);
  Envelope answer = asked.envelope;
  answer.pending = {};
  CHECK(fixture.Send(segment, answer).error == ErrorKind::kFlowUnknown);
}

TEST_CASE("a packet of another class never reaches the server") {
  AgentFixture fixture;
  const PacketInfo syn = fixture.Syn(true);
  fixture.Send(syn, fixture.Route());
  Envelope other = fixture.Route();
  other.class_id = ClassIdOf("photos");
  CHECK(fixture.Send(syn, other).error == ErrorKind::kWrongService);
  CHECK(fixture.Send(fixture.Syn(true), other).kind == VerdictKind::kReject);
}

TEST_CASE("a member that was cut off decides nothing") {
  AgentFixture fixture;
  const PacketInfo syn = fixture.Syn(true);
  const TimePoint later = fixture.Now() + Seconds(5);
  const Verdict verdict =
      fixture.Subject().OnPacket(later, syn, fixture.Route());
  CHECK(verdict.error == ErrorKind::kFenced);
}

}  // namespace medlargauge

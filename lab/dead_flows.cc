// @file dead_flows.cc Simulation of a fleet that resets dead flows.
#include "lab/dead_flows.h"

#include <algorithm>
#include <array>
#include <memory>
#include <queue>
#include <vector>

#include "src/core/hash.h"
#include "src/forwarding/agent_forwarder.h"
#include "src/forwarding/flow_director.h"

namespace medlargauge::lab {
namespace {

constexpr Duration kStep = Milliseconds(1);  ///< A message takes one.
constexpr Duration kDirectorTick = Milliseconds(20);
constexpr Duration kEnd = Seconds(10);
/// From the first transmission of a request to each of them.
constexpr std::array<Duration, 5> kTransmissions = {
    Milliseconds(0), Milliseconds(200), Milliseconds(600), Milliseconds(1400),
    Milliseconds(3000)};
constexpr SocketAddress4 kRoute{0xC6120001, 443};
constexpr std::string_view kService = "stock";
constexpr uint32_t kFirstAgentIp = 0x0A000001;
constexpr uint32_t kBalancerIp = 0x0B000001;
// Sizes in bytes, of a request and of the parts of messages around it.
constexpr uint64_t kPacketBytes = 250;
constexpr uint64_t kForwardBytes = 24 + kPacketBytes;
constexpr uint64_t kReturnBytes = 32 + kPacketBytes;
constexpr uint64_t kQueryBytes = 8;
constexpr uint64_t kHashBytes = 8;
constexpr uint64_t kAnswerBytes = 8;

FlowPacket MakePacket(uint32_t flow) {
  FlowPacket packet;
  packet.flow = {{0x64400000 + flow, 1025}, kRoute};
  packet.ack = true;
  packet.sequence = 7;
  packet.acknowledged = 9;
  packet.data_length = 200;
  return packet;
}

class Fleet {
 public:
  explicit Fleet(const DeadFlowsConfig& config) : m_config(config) {
    RouteTable table;
    table.identity.version.revision = 1;
    ServiceRoute route;
    route.name = kService;
    route.address = kRoute;
    route.shares.push_back({ServiceIdOf(kService), 1});
    table.routes.push_back(route);
    m_routes.Adopt(std::move(table));
    for (uint32_t i = 0; i < config.agents; ++i) {
      StartAgent(i);
    }
    for (uint32_t i = 0; i < config.balancers; ++i) {
      StartBalancer();
    }
    m_now += Seconds(2);
    m_start = m_now;
    m_first_packets.resize(config.flows);
    m_reset_times.resize(config.flows, Duration(-1));
  }

  DeadFlowsResult Run() {
    for (uint32_t flow = 0; flow < m_config.flows; ++flow) {
      const Duration first = m_config.spread *
                             static_cast<int64_t>(MixHash(77, flow) % 1000) /
                             1000;
      m_first_packets[flow] = m_start + first;
      for (const Duration delay : kTransmissions) {
        m_packets.push({m_start + first + delay, flow});
      }
    }
    TimePoint next_tick = m_now;
    while (m_now < m_start + kEnd) {
      m_now += kStep;
      while (!m_packets.empty() && m_packets.top().first <= m_now) {
        const uint32_t flow = m_packets.top().second;
        m_packets.pop();
        SendFromCaller(flow);
      }
      if (m_now >= next_tick) {
        next_tick = m_now + kDirectorTick;
        KeepInTouch();
        for (uint32_t i = 0; i < m_config.balancers; ++i) {
          Apply(i, m_balancers[i]->director->OnTick(m_now));
          SendQueries(i);
        }
      }
    }
    return Summarize();
  }

 private:
  struct Balancer {
    MembershipTable members{MemberId{kBalancerIp}, MembershipTimeouts()};
    std::unique_ptr<FlowDirector> director;
  };

  void StartAgent(uint32_t index) {
    auto agent = std::make_unique<AgentForwarder>(
        std::string(kService), SocketAddress4{kFirstAgentIp + index, 1},
        ForwarderLimits());
    agent->OnTick(m_now);
    ServerReport report;
    report.id = "server";
    report.sequence = index % 100 < m_config.late_agents_percent ? 2 : 1;
    report.is_first = report.sequence == 1;
    report.service = kService;
    report.address = {kFirstAgentIp + index, 1};
    agent->OnReport(m_now, report);
    m_agents.push_back(std::move(agent));
  }

  void StartBalancer() {
    auto balancer = std::make_unique<Balancer>();
    balancer->members.OnFleetMet();
    DirectorLimits limits;
    if (!m_config.use_queries) {
      limits.min_agents_to_query = SIZE_MAX;
    }
    balancer->director =
        std::make_unique<FlowDirector>(m_now, DomainId{1}, &balancer->members,
                                       &m_routes, limits, &PlaceBySample);
    m_balancers.push_back(std::move(balancer));
    HearAgents(m_balancers.back().get());
  }

  void HearAgents(Balancer* balancer) {
    ++m_status_sequence;
    for (uint32_t i = 0; i < m_config.agents; ++i) {
      FleetMember member;
      member.id = MemberId{kFirstAgentIp + i};
      member.role = MemberRole::kAgent;
      member.ip = kFirstAgentIp + i;
      member.incarnation = 1;
      member.service = ServiceIdOf(kService);
      member.state = AgentState::kReady;
      proto::PeerStatus status;
      *status.mutable_self() = EncodeMember(m_now, member);
      status.set_sequence(m_status_sequence);
      status.set_protocol(kProtocolVersion);
      status.set_members(m_config.agents + m_config.balancers - 1);
      balancer->members.OnStatus(m_now, status);
    }
  }

  /// Delivers the statuses of all agents when they are due; they don't count as
  /// messages here.
  void KeepInTouch() {
    if (m_now < m_next_statuses) {
      return;
    }
    m_next_statuses = m_now + Milliseconds(800);
    for (const auto& balancer : m_balancers) {
      HearAgents(balancer.get());
    }
  }

  void Count(uint64_t bytes) {
    ++m_result.messages;
    m_result.bytes += bytes;
  }

  void SendFromCaller(uint32_t flow) {
    if (m_reset_times[flow] >= Duration()) {
      return;
    }
    const uint32_t index = flow % m_config.balancers;
    const FlowPacket packet = MakePacket(flow);
    Apply(index,
          m_balancers[index]->director->OnCallerPacket(m_now, packet,
                                                       RawPacket()),
          packet);
  }

  void Apply(uint32_t index, const std::vector<DeferredDecision>& decisions) {
    for (const DeferredDecision& deferred : decisions) {
      Apply(index, deferred.decision, deferred.packet);
    }
  }

  /// Carries out a decision. The way to an agent and back takes no time here
  /// but is added to the time of the reset.
  void Apply(uint32_t index,
             DirectorDecision decision,
             const FlowPacket& packet) {
    uint32_t round_trips = 0;
    while (decision.kind == DirectorDecision::Kind::kForward) {
      ++round_trips;
      Count(kForwardBytes);
      AgentForwarder& agent =
          *m_agents[static_cast<uint32_t>(decision.agent.value) -
                    kFirstAgentIp];
      agent.OnForwarded(m_now, kBalancerIp, decision.header, packet);
      FlowPacket bounced = packet;
      bounced.bounced = true;
      bounced.tag = kBalancerIp;
      const ForwarderDecision returned = agent.OnServerPacket(m_now, bounced);
      Count(kReturnBytes);
      decision = m_balancers[index]->director->OnReturned(
          m_now, decision.agent, returned.reason, MemberId(), packet,
          RawPacket());
    }
    if (decision.kind == DirectorDecision::Kind::kReset) {
      const uint32_t flow = packet.flow.caller.ip - 0x64400000;
      m_reset_times[flow] =
          m_now - m_first_packets[flow] + 2 * kStep * round_trips;
    }
  }

  void SendQueries(uint32_t index) {
    FlowDirector& director = *m_balancers[index]->director;
    for (const OwnerQuery& query : director.TakeQueries()) {
      for (const MemberId id : query.agents) {
        AgentForwarder& agent =
            *m_agents[static_cast<uint32_t>(id.value) - kFirstAgentIp];
        Count(kQueryBytes + kHashBytes * query.flow_hashes.size());
        Count(kAnswerBytes);
        Apply(index, director.OnQueryAnswer(
                         m_now, id, query.id, agent.KnowsAllFlows(m_now),
                         agent.FindHeldFlows(query.flow_hashes)));
      }
    }
  }

  static ByteView RawPacket() {
    constexpr std::string_view kRaw = "packet";
    return {reinterpret_cast<const uint8_t*>(kRaw.data()), kRaw.size()};
  }

  DeadFlowsResult Summarize() {
    std::vector<Duration> times;
    for (const Duration time : m_reset_times) {
      if (time >= Duration()) {
        times.push_back(time);
      }
    }
    std::sort(times.begin(), times.end());
    m_result.resets = times.size();
    if (!times.empty()) {
      m_result.median = times[times.size() / 2];
      m_result.percentile99 = times[times.size() * 99 / 100];
    }
    return m_result;
  }

  DeadFlowsConfig m_config;
  TimePoint m_now{Seconds(100)};
  TimePoint m_start;
  TimePoint m_next_statuses;
  uint32_t m_status_sequence = 0;
  ActiveRoutes m_routes;
  std::vector<std::unique_ptr<AgentForwarder>> m_agents;
  std::vector<std::unique_ptr<Balancer>> m_balancers;
  using Transmission = std::pair<TimePoint, uint32_t>;
  std::priority_queue<Transmission, std::vector<Transmission>, std::greater<>>
      m_packets;
  std::vector<TimePoint> m_first_packets;  ///< By flow.
  std::vector<Duration> m_reset_times;     ///< By flow; negative: none.
  DeadFlowsResult m_result;
};

}  // namespace

DeadFlowsResult ResetDeadFlows(const DeadFlowsConfig& config) {
  return Fleet(config).Run();
}

}  // namespace medlargauge::lab

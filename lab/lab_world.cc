// @file lab_world.cc The model's hosts, network and clock.
#include "lab/lab_world.h"

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>
#include <random>

#include "lab/lab_parts.h"
#include "src/core/hash.h"

namespace medlargauge::lab {
namespace {

constexpr Duration kCallerDelay = Milliseconds(1);
constexpr Duration kInsideDelay = std::chrono::microseconds(500);
constexpr Duration kFirstCopy = Milliseconds(200);
constexpr Duration kSecondCopy = Milliseconds(600);
constexpr Duration kOpeningLimit = Milliseconds(1400);
constexpr Duration kRetryPause = Milliseconds(50);
constexpr Duration kResendFirst = Milliseconds(200);
constexpr Duration kResendLimit = Milliseconds(1600);
constexpr Duration kPause = Milliseconds(400);  ///< Between requests of a flow.
constexpr Duration kStatusInterval = Milliseconds(300);
constexpr Duration kReportInterval = Milliseconds(1000);
constexpr Duration kCheckInterval = Milliseconds(500);
constexpr Duration kDrainTime = Milliseconds(3000);
constexpr Duration kWarmup = Seconds(3);  ///< Before the load.
constexpr Duration kDrainBound = Seconds(3);
constexpr uint32_t kMaxAttempts = 3;
constexpr uint16_t kRoutePort = 443;
constexpr uint16_t kServerPort = 8000;
constexpr uint32_t kBalancerNet = 0x0A010000;
constexpr uint32_t kAgentNet = 0x0A020000;
constexpr uint32_t kRouteNet = 0xC6120000;
constexpr uint32_t kCallerNet = 0x64400000;

/// One run. All of it hangs on one event queue.
class World {
 public:
  World(const Scenario& scenario, const Policy& policy, uint64_t seed)
      : m_scenario(scenario),
        m_policy(policy),
        m_arrivals(seed),
        m_work(seed + 1),
        m_network(seed + 2) {}

  Result Run() {
    Build();
    m_queue.RunUntil(m_queue.Now() + kWarmup);
    m_start = m_queue.Now();
    ScheduleTroubles();
    for (size_t i = 0; i < m_scenario.classes.size(); ++i) {
      m_result.classes[m_scenario.classes[i].name];
      ScheduleArrival(i);
    }
    m_queue.RunUntil(m_start + m_scenario.length + Seconds(10));
    return std::move(m_result);
  }

 private:
  // Set-up.
  void Build();
  void StartBalancer(LabBalancer* balancer);
  void StartAgent(LabAgent* agent);
  RouteTable MakeTable() const;
  void Repeat(Duration period, const std::function<void()>& body);
  void ScheduleTroubles();
  void Begin(const Trouble& trouble);
  std::vector<LabAgent*> ChooseAgents(const Trouble& trouble);
  std::vector<LabBalancer*> ChooseBalancers(const Trouble& trouble);
  void RestartAgent(LabAgent* agent, Duration after);
  void RestartBalancer(LabBalancer* balancer, Duration after);
  void RestartServer(LabAgent* agent, Duration after);

  // Callers.
  void ScheduleArrival(size_t class_index);
  void Ask(size_t class_index);
  void Attempt(uint64_t request);
  void OpenFlow(uint64_t request);
  void SendOpening(uint64_t flow, uint32_t copy);
  void SendRequest(uint64_t flow, uint64_t request, uint32_t sent);
  void CallerGets(const LabPacket& packet);
  void FailAttempt(uint64_t request, bool may_have_run);
  void Finish(uint64_t request, bool answered);
  void EndFlow(uint64_t flow, bool say_so);
  void SendToRouter(const LabPacket& packet, uint32_t domain);

  // Balancers.
  void BalancerGets(LabBalancer* balancer, const LabPacket& packet);
  void Act(LabBalancer* balancer,
           const SteerDecision& decision,
           const LabPacket& packet);
  void RunBalancerTimers(LabBalancer* balancer);
  void SendPointers(LabBalancer* balancer);
  void CheckBalancers();

  // Agents and servers.
  void SendStatus(LabAgent* agent);
  void Report(LabAgent* agent);
  void AgentGets(LabAgent* agent,
                 LabBalancer* from,
                 const ForwardHeader& header,
                 const LabPacket& packet);
  void ReturnPacket(LabAgent* agent,
                    const GateDecision& decision,
                    const LabPacket& packet);
  void ServerGets(LabAgent* agent,
                  const LabPacket& packet,
                  uint64_t generation);
  void ServerSends(LabAgent* agent, const LabPacket& packet);
  void ServerWorks(LabAgent* agent, const LabPacket& packet);
  void ServerAnswers(LabAgent* agent,
                     const LabPacket& packet,
                     bool refused,
                     bool failed);
  LabAgent* AgentAt(uint32_t ip);
  LabBalancer* BalancerAt(uint32_t ip);

  bool IsLost() {
    return m_loss > 0 && std::bernoulli_distribution(m_loss)(m_network);
  }
  /// Runs `action` after a packet's way, unless it is lost.
  void Travel(Duration delay, std::function<void()> action) {
    if (!IsLost()) {
      m_queue.After(delay, std::move(action));
    }
  }
  TimePoint Now() const { return m_queue.Now(); }
  ClassResult& Window(TimePoint asked) {
    const auto index = static_cast<size_t>((asked - m_start) / Seconds(2));
    if (m_result.windows.size() <= index) {
      m_result.windows.resize(index + 1);
    }
    return m_result.windows[index];
  }

  const Scenario& m_scenario;  ///< What to play.
  const Policy& m_policy;      ///< What decides.
  pcg32 m_arrivals;            ///< The same for every policy.
  pcg32 m_work;                ///< Work of each request.
  pcg32 m_network;             ///< Loss and choices of troubles.
  EventQueue m_queue;          ///< Time.
  TimePoint m_start;           ///< Of the load.
  double m_loss = 0;           ///< Probability of a lost packet.
  double m_burst = 1;          ///< Factor on the arrivals.
  std::vector<std::unique_ptr<LabBalancer>> m_balancers;  ///< Stable.
  std::vector<std::unique_ptr<LabAgent>> m_agents;        ///< Stable.
  std::map<uint64_t, LabRequest> m_requests;              ///< By number.
  std::map<uint64_t, LabFlow> m_flows;                    ///< By number.
  std::map<FlowKey, uint64_t> m_flow_of;                  ///< By ends.
  std::map<size_t, std::deque<uint64_t>> m_idle;  ///< Open flows by class.
  uint64_t m_next_request = 1;
  uint64_t m_next_flow = 1;
  Result m_result;
};

void World::Build() {
  for (uint32_t i = 0; i < m_scenario.balancers; ++i) {
    auto balancer = std::make_unique<LabBalancer>();
    balancer->ip = kBalancerNet + i + 1;
    balancer->domain = i % m_scenario.domains;
    m_balancers.push_back(std::move(balancer));
  }
  uint32_t host = 0;
  for (size_t s = 0; s < m_scenario.services.size(); ++s) {
    for (uint32_t i = 0; i < m_scenario.services[s].servers; ++i) {
      auto agent = std::make_unique<LabAgent>();
      agent->ip = kAgentNet + ++host;
      agent->domain = i % m_scenario.domains;
      agent->server.service = s;
      agent->server.id = "server-" + std::to_string(host);
      agent->server.address = {agent->ip, kServerPort};
      agent->server.started = Now() - Seconds(60);
      m_agents.push_back(std::move(agent));
    }
  }
  for (auto& agent : m_agents) {
    StartAgent(agent.get());
  }
  for (auto& balancer : m_balancers) {
    StartBalancer(balancer.get());
  }
  Repeat(kReportInterval, [this] {
    for (auto& agent : m_agents) {
      Report(agent.get());
    }
  });
  Repeat(kStatusInterval, [this] {
    for (auto& agent : m_agents) {
      SendStatus(agent.get());
    }
  });
  Repeat(kCheckInterval, [this] { CheckBalancers(); });
  Repeat(Milliseconds(50), [this] {
    for (auto& agent : m_agents) {
      if (agent->gate != nullptr) {
        agent->gate->OnTick(Now());
      }
    }
  });
}

RouteTable World::MakeTable() const {
  RouteTable table;
  table.revision = 1;
  table.version = 1;
  table.idle_timeout_ms = 15000;
  for (size_t i = 0; i < m_scenario.classes.size(); ++i) {
    const ClassModel& model = m_scenario.classes[i];
    SteerRoute route;
    route.name = model.name;
    route.address = {kRouteNet + static_cast<uint32_t>(i) + 1, kRoutePort};
    route.shares.push_back({ServiceIdOf(model.service), 1});
    route.repeatable = model.repeatable;
    route.timeout_ms = static_cast<uint32_t>(ToMilliseconds(model.limit));
    route.goal_ms = static_cast<uint32_t>(
        ToMilliseconds(m_policy.by_aim ? model.aim : model.limit));
    route.priority = model.priority;
    table.routes.push_back(std::move(route));
  }
  return table;
}

void World::StartBalancer(LabBalancer* balancer) {
  const MemberId id{balancer->ip};
  balancer->roster = std::make_unique<Roster>(id, RosterTimeouts());
  balancer->routes = std::make_unique<RouteBook>();
  balancer->routes->Adopt(MakeTable());
  SteeringLimits limits;
  limits.busy_tries = m_policy.busy_tries;
  balancer->steering = std::make_unique<Steering>(
      Now(), DomainId{balancer->domain + 1}, balancer->roster.get(),
      balancer->routes.get(), limits, m_policy.place);
  balancer->running = true;
  balancer->ready = true;
  ++balancer->starts;
  RunBalancerTimers(balancer);
}

void World::StartAgent(LabAgent* agent) {
  const ServiceModel& service = m_scenario.services[agent->server.service];
  GateLimits limits;
  limits.aim_percent = m_policy.aim_percent;
  agent->gate =
      std::make_unique<ServerGate>(service.name, agent->server.address, limits);
  ++agent->incarnation;
  agent->sequence = 0;
  agent->leaving = false;
  SendStatus(agent);
}

void World::Repeat(Duration period, const std::function<void()>& body) {
  m_queue.After(period, [this, period, body] {
    body();
    Repeat(period, body);
  });
}

LabAgent* World::AgentAt(uint32_t ip) {
  return m_agents[ip - kAgentNet - 1].get();
}

LabBalancer* World::BalancerAt(uint32_t ip) {
  return m_balancers[ip - kBalancerNet - 1].get();
}

// Callers.

void World::ScheduleArrival(size_t class_index) {
  const ClassModel& model = m_scenario.classes[class_index];
  const double mean = 1.0 / (model.per_second * m_burst);
  const double wait = std::exponential_distribution<>(1.0 / mean)(m_arrivals);
  m_queue.After(Duration(static_cast<int64_t>(wait * 1e9)),
                [this, class_index] {
                  if (Now() - m_start < m_scenario.length) {
                    Ask(class_index);
                    ScheduleArrival(class_index);
                  }
                });
}

void World::Ask(size_t class_index) {
  const ClassModel& model = m_scenario.classes[class_index];
  const uint64_t number = m_next_request++;
  LabRequest& request = m_requests[number];
  request.class_index = class_index;
  request.domain = m_arrivals(m_scenario.domains);
  request.asked = Now();
  ClassResult& result = m_result.classes[model.name];
  ++result.asked;
  result.owed += model.worth;
  ClassResult& window = Window(Now());
  ++window.asked;
  window.owed += model.worth;
  Attempt(number);
  m_queue.After(model.limit, [this, number] { Finish(number, false); });
}

void World::Attempt(uint64_t number) {
  LabRequest& request = m_requests[number];
  ++request.attempts;
  std::deque<uint64_t>& idle = m_idle[request.class_index];
  while (!idle.empty()) {
    const uint64_t flow = idle.front();
    idle.pop_front();
    if (!m_flows[flow].ended && m_flows[flow].request == 0) {
      m_flows[flow].request = number;
      SendRequest(flow, number, 1);
      return;
    }
  }
  OpenFlow(number);
}

void World::OpenFlow(uint64_t request) {
  const uint64_t number = m_next_flow++;
  LabFlow& flow = m_flows[number];
  const LabRequest& asked = m_requests[request];
  flow.class_index = asked.class_index;
  flow.domain = asked.domain;
  flow.key.caller = {kCallerNet + static_cast<uint32_t>(number >> 14U) + 1,
                     static_cast<uint16_t>(1024 + (number & 0x3FFFU))};
  flow.key.route = {kRouteNet + static_cast<uint32_t>(asked.class_index) + 1,
                    kRoutePort};
  flow.syn_sequence = static_cast<uint32_t>(HashFlow(flow.key));
  flow.next = flow.syn_sequence + 1;
  flow.request = request;
  m_flow_of[flow.key] = number;
  SendOpening(number, 0);
  m_queue.After(kFirstCopy, [this, number] { SendOpening(number, 1); });
  m_queue.After(kSecondCopy, [this, number] { SendOpening(number, 2); });
  m_queue.After(kOpeningLimit, [this, number] {
    LabFlow& waiting = m_flows[number];
    if (!waiting.open && !waiting.ended) {
      const uint64_t asked_by = waiting.request;
      EndFlow(number, false);
      FailAttempt(asked_by, false);
    }
  });
}

void World::SendOpening(uint64_t number, uint32_t copy) {
  const LabFlow& flow = m_flows[number];
  if (flow.open || flow.ended) {
    return;
  }
  LabPacket packet;
  packet.head.flow = flow.key;
  packet.head.syn = true;
  packet.head.sequence = flow.syn_sequence;
  packet.head.acknowledged = copy;
  SendToRouter(packet, flow.domain);
}

void World::SendRequest(uint64_t number, uint64_t request, uint32_t sent) {
  LabFlow& flow = m_flows[number];
  if (flow.ended || flow.request != request || m_requests[request].done) {
    return;
  }
  constexpr uint16_t kRequestBytes = 300;
  if (sent == 1) {
    flow.next += kRequestBytes;
  }
  LabPacket packet;
  packet.head.flow = flow.key;
  packet.head.ack = true;
  packet.head.sequence = flow.next - kRequestBytes;
  packet.head.acknowledged = flow.server_next;
  packet.head.data_length = kRequestBytes;
  packet.request = request;
  SendToRouter(packet, flow.domain);
  const Duration wait =
      std::min(kResendFirst * (1U << std::min(sent - 1, 3U)), kResendLimit);
  m_queue.After(wait, [this, number, request, sent] {
    SendRequest(number, request, sent + 1);
  });
}

void World::CallerGets(const LabPacket& packet) {
  const auto found = m_flow_of.find(packet.head.flow);
  if (found == m_flow_of.end()) {
    return;
  }
  const uint64_t number = found->second;
  LabFlow& flow = m_flows[number];
  if (flow.ended) {
    return;
  }
  if (packet.head.rst) {
    const bool was_open = flow.open;
    const uint64_t request = flow.request;
    EndFlow(number, false);
    FailAttempt(request, was_open);
    return;
  }
  if (packet.head.syn) {
    if (!flow.open) {
      flow.open = true;
      flow.server_next = packet.head.sequence + 1;
      SendRequest(number, flow.request, 1);
    }
    return;
  }
  if (packet.request == 0 || packet.request != flow.request) {
    return;
  }
  flow.server_next += packet.head.data_length;
  const uint64_t request = flow.request;
  flow.request = 0;
  const ClassModel& model = m_scenario.classes[flow.class_index];
  const bool stays = model.long_flows && !packet.head.fin;
  if (stays) {
    m_queue.After(kPause, [this, number] {
      if (!m_flows[number].ended) {
        m_idle[m_flows[number].class_index].push_back(number);
      }
    });
  } else {
    EndFlow(number, true);
  }
  if (packet.is_refusal || packet.head.answer == AnswerKind::kFailure) {
    FailAttempt(request, !packet.is_refusal);
  } else {
    Finish(request, true);
  }
}

void World::FailAttempt(uint64_t number, bool may_have_run) {
  if (number == 0) {
    return;  // The flow was idle.
  }
  LabRequest& request = m_requests[number];
  const ClassModel& model = m_scenario.classes[request.class_index];
  if (request.done) {
    return;
  }
  const bool again =
      request.attempts < kMaxAttempts && (model.repeatable || !may_have_run);
  if (!again) {
    Finish(number, false);
    return;
  }
  m_queue.After(kRetryPause * request.attempts, [this, number] {
    if (!m_requests[number].done) {
      Attempt(number);
    }
  });
}

void World::Finish(uint64_t number, bool answered) {
  LabRequest& request = m_requests[number];
  if (request.done) {
    return;
  }
  request.done = true;
  const ClassModel& model = m_scenario.classes[request.class_index];
  m_result.waited += answered ? Now() - request.asked : Duration();
  const bool in_aim = answered && Now() - request.asked <= model.aim;
  const double earned = in_aim     ? model.worth
                        : answered ? model.late_worth
                                   : 0.0;
  for (ClassResult* result :
       {&m_result.classes[model.name], &Window(request.asked)}) {
    result->in_aim += in_aim ? 1 : 0;
    result->late += answered && !in_aim ? 1 : 0;
    result->failed += answered ? 0 : 1;
    result->earned += earned;
  }
}

void World::EndFlow(uint64_t number, bool say_so) {
  LabFlow& flow = m_flows[number];
  flow.ended = true;
  m_flow_of.erase(flow.key);
  if (say_so) {
    LabPacket packet;
    packet.head.flow = flow.key;
    packet.head.ack = true;
    packet.head.fin = true;
    packet.head.sequence = flow.next;
    packet.head.acknowledged = flow.server_next;
    SendToRouter(packet, flow.domain);
  }
}

void World::SendToRouter(const LabPacket& packet, uint32_t domain) {
  // Rendezvous: only the flows of a balancer that leaves move.
  LabBalancer* chosen = nullptr;
  uint64_t best = 0;
  bool local = false;
  for (auto& balancer : m_balancers) {
    if (!balancer->in_rotation) {
      continue;
    }
    const bool here = balancer->domain == domain;
    const uint64_t rank = MixHash(HashFlow(packet.head.flow), balancer->ip);
    if (chosen == nullptr || (here && !local) ||
        (here == local && rank > best)) {
      chosen = balancer.get();
      best = rank;
      local = here;
    }
  }
  if (chosen != nullptr) {
    Travel(kCallerDelay,
           [this, chosen, packet] { BalancerGets(chosen, packet); });
  }
}

// Balancers.

void World::BalancerGets(LabBalancer* balancer, const LabPacket& packet) {
  if (!balancer->running) {
    return;
  }
  // The bytes stand for the packet: the request that its data carries.
  const uint8_t raw[1] = {0};
  Act(balancer,
      balancer->steering->OnCallerPacket(Now(), packet.head,
                                         ByteView(raw, sizeof(raw))),
      packet);
}

void World::Act(LabBalancer* balancer,
                const SteerDecision& decision,
                const LabPacket& packet) {
  if (decision.kind == SteerDecision::Kind::kReset) {
    for (auto& agent : m_agents) {
      const LabServer& server = agent->server;
      const bool held = server.running && !server.dark &&
                        server.flows.count(packet.head.flow) > 0;
      m_result.wrong_resets += held ? 1 : 0;
    }
    LabPacket reset;
    reset.head.flow = packet.head.flow;
    reset.head.rst = true;
    Travel(kCallerDelay, [this, reset] { CallerGets(reset); });
  }
  if (decision.kind != SteerDecision::Kind::kForward || balancer->cut) {
    return;
  }
  const RosterEntry* entry = balancer->roster->Find(decision.agent);
  LabAgent* agent = AgentAt(entry->member.ip);
  const ForwardHeader header = decision.header;
  Travel(kInsideDelay, [this, agent, balancer, header, packet] {
    AgentGets(agent, balancer, header, packet);
  });
}

void World::RunBalancerTimers(LabBalancer* balancer) {
  const uint64_t start = balancer->starts;
  m_queue.After(Milliseconds(20), [this, balancer, start] {
    if (!balancer->running || balancer->starts != start) {
      return;
    }
    for (const SteerResend& resend : balancer->steering->OnTick(Now())) {
      LabPacket packet;
      packet.head.flow = resend.flow;
      packet.head.syn = true;
      packet.head.sequence = static_cast<uint32_t>(HashFlow(resend.flow));
      Act(balancer, resend.decision, packet);
    }
    SendPointers(balancer);
    RunBalancerTimers(balancer);
  });
}

void World::SendPointers(LabBalancer* balancer) {
  for (const SteerPointer& pointer : balancer->steering->TakePointers()) {
    const RosterEntry* home = balancer->roster->Find(pointer.home);
    if (home == nullptr || balancer->cut) {
      continue;
    }
    LabAgent* agent = AgentAt(home->member.ip);
    Travel(kInsideDelay, [this, agent, pointer] {
      if (agent->gate != nullptr) {
        agent->gate->OnPointer(Now(), pointer.flow, pointer.owner);
      }
    });
  }
}

void World::CheckBalancers() {
  for (auto& balancer : m_balancers) {
    const bool ready = balancer->running && balancer->ready &&
                       balancer->steering->CanServe(Now());
    // Two misses take a balancer out; one good answer puts it back.
    if (ready) {
      balancer->in_rotation = true;
      balancer->ready = true;
    } else {
      LabBalancer* missed = balancer.get();
      m_queue.After(kCheckInterval, [this, missed] {
        const bool still = !missed->running || !missed->ready ||
                           !missed->steering->CanServe(Now());
        missed->in_rotation = missed->in_rotation && !still;
      });
    }
  }
}

// Agents and servers.

void World::SendStatus(LabAgent* agent) {
  if (agent->gate == nullptr) {
    return;
  }
  SteerMember self;
  self.id = MemberId{agent->ip};
  self.role = MemberRole::kAgent;
  self.ip = agent->ip;
  self.incarnation = agent->incarnation;
  self.service = ServiceIdOf(m_scenario.services[agent->server.service].name);
  self.domain = DomainId{agent->domain + 1};
  self.state = agent->gate->State(Now());
  self.load = agent->gate->Load(Now());
  proto::PeerStatus status;
  *status.mutable_self() = EncodeMember(Now(), self);
  status.set_sequence(++agent->sequence);
  status.set_leaving(agent->leaving);
  for (auto& balancer : m_balancers) {
    LabBalancer* to = balancer.get();
    Travel(kInsideDelay, [this, to, status] {
      if (to->running && !to->cut) {
        to->roster->OnStatus(Now(), status);
      }
    });
  }
}

void World::Report(LabAgent* agent) {
  LabServer& server = agent->server;
  if (!server.running || server.dark || agent->gate == nullptr) {
    return;
  }
  const ServiceModel& service = m_scenario.services[server.service];
  ServerReport report;
  report.id = server.id;
  report.started_ms = server.generation + 1;
  report.sequence = ++server.reports;
  report.service = service.name;
  report.address = server.address;
  report.slots = service.slots;
  report.draining = server.draining;
  const Duration cold_left = server.started + service.cold - Now();
  report.warmup_ms =
      static_cast<uint32_t>(std::max<int64_t>(ToMilliseconds(cold_left), 0));
  agent->gate->OnReport(Now(), report);
  if (server.draining && server.left_at == TimePoint()) {
    server.left_at = Now();
  }
}

void World::AgentGets(LabAgent* agent,
                      LabBalancer* from,
                      const ForwardHeader& header,
                      const LabPacket& packet) {
  if (agent->gate == nullptr) {
    return;
  }
  ForwardHeader asked = header;
  asked.last_choice = header.last_choice || !m_policy.ask_busy;
  const GateDecision decision =
      agent->gate->OnForwarded(Now(), from->ip, asked, packet.head);
  if (decision.kind == GateDecision::Kind::kDeliver) {
    LabPacket delivered = packet;
    delivered.head.tag = from->ip;
    ServerGets(agent, delivered, agent->server.generation);
  } else if (decision.kind == GateDecision::Kind::kReturn) {
    ReturnPacket(agent, decision, packet);
  }
}

void World::ReturnPacket(LabAgent* agent,
                         const GateDecision& decision,
                         const LabPacket& packet) {
  LabBalancer* balancer = BalancerAt(decision.balancer_ip);
  const ServerLoad load = agent->gate->Load(Now());
  const MemberId id{agent->ip};
  LabPacket back = packet;
  back.head.bounced = false;
  Travel(kInsideDelay, [this, balancer, id, load, decision, back] {
    if (!balancer->running || balancer->cut) {
      return;
    }
    balancer->roster->OnLoad(Now(), id, load);
    Act(balancer,
        balancer->steering->OnReturned(Now(), id, decision.reason,
                                       decision.owner, back.head),
        back);
  });
}

void World::ServerGets(LabAgent* agent,
                       const LabPacket& packet,
                       uint64_t generation) {
  LabServer& server = agent->server;
  if (!server.running || server.dark || server.generation != generation) {
    return;
  }
  const ClassModel& model =
      m_scenario.classes[packet.head.flow.route.ip - kRouteNet - 1];
  const bool own = model.service == m_scenario.services[server.service].name;
  m_result.mixed_services += own ? 0 : 1;
  const FlowKey& key = packet.head.flow;
  if (packet.head.syn) {
    const bool late =
        server.left_at != TimePoint() && Now() - server.left_at > kDrainBound;
    m_result.late_work += late ? 1 : 0;
    const auto [half, is_new] =
        server.half_open.try_emplace(key, server.next_sequence);
    server.next_sequence += is_new ? 1000000 : 0;
    m_result.connections += is_new ? 1 : 0;
    LabPacket answer;
    answer.head.flow = key;
    answer.head.from_caller = false;
    answer.head.syn = true;
    answer.head.ack = true;
    answer.head.sequence = half->second;
    ServerSends(agent, answer);
    return;
  }
  const auto half = server.half_open.find(key);
  if (half != server.half_open.end() &&
      packet.head.acknowledged == half->second + 1) {
    server.flows.emplace(key, 0);
    server.half_open.erase(half);
  }
  const auto open = server.flows.find(key);
  if (open == server.flows.end() && server.ended.count(key) > 0) {
    return;
  }
  if (open == server.flows.end()) {
    LabPacket bounced = packet;
    bounced.head.bounced = true;
    ServerSends(agent, bounced);
    return;
  }
  if (packet.head.fin) {
    server.flows.erase(open);
    server.ended.insert(key);
    return;
  }
  if (packet.head.data_length == 0 || open->second == packet.request) {
    return;  // Sent again while the request is being worked on.
  }
  open->second = packet.request;
  const ServiceModel& service = m_scenario.services[server.service];
  if (server.working < service.slots) {
    ServerWorks(agent, packet);
  } else if (server.waiting.size() < service.queue) {
    server.waiting.push_back(packet);
  } else {
    ++m_result.refused_by_server;
    ServerAnswers(agent, packet, true, false);
  }
}

void World::ServerWorks(LabAgent* agent, const LabPacket& packet) {
  LabServer& server = agent->server;
  LabRequest& request = m_requests[packet.request];
  const ClassModel& model = m_scenario.classes[request.class_index];
  ++request.runs;
  m_result.ran_twice += !model.repeatable && request.runs > 1 ? 1 : 0;
  ++server.working;
  const ServiceModel& service = m_scenario.services[server.service];
  const bool cold = Now() - server.started < service.cold;
  const double sigma = std::sqrt(std::log1p(model.spread * model.spread));
  const double factor =
      std::lognormal_distribution<>(-sigma * sigma / 2, sigma)(m_work) *
      (cold ? service.cold_factor : 1.0) * server.slow;
  const bool failed =
      server.failing > 0 && std::bernoulli_distribution(server.failing)(m_work);
  const Duration length =
      failed ? Milliseconds(1)
             : Duration(static_cast<int64_t>(
                   static_cast<double>(model.work.count()) * factor));
  const uint64_t generation = server.generation;
  m_queue.After(length, [this, agent, packet, generation, failed] {
    LabServer& then = agent->server;
    if (!then.running || then.generation != generation) {
      return;
    }
    --then.working;
    ServerAnswers(agent, packet, false, failed);
    if (!then.waiting.empty()) {
      const LabPacket next = then.waiting.front();
      then.waiting.pop_front();
      ServerWorks(agent, next);
    }
  });
}

void World::ServerAnswers(LabAgent* agent,
                          const LabPacket& packet,
                          bool refused,
                          bool failed) {
  LabServer& server = agent->server;
  LabPacket answer;
  answer.head.flow = packet.head.flow;
  answer.head.from_caller = false;
  answer.head.ack = true;
  answer.head.data_length = 1000;
  answer.head.fin = server.draining;
  answer.request = packet.request;
  answer.is_refusal = refused;
  answer.head.answer = refused  ? AnswerKind::kRefused
                       : failed ? AnswerKind::kFailure
                                : AnswerKind::kSuccess;
  if (server.draining) {
    server.flows.erase(packet.head.flow);
    server.ended.insert(packet.head.flow);
  }
  ServerSends(agent, answer);
}

void World::ServerSends(LabAgent* agent, const LabPacket& packet) {
  if (agent->server.dark || agent->gate == nullptr) {
    return;
  }
  const GateDecision decision = agent->gate->OnServerPacket(Now(), packet.head);
  if (decision.kind == GateDecision::Kind::kReturn) {
    ReturnPacket(agent, decision, packet);
    return;
  }
  Travel(kCallerDelay, [this, packet] { CallerGets(packet); });
  if (!decision.confirm) {
    return;
  }
  LabBalancer* balancer = BalancerAt(decision.balancer_ip);
  const ServerLoad load = agent->gate->Load(Now());
  const MemberId id{agent->ip};
  const FlowKey key = packet.head.flow;
  Travel(kInsideDelay, [this, balancer, id, load, key] {
    if (balancer->running && !balancer->cut) {
      balancer->roster->OnLoad(Now(), id, load);
      balancer->steering->OnHeld(Now(), id, key);
    }
  });
}

// Troubles.

void World::ScheduleTroubles() {
  for (const Trouble& trouble : m_scenario.troubles) {
    m_queue.After(trouble.at, [this, trouble] { Begin(trouble); });
  }
}

std::vector<LabAgent*> World::ChooseAgents(const Trouble& trouble) {
  std::vector<LabAgent*> fitting;
  for (auto& agent : m_agents) {
    const std::string& service =
        m_scenario.services[agent->server.service].name;
    if (trouble.service.empty() || trouble.service == service) {
      fitting.push_back(agent.get());
    }
  }
  std::shuffle(fitting.begin(), fitting.end(), m_network);
  fitting.resize(std::min<size_t>(fitting.size(), trouble.count));
  return fitting;
}

std::vector<LabBalancer*> World::ChooseBalancers(const Trouble& trouble) {
  std::vector<LabBalancer*> all;
  for (auto& balancer : m_balancers) {
    all.push_back(balancer.get());
  }
  std::shuffle(all.begin(), all.end(), m_network);
  all.resize(std::min<size_t>(all.size(), trouble.count));
  return all;
}

void World::RestartAgent(LabAgent* agent, Duration after) {
  agent->gate = nullptr;
  m_queue.After(after, [this, agent] { StartAgent(agent); });
}

void World::RestartBalancer(LabBalancer* balancer, Duration after) {
  balancer->running = false;
  m_queue.After(after, [this, balancer] {
    StartBalancer(balancer);
    // A newcomer asks a peer and hears the agents within a status.
    for (auto& agent : m_agents) {
      SendStatus(agent.get());
    }
  });
}

void World::RestartServer(LabAgent* agent, Duration after) {
  LabServer& server = agent->server;
  server.running = false;
  server.flows.clear();
  server.half_open.clear();
  server.ended.clear();
  server.waiting.clear();
  server.working = 0;
  ++server.generation;
  m_queue.After(after, [this, agent] {
    LabServer& fresh = agent->server;
    fresh.running = true;
    fresh.dark = false;
    fresh.draining = false;
    fresh.left_at = TimePoint();
    fresh.started = Now();
    fresh.reports = 0;
    Report(agent);
  });
}

void World::Begin(const Trouble& trouble) {
  switch (trouble.kind) {
    case TroubleKind::kKillBalancers:
      for (LabBalancer* balancer : ChooseBalancers(trouble)) {
        RestartBalancer(balancer, trouble.length);
      }
      break;
    case TroubleKind::kStopBalancers:
      for (LabBalancer* balancer : ChooseBalancers(trouble)) {
        balancer->ready = false;
        balancer->steering->PointToAll(Now());
        SendPointers(balancer);
        m_queue.After(Milliseconds(1700), [this, balancer, trouble] {
          RestartBalancer(balancer, trouble.length);
        });
      }
      break;
    case TroubleKind::kKillAgents:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        RestartAgent(agent, trouble.length);
      }
      break;
    case TroubleKind::kStopAgents:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        agent->leaving = true;
        agent->gate->StartLeaving();
        SendStatus(agent);
        m_queue.After(Milliseconds(300), [this, agent, trouble] {
          RestartAgent(agent, trouble.length);
        });
      }
      break;
    case TroubleKind::kCrashServers:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        RestartServer(agent, trouble.length);
        m_queue.After(Milliseconds(120), [this, agent] {
          const bool gone = agent->gate != nullptr && !agent->server.running;
          if (!gone) {
            return;
          }
          for (const GateReset& lost : agent->gate->OnServerDown(Now())) {
            LabPacket reset;
            reset.head.flow = lost.flow;
            reset.head.rst = true;
            Travel(kCallerDelay, [this, reset] { CallerGets(reset); });
          }
          SendStatus(agent);
        });
      }
      break;
    case TroubleKind::kDarkServers:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        agent->server.dark = true;
        RestartServer(agent, trouble.length);
      }
      break;
    case TroubleKind::kFailingServers:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        agent->server.failing = trouble.factor;
        m_queue.After(trouble.length, [agent] { agent->server.failing = 0; });
      }
      break;
    case TroubleKind::kSlowServers:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        agent->server.slow = trouble.factor;
        m_queue.After(trouble.length, [agent] { agent->server.slow = 1; });
      }
      break;
    case TroubleKind::kDrainServers:
      for (LabAgent* agent : ChooseAgents(trouble)) {
        if (agent->server.draining || !agent->server.running) {
          continue;  // It leaves already.
        }
        agent->server.draining = true;
        Report(agent);
        SendStatus(agent);
        m_queue.After(kDrainTime + Milliseconds(500), [this, agent, trouble] {
          if (agent->gate != nullptr) {
            agent->gate->OnDeregister(Now(), agent->server.id);
          }
          RestartServer(agent, trouble.length);
        });
      }
      break;
    case TroubleKind::kCutBalancers:
      for (LabBalancer* balancer : ChooseBalancers(trouble)) {
        balancer->cut = true;
        m_queue.After(trouble.length, [balancer] { balancer->cut = false; });
      }
      break;
    case TroubleKind::kPowerOff:
      for (auto& balancer : m_balancers) {
        RestartBalancer(balancer.get(), trouble.length + Milliseconds(300));
      }
      for (auto& agent : m_agents) {
        RestartServer(agent.get(), trouble.length);
        RestartAgent(agent.get(), trouble.length + Milliseconds(100));
      }
      break;
    case TroubleKind::kBurst:
      m_burst = trouble.factor;
      m_queue.After(trouble.length, [this] { m_burst = 1; });
      break;
    case TroubleKind::kLoss:
      m_loss = trouble.factor;
      m_queue.After(trouble.length, [this] { m_loss = 0; });
      break;
  }
}

}  // namespace

ClassResult Result::Total() const {
  ClassResult total;
  for (const auto& [name, result] : classes) {
    total.asked += result.asked;
    total.in_aim += result.in_aim;
    total.late += result.late;
    total.failed += result.failed;
    total.owed += result.owed;
    total.earned += result.earned;
  }
  return total;
}

double Result::Worth() const {
  const ClassResult total = Total();
  return total.earned / total.owed;
}

double Result::WorstWindow() const {
  double worst = 1;
  for (const ClassResult& window : windows) {
    if (window.owed > 0) {
      worst = std::min(worst, window.earned / window.owed);
    }
  }
  return worst;
}

Result Play(const Scenario& scenario, const Policy& policy, uint64_t seed) {
  World world(scenario, policy, seed);
  return world.Run();
}

}  // namespace medlargauge::lab

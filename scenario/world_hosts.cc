// @file world_hosts.cc Starts, drains, crashes, pauses and upgrades of agents
// and backend servers.
#include <algorithm>

#include "scenario/world.h"
#include "src/core/hash.h"

namespace medlargauge {
namespace {

/// Range of the random delay that simulates the gossip of memberships.
constexpr int64_t kMinGossipDelayMs = 20;
constexpr int64_t kMaxGossipDelayMs = 300;

}  // namespace

void World::AddServer(std::string_view name,
                      std::string_view service,
                      std::string_view version,
                      std::string_view domain) {
  auto host = std::make_unique<AgentHost>();
  host->name = std::string(name);
  host->service = std::string(service);
  host->version = std::string(version);
  host->domain = std::string(domain);
  host->server.service = host->service;
  m_agent_index[MemberIdOf(name)] = host.get();
  m_agents.push_back(std::move(host));
  StartAgentProcess(m_agents.back().get(), StartKind::kColdStart);
}

void World::StartAgentProcess(AgentHost* host, StartKind kind) {
  host->incarnation = NewIncarnation();
  ++host->process_epoch;
  host->leave_when_drained = false;
  host->drain_started = TimePoint();
  AgentConfig config;
  config.service = ServiceIdOf(host->service);
  config.self.id = MemberIdOf(host->name);
  config.self.incarnation = host->incarnation;
  config.self.version = VersionIdOf(host->version);
  config.self.domain = DomainIdOf(host->domain);
  config.limits = m_options.limits;
  config.timeouts = m_options.timeouts;
  config.policy = m_options.policy;
  config.start = kind;
  config.fault_injection = m_options.fault_injection;
  host->agent = std::make_unique<Agent>(m_events.Now(), std::move(config));
  for (const ClassTarget& target : m_targets.All()) {
    host->targets.Merge(target);
  }
  ApplyTargets(host);
  AnnounceAgent(*host);
  StartChangeWindow();
}

uint64_t World::NewIncarnation() const {
  // Like the daemon, which stores no state on its host, the time of the start
  // is used, so that each start has a higher incarnation.
  return ToMilliseconds(m_events.Now().time_since_epoch());
}

void World::StopAgentProcess(AgentHost* host) {
  host->agent = nullptr;
  host->backlog.clear();
  host->paused_until = TimePoint();
  ++host->process_epoch;
  StartChangeWindow();
}

void World::AnnounceAgent(const AgentHost& host) {
  const AgentFacts facts = host.agent->ServiceGroup().Self();
  const ServiceId service = ServiceIdOf(host.service);
  const auto gossip_delay = [this] {
    return Milliseconds(kMinGossipDelayMs +
                        static_cast<int64_t>(Uniform() * (kMaxGossipDelayMs -
                                                          kMinGossipDelayMs)));
  };
  for (const auto& other : m_agents) {
    if (other.get() == &host || other->service != host.service) {
      continue;
    }
    AgentHost* receiver = other.get();
    m_events.After(gossip_delay(), [this, receiver, facts] {
      RunOrDefer(receiver, [this, receiver, facts] {
        receiver->agent->UpdateMember(m_events.Now(), facts, false);
      });
    });
    if (other->agent != nullptr) {
      AgentHost* announced = m_agent_index[facts.id];
      const AgentFacts other_facts = other->agent->ServiceGroup().Self();
      m_events.After(gossip_delay(), [this, announced, other_facts] {
        RunOrDefer(announced, [this, announced, other_facts] {
          announced->agent->UpdateMember(m_events.Now(), other_facts, false);
        });
      });
    }
  }
  for (const auto& balancer : m_balancers) {
    BalancerHost* receiver = balancer.get();
    const Duration lag = Duration(static_cast<int64_t>(
        Uniform() *
        static_cast<double>(m_options.faults.balancer_lag.count())));
    m_events.After(gossip_delay() + lag, [this, receiver, facts, service] {
      if (receiver->balancer != nullptr) {
        receiver->balancer->UpdateMember(m_events.Now(), service, facts);
      }
    });
    if (receiver->balancer != nullptr) {
      AgentFacts observer;
      observer.id = MemberIdOf(receiver->name);
      observer.incarnation = receiver->incarnation;
      observer.state = AgentState::kReady;
      host.agent->UpdateMember(m_events.Now(), observer, true);
    }
  }
}

void World::Drain(std::string_view name, Duration deadline) {
  AgentHost& host = FindAgent(name);
  RunOrDefer(&host, [this, &host, deadline] {
    host.drain_started = m_events.Now();
    host.drain_deadline = m_events.Now() + deadline;
    host.leave_when_drained = true;
    host.agent->StartDrain(m_events.Now(), m_events.Now() + deadline);
    SendGroupMessages(MemberIdOf(host.name), host.agent->TakeOutgoing());
    StartChangeWindow();
  });
}

void World::StopIfDrained(AgentHost* host) {
  // The baselines keep no flow table in the agent, so the connections of the
  // backend server decide.
  const bool drained =
      m_options.path == RoutingScheme::kHome
          ? host->agent->IsDrained(m_events.Now())
          : host->server.open == 0 || m_events.Now() >= host->drain_deadline;
  const bool must_stop = host->leave_when_drained && drained;
  if (!must_stop) {
    return;
  }
  host->agent->Leave(m_events.Now());
  SendGroupMessages(MemberIdOf(host->name), host->agent->TakeOutgoing());
  StopAgentProcess(host);
  host->server.alive = false;
}

void World::StartServer(std::string_view name) {
  AgentHost& host = FindAgent(name);
  host.server.alive = true;
  host.server.open = 0;
  host.server.connections.clear();
  StartAgentProcess(&host, StartKind::kColdStart);
}

void World::CrashAgent(std::string_view name) {
  AgentHost& host = FindAgent(name);
  if (host.agent != nullptr) {
    StopAgentProcess(&host);
  }
}

void World::RecoverAgent(std::string_view name) {
  AgentHost& host = FindAgent(name);
  if (host.agent == nullptr && host.server.alive) {
    StartAgentProcess(&host, StartKind::kUnplannedRestart);
  }
}

void World::UpgradeAgent(std::string_view name, Duration away) {
  AgentHost& host = FindAgent(name);
  const AgentSnapshot snapshot = host.agent->ExportSnapshot();
  StopAgentProcess(&host);
  m_events.After(away, [this, &host, snapshot] {
    StartAgentProcess(&host, StartKind::kPlannedRestart);
    host.agent->ImportSnapshot(m_events.Now(), snapshot);
  });
}

void World::CrashServer(std::string_view name) {
  CrashAgent(name);
  AgentHost& host = FindAgent(name);
  host.server.alive = false;
}

void World::PauseAgent(std::string_view name, Duration length) {
  AgentHost& host = FindAgent(name);
  host.paused_until = m_events.Now() + length;
  const uint64_t process_epoch = host.process_epoch;
  StartChangeWindow();
  m_events.After(length, [&host, process_epoch] {
    if (host.process_epoch != process_epoch) {
      return;
    }
    std::vector<std::function<void()>> backlog;
    backlog.swap(host.backlog);
    for (const std::function<void()>& action : backlog) {
      action();
    }
  });
}

}  // namespace medlargauge

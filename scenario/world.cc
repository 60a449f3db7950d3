// @file world.cc Balancers, targets, timers and look-ups of the simulated
// world.
#include "scenario/world.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "scenario/world_internal.h"
#include "src/admission/admission.h"
#include "src/core/hash.h"

namespace medlargauge {
namespace {

/// Interval of OnTick, which agents and balancers need at least this often.
constexpr Duration kTickInterval = Milliseconds(100);
/// Packets delivered within this time after a change count as packets_change in
/// WorldCounts, later ones as packets_steady.
constexpr Duration kChangeWindow = Seconds(10);
/// Time between the withdrawal of a balancer from the fabric and its stop.
constexpr Duration kBalancerStopDelay = Milliseconds(500);
/// Delay until the fabric's health check detects a crashed balancer.
constexpr Duration kFabricHealthTimeout = Seconds(1);
/// Delay from a balancer's start until the fabric sends packets to it.
constexpr Duration kBalancerWarmUp = Seconds(1);

}  // namespace

World::World(WorldOptions options)
    : m_options(std::move(options)), m_random(m_options.seed) {
  if (!m_options.policy) {
    m_options.policy = PlaceWithinBound;
  }
  ScheduleTick();
}

World::~World() = default;

void World::AddBalancer(std::string_view name) {
  auto host = std::make_unique<BalancerHost>();
  host->name = std::string(name);
  m_balancer_index[MemberIdOf(name)] = host.get();
  m_balancers.push_back(std::move(host));
  StartBalancer(name);
  m_balancers.back()->in_fabric = true;
}

void World::StartBalancer(std::string_view name) {
  BalancerHost& host = FindBalancer(name);
  host.incarnation = NewIncarnation();
  AgentFacts facts;
  facts.id = MemberIdOf(name);
  facts.incarnation = host.incarnation;
  facts.state = AgentState::kReady;
  host.balancer = std::make_unique<Balancer>(facts, m_options.timeouts);
  host.local_table.clear();
  host.hidden_until.clear();
  host.seen_facts.clear();
  for (const ClassTarget& target : m_targets.All()) {
    host.targets.Merge(target);
  }
  host.balancer->SetTargets(host.targets.All());
  for (const auto& agent : m_agents) {
    if (agent->agent != nullptr) {
      host.balancer->UpdateMember(m_events.Now(), ServiceIdOf(agent->service),
                                  agent->agent->ServiceGroup().Self());
      agent->agent->UpdateMember(m_events.Now(), facts, true);
    }
  }
  const uint64_t incarnation = host.incarnation;
  m_events.After(kBalancerWarmUp, [&host, incarnation] {
    if (host.incarnation == incarnation && host.balancer != nullptr) {
      host.in_fabric = true;
    }
  });
}

void World::CrashBalancer(std::string_view name) {
  BalancerHost& host = FindBalancer(name);
  host.balancer = nullptr;
  m_events.After(kFabricHealthTimeout, [&host] {
    host.in_fabric = host.in_fabric && host.balancer != nullptr;
  });
}

void World::RestartBalancer(std::string_view name, Duration away) {
  BalancerHost& host = FindBalancer(name);
  host.in_fabric = false;
  m_events.After(kBalancerStopDelay, [this, &host] {
    if (host.balancer != nullptr) {
      host.balancer->Leave(m_events.Now());
      SendGroupMessages(MemberIdOf(host.name), host.balancer->TakeOutgoing());
      host.balancer = nullptr;
    }
  });
  m_events.After(away, [this, &host] {
    if (host.balancer == nullptr) {
      StartBalancer(host.name);
    }
  });
}

void World::SetLinkCut(std::string_view from, std::string_view to, bool cut) {
  const std::pair link{MemberIdOf(from), MemberIdOf(to)};
  if (cut) {
    m_cut_links.insert(link);
  } else {
    m_cut_links.erase(link);
  }
  StartChangeWindow();
}

void World::SetShedding(std::string_view name, bool shedding) {
  AgentHost& host = FindAgent(name);
  if (host.agent != nullptr) {
    host.agent->SetShedding(shedding);
  }
}

void World::SetReportsNoLoad(std::string_view name, bool reports_no_load) {
  FindAgent(name).reports_no_load = reports_no_load;
}

void World::SetTarget(const ClassTarget& target, Duration spread) {
  ClassTarget accepted = target;
  accepted.revision = m_next_revision++;
  m_targets.Merge(accepted);
  const auto draw_delay = [this, spread] {
    return Duration(
        static_cast<int64_t>(Uniform() * static_cast<double>(spread.count())));
  };
  for (const auto& agent : m_agents) {
    AgentHost* host = agent.get();
    m_events.After(draw_delay(), [this, host, accepted] {
      RunOrDefer(host, [this, host, accepted] {
        DeliverTarget(accepted, &host->targets);
        ApplyTargets(host);
      });
    });
  }
  for (const auto& balancer : m_balancers) {
    BalancerHost* host = balancer.get();
    m_events.After(draw_delay(), [this, host, accepted] {
      DeliverTarget(accepted, &host->targets);
      if (host->balancer != nullptr) {
        host->balancer->SetTargets(host->targets.All());
      }
    });
  }
  StartChangeWindow();
}

void World::DeliverTarget(const ClassTarget& target, TargetTable* targets) {
  const ClassTarget* known = targets->Find(target.name);
  const uint64_t known_revision = known == nullptr ? 0 : known->revision;
  targets->Merge(target);
  m_counts.reverts +=
      targets->Find(target.name)->revision < known_revision ? 1 : 0;
}

void World::ApplyTargets(AgentHost* host) {
  host->agent->SetSplits(
      m_events.Now(),
      MakeVersionSplits(host->targets.All(), ServiceIdOf(host->service)));
}

void World::Run(Duration length) {
  m_events.RunUntil(m_events.Now() + length);
}

void World::ScheduleTick() {
  m_events.After(kTickInterval, [this] {
    TickAgents();
    TickBalancers();
    ScheduleTick();
  });
}

void World::TickAgents() {
  for (const auto& host : m_agents) {
    if (!IsRunning(*host)) {
      continue;
    }
    host->agent->OnTick(m_events.Now());
    SendGroupMessages(MemberIdOf(host->name), host->agent->TakeOutgoing());
    StopIfDrained(host.get());
  }
}

void World::TickBalancers() {
  for (const auto& host : m_balancers) {
    if (host->balancer == nullptr) {
      continue;
    }
    host->balancer->OnTick(m_events.Now());
    SendGroupMessages(MemberIdOf(host->name), host->balancer->TakeOutgoing());
  }
}

bool World::IsRunning(const AgentHost& host) const {
  return host.agent != nullptr && m_events.Now() >= host.paused_until;
}

void World::RunOrDefer(AgentHost* host, std::function<void()> action) {
  if (host->agent == nullptr) {
    return;
  }
  if (IsRunning(*host)) {
    action();
    return;
  }
  host->backlog.push_back(std::move(action));
}

void World::StartChangeWindow() {
  m_change_window_end = m_events.Now() + kChangeWindow;
}

World::AgentHost& World::FindAgent(std::string_view name) {
  return *m_agent_index.at(MemberIdOf(name));
}

World::BalancerHost& World::FindBalancer(std::string_view name) {
  return *m_balancer_index.at(MemberIdOf(name));
}

World::AgentHost* World::FindAgentById(MemberId id) {
  const auto found = m_agent_index.find(id);
  return found == m_agent_index.end() ? nullptr : found->second;
}

World::BalancerHost* World::FindBalancerById(MemberId id) {
  const auto found = m_balancer_index.find(id);
  return found == m_balancer_index.end() ? nullptr : found->second;
}

size_t World::OpenFlows() const {
  return m_open_flows;
}

double World::Uniform() {
  return std::ldexp(static_cast<double>(m_random()), -32);
}

Duration World::Exponential(Duration mean) {
  const double factor = -std::log(1.0 - Uniform());
  return Duration(
      static_cast<int64_t>(factor * static_cast<double>(mean.count())));
}

AgentCounters World::SumCounters() const {
  AgentCounters sum;
  for (const auto& host : m_agents) {
    if (host->agent == nullptr) {
      continue;
    }
    const AgentCounters& counters = host->agent->Counters();
    for (size_t i = 0; i < kAdmissionCount; ++i) {
      sum.delivered[i] += counters.delivered[i];
    }
    for (size_t i = 0; i < kErrorKindCount; ++i) {
      sum.rejected[i] += counters.rejected[i];
    }
    sum.forwarded += counters.forwarded;
    sum.handed_over += counters.handed_over;
    sum.consulted += counters.consulted;
    sum.searched += counters.searched;
    sum.admissions_while_draining += counters.admissions_while_draining;
    sum.admissions_of_other_service += counters.admissions_of_other_service;
    sum.flows_with_two_owners += counters.flows_with_two_owners;
  }
  return sum;
}

}  // namespace medlargauge

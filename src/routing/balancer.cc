// @file balancer.cc Routing by address to class, service and home agent.
#include "src/routing/balancer.h"

#include <algorithm>

#include "src/core/hash.h"
#include "src/routing/routing.h"

namespace medlargauge {

VersionSplit MakeVersionSplit(const ClassTarget& target) {
  VersionSplit split;
  split.class_id = ClassIdOf(target.name);
  split.baseline = VersionIdOf(target.baseline);
  split.trial = VersionIdOf(target.trial);
  split.trial_share = target.trial_share;
  split.evenness = target.evenness;
  split.revision = target.revision;
  return split;
}

std::vector<VersionSplit> MakeVersionSplits(
    const std::vector<ClassTarget>& targets,
    ServiceId service) {
  std::vector<VersionSplit> splits;
  for (const ClassTarget& target : targets) {
    if (!target.deleted && ServiceIdOf(target.service) == service) {
      splits.push_back(MakeVersionSplit(target));
    }
  }
  std::sort(splits.begin(), splits.end(),
            [](const VersionSplit& a, const VersionSplit& b) {
              return a.class_id < b.class_id;
            });
  return splits;
}

Balancer::Balancer(AgentFacts self, GroupTimeouts timeouts)
    : m_self(self), m_timeouts(timeouts) {}

RouteVerdict Balancer::OnPacket(const PacketInfo& packet) {
  const auto route = m_routes.find(packet.tuple.destination);
  if (route == m_routes.end()) {
    return Reject(ErrorKind::kUnknownAddress);
  }
  const ServiceView& view = route->second.group->View();
  const AgentFacts* home = HomeOf(view, route->second.class_id, packet.flow);
  if (home == nullptr) {
    // No agent is ready here, but the view of a live agent may be newer, so it
    // decides whether to refuse the packet.
    for (const AgentFacts& agent : view.agents) {
      const bool ranks_higher =
          home == nullptr || RendezvousWeight(packet.flow, agent.id) >
                                 RendezvousWeight(packet.flow, home->id);
      home = ranks_higher ? &agent : home;
    }
  }
  if (home == nullptr) {
    return Reject(ErrorKind::kNoAgent);
  }
  RouteVerdict verdict;
  verdict.next = home->id;
  verdict.envelope.class_id = route->second.class_id;
  verdict.envelope.revision = route->second.revision;
  ++m_counters.forwarded;
  return verdict;
}

void Balancer::UpdateMember(TimePoint now,
                            ServiceId service,
                            const AgentFacts& facts) {
  if (service.IsSet()) {
    GroupOf(service).UpdateMember(now, facts, false);
  }
}

void Balancer::SetObservedServices(std::set<ServiceId> services) {
  m_observed = std::move(services);
}

bool Balancer::IsObserved(ServiceId service) const {
  return !m_observed.has_value() || m_observed->count(service) > 0;
}

void Balancer::SetTargets(const std::vector<ClassTarget>& targets) {
  m_targets = targets;
  m_routes.clear();
  for (const ClassTarget& target : targets) {
    if (target.deleted) {
      continue;
    }
    ClassRoute route;
    route.class_id = ClassIdOf(target.name);
    route.service = ServiceIdOf(target.service);
    route.revision = target.revision;
    route.group = &GroupOf(route.service);
    m_routes[target.address] = route;
  }
  for (auto& [service, group] : m_groups) {
    group->SetSplits(MakeVersionSplits(m_targets, service));
  }
}

void Balancer::OnMessage(TimePoint now, const proto::GroupMessage& message) {
  if (!message.has_heartbeat()) {
    return;
  }
  Group& group = GroupOf(ServiceId{message.service()});
  group.UpdateFence(now);
  group.OnHeartbeat(now, message);
}

void Balancer::OnTick(TimePoint now) {
  for (auto& [service, group] : m_groups) {
    if (IsObserved(service)) {
      group->UpdateFence(now);
      group->OnTick(now, OwnLoad());
    }
  }
}

void Balancer::Leave(TimePoint now) {
  for (auto& [service, group] : m_groups) {
    group->SetOwnState(now, AgentState::kGone, OwnLoad());
  }
}

std::vector<OutgoingGroupMessage> Balancer::TakeOutgoing() {
  std::vector<OutgoingGroupMessage> outgoing;
  for (auto& [service, group] : m_groups) {
    for (OutgoingGroupMessage& message : group->TakeOutgoing()) {
      outgoing.push_back(std::move(message));
    }
  }
  return outgoing;
}

const ServiceView* Balancer::ViewOf(ServiceId service) const {
  const auto group = m_groups.find(service);
  return group == m_groups.end() ? nullptr : &group->second->View();
}

Group& Balancer::GroupOf(ServiceId service) {
  std::unique_ptr<Group>& group = m_groups[service];
  if (group == nullptr) {
    group = std::make_unique<Group>(service, m_self, true, m_timeouts);
    group->SetSplits(MakeVersionSplits(m_targets, service));
  }
  return *group;
}

RouteVerdict Balancer::Reject(ErrorKind kind) {
  ++m_counters.rejected[static_cast<size_t>(kind)];
  RouteVerdict verdict;
  verdict.error = kind;
  return verdict;
}

}  // namespace medlargauge

// @file flow_director.cc Placement of new flows and forwarding of open ones.
#include "src/forwarding/flow_director.h"

#include <algorithm>

#include "src/forwarding/member_list.h"
#include "src/forwarding/target_keeper.h"

namespace medlargauge {
FlowDirector::FlowDirector(TimePoint now,
                           DomainId domain,
                           MembershipTable* members,
                           const ActiveRoutes* routes,
                           DirectorLimits limits,
                           PlacementPolicy policy)
    : m_started_at(now),
      m_domain(domain),
      m_members(members),
      m_routes(routes),
      m_limits(limits),
      m_policy(std::move(policy)),
      m_unrouted_packets(limits.max_held_bytes),
      m_search_packets(limits.max_held_bytes) {}

DirectorDecision FlowDirector::OnCallerPacket(TimePoint now,
                                              const FlowPacket& packet,
                                              ByteView raw) {
  const ServiceRoute* route = m_routes->Find(packet.flow.route);
  if (route == nullptr) {
    return OnUnroutedPacket(now, packet, raw);
  }
  return packet.syn ? OnOpeningPacket(now, now, *route, packet, raw)
                    : OnLaterPacket(now, *route, packet, raw);
}

DirectorDecision FlowDirector::OnUnroutedPacket(TimePoint now,
                                                const FlowPacket& packet,
                                                ByteView raw) {
  RemoveFlow(packet.flow);
  if (m_routes->Revision() == 0) {
    return HoldUnrouted(now, packet, raw);
  }
  const bool route_removed = m_routes->HadRoute(packet.flow.route);
  // A member with newer targets may still have the route of an open flow.
  const auto is_outdated = [this, now] {
    return ChooseTargetSource(now, *m_members, MemberId(), m_routes->Identity(),
                              0)
        .has_value();
  };
  const bool must_reset =
      !packet.rst && (packet.syn || (route_removed && !is_outdated()));
  return Reject(must_reset ? DirectorDecision::Kind::kReset
                           : DirectorDecision::Kind::kDrop,
                ErrorKind::kUnknownAddress);
}

DirectorDecision FlowDirector::OnOpeningPacket(TimePoint now,
                                               TimePoint arrived,
                                               const ServiceRoute& route,
                                               const FlowPacket& packet,
                                               ByteView raw) {
  const auto found = m_flows.find(packet.flow);
  const bool is_retransmission =
      found != m_flows.end() && found->second.syn_sequence == packet.sequence &&
      found->second.phase != Phase::kSearching;
  if (is_retransmission) {
    found->second.copy_deadline = CopyDeadline(arrived, packet);
  }
  if (is_retransmission && !found->second.agent.IsSet()) {
    return Reject(DirectorDecision::Kind::kHold, ErrorKind::kOverloaded);
  }
  if (is_retransmission) {
    // The agent has the packet, or the retry timer will choose another one.
    return Forward(now, route, found->second);
  }
  RemoveFlow(packet.flow);
  if (m_flows.size() >= m_limits.max_flows) {
    return Reject(DirectorDecision::Kind::kReset, ErrorKind::kOverloaded);
  }
  Flow flow;
  flow.syn_sequence = packet.sequence;
  flow.syn.assign(reinterpret_cast<const char*>(raw.data()), raw.size());
  flow.copy_deadline = CopyDeadline(arrived, packet);
  SetOpeningDeadlines(arrived, route, packet, &flow);
  flow.expires = now + m_limits.opening;
  const DirectorDecision decision = PlaceFlow(now, route, packet.flow, &flow);
  if (decision.kind != DirectorDecision::Kind::kReset) {
    ++m_counters.opened;
    m_flows[packet.flow] = std::move(flow);
  }
  return decision;
}

DirectorDecision FlowDirector::PlaceFlow(TimePoint now,
                                         const ServiceRoute& route,
                                         const FlowKey& key,
                                         Flow* flow) {
  const uint64_t hash = HashFlow(key);
  const ServiceId service = ActiveRoutes::SelectService(route, hash);
  std::vector<PlacementCandidate> candidates =
      Candidates(now, service, flow->tried);
  if (!HasResponsive(candidates)) {
    std::vector<PlacementCandidate> restricted =
        RestrictedCandidates(now, service, flow);
    candidates = restricted.empty() ? candidates : std::move(restricted);
  }
  const bool busy_limit_reached =
      flow->busy.size() >= m_limits.max_busy_returns;
  flow->is_late = IsLate(now, *flow, candidates);
  const bool gets_spare_slots_only =
      flow->is_late || (flow->is_queued && flow->goal_deadline == TimePoint());
  if (gets_spare_slots_only && flow->found_full) {
    // It gets a free slot, but no place in the queue of a server before flows
    // that can still be answered in time.
    return QueueFlow(now, route, key, flow);
  }
  if (candidates.empty() || busy_limit_reached) {
    // No agent has a free slot: choose the shortest queue among the agents that
    // returned the packet as busy.
    std::vector<PlacementCandidate> busy_candidates =
        Candidates(now, service, {});
    busy_candidates.erase(
        std::remove_if(busy_candidates.begin(), busy_candidates.end(),
                       [&](const PlacementCandidate& candidate) {
                         return !detail::Contains(flow->busy, candidate.id);
                       }),
        busy_candidates.end());
    if (!busy_candidates.empty()) {
      candidates = std::move(busy_candidates);
      flow->last_candidate = true;
    }
  }
  // A failed trial loses a request that must not be repeated.
  const bool may_be_trial =
      flow->tried.empty() && !flow->all_restricted &&
      (route.repeatable || !m_routes->HasRepeatableRoute(service));
  const std::optional<size_t> trial =
      may_be_trial ? FindTrial(candidates) : std::nullopt;
  const double work_us = m_costs.WorkUs(key.route);
  for (PlacementCandidate& candidate : candidates) {
    candidate.work_us = work_us;
  }
  const std::optional<size_t> chosen =
      trial.has_value() ? trial : m_policy(now, hash, candidates);
  flow->service = service;
  if (!chosen.has_value()) {
    return QueueFlow(now, route, key, flow);
  }
  const bool is_only_candidate = candidates.size() == 1 && flow->busy.empty();
  flow->last_candidate =
      !gets_spare_slots_only && (flow->last_candidate || is_only_candidate);
  flow->agent = candidates[*chosen].id;
  flow->answer_deadline = now + m_limits.opening_retry_delay;
  m_opening_deadlines.emplace_back(flow->answer_deadline, key);
  ++m_members->Find(flow->agent)->pending;
  return Forward(now, route, *flow);
}

bool FlowDirector::AcceptsFlows(TimePoint now,
                                ServiceId service,
                                const MemberEntry& entry) const {
  const FleetMember& member = entry.member;
  return member.role == MemberRole::kAgent && member.service == service &&
         !entry.leaving &&
         (member.state == AgentState::kReady ||
          member.state == AgentState::kJoining) &&
         m_members->IsReachable(now, entry);
}

std::vector<PlacementCandidate> FlowDirector::Candidates(
    TimePoint now,
    ServiceId service,
    const std::vector<MemberId>& excluded) const {
  std::vector<PlacementCandidate> candidates;
  for (const auto& [id, entry] : m_members->Entries()) {
    const FleetMember& member = entry.member;
    if (!AcceptsFlows(now, service, entry) || IsEvacuated(member.domain) ||
        detail::Contains(excluded, id)) {
      continue;
    }
    PlacementCandidate candidate;
    candidate.id = id;
    candidate.load = member.load;
    candidate.pending = entry.pending;
    candidate.responsive = member.state == AgentState::kReady &&
                           entry.avoid_until <= now &&
                           !IsRestricted(member.load);
    candidate.same_domain = member.domain == m_domain;
    candidate.slowness = entry.slowness;
    candidates.push_back(candidate);
  }
  return candidates;
}

DirectorDecision FlowDirector::OnLaterPacket(TimePoint now,
                                             const ServiceRoute& route,
                                             const FlowPacket& packet,
                                             ByteView raw) {
  const auto [found, is_new] = m_flows.try_emplace(packet.flow);
  Flow& flow = found->second;
  if (is_new && packet.rst) {
    RemoveFlow(packet.flow);
    return Reject(DirectorDecision::Kind::kDrop, ErrorKind::kFlowUnknown);
  }
  const bool is_closing = packet.fin || packet.rst;
  flow.expires = now + (is_closing ? m_limits.closing : IdleTimeout());
  if (is_new) {
    BeginSearch(now, packet.flow, &flow);
    HoldForSearch(now, packet, raw);
    return ContinueSearch(now, packet.flow, &flow);
  }
  if (flow.phase == Phase::kOpening) {
    // The caller got an answer, but it is unknown which server accepted the
    // flow.
    BeginSearch(now, packet.flow, &flow);
  }
  const MemberEntry* owner = m_members->Find(flow.agent);
  if (flow.phase == Phase::kOwnerKnown && owner != nullptr) {
    flow.owner_proven = IsOwnerProven(flow, *owner);
    if (!flow.owner_proven && HasOwnerRestarted(flow, *owner)) {
      BeginSearch(now, packet.flow, &flow);
      HoldForSearch(now, packet, raw);
      return ContinueSearch(now, packet.flow, &flow);
    }
  }
  const bool owner_dead = owner == nullptr ||
                          m_members->IsPresumedDead(now, *owner) ||
                          m_members->HasLeftStopped(now, *owner);
  if (flow.phase == Phase::kSearching) {
    HoldForSearch(now, packet, raw);
    if (flow.is_queried) {
      return Reject(DirectorDecision::Kind::kHold, ErrorKind::kMaybeElsewhere);
    }
    if (owner_dead || now >= SearchDeadline(flow)) {
      OnSearchTimeout(&flow);
      return ContinueSearch(now, packet.flow, &flow);
    }
    return Forward(now, route, flow);
  }
  // A reset makes the caller retry at once rather than after its own timeout.
  const bool retry_elsewhere =
      owner_dead || (route.repeatable && m_members->IsSuspected(now, *owner));
  const bool reaches_agents =
      m_members->CountReachable(now, MemberRole::kAgent) > 0;
  if (retry_elsewhere && reaches_agents &&
      (owner == nullptr || !flow.owner_proven)) {
    // The caller may have accepted another server, for example if a balancer
    // that was suspended opened the flow a second time.
    const MemberId silent_agent = flow.agent;
    BeginSearch(now, packet.flow, &flow);
    detail::AddOnce(&flow.unresponsive, silent_agent);
    HoldForSearch(now, packet, raw);
    return ContinueSearch(now, packet.flow, &flow);
  }
  // Another member that hears more agents may hear the owner.
  const bool may_reset =
      retry_elsewhere && reaches_agents && !m_members->MayMissAgents(now);
  if (may_reset) {
    DirectorDecision reset =
        Reject(DirectorDecision::Kind::kReset, ErrorKind::kFlowUnknown);
    reset.evidence.owner_heard = owner->heard;
    reset.evidence.owner_probe = owner->probe.outcome;
    reset.evidence.agents = CountAgents();
    ++m_counters.silence_resets;
    RemoveFlow(packet.flow);
    return reset;
  }
  flow.used_since = flow.used_since == TimePoint() ? now : flow.used_since;
  return Forward(now, route, flow);
}

DirectorDecision FlowDirector::OnReturned(TimePoint now,
                                          MemberId from,
                                          ReturnReason reason,
                                          MemberId owner,
                                          const FlowPacket& packet,
                                          ByteView raw) {
  LearnCost(now, from, packet.flow.route);
  const ServiceRoute* route = m_routes->Find(packet.flow.route);
  if (route == nullptr) {
    return OnUnroutedPacket(now, packet, raw);
  }
  const auto found = m_flows.find(packet.flow);
  if (found == m_flows.end()) {
    // The entry has expired; a later packet starts a search.
    return Reject(DirectorDecision::Kind::kDrop, ErrorKind::kMaybeElsewhere);
  }
  Flow& flow = found->second;
  if (packet.syn) {
    const bool is_current_opening = flow.phase == Phase::kOpening &&
                                    flow.syn_sequence == packet.sequence &&
                                    flow.agent.IsSet();
    return is_current_opening
               ? OnReturnedOpening(now, *route, from, reason, found)
               : Reject(DirectorDecision::Kind::kDrop, ErrorKind::kNone);
  }
  if (packet.rst) {
    RemoveFlow(packet.flow);
    return Reject(DirectorDecision::Kind::kDrop, ErrorKind::kFlowUnknown);
  }
  const bool was_searching = flow.phase == Phase::kSearching;
  if (!was_searching && flow.agent == from) {
    BeginSearch(now, packet.flow, &flow);
  }
  if (reason == ReturnReason::kWrongService) {
    // The packet named another service than the agent's, so its server has not
    // denied the flow. It is asked again with the service of its next status.
    detail::AddOnce(&flow.unresponsive, from);
    if (was_searching && flow.agent == from) {
      return Reject(DirectorDecision::Kind::kHold, ErrorKind::kMaybeElsewhere);
    }
  } else if (reason == ReturnReason::kMoved) {
    const bool follow_pointer = m_members->Find(owner) != nullptr &&
                                !detail::Contains(flow.tried, owner);
    flow.use_pointer = false;
    if (follow_pointer && flow.agent == from) {
      SetSearchTarget(now, owner, &flow);
      return Forward(now, *route, flow);
    }
  } else if (reason == ReturnReason::kServerDown) {
    // Unlike a bounce by the server, this may change: the agent is asked again
    // if its state does.
    detail::AddOnce(&flow.server_down, from);
    m_members->OnServerDown(from);
  } else {
    detail::AddOnce(&flow.tried, from);
  }
  if (flow.agent != from && flow.agent.IsSet() &&
      !detail::Contains(flow.tried, flow.agent) &&
      !detail::Contains(flow.server_down, flow.agent)) {
    // An agent that was asked earlier returned the packet late.
    return Forward(now, *route, flow);
  }
  return ContinueSearch(now, packet.flow, &flow);
}

DirectorDecision FlowDirector::OnReturnedOpening(TimePoint now,
                                                 const ServiceRoute& route,
                                                 MemberId from,
                                                 ReturnReason reason,
                                                 FlowMap::iterator found) {
  Flow& flow = found->second;
  const FlowKey key = found->first;
  const bool from_current_agent = flow.agent == from;
  detail::AddOnce(&flow.tried, from);
  flow.found_full = flow.found_full || reason == ReturnReason::kBusy ||
                    reason == ReturnReason::kFull;
  if (reason == ReturnReason::kBusy) {
    ++m_counters.busy_returns;
    detail::AddOnce(&flow.busy, from);
  } else {
    flow.busy.erase(std::remove(flow.busy.begin(), flow.busy.end(), from),
                    flow.busy.end());
  }
  if (!from_current_agent) {
    return Reject(DirectorDecision::Kind::kDrop, ErrorKind::kNone);
  }
  const bool too_late = reason == ReturnReason::kFull && flow.last_candidate;
  const DirectorDecision decision = too_late
                                        ? QueueFlow(now, route, key, &flow)
                                        : PlaceFlow(now, route, key, &flow);
  if (decision.kind == DirectorDecision::Kind::kReset) {
    RemoveFlow(key);
  }
  return decision;
}

bool FlowDirector::CanServe(TimePoint now) const {
  const bool is_isolated =
      now - m_members->LastContact() > m_limits.isolation_timeout;
  if (m_routes->Revision() == 0 || is_isolated) {
    return false;
  }
  bool knows_open_agent = false;
  bool reaches_evacuated_agent = false;
  for (const auto& [id, entry] : m_members->Entries()) {
    const bool exists = entry.member.role == MemberRole::kAgent &&
                        entry.member.state != AgentState::kGone;
    const bool is_reachable = exists && m_members->IsReachable(now, entry);
    const bool is_evacuated = IsEvacuated(entry.member.domain);
    if (is_reachable && !is_evacuated) {
      return true;
    }
    knows_open_agent |= exists && !is_evacuated;
    reaches_evacuated_agent |= is_reachable;
  }
  // A balancer that is cut off from all servers that may take flows leaves them
  // to balancers that are not.
  return reaches_evacuated_agent && !knows_open_agent;
}

DirectorDecision FlowDirector::Forward(TimePoint now,
                                       const ServiceRoute& route,
                                       const Flow& flow) {
  ++m_counters.forwarded;
  DirectorDecision decision;
  decision.kind = DirectorDecision::Kind::kForward;
  decision.agent = flow.agent;
  decision.header.service = flow.service;
  decision.header.search = flow.phase == Phase::kSearching;
  decision.header.use_pointer = flow.use_pointer;
  decision.header.last_candidate = flow.last_candidate;
  decision.header.repeatable = route.repeatable;
  decision.header.all_restricted = flow.all_restricted;
  decision.header.response_limit_ms = ResponseLimitMs(now, flow);
  decision.header.revision = m_routes->Revision();
  const auto& rates = m_routes->Table().warmup_per_second;
  const auto rate = rates.find(flow.service);
  decision.header.warmup_per_second = rate == rates.end() ? 0 : rate->second;
  return decision;
}

DirectorDecision FlowDirector::Reject(DirectorDecision::Kind kind,
                                      ErrorKind error) {
  ++m_counters.rejected[static_cast<size_t>(error)];
  DirectorDecision decision;
  decision.kind = kind;
  decision.error = error;
  return decision;
}

Duration FlowDirector::IdleTimeout() const {
  const uint32_t target_timeout_ms = m_routes->Table().idle_timeout_ms;
  return target_timeout_ms == 0 ? m_limits.idle
                                : Milliseconds(target_timeout_ms) + Seconds(1);
}

void FlowDirector::RemoveFlow(const FlowKey& key) {
  const auto found = m_flows.find(key);
  if (found != m_flows.end()) {
    if (found->second.is_queued) {
      m_opening_queues[found->second.service].Erase(key);
    }
    m_flows.erase(found);
  }
  m_search_packets.Erase(key);
}

}  // namespace medlargauge

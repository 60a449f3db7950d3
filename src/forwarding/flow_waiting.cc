// @file flow_waiting.cc Decisions that FlowDirector takes later: about new
// flows that no server takes yet, and packets whose route or owner is unknown.
#include <algorithm>
#include <array>
#include <utility>

#include "src/forwarding/flow_director.h"
#include "src/forwarding/member_list.h"

namespace medlargauge {
namespace {

/// An agent that did not confirm an opening packet is avoided until it is heard
/// again, but at most for this time or two of its status intervals.
constexpr Duration kAvoidTime = Milliseconds(600);
constexpr Duration kSweepInterval = Seconds(1);
/// Interval of OnTick while packets are held.
constexpr Duration kHoldPollInterval = Milliseconds(20);
/// Time from the first transmission of a SYN to each of its transmissions.
constexpr std::array<Duration, 3> kSynTransmissions = {
    Milliseconds(0), Milliseconds(200), Milliseconds(600)};

/// Delay allowed for a copy of an opening packet.
constexpr Duration kCopyDelay = Milliseconds(100);

/// Returns when the caller sent an opening packet for the first time.
TimePoint FirstTransmission(TimePoint arrived, const FlowPacket& packet) {
  const size_t transmission =
      std::min<size_t>(packet.acknowledged, kSynTransmissions.size() - 1);
  return arrived - kSynTransmissions[transmission];
}

/// Returns a SYN without data.
FlowPacket MakeSyn(const FlowKey& flow, uint32_t sequence) {
  FlowPacket packet;
  packet.flow = flow;
  packet.syn = true;
  packet.sequence = sequence;
  return packet;
}

}  // namespace

TimePoint FlowDirector::OpeningDeadline(TimePoint arrived,
                                        uint32_t timeout_ms,
                                        const FlowPacket& packet) const {
  const Duration wait = timeout_ms == 0
                            ? m_limits.max_opening_wait
                            : std::min<Duration>(m_limits.max_opening_wait,
                                                 Milliseconds(timeout_ms) / 2);
  return FirstTransmission(arrived, packet) + wait;
}

void FlowDirector::SetOpeningDeadlines(TimePoint arrived,
                                       const ServiceRoute& route,
                                       const FlowPacket& packet,
                                       Flow* flow) const {
  const TimePoint first = FirstTransmission(arrived, packet);
  flow->wait_deadline = OpeningDeadline(arrived, route.timeout_ms, packet);
  flow->goal_deadline =
      route.goal_ms == 0 ? TimePoint() : first + Milliseconds(route.goal_ms);
  flow->request_deadline = route.timeout_ms == 0
                               ? TimePoint()
                               : first + Milliseconds(route.timeout_ms);
}

bool FlowDirector::IsLate(TimePoint now,
                          const Flow& flow,
                          const std::vector<PlacementCandidate>& candidates) {
  if (flow.goal_deadline == TimePoint()) {
    return false;
  }
  std::optional<Duration> fastest;
  for (const PlacementCandidate& candidate : candidates) {
    const Duration service =
        std::chrono::microseconds(candidate.load.service_us);
    fastest = std::min(fastest.value_or(service), service);
  }
  return flow.goal_deadline - now <= fastest.value_or(Duration());
}

uint32_t FlowDirector::ResponseLimitMs(TimePoint now, const Flow& flow) {
  const TimePoint deadline =
      flow.is_late ? flow.request_deadline : flow.goal_deadline;
  // At least 1 ms, as 0 means that there is no limit.
  return deadline == TimePoint() ? 0
                                 : static_cast<uint32_t>(std::max<int64_t>(
                                       ToMilliseconds(deadline - now), 1));
}

TimePoint FlowDirector::CopyDeadline(TimePoint arrived,
                                     const FlowPacket& packet) {
  const size_t next = static_cast<size_t>(packet.acknowledged) + 1;
  return next >= kSynTransmissions.size()
             ? TimePoint()
             : arrived + kSynTransmissions[next] - kSynTransmissions[next - 1] +
                   kCopyDelay;
}

DirectorDecision FlowDirector::HoldUnrouted(TimePoint now,
                                            const FlowPacket& packet,
                                            ByteView raw) {
  const TimePoint expires = packet.syn ? OpeningDeadline(now, 0, packet)
                                       : now + m_limits.max_packet_hold;
  if (packet.syn && IsUnservable(now, expires)) {
    m_unrouted_packets.Erase(packet.flow);
    ++m_counters.target_resets;
    return Reject(DirectorDecision::Kind::kReset, ErrorKind::kUnknownAddress);
  }
  const bool is_request = packet.data_length > 0 && !packet.rst;
  const bool held = (packet.syn || is_request) &&
                    m_unrouted_packets.Hold(now, packet, raw, expires);
  m_counters.held += held ? 1 : 0;
  return Reject(
      held ? DirectorDecision::Kind::kHold : DirectorDecision::Kind::kDrop,
      ErrorKind::kUnknownAddress);
}

void FlowDirector::RejectUnservableFlows(
    TimePoint now,
    std::vector<DeferredDecision>* decisions) {
  const auto is_unservable = [&](const HeldPacket& held) {
    return held.packet.syn && IsUnservable(now, held.expires);
  };
  for (const HeldPacket& held : m_unrouted_packets.TakeIf(is_unservable)) {
    ++m_counters.target_resets;
    decisions->push_back(
        {held.packet,
         {},
         Reject(DirectorDecision::Kind::kReset, ErrorKind::kUnknownAddress)});
  }
}

void FlowDirector::HoldForSearch(TimePoint now,
                                 const FlowPacket& packet,
                                 ByteView raw) {
  // The packet keeps the search going. A request must reach its server, so it
  // is not replaced by a packet without data.
  const HeldPacket* held = m_search_packets.Find(packet.flow);
  const bool replaces_request = packet.data_length == 0 && held != nullptr &&
                                held->packet.data_length > 0;
  if (!packet.rst && !replaces_request &&
      m_search_packets.Hold(now, packet, raw, now + m_limits.max_packet_hold)) {
    ++m_counters.held;
  }
}

std::vector<PlacementCandidate> FlowDirector::RestrictedCandidates(
    TimePoint now,
    ServiceId service,
    Flow* flow) const {
  if (flow->all_restricted) {
    return {};
  }
  std::vector<PlacementCandidate> candidates = Candidates(now, service, {});
  if (HasResponsive(candidates)) {
    return {};
  }
  candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                                  [](const PlacementCandidate& candidate) {
                                    return !IsRestricted(candidate.load);
                                  }),
                   candidates.end());
  if (!candidates.empty()) {
    // Agents that returned the flow did not know that the others do so too.
    flow->all_restricted = true;
    flow->found_full = false;
    flow->tried.clear();
    flow->busy.clear();
  }
  return candidates;
}

DirectorDecision FlowDirector::QueueFlow(TimePoint now,
                                         const ServiceRoute& route,
                                         const FlowKey& key,
                                         Flow* flow) {
  const bool found_agents = std::exchange(flow->found_full, false);
  const bool is_evacuated = IsServiceEvacuated(now, flow->service);
  const ErrorKind error = is_evacuated   ? ErrorKind::kEvacuated
                          : found_agents ? ErrorKind::kOverloaded
                                         : ErrorKind::kNoAgent;
  OpeningQueue& queue = m_opening_queues[flow->service];
  if (flow->is_queued) {
    queue.PutBack(now, key);
  } else {
    // Where no agent serves the service, waiting is of use only as long as some
    // may be unknown, or wait for the first heartbeat of their server.
    // During an evacuation, routers may pass copies of the packet to a balancer
    // that reaches the other domains.
    const bool may_wait =
        !is_evacuated && (found_agents || !IsDiscoveryComplete(now) ||
                          HasJoiningAgent(now, flow->service) ||
                          (!m_evacuated_domains.empty() &&
                           KnownServers(now, flow->service).first));
    const TimePoint goal =
        flow->goal_deadline == TimePoint()
            ? flow->wait_deadline
            : std::min(flow->goal_deadline, flow->wait_deadline);
    if (!may_wait ||
        !queue.Add(now, key, route.priority, goal, flow->wait_deadline)) {
      return Reject(DirectorDecision::Kind::kReset, error);
    }
    ++m_counters.queued;
  }
  flow->is_queued = true;
  flow->agent = MemberId();
  flow->tried.clear();
  flow->busy.clear();
  flow->last_candidate = false;
  flow->all_restricted = false;
  flow->answer_deadline = TimePoint();
  return Reject(DirectorDecision::Kind::kHold, error);
}

bool FlowDirector::HasJoiningAgent(TimePoint now, ServiceId service) const {
  return std::any_of(m_members->Entries().begin(), m_members->Entries().end(),
                     [&](const auto& item) {
                       const FleetMember& member = item.second.member;
                       return member.role == MemberRole::kAgent &&
                              member.service == service &&
                              member.state == AgentState::kJoining &&
                              !IsEvacuated(member.domain) &&
                              !item.second.leaving &&
                              m_members->IsReachable(now, item.second);
                     });
}

std::pair<bool, bool> FlowDirector::KnownServers(TimePoint now,
                                                 ServiceId service) const {
  bool has_open = false;
  bool has_evacuated = false;
  for (const auto& [id, entry] : m_members->Entries()) {
    const FleetMember& member = entry.member;
    const bool serves = member.role == MemberRole::kAgent &&
                        member.service == service && !entry.leaving &&
                        (member.state == AgentState::kReady ||
                         member.state == AgentState::kJoining) &&
                        !m_members->IsPresumedDead(now, entry);
    const bool is_evacuated = IsEvacuated(member.domain);
    has_open |= serves && !is_evacuated;
    has_evacuated |= serves && is_evacuated;
  }
  return {has_open, has_evacuated};
}

bool FlowDirector::IsServiceEvacuated(TimePoint now, ServiceId service) const {
  if (m_evacuated_domains.empty() || !IsDiscoveryComplete(now)) {
    return false;
  }
  const auto [has_open, has_evacuated] = KnownServers(now, service);
  return has_evacuated && !has_open;
}

std::vector<DeferredDecision> FlowDirector::OnTick(TimePoint now) {
  std::vector<DeferredDecision> decisions;
  RouteHeldPackets(now, &decisions);
  ResendUnansweredOpenings(now, &decisions);
  if (now >= m_next_hold_check) {
    m_next_hold_check = now + kHoldPollInterval;
    RejectUnservableFlows(now, &decisions);
    RejectExpiredFlows(now, &decisions);
    OnQueryResults(now, m_owner_queries.TakeExpired(now), &decisions);
    ContinueSearches(now, &decisions);
    StartQueries(now);
  }
  ReleaseQueuedFlows(now, &decisions);
  if (now >= m_sweep_deadline) {
    m_sweep_deadline = now + kSweepInterval;
    SweepFlows(now);
  }
  return decisions;
}

void FlowDirector::LearnCost(TimePoint now,
                             MemberId from,
                             SocketAddress4 route) {
  MemberEntry* agent = m_members->Find(from);
  if (agent != nullptr) {
    m_costs.OnReport(now, route, agent->member.load, &agent->slowness);
  }
}

void FlowDirector::SweepFlows(TimePoint now) {
  std::vector<FlowKey> expired;
  for (auto& [key, flow] : m_flows) {
    const bool needs_pointer =
        flow.phase == Phase::kOwnerKnown && !flow.pointer_handled &&
        now - flow.owner_since >= m_limits.pointer_min_age &&
        flow.expires - now > m_limits.closing;
    if (needs_pointer) {
      QueuePointer(now, key, &flow);
    }
    if (flow.expires <= now) {
      expired.push_back(key);
    }
  }
  for (const FlowKey& key : expired) {
    RemoveFlow(key);
  }
  m_unrouted_packets.EraseExpired(now);
  m_search_packets.EraseExpired(now);
}

void FlowDirector::RouteHeldPackets(TimePoint now,
                                    std::vector<DeferredDecision>* decisions) {
  if (m_routes->Revision() == 0) {
    return;
  }
  for (HeldPacket& held : m_unrouted_packets.TakeAll()) {
    if (held.expires <= now) {
      continue;
    }
    const ByteView raw(reinterpret_cast<const uint8_t*>(held.raw.data()),
                       held.raw.size());
    const ServiceRoute* route = m_routes->Find(held.packet.flow.route);
    const DirectorDecision decision =
        route != nullptr && held.packet.syn
            ? OnOpeningPacket(now, held.arrived, *route, held.packet, raw)
            : OnCallerPacket(now, held.packet, raw);
    decisions->push_back({held.packet, std::move(held.raw), decision});
  }
}

void FlowDirector::ResendUnansweredOpenings(
    TimePoint now,
    std::vector<DeferredDecision>* decisions) {
  while (!m_opening_deadlines.empty() &&
         m_opening_deadlines.front().first <= now) {
    const auto [deadline, key] = m_opening_deadlines.front();
    m_opening_deadlines.pop_front();
    const auto found = m_flows.find(key);
    const bool is_due = found != m_flows.end() &&
                        found->second.phase == Phase::kOpening &&
                        found->second.answer_deadline == deadline;
    const ServiceRoute* route = m_routes->Find(key.route);
    if (!is_due || route == nullptr ||
        found->second.opening_retries >= m_limits.max_opening_retries) {
      continue;
    }
    Flow& flow = found->second;
    ++flow.opening_retries;
    ++m_counters.late_openings;
    detail::AddOnce(&flow.tried, flow.agent);
    m_members->OnUnanswered(flow.agent);
    MemberEntry* unconfirmed_agent = m_members->Find(flow.agent);
    if (unconfirmed_agent != nullptr) {
      unconfirmed_agent->avoid_until =
          now + std::max(kAvoidTime, 2 * MembershipTable::StatusIntervalOf(
                                             *unconfirmed_agent));
    }
    // The first agent may still confirm the flow, so it is not reset here.
    const DirectorDecision decision = PlaceFlow(now, *route, key, &flow);
    if (decision.kind == DirectorDecision::Kind::kForward) {
      decisions->push_back(
          {MakeSyn(key, flow.syn_sequence), flow.syn, decision, true});
    }
  }
}

void FlowDirector::RejectExpiredFlows(
    TimePoint now,
    std::vector<DeferredDecision>* decisions) {
  for (auto& [service, queue] : m_opening_queues) {
    // Waiting is of no use where no server may take the flows.
    const bool is_evacuated =
        queue.Count() > 0 && IsServiceEvacuated(now, service);
    const TimePoint deadline = is_evacuated ? TimePoint::max() : now;
    for (const FlowKey& key : queue.TakeExpired(deadline)) {
      const auto found = m_flows.find(key);
      if (found == m_flows.end()) {
        continue;
      }
      decisions->push_back({MakeSyn(key, found->second.syn_sequence),
                            {},
                            Reject(DirectorDecision::Kind::kReset,
                                   is_evacuated ? ErrorKind::kEvacuated
                                                : ErrorKind::kOverloaded)});
      RemoveFlow(key);
    }
  }
}

void FlowDirector::ReleaseQueuedFlows(
    TimePoint now,
    std::vector<DeferredDecision>* decisions) {
  for (auto& [service, queue] : m_opening_queues) {
    for (const FlowKey& key : queue.Release(now)) {
      const auto found = m_flows.find(key);
      const ServiceRoute* route = m_routes->Find(key.route);
      if (found == m_flows.end() || route == nullptr) {
        queue.Erase(key);
        continue;
      }
      Flow& flow = found->second;
      if (flow.copy_deadline != TimePoint() && flow.copy_deadline <= now) {
        RemoveFlow(key);  // Its caller has given up.
        continue;
      }
      DeferredDecision deferred{MakeSyn(key, flow.syn_sequence), flow.syn,
                                PlaceFlow(now, *route, key, &flow)};
      if (deferred.decision.kind == DirectorDecision::Kind::kForward) {
        decisions->push_back(std::move(deferred));
      }
    }
  }
}

TimePoint FlowDirector::SearchDeadline(const Flow& flow) const {
  return flow.asked_at + m_limits.search_timeout * (1 << flow.silent_rounds);
}

void FlowDirector::ContinueSearches(TimePoint now,
                                    std::vector<DeferredDecision>* decisions) {
  if (m_search_packets.IsEmpty()) {
    return;
  }
  // A search that has asked all known agents goes on when more may be known.
  const bool is_complete = IsDiscoveryComplete(now);
  const bool knows_more = m_members->LastAgentDiscovery() != m_discovery_seen ||
                          is_complete != m_discovery_was_complete;
  m_discovery_seen = m_members->LastAgentDiscovery();
  m_discovery_was_complete = is_complete;
  for (const FlowKey& key : m_search_packets.Flows()) {
    const HeldPacket* held = m_search_packets.Find(key);
    const auto found = m_flows.find(key);
    if (held->expires <= now || found == m_flows.end() ||
        found->second.phase != Phase::kSearching ||
        m_routes->Find(key.route) == nullptr) {
      m_search_packets.Erase(key);
      continue;
    }
    Flow& flow = found->second;
    const bool is_due =
        !flow.is_queried &&
        (flow.agent.IsSet() ? now >= SearchDeadline(flow) : knows_more);
    if (!is_due) {
      continue;
    }
    OnSearchTimeout(&flow);
    DeferredDecision deferred{held->packet, held->raw, DirectorDecision()};
    deferred.decision = ContinueSearch(now, key, &flow);
    if (deferred.decision.kind != DirectorDecision::Kind::kHold) {
      decisions->push_back(std::move(deferred));
    }
  }
}

std::optional<TimePoint> FlowDirector::NextDeadline(TimePoint now) const {
  if (HeldCount() > 0) {
    return now + kHoldPollInterval;
  }
  return m_opening_deadlines.empty()
             ? std::nullopt
             : std::make_optional(m_opening_deadlines.front().first);
}

size_t FlowDirector::HeldCount() const {
  size_t count = m_unrouted_packets.Count() + m_search_packets.Count();
  for (const auto& [service, queue] : m_opening_queues) {
    count += queue.Count();
  }
  return count;
}

}  // namespace medlargauge

// @file flow_director.cc Opening and following flows.
#include "src/steer/flow_director.h"

#include <algorithm>

#include "src/steer/member_list.h"

namespace medlargauge {
namespace {

constexpr Duration kSweepInterval = Seconds(1);
/// An agent that left an opening packet unanswered is avoided until it is
/// heard again, at most this long, or two of its statuses.
constexpr Duration kAvoid = Milliseconds(600);

}  // namespace

FlowDirector::FlowDirector(TimePoint now,
                           DomainId domain,
                           MembershipTable* roster,
                           const ActiveRoutes* routes,
                           DirectorLimits limits,
                           PlacementPolicy policy)
    : m_started(now),
      m_domain(domain),
      m_roster(roster),
      m_routes(routes),
      m_limits(limits),
      m_policy(std::move(policy)) {}

SteerDecision FlowDirector::OnCallerPacket(TimePoint now,
                                           const FlowPacket& packet,
                                           ByteView raw) {
  const SteerRoute* route = m_routes->Find(packet.flow.route);
  if (route == nullptr) {
    return OnUnrouted(packet);
  }
  return packet.syn ? OnOpening(now, *route, packet, raw)
                    : OnLater(now, *route, packet);
}

SteerDecision FlowDirector::OnUnrouted(const FlowPacket& packet) {
  m_flows.erase(packet.flow);
  // Without targets nothing is known yet; a later copy may be served.
  const bool knows = m_routes->Revision() != 0;
  const bool dropped = m_routes->WasRoute(packet.flow.route);
  const bool reset = knows && !packet.rst && (packet.syn || dropped);
  return Reject(
      reset ? SteerDecision::Kind::kReset : SteerDecision::Kind::kDrop,
      ErrorKind::kUnknownAddress);
}

SteerDecision FlowDirector::OnOpening(TimePoint now,
                                      const SteerRoute& route,
                                      const FlowPacket& packet,
                                      ByteView raw) {
  const auto found = m_flows.find(packet.flow);
  const bool is_copy = found != m_flows.end() &&
                       found->second.syn_sequence == packet.sequence &&
                       found->second.phase != Phase::kSearching;
  if (is_copy) {
    // The agent holds it, or a timer will try another one.
    return Forward(route, found->second);
  }
  if (found != m_flows.end()) {
    m_flows.erase(found);
  }
  if (m_flows.size() >= m_limits.max_flows) {
    return Reject(SteerDecision::Kind::kReset, ErrorKind::kOverloaded);
  }
  Flow flow;
  flow.syn_sequence = packet.sequence;
  flow.syn.assign(reinterpret_cast<const char*>(raw.data()), raw.size());
  flow.expires = now + m_limits.opening;
  const SteerDecision decision = Place(now, route, packet.flow, &flow);
  if (decision.kind == SteerDecision::Kind::kForward) {
    ++m_counters.opened;
    m_flows[packet.flow] = std::move(flow);
  }
  return decision;
}

SteerDecision FlowDirector::Place(TimePoint now,
                                  const SteerRoute& route,
                                  const FlowKey& key,
                                  Flow* flow) {
  const uint64_t hash = HashFlow(key);
  const ServiceId service = ActiveRoutes::ServiceFor(route, hash);
  std::vector<PlacementCandidate> candidates =
      Candidates(now, service, flow->tried);
  const bool asked_enough = flow->busy.size() >= m_limits.busy_tries;
  if (candidates.empty() || asked_enough) {
    // Nobody has a free slot: the shortest queue among those asked.
    std::vector<PlacementCandidate> all = Candidates(now, service, {});
    all.erase(std::remove_if(all.begin(), all.end(),
                             [&](const PlacementCandidate& candidate) {
                               return !detail::Contains(flow->busy,
                                                        candidate.id);
                             }),
              all.end());
    if (!all.empty()) {
      candidates = std::move(all);
      flow->last_candidate = true;
    }
  }
  const std::optional<size_t> chosen = m_policy(now, hash, candidates);
  if (!chosen.has_value()) {
    return Reject(SteerDecision::Kind::kReset, flow->busy.empty()
                                                   ? ErrorKind::kNoAgent
                                                   : ErrorKind::kOverloaded);
  }
  const bool only_one = candidates.size() == 1 && flow->busy.empty();
  flow->last_candidate = flow->last_candidate || only_one;
  flow->agent = candidates[*chosen].id;
  flow->service = service;
  flow->answer_deadline = now + m_limits.opening_retry_delay;
  m_opening.emplace_back(flow->answer_deadline, key);
  ++m_roster->Find(flow->agent)->pending;
  return Forward(route, *flow);
}

std::vector<PlacementCandidate> FlowDirector::Candidates(
    TimePoint now,
    ServiceId service,
    const std::vector<MemberId>& excluded) const {
  std::vector<PlacementCandidate> candidates;
  for (const auto& [id, entry] : m_roster->Entries()) {
    const SteerMember& member = entry.member;
    const bool may_take = member.role == MemberRole::kAgent &&
                          member.service == service && !entry.leaving &&
                          (member.state == AgentState::kReady ||
                           member.state == AgentState::kJoining);
    if (!may_take || !m_roster->IsReachable(now, entry) ||
        detail::Contains(excluded, id)) {
      continue;
    }
    PlacementCandidate candidate;
    candidate.id = id;
    candidate.load = member.load;
    candidate.pending = entry.pending;
    candidate.certain =
        member.state == AgentState::kReady && entry.avoid_until <= now;
    candidate.same_domain = member.domain == m_domain;
    candidates.push_back(candidate);
  }
  return candidates;
}

SteerDecision FlowDirector::OnLater(TimePoint now,
                                    const SteerRoute& route,
                                    const FlowPacket& packet) {
  const auto [found, is_new] = m_flows.try_emplace(packet.flow);
  Flow& flow = found->second;
  if (is_new && packet.rst) {
    m_flows.erase(found);
    return Reject(SteerDecision::Kind::kDrop, ErrorKind::kFlowUnknown);
  }
  const bool ends = packet.fin || packet.rst;
  flow.expires = now + (ends ? m_limits.closing : IdleTimeout());
  if (is_new) {
    flow.phase = Phase::kSearching;
    ++m_counters.searches;
    return SearchNext(now, packet.flow, &flow);
  }
  if (flow.phase == Phase::kOpening) {
    // The caller has an answer, from whichever server took the flow.
    BeginSearch(&flow);
  }
  const MemberEntry* owner = m_roster->Find(flow.agent);
  const bool lost = owner == nullptr || m_roster->IsLost(now, *owner);
  if (flow.phase == Phase::kSearching) {
    const bool mute = now - flow.asked_at >= m_limits.search_answer;
    if (mute || lost) {
      detail::AddOnce(&flow.mute, flow.agent);
      return SearchNext(now, packet.flow, &flow);
    }
    return Forward(route, flow);
  }
  // Its caller repeats the request at once, instead of after its own time-out.
  const bool better_elsewhere =
      lost || (route.repeatable && m_roster->IsMute(now, *owner));
  if (better_elsewhere &&
      m_roster->CountReachable(now, MemberRole::kAgent) > 0) {
    m_flows.erase(found);
    return Reject(SteerDecision::Kind::kReset, ErrorKind::kFlowUnknown);
  }
  return Forward(route, flow);
}

SteerDecision FlowDirector::OnReturned(TimePoint now,
                                       MemberId from,
                                       ReturnReason reason,
                                       MemberId owner,
                                       const FlowPacket& packet) {
  const SteerRoute* route = m_routes->Find(packet.flow.route);
  if (route == nullptr) {
    return OnUnrouted(packet);
  }
  const auto found = m_flows.find(packet.flow);
  if (found == m_flows.end()) {
    // Forgotten here; a later packet starts a search.
    return Reject(SteerDecision::Kind::kDrop, ErrorKind::kMaybeElsewhere);
  }
  Flow& flow = found->second;
  if (packet.syn) {
    const bool waits =
        flow.phase == Phase::kOpening && flow.syn_sequence == packet.sequence;
    return waits ? OnReturnedOpening(now, *route, from, reason, found)
                 : Reject(SteerDecision::Kind::kDrop, ErrorKind::kNone);
  }
  if (packet.rst) {
    m_flows.erase(found);
    return Reject(SteerDecision::Kind::kDrop, ErrorKind::kFlowUnknown);
  }
  if (flow.phase != Phase::kSearching && flow.agent == from) {
    BeginSearch(&flow);
  }
  if (reason == ReturnReason::kMoved) {
    const bool usable = m_roster->Find(owner) != nullptr &&
                        !detail::Contains(flow.tried, owner);
    flow.use_pointer = false;
    if (usable && flow.agent == from) {
      Ask(now, owner, &flow);
      return Forward(*route, flow);
    }
  } else {
    detail::AddOnce(&flow.tried, from);
  }
  if (flow.agent != from && flow.agent.IsSet() &&
      !detail::Contains(flow.tried, flow.agent)) {
    return Forward(*route, flow);
  }
  return SearchNext(now, packet.flow, &flow);
}

SteerDecision FlowDirector::OnReturnedOpening(TimePoint now,
                                              const SteerRoute& route,
                                              MemberId from,
                                              ReturnReason reason,
                                              FlowMap::iterator found) {
  Flow& flow = found->second;
  const FlowKey key = found->first;
  const bool current = flow.agent == from;
  detail::AddOnce(&flow.tried, from);
  if (reason == ReturnReason::kBusy) {
    ++m_counters.busy_returns;
    detail::AddOnce(&flow.busy, from);
  } else {
    flow.busy.erase(std::remove(flow.busy.begin(), flow.busy.end(), from),
                    flow.busy.end());
  }
  if (!current) {
    return Reject(SteerDecision::Kind::kDrop, ErrorKind::kNone);
  }
  const bool useless = reason == ReturnReason::kFull && flow.last_candidate;
  const SteerDecision decision =
      useless ? Reject(SteerDecision::Kind::kReset, ErrorKind::kOverloaded)
              : Place(now, route, key, &flow);
  if (decision.kind == SteerDecision::Kind::kReset) {
    m_flows.erase(key);
  }
  return decision;
}

void FlowDirector::OnFlowConfirmed(TimePoint now,
                                   MemberId from,
                                   const FlowKey& key,
                                   bool proven) {
  const auto found = m_flows.find(key);
  if (found == m_flows.end()) {
    return;
  }
  Flow& flow = found->second;
  detail::AddOnce(&flow.likely, from);
  // A server repeats its answer to an opening packet although the caller has
  // accepted another one's.
  const bool tells = proven || flow.phase == Phase::kOpening;
  if (flow.phase != Phase::kHeld && tells) {
    flow.agent = from;
    flow.phase = Phase::kHeld;
    flow.tried.clear();
    flow.mute.clear();
    flow.syn = std::string();
    flow.held_since = now;
    flow.expires = now + IdleTimeout();
  }
}

std::vector<SteerResend> FlowDirector::OnTick(TimePoint now) {
  std::vector<SteerResend> resends;
  while (!m_opening.empty() && m_opening.front().first <= now) {
    const auto [deadline, key] = m_opening.front();
    m_opening.pop_front();
    const auto found = m_flows.find(key);
    const bool due = found != m_flows.end() &&
                     found->second.phase == Phase::kOpening &&
                     found->second.answer_deadline == deadline;
    const SteerRoute* route = m_routes->Find(key.route);
    if (!due || route == nullptr || found->second.late >= m_limits.late_tries) {
      continue;
    }
    Flow& flow = found->second;
    ++flow.late;
    ++m_counters.late_openings;
    detail::AddOnce(&flow.tried, flow.agent);
    MemberEntry* silent = m_roster->Find(flow.agent);
    if (silent != nullptr) {
      silent->avoid_until =
          now + std::max(kAvoid, 2 * MembershipTable::IntervalOf(*silent));
    }
    SteerResend resend{key, flow.syn, Place(now, *route, key, &flow)};
    if (resend.decision.kind == SteerDecision::Kind::kForward) {
      resends.push_back(std::move(resend));
    }
  }
  if (now >= m_sweep_deadline) {
    m_sweep_deadline = now + kSweepInterval;
    Sweep(now);
  }
  return resends;
}

std::optional<TimePoint> FlowDirector::NextDeadline() const {
  return m_opening.empty() ? std::nullopt
                           : std::make_optional(m_opening.front().first);
}

bool FlowDirector::CanServe(TimePoint now) const {
  const bool isolated = now - m_roster->LastHeard() > m_limits.isolated;
  if (m_routes->Revision() == 0 || isolated) {
    return false;
  }
  for (const auto& [id, entry] : m_roster->Entries()) {
    const bool takes = entry.member.role == MemberRole::kAgent &&
                       entry.member.state != AgentState::kGone &&
                       m_roster->IsReachable(now, entry);
    if (takes) {
      return true;
    }
  }
  return false;
}

SteerDecision FlowDirector::Forward(const SteerRoute& route, const Flow& flow) {
  ++m_counters.forwarded;
  SteerDecision decision;
  decision.kind = SteerDecision::Kind::kForward;
  decision.agent = flow.agent;
  decision.header.service = flow.service;
  decision.header.search = flow.phase == Phase::kSearching;
  decision.header.use_pointer = flow.use_pointer;
  decision.header.last_candidate = flow.last_candidate;
  decision.header.response_limit_ms = route.goal_ms;
  decision.header.revision = m_routes->Revision();
  return decision;
}

SteerDecision FlowDirector::Reject(SteerDecision::Kind kind, ErrorKind error) {
  ++m_counters.rejected[static_cast<size_t>(error)];
  SteerDecision decision;
  decision.kind = kind;
  decision.error = error;
  return decision;
}

Duration FlowDirector::IdleTimeout() const {
  const uint32_t stated = m_routes->Table().idle_timeout_ms;
  return stated == 0 ? m_limits.idle : Milliseconds(stated) + Seconds(1);
}

void FlowDirector::Sweep(TimePoint now) {
  for (auto it = m_flows.begin(); it != m_flows.end();) {
    Flow& flow = it->second;
    const bool lasts = flow.phase == Phase::kHeld && !flow.pointed &&
                       now - flow.held_since >= m_limits.lasting &&
                       flow.expires - now > m_limits.closing;
    if (lasts) {
      PointTo(now, it->first, &flow);
    }
    it = it->second.expires <= now ? m_flows.erase(it) : std::next(it);
  }
}

}  // namespace medlargauge

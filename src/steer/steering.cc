// @file steering.cc Opening, following and finding flows.
#include "src/steer/steering.h"

#include <algorithm>
#include <utility>

namespace medlargauge {
namespace {

constexpr Duration kSweepInterval = Seconds(1);
/// An agent that left an opening packet unanswered is avoided until it is
/// heard again, at most this long.
constexpr Duration kAvoid = Milliseconds(600);

bool Contains(const std::vector<MemberId>& list, MemberId id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

void AddOnce(std::vector<MemberId>* list, MemberId id) {
  if (id.IsSet() && !Contains(*list, id)) {
    list->push_back(id);
  }
}

}  // namespace

Steering::Steering(TimePoint now,
                   DomainId domain,
                   Roster* roster,
                   const RouteBook* routes,
                   SteeringLimits limits,
                   PlacementPolicy policy)
    : m_started(now),
      m_domain(domain),
      m_roster(roster),
      m_routes(routes),
      m_limits(limits),
      m_policy(std::move(policy)) {}

SteerDecision Steering::OnCallerPacket(TimePoint now,
                                       const FlowPacket& packet,
                                       ByteView raw) {
  const SteerRoute* route = m_routes->Find(packet.flow.route);
  if (route == nullptr) {
    return OnUnrouted(packet);
  }
  return packet.syn ? OnOpening(now, *route, packet, raw)
                    : OnLater(now, *route, packet);
}

SteerDecision Steering::OnUnrouted(const FlowPacket& packet) {
  m_flows.erase(packet.flow);
  // Without targets nothing is known yet; a later copy may be served.
  const bool knows = m_routes->Revision() != 0;
  const bool dropped = m_routes->WasRoute(packet.flow.route);
  const bool reset = knows && !packet.rst && (packet.syn || dropped);
  return Reject(
      reset ? SteerDecision::Kind::kReset : SteerDecision::Kind::kDrop,
      ErrorKind::kUnknownAddress);
}

SteerDecision Steering::OnOpening(TimePoint now,
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

SteerDecision Steering::Place(TimePoint now,
                              const SteerRoute& route,
                              const FlowKey& key,
                              Flow* flow) {
  const uint64_t hash = HashFlow(key);
  const ServiceId service = RouteBook::ServiceFor(route, hash);
  std::vector<PlacementCandidate> candidates =
      Candidates(now, service, flow->tried);
  const bool asked_enough = flow->busy.size() >= m_limits.busy_tries;
  if (candidates.empty() || asked_enough) {
    // Nobody has a free slot: the shortest queue among those asked.
    std::vector<PlacementCandidate> all = Candidates(now, service, {});
    all.erase(std::remove_if(all.begin(), all.end(),
                             [&](const PlacementCandidate& candidate) {
                               return !Contains(flow->busy, candidate.id);
                             }),
              all.end());
    if (!all.empty()) {
      candidates = std::move(all);
      flow->last_choice = true;
    }
  }
  const std::optional<size_t> chosen = m_policy(now, hash, candidates);
  if (!chosen.has_value()) {
    return Reject(SteerDecision::Kind::kReset, flow->busy.empty()
                                                   ? ErrorKind::kNoAgent
                                                   : ErrorKind::kOverloaded);
  }
  const bool only_one = candidates.size() == 1 && flow->busy.empty();
  flow->last_choice = flow->last_choice || only_one;
  flow->agent = candidates[*chosen].id;
  flow->service = service;
  flow->answer_deadline = now + m_limits.opening_answer;
  m_opening.emplace_back(flow->answer_deadline, key);
  ++m_roster->Find(flow->agent)->pending;
  return Forward(route, *flow);
}

std::vector<PlacementCandidate> Steering::Candidates(
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
    if (!may_take || !m_roster->IsHeard(now, entry) || Contains(excluded, id)) {
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

SteerDecision Steering::OnLater(TimePoint now,
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
  const RosterEntry* owner = m_roster->Find(flow.agent);
  const bool lost = owner == nullptr || m_roster->IsLost(now, *owner);
  if (flow.phase == Phase::kSearching) {
    const bool mute = now - flow.asked_at >= m_limits.search_answer;
    if (mute || lost) {
      AddOnce(lost ? &flow.tried : &flow.mute, flow.agent);
      return SearchNext(now, packet.flow, &flow);
    }
    return Forward(route, flow);
  }
  // Its caller repeats the request at once, instead of after its own time-out.
  const bool better_elsewhere =
      lost || (route.repeatable && m_roster->IsMute(now, *owner));
  if (better_elsewhere && m_roster->CountHeard(now, MemberRole::kAgent) > 0) {
    m_flows.erase(found);
    return Reject(SteerDecision::Kind::kReset, ErrorKind::kFlowUnknown);
  }
  return Forward(route, flow);
}

SteerDecision Steering::OnReturned(TimePoint now,
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
    const bool usable =
        m_roster->Find(owner) != nullptr && !Contains(flow.tried, owner);
    flow.use_pointer = false;
    if (usable && flow.agent == from) {
      Ask(now, owner, &flow);
      return Forward(*route, flow);
    }
  } else {
    AddOnce(&flow.tried, from);
  }
  if (flow.agent != from && flow.agent.IsSet() &&
      !Contains(flow.tried, flow.agent)) {
    return Forward(*route, flow);
  }
  return SearchNext(now, packet.flow, &flow);
}

SteerDecision Steering::OnReturnedOpening(TimePoint now,
                                          const SteerRoute& route,
                                          MemberId from,
                                          ReturnReason reason,
                                          FlowMap::iterator found) {
  Flow& flow = found->second;
  const FlowKey key = found->first;
  const bool current = flow.agent == from;
  AddOnce(&flow.tried, from);
  if (reason == ReturnReason::kBusy) {
    ++m_counters.busy_returns;
    AddOnce(&flow.busy, from);
  } else {
    flow.busy.erase(std::remove(flow.busy.begin(), flow.busy.end(), from),
                    flow.busy.end());
  }
  if (!current) {
    return Reject(SteerDecision::Kind::kDrop, ErrorKind::kNone);
  }
  const bool useless = reason == ReturnReason::kFull && flow.last_choice;
  const SteerDecision decision =
      useless ? Reject(SteerDecision::Kind::kReset, ErrorKind::kOverloaded)
              : Place(now, route, key, &flow);
  if (decision.kind == SteerDecision::Kind::kReset) {
    m_flows.erase(key);
  }
  return decision;
}

void Steering::BeginSearch(Flow* flow) {
  for (const MemberId asked : flow->tried) {
    AddOnce(&flow->likely, asked);
  }
  AddOnce(&flow->likely, flow->agent);
  // Agents that left an opening packet unanswered may hold the flow.
  flow->tried.clear();
  flow->mute.clear();
  flow->syn = std::string();
  flow->phase = Phase::kSearching;
  ++m_counters.searches;
}

void Steering::Ask(TimePoint now, MemberId agent, Flow* flow) {
  ++m_counters.search_steps;
  flow->agent = agent;
  flow->service = m_roster->Find(agent)->member.service;
  flow->asked_at = now;
}

SteerDecision Steering::SearchNext(TimePoint now,
                                   const FlowKey& key,
                                   Flow* flow) {
  std::optional<MemberId> next = NextToAsk(now, key, *flow);
  if (!next.has_value() && !flow->mute.empty()) {
    // One of those that did not answer has it: they are asked again.
    flow->mute.clear();
    next = NextToAsk(now, key, *flow);
  }
  if (next.has_value()) {
    Ask(now, *next, flow);
    return Forward(*m_routes->Find(key.route), *flow);
  }
  // A newcomer may not have heard of the owner yet.
  const bool settled = now - m_started >= m_limits.settle &&
                       now - m_roster->LastNewAgent() >= m_limits.quiet_news &&
                       m_roster->CountHeard(now, MemberRole::kAgent) > 0;
  m_flows.erase(key);
  // Every server that could hold the flow was asked and does not.
  return Reject(
      settled ? SteerDecision::Kind::kReset : SteerDecision::Kind::kDrop,
      settled ? ErrorKind::kFlowUnknown : ErrorKind::kMaybeElsewhere);
}

std::optional<MemberId> Steering::NextToAsk(TimePoint now,
                                            const FlowKey& key,
                                            const Flow& flow) const {
  const std::vector<ServiceId> services = m_routes->ServicesOf(key.route);
  const uint64_t hash = HashFlow(key);
  std::optional<MemberId> best;
  uint64_t best_rank = 0;
  for (const auto& [id, entry] : m_roster->Entries()) {
    const auto service =
        std::find(services.begin(), services.end(), entry.member.service);
    const bool skip = entry.member.role != MemberRole::kAgent ||
                      service == services.end() || Contains(flow.tried, id) ||
                      Contains(flow.mute, id) || m_roster->IsLost(now, entry);
    if (skip) {
      continue;
    }
    // Those that were given the flow first, silent ones last: the search stops
    // at a silent one, which may be the owner.
    const uint64_t rank =
        (Contains(flow.likely, id) ? 1ULL << 63U : 0) |
        (m_roster->IsHeard(now, entry) ? 1ULL << 62U : 0) |
        (entry.member.state != AgentState::kGone ? 1ULL << 61U : 0) |
        (MixHash(hash, id.value) >> 3U);
    if (!best.has_value() || rank > best_rank) {
      best = id;
      best_rank = rank;
    }
  }
  return best;
}

void Steering::OnHeld(TimePoint now, MemberId from, const FlowKey& key) {
  const auto found = m_flows.find(key);
  if (found == m_flows.end()) {
    return;
  }
  Flow& flow = found->second;
  AddOnce(&flow.likely, from);
  if (flow.phase != Phase::kHeld) {
    flow.agent = from;
    flow.phase = Phase::kHeld;
    flow.tried.clear();
    flow.mute.clear();
    flow.syn = std::string();
    flow.held_since = now;
    flow.expires = now + IdleTimeout();
  }
}

std::vector<SteerResend> Steering::OnTick(TimePoint now) {
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
    AddOnce(&flow.tried, flow.agent);
    RosterEntry* silent = m_roster->Find(flow.agent);
    if (silent != nullptr) {
      silent->avoid_until = now + kAvoid;
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

std::optional<TimePoint> Steering::NextDeadline() const {
  return m_opening.empty() ? std::nullopt
                           : std::make_optional(m_opening.front().first);
}

bool Steering::CanServe(TimePoint now) const {
  const bool isolated = now - m_roster->LastHeard() > m_limits.isolated;
  if (m_routes->Revision() == 0 || isolated) {
    return false;
  }
  for (const auto& [id, entry] : m_roster->Entries()) {
    const bool takes = entry.member.role == MemberRole::kAgent &&
                       entry.member.state != AgentState::kGone &&
                       m_roster->IsHeard(now, entry);
    if (takes) {
      return true;
    }
  }
  return false;
}

SteerDecision Steering::Forward(const SteerRoute& route, const Flow& flow) {
  ++m_counters.forwarded;
  SteerDecision decision;
  decision.kind = SteerDecision::Kind::kForward;
  decision.agent = flow.agent;
  decision.header.service = flow.service;
  decision.header.search = flow.phase == Phase::kSearching;
  decision.header.use_pointer = flow.use_pointer;
  decision.header.last_choice = flow.last_choice;
  decision.header.patience_ms = route.goal_ms;
  decision.header.revision = m_routes->Revision();
  return decision;
}

SteerDecision Steering::Reject(SteerDecision::Kind kind, ErrorKind error) {
  ++m_counters.rejected[static_cast<size_t>(error)];
  SteerDecision decision;
  decision.kind = kind;
  decision.error = error;
  return decision;
}

Duration Steering::IdleTimeout() const {
  const uint32_t stated = m_routes->Table().idle_timeout_ms;
  return stated == 0 ? m_limits.idle : Milliseconds(stated) + Seconds(1);
}

void Steering::PointTo(TimePoint now, const FlowKey& key, Flow* flow) {
  flow->pointed = true;
  // The first that a balancer without this entry would ask.
  const std::optional<MemberId> home = NextToAsk(now, key, Flow());
  if (home.has_value() && *home != flow->agent) {
    m_pointers.push_back({*home, key, flow->agent});
  }
}

void Steering::PointToAll(TimePoint now) {
  for (auto& [key, flow] : m_flows) {
    if (flow.phase == Phase::kHeld && !flow.pointed) {
      PointTo(now, key, &flow);
    }
  }
}

std::vector<SteerPointer> Steering::TakePointers() {
  return std::exchange(m_pointers, {});
}

void Steering::Sweep(TimePoint now) {
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

// @file reset_world_fleet.cc Processes of the reset model and their messages,
// as FleetNode of src/runtime sends them.
#include <algorithm>
#include <utility>

#include "lab/reset_world_state.h"
#include "src/core/hash.h"

namespace medlargauge::lab {

namespace {

/// A process that is down for longer than this counts as failed.
constexpr Duration kPlannedRestartTime = Milliseconds(3000);
constexpr Duration kDirectorTick = Milliseconds(20);
constexpr Duration kForwarderTick = Milliseconds(50);
constexpr size_t kMaxProbes = 64;  ///< As BalancerRuntime.

}  // namespace

void ResetWorld::KillProcess(Process* process) {
  process->running = false;
  process->director.reset();
  process->forwarder.reset();
  process->ended_at = m_state->now;
  if (!process->leaving) {
    process->impaired_at = m_state->now;
  }
}

void ResetWorld::LeaveProcess(Process* process) {
  process->leaving = true;
  if (process->role == MemberRole::kAgent) {
    process->forwarder->StartLeaving();
  } else {
    process->director->QueueAllPointers(m_state->now);
  }
  Broadcast(process);
}

void ResetWorld::StartProcess(Process* process) {
  const TimePoint now = m_state->now;
  const MemberId id{detail::IpOf(process->index)};
  process->running = true;
  ++process->starts;
  const bool is_planned = std::exchange(process->leaving, false) &&
                          now - process->ended_at <= kPlannedRestartTime;
  process->impaired_at = is_planned ? process->impaired_at : now;
  process->members = MembershipTable(id, MembershipTimeouts());
  process->schedule =
      StatusSchedule(process->role, detail::kNodeTick, id.value);
  process->statuses = 0;
  process->next_tick = now;
  process->next_director_tick = now;
  FleetMember self;
  self.id = id;
  self.role = process->role;
  self.ip = detail::IpOf(process->index);
  process->discovery.emplace(now, self, &process->members);
  std::vector<uint32_t> seeds = SeedsOf(*process);
  if (seeds.empty()) {
    process->members.OnFleetMet();
  }
  process->discovery->SetSeeds(std::move(seeds));
  if (process->role == MemberRole::kAgent) {
    process->forwarder.emplace(std::string(ServiceOf(*process)),
                               SocketAddress4{detail::IpOf(process->index), 1},
                               ForwarderLimits());
    process->forwarder->OnStart(now);
    process->announced_state = AgentState::kJoining;
    return;
  }
  // Balancers prefer different agents, so that a copy of an opening packet
  // reaches another server.
  const bool prefers_last = process->index > 0;
  DirectorLimits limits;
  limits.min_agents_to_query = m_config.use_queries ? 1 : SIZE_MAX;
  process->routes = ActiveRoutes();
  process->routes.Adopt(Targets());
  process->director.emplace(
      now, DomainId{1}, &process->members, &process->routes, limits,
      [prefers_last](TimePoint, uint64_t,
                     const std::vector<PlacementCandidate>& candidates) {
        return candidates.empty()
                   ? std::nullopt
                   : std::make_optional<size_t>(
                         prefers_last ? candidates.size() - 1 : 0);
      });
}

void ResetWorld::TickProcess(Process* process) {
  const TimePoint now = m_state->now;
  if (now >= process->next_tick) {
    process->next_tick = now + detail::kNodeTick;
    TickNode(process);
  }
  if (now < process->next_director_tick) {
    return;
  }
  if (process->role == MemberRole::kAgent) {
    process->next_director_tick = now + kForwarderTick;
    process->forwarder->OnTick(now);
    if (process->forwarder->NeedsServerProbe(now)) {
      if (m_state->servers[process->index].running) {
        process->forwarder->OnServerListens();
      } else {
        OnServerDown(process);
      }
    }
    AnnounceState(process);
    return;
  }
  process->next_director_tick = now + kDirectorTick;
  for (const DeferredDecision& deferred : process->director->OnTick(now)) {
    ApplyDecision(process, deferred.decision, deferred.packet);
  }
  SendQueries(process);
  for (const OwnerPointer& pointer : process->director->TakePointers()) {
    const MemberEntry* home = process->members.Find(pointer.home);
    if (home != nullptr) {
      Message message;
      message.kind = Message::Kind::kPointer;
      message.from = process->index;
      message.to = detail::ProcessAt(home->member.ip);
      message.packet.flow = pointer.flow;
      message.owner = pointer.owner;
      Send(std::move(message));
    }
  }
}

void ResetWorld::ProbeSilentAgents(Process* balancer) {
  const TimePoint now = m_state->now;
  for (const MemberId id : balancer->members.TakeDueProbes(now, kMaxProbes)) {
    const uint32_t agent =
        detail::ProcessAt(balancer->members.Find(id)->member.ip);
    const ProbeOutcome outcome =
        IsCut(balancer->index, agent)       ? ProbeOutcome::kNoAnswer
        : m_state->processes[agent].running ? ProbeOutcome::kAccepted
                                            : ProbeOutcome::kRefused;
    balancer->members.OnProbe(now, id, outcome);
  }
}

void ResetWorld::TickNode(Process* process) {
  const TimePoint now = m_state->now;
  process->members.OnTick(now);
  if (process->role == MemberRole::kBalancer) {
    ProbeSilentAgents(process);
  }
  SendDueStatuses(process);
  SendContacts(process, process->discovery->TakeContacts(now));
  CallStore(process);
}

std::vector<uint32_t> ResetWorld::SeedsOf(const Process& process) const {
  std::vector<uint32_t> seeds;
  for (uint32_t i = 0; i < std::min(m_config.seeds, m_config.balancers); ++i) {
    if (i != process.index) {
      seeds.push_back(detail::IpOf(i));
    }
  }
  return seeds;
}

void ResetWorld::CallStore(Process* process) {
  const TimePoint now = m_state->now;
  const MemberCall call = process->discovery->NextCall(now, process->leaving);
  const bool answers = m_state->store_answers;
  const StoreResult result =
      answers ? StoreResult::kOk : StoreResult::kNoAnswer;
  switch (call) {
    case MemberCall::kNone:
      return;
    case MemberCall::kListBalancers:
      SendContacts(process, process->discovery->OnBalancersListed(
                                now, answers, Listed(MemberRole::kBalancer)));
      return;
    case MemberCall::kListAgents:
      SendContacts(process, process->discovery->OnAgentsListed(
                                now, result, Listed(MemberRole::kAgent)));
      return;
    case MemberCall::kRegister:
      process->discovery->OnRegistered(now, result);
      if (answers) {
        m_state->registered.insert(process->index);
      }
      return;
  }
}

std::vector<uint32_t> ResetWorld::Listed(MemberRole role) const {
  std::vector<uint32_t> ips;
  for (const uint32_t index : m_state->registered) {
    const bool is_balancer = index < m_config.balancers;
    if (m_state->store_answers &&
        is_balancer == (role == MemberRole::kBalancer)) {
      ips.push_back(detail::IpOf(index));
    }
  }
  return ips;
}

void ResetWorld::SendContacts(Process* process,
                              const std::vector<MemberContact>& contacts) {
  if (contacts.empty()) {
    return;
  }
  proto::PeerStatus status = MakeStatus(process);
  for (const MemberContact& contact : contacts) {
    status.set_wants_members(contact.wants_members);
    status.set_not_registered(contact.not_registered);
    SendStatus(process->index, detail::ProcessAt(contact.ip), status);
  }
}

proto::PeerStatus ResetWorld::MakeStatus(Process* process) {
  const TimePoint now = m_state->now;
  FleetMember self;
  self.ip = detail::IpOf(process->index);
  self.id = MemberId{self.ip};
  self.role = process->role;
  self.incarnation = process->starts;
  self.domain = DomainId{1};
  self.state = AgentState::kReady;
  if (process->role == MemberRole::kAgent) {
    self.service = ServiceIdOf(ServiceOf(*process));
    self.state = process->forwarder->State(now);
    self.load = process->forwarder->Load(now);
    process->announced_state = self.state;
  }
  proto::PeerStatus status;
  *status.mutable_self() = EncodeMember(now, self);
  status.set_sequence(++process->statuses);
  status.set_protocol(kProtocolVersion);
  status.set_leaving(process->leaving);
  status.set_members(
      static_cast<uint32_t>(process->members.FleetSize(process->role)));
  status.set_agents_heard(process->role == MemberRole::kBalancer
                              ? process->members.CountLiveAgents(now)
                              : process->members.LargestReportedAgents(now));
  status.set_serving_digest(process->role == MemberRole::kBalancer
                                ? process->members.ServingDigest(now)
                                : process->members.LargestReportedDigest(now));
  return status;
}

void ResetWorld::ScheduleStatuses(Process* process, const FleetMember& member) {
  if (process->role == MemberRole::kBalancer ||
      member.role == MemberRole::kBalancer) {
    process->schedule.Add(m_state->now, member.id,
                          process->members.FleetSize(process->role));
  }
}

void ResetWorld::SendDueStatuses(Process* process) {
  const std::vector<MemberId> due = process->schedule.TakeDue(
      m_state->now, process->members.FleetSize(process->role));
  if (due.empty()) {
    return;
  }
  const proto::PeerStatus status = MakeStatus(process);
  for (const MemberId receiver : due) {
    const MemberEntry* entry = process->members.Find(receiver);
    if (entry == nullptr) {
      process->schedule.Remove(receiver);
    } else {
      SendStatus(process->index, detail::ProcessAt(entry->member.ip), status);
    }
  }
}

void ResetWorld::Broadcast(Process* process) {
  const proto::PeerStatus status = MakeStatus(process);
  for (const auto& [id, entry] : process->members.Entries()) {
    if (process->role == MemberRole::kBalancer ||
        entry.member.role == MemberRole::kBalancer) {
      SendStatus(process->index, detail::ProcessAt(entry.member.ip), status);
    }
  }
  process->schedule.OnSentToAll(m_state->now,
                                process->members.FleetSize(process->role));
}

void ResetWorld::AnnounceState(Process* process) {
  if (process->forwarder->State(m_state->now) != process->announced_state) {
    Broadcast(process);
  }
}

void ResetWorld::OnStatus(Process* process,
                          uint32_t from,
                          const proto::PeerStatus& status) {
  const TimePoint now = m_state->now;
  const bool is_new = process->members.OnStatus(now, status);
  const MemberEntry* sender =
      process->members.Find(MemberId{detail::IpOf(from)});
  if (sender == nullptr) {
    return;
  }
  const MemberRole sender_role = sender->member.role;
  if (is_new) {
    ScheduleStatuses(process, sender->member);
  }
  if (status.not_registered()) {
    process->discovery->OnNotRegistered(now);
  }
  for (const proto::PeerMember& known : status.known()) {
    const FleetMember member = DecodeMember(now, known);
    if (!process->members.Learn(now, member, kProtocolVersion)) {
      continue;
    }
    ScheduleStatuses(process, member);
    if (member.role == MemberRole::kBalancer) {
      SendStatus(process->index, detail::ProcessAt(member.ip),
                 MakeStatus(process));
    }
  }
  if (sender_role == MemberRole::kBalancer) {
    process->discovery->OnBalancerHeard(now);
  }
  if (!is_new && !status.wants_members()) {
    return;
  }
  proto::PeerStatus response = MakeStatus(process);
  if (status.wants_members()) {
    for (const FleetMember* member :
         process->members.KnownPeersFor(now, sender_role)) {
      *response.add_known() = EncodeMember(now, *member);
    }
  }
  SendStatus(process->index, from, response);
}

bool ResetWorld::IsCut(uint32_t a, uint32_t b) const {
  return m_state->cuts.count({std::min(a, b), std::max(a, b)}) > 0;
}

void ResetWorld::Send(Message message) {
  if (message.from == detail::kNoProcess || message.to == detail::kNoProcess ||
      !IsCut(message.from, message.to)) {
    m_state->messages.push_back(std::move(message));
  }
}

void ResetWorld::SendStatus(uint32_t from,
                            uint32_t to,
                            const proto::PeerStatus& status) {
  Message message;
  message.kind = Message::Kind::kStatus;
  message.from = from;
  message.to = to;
  message.status = status;
  Send(std::move(message));
}

ResetWorld::Process* ResetWorld::SelectedBalancer() {
  // Routers select another balancer if the selected one does not run.
  for (uint32_t i = 0; i < m_config.balancers; ++i) {
    Process& balancer =
        m_state->processes[(m_state->caller.balancer + i) % m_config.balancers];
    if (balancer.running) {
      return &balancer;
    }
  }
  return nullptr;
}

void ResetWorld::Deliver(const Message& message) {
  const TimePoint now = m_state->now;
  if (message.kind == Message::Kind::kToCaller) {
    OnPacketAtCaller(message);
    return;
  }
  if (message.kind == Message::Kind::kFromCaller) {
    Process* balancer = SelectedBalancer();
    if (balancer != nullptr) {
      ApplyDecision(balancer,
                    balancer->director->OnCallerPacket(now, message.packet,
                                                       detail::RawPacket()),
                    message.packet);
    }
    return;
  }
  Process* process = &m_state->processes[message.to];
  if (!process->running || IsCut(message.from, message.to)) {
    return;
  }
  switch (message.kind) {
    case Message::Kind::kStatus:
      OnStatus(process, message.from, message.status);
      break;
    case Message::Kind::kForward:
      OnForwarded(process, message);
      break;
    case Message::Kind::kPointer:
      process->forwarder->OnPointer(now, message.packet.flow, message.owner);
      break;
    case Message::Kind::kQuery:
      AnswerQuery(process, message);
      break;
    case Message::Kind::kReturn:
    case Message::Kind::kNote:
    case Message::Kind::kAnswer:
      OnAgentAnswer(process, message);
      break;
    case Message::Kind::kFromCaller:
    case Message::Kind::kToCaller:
      break;
  }
}

void ResetWorld::SendQueries(Process* balancer) {
  for (const OwnerQuery& query : balancer->director->TakeQueries()) {
    for (const MemberId agent : query.agents) {
      Message message;
      message.kind = Message::Kind::kQuery;
      message.from = balancer->index;
      message.to = detail::ProcessAt(static_cast<uint32_t>(agent.value));
      message.query_id = query.id;
      message.flow_hashes = query.flow_hashes;
      Send(std::move(message));
    }
  }
}

void ResetWorld::AnswerQuery(Process* agent, const Message& query) {
  Message message;
  message.kind = Message::Kind::kAnswer;
  message.from = agent->index;
  message.to = query.from;
  message.query_id = query.query_id;
  message.knows_all = agent->forwarder->KnowsAllFlows(m_state->now);
  message.held_flows = agent->forwarder->FindHeldFlows(query.flow_hashes);
  Trace(ProcessName(agent->index) + " answers a query: " +
        (message.knows_all ? "knows all" : "knows not all") + ", holds " +
        std::to_string(message.held_flows.size()));
  Send(std::move(message));
}

void ResetWorld::OnAgentAnswer(Process* balancer, const Message& message) {
  const TimePoint now = m_state->now;
  const MemberEntry* sender = balancer->members.FindByAddress(
      detail::IpOf(message.from), MemberRole::kAgent);
  if (sender == nullptr) {
    return;
  }
  const MemberId id = sender->member.id;
  if (message.kind == Message::Kind::kAnswer) {
    for (const DeferredDecision& deferred : balancer->director->OnQueryAnswer(
             now, id, message.query_id, message.knows_all,
             message.held_flows)) {
      ApplyDecision(balancer, deferred.decision, deferred.packet);
    }
    return;
  }
  balancer->members.OnLoad(now, id, message.load);
  if (message.kind == Message::Kind::kNote) {
    balancer->director->OnFlowConfirmed(now, id, message.packet.flow,
                                        message.proven);
    return;
  }
  ApplyDecision(
      balancer,
      balancer->director->OnReturned(now, id, message.reason, message.owner,
                                     message.packet, detail::RawPacket()),
      message.packet);
}

}  // namespace medlargauge::lab

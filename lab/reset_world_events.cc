// @file reset_world_events.cc Events of the reset model.
#include <algorithm>
#include <array>

#include "lab/reset_world_state.h"

namespace medlargauge::lab {

namespace {

struct ActionName {
  ModelAction action;
  std::string_view name;
  uint32_t operands;  ///< Processes that its name states.
};

constexpr std::array<ActionName, 19> kActionNames = {{
    {ModelAction::kKill, "kill", 1},
    {ModelAction::kLeave, "leave", 1},
    {ModelAction::kStart, "start", 1},
    {ModelAction::kRestart, "restart", 1},
    {ModelAction::kCrashServer, "crash-server", 1},
    {ModelAction::kBootServer, "boot-server", 1},
    {ModelAction::kCut, "cut", 2},
    {ModelAction::kHeal, "heal", 2},
    {ModelAction::kMoveCaller, "move-caller", 0},
    {ModelAction::kRequest, "request", 0},
    {ModelAction::kLateCopy, "late-copy", 1},
    {ModelAction::kLateReport, "late-report", 1},
    {ModelAction::kLateDeparture, "late-departure", 1},
    {ModelAction::kForgetAgent, "forget", 1},
    {ModelAction::kForgetAgents, "forget-all", 0},
    {ModelAction::kSilenceStore, "silence-store", 0},
    {ModelAction::kRestoreStore, "restore-store", 0},
    {ModelAction::kMoveRoute, "move-route", 0},
    {ModelAction::kWait, "wait", 0},
}};

/// Higher than that of any heartbeat in the model.
constexpr uint64_t kLateReportSequence = 1'000'000;
constexpr std::array<uint32_t, 4> kWaitTimesMs = {100, 400, 1600, 6000};

}  // namespace

std::vector<ModelEvent> ResetWorld::AllEvents() const {
  const uint32_t count = m_config.balancers + m_config.agents;
  std::vector<ModelEvent> events(kWaitTimesMs.size());
  std::transform(kWaitTimesMs.begin(), kWaitTimesMs.end(), events.begin(),
                 [](uint32_t ms) {
                   return ModelEvent{ModelAction::kWait, ms, 0};
                 });
  events.push_back({ModelAction::kRequest, 0, 0});
  events.push_back({ModelAction::kMoveCaller, 0, 0});
  for (uint32_t i = 0; i < count; ++i) {
    events.push_back({ModelAction::kRestart, i, 0});
    events.push_back({ModelAction::kKill, i, 0});
    events.push_back({ModelAction::kLeave, i, 0});
    events.push_back({ModelAction::kStart, i, 0});
  }
  for (uint32_t i = 0; i < m_config.balancers; ++i) {
    events.push_back({ModelAction::kLateCopy, i, 0});
  }
  for (uint32_t i = m_config.balancers; i < count; ++i) {
    events.push_back({ModelAction::kCrashServer, i, 0});
    events.push_back({ModelAction::kBootServer, i, 0});
    events.push_back({ModelAction::kLateReport, i, 0});
    events.push_back({ModelAction::kLateDeparture, i, 0});
    events.push_back({ModelAction::kForgetAgent, i, 0});
  }
  for (uint32_t balancer = 0; balancer < m_config.balancers; ++balancer) {
    for (uint32_t other = balancer + 1; other < count; ++other) {
      events.push_back({ModelAction::kCut, balancer, other});
      events.push_back({ModelAction::kHeal, balancer, other});
    }
  }
  events.push_back({ModelAction::kForgetAgents, 0, 0});
  events.push_back({ModelAction::kSilenceStore, 0, 0});
  events.push_back({ModelAction::kRestoreStore, 0, 0});
  if (m_config.other_agents > 0) {
    events.push_back({ModelAction::kMoveRoute, 0, 0});
  }
  const std::vector<std::string>& actions = m_config.actions;
  events.erase(std::remove_if(events.begin(), events.end(),
                              [&](const ModelEvent& event) {
                                const std::string name = Name(event);
                                return !actions.empty() &&
                                       std::find(
                                           actions.begin(), actions.end(),
                                           name.substr(0, name.find(' '))) ==
                                           actions.end();
                              }),
               events.end());
  return events;
}

bool ResetWorld::CanApply(const ModelEvent& event) const {
  const auto process = [&]() -> const Process& {
    return m_state->processes[event.first];
  };
  switch (event.action) {
    case ModelAction::kKill:
    case ModelAction::kRestart:
      return process().running;
    case ModelAction::kLeave:
      return process().running && !process().leaving;
    case ModelAction::kStart:
      return !process().running;
    case ModelAction::kCrashServer:
      return m_state->servers[event.first].running;
    case ModelAction::kBootServer:
      return !m_state->servers[event.first].running;
    case ModelAction::kCut:
      return !IsCut(event.first, event.second);
    case ModelAction::kHeal:
      return IsCut(event.first, event.second);
    case ModelAction::kMoveCaller:
      return m_config.balancers > 1;
    case ModelAction::kRequest:
      return HasFlow() && !m_state->caller.has_request;
    case ModelAction::kLateCopy:
      return process().running && !m_state->caller.has_late_copy;
    case ModelAction::kLateReport:
    case ModelAction::kLateDeparture:
      return process().running &&
             (process().starts > 1 ||
              m_state->servers[event.first].starts > detail::kFirstServerStart);
    case ModelAction::kForgetAgent:
      return m_state->registered.count(event.first) > 0;
    case ModelAction::kForgetAgents:
      return !m_state->registered.empty();
    case ModelAction::kSilenceStore:
      return m_state->store_answers;
    case ModelAction::kRestoreStore:
      return !m_state->store_answers;
    case ModelAction::kMoveRoute:
    case ModelAction::kWait:
      return true;
  }
  return false;
}

void ResetWorld::Apply(const ModelEvent& event) {
  Trace(Name(event));
  Process* process =
      &m_state->processes[event.action == ModelAction::kWait ? 0 : event.first];
  Server& server = m_state->servers[process->index];
  const TimePoint now = m_state->now;
  switch (event.action) {
    case ModelAction::kKill:
      KillProcess(process);
      break;
    case ModelAction::kLeave:
      LeaveProcess(process);
      break;
    case ModelAction::kStart:
      StartProcess(process);
      break;
    case ModelAction::kRestart:
      KillProcess(process);
      StartProcess(process);
      break;
    case ModelAction::kCrashServer:
      server.running = false;
      server.flow = Server::FlowState::kNone;
      server.impaired_at = now;
      break;
    case ModelAction::kBootServer: {
      const uint64_t starts = server.starts + 1;
      server = Server();
      server.starts = starts;
      server.impaired_at = now;
      server.next_report = now;
      break;
    }
    case ModelAction::kCut:
      m_state->cuts.insert({event.first, event.second});
      break;
    case ModelAction::kHeal:
      m_state->cuts.erase({event.first, event.second});
      process->impaired_at = now;
      m_state->processes[event.second].impaired_at = now;
      break;
    case ModelAction::kMoveCaller:
      m_state->caller.balancer =
          (m_state->caller.balancer + 1) % m_config.balancers;
      break;
    case ModelAction::kRequest:
      SendRequest();
      break;
    case ModelAction::kLateCopy: {
      FlowPacket copy = MakeCallerPacket();
      copy.syn = true;
      copy.sequence = detail::kCallerSequence;
      copy.acknowledged = 1;
      m_state->caller.has_late_copy = true;
      process->impaired_at = now;
      ApplyDecision(
          process,
          process->director->OnCallerPacket(now, copy, detail::RawPacket()),
          copy);
      break;
    }
    case ModelAction::kLateReport:
      DeliverReport(process, server.starts - 1, kLateReportSequence);
      break;
    case ModelAction::kLateDeparture:
      process->forwarder->OnDeregister(detail::StartId(server.starts - 1));
      AnnounceState(process);
      break;
    case ModelAction::kForgetAgent:
      m_state->registered.erase(event.first);
      m_state->store_impaired_at = now;
      break;
    case ModelAction::kForgetAgents:
      m_state->registered.clear();
      m_state->store_impaired_at = now;
      break;
    case ModelAction::kSilenceStore:
      m_state->store_answers = false;
      break;
    case ModelAction::kRestoreStore:
      m_state->store_answers = true;
      m_state->store_impaired_at = now;
      break;
    case ModelAction::kMoveRoute:
      MoveRoute();
      break;
    case ModelAction::kWait:
      RunFor(Milliseconds(event.first));
      break;
  }
}

bool ResetWorld::Commute(const ModelEvent& a, const ModelEvent& b) const {
  // What an event reads or changes: processes, the caller, the store.
  const uint32_t caller = m_config.balancers + m_config.agents;
  const uint32_t store = caller + 1;
  const auto scope = [&](const ModelEvent& event) -> std::vector<uint32_t> {
    switch (event.action) {
      case ModelAction::kWait:
        return {};
      case ModelAction::kMoveCaller:
      case ModelAction::kRequest:
        return {caller};
      case ModelAction::kCut:
      case ModelAction::kHeal:
        return {event.first, event.second};
      case ModelAction::kForgetAgents:
      case ModelAction::kSilenceStore:
      case ModelAction::kRestoreStore:
        return {store};
      default:
        return {event.first, store};
    }
  };
  for (const ModelAction action : {a.action, b.action}) {
    if (action == ModelAction::kWait || action == ModelAction::kMoveRoute) {
      return false;  // They concern all processes.
    }
  }
  const std::vector<uint32_t> scope_a = scope(a);
  const std::vector<uint32_t> scope_b = scope(b);
  const bool is_store_change = scope_a.front() == store ||
                               scope_b.front() == store ||
                               a.action == ModelAction::kForgetAgent ||
                               b.action == ModelAction::kForgetAgent ||
                               a.action == ModelAction::kLateDeparture ||
                               b.action == ModelAction::kLateDeparture;
  return std::none_of(scope_a.begin(), scope_a.end(), [&](uint32_t item) {
    return (item != store || is_store_change) &&
           std::find(scope_b.begin(), scope_b.end(), item) != scope_b.end();
  });
}

std::string_view ResetWorld::ServiceOf(const Process& agent) const {
  const uint32_t first_other =
      m_config.balancers + m_config.agents - m_config.other_agents;
  return agent.index < first_other ? detail::kService : detail::kOtherService;
}

RouteTable ResetWorld::Targets() const {
  RouteTable table;
  table.identity.version.revision = m_state->revision;
  ServiceRoute route;
  route.name = "route";
  route.address = detail::kRouteAddress;
  route.shares.push_back(
      {ServiceIdOf(m_state->is_route_moved ? detail::kOtherService
                                           : detail::kService),
       1});
  table.routes.push_back(route);
  return table;
}

void ResetWorld::MoveRoute() {
  ++m_state->revision;
  m_state->is_route_moved = !m_state->is_route_moved;
  for (Process& process : m_state->processes) {
    if (process.running && process.role == MemberRole::kBalancer) {
      process.routes.Adopt(Targets());
    }
  }
}

std::string ResetWorld::ProcessName(uint32_t index) const {
  return index < m_config.balancers
             ? "balancer-" + std::to_string(index)
             : "agent-" + std::to_string(index - m_config.balancers);
}

std::string ResetWorld::Name(const ModelEvent& event) const {
  const auto found = std::find_if(
      kActionNames.begin(), kActionNames.end(),
      [&](const ActionName& name) { return name.action == event.action; });
  std::string text(found->name);
  if (event.action == ModelAction::kWait) {
    return text + " " + std::to_string(event.first);
  }
  if (found->operands > 0) {
    text += " " + ProcessName(event.first);
  }
  if (found->operands > 1) {
    text += " " + ProcessName(event.second);
  }
  return text;
}

std::optional<ModelEvent> ResetWorld::FindEvent(std::string_view name) const {
  for (const ModelEvent& event : AllEvents()) {
    if (Name(event) == name) {
      return event;
    }
  }
  return std::nullopt;
}

}  // namespace medlargauge::lab

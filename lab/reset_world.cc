// @file reset_world.cc Time and checks of the reset model.
#include <algorithm>
#include <utility>

#include "lab/reset_world_state.h"

namespace medlargauge::lab {

namespace {

/// The fleet runs for this long before the flow opens.
constexpr Duration kStartTime = Milliseconds(8000);
/// A process or link that was disturbed within this time is not in touch.
constexpr Duration kContactTime = Milliseconds(4000);
constexpr Duration kAstrayTime = Milliseconds(2000);
constexpr uint32_t kAstrayPackets = 3;
/// A dead flow must be reset within this time after the last event: a half-open
/// server is silent for 10 s, and a caller transmits every 1.6 s.
constexpr Duration kResetBound = Seconds(16);
constexpr uint32_t kSettleRequests = 2;

}  // namespace

ResetWorld::ResetWorld(const ModelConfig& config)
    : m_config(config), m_state(std::make_unique<State>()) {
  const uint32_t count = m_config.balancers + m_config.agents;
  for (uint32_t i = 0; i < count; ++i) {
    m_state->processes.emplace_back(i);
    m_state->processes.back().role =
        i < m_config.balancers ? MemberRole::kBalancer : MemberRole::kAgent;
  }
  m_state->servers.resize(count);
  for (Process& process : m_state->processes) {
    StartProcess(&process);
  }
  RunFor(kStartTime);
  OpenFlow();
  m_opened_at = m_state->now;
}

ResetWorld::~ResetWorld() = default;

bool ResetWorld::IsOpen() const {
  return m_state->caller.stage == Caller::Stage::kOpen && IsHeld();
}

uint32_t ResetWorld::CountAnswers() const {
  return static_cast<uint32_t>(
      std::count_if(m_state->servers.begin(), m_state->servers.end(),
                    [](const Server& server) {
                      return server.flow != Server::FlowState::kNone;
                    }));
}

std::string ResetWorld::OwnerName() const {
  return m_state->caller.owner == detail::kNoProcess
             ? "none"
             : ProcessName(m_state->caller.owner);
}

bool ResetWorld::HasFlow() const {
  return m_state->caller.stage == Caller::Stage::kOpen;
}

ResetWorld::Snapshot ResetWorld::Save() const {
  return std::make_shared<const State>(*m_state);
}

void ResetWorld::Restore(const Snapshot& snapshot) {
  // Assigns the elements in place, because the directors point to them.
  *m_state = *snapshot;
}

void ResetWorld::RunFor(Duration duration) {
  const TimePoint end = m_state->now + duration;
  while (m_state->now < end) {
    Step();
  }
}

void ResetWorld::Step() {
  m_state->now += detail::kStep;
  const std::vector<Message> messages = std::exchange(m_state->messages, {});
  for (const Message& message : messages) {
    Deliver(message);
  }
  for (Process& process : m_state->processes) {
    if (process.role == MemberRole::kAgent) {
      TickServer(&process);
    }
    if (process.running) {
      TickProcess(&process);
    }
  }
  TickCaller();
}

Duration ResetWorld::Settle() {
  const std::set<std::pair<uint32_t, uint32_t>> cuts = m_state->cuts;
  for (const auto& [first, second] : cuts) {
    Apply({ModelAction::kHeal, first, second});
  }
  if (!m_state->store_answers) {
    Apply({ModelAction::kRestoreStore, 0, 0});
  }
  // A decision needs a running balancer and a running agent.
  for (const MemberRole role : {MemberRole::kBalancer, MemberRole::kAgent}) {
    const auto runs = [role](const Process& process) {
      return process.role == role && process.running;
    };
    if (std::any_of(m_state->processes.begin(), m_state->processes.end(),
                    runs)) {
      continue;
    }
    for (Process& process : m_state->processes) {
      if (process.role == role) {
        StartProcess(&process);
      }
    }
  }
  const Caller& caller = m_state->caller;
  const TimePoint start = m_state->now;
  const TimePoint end = start + kResetBound;
  const uint32_t answered = caller.answered + kSettleRequests;
  while (HasFlow() && caller.answered < answered && m_state->now < end) {
    if (!caller.has_request) {
      SendRequest();
    }
    Step();
  }
  if (HasFlow() && caller.answered < answered) {
    Report(IsHeld() ? FindingKind::kSilent : FindingKind::kNotReset, {}, "");
  }
  return m_state->now - start;
}

void ResetWorld::Trace(const std::string& text) const {
  if (m_trace) {
    m_trace(m_state->now - m_opened_at, text);
  }
}

bool ResetWorld::IsHeld() const {
  const Caller& caller = m_state->caller;
  if (caller.owner == detail::kNoProcess) {
    return false;
  }
  const Server& server = m_state->servers[caller.owner];
  return server.running && server.flow == Server::FlowState::kOpen &&
         server.initial_sequence == caller.owner_initial_sequence;
}

std::string ResetWorld::OutOfTouch(const std::set<uint32_t>& processes) const {
  const TimePoint now = m_state->now;
  std::string names;
  const auto check = [&](const std::string& name, TimePoint impaired_at) {
    if (impaired_at != TimePoint() && now - impaired_at < kContactTime) {
      names += (names.empty() ? "" : " ") + name;
    }
  };
  for (const uint32_t index : processes) {
    const Process& process = m_state->processes[index];
    const bool is_cut = std::any_of(
        m_state->cuts.begin(), m_state->cuts.end(), [index](const auto& cut) {
          return cut.first == index || cut.second == index;
        });
    check(ProcessName(index),
          is_cut || !process.running ? now : process.impaired_at);
  }
  const uint32_t owner = m_state->caller.owner;
  if (owner != detail::kNoProcess) {
    check("server", m_state->servers[owner].impaired_at);
  }
  check("store", m_state->store_answers ? m_state->store_impaired_at : now);
  return names;
}

void ResetWorld::Report(FindingKind kind,
                        const std::set<uint32_t>& processes,
                        std::string detail) {
  const bool needs_touch =
      kind == FindingKind::kReset || kind == FindingKind::kAstray;
  if (needs_touch && !m_state->processes[m_state->caller.owner].running) {
    return;  // No running process can reach the flow.
  }
  Trace("finding: " + detail);
  m_state->findings.push_back(
      {kind, needs_touch ? OutOfTouch(processes) : "", std::move(detail)});
}

void ResetWorld::TrackDelivery(uint32_t agent,
                               uint32_t balancer,
                               bool is_opening) {
  Caller& caller = m_state->caller;
  // A copy of the opening packet is meant for any server.
  if (!IsHeld() || !m_state->servers[agent].running || is_opening) {
    return;
  }
  if (agent == caller.owner) {
    caller.astray_packets = 0;
    caller.astray_balancers.clear();
    return;
  }
  const TimePoint now = m_state->now;
  caller.astray_since = caller.astray_packets == 0 ? now : caller.astray_since;
  ++caller.astray_packets;
  caller.astray_balancers.insert(balancer);
  if (caller.astray_packets >= kAstrayPackets &&
      now - caller.astray_since >= kAstrayTime) {
    std::set<uint32_t> processes = caller.astray_balancers;
    processes.insert(caller.owner);
    Report(FindingKind::kAstray, processes,
           "last at " + ProcessName(agent) + " owner " +
               ProcessName(caller.owner));
    caller.astray_packets = 0;
  }
}

void ResetWorld::CheckReset(uint32_t sender) {
  if (!IsHeld()) {
    return;
  }
  Report(FindingKind::kReset, {sender, m_state->caller.owner},
         "by " + ProcessName(sender) + " owner " +
             ProcessName(m_state->caller.owner));
}

std::vector<Finding> ResetWorld::TakeFindings() {
  return std::exchange(m_state->findings, {});
}

}  // namespace medlargauge::lab

// @file invariant_checker.cc Flows, services, runs, targets.
#include "soak/invariant_checker.h"

#include <algorithm>

namespace medlargauge::soak {
namespace {

constexpr size_t kMaxTexts = 50;
constexpr uint32_t kAstrayPackets = 3;

}  // namespace

void Referee::Report(const std::string& text) {
  ++m_count;
  if (m_broken.size() < kMaxTexts) {
    const double at =
        static_cast<double>(ToMilliseconds(SteadyTime() - m_began)) / 1000;
    m_broken.push_back(std::to_string(at) + " s: " + text);
  }
}

bool Referee::IsExcused(TimePoint now, const ServerStandin& server) const {
  // Planned work never excuses; what was not planned does, for a while.
  const Daemon* agent = m_processes->At(server.ServerOptions().address.ip);
  return now - agent->fault_ended < kContact ||
         now - server.StateChangedAt() < kContact;
}

void Referee::OnAccepted(const FlowKey& flow, bool left) {
  if (left) {
    Report("DRAIN a leaving server got flow " + std::to_string(HashFlow(flow)));
  }
}

void Referee::OnPacket(ServerStandin* server, const FlowKey& flow, bool held) {
  const TimePoint now = SteadyTime();
  if (held) {
    m_flows[flow] = {server, 0, now};
    return;
  }
  const auto found = m_flows.find(flow);
  if (found == m_flows.end() || !found->second.owner->HasOpenFlow(flow)) {
    return;
  }
  Flow& known = found->second;
  known.astray_since = known.astray == 0 ? now : known.astray_since;
  ++known.astray;
  const bool broken = known.astray >= kAstrayPackets &&
                      now - known.astray_since >= kAstray &&
                      !IsExcused(now, *known.owner);
  if (broken) {
    Report("FLOW packets of an open flow reach other servers, caller port " +
           std::to_string(flow.caller.port) + ", owner " +
           FormatIp(known.owner->ServerOptions().address.ip) + ", at " +
           FormatIp(server->ServerOptions().address.ip));
    known.astray = 0;
  }
}

void Referee::OnRun(const ServerStandin& server,
                    const FlowKey& flow,
                    uint64_t request) {
  const auto found = std::find_if(
      m_classes->begin(), m_classes->end(),
      [&flow](const WorkClass& c) { return c.route == flow.route; });
  if (found == m_classes->end() ||
      found->service != server.ServerOptions().service) {
    Report("ROUTE request " + std::to_string(request) +
           " reached a server of \"" + server.ServerOptions().service + "\"");
    return;
  }
  if (!found->repeatable && ++m_runs[request] > 1) {
    Report("ONCE request " + std::to_string(request) + " ran again");
  }
}

void Referee::OnReset(const FlowKey& flow) {
  const auto found = m_flows.find(flow);
  const TimePoint now = SteadyTime();
  const bool broken = found != m_flows.end() &&
                      found->second.owner->HasOpenFlow(flow) &&
                      !IsExcused(now, *found->second.owner);
  if (broken) {
    Report("FLOW an open flow was reset, caller port " +
           std::to_string(flow.caller.port) + ", owner " +
           FormatIp(found->second.owner->ServerOptions().address.ip));
  }
}

void Referee::OnBadAnswer(const FlowKey& flow, uint64_t request) {
  Report("WHOLE request " + std::to_string(request) +
         " got another answer, caller port " +
         std::to_string(flow.caller.port));
}

void Referee::OnRequestEnded(TimePoint asked, bool served) {
  Outcome& second = m_seconds[ToMilliseconds(asked - m_began) / 1000];
  ++second.asked;
  second.served += served ? 1 : 0;
  second.failed += served ? 0 : 1;
}

void Referee::OnTarget(TimePoint now, uint64_t revision) {
  m_target = revision;
  m_target_due = now + kTargetBound;
}

void Referee::OnStoreMood(TimePoint now, bool well) {
  m_store_well = well;
  m_store_changed = now;
}

void Referee::OnInForce(TimePoint now,
                        const Daemon& balancer,
                        uint64_t revision,
                        bool used) {
  uint64_t& before = m_in_force[{balancer.ip, balancer.starts}];
  if (revision < before) {
    Report("CONFIG " + balancer.name + " fell back from " +
           std::to_string(before) + " to " + std::to_string(revision));
  }
  before = revision;
  if (revision > m_highest) {
    m_highest = revision;
    m_highest_due = now + kTargetBound;
  }
  const TimePoint settled =
      std::max(balancer.started_at, balancer.fault_ended) + kTargetBound;
  const bool by_store = m_store_well && now > m_target_due &&
                        now > m_store_changed + kTargetBound &&
                        revision < m_target;
  const bool by_peers = now > m_highest_due && revision < m_highest;
  if (used && now > settled && !balancer.paused && (by_store || by_peers)) {
    Report("CONFIG " + balancer.name + " serves by " +
           std::to_string(revision) + " instead of " +
           std::to_string(by_store ? m_target : m_highest));
  }
}

Outcome Referee::Between(TimePoint begin, TimePoint end) const {
  Outcome sum;
  for (const auto& [second, outcome] : m_seconds) {
    const TimePoint at = m_began + Seconds(second);
    if (at >= begin && at < end) {
      sum.asked += outcome.asked;
      sum.served += outcome.served;
      sum.failed += outcome.failed;
    }
  }
  return sum;
}

}  // namespace medlargauge::soak

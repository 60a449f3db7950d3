// @file outage_bound.cc Callers with their timers before a system without
// delays of its own.
#include "lab/outage_bound.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <random>

#include "src/core/error.h"

namespace medlargauge::lab {
namespace {

using nlohmann::json;

/// When a caller sends a packet on an open flow and its copies.
constexpr std::array<Duration, 5> kDataCopies = {
    Milliseconds(0), Milliseconds(200), Milliseconds(600), Milliseconds(1400),
    Milliseconds(3000)};
/// The same for an opening packet, and the end of that attempt.
constexpr std::array<Duration, 3> kOpeningCopies = {
    Milliseconds(0), Milliseconds(200), Milliseconds(600)};
constexpr Duration kAttempt = Milliseconds(1400);

/// Outcome of one request.
struct Answer {
  std::optional<Duration> at;  ///< When it ends well; nullopt: it fails.
  OutageCause cause = OutageCause::kNone;
};

/// A long flow of a client.
struct ClientFlow {
  Duration free_at{};    ///< Its last request has ended.
  Duration opened_at{};  ///< When it was opened; 0: before the first window.
};

/// The requests of all clients, and the balancers that they meet.
class Player {
 public:
  Player(const Outage& outage, uint64_t seed)
      : m_outage(outage), m_random(seed) {}

  std::vector<OutageWindow> Run() {
    m_windows.resize(m_outage.windows);
    for (const OutageClass& kind : m_outage.classes) {
      if (kind.clients == 0) {
        PlayFresh(kind);
      }
      for (uint32_t client = 0; client < kind.clients; ++client) {
        PlayClient(kind);
      }
    }
    return std::move(m_windows);
  }

 private:
  Duration Gap(double per_second) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        std::exponential_distribution<>(per_second)(m_random)));
  }
  Duration End() const { return m_outage.window * m_outage.windows; }
  /// Returns when the balancer of some flow runs again.
  Duration BalancerUp() {
    const size_t count = m_outage.balancers_up.size();
    return m_outage.balancers_up[std::uniform_int_distribution<size_t>(
        0, count - 1)(m_random)];
  }
  bool IsLost(Duration time, Duration up) const {
    return time >= m_outage.lost_at && time < up;
  }
  /// Returns when the first copy reaches a balancer that runs.
  template <size_t N>
  std::optional<Duration> Reach(Duration sent,
                                const std::array<Duration, N>& copies,
                                Duration up) const {
    for (const Duration copy : copies) {
      if (!IsLost(sent + copy, up)) {
        return sent + copy;
      }
    }
    return std::nullopt;
  }

  /// Plays the tries of a request on new flows from `start` on.
  Answer Open(Duration start, uint32_t tries, const OutageClass& kind) {
    Answer answer;
    for (uint32_t i = 0; i < tries; ++i, start += kAttempt) {
      const std::optional<Duration> reached =
          Reach(start, kOpeningCopies, BalancerUp());
      answer.cause = !reached.has_value() || *reached != start
                         ? OutageCause::kNoBalancer
                         : answer.cause;
      if (!reached.has_value()) {
        continue;
      }
      answer.at = *reached + 2 * m_outage.round_trip + kind.work;
      const bool ends_running = m_outage.servers_end &&
                                *reached < m_outage.lost_at &&
                                *answer.at >= m_outage.lost_at;
      if (ends_running) {
        return {std::nullopt, OutageCause::kRunning};
      }
      return answer;
    }
    return answer;
  }

  /// Plays a request on an open flow. @param is_dead its server has ended
  Answer Use(Duration start, bool is_dead, const OutageClass& kind) {
    const std::optional<Duration> reached =
        Reach(start, kDataCopies, BalancerUp());
    if (!reached.has_value()) {
      return {std::nullopt, OutageCause::kNoBalancer};
    }
    const Duration answer = *reached + m_outage.round_trip + kind.work;
    const bool crosses =
        *reached < m_outage.lost_at && answer >= m_outage.lost_at;
    if (crosses && m_outage.servers_end) {
      return {std::nullopt, OutageCause::kRunning};
    }
    if (!is_dead) {
      return {answer, *reached == start ? OutageCause::kNone
                                        : OutageCause::kNoBalancer};
    }
    if (!kind.repeatable) {
      return {std::nullopt, OutageCause::kRunOnce};
    }
    Answer again = Open(*reached + m_outage.round_trip, kind.retries, kind);
    const bool waited = *reached != start;
    again.cause = waited ? OutageCause::kNoBalancer : OutageCause::kDeadFlow;
    return again;
  }

  void Record(Duration asked, Answer answer, const OutageClass& kind) {
    const size_t index = static_cast<size_t>(asked / m_outage.window);
    if (index >= m_windows.size()) {
      return;
    }
    OutageWindow& window = m_windows[index];
    ++window.asked;
    window.worth_asked += kind.worth;
    const bool is_served =
        answer.at.has_value() && *answer.at - asked <= kind.limit;
    if (!is_served) {
      ++window.failed;
    } else if (*answer.at - asked <= kind.goal) {
      ++window.in_goal;
      window.worth_earned += kind.worth;
      return;
    } else {
      ++window.late;
      window.worth_earned += kind.late_worth;
    }
    ++window.causes[static_cast<size_t>(answer.cause)];
  }

  void PlayFresh(const OutageClass& kind) {
    for (Duration now = Gap(kind.per_second); now < End();
         now += Gap(kind.per_second)) {
      Record(now, Open(now, kind.retries + 1, kind), kind);
    }
  }

  void PlayClient(const OutageClass& kind) {
    const double per_second = kind.per_second / kind.clients;
    // Before the loss a client needs one flow at a time.
    std::vector<ClientFlow> flows(1);
    for (Duration now = Gap(per_second); now < End(); now += Gap(per_second)) {
      ClientFlow* flow =
          &*std::min_element(flows.begin(), flows.end(),
                             [](const ClientFlow& a, const ClientFlow& b) {
                               return a.free_at < b.free_at;
                             });
      if (flow->free_at > now && flows.size() < kind.flows_per_client) {
        const Answer answer = Open(now, kind.retries + 1, kind);
        flows.push_back({answer.at.value_or(now + kind.limit), now});
        Record(now, answer, kind);
        continue;
      }
      const Duration start = std::max(now, flow->free_at);
      const bool is_dead = m_outage.servers_end &&
                           flow->opened_at < m_outage.lost_at &&
                           start >= m_outage.lost_at;
      Answer answer = Use(start, is_dead, kind);
      if (start > now && answer.cause == OutageCause::kNone) {
        answer.cause = OutageCause::kBehind;
      }
      flow->free_at = answer.at.value_or(now + kind.limit);
      if (is_dead || answer.cause == OutageCause::kRunning) {
        flow->opened_at = flow->free_at;
      }
      Record(now, answer, kind);
    }
  }

  const Outage& m_outage;
  pcg64 m_random;
  std::vector<OutageWindow> m_windows;
};

/// Reads a number of milliseconds or another amount.
double ReadNumber(const json& object, const char* key, Error* reason) {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number() ||
      found->get<double>() < 0) {
    if (reason->kind != ErrorKind::kNone) {
      return 0;  // The first fault is reported.
    }
    Fail(reason, ErrorKind::kMalformedValue,
         std::string("\"") + key + "\" must be a number of at least 0");
    return 0;
  }
  return found->get<double>();
}

Duration ReadMs(const json& object, const char* key, Error* reason) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          ReadNumber(object, key, reason)));
}

/// Reads a flag that is false if it is missing.
bool ReadFlag(const json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_boolean() && found->get<bool>();
}

OutageClass ReadClass(const json& object, Error* reason) {
  OutageClass kind;
  kind.repeatable = ReadFlag(object, "repeatable");
  kind.per_second = ReadNumber(object, "per_second", reason);
  if (reason->kind == ErrorKind::kNone && kind.per_second <= 0) {
    Fail(reason, ErrorKind::kMalformedValue, "\"per_second\" must be above 0");
  }
  kind.clients = static_cast<uint32_t>(ReadNumber(object, "clients", reason));
  kind.flows_per_client =
      static_cast<uint32_t>(ReadNumber(object, "flows_per_client", reason));
  kind.goal = ReadMs(object, "goal_ms", reason);
  kind.limit = ReadMs(object, "limit_ms", reason);
  kind.work = ReadMs(object, "work_ms", reason);
  kind.worth = ReadNumber(object, "worth", reason);
  kind.late_worth = ReadNumber(object, "late_worth", reason);
  kind.retries = static_cast<uint32_t>(ReadNumber(object, "retries", reason));
  return kind;
}

}  // namespace

std::string_view NameOf(OutageCause cause) {
  constexpr std::array<std::string_view,
                       static_cast<size_t>(OutageCause::kCount)>
      kNames = {"none",        "running",   "run_once",
                "no_balancer", "dead_flow", "behind"};
  return kNames[static_cast<size_t>(cause)];
}

std::optional<Outage> ParseOutage(std::string_view text, Error* reason) {
  Error fault;
  const json values = json::parse(text, nullptr, false, true);
  if (!values.is_object() || !values.contains("classes") ||
      !values["classes"].is_array()) {
    Fail(reason, ErrorKind::kMalformedValue,
         "must be a JSON object with a list \"classes\"");
    return std::nullopt;
  }
  Outage outage;
  outage.lost_at = ReadMs(values, "lost_at_ms", &fault);
  const auto balancers = values.find("balancers_up_ms");
  if (balancers != values.end() && balancers->is_array()) {
    for (const json& up : *balancers) {
      outage.balancers_up.push_back(
          Milliseconds(up.is_number() ? up.get<int64_t>() : 0));
    }
  }
  outage.servers_end = ReadFlag(values, "servers_end");
  outage.round_trip = ReadMs(values, "round_trip_ms", &fault);
  outage.window = ReadMs(values, "window_ms", &fault);
  outage.windows = static_cast<uint32_t>(ReadNumber(values, "windows", &fault));
  for (const json& entry : values["classes"]) {
    outage.classes.push_back(ReadClass(entry, &fault));
  }
  const bool is_in_order =
      std::all_of(outage.balancers_up.begin(), outage.balancers_up.end(),
                  [&](Duration up) { return up >= outage.lost_at; });
  if (fault.kind == ErrorKind::kNone &&
      (outage.balancers_up.empty() || !is_in_order)) {
    Fail(&fault, ErrorKind::kMalformedValue,
         "\"balancers_up_ms\" must list times after \"lost_at_ms\"");
  }
  if (fault.kind == ErrorKind::kNone &&
      (outage.window <= Duration() || outage.windows == 0)) {
    Fail(&fault, ErrorKind::kMalformedValue, "there must be a window");
  }
  if (fault.kind != ErrorKind::kNone) {
    *reason = fault;
    return std::nullopt;
  }
  return outage;
}

std::vector<OutageWindow> ComputeOutageBound(const Outage& outage,
                                             uint64_t seed) {
  return Player(outage, seed).Run();
}

}  // namespace medlargauge::lab

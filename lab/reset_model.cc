// @file reset_model.cc Enumeration of the sequences of events of the reset
// model.
#include "lab/reset_model.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <optional>
#include <random>
#include <set>
#include <tuple>
#include <utility>

namespace medlargauge::lab {
namespace {

constexpr std::array<std::string_view, 4> kFindingNames = {
    "reset", "astray", "not-reset", "silent"};
constexpr std::array<std::string_view, 8> kOpeningNames = {
    "plain",      "retry-first", "retry-second", "retry-crossed",
    "copy-first", "copy-second", "three-first",  "three-second"};

std::vector<std::string> NamesOf(const ResetWorld& world,
                                 const std::vector<ModelEvent>& events) {
  std::vector<std::string> names;
  names.reserve(events.size());
  for (const ModelEvent& event : events) {
    names.push_back(world.Name(event));
  }
  return names;
}

/// Returns the names of the kinds of events in a script, without those that
/// only let time pass.
std::set<std::string> ActionsOf(const std::vector<std::string>& script) {
  std::set<std::string> actions;
  for (const std::string& name : script) {
    const std::string action = name.substr(0, name.find(' '));
    if (action != "wait" && action != "request") {
      actions.insert(action);
    }
  }
  return actions;
}

std::string KeyOf(const Finding& finding,
                  const std::vector<std::string>& script) {
  std::string key = std::string(Counts(finding) ? "0 " : "1 ") +
                    std::string(FindingName(finding.kind)) + " " +
                    finding.out_of_touch;
  if (Counts(finding)) {
    for (const std::string& action : ActionsOf(script)) {
      key += "+" + action;
    }
  }
  return key;
}

bool IsSame(const Finding& a, const Finding& b) {
  return a.kind == b.kind && a.out_of_touch == b.out_of_touch;
}

/// Plays events and settles the world. Skips events that make no sense.
std::vector<Finding> Play(ResetWorld* world,
                          const std::vector<ModelEvent>& events) {
  for (const ModelEvent& event : events) {
    if (world->HasFlow() && world->CanApply(event)) {
      world->Apply(event);
    }
  }
  world->Settle();
  return world->TakeFindings();
}

bool Shows(const std::vector<Finding>& findings, const Finding& wanted) {
  return std::any_of(
      findings.begin(), findings.end(),
      [&wanted](const Finding& finding) { return IsSame(finding, wanted); });
}

/// Searches sequences of one configuration.
class Explorer {
 public:
  Explorer(const ModelConfig& config, ModelResult* result)
      : m_config(config),
        m_result(result),
        m_world(config),
        m_events(m_world.AllEvents()) {}

  bool IsOpen() const { return m_world.IsOpen(); }

  /// Plays all sequences that begin with m_path.
  void Explore(uint32_t depth, uint32_t part, uint32_t parts) {
    const ResetWorld::Snapshot before = m_world.Save();
    if (part == 0 || parts == 1) {
      EndSequence();
      m_world.Restore(before);
    }
    if (depth == 0) {
      return;
    }
    uint32_t index = 0;
    for (const ModelEvent& event : m_events) {
      const bool commutes = !m_path.empty() &&
                            m_world.Commute(m_path.back(), event) &&
                            IsBefore(event, m_path.back());
      if (commutes || !m_world.CanApply(event) || index++ % parts != part) {
        continue;
      }
      m_path.push_back(event);
      m_world.Apply(event);
      ++m_result->states;
      const std::vector<Finding> findings = m_world.TakeFindings();
      Record(findings);
      if (findings.empty() && m_world.HasFlow()) {
        Explore(depth - 1, 0, 1);
      }
      m_path.pop_back();
      m_world.Restore(before);
    }
  }

  void ExploreRandomly(uint64_t seed, uint32_t runs, uint32_t length) {
    std::mt19937_64 random(seed);
    const ResetWorld::Snapshot start = m_world.Save();
    for (uint32_t run = 0; run < runs; ++run) {
      m_path.clear();
      while (m_path.size() < length && m_world.HasFlow()) {
        const ModelEvent& event = m_events[random() % m_events.size()];
        if (m_world.CanApply(event)) {
          m_path.push_back(event);
          m_world.Apply(event);
          ++m_result->states;
        }
      }
      Settle();
      const std::vector<Finding> findings = m_world.TakeFindings();
      m_world.Restore(start);
      for (const Finding& finding : findings) {
        if (Counts(finding)) {
          Shorten(finding, start);
        }
        Record({finding});
      }
    }
  }

 private:
  static bool IsBefore(const ModelEvent& a, const ModelEvent& b) {
    return std::tie(a.action, a.first, a.second) <
           std::tie(b.action, b.first, b.second);
  }

  void EndSequence() {
    Settle();
    Record(m_world.TakeFindings());
  }

  /// Settles the world and counts the sequence.
  void Settle() {
    const bool had_flow = m_world.HasFlow();
    const Duration time = m_world.Settle();
    ++m_result->sequences;
    if (had_flow && !m_world.HasFlow()) {
      ++m_result->resets;
      m_result->longest_reset = std::max(m_result->longest_reset, time);
    }
  }

  /// Removes events from m_path that the finding does not need.
  void Shorten(const Finding& finding, const ResetWorld::Snapshot& start) {
    bool is_shorter = true;
    while (std::exchange(is_shorter, false)) {
      for (size_t i = m_path.size(); i-- > 0;) {
        std::vector<ModelEvent> shorter = m_path;
        shorter.erase(shorter.begin() + static_cast<std::ptrdiff_t>(i));
        if (Shows(Play(&m_world, shorter), finding)) {
          m_path = std::move(shorter);
          is_shorter = true;
        }
        m_world.Restore(start);
      }
    }
  }

  void Record(const std::vector<Finding>& findings) {
    for (const Finding& finding : findings) {
      const std::vector<std::string> script = NamesOf(m_world, m_path);
      ModelFinding& entry = EntryFor(finding, script);
      if (entry.sequences++ == 0 || script.size() < entry.script.size()) {
        entry.finding = finding;
        entry.config = m_config;
        entry.script = script;
      }
    }
  }

  /// Returns the entry that the finding belongs to: one whose kinds of events
  /// are among those of the script, if there is one.
  ModelFinding& EntryFor(const Finding& finding,
                         const std::vector<std::string>& script) {
    const std::set<std::string> actions = ActionsOf(script);
    for (auto& [key, entry] : m_result->findings) {
      const std::set<std::string> needed = ActionsOf(entry.script);
      if (Counts(finding) && IsSame(entry.finding, finding) &&
          std::includes(actions.begin(), actions.end(), needed.begin(),
                        needed.end())) {
        return entry;
      }
    }
    return m_result->findings[KeyOf(finding, script)];
  }

  ModelConfig m_config;
  ModelResult* m_result;
  ResetWorld m_world;
  std::vector<ModelEvent> m_events;
  std::vector<ModelEvent> m_path;  ///< Events so far.
};

}  // namespace

std::vector<ModelFinding> ModelResult::Counted() const {
  std::vector<ModelFinding> counted;
  for (const auto& [key, entry] : findings) {
    if (Counts(entry.finding)) {
      counted.push_back(entry);
    }
  }
  return counted;
}

bool Counts(const Finding& finding) {
  return finding.kind != FindingKind::kSilent && finding.out_of_touch.empty();
}

std::string_view FindingName(FindingKind kind) {
  return kFindingNames[static_cast<size_t>(kind)];
}

std::string_view OpeningName(ModelOpening opening) {
  return kOpeningNames[static_cast<size_t>(opening)];
}

std::vector<ModelOpening> AllOpenings() {
  std::vector<ModelOpening> openings;
  for (size_t i = 0; i < kOpeningNames.size(); ++i) {
    openings.push_back(static_cast<ModelOpening>(i));
  }
  return openings;
}

void ExploreAll(const ModelConfig& config,
                uint32_t depth,
                uint32_t part,
                uint32_t parts,
                ModelResult* result) {
  Explorer(config, result).Explore(depth, part, parts);
}

void ExploreRandomly(const ModelConfig& config,
                     uint64_t seed,
                     uint32_t runs,
                     uint32_t length,
                     ModelResult* result) {
  Explorer(config, result).ExploreRandomly(seed, runs, length);
}

std::vector<Finding> Replay(
    const ModelConfig& config,
    const std::vector<std::string>& script,
    const std::function<void(Duration, const std::string&)>& trace) {
  ResetWorld world(config);
  world.SetTrace(trace);
  std::vector<ModelEvent> events;
  for (const std::string& name : script) {
    const std::optional<ModelEvent> event = world.FindEvent(name);
    assert(event.has_value());
    events.push_back(*event);
  }
  return Play(&world, events);
}

std::string Describe(const ModelResult& result) {
  std::string text = "sequences " + std::to_string(result.sequences) +
                     " states " + std::to_string(result.states) + " resets " +
                     std::to_string(result.resets) + " longest_reset_ms " +
                     std::to_string(ToMilliseconds(result.longest_reset)) +
                     "\n";
  for (const auto& [key, entry] : result.findings) {
    text += std::string(Counts(entry.finding) ? "COUNTS " : "info   ") +
            std::string(FindingName(entry.finding.kind));
    text += " sequences=" + std::to_string(entry.sequences);
    text +=
        " out_of_touch=[" + entry.finding.out_of_touch + "] " +
        entry.finding.detail +
        "\n  opening=" + std::string(OpeningName(entry.config.opening)) +
        " distance=" + std::to_string(entry.config.initial_sequence_distance) +
        " agents=" + std::to_string(entry.config.agents) +
        " other_agents=" + std::to_string(entry.config.other_agents) +
        " balancers=" + std::to_string(entry.config.balancers) +
        " queries=" + std::to_string(entry.config.use_queries ? 1 : 0) +
        " seeds=" + std::to_string(entry.config.seeds) +
        " port=" + std::to_string(entry.config.caller_port) + " script:";
    for (size_t i = 0; i < entry.script.size(); ++i) {
      text += (i == 0 ? " " : ",") + entry.script[i];
    }
    text += "\n";
  }
  return text;
}

}  // namespace medlargauge::lab

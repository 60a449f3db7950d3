// @file lab_main.cc Simulates scenarios and compares policies.
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "lab/dead_flows.h"
#include "lab/lab_report.h"
#include "lab/lab_scenarios.h"
#include "lab/lab_sweep.h"
#include "lab/member_cost.h"
#include "lab/outage_bound.h"
#include "lab/placement_cost.h"
#include "lab/reset_model.h"
#include "src/core/error.h"

DEFINE_string(policy,
              "present",
              "policies to simulate, separated by commas; all: every policy");
DEFINE_uint32(seeds,
              5,
              "number of runs of each policy, with seeds from --first_seed");
DEFINE_uint32(first_seed, 1, "seed of the first run");
DEFINE_bool(json, false, "print a JSON object for each scenario and policy");
DEFINE_bool(details,
            true,
            "print each class and priority, beside the figures of the oracle");
DEFINE_uint32(depth, 2, "reset-model: number of events of a sequence");
DEFINE_uint32(agents, 3, "reset-model: number of agents");
DEFINE_uint32(balancers, 2, "reset-model: number of balancers");
DEFINE_uint32(join_seeds, 2, "reset-model: number of balancers that are seeds");
DEFINE_string(opening,
              "all",
              "reset-model: how the flow opens; all: every way");
DEFINE_uint32(distance,
              0x20000000,
              "reset-model: between initial sequence numbers of two servers");
DEFINE_uint32(port, 40001, "reset-model: the caller's port");
DEFINE_uint32(runs,
              0,
              "reset-model: random sequences, in place of every sequence");
DEFINE_string(
    actions,
    "",
    "reset-model: actions that may happen, separated by commas; empty: "
    "all");
DEFINE_string(script,
              "",
              "reset-model: plays these events, separated by commas");

DEFINE_uint32(other_agents,
              0,
              "reset-model: how many of the agents serve another service");
DEFINE_bool(
    queries,
    false,
    "reset-model: searches query all agents instead of asking one after "
    "the other");
DEFINE_uint32(flows, 2000, "dead-flows: number of dead flows");
DEFINE_uint32(spread_ms, 1000, "dead-flows: time over which they show up");
DEFINE_string(fleets,
              "30,300,1800",
              "load-sweep: numbers of agents, separated by commas");
DEFINE_string(loads,
              "0.3,0.5,0.7,0.8,0.9,1,1.1,1.2",
              "load-sweep: loads relative to the capacity");
DEFINE_uint32(sweep_ms, 1000, "load-sweep: duration of the load of each run");
DEFINE_string(plot, "", "load-sweep: file that gets a plot as SVG");
DEFINE_uint32(late_agents,
              0,
              "dead-flows: agents of each hundred that start after their "
              "server's first call");

namespace medlargauge::lab {
namespace {

std::vector<std::string> SplitByComma(const std::string& text) {
  std::vector<std::string> parts(1);
  for (const char c : text) {
    if (c == ',') {
      parts.emplace_back();
    } else {
      parts.back() += c;
    }
  }
  return parts;
}

/// Searches or replays sequences of events of the reset model.
/// @return whether none breaks a promise
bool RunResetModel() {
  ModelResult result;
  bool is_clean = true;
  for (const ModelOpening opening : AllOpenings()) {
    if (FLAGS_opening != "all" && FLAGS_opening != OpeningName(opening)) {
      continue;
    }
    ModelConfig config;
    config.agents = FLAGS_agents;
    config.other_agents = FLAGS_other_agents;
    config.balancers = FLAGS_balancers;
    config.seeds = FLAGS_join_seeds;
    config.opening = opening;
    config.initial_sequence_distance = FLAGS_distance;
    config.use_queries = FLAGS_queries;
    config.caller_port = static_cast<uint16_t>(FLAGS_port);
    if (!FLAGS_actions.empty()) {
      config.actions = SplitByComma(FLAGS_actions);
    }
    if (!FLAGS_script.empty()) {
      for (const Finding& finding :
           Replay(config, SplitByComma(FLAGS_script),
                  [](Duration time, const std::string&text) {
                    std::printf("%8lld ms %s\n",
                                static_cast<long long>(ToMilliseconds(time)),
                                text.c_str());
                  })) {
        std::cout << OpeningName(opening) << ": " << FindingName(finding.kind)
                  << " out_of_touch=[" << finding.out_of_touch << "] "
                  << finding.detail << '\n';
        is_clean = is_clean && !Counts(finding);
      }
    } else if (FLAGS_runs > 0) {
      ExploreRandomly(config, FLAGS_first_seed, FLAGS_runs, FLAGS_depth,
                      &result);
    } else {
      ExploreAll(config, FLAGS_depth, 0, 1, &result);
    }
  }
  if (FLAGS_script.empty()) {
    std::cout << "depth " << FLAGS_depth << ' ' << Describe(result);
  }
  return is_clean && result.Counted().empty();
}

/// Measures the resets of dead flows with queries and, beside them, without.
void RunDeadFlows() {
  DeadFlowsConfig config;
  config.agents = FLAGS_agents;
  config.balancers = FLAGS_balancers;
  config.flows = FLAGS_flows;
  config.spread = Milliseconds(FLAGS_spread_ms);
  config.late_agents_percent = FLAGS_late_agents;
  for (const bool use_queries : {true, false}) {
    config.use_queries = use_queries;
    const DeadFlowsResult result = ResetDeadFlows(config);
    const double flows = std::max<double>(1, static_cast<double>(config.flows));
    std::cout << (use_queries ? "queries" : "walk") << " agents "
              << config.agents << " balancers " << config.balancers << " flows "
              << config.flows << " resets " << result.resets
              << " messages_per_flow "
              << static_cast<double>(result.messages) / flows
              << " bytes_per_flow " << static_cast<double>(result.bytes) / flows
              << " p50_ms " << ToMilliseconds(result.median) << " p99_ms "
              << ToMilliseconds(result.percentile99) << '\n';
  }
}

/// Measures a placement in fleets of several sizes.
void RunPlacementCost() {
  for (const size_t agents : {30, 300, 1800}) {
    std::printf("agents %-6zu sample %.2f us expected_finish %.2f us\n", agents,
                MeasurePlacementUs(&PlaceBySample, agents),
                MeasurePlacementUs(&PlaceByFinishTime, agents));
  }
  std::printf("load in a status %zu bytes, before %zu; in a note %zu bytes\n",
              LoadReportBytes(true, false), LoadReportBytes(false, false),
              LoadReportBytes(true, true));
}

/// Measures the membership of one process in fleets of several sizes.
void RunMemberCost() {
  for (const size_t members : {30, 300, 1800, 15800}) {
    const MemberCost cost = MeasureMemberCost(members);
    std::cout << "members " << cost.members << " tick_us " << cost.tick_us
              << " schedule_us " << cost.schedule_us << " count_us "
              << cost.count_us << " reported_us " << cost.reported_us
              << " statuses_per_s " << cost.statuses_per_s << '\n';
  }
}

/// Returns the policies that --policy names, or nullopt if one is unknown.
std::optional<std::vector<Policy>> ChosenPolicies() {
  std::vector<Policy> chosen;
  for (const std::string& name :
       FLAGS_policy == "all" ? PolicyNames() : SplitByComma(FLAGS_policy)) {
    const std::optional<Policy> policy = FindPolicy(name);
    if (!policy.has_value()) {
      std::cerr << "medlargauge_lab: there is no policy \"" << name << "\"\n";
      return std::nullopt;
    }
    chosen.push_back(*policy);
  }
  return chosen;
}

/// Compares policies with the oracle at several loads.
/// @return whether the plot was written, if one was wanted
bool RunLoadSweep(const std::vector<Policy>& policies) {
  SweepOptions options;
  options.policies = policies;
  options.first_seed = FLAGS_first_seed;
  options.load_duration = Milliseconds(FLAGS_sweep_ms);
  for (const std::string& agents : SplitByComma(FLAGS_fleets)) {
    options.fleets.push_back(
        std::max<uint32_t>(5, std::strtoul(agents.c_str(), nullptr, 10)));
  }
  for (const std::string& load : SplitByComma(FLAGS_loads)) {
    options.loads.push_back(std::max(0.01, std::strtod(load.c_str(), nullptr)));
  }
  const std::vector<SweepPoint> points =
      SweepLoad(options, [](const SweepPoint& point) {
        std::printf(
            "agents %u load %.2f %-14s mean_ms %.1f p99_ms %.1f "
            "in_goal %.4f\n",
            point.agents, point.load, point.policy.c_str(), point.mean_ms,
            point.p99_ms, point.in_goal);
        std::fflush(stdout);
      });
  if (FLAGS_plot.empty()) {
    return true;
  }
  std::ofstream file(FLAGS_plot);
  file << PlotSweep(points);
  if (!file.flush()) {
    std::cerr << "medlargauge_lab: cannot write \"" << FLAGS_plot << "\"\n";
    return false;
  }
  return true;
}

/// Prints the bound of an outage, a line for each window.
/// @return exit code
int RunOutageBound(const std::string& file) {
  std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  Error reason;
  const std::optional<Outage> outage = ParseOutage(text.str(), &reason);
  if (!outage.has_value()) {
    std::cerr << "medlargauge_lab: " << file << ": " << reason.detail << '\n';
    return Describe(ErrorKind::kBadUsage).exit_code;
  }
  size_t index = 0;
  for (const OutageWindow& window :
       ComputeOutageBound(*outage, FLAGS_first_seed)) {
    std::printf("window %zu asked %u in_goal %u late %u failed %u worth %.3f",
                index++, window.asked, window.in_goal, window.late,
                window.failed, window.worth_earned / window.worth_asked);
    for (size_t cause = 1; cause < static_cast<size_t>(OutageCause::kCount);
         ++cause) {
      const std::string name(NameOf(static_cast<OutageCause>(cause)));
      std::printf(" %s %u", name.c_str(), window.causes[cause]);
    }
    std::printf("\n");
  }
  return 0;
}

int Run(const std::vector<std::string>& arguments) {
  if (arguments.size() == 1 && arguments[0] == "placement-cost") {
    RunPlacementCost();
    return 0;
  }
  if (arguments.size() == 1 && arguments[0] == "member-cost") {
    RunMemberCost();
    return 0;
  }
  if (arguments.size() == 2 && arguments[0] == "outage-bound") {
    return RunOutageBound(arguments[1]);
  }
  if (arguments.size() == 1 && arguments[0] == "dead-flows") {
    RunDeadFlows();
    return 0;
  }
  if (arguments.size() == 1 && arguments[0] == "reset-model") {
    return RunResetModel() ? 0 : 1;
  }
  const std::optional<std::vector<Policy>> policies = ChosenPolicies();
  if (!policies.has_value()) {
    return Describe(ErrorKind::kBadUsage).exit_code;
  }
  if (arguments.size() == 1 && arguments[0] == "load-sweep") {
    return RunLoadSweep(*policies) ? 0 : 1;
  }
  const bool all_scenarios = arguments.size() == 1 && arguments[0] == "all";
  const std::vector<std::string> names =
      all_scenarios ? ScenarioNames() : arguments;
  if (names.empty()) {
    std::cerr << "medlargauge_lab: no scenario given; use \"all\" or some of:";
    for (const std::string& name : ScenarioNames()) {
      std::cerr << ' ' << name;
    }
    std::cerr << '\n';
    return Describe(ErrorKind::kBadUsage).exit_code;
  }
  ReportOptions options;
  options.first_seed = FLAGS_first_seed;
  options.seeds = FLAGS_seeds;
  options.as_json = FLAGS_json;
  options.with_details = FLAGS_details;
  options.policies = *policies;
  for (const std::string& name : names) {
    const std::optional<Scenario> scenario = FindScenario(name);
    if (!scenario.has_value()) {
      std::cerr << "medlargauge_lab: there is no scenario \"" << name << "\"\n";
      return Describe(ErrorKind::kBadUsage).exit_code;
    }
    ReportScenario(*scenario, options);
  }
  return 0;
}

}  // namespace
}  // namespace medlargauge::lab

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "simulates deployments with the real decisions of balancers and agents\n"
      "  medlargauge_lab all --seeds=20\n"
      "  medlargauge_lab overload power-off --policy=present,hash --json\n"
      "  medlargauge_lab reset-model --depth=3\n"
      "  medlargauge_lab dead-flows --agents=300 --balancers=90\n"
      "  medlargauge_lab outage-bound lab/outages/power-off-long-flows.json\n"
      "  medlargauge_lab member-cost\n"
      "  medlargauge_lab load-sweep --policy=present,hash --plot=sweep.svg\n"
      "  medlargauge_lab placement-cost");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return medlargauge::lab::Run(std::vector<std::string>(argv + 1, argv + argc));
}

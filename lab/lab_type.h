// @file lab_type.h Scenarios, policies and results of the model.
#ifndef MEDLARGAUGE_LAB_LAB_TYPE_H_
#define MEDLARGAUGE_LAB_LAB_TYPE_H_

#include <cmath>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/forwarding/agent_forwarder.h"
#include "src/forwarding/flow_director.h"
#include "src/forwarding/placement.h"

namespace medlargauge::lab {

/// The backend servers of one service.
struct ServiceModel {
  std::string name;                   ///< Name of the service.
  uint32_t servers = 7;               ///< Spread over the failure domains.
  uint32_t slots = 5;                 ///< Concurrent requests of a server.
  uint32_t queue_capacity = 20;       ///< Requests that may wait for a slot.
  Duration warmup_time = Seconds(2);  ///< Warm-up after a start.
  double warmup_factor = 1.6;         ///< Factor on work times then.
  double slow_share = 0;              ///< Share of servers at `slow_speed`.
  double slow_speed = 1;   ///< Work times of these are divided by it.
  double usual_speed = 1;  ///< Work times of the others are divided by it.

  /// Returns the speed of one of the servers. The slow ones are spread evenly.
  double SpeedOf(uint32_t server_index) const {
    const auto slow_before = [this](uint32_t index) {
      return std::lround(slow_share * index);
    };
    return slow_before(server_index + 1) > slow_before(server_index)
               ? slow_speed
               : usual_speed;
  }
  /// Returns how many seconds of work all servers do in a second.
  double Capacity() const {
    double capacity = 0;
    for (uint32_t i = 0; i < servers; ++i) {
      capacity += SpeedOf(i) * slots;
    }
    return capacity;
  }
};

/// A class of requests.
struct ClassModel {
  std::string name;                  ///< Name of the class.
  std::string service;               ///< Service that serves it.
  double arrivals_per_second = 100;  ///< Mean rate over all callers.
  /// A flow stays open and carries many requests, with pauses between them.
  bool long_flows = false;
  bool repeatable = true;  ///< Callers may retry after any failure.
  /// Mean time in a slot at speed 1, without the tail.
  Duration mean_work_time = Milliseconds(40);
  /// Standard deviation over the mean; the distribution is lognormal.
  double work_time_variation = 0.5;
  double tail_share = 0;   ///< Share of requests with `tail_factor`.
  double tail_factor = 1;  ///< Factor on the work times of these.
  /// Answers within this time are worth `worth`, later ones `late_worth`.
  Duration response_goal = Milliseconds(200);
  Duration caller_timeout = Milliseconds(1200);  ///< Callers give up after it.
  double worth = 1;         ///< Worth of an answer within the response goal.
  double late_worth = 0.5;  ///< Worth of a later answer.
  uint32_t priority = 2;    ///< 0 is the most urgent.

  /// Returns the mean work time in seconds, including the tail.
  double MeanWorkSeconds() const {
    return std::chrono::duration<double>(mean_work_time).count() *
           (1 + tail_share * (tail_factor - 1));
  }
};

/// Types of faults. `duration` and `factor` are fields of Fault.
enum class FaultType : uint8_t {
  kKillBalancers,  ///< Processes end and start again after `duration`.
  kStopBalancers,  ///< Planned restart: the same after an announcement.
  kKillAgents,     ///< Processes end and start again; their servers go on.
  kStopAgents,     ///< Planned restart: the same after an announcement.
  kCrashServers,   ///< Servers end and start again with the same identifier.
  /// Servers neither send nor receive packets for `duration`, then start again.
  kUnresponsiveServers,
  kFailingServers,  ///< Requests fail at once with probability `factor`
                    ///< for `duration`.
  /// Servers accept flows and reset each request for `duration`.
  kResettingServers,
  /// Servers refuse requests with probability `factor` for `duration`, also
  /// while slots are free.
  kRefusingServers,
  kSlowServers,       ///< Work takes `factor` times as long for `duration`.
  kDrainServers,      ///< Servers announce that they leave, end, and start
                      ///< again after `duration`.
  kLoseAgentOutput,   ///< What agents and their servers send is lost for
                      ///< `duration`.
  kIsolateBalancers,  ///< Balancers reach no agent for `duration`.
  kPowerOff,          ///< Everything ends and starts again after `duration`.
  kLoadBurst,         ///< Arrival rates are multiplied by `factor` for
                      ///< `duration`.
  kPacketLoss,        ///< Packets are lost with probability `factor` for
                      ///< `duration`.
};

/// A fault that is injected into a run.
struct Fault {
  FaultType type = FaultType::kKillAgents;  ///< What happens.
  Duration start{};     ///< Time after the start of the load.
  Duration duration{};  ///< See FaultType.
  uint32_t count = 1;   ///< Number of processes or servers that it hits.
  double factor = 1;    ///< See FaultType.
  std::string service;  ///< Service of the servers or agents; empty: any.
};

/// A deployment, its load and the faults of a run.
struct Scenario {
  std::string name;                      ///< Name in reports.
  uint32_t domains = 3;                  ///< Number of failure domains.
  uint32_t balancers = 6;                ///< Spread over the failure domains.
  std::vector<ServiceModel> services;    ///< At least one.
  std::vector<ClassModel> classes;       ///< At least one.
  std::vector<Fault> faults;             ///< In any order.
  Duration load_duration = Seconds(20);  ///< Time in which requests arrive.
  /// The arrival rates follow a sine with this period; its first peak comes
  /// after a quarter of it.
  Duration load_period = Seconds(20);
  double load_amplitude = 0;  ///< Deviation of the peak, relative to the mean.
};

/// Settings of balancers and agents that runs compare.
struct Policy {
  std::string name;                            ///< Name in reports.
  PlacementPolicy placement = &PlaceBySample;  ///< Places new flows.
  /// The routes' response time goal is that of the class; otherwise it is the
  /// timeout of the callers. Agents refuse new flows that would exceed it.
  bool use_response_goal = true;
  /// Change the limits of each process that starts; empty: the defaults.
  std::function<void(DirectorLimits*)> tune_balancer;
  std::function<void(ForwarderLimits*)> tune_agent;
  /// Agents without a free slot return new flows, so that balancers try others.
  bool return_when_busy = true;
};

/// A request as it arrived.
struct Arrival {
  Duration at{};           ///< Since the start of the load.
  size_t class_index = 0;  ///< Its class.
  Duration work{};         ///< Time in a slot at speed 1.
};

/// How the requests of one class ended.
struct ClassResult {
  uint64_t asked = 0;         ///< Requests that arrived.
  uint64_t in_aim = 0;        ///< Answered within the response goal.
  uint64_t late = 0;          ///< Answered later.
  uint64_t failed = 0;        ///< Not answered before the caller gave up.
  double possible_worth = 0;  ///< Worth if all were answered within the goal.
  double earned_worth = 0;    ///< Worth of the answers.
  /// Response times of the answered requests, from the first attempt.
  std::vector<float> response_ms;
  /// From the start of an attempt until its caller knew that it was refused or
  /// gave up unanswered, for each such attempt.
  std::vector<float> refusal_ms;

  /// Counts the end of a request.
  /// @param response_time since its arrival; nullopt: it was not answered
  void RecordEnd(const ClassModel& model,
                 std::optional<Duration> response_time);
  /// Adds the counts and times of `other`.
  void Add(const ClassResult& other);
};

/// Result of a run.
struct Result {
  Duration total_response_time{};  ///< Sum over the answered requests.
  std::map<std::string, ClassResult> classes;  ///< By name.
  std::vector<Arrival> arrivals;               ///< The same for every policy.
  /// Sums over all classes for each two seconds of arrival.
  std::vector<ClassResult> windows;
  uint64_t wrong_resets = 0;  ///< Resets of flows that a server had open.
  /// Times that packets of an open flow reached only other servers for too
  /// long.
  uint64_t astray = 0;
  uint64_t mixed_services = 0;     ///< Packets that a server of another
                                   ///< service did not return.
  uint64_t ran_twice = 0;          ///< Repeated executions, if not repeatable.
  uint64_t late_work = 0;          ///< New flows at a server that had left.
  uint64_t connections = 0;        ///< Flows that servers accepted.
  uint64_t refused_by_server = 0;  ///< Requests that found a full queue.

  /// Returns the sum over all classes.
  ClassResult Total() const;
  /// Returns the sums over the classes of each priority.
  std::map<uint32_t, ClassResult> ByPriority(const Scenario& scenario) const;
  /// Returns the earned over the possible worth. Precondition: requests
  /// arrived.
  double Worth() const;
  /// Returns the lowest earned over possible worth of any window.
  double WorstWindow() const;
};

/// Returns the mean; 0 if there are no values. Thread-safe.
double Mean(const std::vector<float>& values);

/// Returns the smallest value that at least `share` of the values do not
/// exceed; 0 if there are none. Thread-safe.
double Percentile(std::vector<float> values, double share);

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_LAB_TYPE_H_

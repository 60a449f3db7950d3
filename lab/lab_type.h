// @file lab_type.h A modelled deployment, its load, its troubles, its results.
#ifndef MEDLARGAUGE_LAB_LAB_TYPE_H_
#define MEDLARGAUGE_LAB_LAB_TYPE_H_

#include <map>
#include <string>
#include <vector>

#include "src/forwarding/agent_forwarder.h"
#include "src/forwarding/flow_director.h"
#include "src/forwarding/placement.h"

namespace medlargauge::lab {

/// The backend servers of one service.
struct ServiceModel {
  std::string name;            ///< Name of the service.
  uint32_t servers = 7;        ///< Spread over the failure domains.
  uint32_t slots = 5;          ///< Requests worked on at once.
  uint32_t queue = 20;         ///< Requests that wait behind them.
  Duration cold = Seconds(2);  ///< Slow for so long after a start.
  double cold_factor = 1.6;    ///< Work takes so much longer then.
};

/// One kind of request.
struct ClassModel {
  std::string name;                  ///< Name of the class.
  std::string service;               ///< Service that does the work.
  double per_second = 100;           ///< Arrivals of the whole deployment.
  bool long_flows = false;           ///< Many requests a flow, with pauses.
  bool repeatable = true;            ///< Callers repeat after any failure.
  Duration work = Milliseconds(40);  ///< Mean time in a slot.
  double spread = 0.5;               ///< Deviation of the work over its mean.
  Duration aim = Milliseconds(200);  ///< An answer within it counts fully.
  Duration limit = Milliseconds(1200);  ///< The caller gives up after it.
  double worth = 1;                     ///< Of an answer within the aim.
  double late_worth = 0.5;              ///< Of a later one.
  uint32_t priority = 2;                ///< 0 goes first.
};

/// Kinds of trouble.
enum class TroubleKind : uint8_t {
  kKillBalancers,   ///< Processes end and start again after `length`.
  kStopBalancers,   ///< The same, announced.
  kKillAgents,      ///< Processes end and start again; their servers live.
  kStopAgents,      ///< The same, announced.
  kCrashServers,    ///< Servers end and start again under the same id.
  kDarkServers,     ///< Servers fall silent for `length`, then start again.
  kFailingServers,  ///< Answers fail at once with probability `factor`.
  kSlowServers,     ///< Work takes `factor` times as long for `length`.
  kDrainServers,    ///< Servers announce that they leave, then end.
  kMuteAgents,      ///< What agents and servers send is lost for `length`.
  kCutBalancers,    ///< Balancers reach no agent for `length`.
  kPowerOff,        ///< Everything ends and starts again after `length`.
  kBurst,           ///< Arrivals are multiplied by `factor` for `length`.
  kLoss,            ///< Packets are lost with probability `factor`.
};

/// One trouble of a run.
struct Trouble {
  TroubleKind kind = TroubleKind::kKillAgents;
  Duration at{};        ///< After the start of the load.
  Duration length{};    ///< See TroubleKind.
  uint32_t count = 1;   ///< Processes or servers.
  double factor = 1;    ///< See TroubleKind.
  std::string service;  ///< Of the servers or agents; empty: any.
};

/// A whole run.
struct Scenario {
  std::string name;                    ///< For the report.
  uint32_t domains = 3;                ///< Failure domains.
  uint32_t balancers = 6;              ///< Spread over the domains.
  std::vector<ServiceModel> services;  ///< At least one.
  std::vector<ClassModel> classes;     ///< At least one.
  std::vector<Trouble> troubles;       ///< In any order.
  Duration length = Seconds(20);       ///< Of the load.
};

/// What is compared: the decisions of a run.
struct Policy {
  std::string name;                        ///< For the report.
  PlacementPolicy place = &PlaceBySample;  ///< Chooses servers.
  bool by_aim = true;  ///< A new flow is useless beyond the aim, else limit.
  uint32_t response_limit_percent =
      ForwarderLimits().response_limit_percent;  ///< See ForwarderLimits.
  uint32_t max_busy_returns =
      DirectorLimits().max_busy_returns;  ///< See there.
  bool ask_busy = true;  ///< Agents without a free slot return new flows.
};

/// How the requests of one class ended.
struct ClassResult {
  uint64_t asked = 0;   ///< Requests.
  uint64_t in_aim = 0;  ///< Answered within the aim.
  uint64_t late = 0;    ///< Answered later.
  uint64_t failed = 0;  ///< Not answered.
  double owed = 0;      ///< Worth of all.
  double earned = 0;    ///< Worth of the answered.
};

/// The outcome of a run.
struct Result {
  Duration waited{};  ///< Sum over the answered requests, from first attempt.
  std::map<std::string, ClassResult> classes;  ///< By name.
  std::vector<ClassResult> windows;            ///< Of two seconds each.
  uint64_t wrong_resets = 0;  ///< Resets of flows whose server held them.
  uint64_t astray = 0;  ///< Open flows whose packets went elsewhere too long.
  uint64_t mixed_services = 0;     ///< Packets at a server of another service.
  uint64_t ran_twice = 0;          ///< Non-repeatable requests run again.
  uint64_t late_work = 0;          ///< New flows at a server that had left.
  uint64_t connections = 0;        ///< Flows that servers accepted.
  uint64_t refused_by_server = 0;  ///< Requests that found a full queue.

  /// Returns the sum over all classes.
  ClassResult Total() const;
  /// Returns earned over owed. Precondition: something was owed.
  double Worth() const;
  /// Returns the lowest earned over owed of any window.
  double WorstWindow() const;
};

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_LAB_TYPE_H_

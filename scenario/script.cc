// @file script.cc Implements the functions of the scenario language.
#include "scenario/script.h"

#include <algorithm>
#include <functional>
#include <lua5.4/lua.hpp>
#include <map>
#include <sstream>

#include "scenario/world.h"
#include "src/core/error.h"
#include "src/packet/packet.h"

namespace medlargauge {
namespace {

/// Address of the first class; the next classes get the following addresses.
constexpr uint32_t kFirstAddress = 0xCB007101;  // 203.0.113.1

/// The run of one script, with its Lua interpreter and its world.
class ScriptRun {
 public:
  explicit ScriptRun(const FaultInjection& fault_injection)
      : m_lua(luaL_newstate()) {
    m_options.fault_injection = fault_injection;
    m_options.limits.ramp = Seconds(5);
    m_options.limits.udp_idle = Seconds(20);
    luaL_requiref(m_lua, "_G", luaopen_base, 1);
    luaL_requiref(m_lua, "string", luaopen_string, 1);
    luaL_requiref(m_lua, "table", luaopen_table, 1);
    luaL_requiref(m_lua, "math", luaopen_math, 1);
    lua_settop(m_lua, 0);
    DefineAllFunctions();
  }
  ScriptRun(const ScriptRun&) = delete;
  ScriptRun& operator=(const ScriptRun&) = delete;
  ~ScriptRun() { lua_close(m_lua); }

  std::optional<std::string> Run(const std::string& text, Error* reason) {
    if (luaL_dostring(m_lua, text.c_str()) != LUA_OK) {
      Fail(reason, ErrorKind::kBadUsage, lua_tostring(m_lua, -1));
      return std::nullopt;
    }
    return m_output.str();
  }

 private:
  using LuaFunction = std::function<void()>;

  void DefineFunction(const char* name, LuaFunction function) {
    m_functions[name] = std::move(function);
    lua_pushlightuserdata(m_lua, &m_functions[name]);
    lua_pushcclosure(m_lua, &ScriptRun::CallFunction, 1);
    lua_setglobal(m_lua, name);
  }

  /// Called by Lua. Converts an exception of the function to a Lua error.
  static int CallFunction(lua_State* lua) {
    const auto* function = static_cast<const LuaFunction*>(
        lua_touserdata(lua, lua_upvalueindex(1)));
    try {
      (*function)();
      return 0;
    } catch (const std::exception& error) {
      lua_pushstring(lua, error.what());
    }
    return lua_error(lua);
  }

  std::string StringArgument(int index) {
    return luaL_checkstring(m_lua, index);
  }
  double NumberArgument(int index) { return luaL_checknumber(m_lua, index); }
  Duration DurationArgument(int index) {
    return ToDuration(NumberArgument(index));
  }

  static Duration ToDuration(double seconds) {
    return Duration(static_cast<int64_t>(seconds * 1e9));
  }

  double ReadField(const char* name, double fallback) {
    lua_getfield(m_lua, 1, name);
    const double value =
        lua_isnil(m_lua, -1) ? fallback : luaL_checknumber(m_lua, -1);
    lua_pop(m_lua, 1);
    return value;
  }

  std::string ReadField(const char* name, const char* fallback) {
    lua_getfield(m_lua, 1, name);
    std::string value =
        lua_isnil(m_lua, -1) ? fallback : luaL_checkstring(m_lua, -1);
    lua_pop(m_lua, 1);
    return value;
  }

  /// Returns the world. The first call creates it from the options set so far.
  World& GetWorld() {
    if (m_world == nullptr) {
      m_world = std::make_unique<World>(m_options);
    }
    return *m_world;
  }

  void DefineAllFunctions() {
    DefineFunction("scenario", [this] {
      m_output << "scenario: " << StringArgument(1) << "\n";
    });
    DefineFunction("options", [this] { SetOptions(); });
    DefineFunction("faults", [this] { GetWorld().SetFaults(ReadFaults()); });
    DefineFunction("balancer",
                   [this] { GetWorld().AddBalancer(StringArgument(1)); });
    DefineFunction("server", [this] {
      GetWorld().AddServer(ReadField("name", ""), ReadField("service", ""),
                           ReadField("version", "v1"),
                           ReadField("domain", "d1"));
    });
    DefineFunction("class", [this] { SetTarget(); });
    DefineFunction("target", [this] { SetTarget(); });
    DefineFunction("traffic", [this] { StartTraffic(); });
    DefineFunction("stop_traffic", [this] { ++m_traffic_epoch; });
    DefineFunction("run", [this] { GetWorld().Run(DurationArgument(1)); });
    DefineFaultFunctions();
    DefineFunction("expect", [this] {
      Expect(StringArgument(1), StringArgument(2), NumberArgument(3));
    });
    DefineFunction("mark", [this] { m_counts_at_mark = GetWorld().Counts(); });
  }

  void DefineFaultFunctions() {
    DefineFunction("drain", [this] {
      GetWorld().Drain(StringArgument(1),
                       ToDuration(luaL_optnumber(m_lua, 2, 300)));
    });
    DefineFunction("start_server",
                   [this] { GetWorld().StartServer(StringArgument(1)); });
    DefineFunction("crash_agent",
                   [this] { GetWorld().CrashAgent(StringArgument(1)); });
    DefineFunction("recover_agent",
                   [this] { GetWorld().RecoverAgent(StringArgument(1)); });
    DefineFunction("upgrade_agent", [this] {
      GetWorld().UpgradeAgent(StringArgument(1), DurationArgument(2));
    });
    DefineFunction("crash_host",
                   [this] { GetWorld().CrashServer(StringArgument(1)); });
    DefineFunction("pause", [this] {
      GetWorld().PauseAgent(StringArgument(1), DurationArgument(2));
    });
    DefineFunction("cut", [this] {
      GetWorld().SetLinkCut(StringArgument(1), StringArgument(2), true);
    });
    DefineFunction("heal", [this] {
      GetWorld().SetLinkCut(StringArgument(1), StringArgument(2), false);
    });
    DefineFunction("isolate", [this] { SetIsolated(StringArgument(1), true); });
    DefineFunction("rejoin", [this] { SetIsolated(StringArgument(1), false); });
    DefineFunction("shed", [this] {
      GetWorld().SetShedding(StringArgument(1), lua_toboolean(m_lua, 2) != 0);
    });
    DefineFunction("lie", [this] {
      GetWorld().SetReportsNoLoad(StringArgument(1),
                                  lua_toboolean(m_lua, 2) != 0);
    });
    DefineFunction("crash_balancer",
                   [this] { GetWorld().CrashBalancer(StringArgument(1)); });
    DefineFunction("start_balancer",
                   [this] { GetWorld().StartBalancer(StringArgument(1)); });
    DefineFunction("restart_balancer", [this] {
      GetWorld().RestartBalancer(StringArgument(1), DurationArgument(2));
    });
    DefineFunction("reuse_port", [this] {
      FlowPlan plan;
      plan.class_name = StringArgument(1);
      plan.lifetime = DurationArgument(2);
      GetWorld().StartFlowOnReusedPorts(plan);
    });
  }

  void SetOptions() {
    m_options.seed = static_cast<uint64_t>(ReadField("seed", 1.0));
    m_options.limits.capacity =
        static_cast<uint32_t>(ReadField("capacity", 2000.0));
    m_options.limits.ramp = ToDuration(ReadField("ramp", 5.0));
    m_options.faults.balancer_lag = ToDuration(ReadField("balancer_lag", 0.0));
  }

  NetworkFaults ReadFaults() {
    NetworkFaults faults;
    faults.loss = ReadField("loss", 0.0);
    faults.duplicate = ReadField("duplicate", 0.0);
    faults.reorder = ReadField("reorder", 0.0);
    faults.reorder_delay = ToDuration(ReadField("reorder_delay", 0.2));
    faults.control_loss = ReadField("control_loss", 0.0);
    faults.balancer_lag = m_options.faults.balancer_lag;
    return faults;
  }

  void SetTarget() {
    ClassTarget target;
    target.name = ReadField("name", "");
    target.service = ReadField("service", target.name.c_str());
    target.baseline = ReadField("baseline", "");
    target.trial = ReadField("trial", "");
    target.trial_share =
        static_cast<uint32_t>(ReadField("share", 0.0) * kWholeShare);
    const auto address =
        m_addresses.emplace(target.name, kFirstAddress + m_addresses.size());
    target.address = ToMappedAddress(address.first->second);
    GetWorld().SetTarget(target, ToDuration(ReadField("spread", 0.5)));
  }

  void StartTraffic() {
    FlowPlan plan;
    plan.class_name = ReadField("class", "");
    plan.lifetime = ToDuration(ReadField("lifetime", 10.0));
    plan.pause = ToDuration(ReadField("pause", 1.0));
    plan.transport = ReadField("transport", "tcp") == "udp" ? Transport::kUdp
                                                            : Transport::kTcp;
    StartNextFlow(plan, ToDuration(1.0 / ReadField("rate", 10.0)),
                  m_traffic_epoch);
  }

  /// Starts a flow and schedules the next one after `interval`, until `epoch`
  /// is no longer the current traffic epoch.
  void StartNextFlow(const FlowPlan& plan, Duration interval, int epoch) {
    if (epoch != m_traffic_epoch) {
      return;
    }
    FlowPlan flow = plan;
    flow.lifetime = std::min<Duration>(GetWorld().Exponential(plan.lifetime),
                                       plan.lifetime * 3);
    GetWorld().StartFlow(flow);
    GetWorld().Events().After(interval, [this, plan, interval, epoch] {
      StartNextFlow(plan, interval, epoch);
    });
  }

  void SetIsolated(const std::string& name, bool isolated) {
    std::vector<std::string> others;
    for (const auto& host : GetWorld().Agents()) {
      others.push_back(host->name);
    }
    for (const auto& host : GetWorld().Balancers()) {
      others.push_back(host->name);
    }
    for (const std::string& other : others) {
      GetWorld().SetLinkCut(name, other, isolated);
      GetWorld().SetLinkCut(other, name, isolated);
    }
  }

  /// Returns the value of a measure. Counts are those since `mark`.
  double Measure(const std::string& measure) {
    const WorldCounts& counts = GetWorld().Counts();
    const std::map<std::string, double> values = {
        {"broken", counts.broken - m_counts_at_mark.broken},
        {"completed", counts.completed - m_counts_at_mark.completed},
        {"refused", counts.refused - m_counts_at_mark.refused},
        {"gave_up", counts.gave_up - m_counts_at_mark.gave_up},
        {"lost_with_server",
         counts.lost_with_server - m_counts_at_mark.lost_with_server},
        {"double_admissions",
         counts.double_admissions - m_counts_at_mark.double_admissions},
        {"cross_service",
         counts.cross_service - m_counts_at_mark.cross_service},
        {"duplicate_executions",
         counts.duplicate_executions - m_counts_at_mark.duplicate_executions},
        {"untrue_refusals",
         counts.untrue_refusals - m_counts_at_mark.untrue_refusals},
        {"work_while_draining",
         counts.work_while_draining - m_counts_at_mark.work_while_draining},
        {"reverts", counts.reverts - m_counts_at_mark.reverts},
        {"open_flows", GetWorld().OpenFlows()}};
    const auto value = values.find(measure);
    if (value != values.end()) {
      return value->second;
    }
    return MeasureServers(measure);
  }

  /// Returns the value of the measure "open NAME", "running NAME" or
  /// "imbalance SERVICE". Throws std::invalid_argument if it is another one.
  double MeasureServers(const std::string& measure) {
    const size_t space = measure.find(' ');
    const std::string kind = measure.substr(0, space);
    const std::string name =
        space == std::string::npos ? "" : measure.substr(space + 1);
    if (kind == "open") {
      return GetWorld().FindAgent(name).server.open;
    }
    if (kind == "running") {
      return GetWorld().FindAgent(name).agent != nullptr ? 1 : 0;
    }
    if (kind == "imbalance") {
      return ComputeImbalance(name);
    }
    throw std::invalid_argument("expect: unknown measure " + measure);
  }

  /// Returns the largest number of open connections of a ready backend server
  /// of a service, divided by the mean over these servers; 1 if there are none.
  double ComputeImbalance(const std::string& service) {
    double largest = 0;
    double sum = 0;
    double count = 0;
    for (const auto& host : GetWorld().Agents()) {
      const bool is_ready =
          host->service == service && host->agent != nullptr &&
          host->agent->ServiceGroup().Self().state == AgentState::kReady;
      if (is_ready) {
        largest = std::max<double>(largest, host->server.open);
        sum += host->server.open;
        ++count;
      }
    }
    return sum > 0 ? largest * count / sum : 1;
  }

  void Expect(const std::string& measure,
              const std::string& relation,
              double expected_value) {
    const double value = Measure(measure);
    const std::map<std::string, bool> relations = {
        {"==", value == expected_value},
        {"<=", value <= expected_value},
        {">=", value >= expected_value}};
    const auto outcome = relations.find(relation);
    if (outcome == relations.end()) {
      throw std::invalid_argument(
          "expect: the relation must be ==, <= or >=, not " + relation);
    }
    m_output << (outcome->second ? "ok    " : "FAIL  ") << measure << " "
             << relation << " " << expected_value;
    if (!outcome->second) {
      m_output << " (is " << value << ")";
    }
    m_output << "\n";
  }

  lua_State* m_lua;  ///< Lua interpreter; owned.
  /// By name in scripts. Lua closures point to the values, which stay in place.
  std::map<std::string, LuaFunction> m_functions;
  WorldOptions m_options;          ///< Options for the creation of the world.
  std::unique_ptr<World> m_world;  ///< Null until GetWorld is called.
  std::map<std::string, uint32_t> m_addresses;  ///< Addresses by class.
  int m_traffic_epoch = 0;       ///< Traffic of earlier epochs has stopped.
  WorldCounts m_counts_at_mark;  ///< Counts at the last call of `mark`.
  std::ostringstream m_output;   ///< Output of the script so far.
};

}  // namespace

std::optional<std::string> RunScript(const std::string& text,
                                     const FaultInjection& fault_injection,
                                     Error* reason) {
  return ScriptRun(fault_injection).Run(text, reason);
}

}  // namespace medlargauge

// @file script.cc Functions of the scenario language.
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

constexpr uint32_t kFirstAddress = 0xCB007101;  // 203.0.113.1

/// One running scenario.
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
    DefineFunctions();
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
  using Body = std::function<void()>;

  void Define(const char* name, Body body) {
    m_bodies[name] = std::move(body);
    lua_pushlightuserdata(m_lua, &m_bodies[name]);
    lua_pushcclosure(m_lua, &ScriptRun::Call, 1);
    lua_setglobal(m_lua, name);
  }

  static int Call(lua_State* lua) {
    const auto* body =
        static_cast<const Body*>(lua_touserdata(lua, lua_upvalueindex(1)));
    try {
      (*body)();
      return 0;
    } catch (const std::exception& error) {
      lua_pushstring(lua, error.what());
    }
    return lua_error(lua);
  }

  std::string Text(int index) { return luaL_checkstring(m_lua, index); }
  double Number(int index) { return luaL_checknumber(m_lua, index); }
  Duration SecondsAt(int index) { return ToDuration(Number(index)); }

  static Duration ToDuration(double seconds) {
    return Duration(static_cast<int64_t>(seconds * 1e9));
  }

  double Field(const char* name, double fallback) {
    lua_getfield(m_lua, 1, name);
    const double value =
        lua_isnil(m_lua, -1) ? fallback : luaL_checknumber(m_lua, -1);
    lua_pop(m_lua, 1);
    return value;
  }

  std::string Field(const char* name, const char* fallback) {
    lua_getfield(m_lua, 1, name);
    std::string value =
        lua_isnil(m_lua, -1) ? fallback : luaL_checkstring(m_lua, -1);
    lua_pop(m_lua, 1);
    return value;
  }

  /// The world starts with the first function that needs it.
  World& Fakes() {
    if (m_world == nullptr) {
      m_world = std::make_unique<World>(m_options);
    }
    return *m_world;
  }

  void DefineFunctions() {
    Define("scenario", [this] { m_output << "scenario: " << Text(1) << "\n"; });
    Define("options", [this] { SetOptions(); });
    Define("faults", [this] { Fakes().SetFaults(ReadFaults()); });
    Define("balancer", [this] { Fakes().AddBalancer(Text(1)); });
    Define("server", [this] {
      Fakes().AddServer(Field("name", ""), Field("service", ""),
                        Field("version", "v1"), Field("domain", "d1"));
    });
    Define("class", [this] { SetClass(); });
    Define("target", [this] { SetClass(); });
    Define("traffic", [this] { StartTraffic(); });
    Define("stop_traffic", [this] { ++m_traffic_epoch; });
    Define("run", [this] { Fakes().Run(SecondsAt(1)); });
    DefineFaults();
    Define("expect", [this] { Expect(Text(1), Text(2), Number(3)); });
    Define("mark", [this] { m_marked = Fakes().Counts(); });
  }

  void DefineFaults() {
    Define("drain", [this] {
      Fakes().Drain(Text(1), ToDuration(luaL_optnumber(m_lua, 2, 300)));
    });
    Define("start_server", [this] { Fakes().StartServer(Text(1)); });
    Define("crash_agent", [this] { Fakes().CrashAgent(Text(1)); });
    Define("recover_agent", [this] { Fakes().RecoverAgent(Text(1)); });
    Define("upgrade_agent",
           [this] { Fakes().UpgradeAgent(Text(1), SecondsAt(2)); });
    Define("crash_host", [this] { Fakes().CrashServer(Text(1)); });
    Define("pause", [this] { Fakes().PauseAgent(Text(1), SecondsAt(2)); });
    Define("cut", [this] { Fakes().SetLinkCut(Text(1), Text(2), true); });
    Define("heal", [this] { Fakes().SetLinkCut(Text(1), Text(2), false); });
    Define("isolate", [this] { SetIsolated(Text(1), true); });
    Define("rejoin", [this] { SetIsolated(Text(1), false); });
    Define("shed", [this] {
      Fakes().SetShedding(Text(1), lua_toboolean(m_lua, 2) != 0);
    });
    Define("lie", [this] {
      Fakes().SetReportsNoLoad(Text(1), lua_toboolean(m_lua, 2) != 0);
    });
    Define("crash_balancer", [this] { Fakes().CrashBalancer(Text(1)); });
    Define("start_balancer", [this] { Fakes().StartBalancer(Text(1)); });
    Define("restart_balancer",
           [this] { Fakes().RestartBalancer(Text(1), SecondsAt(2)); });
    Define("reuse_port", [this] {
      FlowPlan plan;
      plan.class_name = Text(1);
      plan.lifetime = SecondsAt(2);
      Fakes().StartFlowOnUsedPort(plan);
    });
  }

  void SetOptions() {
    m_options.seed = static_cast<uint64_t>(Field("seed", 1.0));
    m_options.limits.capacity =
        static_cast<uint32_t>(Field("capacity", 2000.0));
    m_options.limits.ramp = ToDuration(Field("ramp", 5.0));
    m_options.faults.balancer_lag = ToDuration(Field("balancer_lag", 0.0));
  }

  NetworkFaults ReadFaults() {
    NetworkFaults faults;
    faults.loss = Field("loss", 0.0);
    faults.duplicate = Field("duplicate", 0.0);
    faults.reorder = Field("reorder", 0.0);
    faults.reorder_delay = ToDuration(Field("reorder_delay", 0.2));
    faults.control_loss = Field("control_loss", 0.0);
    faults.balancer_lag = m_options.faults.balancer_lag;
    return faults;
  }

  void SetClass() {
    ClassTarget target;
    target.name = Field("name", "");
    target.service = Field("service", target.name.c_str());
    target.baseline = Field("baseline", "");
    target.trial = Field("trial", "");
    target.trial_share =
        static_cast<uint32_t>(Field("share", 0.0) * kWholeShare);
    const auto address =
        m_addresses.emplace(target.name, kFirstAddress + m_addresses.size());
    target.address = ToMappedAddress(address.first->second);
    Fakes().SetTarget(target, ToDuration(Field("spread", 0.5)));
  }

  void StartTraffic() {
    FlowPlan plan;
    plan.class_name = Field("class", "");
    plan.lifetime = ToDuration(Field("lifetime", 10.0));
    plan.pause = ToDuration(Field("pause", 1.0));
    plan.transport =
        Field("transport", "tcp") == "udp" ? Transport::kUdp : Transport::kTcp;
    NextFlow(plan, ToDuration(1.0 / Field("rate", 10.0)), m_traffic_epoch);
  }

  void NextFlow(const FlowPlan& plan, Duration interval, int epoch) {
    if (epoch != m_traffic_epoch) {
      return;
    }
    FlowPlan next = plan;
    next.lifetime = std::min<Duration>(Fakes().Exponential(plan.lifetime),
                                       plan.lifetime * 3);
    Fakes().StartFlow(next);
    Fakes().Events().After(interval, [this, plan, interval, epoch] {
      NextFlow(plan, interval, epoch);
    });
  }

  void SetIsolated(const std::string& name, bool isolated) {
    std::vector<std::string> others;
    for (const auto& host : Fakes().Agents()) {
      others.push_back(host->name);
    }
    for (const auto& host : Fakes().Balancers()) {
      others.push_back(host->name);
    }
    for (const std::string& other : others) {
      Fakes().SetLinkCut(name, other, isolated);
      Fakes().SetLinkCut(other, name, isolated);
    }
  }

  double Measure(const std::string& what) {
    const WorldCounts& now = Fakes().Counts();
    const std::map<std::string, double> values = {
        {"broken", now.broken - m_marked.broken},
        {"completed", now.completed - m_marked.completed},
        {"refused", now.refused - m_marked.refused},
        {"gave_up", now.gave_up - m_marked.gave_up},
        {"lost_with_server", now.lost_with_server - m_marked.lost_with_server},
        {"double_admissions",
         now.double_admissions - m_marked.double_admissions},
        {"cross_service", now.cross_service - m_marked.cross_service},
        {"duplicate_executions",
         now.duplicate_executions - m_marked.duplicate_executions},
        {"untrue_refusals", now.untrue_refusals - m_marked.untrue_refusals},
        {"work_while_draining",
         now.work_while_draining - m_marked.work_while_draining},
        {"reverts", now.reverts - m_marked.reverts},
        {"open_flows", Fakes().OpenFlows()}};
    const auto value = values.find(what);
    if (value != values.end()) {
      return value->second;
    }
    return MeasureServers(what);
  }

  /// "open NAME", "running NAME" or "imbalance SERVICE".
  double MeasureServers(const std::string& what) {
    const size_t space = what.find(' ');
    const std::string kind = what.substr(0, space);
    const std::string name =
        space == std::string::npos ? "" : what.substr(space + 1);
    if (kind == "open") {
      return Fakes().FindAgent(name).server.open;
    }
    if (kind == "running") {
      return Fakes().FindAgent(name).agent != nullptr ? 1 : 0;
    }
    if (kind == "imbalance") {
      return Imbalance(name);
    }
    throw std::invalid_argument("expect: unknown measure " + what);
  }

  double Imbalance(const std::string& service) {
    double largest = 0;
    double sum = 0;
    double count = 0;
    for (const auto& host : Fakes().Agents()) {
      const bool ready =
          host->service == service && host->agent != nullptr &&
          host->agent->ServiceGroup().Self().state == AgentState::kReady;
      if (ready) {
        largest = std::max<double>(largest, host->server.open);
        sum += host->server.open;
        ++count;
      }
    }
    return sum > 0 ? largest * count / sum : 1;
  }

  void Expect(const std::string& what,
              const std::string& relation,
              double wanted) {
    const double value = Measure(what);
    const std::map<std::string, bool> relations = {{"==", value == wanted},
                                                   {"<=", value <= wanted},
                                                   {">=", value >= wanted}};
    const auto held = relations.find(relation);
    if (held == relations.end()) {
      throw std::invalid_argument("expect: unknown relation " + relation);
    }
    m_output << (held->second ? "ok    " : "FAIL  ") << what << " " << relation
             << " " << wanted;
    if (!held->second) {
      m_output << " (is " << value << ")";
    }
    m_output << "\n";
  }

  lua_State* m_lua;                      ///< Interpreter.
  std::map<std::string, Body> m_bodies;  ///< Stable addresses for closures.
  WorldOptions m_options;                ///< Before the world starts.
  std::unique_ptr<World> m_world;        ///< Null until first needed.
  std::map<std::string, uint32_t> m_addresses;  ///< By class.
  int m_traffic_epoch = 0;      ///< Traffic of others has stopped.
  WorldCounts m_marked;         ///< Expectations count from here.
  std::ostringstream m_output;  ///< Lines so far.
};

}  // namespace

std::optional<std::string> RunScript(const std::string& text,
                                     const FaultInjection& fault_injection,
                                     Error* reason) {
  return ScriptRun(fault_injection).Run(text, reason);
}

}  // namespace medlargauge

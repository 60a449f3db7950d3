// @file soak_main.cc Runs the real programs under faults and says what broke.
#include <gflags/gflags.h>
#include <unistd.h>

#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "soak/fault_injector.h"
#include "soak/load_generator.h"
#include "src/core/error.h"

DEFINE_uint64(seed, 1, "chooses the faults and the load");
DEFINE_uint32(seconds, 30, "length of the time with faults");
DEFINE_uint32(balancers, 4, "balancers");
DEFINE_uint32(stock_servers, 6, "servers of the first service");
DEFINE_uint32(media_servers, 3, "servers of the second service");
DEFINE_double(load, 1.0, "factor on the arrivals");
DEFINE_bool(calm, false, "no faults");
DEFINE_bool(verbose, false, "print the faults as well");
DEFINE_string(program, "build/medlargauged-platform", "the daemon");
DEFINE_string(directory, "", "settings and logs; empty: a new one in /tmp");

namespace medlargauge::soak {
namespace {

using nlohmann::json;
using platform::standin::ServerHooks;
using platform::standin::ServerStandinOptions;
using platform::standin::StoreStandin;

constexpr char kTargetKey[] = "op/config";
constexpr uint32_t kDomains = 3;
constexpr uint32_t kCallerHosts = 4;
constexpr Duration kWarmup = Seconds(4);
constexpr Duration kSettled = Milliseconds(1500);  ///< After the first start.
constexpr Duration kTargetPoll = Milliseconds(250);
constexpr Duration kPollAnswer = Milliseconds(200);
constexpr Duration kCalmEnd = Seconds(6);      ///< Watched after recovery.
constexpr Duration kLastAnswers = Seconds(4);  ///< Longer than any limit.
constexpr uint16_t kRouteFirstPort = 8440;
constexpr uint32_t kRouteIp = 0xC6120001;  ///< 198.18.0.1
constexpr uint32_t kExtraRoutes = 5;

std::vector<WorkClass> MakeClasses() {
  std::vector<WorkClass> classes(3);
  classes[0] = {"check", "stock",   {kRouteIp, kRouteFirstPort},
                true,    true,      60 * FLAGS_load,
                3000,    Seconds(3)};
  classes[1] = {"reserve", "stock",   {kRouteIp, kRouteFirstPort + 1},
                false,     false,     30 * FLAGS_load,
                500,       Seconds(3)};
  classes[2] = {"pack", "media",   {kRouteIp, kRouteFirstPort + 2},
                true,   false,     10 * FLAGS_load,
                60000,  Seconds(4)};
  return classes;
}

std::string DomainName(uint32_t index) {
  return std::string(1, static_cast<char>('a' + index % kDomains));
}

/// One run: the programs, what they are connected to, and who watches.
class Soak {
 public:
  Soak()
      : m_processes(&m_loop,
                    FLAGS_program,
                    FLAGS_directory,
                    [this](const std::string& text) {
                      m_referee.Report("PROCESS " + text);
                    }),
        m_referee(&m_classes, &m_processes),
        m_store(&m_loop) {}

  bool Build(Error* reason);
  int Run();

 private:
  bool ChooseNet(Error* reason);
  std::string SettingsOf(const std::string& name,
                         uint32_t ip,
                         const std::string& domain) const;
  std::string AgentSettings(const std::string& name,
                            uint32_t ip,
                            const std::string& domain,
                            const std::string& service) const;
  bool AddServer(uint32_t index, const std::string& service, Error* reason);
  void WriteTarget();
  void PollTargets();
  void Print(bool clean, const Outcome& all, const Outcome& calm) const;

  std::vector<WorkClass> m_classes = MakeClasses();
  EventLoop m_loop;
  SoakNet m_net;
  Processes m_processes;
  Referee m_referee;
  StoreStandin m_store;
  std::unique_ptr<Router> m_router;
  std::unique_ptr<Callers> m_callers;
  std::unique_ptr<Faults> m_faults;
  std::vector<std::unique_ptr<ServerStandin>> m_servers;
  std::vector<std::unique_ptr<HttpClient>> m_polls;
  uint64_t m_version = 0;
};

bool Soak::ChooseNet(Error* reason) {
  // The demo's deployments have lower ones, a test of the fleet has 200.
  constexpr uint8_t kFirstOctet = 100;
  constexpr uint8_t kLastOctet = 200;
  for (uint8_t octet = kFirstOctet; octet < kLastOctet; ++octet) {
    m_net.octet = octet;
    if (m_store.Listen({m_net.Store(), kStorePort}, reason)) {
      return true;
    }
  }
  return false;
}

std::string Soak::SettingsOf(const std::string& name,
                             uint32_t ip,
                             const std::string& domain) const {
  const std::string host = FormatIp(ip) + ":";
  json seeds = json::array();
  for (uint32_t i = 0; i < std::min(FLAGS_balancers, 2U); ++i) {
    seeds.push_back(FormatIp(m_net.Balancer(i)) + ":" +
                    std::to_string(kControlPort));
  }
  return json({{"name", name},
               {"role", "balancer"},
               {"failure_domain", domain},
               {"data_address", host + std::to_string(kPacketPort)},
               {"control_address", host + std::to_string(kControlPort)},
               {"admin_address", host + std::to_string(kAdminPort)},
               {"store_address",
                FormatIp(m_net.Store()) + ":" + std::to_string(kStorePort)},
               {"stop_grace_ms", ToMilliseconds(kGrace)},
               {"seeds", seeds}})
      .dump(2);
}

std::string Soak::AgentSettings(const std::string& name,
                                uint32_t ip,
                                const std::string& domain,
                                const std::string& service) const {
  const std::string host = FormatIp(ip) + ":";
  json settings = json::parse(SettingsOf(name, ip, domain));
  settings["role"] = "agent";
  settings["report_address"] = host + std::to_string(kReportPort);
  settings["outbound_address"] = host + std::to_string(kOutboundPort);
  settings["service"] = service;
  settings["backend_address"] = host + std::to_string(kServerPort);
  return settings.dump(2);
}

bool Soak::AddServer(uint32_t index,
                     const std::string& service,
                     Error* reason) {
  const uint32_t ip = m_net.Agent(index);
  const std::string name = "agent-" + std::to_string(index);
  m_processes.Add(name, ip, true,
                  AgentSettings(name, ip, DomainName(index), service));
  ServerStandinOptions model;
  model.service = service;
  model.domain = DomainName(index);
  model.address = {ip, kServerPort};
  model.agent_packet_address = {ip, kOutboundPort};
  model.reports = {ip, kReportPort};
  ServerHooks hooks;
  hooks.on_flow_accepted = [this](const FlowKey& flow, bool left) {
    m_referee.OnAccepted(flow, left);
  };
  hooks.on_packet = [this, index](const FlowKey& flow, bool held) {
    m_referee.OnPacket(m_servers[index].get(), flow, held);
  };
  hooks.on_request_started = [this, index](const FlowKey& flow,
                                           uint64_t request) {
    m_referee.OnRun(*m_servers[index], flow, request);
  };
  m_servers.push_back(std::make_unique<ServerStandin>(
      &m_loop, model, hooks, FLAGS_seed * 1000 + index));
  return m_servers.back()->Start(false, reason);
}

bool Soak::Build(Error* reason) {
  if (!ChooseNet(reason)) {
    return false;
  }
  std::vector<uint32_t> balancers;
  for (uint32_t i = 0; i < FLAGS_balancers; ++i) {
    const uint32_t ip = m_net.Balancer(i);
    const std::string name = "balancer-" + std::to_string(i);
    m_processes.Add(name, ip, false, SettingsOf(name, ip, DomainName(i)));
    balancers.push_back(ip);
    m_polls.push_back(std::make_unique<HttpClient>(
        &m_loop, SocketAddress4{ip, kControlPort}));
  }
  const uint32_t servers = FLAGS_stock_servers + FLAGS_media_servers;
  for (uint32_t i = 0; i < servers; ++i) {
    const bool stock = i < FLAGS_stock_servers;
    if (!AddServer(i, stock ? "stock" : "media", reason)) {
      return false;
    }
  }
  m_router = std::make_unique<Router>(&m_loop, balancers, FLAGS_seed);
  m_callers = std::make_unique<Callers>(&m_loop, m_router.get(), &m_referee,
                                        &m_classes, FLAGS_seed);
  for (uint32_t i = 0; i < kCallerHosts; ++i) {
    if (!m_callers->Add(m_net.Caller(i), reason)) {
      return false;
    }
  }
  FaultTargets targets;
  targets.loop = &m_loop;
  targets.processes = &m_processes;
  targets.store = &m_store;
  targets.router = m_router.get();
  targets.referee = &m_referee;
  targets.servers = &m_servers;
  targets.change_target = [this] { WriteTarget(); };
  m_faults = std::make_unique<Faults>(std::move(targets), FLAGS_seed);
  return true;
}

void Soak::WriteTarget() {
  m_version += 1 + m_version % 3;
  json routes = json::array();
  for (const WorkClass& work : m_classes) {
    routes.push_back(
        {{"name", work.name},
         {"host", FormatIp(work.route.ip)},
         {"prefix", "/" + std::to_string(work.route.port) + "/"},
         {"type", work.repeatable ? "idempotent" : "non_idempotent"},
         {"timeoutMs", ToMilliseconds(work.limit)},
         {"goalMs", 400 + m_version % 5},
         {"priority", 1},
         {"service", work.service}});
  }
  // Routes without traffic come and go.
  for (uint32_t i = 0; i < m_version % kExtraRoutes; ++i) {
    routes.push_back({{"name", "extra-" + std::to_string(i)},
                      {"host", FormatIp(kRouteIp)},
                      {"prefix", "/" + std::to_string(9000 + i) + "/"},
                      {"type", "idempotent"},
                      {"service", "media"}});
  }
  const json document = {{"version", m_version},
                         {"routes", routes},
                         {"services", json::array()},
                         {"limits", {{"idleTimeoutMs", 15000}}}};
  m_referee.OnTarget(SteadyTime(), m_store.Write(kTargetKey, document.dump()));
}

void Soak::PollTargets() {
  for (uint32_t i = 0; i < FLAGS_balancers; ++i) {
    Daemon* balancer = m_processes.At(m_net.Balancer(i));
    if (balancer->pid == 0 || m_polls[i]->IsBusy()) {
      continue;
    }
    const uint64_t start = balancer->starts;
    m_polls[i]->Send("GET", "/targets", "", kPollAnswer,
                     [this, balancer, start](const HttpResponse& answer) {
                       if (answer.status == 200 && start == balancer->starts) {
                         m_referee.OnInForce(
                             SteadyTime(), *balancer,
                             std::strtoull(answer.body.c_str(), nullptr, 10),
                             m_router->IsUsed(balancer->ip));
                       }
                     });
  }
}

int Soak::Run() {
  WriteTarget();
  for (Daemon& daemon : m_processes.All()) {
    m_processes.Start(&daemon);
  }
  m_loop.Every(kTargetPoll, [this] { PollTargets(); });
  const TimePoint began = SteadyTime() + kWarmup;
  const TimePoint faults_end = began + Seconds(FLAGS_seconds);
  const TimePoint calm = FLAGS_calm ? began : faults_end + kRecovery;
  const TimePoint calm_end = (FLAGS_calm ? faults_end : calm + kCalmEnd);
  const TimePoint settled = SteadyTime() + kSettled;
  m_router->OnMiss([this, settled, calm](uint32_t ip) {
    const TimePoint now = SteadyTime();
    if (now >= calm || (FLAGS_calm && now >= settled)) {
      m_referee.Report("READY " + m_processes.At(ip)->name +
                       " is not ready although nothing is wrong");
    }
  });
  m_loop.After(kWarmup, [this, faults_end] {
    m_callers->Start();
    if (!FLAGS_calm) {
      m_faults->Start(faults_end);
    }
  });
  m_loop.After(calm_end - SteadyTime(), [this] { m_callers->Stop(); });
  m_loop.After(calm_end + kLastAnswers - SteadyTime(),
               [this] { m_loop.Stop(); });
  m_loop.Run();
  const bool clean = m_processes.StopAll();
  if (!clean) {
    m_referee.Report("PROCESS not all ended in time when asked to");
  }
  const Outcome last = m_referee.Between(calm, calm_end);
  if (last.failed > 0 || last.asked == 0) {
    m_referee.Report("RECOVER " + std::to_string(last.failed) + " of " +
                     std::to_string(last.asked) +
                     " requests failed after all trouble was over");
  }
  Print(clean, m_referee.Between(began, faults_end), last);
  return m_referee.Count() == 0 ? 0 : 1;
}

void Soak::Print(bool clean, const Outcome& all, const Outcome& calm) const {
  if (FLAGS_verbose) {
    for (const std::string& fault : m_faults->Log()) {
      std::cout << "fault " << fault << '\n';
    }
  }
  for (const std::string& text : m_referee.Broken()) {
    std::cout << "broken " << text << '\n';
  }
  std::cout << "soak seed=" << FLAGS_seed << " broken=" << m_referee.Count()
            << " faults=" << m_faults->Log().size() << " asked=" << all.asked
            << " served=" << all.served << " failed=" << all.failed
            << " calm_asked=" << calm.asked << " calm_failed=" << calm.failed
            << " clean_stop=" << clean
            << " peak_kb=" << m_processes.PeakMemoryKb()
            << " processor_ms=" << m_processes.ProcessorMs()
            << " store_calls=" << m_store.Calls() << " logs=" << FLAGS_directory
            << '\n';
}

}  // namespace
}  // namespace medlargauge::soak

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs the real programs on loopback under random faults\n"
      "  medlargauge-soak --seed=7 --seconds=60 --verbose");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_directory.empty()) {
    FLAGS_directory = "/tmp/medlargauge-soak-" + std::to_string(getpid());
  }
  std::error_code failure;
  std::filesystem::create_directories(FLAGS_directory, failure);
  medlargauge::soak::Soak soak;
  medlargauge::Error reason;
  if (failure || !soak.Build(&reason)) {
    std::cerr << "medlargauge-soak: "
              << (failure ? "cannot create " + FLAGS_directory : reason.detail)
              << '\n';
    return medlargauge::Describe(reason.kind).exit_code;
  }
  return soak.Run();
}

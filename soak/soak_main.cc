// @file soak_main.cc Runs the real programs under random faults and prints the
// violated invariants.
#include <gflags/gflags.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "soak/fault_injector.h"
#include "soak/load_generator.h"
#include "soak/process_network.h"
#include "src/core/error.h"

DEFINE_uint64(seed, 1, "seed of the faults and the load");
DEFINE_uint32(seconds, 30, "duration of the faults");
DEFINE_uint32(balancers, 4, "number of balancers");
DEFINE_uint32(stock_servers, 6, "number of servers of the service \"stock\"");
DEFINE_uint32(media_servers, 3, "number of servers of the service \"media\"");
DEFINE_double(load, 1.0, "factor on the arrival rates");
DEFINE_bool(calm, false, "inject no faults");
DEFINE_bool(relays,
            true,
            "connect the daemons through relays, which the faults between two "
            "daemons need; takes two sockets for each two linked daemons");
DEFINE_bool(verbose, false, "also print the injected faults");
DEFINE_string(program, "build/medlargauged-platform", "path of the daemon");
DEFINE_string(directory,
              "",
              "directory of settings and logs; empty: a new one in /tmp");

namespace medlargauge::soak {
namespace {

using nlohmann::json;
using platform::standin::ServerHooks;
using platform::standin::ServerStandinOptions;
using platform::standin::StoreStandin;

constexpr char kTargetKey[] = "op/config";
constexpr uint32_t kDomains = 3;
constexpr uint32_t kCallerHosts = 4;
/// The host's number is the last octet of its address.
constexpr uint32_t kMaxHostsOfRole = 250;
/// Time from the start of the daemons until the load and the faults start.
constexpr Duration kWarmup = Seconds(4);
/// Time from the first start of the daemons until all must be ready.
constexpr Duration kStartupTime = Milliseconds(1500);
constexpr Duration kExcuseSampleInterval = Milliseconds(500);
constexpr Duration kTargetPollInterval = Milliseconds(250);
constexpr Duration kTargetPollTimeout = Milliseconds(200);
/// Time after the recovery in which no request may fail.
constexpr Duration kCalmTime = Seconds(6);
/// Wait for the last answers; as long as the longest timeout of callers.
constexpr Duration kFinalAnswerTime = Seconds(4);
/// Exit code of a run ended by a signal, less the signal's number.
constexpr int kSignalExitCodeBase = 128;
constexpr uint16_t kRouteFirstPort = 8440;
constexpr uint32_t kRouteIp = 0xC6120001;  ///< 198.18.0.1
constexpr uint32_t kExtraRoutes = 5;

std::vector<RequestClass> MakeClasses() {
  std::vector<RequestClass> classes(3);
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

/// Returns whether each process can get an address of its own.
bool AreCountsValid() {
  const uint64_t servers = uint64_t{FLAGS_stock_servers} + FLAGS_media_servers;
  return FLAGS_balancers >= 1 && FLAGS_balancers <= kMaxHostsOfRole &&
         servers >= 1 && servers <= kMaxHostsOfRole;
}

std::string DomainName(uint32_t index) {
  return std::string(1, static_cast<char>('a' + index % kDomains));
}

/// One run: the daemons, the stand-ins of their environment, the load and the
/// checks.
class Soak {
 public:
  Soak()
      : m_processes(&m_loop,
                    FLAGS_program,
                    FLAGS_directory,
                    [this](const std::string& text) {
                      m_checker.ReportViolation("PROCESS " + text);
                    }),
        m_checker(&m_classes, &m_processes),
        m_store(&m_loop),
        m_network(&m_loop, FLAGS_relays, FLAGS_seed) {}

  bool SetUp(Error* reason);
  int Run();

 private:
  bool ChooseAddresses(Error* reason);
  std::string BalancerSettings(const std::string& name,
                               uint32_t ip,
                               const std::string& domain) const;
  std::string AgentSettings(const std::string& name,
                            uint32_t ip,
                            const std::string& domain,
                            const std::string& service) const;
  bool AddAgentAndServer(uint32_t index,
                         const std::string& service,
                         Error* reason);
  void WriteTarget();
  void PollTargetRevisions();
  void PrintSummary(bool clean_stop,
                    const RequestCounts& fault_counts,
                    const RequestCounts& calm_counts) const;

  std::vector<RequestClass> m_classes = MakeClasses();
  EventLoop m_loop;
  SoakAddresses m_addresses;
  ProcessSupervisor m_processes;
  InvariantChecker m_checker;
  StoreStandin m_store;
  ProcessNetwork m_network;
  std::unique_ptr<RouterStandin> m_router;
  std::unique_ptr<LoadGenerator> m_load_generator;
  std::unique_ptr<FaultInjector> m_fault_injector;
  std::vector<std::unique_ptr<ServerStandin>> m_servers;
  std::vector<std::unique_ptr<HttpClient>> m_target_clients;
  uint64_t m_target_version = 0;
  int m_received_signal = 0;  ///< Signal that ends the run; 0: none.
};

bool Soak::ChooseAddresses(Error* reason) {
  // The demo's deployments use lower octets, a test of the fleet uses 200.
  constexpr uint8_t kFirstOctet = 100;
  constexpr uint8_t kLastOctet = 200;
  for (uint8_t second_octet = kFirstOctet; second_octet < kLastOctet;
       ++second_octet) {
    m_addresses.second_octet = second_octet;
    if (m_store.Listen({m_addresses.StoreIp(), kStorePort}, reason)) {
      return true;
    }
  }
  return false;
}

std::string Soak::BalancerSettings(const std::string& name,
                                   uint32_t ip,
                                   const std::string& domain) const {
  const std::string host_prefix = FormatIp(ip) + ":";
  json seeds = json::array();
  for (uint32_t i = 0; i < std::min(FLAGS_balancers, 2U); ++i) {
    const uint32_t seed_ip = m_addresses.BalancerIp(i);
    seeds.push_back(FormatAddress({seed_ip, m_network.ControlPort(seed_ip)}));
  }
  return json({{"name", name},
               {"role", "balancer"},
               {"failure_domain", domain},
               {"data_address", host_prefix + std::to_string(kPacketPort)},
               {"control_address",
                host_prefix + std::to_string(m_network.ControlPort(ip))},
               {"admin_address", host_prefix + std::to_string(kAdminPort)},
               {"store_address", FormatAddress({m_addresses.StoreIp(),
                                                m_network.StorePort(ip)})},
               {"stop_grace_ms", ToMilliseconds(kStopGracePeriod)},
               {"seeds", seeds}})
      .dump(2);
}

std::string Soak::AgentSettings(const std::string& name,
                                uint32_t ip,
                                const std::string& domain,
                                const std::string& service) const {
  const std::string host_prefix = FormatIp(ip) + ":";
  json settings = json::parse(BalancerSettings(name, ip, domain));
  settings["role"] = "agent";
  settings["report_address"] = host_prefix + std::to_string(kHeartbeatPort);
  settings["outbound_address"] = host_prefix + std::to_string(kOutboundPort);
  settings["service"] = service;
  settings["backend_address"] = host_prefix + std::to_string(kServerPort);
  return settings.dump(2);
}

bool Soak::AddAgentAndServer(uint32_t index,
                             const std::string& service,
                             Error* reason) {
  const uint32_t ip = m_addresses.AgentIp(index);
  const std::string name = "agent-" + std::to_string(index);
  m_processes.Add(name, ip, true,
                  AgentSettings(name, ip, DomainName(index), service));
  ServerStandinOptions options;
  options.service = service;
  options.domain = DomainName(index);
  options.address = {ip, kServerPort};
  options.agent_packet_address = {ip, kOutboundPort};
  options.reports = {ip, kHeartbeatPort};
  ServerHooks hooks;
  hooks.on_flow_accepted = [this, index](const FlowKey& flow, bool left) {
    m_checker.OnFlowAccepted(*m_servers[index], flow, left);
  };
  hooks.on_packet = [this, index](const FlowKey& flow, bool held,
                                  uint32_t balancer_ip) {
    m_checker.OnCallerPacket(m_servers[index].get(), flow, held, balancer_ip);
  };
  hooks.on_request_started = [this, index](const FlowKey& flow,
                                           uint64_t request) {
    m_checker.OnRequestStarted(*m_servers[index], flow, request);
  };
  m_servers.push_back(std::make_unique<ServerStandin>(
      &m_loop, options, hooks, FLAGS_seed * 1000 + index));
  return m_servers.back()->Start(false, reason);
}

bool Soak::SetUp(Error* reason) {
  if (!ChooseAddresses(reason)) {
    return false;
  }
  const uint32_t server_count = FLAGS_stock_servers + FLAGS_media_servers;
  for (uint32_t i = 0; i < FLAGS_balancers; ++i) {
    m_network.Add(m_addresses.BalancerIp(i), false);
  }
  for (uint32_t i = 0; i < server_count; ++i) {
    m_network.Add(m_addresses.AgentIp(i), true);
  }
  if (!m_network.Start({m_addresses.StoreIp(), kStorePort}, reason)) {
    return false;
  }
  std::vector<uint32_t> balancers;
  for (uint32_t i = 0; i < FLAGS_balancers; ++i) {
    const uint32_t ip = m_addresses.BalancerIp(i);
    const std::string name = "balancer-" + std::to_string(i);
    m_processes.Add(name, ip, false, BalancerSettings(name, ip, DomainName(i)));
    balancers.push_back(ip);
    m_target_clients.push_back(std::make_unique<HttpClient>(
        &m_loop, SocketAddress4{ip, m_network.ControlPort(ip)}));
  }
  for (uint32_t i = 0; i < server_count; ++i) {
    const bool is_stock = i < FLAGS_stock_servers;
    if (!AddAgentAndServer(i, is_stock ? "stock" : "media", reason)) {
      return false;
    }
  }
  m_router = std::make_unique<RouterStandin>(&m_loop, balancers, FLAGS_seed);
  m_load_generator = std::make_unique<LoadGenerator>(
      &m_loop, m_router.get(), &m_checker, &m_classes, FLAGS_seed);
  for (uint32_t i = 0; i < kCallerHosts; ++i) {
    if (!m_load_generator->AddCallerHost(m_addresses.CallerIp(i), reason)) {
      return false;
    }
  }
  FaultTargets targets;
  targets.loop = &m_loop;
  targets.processes = &m_processes;
  targets.store = &m_store;
  targets.router = m_router.get();
  targets.network = &m_network;
  targets.checker = &m_checker;
  targets.servers = &m_servers;
  targets.write_target = [this] { WriteTarget(); };
  m_fault_injector =
      std::make_unique<FaultInjector>(std::move(targets), FLAGS_seed);
  return true;
}

void Soak::WriteTarget() {
  m_target_version += 1 + m_target_version % 3;
  json routes = json::array();
  for (const RequestClass& request_class : m_classes) {
    routes.push_back(
        {{"name", request_class.name},
         {"host", FormatIp(request_class.route.ip)},
         {"prefix", "/" + std::to_string(request_class.route.port) + "/"},
         {"type", request_class.repeatable ? "idempotent" : "non_idempotent"},
         {"timeoutMs", ToMilliseconds(request_class.caller_timeout)},
         {"goalMs", 400 + m_target_version % 5},
         {"priority", 1},
         {"service", request_class.service}});
  }
  // Adds a varying number of routes without traffic.
  for (uint32_t i = 0; i < m_target_version % kExtraRoutes; ++i) {
    routes.push_back({{"name", "extra-" + std::to_string(i)},
                      {"host", FormatIp(kRouteIp)},
                      {"prefix", "/" + std::to_string(9000 + i) + "/"},
                      {"type", "idempotent"},
                      {"service", "media"}});
  }
  const json document = {{"version", m_target_version},
                         {"routes", routes},
                         {"services", json::array()},
                         {"limits", {{"idleTimeoutMs", 15000}}}};
  m_checker.OnTargetWritten(SteadyTime(),
                            m_store.Write(kTargetKey, document.dump()));
}

void Soak::PollTargetRevisions() {
  for (uint32_t i = 0; i < FLAGS_balancers; ++i) {
    Daemon* balancer = m_processes.FindByIp(m_addresses.BalancerIp(i));
    if (balancer->pid == 0 || m_target_clients[i]->IsBusy()) {
      continue;
    }
    const uint64_t start_count = balancer->start_count;
    m_target_clients[i]->Send(
        "GET", "/targets", "", kTargetPollTimeout,
        [this, balancer, start_count](const HttpResponse& answer) {
          if (answer.status == 200 && start_count == balancer->start_count) {
            m_checker.OnTargetInForce(
                SteadyTime(), *balancer,
                std::strtoull(answer.body.c_str(), nullptr, 10),
                m_router->IsInRotation(balancer->ip));
          }
        });
  }
}

int Soak::Run() {
  WriteTarget();
  for (Daemon& daemon : m_processes.Daemons()) {
    m_processes.Start(&daemon);
  }
  m_loop.Every(kTargetPollInterval, [this] { PollTargetRevisions(); });
  const TimePoint load_start = SteadyTime() + kWarmup;
  const TimePoint faults_end = load_start + Seconds(FLAGS_seconds);
  const TimePoint calm_start =
      FLAGS_calm ? load_start : faults_end + kRecoveryTime;
  const TimePoint calm_end = (FLAGS_calm ? faults_end : calm_start + kCalmTime);
  m_loop.Every(kExcuseSampleInterval, [this, load_start, faults_end] {
    for (const auto& server : m_servers) {
      if (SteadyTime() >= load_start && SteadyTime() < faults_end) {
        m_checker.SampleExcuse(*server);
      }
    }
  });
  const TimePoint startup_end = SteadyTime() + kStartupTime;
  m_router->SetCheckFailedHook([this, startup_end, calm_start](uint32_t ip) {
    const TimePoint now = SteadyTime();
    if (now >= calm_start || (FLAGS_calm && now >= startup_end)) {
      m_checker.ReportViolation("READY " + m_processes.FindByIp(ip)->name +
                                " is not ready although no fault is active");
    }
  });
  m_loop.After(kWarmup, [this, faults_end] {
    m_load_generator->Start();
    if (!FLAGS_calm) {
      m_fault_injector->Start(faults_end);
    }
  });
  m_loop.After(calm_end - SteadyTime(), [this] { m_load_generator->Stop(); });
  m_loop.After(calm_end + kFinalAnswerTime - SteadyTime(),
               [this] { m_loop.Stop(); });
  for (const int signal : {SIGTERM, SIGINT}) {
    m_loop.OnSignal(signal, [this, signal] {
      m_received_signal = signal;
      m_loop.Stop();
    });
  }
  m_loop.Run();
  if (m_received_signal != 0) {
    std::cout << "soak ended by signal " << m_received_signal
              << ", checked until then:\n";
    PrintSummary(false, m_checker.CountRequests(load_start, SteadyTime()),
                 RequestCounts());
    return kSignalExitCodeBase + m_received_signal;
  }
  const bool clean_stop = m_processes.StopAll();
  if (!clean_stop) {
    m_checker.ReportViolation(
        "PROCESS not all processes ended cleanly within the grace period");
  }
  const RequestCounts calm_counts =
      m_checker.CountRequests(calm_start, calm_end);
  if (calm_counts.failed > 0 || calm_counts.asked == 0) {
    m_checker.ReportViolation("RECOVER " + std::to_string(calm_counts.failed) +
                              " of " + std::to_string(calm_counts.asked) +
                              " requests failed after the recovery time, " +
                              calm_counts.first_failure);
  }
  PrintSummary(clean_stop, m_checker.CountRequests(load_start, faults_end),
               calm_counts);
  return m_checker.ViolationCount() == 0 ? 0 : 1;
}

void Soak::PrintSummary(bool clean_stop,
                        const RequestCounts& fault_counts,
                        const RequestCounts& calm_counts) const {
  if (FLAGS_verbose) {
    for (const std::string& fault : m_fault_injector->Log()) {
      std::cout << "fault " << fault << '\n';
    }
  }
  for (const std::string& text : m_checker.Violations()) {
    std::cout << "broken " << text << '\n';
  }
  std::cout << "soak seed=" << FLAGS_seed
            << " broken=" << m_checker.ViolationCount()
            << " faults=" << m_fault_injector->Log().size()
            << " asked=" << fault_counts.asked
            << " served=" << fault_counts.served
            << " failed=" << fault_counts.failed
            << " excused_percent=" << m_checker.ExcusedPercent()
            << " excused_resets=" << m_checker.ExcusedResets()
            << " calm_asked=" << calm_counts.asked
            << " calm_failed=" << calm_counts.failed
            << " clean_stop=" << clean_stop
            << " peak_kb=" << m_processes.PeakMemoryKb()
            << " own_kb=" << ProcessSupervisor::OwnPeakMemoryKb()
            << " processor_ms=" << m_processes.CpuTimeMs()
            << " store_calls=" << m_store.Calls() << " logs=" << FLAGS_directory
            << '\n';
}

}  // namespace
}  // namespace medlargauge::soak

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs the real programs on loopback under random faults and prints\n"
      "violated invariants\n"
      "  medlargauge-soak --seed=7 --seconds=60 --verbose");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_directory.empty()) {
    FLAGS_directory = "/tmp/medlargauge-soak-" + std::to_string(getpid());
  }
  std::error_code failure;
  std::filesystem::create_directories(FLAGS_directory, failure);
  if (!medlargauge::soak::AreCountsValid()) {
    std::cerr
        << "medlargauge-soak: --balancers, and the sum of --stock_servers "
           "and --media_servers, must be from 1 to "
        << medlargauge::soak::kMaxHostsOfRole << '\n';
    return medlargauge::Describe(medlargauge::ErrorKind::kMalformedValue)
        .exit_code;
  }
  medlargauge::soak::Soak soak;
  medlargauge::Error reason;
  if (failure || !soak.SetUp(&reason)) {
    std::cerr << "medlargauge-soak: "
              << (failure ? "cannot create the directory " + FLAGS_directory
                          : reason.detail)
              << '\n';
    return medlargauge::Describe(reason.kind).exit_code;
  }
  return soak.Run();
}

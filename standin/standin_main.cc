// @file standin_main.cc Main function of medlargauge_standin.
#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

#include "standin/standin.h"
#include "standin/stop_flag.h"

DEFINE_string(kind, "", "stand-in to run: fabric, backend, caller or store");
DEFINE_string(listen, "", "IP:PORT to listen on");
DEFINE_string(load_listen, "", "backend: IP:PORT of /load, /stats and /set");
DEFINE_string(balancers,
              "",
              "fabric: comma-separated DATA_IP:PORT/ADMIN_IP:PORT");
DEFINE_string(caller, "", "backend: IP:PORT that answers are sent to");
DEFINE_string(service, "", "backend: name of the service that it runs");
DEFINE_string(executed_file,
              "",
              "backend: file for the executed request ids, written at exit");
DEFINE_string(fabric, "", "caller: IP:PORT of the fabric");
DEFINE_string(classes, "", "caller: comma-separated ADDRESS/SERVICE");
DEFINE_uint32(flows, 1000, "caller: maximum number of open flows");
DEFINE_uint32(rate, 500, "caller: maximum number of new flows a second");
DEFINE_uint32(seconds, 30, "caller: time during which new flows start");
DEFINE_uint32(lifetime_ms, 10000, "caller: mean lifetime of a flow");
DEFINE_uint32(pause_ms,
              1000,
              "caller: pause between an answer and the next request");
DEFINE_double(udp_share, 0.1, "caller: share of flows that use UDP, 0 to 1");
DEFINE_double(loss, 0, "fabric: probability that a packet is dropped");
DEFINE_double(duplicate, 0, "fabric: probability that a packet is sent twice");
DEFINE_uint64(seed, 1, "seed of the random number generator");

namespace {

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> entries;
  std::istringstream stream(text);
  std::string entry;
  while (std::getline(stream, entry, ',')) {
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs a stand-in for a system around the daemon; see --kind");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  medlargauge::InstallStopFlag();
  if (FLAGS_kind == "fabric") {
    return medlargauge::RunFabric({FLAGS_listen, SplitAtCommas(FLAGS_balancers),
                                   FLAGS_loss, FLAGS_duplicate, FLAGS_seed});
  }
  if (FLAGS_kind == "backend") {
    return medlargauge::RunBackendServer({FLAGS_listen, FLAGS_load_listen,
                                          FLAGS_caller, FLAGS_service,
                                          FLAGS_executed_file});
  }
  if (FLAGS_kind == "caller") {
    medlargauge::CallerOptions options;
    options.listen = FLAGS_listen;
    options.fabric = FLAGS_fabric;
    options.classes = SplitAtCommas(FLAGS_classes);
    options.flows = FLAGS_flows;
    options.rate = FLAGS_rate;
    options.seconds = FLAGS_seconds;
    options.lifetime_ms = FLAGS_lifetime_ms;
    options.pause_ms = FLAGS_pause_ms;
    options.udp_share = FLAGS_udp_share;
    options.seed = FLAGS_seed;
    return medlargauge::RunCallers(options);
  }
  if (FLAGS_kind == "store") {
    return medlargauge::RunStore({FLAGS_listen});
  }
  std::cerr << "medlargauge_standin: missing or unknown --kind, see --help\n";
  return 2;
}

// @file standin_main.cc Entry of medlargauge_standin.
#include <gflags/gflags.h>

#include <iostream>
#include <sstream>

#include "standin/standin.h"
#include "standin/stop_flag.h"

DEFINE_string(kind, "", "fabric, backend, caller or store");
DEFINE_string(listen, "", "IP:PORT to listen on");
DEFINE_string(load_listen, "", "backend: IP:PORT of /load and /stats");
DEFINE_string(balancers, "", "fabric: DATA/ADMIN pairs, comma-separated");
DEFINE_string(caller, "", "backend: IP:PORT where answers go");
DEFINE_string(service, "", "backend: service it runs");
DEFINE_string(executed_file, "", "backend: gets ids of run requests at exit");
DEFINE_string(fabric, "", "caller: IP:PORT of the fabric");
DEFINE_string(classes, "", "caller: ADDRESS/SERVICE pairs, comma-separated");
DEFINE_uint32(flows, 1000, "caller: flows open at the same time");
DEFINE_uint32(rate, 500, "caller: new flows a second at most");
DEFINE_uint32(seconds, 30, "caller: traffic lasts so long");
DEFINE_uint32(lifetime_ms, 10000, "caller: mean life of a flow");
DEFINE_uint32(pause_ms, 1000, "caller: between requests of a flow");
DEFINE_double(udp_share, 0.1, "caller: part of flows that use UDP");
DEFINE_double(loss, 0, "fabric: chance to lose a packet");
DEFINE_double(duplicate, 0, "fabric: chance to double a packet");
DEFINE_uint64(seed, 1, "seed of all randomness");

namespace {

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("stand-ins for outside systems; see --kind");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  medlargauge::InstallStopFlag();
  if (FLAGS_kind == "fabric") {
    return medlargauge::RunFabric({FLAGS_listen, SplitList(FLAGS_balancers),
                                   FLAGS_loss, FLAGS_duplicate, FLAGS_seed});
  }
  if (FLAGS_kind == "backend") {
    return medlargauge::RunBackend({FLAGS_listen, FLAGS_load_listen,
                                    FLAGS_caller, FLAGS_service,
                                    FLAGS_executed_file});
  }
  if (FLAGS_kind == "caller") {
    medlargauge::CallerOptions options;
    options.listen = FLAGS_listen;
    options.fabric = FLAGS_fabric;
    options.classes = SplitList(FLAGS_classes);
    options.flows = FLAGS_flows;
    options.rate = FLAGS_rate;
    options.seconds = FLAGS_seconds;
    options.lifetime_ms = FLAGS_lifetime_ms;
    options.pause_ms = FLAGS_pause_ms;
    options.udp_share = FLAGS_udp_share;
    options.seed = FLAGS_seed;
    return medlargauge::RunCaller(options);
  }
  if (FLAGS_kind == "store") {
    return medlargauge::RunStore({FLAGS_listen});
  }
  std::cerr << "medlargauge_standin: unknown --kind\n";
  return 2;
}

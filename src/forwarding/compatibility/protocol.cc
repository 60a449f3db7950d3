// @file protocol.cc The table of features.
#include "src/forwarding/compatibility/protocol.h"

#include <array>
#include <sstream>

namespace medlargauge {
namespace {

/// In the order of Feature.
constexpr std::array<FeatureInfo, kFeatureCount> kFeatures = {{
    {"evacuations", kEvacuationProtocol,
     "an agent that hears only such balancers serves without a list; new flows "
     "are placed at no such agent in an evacuated domain"},
    {"cold_rate", kEvacuationProtocol,
     "the rate that another balancer stated last stays in force"},
    {"trials", kEvacuationProtocol,
     "a restricted server counts as one with the highest failure rate"},
    {"expected_wait", kEvacuationProtocol,
     "the wait and the cost count as not stated"},
    {"sound_denials", kEvacuationProtocol,
     "the agent is asked by packet for each flow"},
    {"fresh_mentions", 2,
     "what it says of an agent does not show that the agent holds no flow"},
    {"stated_version", 2, "the version is taken from the fields of a status"},
    {"proven_targets", 3,
     "its contact with the store does not show that its targets are the "
     "newest"},
}};

}  // namespace

const FeatureInfo& Describe(Feature feature) {
  return kFeatures[static_cast<size_t>(feature)];
}

std::string MissingFeatures(ProtocolVersion version) {
  std::string names;
  for (const FeatureInfo& info : kFeatures) {
    if (version < info.since) {
      names += (names.empty() ? "" : ",") + std::string(info.name);
    }
  }
  return names;
}

std::string DescribeProtocol() {
  std::ostringstream text;
  text << "protocol " << kProtocolVersion << '\n';
  for (const FeatureInfo& info : kFeatures) {
    text << info.name << ", since protocol " << info.since
         << "; towards processes without it: " << info.absent << '\n';
  }
  return text.str();
}

bool Supports(ProtocolVersion version, Feature feature) {
  return version >= Describe(feature).since;
}

ProtocolVersion ProtocolOf(const proto::PeerStatus& status) {
  if (status.protocol() != 0) {
    return status.protocol();
  }
  return status.has_evacuations() ? kEvacuationProtocol : kFirstProtocol;
}

}  // namespace medlargauge

// @file protocol.h What processes of different builds can expect of each other.
//
// Each status states the protocol version of its sender. A feature that the
// receiver lacks is not used towards it, and what a process does not know is
// told apart from what it does not say. Nobody coordinates this and no operator
// has to switch it: each process decides from the statuses that it hears.
#ifndef MEDLARGAUGE_FORWARDING_COMPATIBILITY_PROTOCOL_H_
#define MEDLARGAUGE_FORWARDING_COMPATIBILITY_PROTOCOL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "src/forwarding/peer.pb.h"

namespace medlargauge {

/// Version of the messages and promises between processes. A build that adds a
/// row to the table of features, or changes what a message proves, raises it.
using ProtocolVersion = uint32_t;

/// Builds that stated neither a version nor evacuations.
inline constexpr ProtocolVersion kFirstProtocol = 0;
/// Builds that stated evacuations, but no version.
inline constexpr ProtocolVersion kEvacuationProtocol = 1;
/// Version of this build.
inline constexpr ProtocolVersion kProtocolVersion = 3;

/// What a process can do for others only if it has a certain version.
enum class Feature : uint8_t {
  kEvacuations,    ///< Enforces evacuations and tells others of them.
  kColdRate,       ///< States or keeps the rate of cold servers.
  kTrials,         ///< Restricts failing servers and asks for trials.
  kExpectedWait,   ///< Reports the wait for a slot and the cost of a kind.
  kSoundDenials,   ///< Its answers to queries prove what they deny.
  kFreshMentions,  ///< Passes on the state of stopped agents only while it
                   ///< reaches them.
  kStatedVersion,  ///< States its protocol version.
  kProvenTargets,  ///< States the age of its targets by answers of the store,
                   ///< not by calls that are under way.
};
inline constexpr size_t kFeatureCount = 8;

/// A row of the table of features.
struct FeatureInfo {
  std::string_view name;    ///< For logs and pages.
  ProtocolVersion since;    ///< First version that has the feature.
  std::string_view absent;  ///< What is done towards processes without it.
};

/// Returns the row of a feature. Thread-safe.
const FeatureInfo& Describe(Feature feature);

/// Returns the names of the features that a version lacks, separated by commas.
/// Thread-safe.
std::string MissingFeatures(ProtocolVersion version);

/// Returns the own version and the table of features, for operators.
/// Thread-safe.
std::string DescribeProtocol();

/// Returns whether processes of a version have a feature. Thread-safe.
bool Supports(ProtocolVersion version, Feature feature);

/// Returns the version of the sender of a status, also of builds that did not
/// state one. Thread-safe.
ProtocolVersion ProtocolOf(const proto::PeerStatus& status);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_FORWARDING_COMPATIBILITY_PROTOCOL_H_

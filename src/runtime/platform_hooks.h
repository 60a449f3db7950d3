// @file platform_hooks.h Interface to the operators' platform: its formats and
// its store.
#ifndef MEDLARGAUGE_RUNTIME_PLATFORM_HOOKS_H_
#define MEDLARGAUGE_RUNTIME_PLATFORM_HOOKS_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/forwarding/active_routes.h"
#include "src/forwarding/agent_forwarder.h"
#include "src/forwarding/era_tracker.h"
#include "src/forwarding/target_reader.h"
#include "src/runtime/http.h"

namespace medlargauge {

/// The operators' targets in the form in which the store keeps them.
struct StoredTargets {
  std::string value;      ///< Encoded; PlatformHooks::parse_targets decodes it.
  TargetVersion version;  ///< Where the store wrote it.
};

/// A message that a backend server has sent to its agent over HTTP.
struct ServerMessage {
  bool leaves = false;  ///< The server deregisters because it stops; only
                        ///< `report.id` is set.
  ServerReport report;  ///< Otherwise: its heartbeat.
};

/// Result of a call to the store.
struct StoreReply {
  StoreResult result = StoreResult::kNoAnswer;
  StatedEra era;  ///< What the answer says about the store's era.
};

/// An entry of the store that evacuates a failure domain, or its removal.
struct StoredEvacuation {
  std::string domain;     ///< Name of the failure domain.
  uint64_t revision = 0;  ///< Revision of the write or of the removal.
  bool ended = false;     ///< The entry was removed.
};

/// What a read or a watch says about evacuations.
struct StoredEvacuations {
  /// A read: `entries` are all that exist at `version`. A watch: they are
  /// changes, and only the era of `version` counts.
  bool is_complete = false;
  TargetVersion version;
  std::vector<StoredEvacuation> entries;  ///< A watch: in order.
};

/// The operators' entries in the store, as a read or a watch has found them.
struct OperatorEntries {
  /// nullopt if the call has failed or found no targets.
  std::optional<StoredTargets> targets;
  /// nullopt if the call has failed. Present also if only the targets could
  /// not be read.
  std::optional<StoredEvacuations> evacuations;
};

/// Receives the result of reading or watching the operators' entries.
/// @param position revision of the store from which a watch can continue
using TargetsCallback = std::function<void(const StoreReply& reply,
                                           const OperatorEntries& entries,
                                           uint64_t position)>;
/// Receives the addresses of the members of a role in the store.
using MembersCallback =
    std::function<void(const StoreReply& reply, std::vector<uint32_t> ips)>;
/// Receives the result of a write to the store.
using StoreWriteCallback = std::function<void(const StoreReply& reply)>;

/// Functions of the platform: parsers of its formats and calls to its store.
/// All run on the thread of the event loop, as do the `done` callbacks, each of
/// which is called exactly once, possibly before the function returns.
struct PlatformHooks {
  /// Parses a packet that travels from the caller or to it.
  /// @return nullopt if it is malformed
  std::function<std::optional<FlowPacket>(ByteView packet, bool from_caller)>
      parse_packet;
  /// Prepares a packet of a caller for a backend server: sets the tag that the
  /// server echoes if it bounces the packet, and clears the bounce flag.
  std::function<void(ByteSpan packet, uint32_t tag)> tag_packet;
  /// Builds the packet that resets a flow at its caller; `sequence` is the next
  /// sequence number that the caller expects.
  std::function<std::string(const FlowKey& flow, uint32_t sequence)> make_reset;
  /// Decodes the targets. @return nullopt and fills `reason` if they are
  /// invalid
  std::function<std::optional<RouteTable>(const StoredTargets& targets,
                                          Error* reason)>
      parse_targets;
  /// Parses a request of a backend server.
  /// @return nullopt and fills `reason` if it is invalid
  std::function<std::optional<ServerMessage>(const HttpRequest& request,
                                             Error* reason)>
      parse_server_message;
  /// URL path of the readiness check.
  std::string ready_path;
  /// Reads the targets and the evacuations from the store.
  std::function<void(TargetsCallback done)> fetch_targets;
  /// Waits until the store has targets or evacuations newer than `position`,
  /// or `wait` has passed.
  std::function<void(uint64_t position, Duration wait, TargetsCallback done)>
      watch_targets;
  /// Lists the members of a role in the store.
  std::function<void(MemberRole role, MembersCallback done)> list_members;
  /// Adds a member to the store; kOk also if it is already there.
  std::function<void(MemberRole role, uint32_t ip, StoreWriteCallback done)>
      add_member;
  /// Removes a member from the store.
  std::function<void(MemberRole role, uint32_t ip, StoreWriteCallback done)>
      remove_member;
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_PLATFORM_HOOKS_H_

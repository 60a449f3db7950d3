// @file platform_hooks.h What the fleet needs from the platform it runs on.
#ifndef MEDLARGAUGE_RUNTIME_PLATFORM_HOOKS_H_
#define MEDLARGAUGE_RUNTIME_PLATFORM_HOOKS_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/runtime/http.h"
#include "src/steer/route_book.h"
#include "src/steer/server_gate.h"
#include "src/steer/target_reader.h"

namespace medlargauge {

/// The operators' targets as they lie in the store.
struct StoredTargets {
  std::string value;      ///< Bytes; PlatformHooks::parse_targets decodes them.
  uint64_t revision = 0;  ///< Store's revision of this value.
};

/// What a backend server has sent to its agent over HTTP.
struct ServerMessage {
  bool leaves = false;  ///< It ends now; only `report.id` is set.
  ServerReport report;  ///< Its heartbeat.
};

/// Targets that a call to the store has brought, if any.
using TargetsCallback = std::function<void(StoreResult result,
                                           std::optional<StoredTargets> targets,
                                           uint64_t position)>;
/// Addresses of balancers that the store knows.
using BalancersCallback =
    std::function<void(StoreResult result, std::vector<uint32_t> ips)>;
/// The end of a write.
using StoreWriteCallback = std::function<void(StoreResult result)>;

/// The platform's formats and calls. All hooks run on the event loop's thread;
/// the `done` hooks are called there later, exactly once.
struct PlatformHooks {
  /// Decodes a packet; nullopt if it is malformed.
  std::function<std::optional<FlowPacket>(ByteView packet, bool from_caller)>
      parse_packet;
  /// Prepares a caller's packet for a backend server: sets the tag that a
  /// bounce returns and takes the bounce mark off.
  std::function<void(ByteSpan packet, uint32_t tag)> tag_packet;
  /// Builds a reset of a flow for its caller.
  std::function<std::string(const FlowKey& flow, uint32_t sequence)> make_reset;
  /// Decodes targets.
  std::function<std::optional<RouteTable>(const StoredTargets& targets,
                                          Error* reason)>
      parse_targets;
  /// Decodes a request of a backend server; nullopt with a reason.
  std::function<std::optional<ServerMessage>(const HttpRequest& request,
                                             Error* reason)>
      parse_server_message;
  /// Path of the readiness check.
  std::string ready_path;
  /// Reads the targets.
  std::function<void(TargetsCallback done)> fetch_targets;
  /// Waits for targets newer than `position`, at most until `wait` has passed.
  std::function<void(uint64_t position, Duration wait, TargetsCallback done)>
      watch_targets;
  /// Lists the balancers in the store.
  std::function<void(BalancersCallback done)> list_balancers;
  /// Adds a balancer to the store; one that is there already is kOk.
  std::function<void(uint32_t ip, StoreWriteCallback done)> add_balancer;
  /// Removes a balancer from the store.
  std::function<void(uint32_t ip, StoreWriteCallback done)> remove_balancer;
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_PLATFORM_HOOKS_H_

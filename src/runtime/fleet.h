// @file fleet.h How one process stays in touch with the others and the store.
#ifndef MEDLARGAUGE_RUNTIME_FLEET_H_
#define MEDLARGAUGE_RUNTIME_FLEET_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/daemon/settings_type.h"
#include "src/runtime/event_loop.h"
#include "src/runtime/http.h"
#include "src/runtime/peer_wire.h"
#include "src/runtime/platform_hooks.h"
#include "src/runtime/stats.h"
#include "src/runtime/udp_socket.h"
#include "src/steer/roster.h"
#include "src/steer/route_book.h"
#include "src/steer/status_pace.h"
#include "src/steer/target_reader.h"

namespace medlargauge {

/// What a role adds to the fleet's part of a process.
struct FleetNodeHooks {
  /// Fills state and load of the own member before each status.
  std::function<void(TimePoint now, SteerMember* self)> describe;
  /// A datagram of another kind than a status has come.
  std::function<void(TimePoint now, SocketAddress4 from, const PeerFrame&)>
      on_frame;
  /// Fills the role's part of the metrics.
  std::function<void(TimePoint now, Stats* stats)> measure;
};

/// Membership, targets and the socket between processes. Not thread-safe.
class FleetNode {
 public:
  FleetNode(EventLoop* loop,
            const Settings& settings,
            MemberRole role,
            const PlatformHooks* platform,
            FleetNodeHooks hooks);

  /// Binds the sockets and starts the timers. @return false with a reason
  bool Start(Error* reason);

  /// Tells all members the own state now.
  void Announce();

  /// Says in every status from now on that this process stops.
  void StartLeaving();

  /// Replaces the addresses to join through.
  void SetSeeds(const std::vector<std::string>& seeds);

  /// Sends a datagram to another process.
  void Send(uint32_t ip, ByteView datagram);

  Roster& Members() { return m_roster; }
  const RouteBook& Routes() const { return m_routes; }
  PeerFrameWriter& Writer() { return m_writer; }
  const TargetReader& Reader() const { return m_reader; }
  const SteerMember& Self() const { return m_self; }

 private:
  static constexpr std::string_view kTargetsPath = "/targets";

  void OnDatagram(SocketAddress4 from, ByteSpan datagram);
  void OnStatus(TimePoint now, SocketAddress4 from, ByteView message);
  proto::PeerStatus MakeStatus(TimePoint now);
  void SendKnown(TimePoint now,
                 uint32_t ip,
                 MemberRole role,
                 bool with_members);
  void SendStatus(uint32_t ip, const proto::PeerStatus& status);
  void Tick();
  void Join(TimePoint now);
  void AskStoreForPeers(TimePoint now);
  void RegisterInStore(TimePoint now);
  void RemoveForgotten(TimePoint now,
                       const std::vector<SteerMember>& forgotten);
  void ReadTargets(TimePoint now);
  void Adopt(const StoredTargets& targets, std::string_view source);
  void FetchFromPeer(uint32_t ip);
  void NoteStore(StoreResult result, std::string_view call);
  HttpResponse Serve(const HttpRequest& request);
  std::string RenderStats();

  EventLoop* m_loop;                    ///< Runs everything.
  const PlatformHooks* m_platform;      ///< Formats and calls.
  FleetNodeHooks m_hooks;               ///< The role's part.
  SteerMember m_self;                   ///< Own facts.
  SocketAddress4 m_peer_address;        ///< Own, for other processes.
  std::vector<uint32_t> m_seeds;        ///< Addresses to join through.
  Roster m_roster;                      ///< Others.
  StatusPace m_pace;                    ///< Of own statuses to everybody.
  RouteBook m_routes;                   ///< Targets in force.
  StoredTargets m_stored;               ///< Their bytes, for peers.
  TargetReader m_reader;                ///< Decides when to read.
  UdpSocket m_socket;                   ///< Between processes.
  PeerFrameWriter m_writer;             ///< Builds datagrams.
  HttpServer m_server;                  ///< Hands the targets to peers.
  std::unique_ptr<HttpClient> m_fetch;  ///< Takes targets from a peer.
  uint32_t m_sequence = 0;              ///< Of the own statuses.
  bool m_leaving = false;               ///< A planned stop has begun.
  bool m_store_busy = false;            ///< A membership call is under way.
  bool m_store_lost = false;            ///< The last call failed; for the log.
  LatencyHistogram m_store_latency;     ///< Calls that do not wait.
  uint64_t m_store_calls = 0;           ///< Only grows.
  TimePoint m_join_deadline;            ///< Next request for members.
  uint32_t m_join_attempts = 0;         ///< In a row, hearing nobody.
  TimePoint m_list_deadline;            ///< Next question to the store.
  TimePoint m_register_deadline;        ///< Next entry in the store.
  TimePoint m_peer_heard;               ///< A balancer was last heard.
  Duration m_suspended{};               ///< Time suspended so far.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_RUNTIME_FLEET_H_

// @file reset_world_state.h State of the reset model.
#ifndef MEDLARGAUGE_LAB_RESET_WORLD_STATE_H_
#define MEDLARGAUGE_LAB_RESET_WORLD_STATE_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lab/reset_world.h"
#include "src/forwarding/status_schedule.h"

namespace medlargauge::lab {
namespace detail {

inline constexpr Duration kStep = Milliseconds(10);  ///< A message takes one.
inline constexpr Duration kNodeTick = Milliseconds(100);  ///< As FleetNode.
inline constexpr uint32_t kNoProcess = UINT32_MAX;  ///< No index of a process.
inline constexpr SocketAddress4 kRouteAddress{0xC6120001, 443};
inline constexpr std::string_view kService = "stock";
inline constexpr std::string_view kOtherService = "media";
inline constexpr uint32_t kServerSlots = 5;
/// Sequence number of the opening packet.
inline constexpr uint32_t kCallerSequence = 1000;
/// Number of the start that servers are at when the model begins.
inline constexpr uint64_t kFirstServerStart = 2;

/// Returns the address of a process. Thread-safe.
inline uint32_t IpOf(uint32_t process) {
  constexpr uint32_t kFirstIp = 10;
  return kFirstIp + process;
}
/// Returns the process at an address. Thread-safe.
inline uint32_t ProcessAt(uint32_t ip) {
  return ip - IpOf(0);
}
/// Returns the id of a server's start. Thread-safe.
inline std::string StartId(uint64_t start) {
  return "start-" + std::to_string(start);
}
/// Returns the bytes that stand for every packet. Thread-safe.
inline ByteView RawPacket() {
  constexpr std::string_view kRawPacket = "packet";
  return {reinterpret_cast<const uint8_t*>(kRawPacket.data()),
          kRawPacket.size()};
}

}  // namespace detail

/// The backend server of an agent.
struct ResetWorld::Server {
  /// kNone: it returns packets of the flow.
  enum class FlowState : uint8_t { kNone, kHalfOpen, kOpen };
  bool running = true;
  uint64_t starts = detail::kFirstServerStart;
  uint64_t reports = 0;  ///< Heartbeats of this start.
  TimePoint next_report;
  FlowState flow = FlowState::kNone;
  uint32_t initial_sequence = 0;
  uint32_t next_sequence = 0;         ///< Of its data.
  uint32_t next_caller_sequence = 0;  ///< End of the request that it answered.
  uint32_t transmissions = 0;         ///< Of its SYN-ACK.
  uint32_t lost_transmissions = 0;    ///< SYN-ACKs that the caller misses.
  TimePoint next_transmission;        ///< Of its SYN-ACK.
  TimePoint half_open_until;
  TimePoint impaired_at;
};

/// The caller and its view of the flow.
struct ResetWorld::Caller {
  enum class Stage : uint8_t { kOpening, kOpen, kEnded };
  Stage stage = Stage::kOpening;
  uint32_t balancer = 0;                ///< Selected by the routers.
  uint32_t owner = detail::kNoProcess;  ///< Agent whose server it accepted.
  uint32_t owner_initial_sequence = 0;
  uint32_t sequence = detail::kCallerSequence + 1;
  uint32_t acknowledged = 0;
  uint32_t answered = 0;  ///< Requests.
  bool has_request = false;
  bool has_late_copy = false;  ///< A copy of its opening packet came late.
  TimePoint next_transmission;
  Duration interval{};  ///< Between transmissions of the request.
  uint32_t openings_delivered = 0;
  uint32_t astray_packets = 0;
  TimePoint astray_since;
  std::set<uint32_t> astray_balancers;  ///< That sent the packets astray.
};

/// A balancer or an agent.
struct ResetWorld::Process {
  explicit Process(uint32_t index)
      : index(index),
        members(MemberId{detail::IpOf(index)}, MembershipTimeouts()),
        schedule(MemberRole::kAgent, detail::kNodeTick, index) {}

  uint32_t index;
  MemberRole role = MemberRole::kBalancer;
  bool running = false;
  bool leaving = false;  ///< Its stop is planned, until the next start.
  uint64_t starts = 0;
  TimePoint impaired_at;
  TimePoint ended_at;
  MembershipTable members;
  ActiveRoutes routes;  ///< Balancers only; knows the routes since its start.
  StatusSchedule schedule;
  std::optional<FleetDiscovery> discovery;
  std::optional<FlowDirector> director;     ///< Balancers only.
  std::optional<AgentForwarder> forwarder;  ///< Agents only.
  AgentState announced_state = AgentState::kJoining;
  uint32_t statuses = 0;
  TimePoint next_tick;
  TimePoint next_director_tick;
};

/// A message on its way.
struct ResetWorld::Message {
  enum class Kind : uint8_t {
    kStatus,
    kForward,
    kReturn,
    kNote,
    kPointer,
    kQuery,
    kAnswer,
    kFromCaller,
    kToCaller,
  };
  Kind kind = Kind::kStatus;
  uint32_t from = detail::kNoProcess;
  uint32_t to = detail::kNoProcess;
  proto::PeerStatus status;
  FlowPacket packet;
  ForwardHeader header;
  ReturnReason reason = ReturnReason::kNone;
  MemberId owner;  ///< kReturn, kPointer.
  ServerLoad load;
  bool proven = false;
  uint64_t query_id = 0;              ///< kQuery, kAnswer.
  std::vector<uint64_t> flow_hashes;  ///< kQuery.
  bool knows_all = false;             ///< kAnswer.
  std::vector<uint32_t> held_flows;   ///< kAnswer.
};

/// All that changes.
struct ResetWorld::State {
  TimePoint now{Seconds(100)};
  std::vector<Process> processes;  ///< Balancers, then agents.
  std::vector<Server> servers;     ///< Indexed as `processes`.
  std::set<std::pair<uint32_t, uint32_t>> cuts;
  std::vector<Message> messages;  ///< Arrive in the next step.
  bool store_answers = true;
  TimePoint store_impaired_at;
  std::set<uint32_t> registered;  ///< Processes in the store.
  uint64_t revision = 1;          ///< Of the targets.
  bool is_route_moved = false;    ///< The route has the other service.
  Caller caller;
  std::vector<Finding> findings;
};

}  // namespace medlargauge::lab

#endif  // MEDLARGAUGE_LAB_RESET_WORLD_STATE_H_

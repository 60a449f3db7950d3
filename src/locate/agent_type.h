// @file agent_type.h Limits, verdicts and counters of an agent.
#ifndef MEDLARGAUGE_LOCATE_AGENT_TYPE_H_
#define MEDLARGAUGE_LOCATE_AGENT_TYPE_H_

#include <array>
#include <cstdint>
#include <functional>

#include "src/admission/admission_type.h"
#include "src/core/error_type.h"
#include "src/core/time_type.h"
#include "src/group/group_type.h"
#include "src/packet/envelope_type.h"

namespace medlargauge {

/// Lifetimes of flow table entries and limits of an agent.
struct AgentLimits {
  uint32_t capacity = 2000;            ///< Open flows of the backend server.
  Duration opening = Seconds(75);      ///< Idle timeout after the SYN.
  Duration tcp_idle = Seconds(900);    ///< Idle timeout of established TCP.
  Duration udp_idle = Seconds(60);     ///< Idle timeout of a UDP flow.
  Duration closing = Seconds(10);      ///< Idle timeout after FIN or RST.
  Duration mark = Seconds(30);         ///< Lifetime of FlowState::kReserved.
  Duration refusal = Seconds(5);       ///< Lifetime of FlowState::kRefused.
  Duration join = Milliseconds(1000);  ///< Discovery of peers after a start.
  Duration ramp = Seconds(30);         ///< Load ramp after a cold start.
  /// After an unplanned restart, unknown flows are taken as owned this long.
  Duration recovery = Seconds(75);
  /// Maximum number of new flows registered with a backup agent per second. It
  /// limits the control traffic, which is about 60 bytes per flow.
  uint32_t backups_per_second = 30;
  uint8_t max_hops = 24;  ///< Maximum number of agents that a packet passes.
};

/// Action for one packet. Every packet gets exactly one verdict.
enum class VerdictKind : uint8_t {
  kDeliver,  ///< Deliver to the backend server of this agent.
  kForward,  ///< Send to another agent with the envelope of the verdict.
  kReject,   ///< Drop; the error kind determines the answer to the sender.
};

/// Reason why a packet is delivered here, for counters.
enum class Admission : uint8_t {
  kKnown,      ///< This agent owned the flow already.
  kHome,       ///< Admitted by this agent as the flow's home.
  kHandover,   ///< Admitted after a handover by the flow's home.
  kRecovered,  ///< Taken as owned after an unplanned restart.
};

/// Number of admission reasons, for tables indexed by reason.
constexpr size_t kAdmissionCount = 4;

/// Decision about one packet.
struct Verdict {
  VerdictKind kind = VerdictKind::kReject;  ///< Action for the packet.
  Admission admission = Admission::kKnown;  ///< Valid for kDeliver.
  MemberId next;                            ///< Valid for kForward.
  Envelope envelope;                        ///< Valid for kForward.
  ErrorKind error = ErrorKind::kNone;       ///< Valid for kReject.
};

/// Counters of an agent since its start.
struct AgentCounters {
  std::array<uint64_t, kAdmissionCount> delivered{};  ///< By Admission.
  uint64_t forwarded = 0;         ///< Packets sent to another agent.
  uint64_t handed_over = 0;       ///< New flows handed over to another agent.
  uint64_t consulted = 0;         ///< New flows about which peers were asked.
  uint64_t searched = 0;          ///< Established flows searched at peers.
  uint64_t flows_taken_back = 0;  ///< Restored by peers after a restart.
  uint64_t backups_skipped = 0;   ///< Not registered: backups_per_second.
  std::array<uint64_t, kErrorKindCount> rejected{};  ///< By error kind.
  /// Violations of invariants. A value above 0 is a defect of the program.
  uint64_t admissions_while_draining = 0;
  uint64_t admissions_of_other_service = 0;
  uint64_t flows_with_two_owners = 0;
};

/// Switches for tests. Each disables one rule of the protocol, to show that the
/// checks of a test detect the violation. All are off in the daemon.
struct FaultInjection {
  bool skip_consult = false;       ///< A home decides without asking peers.
  bool skip_reservations = false;  ///< An asked agent stores no reservation.
  bool skip_view_check = false;    ///< Handovers of other views are accepted.
  bool skip_fence = false;         ///< A fenced member decides.
  bool admit_while_draining = false;  ///< A draining agent admits new flows.
  bool drop_pointers = false;         ///< A home stores no pointers.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_LOCATE_AGENT_TYPE_H_

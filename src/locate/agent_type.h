// @file agent_type.h Settings, verdicts and counters of an agent.
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

/// How long entries live and what an agent may carry.
struct AgentLimits {
  uint32_t capacity = 2000;            ///< Open flows of the server.
  Duration opening = Seconds(75);      ///< SYN seen, nothing since.
  Duration tcp_idle = Seconds(900);    ///< Established TCP flow.
  Duration udp_idle = Seconds(60);     ///< UDP flow.
  Duration closing = Seconds(10);      ///< After FIN or RST.
  Duration mark = Seconds(30);         ///< Another agent asked first.
  Duration refusal = Seconds(5);       ///< A refused packet stays refused.
  Duration join = Milliseconds(1000);  ///< Listening before being ready.
  Duration ramp = Seconds(30);         ///< Cold start of the server.
  Duration recovery = Seconds(75);     ///< Claims unknown flows so long.
  /// New flows registered with a second agent each second at most, which
  /// bounds the control bytes: about 60 bytes a flow.
  uint32_t backups_per_second = 30;
  uint8_t max_hops = 24;  ///< Agents a packet may pass.
};

/// What to do with one packet. Exactly one verdict per packet.
enum class VerdictKind : uint8_t {
  kDeliver,  ///< To the backend server beside this agent.
  kForward,  ///< To another agent, with the envelope of the verdict.
  kReject,   ///< Drop with an error kind, which tells what to answer.
};

/// How a flow came to be delivered here, for counters.
enum class Admission : uint8_t {
  kKnown,      ///< The flow was known.
  kHome,       ///< Admitted by its home for itself.
  kHandover,   ///< Admitted on behalf of its home.
  kRecovered,  ///< Claimed after an unplanned restart.
};

constexpr size_t kAdmissionCount = 4;

/// Decision for one packet.
struct Verdict {
  VerdictKind kind = VerdictKind::kReject;  ///< What to do.
  Admission admission = Admission::kKnown;  ///< Valid for kDeliver.
  MemberId next;                            ///< Valid for kForward.
  Envelope envelope;                        ///< Valid for kForward.
  ErrorKind error = ErrorKind::kNone;       ///< Valid for kReject.
};

/// Counters that only grow.
struct AgentCounters {
  std::array<uint64_t, kAdmissionCount> delivered{};  ///< By Admission.
  uint64_t forwarded = 0;         ///< Packets passed to another agent.
  uint64_t handed_over = 0;       ///< New flows handed to another agent.
  uint64_t consulted = 0;         ///< New flows for which others were asked.
  uint64_t searched = 0;          ///< Established flows that were searched.
  uint64_t flows_taken_back = 0;  ///< Returned by peers after a restart.
  uint64_t backups_skipped = 0;   ///< New flows beyond the limit.
  std::array<uint64_t, kErrorKindCount> rejected{};  ///< By error kind.
  /// Invariant violations; each is a defect.
  uint64_t admissions_while_draining = 0;
  uint64_t admissions_of_other_service = 0;
  uint64_t flows_with_two_owners = 0;
};

/// Test-only switches that break one central rule each, to show that the
/// checks notice. All off in the daemon.
struct FaultInjection {
  bool skip_consult = false;          ///< A home decides without asking.
  bool skip_reservations = false;     ///< An asked agent leaves no mark.
  bool skip_view_check = false;       ///< Handovers of other views are taken.
  bool skip_fence = false;            ///< A member that is cut off decides.
  bool admit_while_draining = false;  ///< A draining agent admits.
  bool drop_pointers = false;         ///< A home keeps no pointers.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_LOCATE_AGENT_TYPE_H_

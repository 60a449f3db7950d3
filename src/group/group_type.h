// @file group_type.h Peers of one service and the timeouts between them.
#ifndef MEDLARGAUGE_GROUP_GROUP_TYPE_H_
#define MEDLARGAUGE_GROUP_GROUP_TYPE_H_

#include <vector>

#include "src/core/time_type.h"
#include "src/group/group.pb.h"
#include "src/routing/routing_type.h"

namespace medlargauge {

/// Intervals of the group protocol.
struct GroupTimeouts {
  Duration heartbeat = Milliseconds(500);  ///< Between heartbeats.
  /// A member that hears no echo from half of the others for this long stops
  /// deciding about new flows. Shorter than `removal` by more than a heartbeat
  /// and the longest delay, so that it stops before others replace it.
  Duration fence = Milliseconds(2000);
  Duration removal = Milliseconds(4000);  ///< Silence before removal.
  /// After a removal by silence the member may still come back with its flows,
  /// so unknown flows are not reset for this long.
  Duration rejoin_grace = Seconds(60);
  Duration resend = Milliseconds(1500);  ///< Before a synchronisation repeats.
};

/// One other member as this member knows it.
struct Peer {
  AgentFacts facts;       ///< Newest facts.
  bool observer = false;  ///< A balancer: hears, but owns no flows.
  TimePoint
      rejoin_grace_deadline;     ///< Removed for silence; may return by then.
  TimePoint removal_deadline;    ///< Silent beyond this: may be removed.
  TimePoint fence_deadline;      ///< Until then it is known to hear us.
  TimePoint resend_deadline;     ///< When to repeat the synchronisation.
  uint64_t last_sent_at = 0;     ///< Its newest `sent_at`, returned as echo.
  uint32_t open_flows = 0;       ///< Own count that it reported.
  TimePoint reported_at;         ///< When that report arrived.
  double flow_growth_per_s = 0;  ///< Change of its count between reports.
  uint32_t capacity = 0;         ///< Limit that it reported.
  double ramp = 1.0;             ///< Part of the mean it may carry by now.
  bool shedding = false;         ///< Takes no handed-over flows.
  bool declined = false;         ///< Declined a flow since that report.
  bool recovering = false;       ///< Lost its flow table a short while ago.
  bool restore_due = false;      ///< Its flows must be returned to it.
  ViewId synced_view;            ///< View its registrations are complete for.
  ViewId indexed_view;           ///< View it holds our registrations for.
  uint32_t sync = 0;             ///< Synchronisation being received.
  uint32_t sync_count = 0;       ///< Registrations received in it.
  std::vector<uint64_t> silent;  ///< Members it reports as silent.
};

/// A message and where it goes.
struct OutgoingGroupMessage {
  MemberId to;                  ///< Receiver.
  proto::GroupMessage message;  ///< Content.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_GROUP_GROUP_TYPE_H_

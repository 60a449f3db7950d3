// @file group_type.h Peers of a service group and the protocol's intervals.
#ifndef MEDLARGAUGE_GROUP_GROUP_TYPE_H_
#define MEDLARGAUGE_GROUP_GROUP_TYPE_H_

#include <vector>

#include "src/core/time_type.h"
#include "src/group/group.pb.h"
#include "src/routing/routing_type.h"

namespace medlargauge {

/// Intervals and timeouts of the group protocol.
struct GroupTimeouts {
  Duration heartbeat = Milliseconds(500);  ///< Interval between heartbeats.
  /// A member that receives no echo from half of the others for this long stops
  /// deciding about new flows. Shorter than `removal` by more than a heartbeat
  /// and the longest delay, so that it stops before others replace it.
  Duration fence = Milliseconds(2000);
  /// A peer that has been silent for this long may be removed.
  Duration removal = Milliseconds(4000);
  /// A member that was removed for silence may still return with its flows, so
  /// unknown flows are not reset for this long after the removal.
  Duration rejoin_grace = Seconds(60);
  /// An unconfirmed synchronisation is repeated after this time.
  Duration resend = Milliseconds(1500);
};

/// Entry of the membership table: another member as this one knows it.
struct Peer {
  AgentFacts facts;       ///< Newest facts received about the peer.
  bool observer = false;  ///< True for a balancer, which owns no flows.
  /// A peer that was removed for silence may return with its flows until then.
  TimePoint rejoin_grace_deadline;
  TimePoint removal_deadline;    ///< May be removed if still silent by then.
  TimePoint fence_deadline;      ///< Counts as echoing until then.
  TimePoint next_sync_at;        ///< Earliest time to synchronise with it.
  uint64_t last_sent_at = 0;     ///< Its newest `sent_at`, returned as echo.
  uint32_t open_flows = 0;       ///< Number of open flows that it reported.
  TimePoint reported_at;         ///< Arrival time of that report.
  double flow_growth_per_s = 0;  ///< Rate of change between its last reports.
  uint32_t capacity = 0;         ///< Reported limit of open flows.
  double ramp = 1.0;             ///< Reported share of the mean load, 0 to 1.
  bool shedding = false;         ///< Accepts no handed-over flows.
  bool declined = false;         ///< Has declined a flow since that report.
  bool recovering = false;       ///< Lost its flow table at a recent restart.
  bool restore_due = false;      ///< Its own flows must be sent back to it.
  ViewId synced_view;            ///< View for which it sent all registrations.
  ViewId indexed_view;           ///< View for which it has our registrations.
  uint32_t incoming_sync = 0;    ///< Number of the synchronisation it sends.
  uint32_t received_registrations = 0;  ///< Received in it so far.
  std::vector<uint64_t> silent;         ///< Members that it reports as silent.
};

/// A message with its receiver.
struct OutgoingGroupMessage {
  MemberId to;                  ///< Receiver.
  proto::GroupMessage message;  ///< Message to send.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_GROUP_GROUP_TYPE_H_

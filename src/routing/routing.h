// @file routing.h Rendezvous hashing of flows over the agents of a service.
#ifndef MEDLARGAUGE_ROUTING_ROUTING_H_
#define MEDLARGAUGE_ROUTING_ROUTING_H_

#include "src/packet/packet_type.h"
#include "src/routing/routing_type.h"

namespace medlargauge {

/// Returns the slice of a flow, 0 to 9,999: a property of the flow alone, so
/// every balancer and agent gives it to the same version. Thread-safe.
uint32_t HashBucketOf(FlowId flow);

/// Returns the split of a class, or null. Thread-safe.
const VersionSplit* FindSplit(const ServiceView& view, ClassId class_id);

/// Returns whether `agent` may take new flows of this flow's version. A trial
/// version without a ready agent falls back to the baseline. Thread-safe.
/// @param view must contain the class of the flow
bool MayAdmit(const ServiceView& view,
              const AgentFacts& agent,
              const VersionSplit& split,
              FlowId flow);

/// Returns the agent that decides about `flow`, or null if none is ready.
/// Thread-safe.
const AgentFacts* HomeOf(const ServiceView& view,
                         ClassId class_id,
                         FlowId flow);

/// Returns the agent that would be the home if `excluded` were not ready, or
/// null. Thread-safe.
const AgentFacts* HomeExcluding(const ServiceView& view,
                                ClassId class_id,
                                FlowId flow,
                                MemberId excluded);

/// Returns a hash over everything that HomeOf depends on. Thread-safe.
ViewId HashView(const ServiceView& view);

/// Returns the rank weight of an agent for a flow; the largest is the home.
/// Thread-safe.
uint64_t RendezvousWeight(FlowId flow, MemberId agent);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_ROUTING_ROUTING_H_

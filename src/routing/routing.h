// @file routing.h Rendezvous hashing of flows over the agents of a service.
#ifndef MEDLARGAUGE_ROUTING_ROUTING_H_
#define MEDLARGAUGE_ROUTING_ROUTING_H_

#include "src/packet/packet_type.h"
#include "src/routing/routing_type.h"

namespace medlargauge {

/// Returns the hash bucket of a flow, 0 to 9,999. It depends on the flow alone,
/// so that every balancer and agent assigns the flow to the same version.
/// Thread-safe.
uint32_t HashBucketOf(FlowId flow);

/// Returns the split of a class, or null if the view has none. Thread-safe.
const VersionSplit* FindSplit(const ServiceView& view, ClassId class_id);

/// Returns whether `agent` is ready and serves the version that `flow` is
/// assigned to. Without a ready agent of the trial version, flows of the trial
/// are assigned to the baseline. Thread-safe.
/// @param view must contain the class of the flow
/// @param split split of that class in `view`
bool MayAdmit(const ServiceView& view,
              const AgentFacts& agent,
              const VersionSplit& split,
              FlowId flow);

/// Returns the home of `flow`, which is the agent that decides about it; null
/// if the class is unknown or no agent of the flow's version is ready.
/// Thread-safe.
const AgentFacts* HomeOf(const ServiceView& view,
                         ClassId class_id,
                         FlowId flow);

/// Returns the home that `flow` would have if the agent `excluded` were not
/// ready; null if there is none. Thread-safe.
const AgentFacts* HomeExcluding(const ServiceView& view,
                                ClassId class_id,
                                FlowId flow,
                                MemberId excluded);

/// Returns a hash over all fields that HomeOf depends on, never 0. Thread-safe.
ViewId HashView(const ServiceView& view);

/// Returns the weight of an agent for a flow in rendezvous hashing: the
/// eligible agent with the largest weight is the flow's home. Thread-safe.
uint64_t RendezvousWeight(FlowId flow, MemberId agent);

}  // namespace medlargauge

#endif  // MEDLARGAUGE_ROUTING_ROUTING_H_

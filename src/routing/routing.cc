// @file routing.cc Rendezvous hashing (highest random weight) of flows.
#include "src/routing/routing.h"

#include "src/core/hash.h"
#include "src/target/target_type.h"

namespace medlargauge {
namespace {

/// Returns whether `split` assigns a flow to the trial version.
bool IsTrialFlow(const VersionSplit& split, FlowId flow) {
  return split.trial.IsSet() && HashBucketOf(flow) < split.trial_share;
}

/// Returns whether an agent of `version` other than `excluded` is ready.
bool HasReadyAgent(const ServiceView& view,
                   VersionId version,
                   MemberId excluded) {
  for (const AgentFacts& agent : view.agents) {
    if (agent.state == AgentState::kReady && agent.version == version &&
        agent.id != excluded) {
      return true;
    }
  }
  return false;
}

/// Returns whether `agent` serves the trial version of the split, or the
/// baseline if `wants_trial` is false.
bool ServesVersionOf(const VersionSplit& split,
                     const AgentFacts& agent,
                     bool wants_trial) {
  if (wants_trial) {
    return agent.version == split.trial;
  }
  if (split.baseline.IsSet()) {
    return agent.version == split.baseline;
  }
  return !split.trial.IsSet() || agent.version != split.trial;
}

}  // namespace

uint32_t HashBucketOf(FlowId flow) {
  return static_cast<uint32_t>((flow.high >> 32U) * kWholeShare >> 32U);
}

const VersionSplit* FindSplit(const ServiceView& view, ClassId class_id) {
  for (const VersionSplit& split : view.splits) {
    if (split.class_id == class_id) {
      return &split;
    }
  }
  return nullptr;
}

bool MayAdmit(const ServiceView& view,
              const AgentFacts& agent,
              const VersionSplit& split,
              FlowId flow) {
  if (agent.state != AgentState::kReady) {
    return false;
  }
  const bool wants_trial =
      IsTrialFlow(split, flow) && HasReadyAgent(view, split.trial, MemberId());
  return ServesVersionOf(split, agent, wants_trial);
}

const AgentFacts* HomeOf(const ServiceView& view,
                         ClassId class_id,
                         FlowId flow) {
  return HomeExcluding(view, class_id, flow, MemberId());
}

const AgentFacts* HomeExcluding(const ServiceView& view,
                                ClassId class_id,
                                FlowId flow,
                                MemberId excluded) {
  const VersionSplit* split = FindSplit(view, class_id);
  if (split == nullptr) {
    return nullptr;
  }
  const bool wants_trial =
      IsTrialFlow(*split, flow) && HasReadyAgent(view, split->trial, excluded);
  const AgentFacts* best = nullptr;
  uint64_t best_weight = 0;
  for (const AgentFacts& agent : view.agents) {
    const bool eligible = agent.state == AgentState::kReady &&
                          agent.id != excluded &&
                          ServesVersionOf(*split, agent, wants_trial);
    if (!eligible) {
      continue;
    }
    const uint64_t weight = RendezvousWeight(flow, agent.id);
    if (best == nullptr || weight > best_weight) {
      best = &agent;
      best_weight = weight;
    }
  }
  return best;
}

ViewId HashView(const ServiceView& view) {
  uint64_t hash = view.service.value;
  for (const AgentFacts& agent : view.agents) {
    hash = MixHash(hash, agent.id.value);
    hash = MixHash(hash, agent.incarnation);
    hash = MixHash(hash, static_cast<uint64_t>(agent.state));
    hash = MixHash(hash, agent.version.value);
  }
  for (const VersionSplit& split : view.splits) {
    hash = MixHash(hash, split.class_id.value);
    hash = MixHash(hash, split.baseline.value);
    hash = MixHash(hash, split.trial.value);
    hash = MixHash(hash, split.trial_share);
  }
  const auto folded = static_cast<uint32_t>(hash ^ (hash >> 32U));
  return ViewId{folded == 0 ? 1 : folded};
}

uint64_t RendezvousWeight(FlowId flow, MemberId agent) {
  return MixHash(flow.low, agent.value);
}

}  // namespace medlargauge

// @file routing_type.h Agents and version splits that determine flows' homes.
#ifndef MEDLARGAUGE_ROUTING_ROUTING_TYPE_H_
#define MEDLARGAUGE_ROUTING_ROUTING_TYPE_H_

#include <cstdint>
#include <vector>

#include "src/core/ids_type.h"

namespace medlargauge {

/// State of an agent as the other members see it.
enum class AgentState : uint8_t {
  kJoining = 0,   ///< Alive, but not yet a home for flows.
  kReady = 1,     ///< Accepts new flows.
  kDraining = 2,  ///< Keeps its flows, but accepts no new ones.
  kGone = 3,      ///< Has left, or was removed as dead.
};

/// Facts about one agent that determine where flows go.
struct AgentFacts {
  MemberId id;                              ///< Member id of the agent.
  uint64_t incarnation = 0;                 ///< Increases with each start.
  AgentState state = AgentState::kJoining;  ///< State announced by the agent.
  VersionId version;                        ///< Version of its backend server.
  DomainId domain;                          ///< Its failure domain.
};

/// Split of the flows of a class between two versions of its service.
struct VersionSplit {
  ClassId class_id;          ///< Class that the split applies to.
  VersionId baseline;        ///< 0 means any version except the trial.
  VersionId trial;           ///< 0 means no trial.
  uint32_t trial_share = 0;  ///< Share of the trial, in ten-thousandths.
  uint32_t evenness = 100;   ///< Allowed excess over the mean, same unit.
  uint64_t revision = 0;     ///< Store revision of the target.
};

/// Input of the choice of a flow's home: the agents and splits of one service.
struct ServiceView {
  ServiceId service;                 ///< Service that the view describes.
  std::vector<AgentFacts> agents;    ///< Sorted by id, without gone agents.
  std::vector<VersionSplit> splits;  ///< Sorted by class.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_ROUTING_ROUTING_TYPE_H_

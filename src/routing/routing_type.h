// @file routing_type.h What a balancer and an agent know of a service.
#ifndef MEDLARGAUGE_ROUTING_ROUTING_TYPE_H_
#define MEDLARGAUGE_ROUTING_ROUTING_TYPE_H_

#include <cstdint>
#include <vector>

#include "src/core/ids_type.h"

namespace medlargauge {

/// Life of an agent as others see it.
enum class AgentState : uint8_t {
  kJoining = 0,   ///< Alive, not yet a home for flows.
  kReady = 1,     ///< Takes new flows.
  kDraining = 2,  ///< Keeps its flows, takes no new ones.
  kGone = 3,      ///< Left or confirmed dead.
};

/// Facts of one agent that decide where flows go.
struct AgentFacts {
  MemberId id;                              ///< The agent.
  uint64_t incarnation = 0;                 ///< Grows with each start.
  AgentState state = AgentState::kJoining;  ///< See AgentState.
  VersionId version;                        ///< Version it serves.
  DomainId domain;                          ///< Its failure domain.
};

/// How flows of a class split between two versions of its service.
struct VersionSplit {
  ClassId class_id;          ///< The class.
  VersionId baseline;        ///< 0 means any version but the trial.
  VersionId trial;           ///< 0 means no trial.
  uint32_t trial_share = 0;  ///< In ten-thousandths.
  uint32_t evenness = 100;   ///< Allowed excess over the mean, same unit.
  uint64_t revision = 0;     ///< Store revision it came from.
};

/// Everything that decides the home of a flow of one service.
struct ServiceView {
  ServiceId service;                 ///< The service.
  std::vector<AgentFacts> agents;    ///< Sorted by id; gone ones left out.
  std::vector<VersionSplit> splits;  ///< Sorted by class.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_ROUTING_ROUTING_TYPE_H_

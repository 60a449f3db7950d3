// @file admission_type.h Input of admission policies.
#ifndef MEDLARGAUGE_ADMISSION_ADMISSION_TYPE_H_
#define MEDLARGAUGE_ADMISSION_ADMISSION_TYPE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "src/core/ids_type.h"
#include "src/packet/packet_type.h"

namespace medlargauge {

/// An agent that may get a new flow.
struct AdmissionCandidate {
  MemberId id;              ///< Id of the agent.
  DomainId domain;          ///< Failure domain of the agent.
  uint32_t open_flows = 0;  ///< Reported count, plus handovers since.
  uint32_t capacity = 0;    ///< Maximum of open flows.
  double ramp = 1.0;        ///< Share of the mean allowed while starting.
  bool shedding = false;    ///< Accepts no handovers; its count may be wrong.
  bool declined = false;    ///< Declined a handover since its last report.
};

/// Input of an admission policy.
struct AdmissionInput {
  FlowId flow;                 ///< New flow to place.
  uint32_t evenness = 100;     ///< Allowed excess over the mean, in 1/10000.
  std::optional<size_t> self;  ///< Index of the deciding agent, if eligible.
  /// Candidates, in a fixed order.
  std::vector<AdmissionCandidate> candidates;
};

/// Returns the index of the candidate for a new flow; nullopt if all are full.
/// Policies must be stateless and thread-safe.
using AdmissionPolicy =
    std::function<std::optional<size_t>(const AdmissionInput&)>;

}  // namespace medlargauge

#endif  // MEDLARGAUGE_ADMISSION_ADMISSION_TYPE_H_

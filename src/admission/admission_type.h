// @file admission_type.h What is known when a new flow is placed.
#ifndef MEDLARGAUGE_ADMISSION_ADMISSION_TYPE_H_
#define MEDLARGAUGE_ADMISSION_ADMISSION_TYPE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "src/core/ids_type.h"
#include "src/packet/packet_type.h"

namespace medlargauge {

/// One agent that may take a new flow.
struct AdmissionCandidate {
  MemberId id;              ///< The agent.
  DomainId domain;          ///< Its failure domain.
  uint32_t open_flows = 0;  ///< Own count, plus what was handed to it since.
  uint32_t capacity = 0;    ///< Refuses beyond this.
  double ramp = 1.0;        ///< Part of the mean it may carry by now.
  bool shedding = false;    ///< Takes nothing handed over, count is unsure.
  bool declined = false;    ///< Declined a flow since its last report.
};

/// Everything that an admission policy may look at.
struct AdmissionInput {
  FlowId flow;                 ///< The new flow.
  uint32_t evenness = 100;     ///< Allowed excess, in ten-thousandths.
  std::optional<size_t> self;  ///< Index of the deciding agent, if it may.
  /// Candidates in a fixed order.
  std::vector<AdmissionCandidate> candidates;
};

/// Chooses the candidate for a new flow; nullopt when all are full.
/// Hooks must not keep state and must be thread-safe.
using AdmissionPolicy =
    std::function<std::optional<size_t>(const AdmissionInput&)>;

}  // namespace medlargauge

#endif  // MEDLARGAUGE_ADMISSION_ADMISSION_TYPE_H_

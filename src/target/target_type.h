// @file target_type.h What operators state for a class of work.
#ifndef MEDLARGAUGE_TARGET_TARGET_TYPE_H_
#define MEDLARGAUGE_TARGET_TARGET_TYPE_H_

#include <cstdint>
#include <string>

#include "src/core/ids_type.h"
#include "src/packet/packet_type.h"

namespace medlargauge {

/// Shares are counted in ten-thousandths, so that 0.5 points are exact.
constexpr uint32_t kWholeShare = 10000;

/// The target of one class, as the key-value service holds it.
struct ClassTarget {
  std::string name;          ///< Name of the class.
  IpAddress address;         ///< Allocated from the pool, never by hand.
  std::string service;       ///< Service that does the work.
  std::string baseline;      ///< Version in normal use; empty means any.
  std::string trial;         ///< Version on trial; empty means none.
  uint32_t trial_share = 0;  ///< In ten-thousandths of new flows.
  uint32_t evenness = 100;   ///< Allowed excess over the mean, same unit.
  bool deleted = false;      ///< Tombstone: the class is gone.
  std::string change_id;     ///< Identifies the change that wrote this.
  std::string changed_by;    ///< Operator who made the change.
  uint64_t revision = 0;     ///< Store revision of this value.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_TARGET_TARGET_TYPE_H_

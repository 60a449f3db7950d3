// @file target_type.h The target that operators set for a class.
#ifndef MEDLARGAUGE_TARGET_TARGET_TYPE_H_
#define MEDLARGAUGE_TARGET_TARGET_TYPE_H_

#include <cstdint>
#include <string>

#include "src/core/ids_type.h"
#include "src/packet/packet_type.h"

namespace medlargauge {

/// The value of a share of 100%. Shares are counted in ten-thousandths (basis
/// points), so that 0.5 percentage points are exact.
constexpr uint32_t kWholeShare = 10000;

/// The target of one class, as the key-value service holds it.
struct ClassTarget {
  std::string name;          ///< Name of the class.
  IpAddress address;         ///< Always allocated from the address pool.
  std::string service;       ///< Service that serves the class's flows.
  std::string baseline;      ///< Version in normal use; empty means any.
  std::string trial;         ///< Version on trial; empty means none.
  uint32_t trial_share = 0;  ///< Trial's share of new flows, ten-thousandths.
  /// Allowed excess of a backend server's open flows over the mean, in
  /// ten-thousandths of it.
  uint32_t evenness = 100;
  bool deleted = false;    ///< Tombstone: the class has been deleted.
  std::string change_id;   ///< Identifies the change that wrote this target.
  std::string changed_by;  ///< Operator who made that change.
  uint64_t revision = 0;   ///< Store revision of this target.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_TARGET_TARGET_TYPE_H_

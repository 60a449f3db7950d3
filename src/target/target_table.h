// @file target_table.h The targets in force at one process. Never reverts.
#ifndef MEDLARGAUGE_TARGET_TARGET_TABLE_H_
#define MEDLARGAUGE_TARGET_TARGET_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/target/target_type.h"

namespace medlargauge {

/// Keeps the highest revision of each class. Merging is idempotent and
/// commutative, so the order and number of arrivals do not matter.
/// Not thread-safe.
class TargetTable {
 public:
  /// Takes in a target. @return whether it was newer than the known one
  bool Merge(const ClassTarget& target);

  /// Returns the target of a class, or null. Tombstones are returned too.
  const ClassTarget* Find(std::string_view name) const;

  /// Returns all targets, tombstones included, sorted by name.
  std::vector<ClassTarget> All() const;

  /// Returns the highest revision taken in.
  uint64_t HighestRevision() const { return m_highest; }

 private:
  std::map<std::string, ClassTarget, std::less<>> m_targets;  ///< By name.
  uint64_t m_highest = 0;  ///< Highest revision taken in.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_TARGET_TARGET_TABLE_H_

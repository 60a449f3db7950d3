// @file target_table.h Table of the targets in force at one process.
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
  /// Stores a target if the table has none of its class or an older revision.
  /// @return whether the target was stored
  bool Merge(const ClassTarget& target);

  /// Returns the target of a class, which may be a tombstone, or null if the
  /// class is unknown.
  const ClassTarget* Find(std::string_view name) const;

  /// Returns all targets, tombstones included, sorted by name.
  std::vector<ClassTarget> All() const;

  /// Returns the highest revision of all stored targets; 0 if there are none.
  uint64_t HighestRevision() const { return m_highest_revision; }

 private:
  std::map<std::string, ClassTarget, std::less<>> m_targets;  ///< By name.
  uint64_t m_highest_revision = 0;  ///< Highest revision of all targets.
};

}  // namespace medlargauge

#endif  // MEDLARGAUGE_TARGET_TARGET_TABLE_H_

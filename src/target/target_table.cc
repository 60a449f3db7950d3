// @file target_table.cc Merge of targets by store revision.
#include "src/target/target_table.h"

#include <algorithm>

namespace medlargauge {

bool TargetTable::Merge(const ClassTarget& target) {
  const auto stored = m_targets.find(target.name);
  if (stored != m_targets.end() && stored->second.revision >= target.revision) {
    return false;
  }
  m_targets[target.name] = target;
  m_highest_revision = std::max(m_highest_revision, target.revision);
  return true;
}

const ClassTarget* TargetTable::Find(std::string_view name) const {
  const auto stored = m_targets.find(name);
  return stored == m_targets.end() ? nullptr : &stored->second;
}

std::vector<ClassTarget> TargetTable::All() const {
  std::vector<ClassTarget> all;
  for (const auto& [name, target] : m_targets) {
    all.push_back(target);
  }
  return all;
}

}  // namespace medlargauge

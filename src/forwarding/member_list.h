// @file member_list.h Operations on short lists of member ids.
#ifndef MEDLARGAUGE_FORWARDING_MEMBER_LIST_H_
#define MEDLARGAUGE_FORWARDING_MEMBER_LIST_H_

#include <algorithm>
#include <vector>

#include "src/core/ids_type.h"

namespace medlargauge::detail {

/// Returns whether the list contains `id`. Thread-safe while the list does not
/// change.
inline bool Contains(const std::vector<MemberId>& list, MemberId id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

/// Appends `id` unless it is unset or already in the list. Not thread-safe.
inline void AddOnce(std::vector<MemberId>* list, MemberId id) {
  if (id.IsSet() && !Contains(*list, id)) {
    list->push_back(id);
  }
}

}  // namespace medlargauge::detail

#endif  // MEDLARGAUGE_FORWARDING_MEMBER_LIST_H_
